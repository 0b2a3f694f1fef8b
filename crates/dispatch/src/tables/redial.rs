//! Limits how often an instance reconnects its streams.
//!
//! A dead stream and a stream to a late instance look the same. Only a reconnect repairs a dead
//! stream. Reconnecting to a late instance loses the messages in transit and costs both ends time
//! that they lack, so that the next answer is later still. The number of reconnects is therefore
//! small. Each one that is answered soon allows more, unless answers recently came after a delay on
//! streams that were not reconnected: dead streams do not recover by themselves.

use crate::messages::time;

/// A stream without an answer is reconnected after this time, in microseconds.
const RETRY_AFTER: u64 = 700 * time::MS;
/// The same time while at least half of an instance's streams have no answer, in microseconds: the
/// instance itself is late, or all others are. Heartbeats that are a second late get their echo
/// another second later.
const RETRY_LATE: u64 = 1_200 * time::MS;
/// Maximum number of times that the delay doubles: up to 11 s, well below the time after which an
/// instance is forgotten (30 s).
const MAX_DOUBLINGS: u32 = 4;
/// An answer within this time of a reconnect shows that the former stream was dead, in
/// microseconds: a heartbeat in each direction (150 ms each) on a new connection.
const PROMPT_ANSWER: u64 = 500 * time::MS;
/// Reconnects that an instance may make at the start, and its maximum unless answers earn more:
/// enough for the keepers of two other zones.
const INITIAL_BUDGET: u32 = 4;
/// Reconnects earned by each one that is answered soon: the hundred streams of a hub take three
/// rounds.
const EARNED_BUDGET: u32 = 4;
/// Maximum number of reconnects that the budget holds.
const MAX_BUDGET: u32 = 32;
/// Interval at which the budget gains one reconnect, in microseconds.
const REFILL_INTERVAL: u64 = 1_000 * time::MS;
/// An answer after a silence of this length, on a stream that was not reconnected, shows that other
/// instances are late, not gone, in microseconds: three heartbeats before it did not come.
const LATE_GAP: u64 = 450 * time::MS;
/// Such an answer counts for this long, in microseconds.
const LATE_PERIOD: u64 = 5_000 * time::MS;

/// The reconnects of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stream {
    last: u64,
    retries: u32,
}

/// Whether a stream whose last answer came at `answered` is silent.
pub fn is_silent(answered: u64, now: u64) -> bool {
    now >= answered + RETRY_AFTER
}

impl Stream {
    /// Whether the stream is due for a reconnect. Its last answer came at `answered`; `most` says
    /// that at least half of the streams are silent. `salt` spreads the reconnects of streams that
    /// fell silent at the same time.
    pub fn is_due(self, answered: u64, most: bool, salt: u32, now: u64) -> bool {
        let delay = if most { RETRY_LATE } else { RETRY_AFTER } << self.retries;
        let jitter = u64::from(salt.rotate_left(self.retries)) % (delay / 2);
        now >= answered.max(self.last) + delay + jitter
    }
}

/// Budget for the reconnects of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: u32,
    refilled: u64,
    late_until: u64,
    count: u64,
}

impl Budget {
    /// Creates the budget of an instance that starts.
    pub fn new(now: u64) -> Self {
        Self { left: INITIAL_BUDGET, refilled: now, late_until: 0, count: 0 }
    }

    /// Number of reconnects so far.
    pub fn count(self) -> u64 {
        self.count
    }

    /// Adds a reconnect if the refill interval has passed.
    pub fn refill(&mut self, now: u64) {
        if now >= self.refilled + REFILL_INTERVAL {
            self.refilled = now;
            // The budget does not keep what answers earned beyond its initial size.
            self.left = (self.left + 1).min(INITIAL_BUDGET);
        }
    }

    /// Takes a reconnect for this stream from the budget, if one is left.
    pub fn spend(&mut self, stream: &mut Stream, now: u64) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        self.count += 1;
        stream.last = now;
        stream.retries = (stream.retries + 1).min(MAX_DOUBLINGS);
        true
    }

    /// Handles an answer on a stream, whose previous answer came at `former`.
    pub fn record_answer(&mut self, stream: &mut Stream, former: u64, now: u64) {
        let delayed = former > 0 && now >= former + LATE_GAP;
        if delayed && stream.retries == 0 {
            self.late_until = now + LATE_PERIOD;
            self.left = self.left.min(INITIAL_BUDGET);
        } else if stream.retries > 0 && now < stream.last + PROMPT_ANSWER && now >= self.late_until
        {
            self.left = (self.left + EARNED_BUDGET).min(MAX_BUDGET);
        }
        stream.retries = 0;
    }
}
