//! How fast an upstream runs tasks, measured from its runs.
//!
//! This handles upstreams that execute every order, but several times slower than others. They
//! answer every call, so that only the duration of their runs reveals it.
//!
//! It also handles upstreams whose speeds differ for good, by less than that: a task that has just
//! enough time at most of them is late at the others.
//!
//! Declared durations are wrong at random, and by the same factor for all tasks of a job, so that
//! one run says little unless it is slower by far. Ratios are averaged as logarithms, because a run
//! that takes twice as long as declared is as likely as one that takes half as long.

use crate::time;

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

/// Weight of the newest comparison with a task of the same job in the lasting speed.
const PEER_WEIGHT: f64 = 1.0 / 4.0;
/// Weight of the newest comparison with a declared duration in the lasting speed.
const DECLARED_WEIGHT: f64 = 1.0 / 32.0;
/// What a comparison with a task of the same job shows, if one with a declared duration shows 1.
const PEER_EVIDENCE: u8 = 12;
/// Evidence from which the lasting speed of an upstream is used.
const MIN_EVIDENCE: u8 = 36;
/// Share of the time left that a task may take by the lasting speed of its upstream, which is known
/// to a few percent.
const SPEED_MARGIN: f64 = 0.95;
/// Tasks that take longer than declared by less than this factor count as on time.
const MIN_DIFFERENCE: f64 = 1.25;

/// How far the declared durations of one queue are off on average, as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeclaredBias(f64);

/// The slowest upstreams at which tasks of a queue are in time.
#[derive(Clone, Copy, Debug)]
pub struct SpeedLimit {
    /// Lasting speed with which the task takes just the time that is left.
    pub needed: f64,
    /// Lasting speed above which an upstream is too slow; at least the one with which tasks take
    /// about as long as declared.
    pub most: f64,
}

impl SpeedLimit {
    /// No upstream is too slow.
    pub const NONE: Self = Self { needed: f64::INFINITY, most: f64::INFINITY };

    /// Creates the limit for a task that may take `factor` times as long as declared.
    pub fn new(factor: f64, bias: DeclaredBias) -> Self {
        let needed = (factor * SPEED_MARGIN).ln() - bias.0;
        Self { needed, most: needed.max(MIN_DIFFERENCE.ln() - bias.0) }
    }
}

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
    /// Logarithm of the ratio of all its runs, without the bias of their queues.
    lasting: f64,
    /// What the comparisons behind it have shown, up to [`MIN_EVIDENCE`].
    evidence: u8,
}

/// The runs of a job that have completed: the tasks of a job take the same time but for the
/// upstreams that run them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRuns {
    /// Sum of the logarithms of their durations, less the lasting speeds of their upstreams.
    sum: f64,
    count: u32,
}

impl Speed {
    /// Adds a completed run with this ratio.
    pub fn record(&mut self, ratio: f64, now: u64) {
        self.log = average(self.decayed(now), ratio);
        self.updated = now;
    }

    /// Adds a completed run of a queue to the lasting speed. The ratio of its actual duration to the
    /// declared one is explained by the queue and the upstream together, so that an upstream that
    /// gets the long tasks only is not taken for another one than it is.
    pub fn learn(&mut self, ratio: f64, bias: &mut DeclaredBias) {
        let rest = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln() - bias.0 - self.lasting;
        self.lasting += rest * DECLARED_WEIGHT;
        self.evidence = (self.evidence + 1).min(MIN_EVIDENCE);
        bias.0 += rest * USUAL_WEIGHT;
    }

    /// Adds a completed run of `work` microseconds to the lasting speed by comparison with the runs
    /// of other tasks of its job on other upstreams.
    pub fn learn_from_peers(&mut self, work: u64, peers: &mut PeerRuns) {
        let log = (work as f64).ln();
        if peers.count > 0 {
            let rest = log - self.lasting - peers.sum / f64::from(peers.count);
            let limit = MAX_RATIO.ln();
            self.lasting += rest.clamp(-limit, limit) * PEER_WEIGHT;
            self.evidence = (self.evidence + PEER_EVIDENCE).min(MIN_EVIDENCE);
        }
        peers.sum += log - self.lasting;
        peers.count += 1;
    }

    /// The lasting speed as the logarithm of the ratio of its runs, if enough is known of it.
    pub fn lasting(&self) -> Option<f64> {
        (self.evidence >= MIN_EVIDENCE).then_some(self.lasting)
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
