//! Challenges to the senders of evacuation orders.
//!
//! A copy of an order may reach a keeper long after its sender has given it up and sent another
//! one, and nothing in the copy tells. An order that would change something is therefore answered
//! with a challenge first, and counts once its sender has shown that it read that answer: it
//! repeats the order with the number of the challenge, or it repeats the order as it was after the
//! connection of the first one has ended as that of a sender who got its answer.

use std::collections;

use state::name;

use crate::messages::{evacuation, time};

/// Time for which a challenge can be met, microseconds. A sender that follows no redirects may try
/// two other keepers, which do not answer for a second each, before it repeats its order here.
const LIFETIME: u64 = 3_000 * time::MS;
/// Maximum number of challenges; the oldest one is dropped. Operators have at most eight orders in
/// progress.
const CAPACITY: usize = 64;

#[derive(Debug)]
struct Challenge {
    /// Its number; `None` for one that another keeper issued.
    number: Option<u64>,
    /// The challenged order. Its base is the revision at which the challenge was issued.
    order: evacuation::Order,
    expires_at: u64,
    is_read: bool,
}

/// The challenges of a keeper that can still be met.
#[derive(Debug, Default)]
pub(crate) struct Challenges {
    held: collections::VecDeque<Challenge>,
}

impl Challenges {
    /// Records a challenge with a new number to the sender of an order.
    pub(crate) fn issue(&mut self, number: u64, order: evacuation::Order, now: u64) {
        self.add(Some(number), order, now);
    }

    /// Handles that the sender of an order has read the challenge with this number. Returns the
    /// order, unless that challenge is over.
    pub(crate) fn on_read(&mut self, number: u64, now: u64) -> Option<&evacuation::Order> {
        self.drop_expired(now);
        let challenge = self.held.iter_mut().find(|held| held.number == Some(number))?;
        challenge.is_read = true;
        Some(&challenge.order)
    }

    /// Handles that the sender of an order has read the challenge of another keeper.
    pub(crate) fn on_read_elsewhere(&mut self, order: evacuation::Order, now: u64) {
        self.add(None, order, now);
    }

    /// Whether a request repeats a challenged order whose sender has read the challenge.
    pub(crate) fn is_met(&mut self, request: &evacuation::Request, now: u64) -> bool {
        self.drop_expired(now);
        self.held.iter().any(|held| {
            let is_same =
                held.order.zone == request.zone && held.order.evacuated == request.evacuated;
            is_same && (held.is_read || request.challenge.is_some_and(|n| held.number == Some(n)))
        })
    }

    /// Drops the challenges for a zone, or for all zones: an order for it has taken effect, and the
    /// challenged ones may be older.
    pub(crate) fn drop_zone(&mut self, zone: Option<&name::Name>) {
        self.held.retain(|held| zone.is_some_and(|zone| held.order.zone != *zone));
    }

    fn add(&mut self, number: Option<u64>, order: evacuation::Order, now: u64) {
        self.drop_expired(now);
        if self.held.len() == CAPACITY {
            self.held.pop_front();
        }
        let (expires_at, is_read) = (now + LIFETIME, number.is_none());
        self.held.push_back(Challenge { number, order, expires_at, is_read });
    }

    fn drop_expired(&mut self, now: u64) {
        self.held.retain(|held| now < held.expires_at);
    }
}
