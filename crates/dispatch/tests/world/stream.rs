//! Streams between instances that delay their messages.

use rand::RngExt as _;

use super::{StreamDelay, World, upstream::MS};

impl World {
    /// Returns when a message arrives that would arrive at `at` on a stream without a delay.
    pub(super) fn arrival_time(&mut self, from: usize, to: usize, at: u64) -> u64 {
        let wait = self.stream_delays.get(&(from, to)).map_or(0, |delay| match delay.since {
            Some(since) => delay.max.min((self.now - since) / 2),
            None => delay.max,
        });
        if wait == 0 && !self.last_arrival.contains_key(&(from, to)) {
            return at;
        }
        let last = self.last_arrival.entry((from, to)).or_default();
        *last = (at + wait).max(*last);
        *last
    }

    /// Delays messages from one instance to another by `ms` milliseconds from now on; 0 ends the
    /// delay.
    pub fn delay_stream(&mut self, from: usize, to: usize, ms: u64) {
        self.set_delay(from, to, StreamDelay { max: ms * MS, since: None });
    }

    /// Delays messages from one instance to another by a growing time, up to `ms` milliseconds.
    pub fn grow_delay(&mut self, from: usize, to: usize, ms: u64) {
        self.set_delay(from, to, StreamDelay { max: ms * MS, since: Some(self.now) });
    }

    fn set_delay(&mut self, from: usize, to: usize, delay: StreamDelay) {
        if delay.max == 0 {
            self.stream_delays.remove(&(from, to));
        } else if from != to {
            self.stream_delays.insert((from, to), delay);
        }
    }

    /// Adds the random delay to the arrival time `due` of a message and keeps the order of its
    /// stream.
    pub(super) fn add_jitter(&mut self, from: usize, to: usize, due: u64) -> u64 {
        let (min, max) = self.jitter;
        if max == 0 {
            return due;
        }
        let latest = self.last_jittered.entry((from, to)).or_default();
        *latest = (due + self.rng.random_range(min..max)).max(*latest);
        *latest
    }
}
