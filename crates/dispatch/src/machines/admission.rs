//! Jobs that entries hand over to a scheduler, ask about and cancel.

use state::name;

use crate::{
    decisions::queue,
    machines::sched::Sched,
    messages::{
        job::{Job, Refusal, Step, Verdict},
        message::{self, Decision},
        order::End,
        time, upstream,
    },
    tables::{
        active::{ActiveJob, Phase},
        session::Session,
    },
};

/// A new scheduler refuses no job for lack of room until its upstreams have answered, or this time
/// has passed, microseconds: an upstream that answers at all does so within the timeout of a few
/// orders (50 ms each).
const SURVEY_TIMEOUT: u64 = 300 * time::MS;

impl Sched {
    /// Accepts a job from an entry that knows nothing about the upstreams of other schedulers.
    pub fn submit(&mut self, job: Job, entry: &name::Name, now: u64) {
        self.hand_over(job, entry, message::Handover::default(), now);
    }

    /// Fails a job that an entry submits again after a scheduler gave it up.
    pub fn refuse_given_up(
        &mut self,
        id: &name::Name,
        entry: &name::Name,
        handover: message::Handover,
        now: u64,
    ) {
        self.note("job: Refused, its tasks crash upstreams.", id, "");
        let (number, share) = (handover.number, handover.share);
        self.send_verdict(entry, id, Decision { number, share, verdict: Verdict::Failed }, now);
    }

    /// Accepts a job, or some of its tasks, from an entry, together with what the entry knows about
    /// the schedulers that had these tasks before.
    pub fn hand_over(
        &mut self,
        job: Job,
        entry: &name::Name,
        handover: message::Handover,
        now: u64,
    ) {
        let id = job.id.clone();
        if self.jobs.get(&id).is_some_and(|active| active.number > handover.number) {
            return;
        }
        let wait = self.former_wait(handover.split);
        let over = (now + wait).saturating_sub(handover.release_age * time::MS);
        if !handover.former.is_empty() {
            self.uncovered_jobs.insert(id.clone());
        }
        if handover.offer {
            self.offers.insert(id.clone());
        }
        let former = self.verdicts.remove(&id).map(|(decision, _)| decision);
        if let Some(decision) =
            former.as_ref().filter(|decision| is_answer(decision, &job, &handover))
        {
            let decision = Decision { number: handover.number, ..decision.clone() };
            return self.send_verdict(entry, &id, decision, now);
        }
        if let Some(active) = self.jobs.get_mut(&id) {
            active.entry = entry.clone();
            active.last_awaited = now;
            active.entry_clock = job.entry_clock;
            // Another scheduler may have had the job in the meantime.
            active.job.resumed |= job.resumed;
            active.runs_end = active.runs_end.max(over);
            active.add_handover(&handover);
            active.uncovered.extend(handover.former);
            self.dirty = true;
            return;
        }
        if let Some(refusal) = self.arrival_refusal(&job, &handover, now) {
            let load = self.load(now);
            let detail = format!("{refusal:?}, {}m of {}m cores free", load.free, load.total);
            self.note("job: Refused.", &id, &detail);
            let (number, share) = (handover.number, handover.share);
            let decision = Decision { number, share, verdict: Verdict::NotRun(refusal) };
            self.out.verdicts.push((entry.clone(), id, decision));
            return;
        }
        let mut active = ActiveJob::new(job, entry, &handover, now);
        active.runs_end = over;
        active.uncovered.extend(handover.former);
        if let Some(decision) = former.filter(|decision| decision.verdict == Verdict::Complete) {
            active.set_done(&decision.share);
        }
        self.jobs.insert(id.clone(), active);
        self.adopt(&id, now);
        self.dirty = true;
    }

    /// Reason to refuse a job on arrival, if there is one.
    pub(crate) fn arrival_refusal(
        &self,
        job: &Job,
        handover: &message::Handover,
        now: u64,
    ) -> Option<Refusal> {
        // Offered tasks without room go back to the entry, since another zone may have room.
        if job.resumed || handover.offer {
            return None;
        }
        if !self.can_hold(job) {
            return Some(Refusal::TooLarge);
        }
        if handover.maybe_started {
            return None;
        }
        if !self.policy.refuse_overload {
            return None;
        }
        if self.is_surveying(now) {
            return None;
        }
        let queued =
            self.jobs.values().map(|active| (active.objective_end(), active.waiting_cpu()));
        queue::refusal_delay(job, queued, self.load(now), now).map(Refusal::Overload)
    }

    /// Whether this scheduler has just started and does not know its capacity yet: no upstream has
    /// announced itself, or one has not answered.
    pub(crate) fn is_surveying(&self, now: u64) -> bool {
        let is_unknown = self.sessions.is_empty();
        now < self.since + SURVEY_TIMEOUT
            && (is_unknown || self.sessions.values().any(|session| !session.is_owned()))
    }

    /// Whether each task of a job fits at an idle upstream that takes new tasks, as far as the
    /// upstreams of its service are known.
    fn can_hold(&self, job: &Job) -> bool {
        let serves = |session: &&Session| session.record.service == job.service;
        let mut open = self.sessions.values().filter(serves).peekable();
        let is_unknown = open.peek().is_none();
        let open: Vec<_> =
            open.filter(|session| session.record.phase == upstream::Phase::Serving).collect();
        let fits = |step: &Step| open.iter().any(|session| step.fits(&session.record));
        is_unknown || job.steps.iter().all(fits)
    }

    /// Refuses jobs that have not started and fit at no upstream since some have left.
    pub(crate) fn refuse_too_large(&mut self, now: u64) {
        if !std::mem::take(&mut self.shrunk) {
            return;
        }
        let unfit = self.jobs.iter().filter(|(_, active)| !active.started);
        let unfit = unfit.filter(|(_, active)| !self.can_hold(&active.job));
        for id in unfit.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.finish(&id, Verdict::NotRun(Refusal::TooLarge), now);
        }
    }

    /// Attaches runs, and ends of runs, of a former scheduler to a job that was submitted again.
    pub(crate) fn adopt(&mut self, id: &name::Name, now: u64) {
        self.orphan_runs.retain(|task, _| task.job != *id);
        let mut found = Vec::new();
        for (name, session) in &mut self.sessions {
            for (task, run) in session.runs.iter_mut().filter(|(task, _)| task.job == *id) {
                run.orphan = false;
                // A run that was already ordered to stop will end, and its task then waits again.
                if run.unwanted == Some(0) {
                    run.unwanted = None;
                }
                found.push((name.clone(), task.clone(), run.attempt));
            }
        }
        let mut duplicates = Vec::new();
        if let Some(active) = self.jobs.get_mut(id) {
            for (session, task, attempt) in found {
                let Some(item) = active.task_mut(&task) else { continue };
                item.attempt = item.attempt.max(attempt);
                // An upstream that carried out a start late may have left two runs of one task. A
                // task that another scheduler has may still have a run here from an earlier
                // submission.
                if matches!(item.phase, Phase::Placed(_) | Phase::Away) {
                    duplicates.push((session, task));
                } else {
                    active.set_phase(&task, Phase::Placed(session));
                }
            }
        }
        for (session, task) in duplicates {
            self.mark_unwanted(&session, &task);
        }
        let done = self.ends.iter().filter(|(task, (end, _))| task.job == *id && *end == End::Done);
        let done: Vec<_> = done.map(|(task, _)| task.clone()).collect();
        if let Some(active) = self.jobs.get_mut(id) {
            for task in done {
                if !active.is_away(&task) {
                    active.set_phase(&task, Phase::Done);
                }
            }
        }
        self.finish_if_complete(id, now);
    }

    /// Drops a job that its entry no longer waits for.
    pub fn cancel(&mut self, id: &name::Name, entry: &name::Name) {
        if self.jobs.get(id).is_some_and(|active| active.entry == *entry) {
            self.drop_job(id);
        }
    }

    /// Drops all jobs, since no entry is known to wait for any of them.
    pub fn drop_all(&mut self) {
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.drop_job(&id);
        }
    }

    /// Drops the jobs of an entry that has restarted without its state and no longer waits for
    /// them.
    pub fn forget_entry(&mut self, entry: &name::Name) {
        self.known.remove(entry);
        let of_entry = self.jobs.iter().filter(|(_, active)| active.entry == *entry);
        for id in of_entry.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.drop_job(&id);
        }
    }

    /// Records that an entry still waits for these handovers of jobs, and returns those that this
    /// scheduler does not know. If the entry counts more tasks here than the scheduler has, the
    /// message that returned them was lost, and the scheduler returns them again.
    pub fn renew_awaited(
        &mut self,
        handovers: &[message::Awaited],
        entry: &name::Name,
        entry_clock: u64,
        now: u64,
    ) -> Vec<message::Awaited> {
        let mut unknown = Vec::new();
        for awaited in handovers {
            let message::Awaited { job: id, number, count } = awaited;
            let ruled = self.verdicts.get(id).filter(|(decision, _)| decision.number == *number);
            match self.jobs.get_mut(id) {
                Some(active) if active.number >= *number => {
                    active.last_awaited = now;
                    active.entry_clock = entry_clock;
                    active.entry = entry.clone();
                    if active.held().len(active.job.count()) < *count {
                        let tasks = active.returned();
                        self.send_returned(id, tasks, now);
                    }
                }
                Some(_) => unknown.push(awaited.clone()),
                None => match ruled {
                    Some((decision, _)) => {
                        self.out.verdicts.push((entry.clone(), id.clone(), decision.clone()));
                    }
                    None => unknown.push(awaited.clone()),
                },
            }
        }
        unknown
    }
}

/// Whether an earlier decision on a job also answers this handover. A decision that no task was
/// run does not, because another scheduler may have started tasks of the job since.
fn is_answer(decision: &Decision, job: &Job, handover: &message::Handover) -> bool {
    match decision.verdict {
        Verdict::Complete => decision.share.covers(&handover.share),
        Verdict::Failed => true,
        Verdict::GaveUp => job.resumed,
        Verdict::NotRun(_) => false,
    }
}
