//! Estimated capacity of an upstream after it refused a task that should fit.
//!
//! It handles an upstream whose room has shrunk before it announced the change, or that runs an
//! unknown task. The upstream seems to have room, and to be the tightest fit as well, so that the
//! scheduler would try to start a task there every 30 ms until its next announcement, with a
//! refusal each time (`room::refused_again_and_again`: 6 refusals in a second with the estimate, 33
//! without).

use crate::messages::time;

/// Time for which the first refusal limits the capacity, microseconds: the unknown task may end.
const INITIAL_PERIOD: u64 = 30 * time::MS;
/// That time doubles with each further refusal, at most this many times, to 960 ms: upstreams
/// announce themselves every second or two.
const MAX_DOUBLINGS: u32 = 5;

/// Number of cores at which an upstream recently refused a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityLimit {
    /// All runs there together take less than this, thousandths of a core.
    refused_cpu: u64,
    until: u64,
    doublings: u32,
}

impl CapacityLimit {
    /// Records the refusal of a task with which the runs there would have taken `cpu`.
    pub fn record_refusal(&mut self, cpu: u64, now: u64) {
        self.refused_cpu = cpu;
        self.until = now + (INITIAL_PERIOD << self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Records the start of a task with which the runs there take `cpu`.
    pub fn record_start(&mut self, cpu: u64) {
        if cpu >= self.refused_cpu {
            *self = Self::default();
        }
    }

    /// Estimated capacity of an upstream that announces `cpu`.
    pub fn limit(&self, cpu: u64, now: u64) -> u64 {
        if now < self.until { cpu.min(self.refused_cpu.saturating_sub(1)) } else { cpu }
    }
}
