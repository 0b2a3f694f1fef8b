//! Log lines of decisions, with a rate limit for each kind of line.

use std::{collections, time};

use dispatch::event::Note;
use link::metric;

/// Maximum number of lines of one kind per [`WINDOW`]. In current deployments an entry answers 20
/// jobs per second and a scheduler starts 170 tasks per second; a burst is five times that.
const MAX_LINES: u32 = 400;
/// Length of a window in which lines are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Text of the line that reports, as `count`, how many lines of a kind were omitted.
pub const LEFT_OUT: &str = "log: Lines were left out.";

/// A rate limiter for log lines, by kind.
#[derive(Debug)]
pub struct Limiter {
    kinds: collections::HashMap<&'static str, Kind>,
}

#[derive(Debug)]
struct Kind {
    window_start: time::Instant,
    written: u32,
    omitted: u64,
}

impl Limiter {
    /// Creates a limiter that has counted no lines.
    pub fn new() -> Self {
        Self { kinds: collections::HashMap::new() }
    }

    /// Logs a decision unless the limit of its kind is reached. Before the next line of the kind,
    /// one more line reports how many were omitted.
    pub fn write(&mut self, log: &slog::Logger, note: &Note) {
        let now = time::Instant::now();
        let fresh = Kind { window_start: now, written: 0, omitted: 0 };
        let kind = self.kinds.entry(note.text).or_insert(fresh);
        if now.duration_since(kind.window_start) >= WINDOW {
            kind.window_start = now;
            kind.written = 0;
        }
        if kind.written >= MAX_LINES {
            kind.omitted += 1;
            metric::count_omitted_line(note.text);
            return;
        }
        kind.written += 1;
        let omitted = std::mem::take(&mut kind.omitted);
        if omitted > 0 {
            slog::warn!(log, "{LEFT_OUT}"; "kind" => note.text, "count" => omitted);
        }
        slog::info!(log, "{}", note.text; "id" => %note.subject, "detail" => &note.detail);
    }
}
