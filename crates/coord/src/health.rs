//! Health of upstreams: observed service times, ejection of those that fail what they start, and
//! a slow start when they return.

use crate::time;

/// Failures in a row after which an upstream is ejected.
pub const EJECT_AFTER: u32 = 4;
/// First ejection, microseconds; each further one is twice as long.
const EJECTION: u64 = 2_000 * time::MS;
/// Longest ejection, microseconds.
const MAX_EJECTION: u64 = 60_000 * time::MS;
/// After a refusal for want of room nothing is sent for this long, microseconds.
const FULL_PAUSE: u64 = 20 * time::MS;
/// Weight of the latest service time in the moving average.
const WEIGHT: f64 = 0.2;

/// What is observed of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of service times, microseconds; 0 before the first.
    pub mean: f64,
    failures: u32,
    ejections: u32,
    until: u64,
    paused: u64,
    /// Most tasks at a time while it proves itself again; 0 = no limit.
    limit: u32,
}

impl Health {
    /// A task was answered after `took` microseconds.
    pub fn succeeded(&mut self, took: u64) {
        let took = took as f64;
        self.mean = if self.mean == 0.0 { took } else { self.mean + WEIGHT * (took - self.mean) };
        self.failures = 0;
        if self.limit > 0 {
            self.limit *= 2;
        }
        if self.limit > 64 {
            self.limit = 0;
            self.ejections = 0;
        }
    }

    /// A task failed. Tells whether the upstream has failed enough in a row to be ejected.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECT_AFTER || self.limit > 0
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: u64) {
        let length = EJECTION.saturating_mul(1 << self.ejections.min(5)).min(MAX_EJECTION);
        self.until = now + length;
        self.ejections += 1;
        self.failures = 0;
        self.limit = 1;
    }

    /// The upstream refused a task for want of room.
    pub fn full(&mut self, now: u64) {
        self.paused = now + FULL_PAUSE;
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.until
    }

    /// Whether a further task may go there beside `outstanding` ones.
    pub fn admits(&self, outstanding: u32, now: u64) -> bool {
        !self.is_ejected(now) && now >= self.paused && (self.limit == 0 || outstanding < self.limit)
    }
}

/// The latest service times of a service, for quantiles.
#[derive(Clone, Debug, Default)]
pub struct Times {
    ring: Vec<u64>,
    at: usize,
}

impl Times {
    const LENGTH: usize = 256;

    /// Notes one service time, microseconds.
    pub fn note(&mut self, took: u64) {
        if self.ring.len() < Self::LENGTH {
            self.ring.push(took);
        } else {
            self.ring[self.at] = took;
        }
        self.at = (self.at + 1) % Self::LENGTH;
    }

    /// Mean of the latest times; nothing before the first.
    pub fn mean(&self) -> Option<u64> {
        let count = self.ring.len() as u64;
        (count > 0).then(|| self.ring.iter().sum::<u64>() / count)
    }

    /// A quantile of the latest times; nothing before there are enough to tell.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        const ENOUGH: usize = 20;
        if self.ring.len() < ENOUGH {
            return None;
        }
        let mut sorted = self.ring.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() - 1) as f64 * share) as usize;
        sorted.get(at).copied()
    }
}
