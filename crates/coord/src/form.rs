//! Formation: how instances without a group agree on a first one, or find the one there is.
//!
//! An instance that belongs to no formation asks everybody. A formation needs the grant of a
//! majority of the group's seats, each given by an instance that itself belongs to none. All
//! seats are voters from the first entry on, those not heard of with incarnation 0, so every
//! majority of every formation of a group is a majority of the same seats, and an incarnation
//! belongs to one formation at a time. Two formations of one group therefore never both commit.

use std::collections;

use state::name;

use crate::{entry::Voters, message::Formation, time};

/// How long an answer counts, microseconds.
const FRESH: u64 = 800 * time::MS;
/// How long a majority waits for the remaining seats, microseconds.
const PATIENCE: u64 = 600 * time::MS;
/// Between two rounds of questions, microseconds.
const ROUND: u64 = 100 * time::MS;

#[derive(Clone, Debug)]
struct Heard {
    at: u64,
    found: Option<Formation>,
}

#[derive(Clone, Debug)]
struct Attempt {
    formation: Formation,
    grants: collections::BTreeMap<name::Name, u64>,
    at: u64,
}

/// What a seeking instance does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing yet.
    Wait,
    /// Ask everybody who is there.
    Probe,
    /// Ask the seats to grant this formation.
    Ask(Formation, Vec<name::Name>),
    /// The formation has its majority: found the group with these voters.
    Found(Formation, Voters),
}

/// An instance that belongs to no formation.
#[derive(Clone, Debug)]
pub struct Seeker {
    me: name::Member,
    seats: Vec<name::Name>,
    heard: collections::BTreeMap<name::Name, Heard>,
    majority: Option<u64>,
    attempt: Option<Attempt>,
    next: u64,
}

impl Seeker {
    /// A seeker for a group with these seats.
    pub fn new(me: name::Member, seats: Vec<name::Name>) -> Self {
        let heard = collections::BTreeMap::new();
        Self { me, seats, heard, majority: None, attempt: None, next: 0 }
    }

    /// Takes news of another instance: the formation it belongs to, if any.
    pub fn hear(&mut self, from: &name::Member, found: Option<Formation>, now: u64) {
        let heard = Heard { at: now, found };
        self.heard.insert(from.name.clone(), heard);
    }

    /// Takes a grant.
    pub fn granted(&mut self, from: &name::Member, formation: Formation, now: u64) {
        self.hear(from, None, now);
        if let Some(attempt) = &mut self.attempt
            && attempt.formation == formation
        {
            attempt.grants.insert(from.name.clone(), from.life);
        }
    }

    /// What to do at `now`; `formation` is the identity that a formation begun now would get.
    pub fn next(&mut self, now: u64, formation: Formation) -> Next {
        if let Some(founded) = self.founded() {
            return founded;
        }
        if now < self.next {
            return Next::Wait;
        }
        self.next = now + ROUND;
        if self.may_form(now) && self.attempt.as_ref().is_none_or(|a| now >= a.at + FRESH) {
            return self.ask(now, formation);
        }
        Next::Probe
    }

    fn founded(&self) -> Option<Next> {
        let attempt = self.attempt.as_ref()?;
        if attempt.grants.len() < self.quorum() {
            return None;
        }
        let life = |name: &name::Name| {
            let granted = attempt.grants.get(name).copied();
            name::Member::new(name, granted.unwrap_or(0))
        };
        let voters = Voters(self.seats.iter().map(life).collect());
        Some(Next::Found(attempt.formation, voters))
    }

    fn ask(&mut self, now: u64, formation: Formation) -> Next {
        let grants = collections::BTreeMap::from([(self.me.name.clone(), self.me.life)]);
        self.attempt = Some(Attempt { formation, grants, at: now });
        if let Some(founded) = self.founded() {
            return founded;
        }
        let me = &self.me.name;
        let others = self.seats.iter().filter(|seat| *seat != me).cloned().collect();
        Next::Ask(formation, others)
    }

    /// Whether this instance is the one to form the group now: it has a seat, a majority of the
    /// seats is there, nobody knows a formation, and no earlier seat is there.
    fn may_form(&mut self, now: u64) -> bool {
        let fresh = |heard: &&Heard| now < heard.at + FRESH;
        if self.heard.values().filter(fresh).any(|heard| heard.found.is_some()) {
            self.majority = None;
            return false;
        }
        let here = |seat: &&name::Name| {
            **seat == self.me.name || self.heard.get(*seat).is_some_and(|heard| fresh(&heard))
        };
        let present: Vec<_> = self.seats.iter().filter(here).collect();
        if present.len() < self.quorum() {
            self.majority = None;
            return false;
        }
        let since = *self.majority.get_or_insert(now);
        let complete = present.len() == self.seats.len();
        let first = present.first().is_some_and(|name| **name == self.me.name);
        first && (complete || now >= since + PATIENCE)
    }

    fn quorum(&self) -> usize {
        self.seats.len() / 2 + 1
    }
}
