//! The traffic between upstreams and instances: announcements, calls, answers and crashes.

use dispatch::{
    event::Event,
    incarnation::Incarnation,
    member::Role,
    order::{Call, Order, Outcome},
    upstream::{Phase, Record},
};
use rand::RngExt as _;
use state::name::Name;

use super::{Action, CRASH_DELAY, RESTART_DELAY, World};

impl World {
    /// Makes an upstream announce itself to a random keeper that it can reach.
    pub fn announce(&mut self, at: usize, phase: Phase) {
        let keepers: Vec<_> = (0..self.instances.len())
            .filter(|i| self.instances[*i].core.is_some() && !self.instances[*i].frozen)
            .filter(|i| self.instances[*i].card.role == Role::Keeper)
            .filter(|i| !self.blocked_calls.contains(&(at, *i)))
            .filter(|i| self.announce_target.is_none_or(|target| target == *i))
            .collect();
        if keepers.is_empty() || !self.upstreams[at].is_up {
            return;
        }
        let keeper = keepers[self.rng.random_range(0..keepers.len())];
        let upstream = &mut self.upstreams[at];
        upstream.serial += 1;
        let record = Record {
            id: Incarnation::new(&Name::new(&upstream.id), upstream.started),
            service: "board".into(),
            address: Name::new(&upstream.address),
            zone: Name::new(&upstream.zone),
            room: upstream.room,
            most: upstream.room,
            labels: upstream.label.iter().cloned().collect(),
            phase,
            serial: upstream.serial,
        };
        self.handle(keeper, Event::Announce(0, record));
    }

    /// Passes a call to its upstream, if the upstream is up and can be reached.
    pub(super) fn arrive(&mut self, call: Call, from: (usize, u64)) {
        let at = self.upstreams.iter().position(|u| u.address == call.address.as_str());
        let Some(at) = at.filter(|at| self.upstreams[*at].is_up) else { return };
        if self.blocked_calls.contains(&(at, from.0)) {
            return;
        }
        let spec = match &call.order {
            Order::Start { spec, .. } => spec.as_str().parse().unwrap_or(0),
            _ => 0,
        };
        let (number, fence, order) = (call.number, call.fence, call.order.clone());
        if let Some(outcome) = self.upstreams[at].handle_call(call, from, spec, self.now) {
            if let (Order::Start { task, attempt, .. }, Outcome::Done(_)) = (&order, &outcome) {
                self.attempts.entry(task.clone()).or_default().push(*attempt);
                self.start_times.insert(task.clone(), self.now);
                *self.start_counts.entry(task.clone()).or_default() += 1;
                if self.crashing.contains(&task.job) {
                    let id = self.upstreams[at].id.clone();
                    self.push(self.now + CRASH_DELAY, Action::Crash { at, id });
                }
            }
            self.check_duplicates();
            self.answer(at, number, fence, from, outcome);
        }
    }

    /// Restarts an upstream under its id at once: its tasks and its pending calls are lost.
    pub fn restart_upstream(&mut self, at: usize, started: u64) {
        self.upstreams[at].restart_at(started, self.now);
        self.announce(at, Phase::Serving);
    }

    /// Crashes an upstream, which loses its running tasks and restarts later under another id.
    pub(super) fn crash_upstream(&mut self, at: usize, id: &str) {
        if self.upstreams[at].id == id && self.upstreams[at].is_up {
            self.upstreams[at].is_up = false;
            self.upstreams[at].waiting.clear();
            self.push(self.now + RESTART_DELAY, Action::Restart { at, id: id.to_owned() });
        }
    }

    /// Sends the answer to a call, unless the upstream cannot reach the caller.
    pub(super) fn answer(
        &mut self,
        at: usize,
        number: u64,
        fence: u64,
        to: (usize, u64),
        outcome: Outcome,
    ) {
        if !self.blocked_calls.contains(&(at, to.0)) {
            self.push(
                self.now + 300 + self.answer_lag,
                Action::Answer { to, number, fence, outcome },
            );
        }
    }
}
