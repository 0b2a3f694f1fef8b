//! Timeout of orders, derived from the recent answer times of upstreams, and the rate of lost
//! calls.
//!
//! It handles links or upstreams that lose one order in twenty. Nearly every second job of eight
//! tasks of 60 ms then loses a start, or the report of an end, and its objective leaves 90 ms to
//! recover from all of that.

use crate::messages::time;

/// Longest timeout of an order, milliseconds: twenty round trips between zones. Until it has
/// passed, the scheduler sends the upstream no other order.
pub(crate) const MAX_TIMEOUT: u64 = 50;
/// Shortest timeout of an order, milliseconds: timers and threads run late by some milliseconds.
const MIN_TIMEOUT: u64 = 10;
/// The timeout is this many times as long as the slowest recent answer took.
const TIMEOUT_FACTOR: u64 = 2;
/// Length of a window, microseconds; answers and losses of the last one or two windows count.
const WINDOW: u64 = 1_000 * time::MS;
/// Minimum number of lost calls for losses to count as frequent; fewer may come from upstreams that
/// are gone.
const MIN_LOST: u32 = 4;
/// Losses are frequent when at least one call in this many was lost.
const CALLS_PER_LOSS: u32 = 50;

/// Answer times and losses of the calls to all upstreams of a scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTimeout {
    /// The present window and the one before.
    windows: [Window; 2],
    started: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Slowest answer, microseconds.
    slowest: u64,
    answered: u32,
    lost: u32,
}

impl CallTimeout {
    /// Records an answer after `took` microseconds; 0 if the time says nothing about the link.
    pub fn record_answer(&mut self, took: u64, now: u64) {
        let window = self.window(now);
        window.slowest = window.slowest.max(took);
        window.answered += 1;
    }

    /// Records a lost call, which the upstream did not answer although it answers the next one.
    pub fn record_loss(&mut self, now: u64) {
        self.window(now).lost += 1;
    }

    /// Records that an order which timed out had been carried out in time, and only its answer was
    /// late.
    pub fn record_late_answer(&mut self, now: u64) {
        let window = self.window(now);
        window.slowest = window.slowest.max(MAX_TIMEOUT * time::MS);
    }

    /// Present timeout of an order, milliseconds.
    pub fn timeout(&self) -> u64 {
        match self.windows.iter().map(|window| window.slowest).max() {
            None | Some(0) => MAX_TIMEOUT,
            Some(slowest) => {
                (slowest * TIMEOUT_FACTOR).div_ceil(time::MS).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
            }
        }
    }

    /// Whether losses have been frequent recently.
    pub fn is_lossy(&self) -> bool {
        let answered: u32 = self.windows.iter().map(|window| window.answered).sum();
        let lost: u32 = self.windows.iter().map(|window| window.lost).sum();
        lost >= MIN_LOST && lost.saturating_mul(CALLS_PER_LOSS) >= answered
    }

    fn window(&mut self, now: u64) -> &mut Window {
        if now >= self.started + WINDOW {
            let former =
                if now < self.started + 2 * WINDOW { self.windows[0] } else { Window::default() };
            self.windows = [Window::default(), former];
            self.started = now;
        }
        &mut self.windows[0]
    }
}
