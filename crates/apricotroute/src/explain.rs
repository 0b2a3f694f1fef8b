//! The `explain` command: the timeline of one request, from the logs of several processes.
//!
//! Each process logs its decisions about a job as JSON lines that carry the job's id. The entry's
//! line `request: Taken.` maps the client's own id of a request (`Request-Id`) to the job's id.

use std::{collections, fmt, path};

use crate::{
    error,
    log_file::{self, Line},
};

/// What `--help` prints.
pub const HELP: &str = "\
apricotroute explain ID FILE...

Reads the logs of several processes and prints every decision about one request in order of time,
with the instance that made it and the reason. ID is the client's id of the request (its
`Request-Id`) or the job's id. FILE holds JSON lines; any prefix that a log collector adds to a line
is skipped. `-` is the standard input. The output also contains lines of the involved instances
about changes of their own state around that time: schedulers that joined or left, a shutdown, a
lost dependency.
Exit code 0, or 1 if no line mentions the request.
";

/// Message prefixes of the lines that report a change of an instance's own state.
const STATE_PREFIXES: [&str; 5] = ["zone:", "node:", "settings:", "peer:", "control:"];
/// State changes are shown from this long before the first line of the request on: a silent peer
/// is detected after 0.5 s, and the next scheduler of its zone takes over within about 0.6 s more.
const LEAD_TIME: chrono::TimeDelta = chrono::TimeDelta::seconds(2);

/// The log lines about one request, in order of time.
#[derive(Debug)]
pub struct Timeline {
    lines: Vec<Line>,
    /// The requested id and, if it is a client's `Request-Id`, the ids of its jobs.
    ids: collections::BTreeSet<String>,
    /// Input lines that could not be parsed as log lines.
    unparsed: usize,
    /// Lines that the processes reported as omitted from their logs.
    omitted: u64,
}

impl Timeline {
    /// Reads the timeline of the request or job `id` from log files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read.
    pub fn read(id: &str, files: &[path::PathBuf]) -> error::Result<Self> {
        let log = log_file::Log::read(files)?;
        Ok(Self::new(id, &log))
    }

    fn new(id: &str, log: &log_file::Log) -> Self {
        let all = &log.lines;
        let accepted = all.iter().filter(|line| line.text("request") == Some(id));
        let mut ids: collections::BTreeSet<_> =
            accepted.filter_map(|line| line.text("id").map(str::to_owned)).collect();
        ids.insert(id.to_owned());
        let own: Vec<_> = all.iter().filter(|line| line.mentions(&ids)).collect();
        let involved: collections::BTreeSet<_> = own.iter().map(|line| &line.instance).collect();
        let span = own.first().zip(own.last()).map(|(first, last)| (first.ts, last.ts));
        let is_state_change = |line: &Line| {
            let is_near =
                span.is_some_and(|(first, last)| line.ts + LEAD_TIME >= first && line.ts <= last);
            let is_change = STATE_PREFIXES.iter().any(|prefix| line.msg.starts_with(prefix));
            is_near && is_change && involved.contains(&line.instance)
        };
        let lines = all
            .iter()
            .filter(|line| line.mentions(&ids) || is_state_change(line))
            .cloned()
            .collect();
        let lines = if own.is_empty() { Vec::new() } else { lines };
        Self { lines, ids, unparsed: log.unparsed, omitted: log.omitted() }
    }

    /// Returns whether the logs contain no line about the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Writes one row for each line: milliseconds since the first one, instance, message and details.
/// Consecutive lines of one instance that repeat a message and do not mention the request are
/// written once, with the number of repetitions.
impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.first() else {
            return writeln!(f, "no log line mentions this request");
        };
        writeln!(f, "from {}", first.ts.to_rfc3339())?;
        let width = self.lines.iter().map(|line| line.instance.len()).max().unwrap_or(0);
        let same_message = |a: &Line, b: &Line| a.instance == b.instance && a.msg == b.msg;
        let unrelated = |a: &Line, b: &Line| !a.mentions(&self.ids) && !b.mentions(&self.ids);
        let is_repeat = |a: &Line, b: &Line| unrelated(a, b) && same_message(a, b);
        for group in self.lines.chunk_by(is_repeat) {
            let line = &group[0];
            let elapsed = (line.ts - first.ts).as_seconds_f64() * 1_000.0;
            write!(f, "{elapsed:>10.1} ms  {:<width$}  {}", line.instance, line.msg)?;
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
        if self.omitted > 0 {
            writeln!(f, "{} lines were omitted from these logs by the rate limit", self.omitted)?;
        }
        if self.unparsed > 0 {
            writeln!(f, "{} input lines are not valid log lines", self.unparsed)?;
        }
        Ok(())
    }
}
