//! The `losses` command: counts requests that were not answered in time, by cause and time, from
//! the logs of several processes.
//!
//! Each logged request counts either as in time or under exactly one [`Cause`]. The report leaves
//! out what the logs do not contain: requests whose clients found no process to connect to, and by
//! how much a declared size was wrong.

use std::{collections, fmt, path};

use dispatch::{time, timing};

use crate::{
    error,
    log_file::{Line, Log},
};

/// What `--help` prints.
pub const HELP: &str = "\
apricotroute losses [--window SECONDS] FILE...

Reads the logs of several processes and prints how many requests were not answered in time, by
cause, and when: one row for each window of SECONDS (default 2) in which a request was lost. FILE
holds JSON lines as for `explain`, which shows the decisions about a single request; the ids of the
first requests of each cause are listed. A request is late if it missed the objective that follows
from its declared sizes. The line `job: Ended.` of the scheduler whose tasks ended last says how its
time is split. The longest delay is the cause, unless the work alone took longer than the objective.
Exit code 0.
";

/// Milliseconds for which a logged free capacity of a zone is valid: twice the interval between two
/// `zone: Room.` lines.
const CAPACITY_VALIDITY_MS: i64 = 1_000;
/// Number of request ids that the report lists for each cause.
const LISTED_IDS: usize = 3;

/// Why a request was not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    NoConfiguration,
    Refused,
    NoScheduler,
    Evacuated,
    ZoneFull,
    AllZonesFull,
    Failed,
    LostScheduler,
    GaveUp,
    LateScheduler,
    LateRerun,
    LateZoneFull,
    LateAllZonesFull,
    LateOrder,
    LateEndReport,
    LateEntry,
    LateWork,
    LateUnknown,
    Unanswered,
}

impl Cause {
    fn text(self) -> &'static str {
        match self {
            Self::NoConfiguration => "refused: its entry had no up-to-date configuration",
            Self::Refused => "refused: immediately, for another reason",
            Self::NoScheduler => "refused: its entry could not reach a scheduler",
            Self::Evacuated => "refused: all zones are evacuated",
            Self::ZoneFull => "refused: no free capacity, while another zone had some",
            Self::AllZonesFull => "refused: no free capacity in any zone",
            Self::Failed => "failed: a task failed too often",
            Self::LostScheduler => "given up: a scheduler that had it was lost",
            Self::GaveUp => "given up: not done when its client gave up",
            Self::LateScheduler => "late: a scheduler that had it was lost",
            Self::LateRerun => "late: a task was rerun (upstream lost or hung, or task failed)",
            Self::LateZoneFull => "late: waited for free capacity, while another zone had some",
            Self::LateAllZonesFull => "late: waited for free capacity, none in any zone",
            Self::LateOrder => "late: orders to its upstream were slow, lost or refused",
            Self::LateEndReport => "late: its scheduler learned late that its tasks had ended",
            Self::LateEntry => "late: its entry was slow to hand it over or to answer",
            Self::LateWork => "late: its work alone took longer than declared",
            Self::LateUnknown => "late: delay or work; the logs have no breakdown of its time",
            Self::Unanswered => "unanswered: its entry was lost, or its client disconnected",
        }
    }
}

/// What the logs contain about one request.
#[derive(Clone, Debug, Default)]
struct History {
    /// When its entry accepted it, Unix milliseconds.
    accepted: i64,
    /// Longest wait of a task until its first start, milliseconds.
    waited: u64,
    /// Whether a task ran more than once.
    rerun: bool,
    /// Whether the job was cancelled.
    cancelled: bool,
    /// Time breakdown of the task that ended last.
    breakdown: Option<timing::Breakdown>,
    /// Detail of the line `job: Answered.`.
    answer: Option<String>,
    /// Whether it was sent to another zone, or handed back, because a zone is evacuated.
    diverted: bool,
    /// Zones whose schedulers received tasks of this request.
    zones: collections::BTreeSet<String>,
}

/// Counts of requests, and the lost ones with their cause and time.
#[derive(Debug)]
pub struct Losses {
    window: i64,
    requests: usize,
    in_time: usize,
    /// Lost requests: seconds since the first log line, cause, id.
    lost: Vec<(i64, Cause, String)>,
    /// Requests that were diverted from an evacuated zone.
    diverted: usize,
    /// Input lines that could not be parsed as log lines.
    unparsed: usize,
    /// Lines that the processes reported as omitted from their logs.
    omitted: u64,
}

impl Losses {
    /// Reads the losses from log files, grouped by windows of `window` seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read.
    pub fn read(files: &[path::PathBuf], window: u32) -> error::Result<Self> {
        Ok(Self::new(&Log::read(files)?, i64::from(window.max(1))))
    }

    fn new(log: &Log, window: i64) -> Self {
        let first = log.lines.first().map_or(0, |line| line.ts.timestamp_millis());
        let free = free_capacity(log);
        let mut histories: collections::BTreeMap<&str, History> = collections::BTreeMap::new();
        let mut lost = Vec::new();
        for line in &log.lines {
            let at = line.ts.timestamp_millis();
            let Some(id) = line.text("id") else { continue };
            if let Some(cause) = immediate_refusal(line) {
                lost.push((at, cause, id.to_owned()));
            }
            if line.msg == "request: Taken." {
                histories.entry(id).or_insert(History { accepted: at, ..History::default() });
            } else if let Some(history) = histories.get_mut(id) {
                history.record(line);
            }
        }
        let requests = histories.len() + lost.len();
        let diverted = histories.values().filter(|history| history.diverted).count();
        let cause = |(id, history): (&&str, &History)| {
            Some((history.accepted, history.cause(&free)?, (*id).to_owned()))
        };
        lost.extend(histories.iter().filter_map(cause));
        for (at, ..) in &mut lost {
            *at = (*at - first) / 1_000;
        }
        lost.sort();
        let (unparsed, omitted) = (log.unparsed, log.omitted());
        Self { window, requests, in_time: requests - lost.len(), lost, diverted, unparsed, omitted }
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
            let listed = ids.iter().take(LISTED_IDS).copied().collect::<Vec<_>>().join(" ");
            writeln!(f, "{:>8}  {:<66} {listed}", ids.len(), cause.text())?;
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
        if self.diverted > 0 {
            writeln!(f, "{} requests were diverted from an evacuated zone", self.diverted)?;
        }
        if self.omitted > 0 {
            writeln!(f, "{} lines were omitted from these logs by the rate limit", self.omitted)?;
        }
        if self.unparsed > 0 {
            writeln!(f, "{} input lines are not valid log lines", self.unparsed)?;
        }
        Ok(())
    }
}

impl History {
    /// Updates the history from one log line about the request.
    fn record(&mut self, line: &Line) {
        let detail = line.text("detail").unwrap_or_default();
        self.diverted |= line.msg.starts_with("job: ") && detail.ends_with("is evacuated");
        match line.msg.as_str() {
            "job: Starting a task." => {
                let first = number(detail, " run ") == Some(1);
                self.rerun |= !first;
                if first {
                    self.waited = self.waited.max(number(detail, ", ").unwrap_or(0));
                }
            }
            "job: Ended." => {
                let tasks = timing::Breakdown::parse(detail).into_iter().chain(self.breakdown);
                self.breakdown = tasks.max_by_key(timing::Breakdown::whole);
            }
            "job: Handed over." => {
                let zone = detail.split(" in ").nth(1).and_then(|rest| rest.split(',').next());
                self.zones.extend(zone.map(str::to_owned));
            }
            "job: Cancelled." => self.cancelled = true,
            "job: Answered." => self.answer = Some(detail.to_owned()),
            _ => {}
        }
    }

    /// Returns why the request was not answered in time, or `None` if it was in time or was
    /// cancelled without an answer.
    fn cause(&self, free: &FreeCapacity) -> Option<Cause> {
        let Some(answer) = &self.answer else {
            return (!self.cancelled).then_some(Cause::Unanswered);
        };
        let took = number(answer, " after ").unwrap_or(0);
        let objective = number(answer, "objective ").unwrap_or(u64::MAX);
        let resumed = answer.ends_with("resumed true");
        let has_alternative = free.had_capacity(self.accepted, &self.zones);
        let cause = match answer.split(['(', ' ']).next() {
            Some("Complete") if took <= objective => return None,
            Some("Complete") if resumed => Cause::LateScheduler,
            Some("Complete") if self.rerun => Cause::LateRerun,
            Some("Complete") => match self.breakdown {
                Some(parts) => {
                    late_cause(&parts, took * time::MS, objective * time::MS, has_alternative)
                }
                // The request would have been late even without the wait.
                None if took > objective + self.waited => Cause::LateUnknown,
                None if has_alternative => Cause::LateZoneFull,
                None => Cause::LateAllZonesFull,
            },
            Some("Failed") => Cause::Failed,
            Some("GaveUp") if resumed => Cause::LostScheduler,
            Some("GaveUp") => Cause::GaveUp,
            _ if answer.starts_with("NotRun(NoScheduler") => Cause::NoScheduler,
            _ if answer.starts_with("NotRun(Evacuated") => Cause::Evacuated,
            _ if answer.starts_with("NotRun(Overload") && has_alternative => Cause::ZoneFull,
            _ if answer.starts_with("NotRun(Overload") => Cause::AllZonesFull,
            _ => Cause::Refused,
        };
        Some(cause)
    }
}

/// Returns the cause of a late answer: the work if it alone exceeded the objective, otherwise the
/// longest delay. `took` is the time from the request to its answer; both times are microseconds.
/// `has_alternative` says whether another zone had free capacity.
fn late_cause(
    parts: &timing::Breakdown,
    took: u64,
    objective: u64,
    has_alternative: bool,
) -> Cause {
    if parts.work > objective {
        return Cause::LateWork;
    }
    let wait = if has_alternative { Cause::LateZoneFull } else { Cause::LateAllZonesFull };
    let entry = parts.handed + took.saturating_sub(parts.whole());
    let delays = [
        (parts.waited, wait),
        (parts.order, Cause::LateOrder),
        (parts.told, Cause::LateEndReport),
        (entry, Cause::LateEntry),
    ];
    let longest = delays.into_iter().max_by_key(|(delay, _)| *delay);
    longest.map_or(Cause::LateUnknown, |(_, cause)| cause)
}

/// Free CPU of each zone over time, in millicores by Unix milliseconds.
#[derive(Debug, Default)]
struct FreeCapacity {
    zones: collections::BTreeMap<String, collections::BTreeMap<i64, i64>>,
}

impl FreeCapacity {
    /// Returns whether any zone outside of `except` had free capacity at time `at`.
    fn had_capacity(&self, at: i64, except: &collections::BTreeSet<String>) -> bool {
        let others = self.zones.iter().filter(|(zone, _)| !except.contains(*zone));
        others.into_iter().any(|(_, samples)| {
            let last = samples.range(at - CAPACITY_VALIDITY_MS..=at).next_back();
            last.is_some_and(|(_, free)| *free > 0)
        })
    }
}

fn free_capacity(log: &Log) -> FreeCapacity {
    let mut capacity = FreeCapacity::default();
    for line in log.lines.iter().filter(|line| line.msg == "zone: Room.") {
        let (zone, detail) = (line.text("id"), line.text("detail"));
        let free = detail.and_then(|detail| detail.split('m').next()?.parse().ok());
        if let (Some(zone), Some(free)) = (zone, free) {
            let at = line.ts.timestamp_millis();
            capacity.zones.entry(zone.to_owned()).or_default().insert(at, free);
        }
    }
    capacity
}

/// Returns the cause if the line says that an entry refused a request before creating a job.
fn immediate_refusal(line: &Line) -> Option<Cause> {
    let status = line.fields.get("status").and_then(serde_json::Value::as_u64);
    let is_lost =
        line.msg == "request: Answered at once." && status.is_some_and(|code| code >= 500);
    let is_unready = line.text("why").is_some_and(|why| why.contains("configuration"));
    is_lost.then_some(if is_unready { Cause::NoConfiguration } else { Cause::Refused })
}

/// Returns the decimal number that follows the first `mark` in `text`.
fn number(text: &str, mark: &str) -> Option<u64> {
    let rest = &text[text.find(mark)? + mark.len()..];
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
