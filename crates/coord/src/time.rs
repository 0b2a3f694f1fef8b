//! Time in the core. The caller passes it in with each event; the core reads no clock.

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// Readings of the two clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock of this process, in microseconds. It continues while the process is stopped.
    pub mono: u64,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
}

impl Now {
    /// Creates a reading from both clocks.
    pub fn new(mono: u64, wall: u64) -> Self {
        Self { mono, wall }
    }

    /// The monotonic time `ms` milliseconds later, in microseconds.
    pub fn after(&self, ms: u64) -> u64 {
        self.mono.saturating_add(ms.saturating_mul(MS))
    }
}
