//! Log lines of decisions, so many of a kind a second.

use std::{collections, time};

use dispatch::event::Note;
use link::metric;

/// Lines of one kind within a second. An entry of today's deployments answers 20 jobs a second and
/// a scheduler starts 170 tasks; a burst is five times that.
const RATE: u32 = 400;
/// What counts as a second.
const SPAN: time::Duration = time::Duration::from_secs(1);

/// Line that says how many of a kind were left out, as `count`.
pub const LEFT_OUT: &str = "log: Lines were left out.";

/// How many lines of each kind were written.
#[derive(Debug)]
pub struct Lines {
    kinds: collections::HashMap<&'static str, Kind>,
}

#[derive(Debug)]
struct Kind {
    since: time::Instant,
    written: u32,
    left_out: u64,
}

impl Lines {
    /// Nothing was written.
    pub fn new() -> Self {
        Self { kinds: collections::HashMap::new() }
    }

    /// Writes a decision, unless there were too many of its kind; the next line of the kind tells
    /// how many were left out.
    pub fn write(&mut self, log: &slog::Logger, note: &Note) {
        let now = time::Instant::now();
        let fresh = Kind { since: now, written: 0, left_out: 0 };
        let kind = self.kinds.entry(note.text).or_insert(fresh);
        if now.duration_since(kind.since) >= SPAN {
            kind.since = now;
            kind.written = 0;
        }
        if kind.written >= RATE {
            kind.left_out += 1;
            metric::count_left_out(note.text);
            return;
        }
        kind.written += 1;
        let left_out = std::mem::take(&mut kind.left_out);
        if left_out > 0 {
            slog::warn!(log, "{LEFT_OUT}"; "kind" => note.text, "count" => left_out);
        }
        slog::info!(log, "{}", note.text; "id" => %note.subject, "detail" => &note.detail);
    }
}
