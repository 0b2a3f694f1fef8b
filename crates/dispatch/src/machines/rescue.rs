//! Jobs of a lost scheduler whose tasks may run at the upstreams of several schedulers: each asks
//! the others whether runs are left there.

use state::name;

use crate::{
    machines::{core::Core, sched::Sched},
    messages::{
        job,
        message::{Body, FormerSet, Sought},
        parts::Parts,
        time::Now,
    },
};

/// Maximum number of jobs in one message.
const MAX_SOUGHT: usize = 256;

impl Sched {
    /// Jobs with former upstreams that other schedulers have.
    fn sought(&self) -> Vec<Sought> {
        let jobs = self.uncovered_jobs.iter().filter_map(|id| self.jobs.get_key_value(id));
        let sets = jobs.flat_map(|(id, active)| active.uncovered.iter().map(move |set| (id, set)));
        let foreign = sets.filter(|(_, set)| !self.parts.covers(set.parts));
        foreign.take(MAX_SOUGHT).map(|(id, set)| (id.clone(), *set)).collect()
    }

    /// Whether no run that a former scheduler started is left at its upstreams that are in a set,
    /// and none can begin: it has taken over all of them with a higher fencing token, and does not
    /// have the job itself. The caller checks that it knows all upstreams of the set.
    fn is_clear(&self, id: &name::Name, set: &FormerSet) -> bool {
        let runs = |task: &job::Task| task.job == *id;
        let mut sessions = self.sessions.values();
        let free = sessions.all(|session| session.is_owned() && !session.runs.keys().any(runs));
        free && set.epoch < self.epoch && !self.jobs.contains_key(id)
    }

    /// Records that no runs are left at upstreams in `parts`.
    pub(crate) fn record_clear(&mut self, parts: Parts, clear: &[Sought]) {
        for (id, found) in clear {
            let Some(active) = self.jobs.get_mut(id) else { continue };
            let same =
                |set: &&mut FormerSet| (set.digest, set.epoch) == (found.digest, found.epoch);
            for set in active.uncovered.iter_mut().filter(same) {
                set.parts = set.parts.minus(parts);
            }
        }
    }
}

impl Core {
    /// Asks the other schedulers of parts of a zone about the jobs that it cannot start yet.
    pub(crate) fn seek_runs(&mut self, now: Now) {
        for zone in self.scheduled_zones() {
            let sought = self.sched_of(&zone).map(|sched| sched.sought()).unwrap_or_default();
            if sought.is_empty() {
                continue;
            }
            let me = &self.membership.me().name;
            let others = self.claims.of_zone(&zone).filter(|claim| claim.holder != *me);
            let alive = others.filter(|claim| self.membership.is_holder_alive(claim, now.mono));
            let names: Vec<_> = alive.map(|claim| claim.holder.clone()).collect();
            for to in names {
                self.send(&to, Body::Seek(zone.clone(), sought.clone()), now);
            }
        }
    }

    /// Answers for which of these jobs no run is left at the upstreams of its parts of a zone.
    pub(crate) fn on_seek(
        &mut self,
        from: &name::Name,
        zone: &name::Name,
        sought: Vec<Sought>,
        now: Now,
    ) {
        let Some(held) = self.zones.get(zone) else { return };
        let Some(sched) = &held.sched else { return };
        let is_clear = |(id, set): &Sought| {
            held.directory.find(set.digest).is_some() && sched.is_clear(id, set)
        };
        let clear: Vec<_> = sought.into_iter().take(MAX_SOUGHT).filter(is_clear).collect();
        let parts = sched.parts;
        if !clear.is_empty() {
            self.send(from, Body::Clear(zone.clone(), parts, clear), now);
        }
    }
}
