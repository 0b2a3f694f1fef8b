//! The clocks that scheduling decisions in this process use.

use std::time;

use coord::time::Now;

/// The monotonic clock and the time of day of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
    /// Offset that is added to the time of day, in milliseconds.
    offset: i64,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self { start: time::Instant::now(), offset: 0 }
    }

    /// Shifts the time of day by `offset` milliseconds.
    #[must_use]
    pub fn with_offset(self, offset: i64) -> Self {
        Self { offset, ..self }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let wall = wall.map_or(0, |wall| wall.as_millis() as u64);
        Now::new(self.micros(), wall.saturating_add_signed(self.offset))
    }

    /// Reads the monotonic clock, in microseconds. It never returns 0.
    pub fn micros(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1
    }
}
