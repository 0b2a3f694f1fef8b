//! How fast an upstream runs tasks, measured from its runs.
//!
//! This handles upstreams that execute every order, but several times slower than others. They
//! answer every call, so that only the duration of their runs reveals it.
//!
//! Declared durations are wrong at random, and by the same factor for all tasks of a job, so that
//! one run says little unless it is slower by far. Ratios are averaged as logarithms, because a run
//! that takes twice as long as declared is as likely as one that takes half as long.

use crate::messages::time;

/// Weight of the newest run of one upstream.
const RUN_WEIGHT: f64 = 0.5;
/// Weight of the newest run among those of all upstreams.
const USUAL_WEIGHT: f64 = 1.0 / 64.0;
/// An upstream is slow if its runs take this many times as long as usual.
const SLOW_RATIO: f64 = 2.5;
/// Time without a further run after which the measured value counts half, microseconds, so that the
/// scheduler tries a slow upstream again.
const HALF_LIFE: f64 = 4_000.0 * time::MS as f64;
/// How long a run must have been in progress before its pace is estimated, milliseconds: progress
/// is reported in whole percent.
const MIN_ELAPSED: u64 = 20;
/// Largest ratio that a single run may count for: declared durations may be wrong by any factor.
const MAX_RATIO: f64 = 16.0;

/// The usual ratio of the actual duration of runs to the declared one.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualRatio {
    /// Logarithm of the usual ratio.
    log: f64,
}

impl UsualRatio {
    /// Adds a completed run and returns its ratio relative to the usual one.
    pub fn record(&mut self, ratio: f64) -> f64 {
        let log = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let relative = (log - self.log).exp();
        self.log += USUAL_WEIGHT * (log - self.log);
        relative
    }

    /// Returns a ratio relative to the usual one.
    pub fn compare(&self, ratio: f64) -> f64 {
        ratio / self.log.exp()
    }
}

/// The speed of one upstream relative to the usual one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Average logarithm of the ratio of the completed runs.
    log: f64,
    updated: u64,
    /// The same logarithm, with the runs in progress included.
    ongoing: f64,
}

impl Speed {
    /// Adds a completed run with this ratio.
    pub fn record(&mut self, ratio: f64, now: u64) {
        self.log = average(self.decayed(now), ratio);
        self.updated = now;
    }

    /// Sets the ratios that the runs in progress would reach at their present pace.
    pub fn set_ongoing(&mut self, ratios: impl Iterator<Item = f64>, now: u64) {
        self.ongoing = ratios.fold(self.decayed(now), average);
    }

    /// The factor by which its runs take longer than usual, at least 1.
    pub fn slowness(&self, now: u64) -> f64 {
        self.decayed(now).max(self.ongoing).max(0.0).exp()
    }

    /// Whether the upstream is slow.
    pub fn is_slow(&self, now: u64) -> bool {
        self.slowness(now) >= SLOW_RATIO
    }

    fn decayed(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.updated) as f64;
        self.log * (-age / HALF_LIFE).exp2()
    }
}

/// The expected duration of a run in progress at its pace so far, milliseconds; `None` if it is too
/// early for an estimate.
pub fn projected(elapsed: u64, percent: u32) -> Option<f64> {
    let done = f64::from(percent) + 0.5;
    (elapsed >= MIN_ELAPSED && percent > 0).then(|| elapsed as f64 * 100.0 / done)
}

fn average(log: f64, ratio: f64) -> f64 {
    log + RUN_WEIGHT * (ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln() - log)
}
