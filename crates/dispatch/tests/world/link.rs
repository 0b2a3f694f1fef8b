//! Links with a limited bandwidth. The streams to an instance share its link in round-robin turns,
//! as connections do; the messages of one stream are sent one after another.

use std::collections::{BTreeMap, VecDeque};

use dispatch::message::Body;

/// The most that a stream sends in one turn, bytes: a few packets.
const TURN_BYTES: usize = 4_096;

/// A message that has arrived: its sender, the stream that carried it, and the body.
pub type Arrived = (usize, u64, Body);

/// A message in transit.
#[derive(Debug)]
struct Transfer {
    /// Bytes that are still to be sent.
    remaining: usize,
    /// The stream from the sender that carries the message.
    stream: u64,
    body: Body,
}

/// The link of one receiver: the queued messages by sender. The front sender has the next turn.
#[derive(Debug, Default)]
struct Link {
    streams: VecDeque<(usize, VecDeque<Transfer>)>,
}

/// The links of all instances.
#[derive(Debug, Default)]
pub struct Links {
    /// The bandwidth of instances with a limited link, bytes per millisecond. Transmission to other
    /// instances takes no time.
    pub rates: BTreeMap<usize, u64>,
    /// The bytes sent to each instance with a limited link, by kind of message.
    pub sent_bytes: BTreeMap<(usize, &'static str), u64>,
    receivers: BTreeMap<usize, Link>,
}

impl Links {
    /// Returns whether the link of an instance has a limited bandwidth.
    pub fn is_limited(&self, to: usize) -> bool {
        self.rates.contains_key(&to)
    }

    /// Queues a message; returns true if the link was idle, so that the caller has to start its
    /// next turn.
    pub fn add(&mut self, from: usize, to: usize, stream: u64, body: Body) -> bool {
        let remaining = coord::machine::encode(&body).len();
        *self.sent_bytes.entry((to, body.kind())).or_default() += remaining as u64;
        let link = self.receivers.entry(to).or_default();
        let idle = link.streams.is_empty();
        let transfer = Transfer { remaining, stream, body };
        match link.streams.iter_mut().find(|(other, _)| *other == from) {
            Some((_, waiting)) => waiting.push_back(transfer),
            None => link.streams.push_back((from, VecDeque::from([transfer]))),
        }
        idle
    }

    /// Runs one turn of a link. Returns its duration, microseconds, and the message whose
    /// transmission it completes, if any; returns `None` if the link is idle.
    pub fn run_turn(&mut self, to: usize) -> Option<(u64, Option<Arrived>)> {
        let rate = *self.rates.get(&to)?;
        let link = self.receivers.get_mut(&to)?;
        let (from, mut waiting) = link.streams.pop_front()?;
        let first = waiting.front_mut()?;
        let sent = first.remaining.min(TURN_BYTES);
        first.remaining -= sent;
        let finished = first.remaining == 0;
        let arrived = if finished {
            waiting.pop_front().map(|transfer| (from, transfer.stream, transfer.body))
        } else {
            None
        };
        if !waiting.is_empty() {
            link.streams.push_back((from, waiting));
        }
        Some((sent as u64 * 1_000 / rate, arrived))
    }

    /// Returns the bytes of the messages of some kinds that were sent to an instance.
    pub fn bytes_to(&self, to: usize, kinds: &[&str]) -> u64 {
        let matching =
            self.sent_bytes.iter().filter(|((at, kind), _)| *at == to && kinds.contains(kind));
        matching.map(|(_, bytes)| bytes).sum()
    }
}
