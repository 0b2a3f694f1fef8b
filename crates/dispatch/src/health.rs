//! What an upstream did lately, as seen from outside: never what it says about itself.

use crate::time;

/// Runs that are looked back at.
const WINDOW: u32 = 8;
/// Bad ends in the window that put an upstream aside. One alone happens to sound ones: a task
/// fails by its own fault about once in 500 runs.
const BAD: u32 = 2;
/// Time for which an upstream is ejected first, microseconds; it doubles each time.
const ASIDE: u64 = 1_500 * time::MS;
/// Longest time for which it is ejected, microseconds.
const MAX_ASIDE: u64 = 6_000 * time::MS;

/// How an upstream did lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    ends: u32,
    noted: u32,
    aside: u64,
    times: u32,
    trial: bool,
}

impl Health {
    /// A run has done its work.
    pub fn good(&mut self) {
        self.note(false);
        if self.trial {
            self.trial = false;
            self.ends = 0;
        }
        if self.ends == 0 && self.noted >= WINDOW {
            self.times = 0;
        }
    }

    /// A run failed or made no progress. True if the upstream is ejected by it.
    pub fn bad(&mut self, now: u64) -> bool {
        self.note(true);
        let aside = self.trial || self.ends.count_ones() >= BAD;
        if aside && now >= self.aside {
            let time = (ASIDE << self.times.min(4)).min(MAX_ASIDE);
            self.aside = now + time;
            self.times += 1;
            self.trial = true;
            self.ends = 0;
            return true;
        }
        false
    }

    /// Whether it is ejected.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.aside
    }

    /// Whether it may run one task only, until that one has done its work.
    pub fn is_on_trial(&self) -> bool {
        self.trial
    }

    /// Whether an end was bad lately.
    pub fn is_suspected(&self) -> bool {
        self.ends != 0
    }

    fn note(&mut self, bad: bool) {
        self.ends = (self.ends << 1 | u32::from(bad)) & ((1 << WINDOW) - 1);
        self.noted += 1;
    }
}
