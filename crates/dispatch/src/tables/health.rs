//! Health of an upstream, judged by the results of its runs and never by its own reports.

use crate::messages::time;

/// Number of most recent runs that count.
const WINDOW: u32 = 8;
/// Number of failures in the window that eject an upstream. A single one also occurs at healthy
/// upstreams: a task fails by its own fault about once in 500 runs.
const EJECT_THRESHOLD: u32 = 2;
/// Length of the first ejection, microseconds; it doubles with each further one.
const FIRST_EJECTION: u64 = 1_500 * time::MS;
/// Longest ejection, microseconds.
const MAX_EJECTION: u64 = 6_000 * time::MS;

/// Recent results of an upstream's runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Results of the last runs, one bit each, the newest lowest; 1 is a failed or hung run.
    results: u32,
    recorded: u32,
    ejected_until: u64,
    ejections: u32,
    trial: bool,
}

impl Health {
    /// Records a run that completed.
    pub fn record_success(&mut self) {
        self.record(false);
        if self.trial {
            self.trial = false;
            self.results = 0;
        }
        if self.results == 0 && self.recorded >= WINDOW {
            self.ejections = 0;
        }
    }

    /// Records a run that failed or made no progress, and returns whether this ejects the upstream.
    pub fn record_failure(&mut self, now: u64) -> bool {
        self.record(true);
        let unhealthy = self.trial || self.results.count_ones() >= EJECT_THRESHOLD;
        if unhealthy && now >= self.ejected_until {
            let length = (FIRST_EJECTION << self.ejections.min(4)).min(MAX_EJECTION);
            self.ejected_until = now + length;
            self.ejections += 1;
            self.trial = true;
            self.results = 0;
            return true;
        }
        false
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Whether the upstream is limited to one task until that task completes.
    pub fn is_on_trial(&self) -> bool {
        self.trial
    }

    /// Whether a recent run failed or made no progress.
    pub fn is_suspected(&self) -> bool {
        self.results != 0
    }

    fn record(&mut self, failed: bool) {
        self.results = (self.results << 1 | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.recorded += 1;
    }
}
