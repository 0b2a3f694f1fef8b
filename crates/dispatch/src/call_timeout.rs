//! How quickly upstreams answer lately, and how many calls they leave without an answer.
//!
//! The load this answers: links or upstreams that lose one order in twenty. A job of eight tasks of 60 ms
//! then has a lost start, or lost news of an end, nearly every second time, and its objective leaves 90
//! ms for all of that.

use crate::time;

/// Longest time for the answer to an order, milliseconds: twenty round trips between zones. Until it is
/// over the upstream gets nothing else.
pub(crate) const PATIENCE: u64 = 50;
/// The shortest, milliseconds: timers and threads are late by some.
const LEAST: u64 = 10;
/// Answers may take this many times as long as the slowest one lately.
const MARGIN: u64 = 2;
/// What happened within the last one or two of these counts, microseconds.
const SPAN: u64 = 1_000 * time::MS;
/// Calls count as lost, and not some upstreams as gone, from so many on.
const FEW: u32 = 4;
/// They are many from one in so many on.
const MANY: u32 = 50;

/// Times and losses of the calls to all upstreams of a scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTimeout {
    /// This span and the one before.
    spans: [Span; 2],
    turned: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    /// Slowest answer, microseconds.
    slowest: u64,
    answered: u32,
    lost: u32,
}

impl CallTimeout {
    /// A call was answered after `took` microseconds; 0 where that tells nothing.
    pub fn answered(&mut self, took: u64, now: u64) {
        let span = self.span(now);
        span.slowest = span.slowest.max(took);
        span.answered += 1;
    }

    /// A call was lost: the upstream answers the next one.
    pub fn lost(&mut self, now: u64) {
        self.span(now).lost += 1;
    }

    /// An order that was given up had been carried out in time: its answer only was late.
    pub fn late(&mut self, now: u64) {
        let span = self.span(now);
        span.slowest = span.slowest.max(PATIENCE * time::MS);
    }

    /// Time for the answer to an order, milliseconds.
    pub fn patience(&self) -> u64 {
        match self.spans.iter().map(|span| span.slowest).max() {
            None | Some(0) => PATIENCE,
            Some(slowest) => (slowest * MARGIN).div_ceil(time::MS).clamp(LEAST, PATIENCE),
        }
    }

    /// Whether many calls were lost lately.
    pub fn is_lossy(&self) -> bool {
        let answered: u32 = self.spans.iter().map(|span| span.answered).sum();
        let lost: u32 = self.spans.iter().map(|span| span.lost).sum();
        lost >= FEW && lost.saturating_mul(MANY) >= answered
    }

    fn span(&mut self, now: u64) -> &mut Span {
        if now >= self.turned + SPAN {
            let former = if now < self.turned + 2 * SPAN { self.spans[0] } else { Span::default() };
            self.spans = [Span::default(), former];
            self.turned = now;
        }
        &mut self.spans[0]
    }
}
