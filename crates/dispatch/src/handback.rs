//! Tasks that a scheduler gives back to their entries: what was offered and has no room, and what
//! waits while the zone is evacuated.

use state::name;

use crate::{
    active::{self, Active},
    job::Verdict,
    message,
    sched::Sched,
    share,
};

impl Sched {
    /// Lets tasks be started, or nothing more while the zone is evacuated.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.dirty |= self.evacuated != evacuated;
        self.evacuated = evacuated;
    }

    /// Gives back what is offered and could not start.
    pub(crate) fn return_offers(&mut self, now: u64) {
        for id in std::mem::take(&mut self.offers) {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            if !std::mem::take(&mut active.offer) {
                continue;
            }
            let tasks = active.give_back(active::Return::Unstarted);
            self.return_tasks(&id, tasks, now);
        }
    }

    /// Gives back what waits, so that other zones run it. What a former scheduler may have started
    /// stays until that is known, and what runs goes on to its end.
    pub(crate) fn return_all(&mut self, now: u64) {
        let unread = self.sessions.values().any(|session| !session.is_read());
        let waits = |active: &Active| active.waiting() > 0 && !active.is_blocked(unread, now);
        let waiting = self.jobs.iter().filter(|(_, active)| waits(active));
        for id in waiting.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            if active.is_movable() {
                let tasks = active.give_back(active::Return::Waiting);
                self.return_tasks(&id, tasks, now);
            } else if !active.is_running() {
                self.note("job: Given up, its zone is evacuated between its steps.", &id, "");
                self.finish(&id, Verdict::GaveUp, now);
            }
        }
    }

    fn return_tasks(&mut self, id: &name::Name, tasks: share::Tasks, now: u64) {
        if !tasks.is_empty() {
            self.give_back(id, tasks, now);
        }
        if self.jobs.get(id).is_some_and(|active| active.held().is_empty()) {
            self.drop_job(id);
        }
        self.settle(id, now);
    }

    /// Tells the entry of a job that it has these tasks back.
    pub(crate) fn give_back(&mut self, id: &name::Name, tasks: share::Tasks, now: u64) {
        let load = self.load(now);
        let Some(active) = self.jobs.get(id) else { return };
        let (entry, number) = (active.entry.clone(), active.number);
        let begun = active.has_run(&tasks);
        let cause = if self.evacuated { ", the zone is evacuated" } else { "" };
        let detail = format!(
            "{} tasks to {entry}, {}m of {}m cores free{cause}",
            tasks.len(),
            load.free,
            load.total
        );
        self.note("job: Gave tasks back.", id, &detail);
        let spare = message::Spare { number, tasks, load, begun };
        self.out.spares.push((entry, id.clone(), spare));
    }
}
