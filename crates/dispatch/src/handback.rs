//! Tasks that a scheduler gives back to their entries: offered tasks without room, and waiting
//! tasks of an evacuated zone.

use state::name;

use crate::{
    active::{self, ActiveJob},
    job::Verdict,
    message,
    sched::Sched,
    share,
};

impl Sched {
    /// Sets whether the zone is evacuated; while it is, the scheduler starts no tasks.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.dirty |= self.evacuated != evacuated;
        self.evacuated = evacuated;
    }

    /// Gives back the offered tasks that could not start.
    pub(crate) fn return_offers(&mut self, now: u64) {
        for id in std::mem::take(&mut self.offers) {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            if !std::mem::take(&mut active.offer) {
                continue;
            }
            let tasks = active.give_back(active::ReturnScope::Unstarted);
            self.return_tasks(&id, tasks, now);
        }
    }

    /// Gives back the waiting tasks, so that other zones run them. Tasks that a former scheduler
    /// may have started stay until that is known, and running tasks continue to their end.
    pub(crate) fn return_all(&mut self, now: u64) {
        let unread = self.sessions.values().any(|session| !session.is_read());
        let is_returnable =
            |active: &ActiveJob| active.waiting() > 0 && !active.is_blocked(unread, now);
        let returnable = self.jobs.iter().filter(|(_, active)| is_returnable(active));
        for id in returnable.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            if active.is_movable() {
                let tasks = active.give_back(active::ReturnScope::Waiting);
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
        self.finish_if_complete(id, now);
    }

    /// Gives tasks of a job back to its entry.
    pub(crate) fn give_back(&mut self, id: &name::Name, tasks: share::Tasks, now: u64) {
        let load = self.load(now);
        let Some(active) = self.jobs.get(id) else { return };
        let (entry, number) = (active.entry.clone(), active.number);
        let may_have_started = active.has_run(&tasks);
        let cause = if self.evacuated { ", the zone is evacuated" } else { "" };
        let detail = format!(
            "{} tasks to {entry}, {}m of {}m cores free{cause}",
            tasks.len(),
            load.free,
            load.total
        );
        self.note("job: Gave tasks back.", id, &detail);
        let spare = message::ReturnedTasks { number, tasks, load, may_have_started };
        self.out.spares.push((entry, id.clone(), spare));
    }
}
