//! Lasting speeds: how long runs take at one upstream relative to the others, over many runs.
//!
//! This handles upstreams whose speeds differ by less than that of a slow one
//! ([`speed`](crate::tables::speed)), but always: a task that has just enough time at most of them
//! is late at the others.
//!
//! The tasks of a job take about the same time but for the upstreams that run them, and declared
//! durations are wrong by the same factor for all of them. So the runs of one job are compared with
//! each other, all at once when the last of them has ended: the runs that end first are the shorter
//! ones, so that a comparison with the runs that have ended so far takes each upstream for slower
//! than it is.
//!
//! An estimate comes with its variance, and an upstream counts as far slower only when that is
//! beyond doubt.

use crate::messages::{incarnation, time};

/// Variance of the logarithm of a run's duration among the tasks of one job.
const RUN_VARIANCE: f32 = 0.03;
/// Variance of the logarithm of the ratio between the actual and the declared duration of a job.
const DECLARED_VARIANCE: f32 = 0.16;
/// Variance of the logarithm of an upstream's speed before its first run.
const PRIOR_VARIANCE: f32 = 0.16;
/// What a speed may have changed by since the last run, as a variance: without it, later runs would
/// teach nothing.
const CHANGE_VARIANCE: f32 = 0.001;
/// Error with which the duration of a run is known, microseconds.
const MEASURING_ERROR: f32 = 3.0 * time::MS as f32;
/// Largest difference of a run from what was expected that counts, as a logarithm.
const MAX_SURPRISE: f32 = 1.4;
/// Number of standard deviations beyond which a difference is taken for real.
const CONFIDENCE: f32 = 3.0;
/// An upstream is far slower if its runs take this many times as long as at the middle one.
const FAR_SLOWER: f32 = 1.5;
/// It remains so until they take less than this many times as long. Without the difference, a speed
/// near the bound would change the result with every other run.
const STILL_SLOWER: f32 = 1.25;
/// Largest ratio that a single run may count for: declared durations may be wrong by any factor.
const MAX_RATIO: f32 = 1_000.0;
/// Variance below which the speed of an upstream counts among those that the middle is taken from.
const KNOWN_VARIANCE: f32 = 0.03;
/// Least number of known upstreams that have a middle.
pub(crate) const MIN_KNOWN: usize = 3;
/// Time without a run after which nothing is known of a speed any more, microseconds.
const RETENTION: u64 = 15_000 * time::MS;
/// Weight of the newest run in the scatter of all runs.
const SCATTER_WEIGHT: f32 = 1.0 / 128.0;
/// Largest factor by which runs are known to scatter more than assumed.
const MAX_SCATTER: f32 = 16.0;

/// A completed run of a task, kept until the other tasks of its step have ended.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the step.
    pub step: u32,
    /// The upstream that ran it.
    pub upstream: incarnation::Incarnation,
    /// Logarithm of the ratio between its actual and its declared duration.
    pub ratio: f32,
    /// Variance of that logarithm by the error of the measurement.
    pub error: f32,
}

impl Sample {
    /// Creates the sample of a run that took `work` microseconds and was declared as `estimate`
    /// milliseconds; both are more than 0.
    pub fn new(step: u32, upstream: incarnation::Incarnation, work: u64, estimate: u64) -> Self {
        let declared = estimate as f32 * time::MS as f32;
        let ratio = (work as f32 / declared).clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let error = (MEASURING_ERROR / work as f32).powi(2);
        Self { step, upstream, ratio, error }
    }
}

/// The lasting speed of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Lasting {
    /// Estimate of the logarithm of the ratio between actual and declared durations.
    log: f32,
    variance: f32,
    updated: u64,
    far_slower: bool,
}

impl Default for Lasting {
    fn default() -> Self {
        Self { log: 0.0, variance: PRIOR_VARIANCE, updated: 0, far_slower: false }
    }
}

impl Lasting {
    /// The factor of the declared durations that runs take there, if it is far slower than the
    /// middle one.
    pub fn pace(&self) -> Option<f64> {
        self.far_slower.then(|| f64::from(self.log).exp())
    }

    /// Logarithm of the ratio of its runs, if it is known.
    pub fn known(&self, now: u64) -> Option<f32> {
        let is_recent = now < self.updated + RETENTION;
        (is_recent && self.variance <= KNOWN_VARIANCE).then_some(self.log)
    }

    /// Compares it with the middle one, if there is one, and returns whether the result has
    /// changed.
    pub fn compare(&mut self, middle: Option<f32>, now: u64) -> bool {
        let least = self.log - CONFIDENCE * self.variance.sqrt();
        let bound = if self.far_slower { STILL_SLOWER } else { FAR_SLOWER };
        let far_slower = now < self.updated + RETENTION
            && middle.is_some_and(|middle| least - middle > bound.ln());
        std::mem::replace(&mut self.far_slower, far_slower) != far_slower
    }

    /// Adds a run that took longer than expected by `surprise`, a logarithm whose own variance is
    /// `variance`.
    fn learn(&mut self, surprise: f32, variance: f32, now: u64) {
        if now >= self.updated + RETENTION {
            *self = Self::default();
        }
        let prior = self.variance + CHANGE_VARIANCE;
        let gain = prior / (prior + variance);
        self.log += gain * surprise.clamp(-MAX_SURPRISE, MAX_SURPRISE);
        self.variance = prior * (1.0 - gain);
        self.updated = now;
    }
}

/// What the lasting speeds of a zone have in common.
#[derive(Clone, Copy, Debug)]
pub struct Scatter {
    /// How much the squares of the differences exceed the expected ones.
    factor: f32,
}

impl Default for Scatter {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Scatter {
    /// Learns from all runs of a step of one job. `speeds` holds the lasting speed of the upstream
    /// of each sample; the results are in the same order.
    pub fn learn(&mut self, samples: &[Sample], speeds: &[Lasting], now: u64) -> Vec<Lasting> {
        let runs = || samples.iter().zip(speeds);
        let expected: Vec<_> = samples
            .iter()
            .map(|sample| {
                let peers = runs().filter(|(other, _)| other.upstream != sample.upstream);
                Expectation::new(peers, sample.error, self.factor)
            })
            .collect();
        let mut learned = Vec::with_capacity(samples.len());
        for ((sample, speed), expected) in runs().zip(expected) {
            let surprise = sample.ratio - expected.log - speed.log;
            let whole = expected.variance + speed.variance;
            let observed = self.factor * (surprise * surprise / whole).min(MAX_SCATTER);
            self.factor += SCATTER_WEIGHT * (observed - self.factor);
            self.factor = self.factor.clamp(1.0, MAX_SCATTER);
            let mut speed = *speed;
            speed.learn(surprise, expected.variance, now);
            learned.push(speed);
        }
        learned
    }
}

/// What is expected of a run by the other runs of its job, at an upstream of speed 0.
struct Expectation {
    log: f32,
    variance: f32,
}

impl Expectation {
    fn new<'a>(
        peers: impl Iterator<Item = (&'a Sample, &'a Lasting)>,
        error: f32,
        scatter: f32,
    ) -> Self {
        let run = RUN_VARIANCE * scatter;
        // The declared duration counts like one more run, of a larger variance.
        let (mut sum, mut weight) = (0.0, 1.0 / DECLARED_VARIANCE);
        for (sample, speed) in peers {
            let precision = 1.0 / (run + sample.error + speed.variance);
            sum += precision * (sample.ratio - speed.log);
            weight += precision;
        }
        Self { log: sum / weight, variance: run + error + 1.0 / weight }
    }
}
