//! Time as the core sees it: passed in with each event, never read.

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// The two clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock of this process, in microseconds. It goes on while the process is stopped.
    pub mono: u64,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
}

impl Now {
    /// Both clocks.
    pub fn new(mono: u64, wall: u64) -> Self {
        Self { mono, wall }
    }

    /// This moment `ms` milliseconds later, on the monotonic clock.
    pub fn after(&self, ms: u64) -> u64 {
        self.mono.saturating_add(ms.saturating_mul(MS))
    }
}
