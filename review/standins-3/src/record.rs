//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn write(&self, kind: &str, text: &str) {
        self.write_at(Instant::now(), kind, text);
    }

    pub fn write_at(&self, at: Instant, kind: &str, text: &str) {
        let line = format!("{:8.3} {kind:<8} {text}\n", self.seconds(at));
        let _written = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}
