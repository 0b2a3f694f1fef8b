//! Tasks that a scheduler returns to their entries: offered tasks without room, and waiting
//! tasks of an evacuated zone.

use state::name;

use crate::{
    machines::sched::Sched,
    messages::{job::Verdict, message, share},
    tables::active::{self, ActiveJob},
};

impl Sched {
    /// Sets whether the zone is evacuated; while it is, the scheduler starts no tasks.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.dirty |= self.evacuated != evacuated;
        self.evacuated = evacuated;
    }

    /// Returns the offered tasks that could not start to their entries.
    pub(crate) fn return_offers(&mut self, now: u64) {
        for id in std::mem::take(&mut self.offers) {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            if !std::mem::take(&mut active.offer) {
                continue;
            }
            let tasks = active.mark_returned(active::ReturnScope::Unstarted);
            self.return_tasks(&id, tasks, now);
        }
    }

    /// Returns the waiting tasks to their entries, so that other zones run them. Tasks that a
    /// former scheduler may have started stay until that is known, and running tasks continue to
    /// their end.
    pub(crate) fn return_all(&mut self, now: u64) {
        let has_unowned = self.sessions.values().any(|session| !session.is_owned());
        let is_returnable =
            |active: &ActiveJob| active.waiting() > 0 && !active.is_blocked(has_unowned, now);
        let returnable = self.jobs.iter().filter(|(_, active)| is_returnable(active));
        for id in returnable.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            if active.is_movable() {
                let tasks = active.mark_returned(active::ReturnScope::Waiting);
                self.return_tasks(&id, tasks, now);
            } else if !active.is_running() {
                self.note("job: Given up, its zone is evacuated between its steps.", &id, "");
                self.finish(&id, Verdict::GaveUp, now);
            }
        }
    }

    fn return_tasks(&mut self, id: &name::Name, tasks: share::Tasks, now: u64) {
        if !tasks.is_empty() {
            self.send_returned(id, tasks, now);
        }
        if self.jobs.get(id).is_some_and(|active| active.held().is_empty()) {
            self.drop_job(id);
        }
        self.finish_if_complete(id, now);
    }

    /// Sends returned tasks of a job to its entry.
    pub(crate) fn send_returned(&mut self, id: &name::Name, tasks: share::Tasks, now: u64) {
        let load = self.load(now);
        let Some(active) = self.jobs.get(id) else { return };
        let (entry, number) = (active.entry.clone(), active.number);
        let maybe_started = active.has_run(&tasks);
        let cause = if self.evacuated { ", the zone is evacuated" } else { "" };
        let detail = format!(
            "{} tasks to {entry}, {}m of {}m cores free{cause}",
            tasks.len(),
            load.free,
            load.total
        );
        self.note("job: Gave tasks back.", id, &detail);
        let returned = message::ReturnedTasks { number, tasks, load, maybe_started };
        self.out.returned.push((entry, id.clone(), returned));
    }
}
