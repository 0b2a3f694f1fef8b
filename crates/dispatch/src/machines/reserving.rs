//! What an instance does for the reservations of other entries: as a registrar it records which of
//! them has which job, and as a scheduler it tells whether tasks of a job are left.

use state::name;

use crate::{
    machines::{core::Core, sched::Sched, submissions},
    messages::{
        message::Body,
        reservation::{Message, Reservation},
        time::Now,
    },
    tables::session::Session,
};

impl Sched {
    /// Whether no task of a job runs at the upstreams of this scheduler, or is to be started there.
    pub(crate) fn is_absent(&self, id: &name::Name, now: u64) -> bool {
        let is_known = now >= self.since + self.former_wait(false)
            || !self.is_surveying(now) && self.sessions.values().all(Session::is_owned);
        let mut runs = self.sessions.values().flat_map(|session| session.runs.keys());
        is_known && !self.jobs.contains_key(id) && !runs.any(|task| task.job == *id)
    }
}

impl Core {
    /// Handles a message about which entry has which job.
    pub(crate) fn on_reservation(&mut self, from: &name::Name, message: Message, now: Now) {
        match message {
            Message::Reserve(number, incarnation, jobs) => {
                self.on_reserve(from, number, incarnation, jobs, now);
            }
            Message::Probe(zone, number, ids) => self.on_probe(from, &zone, number, ids, now),
            other => {
                let (view, submissions) = self.view(now);
                submissions.handle_reservation(from, other, view);
            }
        }
    }

    /// Reserves jobs for an entry, and tells it which of them another entry has.
    fn on_reserve(
        &mut self,
        from: &name::Name,
        number: u64,
        incarnation: u64,
        jobs: Vec<Reservation>,
        now: Now,
    ) {
        let takeover = submissions::TAKEOVER_TIME;
        let held = self.registry.reserve(from, incarnation, jobs, takeover, now.mono);
        self.send(from, Body::Reservation(Message::Reserved(number, held)), now);
    }

    /// Answers of which of these jobs no task is left in a zone.
    fn on_probe(
        &mut self,
        from: &name::Name,
        zone: &name::Name,
        number: u64,
        mut ids: Vec<name::Name>,
        now: Now,
    ) {
        let Some(sched) = self.sched_of(zone) else { return };
        ids.retain(|id| sched.is_absent(id, now.mono));
        let parts = sched.parts;
        if !ids.is_empty() {
            let absent = Message::Absent(zone.clone(), parts, number, ids);
            self.send(from, Body::Reservation(absent), now);
        }
    }
}
