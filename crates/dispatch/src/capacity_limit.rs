//! What an upstream is believed to hold after it refused a task that should fit.
//!
//! The load this answers: an upstream whose room has shrunk before it told so, or that runs something
//! unknown. It looks as if it had room, and the tightest fit besides, so that it would be asked again
//! each 30 ms until its next announcement, with a refusal each time (`room::refused_again_and_again`:
//! 6 in a second, 33 without this).

use crate::time;

/// First time for which a refusal is believed, microseconds: a task that was unknown may end.
const FIRST: u64 = 30 * time::MS;
/// It doubles with each further refusal so many times at most, to 960 ms: upstreams announce
/// themselves each second or two.
const DOUBLINGS: u32 = 5;

/// Cores at which an upstream refused a task lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityLimit {
    /// All that runs there takes less than this, thousandths of a core.
    refused: u64,
    until: u64,
    times: u32,
}

impl CapacityLimit {
    /// A task was refused that would have made the upstream hold `cpu`.
    pub fn refused(&mut self, cpu: u64, now: u64) {
        self.refused = cpu;
        self.until = now + (FIRST << self.times);
        self.times = (self.times + 1).min(DOUBLINGS);
    }

    /// A task was taken that makes the upstream hold `cpu`.
    pub fn taken(&mut self, cpu: u64) {
        if cpu >= self.refused {
            *self = Self::default();
        }
    }

    /// The most that it holds as far as is known, if it says `cpu`.
    pub fn limit(&self, cpu: u64, now: u64) -> u64 {
        if now < self.until { cpu.min(self.refused.saturating_sub(1)) } else { cpu }
    }
}
