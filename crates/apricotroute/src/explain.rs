//! The story of one request, from the logs of several processes.
//!
//! Each process writes what it decides about a job as a JSON line with the job's id. The entry's
//! line `request: Taken.` joins a client's own name for a request with that id.

use std::{collections, fmt, path};

use crate::{
    error,
    log_file::{self, Line},
};

/// What `--help` prints.
pub const HELP: &str = "\
apricotroute explain ID FILE...

Reads the logs of several processes and prints in order of time what was decided about one request,
by whom and on what grounds. ID is the client's name of the request (its `Request-Id`) or the job's
id. FILE holds JSON lines; whatever a log collector puts before a line is passed over. `-` is the
standard input. Between the lines of the request stand those of the instances that had it which
tell of changes on their side: schedulers that came and went, a stop, a lost dependency.
Exit code 0, or 1 if no line tells of the request.
";

/// Parts whose lines say why an instance did not go on as before.
const CHANGES: [&str; 5] = ["zone:", "node:", "settings:", "peer:", "control:"];
/// Lines of such changes are shown from this long before the request came: a silence is noticed
/// after 0.5 s, a zone's next scheduler claims it within about 0.6 s more.
const BEFORE: chrono::TimeDelta = chrono::TimeDelta::seconds(2);

/// What the logs tell of one request.
#[derive(Debug)]
pub struct Story {
    lines: Vec<Line>,
    /// The job's id, and the client's name of the request if that was asked for.
    ids: collections::BTreeSet<String>,
    /// Lines of files that could not be read as lines of a log.
    unread: usize,
    /// Lines that the processes say they left out.
    left_out: u64,
}

impl Story {
    /// The story of `id` as the files tell it.
    ///
    /// # Errors
    ///
    /// A file cannot be read.
    pub fn read(id: &str, files: &[path::PathBuf]) -> error::Result<Self> {
        let log = log_file::Log::read(files)?;
        Ok(Self::new(id, &log))
    }

    fn new(id: &str, log: &log_file::Log) -> Self {
        let all = &log.lines;
        let taken = all.iter().filter(|line| line.text("request") == Some(id));
        let mut ids: collections::BTreeSet<_> =
            taken.filter_map(|line| line.text("id").map(str::to_owned)).collect();
        ids.insert(id.to_owned());
        let own: Vec<_> = all.iter().filter(|line| line.is_about(&ids)).collect();
        let involved: collections::BTreeSet<_> = own.iter().map(|line| &line.instance).collect();
        let span = own.first().zip(own.last()).map(|(first, last)| (first.ts, last.ts));
        let is_watched = |line: &Line| {
            let within =
                span.is_some_and(|(first, last)| line.ts + BEFORE >= first && line.ts <= last);
            let change = CHANGES.iter().any(|part| line.msg.starts_with(part));
            within && change && involved.contains(&line.instance)
        };
        let lines =
            all.iter().filter(|line| line.is_about(&ids) || is_watched(line)).cloned().collect();
        let lines = if own.is_empty() { Vec::new() } else { lines };
        Self { lines, ids, unread: log.unread, left_out: log.left_out() }
    }

    /// Whether no line tells of the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// One line for each decision: milliseconds since the first, the instance, what and why. What an
/// instance says again and again of others stands once, with the number of times.
impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.first() else {
            return writeln!(f, "no line tells of it");
        };
        writeln!(f, "from {}", first.ts.to_rfc3339())?;
        let width = self.lines.iter().map(|line| line.instance.len()).max().unwrap_or(0);
        let alike = |a: &Line, b: &Line| a.instance == b.instance && a.msg == b.msg;
        let others = |a: &Line, b: &Line| !a.is_about(&self.ids) && !b.is_about(&self.ids);
        let same = |a: &Line, b: &Line| others(a, b) && alike(a, b);
        for group in self.lines.chunk_by(same) {
            let line = &group[0];
            let after = (line.ts - first.ts).as_seconds_f64() * 1_000.0;
            write!(f, "{after:>10.1} ms  {:<width$}  {}", line.instance, line.msg)?;
            for (key, value) in &line.fields {
                match value {
                    _ if key == "level" => {}
                    serde_json::Value::String(text) if text.is_empty() => {}
                    serde_json::Value::String(id) if key == "id" && self.ids.contains(id) => {}
                    serde_json::Value::String(text) if key == "detail" => write!(f, "  {text}")?,
                    serde_json::Value::String(text) => write!(f, "  {key} {text}")?,
                    other => write!(f, "  {key} {other}")?,
                }
            }
            if group.len() > 1 {
                write!(f, "  and {} more", group.len() - 1)?;
            }
            writeln!(f)?;
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
