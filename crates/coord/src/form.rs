//! Formation: how instances without a group form the first one or find an existing one.
//!
//! An instance without a formation probes all other instances. A formation needs grants from a
//! majority of the group's seats, and only an instance without a formation gives a grant. All
//! seats are voters from the first entry on; a seat that gave no grant has incarnation 0. Every
//! majority of every formation of a group is therefore a majority of the same seats, and an
//! incarnation belongs to one formation at a time, so two formations of one group never both
//! commit entries. This requires that a durable member leaves a formation only if no leader can
//! have counted the entries that it acknowledged ([`crate::group`]).

use std::collections;

use state::name;

use crate::{entry::Voters, message::Formation, time};

/// How long a report or an attempt at a formation is valid, in microseconds.
const REPORT_TTL: u64 = 800 * time::MS;
/// How long an instance that sees a majority waits for the remaining seats, in microseconds.
const MAJORITY_WAIT: u64 = 600 * time::MS;
/// How long a majority stays without a formation until it forms one although another instance
/// reports one, in microseconds. The leader of a formation reaches them sooner.
const ABANDONED_WAIT: u64 = 3_000 * time::MS;
/// Interval between two rounds of probes, in microseconds.
const PROBE_INTERVAL: u64 = 100 * time::MS;

#[derive(Clone, Debug)]
struct Report {
    at: u64,
    formation: Option<Formation>,
}

#[derive(Clone, Debug)]
struct Attempt {
    formation: Formation,
    grants: collections::BTreeMap<name::Name, u64>,
    at: u64,
}

/// Next action of an instance that belongs to no formation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Do nothing yet.
    Wait,
    /// Probe all other instances.
    Probe,
    /// Ask these seats to grant the formation.
    Ask(Formation, Vec<name::Name>),
    /// The formation has its majority of grants: start the group with these voters.
    Bootstrap(Formation, Voters),
}

/// Formation state of an instance that belongs to no formation.
#[derive(Clone, Debug)]
pub struct Seeker {
    me: name::Member,
    seats: Vec<name::Name>,
    reports: collections::BTreeMap<name::Name, Report>,
    majority_since: Option<u64>,
    attempt: Option<Attempt>,
    next_round: u64,
}

impl Seeker {
    /// Creates a seeker for a group with these seats.
    pub fn new(me: name::Member, seats: Vec<name::Name>) -> Self {
        let reports = collections::BTreeMap::new();
        Self { me, seats, reports, majority_since: None, attempt: None, next_round: 0 }
    }

    /// Records a report from another instance: the formation that it belongs to, if any.
    pub fn on_report(&mut self, from: &name::Member, formation: Option<Formation>, now: u64) {
        let report = Report { at: now, formation };
        self.reports.insert(from.name.clone(), report);
    }

    /// Records a grant.
    pub fn on_grant(&mut self, from: &name::Member, formation: Formation, now: u64) {
        self.on_report(from, None, now);
        if let Some(attempt) = &mut self.attempt
            && attempt.formation == formation
        {
            attempt.grants.insert(from.name.clone(), from.incarnation);
        }
    }

    /// Returns what this instance has heard of the seats: those without a formation, those with one,
    /// and those that are silent.
    pub fn describe(&self, now: u64) -> String {
        let mut lists = [Vec::new(), Vec::new(), Vec::new()];
        for seat in self.seats.iter().filter(|seat| **seat != self.me.name) {
            let report = self.reports.get(seat).filter(|report| now < report.at + REPORT_TTL);
            let list = match report {
                Some(Report { formation: None, .. }) => 0,
                Some(Report { formation: Some(_), .. }) => 1,
                None => 2,
            };
            lists[list].push(seat.as_str());
        }
        let [seeking, formed, silent] = lists.map(|names| names.join(" "));
        format!("no formation; without one: [{seeking}], with one: [{formed}], silent: [{silent}]")
    }

    /// Returns the next action at `now`; `formation` is the identity that a formation started now
    /// would get.
    pub fn next_action(&mut self, now: u64, formation: Formation) -> Action {
        if let Some(bootstrap) = self.granted_formation() {
            return bootstrap;
        }
        if now < self.next_round {
            return Action::Wait;
        }
        self.next_round = now + PROBE_INTERVAL;
        if self.may_form(now) && self.attempt.as_ref().is_none_or(|a| now >= a.at + REPORT_TTL) {
            return self.request_grants(now, formation);
        }
        Action::Probe
    }

    fn granted_formation(&self) -> Option<Action> {
        let attempt = self.attempt.as_ref()?;
        if attempt.grants.len() < self.quorum() {
            return None;
        }
        let voter = |name: &name::Name| {
            let granted = attempt.grants.get(name).copied();
            name::Member::new(name, granted.unwrap_or(0))
        };
        let voters = Voters(self.seats.iter().map(voter).collect());
        Some(Action::Bootstrap(attempt.formation, voters))
    }

    fn request_grants(&mut self, now: u64, formation: Formation) -> Action {
        let grants = collections::BTreeMap::from([(self.me.name.clone(), self.me.incarnation)]);
        self.attempt = Some(Attempt { formation, grants, at: now });
        if let Some(bootstrap) = self.granted_formation() {
            return bootstrap;
        }
        let me = &self.me.name;
        let others = self.seats.iter().filter(|seat| *seat != me).cloned().collect();
        Action::Ask(formation, others)
    }

    /// Whether this instance may form the group now: it has a seat, a majority of the seats is
    /// present without a formation, and no earlier one of these is. If some seats are missing, the
    /// majority must also have been present for `MAJORITY_WAIT`, and for `ABANDONED_WAIT` if an
    /// instance reports a formation.
    fn may_form(&mut self, now: u64) -> bool {
        let is_fresh = |report: &&Report| now < report.at + REPORT_TTL;
        let mut fresh = self.reports.values().filter(is_fresh);
        let is_formed = fresh.any(|report| report.formation.is_some());
        let is_present = |seat: &&name::Name| {
            let report = self.reports.get(*seat).filter(is_fresh);
            **seat == self.me.name || report.is_some_and(|report| report.formation.is_none())
        };
        let present: Vec<_> = self.seats.iter().filter(is_present).collect();
        if present.len() < self.quorum() {
            self.majority_since = None;
            return false;
        }
        let since = *self.majority_since.get_or_insert(now);
        let wait = if is_formed {
            ABANDONED_WAIT
        } else if present.len() < self.seats.len() {
            MAJORITY_WAIT
        } else {
            0
        };
        let is_first = present.first().is_some_and(|name| **name == self.me.name);
        is_first && now >= since + wait
    }

    fn quorum(&self) -> usize {
        self.seats.len() / 2 + 1
    }
}
