//! How fast an upstream works, learned from the runs that it does.
//!
//! The load this answers: upstreams that do all that they are told, several times slower than others.
//! They answer every call, so nothing but the time of their runs shows it.
//!
//! Declared times are wrong by chance, and by the same factor for all tasks of a job, so that one run
//! tells little unless it is slower by far. Ratios are averaged as logarithms, because a run that takes twice
//! as long as declared is as likely as one that takes half of it.

use crate::time;

/// Weight of the newest run at one upstream.
const NEWEST: f64 = 0.5;
/// Weight of the newest run among those of all upstreams.
const NEWEST_OF_ALL: f64 = 1.0 / 64.0;
/// An upstream is slow whose runs take this many times as long as usual.
const SLOW: f64 = 2.5;
/// What was learned counts half after this time without a further run, microseconds, so that a slow
/// upstream is tried again.
const HALF_LIFE: f64 = 4_000.0 * time::MS as f64;
/// A run tells nothing of its pace before this time, milliseconds: percents are whole numbers.
const SOON: u64 = 20;
/// A single run counts for no more than this, as a ratio: declared times may be wrong by anything.
const MOST: f64 = 16.0;

/// What runs usually take, against what is declared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    /// Logarithm of the ratio.
    log: f64,
}

impl Usual {
    /// Takes a run that has ended; gives its ratio against the usual one.
    pub fn note(&mut self, ratio: f64) -> f64 {
        let log = ratio.clamp(1.0 / MOST, MOST).ln();
        let against = (log - self.log).exp();
        self.log += NEWEST_OF_ALL * (log - self.log);
        against
    }

    /// A ratio against the usual one.
    pub fn compare(&self, ratio: f64) -> f64 {
        ratio / self.log.exp()
    }
}

/// How fast one upstream works, against what is usual.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Logarithm of the ratio, by the runs that have ended.
    log: f64,
    at: u64,
    /// The same with the runs that go on.
    going: f64,
}

impl Speed {
    /// Takes a run that has ended with this ratio.
    pub fn note(&mut self, ratio: f64, now: u64) {
        self.log = average(self.learned(now), ratio);
        self.at = now;
    }

    /// Takes the ratios that runs which go on come to at their pace.
    pub fn set_going(&mut self, ratios: impl Iterator<Item = f64>, now: u64) {
        self.going = ratios.fold(self.learned(now), average);
    }

    /// By how much its runs take longer than usual, at least 1.
    pub fn slowness(&self, now: u64) -> f64 {
        self.learned(now).max(self.going).max(0.0).exp()
    }

    /// Whether it is slow.
    pub fn is_slow(&self, now: u64) -> bool {
        self.slowness(now) >= SLOW
    }

    fn learned(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.log * (-age / HALF_LIFE).exp2()
    }
}

/// How long a run takes that goes on, milliseconds, at its pace so far; nothing if it is too early to tell.
pub fn projected(elapsed: u64, percent: u32) -> Option<f64> {
    let done = f64::from(percent) + 0.5;
    (elapsed >= SOON && percent > 0).then(|| elapsed as f64 * 100.0 / done)
}

fn average(log: f64, ratio: f64) -> f64 {
    log + NEWEST * (ratio.clamp(1.0 / MOST, MOST).ln() - log)
}
