//! Links with a bandwidth. The streams of an instance share its link in turns, as connections do;
//! the messages of one stream follow one another.

use std::collections::{BTreeMap, VecDeque};

use dispatch::message::Body;

/// What a stream sends before it is another one's turn, bytes: a few packets.
const TURN: usize = 4_096;

/// A message that has arrived: its sender, the stream that carried it, and itself.
pub type Arrived = (usize, u64, Body);

/// A message on its way.
#[derive(Debug)]
struct Load {
    left: usize,
    /// Which of the streams from its sender carries it.
    stream: u64,
    body: Body,
}

/// The link of one receiver: what waits, stream by stream, and whose turn it is.
#[derive(Debug, Default)]
struct Link {
    streams: VecDeque<(usize, VecDeque<Load>)>,
}

/// The links of instances.
#[derive(Debug, Default)]
pub struct Links {
    /// Bytes that arrive at an instance in a millisecond; at others they take no time.
    pub rates: BTreeMap<usize, u64>,
    /// Bytes that each instance was sent, by kind of message.
    pub received: BTreeMap<(usize, &'static str), u64>,
    queues: BTreeMap<usize, Link>,
}

impl Links {
    /// Whether messages to an instance take time.
    pub fn is_slow(&self, to: usize) -> bool {
        self.rates.contains_key(&to)
    }

    /// Takes a message; true if the link was idle and its next turn is to be played now.
    pub fn add(&mut self, from: usize, to: usize, stream: u64, body: Body) -> bool {
        let left = coord::machine::encode(&body).len();
        *self.received.entry((to, body.kind())).or_default() += left as u64;
        let link = self.queues.entry(to).or_default();
        let idle = link.streams.is_empty();
        let load = Load { left, stream, body };
        match link.streams.iter_mut().find(|(other, _)| *other == from) {
            Some((_, waiting)) => waiting.push_back(load),
            None => link.streams.push_back((from, VecDeque::from([load]))),
        }
        idle
    }

    /// Plays one turn of a link; gives the time that it took, microseconds, and the message that
    /// has arrived by its end. Nothing if the link is idle.
    pub fn turn(&mut self, to: usize) -> Option<(u64, Option<Arrived>)> {
        let rate = *self.rates.get(&to)?;
        let link = self.queues.get_mut(&to)?;
        let (from, mut waiting) = link.streams.pop_front()?;
        let first = waiting.front_mut()?;
        let sent = first.left.min(TURN);
        first.left -= sent;
        let whole = first.left == 0;
        let arrived = if whole {
            waiting.pop_front().map(|load| (from, load.stream, load.body))
        } else {
            None
        };
        if !waiting.is_empty() {
            link.streams.push_back((from, waiting));
        }
        Some((sent as u64 * 1_000 / rate, arrived))
    }

    /// Bytes of messages of these kinds that an instance was sent.
    pub fn bytes(&self, to: usize, kinds: &[&str]) -> u64 {
        let of = self.received.iter().filter(|((at, kind), _)| *at == to && kinds.contains(kind));
        of.map(|(_, bytes)| bytes).sum()
    }
}
