//! How often streams are dialled anew.
//!
//! A stream that carries nothing any more and one whose other end is late look alike. Dialling the
//! first anew is all that helps; dialling the second loses what is on its way and costs both ends
//! time that they lack, so that the next answer is later still. So dials are few. Each one that is
//! answered soon allows more, unless answers came lately on streams that were not dialled: dead
//! streams do not come back by themselves.

use crate::time;

/// A stream without an answer is dialled anew after this, microseconds.
const SILENT: u64 = 700 * time::MS;
/// After this where at least half of an instance's streams are without one, microseconds: it is late
/// itself, or all others are. Heartbeats that are a second late are echoed as long again after.
const ALL_SILENT: u64 = 1_200 * time::MS;
/// The pause doubles so many times at most: 11 s, well below the time after which an instance is
/// forgotten (30 s).
const DOUBLINGS: u32 = 4;
/// An answer within this time shows that the former stream was dead, microseconds: a heartbeat
/// there and one back (150 ms each) on a new connection.
const SOON: u64 = 500 * time::MS;
/// Dials that an instance has at the start, and never more but by answers: the keepers of two other
/// zones.
const FIRST: u32 = 4;
/// Dials for each that is answered soon: the hundred streams of a hub take three rounds.
const MORE: u32 = 4;
/// Most dials at a time.
const MOST: u32 = 32;
/// An instance without any gets one after this, microseconds.
const REFILL: u64 = 1_000 * time::MS;
/// An answer after this, on a stream that was not dialled, shows that others are late, not gone,
/// microseconds: three heartbeats have not come before it.
const GAP: u64 = 450 * time::MS;
/// It shows so for this long, microseconds.
const LATE: u64 = 5_000 * time::MS;

/// The dials of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stream {
    last: u64,
    times: u32,
}

/// Whether a stream that was answered last at `answered` is silent.
pub fn is_silent(answered: u64, now: u64) -> bool {
    now >= answered + SILENT
}

impl Stream {
    /// Whether the stream is to be dialled anew: an answer came last at `answered`. `most` says that
    /// many streams are silent; `salt` sets it apart from others that fell silent at the same time.
    pub fn is_due(self, answered: u64, most: bool, salt: u32, now: u64) -> bool {
        let pause = if most { ALL_SILENT } else { SILENT } << self.times;
        let spread = u64::from(salt.rotate_left(self.times)) % (pause / 2);
        now >= answered.max(self.last) + pause + spread
    }
}

/// The dials that an instance may make.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: u32,
    refilled: u64,
    late: u64,
    count: u64,
}

impl Budget {
    /// The budget of an instance that starts.
    pub fn new(now: u64) -> Self {
        Self { left: FIRST, refilled: now, late: 0, count: 0 }
    }

    /// Dials so far.
    pub fn count(self) -> u64 {
        self.count
    }

    /// Lets time pass.
    pub fn refill(&mut self, now: u64) {
        if now >= self.refilled + REFILL {
            self.refilled = now;
            // What an answer allowed is not saved up.
            self.left = (self.left + 1).min(FIRST);
        }
    }

    /// Takes a dial, if one is left.
    pub fn spend(&mut self, stream: &mut Stream, now: u64) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        self.count += 1;
        stream.last = now;
        stream.times = (stream.times + 1).min(DOUBLINGS);
        true
    }

    /// Notes that an answer came on a stream, where the one before came at `former`.
    pub fn answered(&mut self, stream: &mut Stream, former: u64, now: u64) {
        let gap = former > 0 && now >= former + GAP;
        if gap && stream.times == 0 {
            self.late = now + LATE;
            self.left = self.left.min(FIRST);
        } else if stream.times > 0 && now < stream.last + SOON && now >= self.late {
            self.left = (self.left + MORE).min(MOST);
        }
        stream.times = 0;
    }
}
