//! The requests of one entry to registrars that are not answered yet, and the registrars that do
//! not answer.

use std::collections;

use state::name;

use crate::messages::{
    message::Body,
    reservation::{Message, Reservation},
    time,
};

/// Time after which a registrar that has not answered a request is passed over, microseconds. It
/// delays the first tasks of a job by as much, in the moment in which a registrar is lost.
const TIMEOUT: u64 = 50 * time::MS;
/// Time between two ticks that counts as waiting, microseconds. An entry that was stopped for longer
/// has answers in its buffers.
const MAX_TICK: u64 = 30 * time::MS;
/// Interval at which a registrar that does not answer is asked whether it does again, microseconds.
const RETRY_INTERVAL: u64 = 150 * time::MS;

/// A request that was sent, or is to be sent with the next messages.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) registrar: name::Name,
    pub(crate) sent: u64,
    pub(crate) jobs: Vec<name::Name>,
    /// Time in which the entry could have read the answer, microseconds.
    waited: u64,
}

/// The requests of one entry.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    next: u64,
    last_tick: u64,
    open: collections::BTreeMap<u64, Request>,
    /// Requests that are not sent yet, by registrar: number and content.
    unsent: collections::BTreeMap<name::Name, (u64, Vec<Reservation>)>,
    /// Registrars that do not answer, and when they were last asked.
    silent: collections::BTreeMap<name::Name, u64>,
}

impl Requests {
    /// Adds a job to the next request to a registrar, and returns the number of that request.
    pub(crate) fn add(&mut self, registrar: &name::Name, job: Reservation, now: u64) -> u64 {
        let id = job.job.clone();
        let number = self.prepare(registrar, now);
        if let Some((_, jobs)) = self.unsent.get_mut(registrar) {
            jobs.push(job);
        }
        if let Some(request) = self.open.get_mut(&number) {
            request.jobs.push(id);
        }
        number
    }

    /// The number of the next request to a registrar.
    fn prepare(&mut self, registrar: &name::Name, now: u64) -> u64 {
        if let Some((number, _)) = self.unsent.get(registrar) {
            return *number;
        }
        self.next += 1;
        let (name, jobs) = (registrar.clone(), Vec::new());
        let request = Request { registrar: name, sent: now, jobs, waited: 0 };
        self.open.insert(self.next, request);
        self.unsent.insert(registrar.clone(), (self.next, Vec::new()));
        self.next
    }

    /// Returns the requests to send.
    pub(crate) fn take_unsent(&mut self, incarnation: u64) -> Vec<(name::Name, Body)> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        unsent
            .map(|(to, (number, jobs))| {
                (to, Body::Reservation(Message::Reserve(number, incarnation, jobs)))
            })
            .collect()
    }

    /// Handles an answer: returns the request, unless it came too late. A registrar that answers
    /// late would delay each job if it were asked again.
    pub(crate) fn answer(&mut self, from: &name::Name, number: u64) -> Option<Request> {
        let request = self.open.remove(&number)?;
        self.silent.remove(from);
        Some(request)
    }

    /// Whether a registrar does not answer.
    pub(crate) fn is_silent(&self, registrar: &name::Name) -> bool {
        self.silent.contains_key(registrar)
    }

    /// Gives up requests that were not answered in time, and asks the registrars that do not answer
    /// again; `is_known` says which instances are registrars. Returns the requests given up, with
    /// their numbers.
    pub(crate) fn tick(
        &mut self,
        is_known: impl Fn(&name::Name) -> bool,
        now: u64,
    ) -> Vec<(u64, Request)> {
        let tick = now.saturating_sub(std::mem::replace(&mut self.last_tick, now)).min(MAX_TICK);
        let overdue = self.open.extract_if(.., |_, request| {
            request.waited += tick.min(now.saturating_sub(request.sent));
            request.waited >= TIMEOUT
        });
        let overdue: Vec<_> = overdue.collect();
        for (_, request) in &overdue {
            self.silent.entry(request.registrar.clone()).or_insert(now);
        }
        self.silent.retain(|registrar, _| is_known(registrar));
        let due = self.silent.iter().filter(|(_, asked)| now >= **asked + RETRY_INTERVAL);
        for registrar in due.map(|(registrar, _)| registrar.clone()).collect::<Vec<_>>() {
            self.prepare(&registrar, now);
            self.silent.insert(registrar, now);
        }
        overdue
    }
}
