//! The clocks of this process, as decisions see them.

use std::time;

use coord::time::Now;

/// The clocks of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
    /// Added to the time of day, milliseconds.
    offset: i64,
}

impl Clock {
    /// Monotonic time counts from here.
    pub fn new() -> Self {
        Self { start: time::Instant::now(), offset: 0 }
    }

    /// The same with a time of day that is off by so many milliseconds.
    #[must_use]
    pub fn with_offset(self, offset: i64) -> Self {
        Self { offset, ..self }
    }

    /// Both clocks now.
    pub fn now(&self) -> Now {
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let wall = wall.map_or(0, |wall| wall.as_millis() as u64);
        Now::new(self.mono(), wall.saturating_add_signed(self.offset))
    }

    /// The monotonic clock, microseconds. It never reads 0.
    pub fn mono(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1
    }
}
