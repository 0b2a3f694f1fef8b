//! Health of upstreams: observed service times, ejection after repeated failures, and a slow start
//! after an ejection.

use crate::time;

/// Number of consecutive failures after which an upstream is ejected.
pub const EJECT_AFTER: u32 = 4;
/// Duration of the first ejection, microseconds; each further one lasts twice as long.
const FIRST_EJECTION: u64 = 2_000 * time::MS;
/// Upper bound on the duration of an ejection, microseconds.
const MAX_EJECTION: u64 = 60_000 * time::MS;
/// Time for which an upstream gets no new tasks after it refused one for lack of capacity,
/// microseconds.
const FULL_PAUSE: u64 = 20 * time::MS;
/// Weight of the latest service time in the exponential moving average.
const MEAN_WEIGHT: f64 = 0.2;

/// Observed health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of the service times, microseconds; 0 before the first one.
    pub mean: f64,
    failures: u32,
    ejections: u32,
    ejected_until: u64,
    paused_until: u64,
    /// Limit on concurrent tasks during the slow start after an ejection; 0 means no limit.
    start_limit: u32,
}

impl Health {
    /// Records an answer after `took` microseconds.
    pub fn record_success(&mut self, took: u64) {
        let took = took as f64;
        self.mean =
            if self.mean == 0.0 { took } else { self.mean + MEAN_WEIGHT * (took - self.mean) };
        self.failures = 0;
        if self.start_limit > 0 {
            self.start_limit *= 2;
        }
        if self.start_limit > 64 {
            self.start_limit = 0;
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether the upstream is due for ejection: after
    /// [`EJECT_AFTER`] failures in a row, or after any failure during the slow start.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECT_AFTER || self.start_limit > 0
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: u64) {
        let duration = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(5)).min(MAX_EJECTION);
        self.ejected_until = now + duration;
        self.ejections += 1;
        self.failures = 0;
        self.start_limit = 1;
    }

    /// Records that the upstream refused a task for lack of capacity.
    pub fn record_full(&mut self, now: u64) {
        self.paused_until = now + FULL_PAUSE;
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Whether the upstream may get a further task while it has `outstanding` ones.
    pub fn admits(&self, outstanding: u32, now: u64) -> bool {
        !self.is_ejected(now)
            && now >= self.paused_until
            && (self.start_limit == 0 || outstanding < self.start_limit)
    }
}

/// The latest service times of a service, for means and quantiles.
#[derive(Clone, Debug, Default)]
pub struct Times {
    samples: Vec<u64>,
    next: usize,
}

impl Times {
    const CAPACITY: usize = 256;

    /// Records one service time, microseconds.
    pub fn record(&mut self, took: u64) {
        if self.samples.len() < Self::CAPACITY {
            self.samples.push(took);
        } else {
            self.samples[self.next] = took;
        }
        self.next = (self.next + 1) % Self::CAPACITY;
    }

    /// Mean of the latest service times, microseconds; `None` before the first one.
    pub fn mean(&self) -> Option<u64> {
        let count = self.samples.len() as u64;
        (count > 0).then(|| self.samples.iter().sum::<u64>() / count)
    }

    /// A quantile of the latest service times, microseconds; `None` before there are enough of
    /// them.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        const MIN_SAMPLES: usize = 20;
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() - 1) as f64 * share) as usize;
        sorted.get(at).copied()
    }
}
