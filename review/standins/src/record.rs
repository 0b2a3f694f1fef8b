//! The record of a run: what was sent, answered and run.

use std::{
    fmt::Write as _,
    fs, path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start, in milliseconds.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line about something that happens now.
    pub fn add(&self, text: impl Into<String>) {
        self.add_at(Instant::now(), text);
    }

    /// Adds a line about something that happened at `at`.
    pub fn add_at(&self, at: Instant, text: impl Into<String>) {
        let text = text.into();
        let ms = at.saturating_duration_since(self.start).as_millis();
        println!("{ms:>7} ms  {text}");
        self.lines.lock().unwrap().push((ms, text));
    }

    /// Writes all lines to a file, in the order of their times.
    pub fn write(&self, file: &path::Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(ms, _)| *ms);
        let mut text = String::new();
        for (ms, line) in lines {
            writeln!(text, "{ms:>7} ms  {line}").unwrap();
        }
        fs::write(file, text).unwrap();
    }
}
