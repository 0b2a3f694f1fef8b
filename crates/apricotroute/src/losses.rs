//! Where requests were lost, and why, from the logs of several processes.
//!
//! Each request of the logs is in time or lands in one [`Cause`]. What the logs can't know is left
//! out: requests that found no process to connect to, and by how much a declared size was wrong.

use std::{collections, fmt, path};

use dispatch::{time, timing};

use crate::{
    error,
    log_file::{Line, Log},
};

/// What `--help` prints.
pub const HELP: &str = "\
apricotroute losses [--window SECONDS] FILE...

Reads the logs of several processes and tells how many requests were not answered in time, by cause,
and when: a row for each window of SECONDS (default 2) in which one was lost. FILE holds JSON lines as
for `explain`, which tells the story of one of them; the first of each cause are named. A request is
late by the objective that follows from its declared sizes. Where its time went is told by the line
`job: Ended.` of the scheduler whose tasks ended last, and the delay that took most is the cause, unless
the work alone was longer than the objective. Exit code 0.
";

/// A zone's room counts as known this long, milliseconds: twice the time between two such lines.
const KNOWN: i64 = 1_000;
/// Requests of a cause that are named.
const NAMED: usize = 3;

/// Why a request was not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    Unready,
    Refused,
    NoScheduler,
    Evacuated,
    FullHere,
    FullEverywhere,
    Failed,
    LostScheduler,
    GaveUp,
    LateScheduler,
    LateRerun,
    LateHere,
    LateEverywhere,
    LateOrder,
    LateNews,
    LateEntry,
    LateSize,
    LateUnknown,
    Unanswered,
}

impl Cause {
    fn text(self) -> &'static str {
        match self {
            Self::Unready => "refused: its entry had no configuration that it may go by",
            Self::Refused => "refused: at once, for another reason",
            Self::NoScheduler => "refused: no scheduler was heard",
            Self::Evacuated => "refused: all zones are evacuated",
            Self::FullHere => "refused: no room, while another zone had some",
            Self::FullEverywhere => "refused: no room in any zone",
            Self::Failed => "failed: a task failed too often",
            Self::LostScheduler => "given up: a scheduler that had it was lost",
            Self::GaveUp => "given up: not done when its client gave up",
            Self::LateScheduler => "late: a scheduler that had it was lost",
            Self::LateRerun => "late: a task ran again, its upstream was lost, hung or failed it",
            Self::LateHere => "late: waited for room, while another zone had some",
            Self::LateEverywhere => "late: waited for room, none in any zone",
            Self::LateOrder => "late: orders to its upstream were slow, lost or refused",
            Self::LateNews => "late: its scheduler heard late that its tasks had ended",
            Self::LateEntry => "late: its entry handed it over late, or answered late",
            Self::LateSize => "late: its work alone took longer than declared",
            Self::LateUnknown => "late: delay or work, as no line tells where its time went",
            Self::Unanswered => "unanswered: lost with its entry, or its client left",
        }
    }
}

/// What the logs tell of one request.
#[derive(Clone, Debug, Default)]
struct Story {
    taken: i64,
    /// Longest wait of a task until its first start, milliseconds.
    waited: u64,
    rerun: bool,
    left: bool,
    /// Where the time of the task went that ended last.
    parts: Option<timing::Breakdown>,
    answer: Option<String>,
    /// Whether it went elsewhere, or was given back, because a zone is evacuated.
    moved: bool,
    /// Zones whose schedulers had some of it.
    zones: collections::BTreeSet<String>,
}

/// Requests by cause and time.
#[derive(Debug)]
pub struct Losses {
    window: i64,
    requests: usize,
    in_time: usize,
    /// Lost requests: seconds since the first line, cause, id.
    lost: Vec<(i64, Cause, String)>,
    /// Requests that an evacuation kept out of a zone.
    moved: usize,
    unread: usize,
    left_out: u64,
}

impl Losses {
    /// The losses that the files tell of, by windows of so many seconds.
    ///
    /// # Errors
    ///
    /// A file cannot be read.
    pub fn read(files: &[path::PathBuf], window: u32) -> error::Result<Self> {
        Ok(Self::new(&Log::read(files)?, i64::from(window.max(1))))
    }

    fn new(log: &Log, window: i64) -> Self {
        let first = log.lines.first().map_or(0, |line| line.ts.timestamp_millis());
        let rooms = rooms(log);
        let mut stories: collections::BTreeMap<&str, Story> = collections::BTreeMap::new();
        let mut lost = Vec::new();
        for line in &log.lines {
            let at = line.ts.timestamp_millis();
            let Some(id) = line.text("id") else { continue };
            if let Some(cause) = refused_at_once(line) {
                lost.push((at, cause, id.to_owned()));
            }
            if line.msg == "request: Taken." {
                stories.entry(id).or_insert(Story { taken: at, ..Story::default() });
            } else if let Some(story) = stories.get_mut(id) {
                story.note(line);
            }
        }
        let requests = stories.len() + lost.len();
        let moved = stories.values().filter(|story| story.moved).count();
        let cause = |(id, story): (&&str, &Story)| {
            Some((story.taken, story.cause(&rooms)?, (*id).to_owned()))
        };
        lost.extend(stories.iter().filter_map(cause));
        for (at, ..) in &mut lost {
            *at = (*at - first) / 1_000;
        }
        lost.sort();
        let (unread, left_out) = (log.unread, log.left_out());
        Self { window, requests, in_time: requests - lost.len(), lost, moved, unread, left_out }
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} requests, {} in time", self.requests, self.in_time)?;
        let mut causes: collections::BTreeMap<Cause, Vec<&str>> = collections::BTreeMap::new();
        for (_, cause, id) in &self.lost {
            causes.entry(*cause).or_default().push(id);
        }
        for (cause, ids) in &causes {
            let named = ids.iter().take(NAMED).copied().collect::<Vec<_>>().join(" ");
            writeln!(f, "{:>8}  {:<66} {named}", ids.len(), cause.text())?;
        }
        writeln!(f, "from second")?;
        for window in self.lost.chunk_by(|a, b| a.0 / self.window == b.0 / self.window) {
            let mut counts: collections::BTreeMap<Cause, usize> = collections::BTreeMap::new();
            for (_, cause, _) in window {
                *counts.entry(*cause).or_default() += 1;
            }
            writeln!(f, "{:>8}  {} lost", window[0].0 / self.window * self.window, window.len())?;
            for (cause, count) in counts {
                writeln!(f, "{:>12}  {}", count, cause.text())?;
            }
        }
        if self.moved > 0 {
            writeln!(f, "{} requests were kept out of a zone by its evacuation", self.moved)?;
        }
        if self.left_out > 0 {
            writeln!(f, "{} lines were left out of these logs to bound them", self.left_out)?;
        }
        if self.unread > 0 {
            writeln!(f, "{} lines are no lines of a log", self.unread)?;
        }
        Ok(())
    }
}

impl Story {
    fn note(&mut self, line: &Line) {
        let detail = line.text("detail").unwrap_or_default();
        self.moved |= line.msg.starts_with("job: ") && detail.ends_with("is evacuated");
        match line.msg.as_str() {
            "job: Starting a task." => {
                let first = number(detail, " run ") == Some(1);
                self.rerun |= !first;
                if first {
                    self.waited = self.waited.max(number(detail, ", ").unwrap_or(0));
                }
            }
            "job: Ended." => {
                let parts = timing::Breakdown::read(detail).into_iter().chain(self.parts);
                self.parts = parts.max_by_key(timing::Breakdown::whole);
            }
            "job: Handed over." => {
                let zone = detail.split(" in ").nth(1).and_then(|rest| rest.split(',').next());
                self.zones.extend(zone.map(str::to_owned));
            }
            "job: Cancelled." => self.left = true,
            "job: Answered." => self.answer = Some(detail.to_owned()),
            _ => {}
        }
    }

    /// Why it was not answered in time, if it was not.
    fn cause(&self, rooms: &Rooms) -> Option<Cause> {
        let Some(answer) = &self.answer else {
            return (!self.left).then_some(Cause::Unanswered);
        };
        let took = number(answer, " after ").unwrap_or(0);
        let objective = number(answer, "objective ").unwrap_or(u64::MAX);
        let resumed = answer.ends_with("resumed true");
        let elsewhere = rooms.had_room(self.taken, &self.zones);
        let cause = match answer.split(['(', ' ']).next() {
            Some("Complete") if took <= objective => return None,
            Some("Complete") if resumed => Cause::LateScheduler,
            Some("Complete") if self.rerun => Cause::LateRerun,
            Some("Complete") => match self.parts {
                Some(parts) => longest(&parts, took * time::MS, objective * time::MS, elsewhere),
                // It would have been late without the wait.
                None if took > objective + self.waited => Cause::LateUnknown,
                None if elsewhere => Cause::LateHere,
                None => Cause::LateEverywhere,
            },
            Some("Failed") => Cause::Failed,
            Some("GaveUp") if resumed => Cause::LostScheduler,
            Some("GaveUp") => Cause::GaveUp,
            _ if answer.starts_with("NotRun(NoScheduler") => Cause::NoScheduler,
            _ if answer.starts_with("NotRun(Evacuated") => Cause::Evacuated,
            _ if answer.starts_with("NotRun(Overload") && elsewhere => Cause::FullHere,
            _ if answer.starts_with("NotRun(Overload") => Cause::FullEverywhere,
            _ => Cause::Refused,
        };
        Some(cause)
    }
}

/// What made a request late that was answered after `took`, microseconds.
fn longest(parts: &timing::Breakdown, took: u64, objective: u64, elsewhere: bool) -> Cause {
    if parts.work > objective {
        return Cause::LateSize;
    }
    let wait = if elsewhere { Cause::LateHere } else { Cause::LateEverywhere };
    let entry = parts.handed + took.saturating_sub(parts.whole());
    let delays = [
        (parts.waited, wait),
        (parts.order, Cause::LateOrder),
        (parts.told, Cause::LateNews),
        (entry, Cause::LateEntry),
    ];
    let longest = delays.into_iter().max_by_key(|(delay, _)| *delay);
    longest.map_or(Cause::LateUnknown, |(_, cause)| cause)
}

/// Free room of the zones over time.
#[derive(Debug, Default)]
struct Rooms {
    zones: collections::BTreeMap<String, collections::BTreeMap<i64, i64>>,
}

impl Rooms {
    /// Whether a zone other than these had room at a time.
    fn had_room(&self, at: i64, except: &collections::BTreeSet<String>) -> bool {
        let others = self.zones.iter().filter(|(zone, _)| !except.contains(*zone));
        others.into_iter().any(|(_, room)| {
            let last = room.range(at - KNOWN..=at).next_back();
            last.is_some_and(|(_, free)| *free > 0)
        })
    }
}

fn rooms(log: &Log) -> Rooms {
    let mut rooms = Rooms::default();
    for line in log.lines.iter().filter(|line| line.msg == "zone: Room.") {
        let (zone, detail) = (line.text("id"), line.text("detail"));
        let free = detail.and_then(|detail| detail.split('m').next()?.parse().ok());
        if let (Some(zone), Some(free)) = (zone, free) {
            let at = line.ts.timestamp_millis();
            rooms.zones.entry(zone.to_owned()).or_default().insert(at, free);
        }
    }
    rooms
}

/// Why a request was refused by its entry before it became a job.
fn refused_at_once(line: &Line) -> Option<Cause> {
    let status = line.fields.get("status").and_then(serde_json::Value::as_u64);
    let lost = line.msg == "request: Answered at once." && status.is_some_and(|code| code >= 500);
    let unready = line.text("why").is_some_and(|why| why.contains("configuration"));
    lost.then_some(if unready { Cause::Unready } else { Cause::Refused })
}

/// The number after the first `mark` of a text.
fn number(text: &str, mark: &str) -> Option<u64> {
    let rest = &text[text.find(mark)? + mark.len()..];
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
