//! The life cycle of jobs at this instance: submission, admission and end.

use std::sync;

use state::{id, name, table};

use crate::{
    copies::{COPY_RESEND_DELAY, COPY_TIMEOUT},
    core::Core,
    event::{Output, Stop, Ticket},
    fleet,
    job::{Ending, Job, Phase, TaskState},
    limit,
    message::{Refusal, Spec, Verdict},
    overdue::{REPROPOSE_INTERVAL, not_started},
    queue::Task,
    time::{self, Now},
    waiter::Waiter,
};

/// A submission waits at most this long for a lease, microseconds; an election takes less time.
const ADMISSION_LEASE_TIMEOUT: u64 = 2_500 * time::MS;

impl Core {
    pub(crate) fn on_submit(&mut self, ticket: Ticket, spec: Spec, now: Now) {
        self.counts.submitted += 1;
        self.submit(Waiter::Submission(ticket), spec, now);
    }

    pub(crate) fn submit(&mut self, waiter: Waiter, spec: Spec, now: Now) {
        let journaled = !(spec.raw && spec.idempotent);
        if !journaled {
            self.submit_direct(waiter, spec, now);
        } else if spec.job.zone() == self.zone() {
            self.submit_local(waiter, spec, now);
        } else {
            self.forward(waiter, spec, now);
        }
    }

    /// Accepts an idempotent request. It does not use the journal, so this instance serves it even
    /// without a lease.
    fn submit_direct(&mut self, waiter: Waiter, spec: Spec, now: Now) {
        if self.jobs.contains_key(&spec.job) {
            let verdict = Verdict::refuse(Refusal::Conflict, "the id is in use", 0);
            return self.reply(waiter, verdict);
        }
        let job = spec.job.clone();
        if !self.accept(waiter, spec, 0, now) {
            return;
        }
        match self.claim_quota_share(&job, now) {
            Ok(()) => self.start_job(&job, now),
            Err(retry) => {
                let why = "the team is at this instance's share of its quota";
                self.remove_and_reply(&job, &Verdict::refuse(Refusal::Quota, why, retry));
            }
        }
    }

    /// Claims quota for an idempotent request; every live instance has an equal share of the quota.
    fn claim_quota_share(&mut self, id: &id::JobId, now: Now) -> Result<(), u64> {
        let Some(job) = self.jobs.get_mut(id) else { return Ok(()) };
        let Some(mut claim) = limit::quota_claim(&job.spec, &job.policy, now) else {
            return Ok(());
        };
        let count = self.table().live().count().max(1) as u32;
        claim.flight_limit = claim.flight_limit.div_ceil(count);
        claim.max_rate = claim.max_rate.div_ceil(count);
        self.usage.entry(claim.account.clone()).or_default().charge(&claim)?;
        if let Some(job) = self.jobs.get_mut(id) {
            job.claim = Some(claim);
        }
        Ok(())
    }

    fn submit_local(&mut self, waiter: Waiter, spec: Spec, now: Now) {
        let digest = spec.digest();
        if let Some(job) = self.jobs.get_mut(&spec.job) {
            if job.digest != digest {
                return self.reply(waiter, conflict());
            }
            if let Phase::Ending(ending) = &job.phase
                && ending.outcome != table::Outcome::Complete
            {
                let verdict = ending.verdict.clone();
                return self.reply(waiter, verdict);
            }
            job.waiters.push(waiter);
            return;
        }
        if let Err(verdict) = self.check_age(&spec, now) {
            return self.reply(waiter, verdict);
        }
        let known = self.table().get(&spec.job);
        if known.is_some_and(|entry| entry.outcome != Some(table::Outcome::NotRun)) {
            let policy = self.tree().policy_at(spec.service.as_str());
            let until = now.after(limit::deadline_ms(&spec, &policy));
            return self.attach(waiter, &spec.job, Some(digest), until, now);
        }
        let job = spec.job.clone();
        if self.accept(waiter, spec, digest, now) {
            self.admit(&job, now);
        }
    }

    /// Runs a job here that another zone's journal has admitted. It may run only once.
    pub(crate) fn on_execute(&mut self, waiter: Waiter, spec: Spec, now: Now) {
        if self.jobs.contains_key(&spec.job) {
            return self.reply(waiter, Verdict::unknown("the job runs here already"));
        }
        let id = spec.job.clone();
        if self.accept(waiter, spec, 0, now) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.journaled = false;
            }
            self.start_job(&id, now);
        }
    }

    /// Handles the verdict of the zone that ran a job of this zone, or the loss of contact with it.
    pub(crate) fn on_executed(&mut self, id: &id::JobId, verdict: &Verdict, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !matches!(job.phase, Phase::Running) {
            return;
        }
        match verdict {
            Verdict::Complete(_) => self.finish(id, table::Outcome::Complete, verdict, now),
            Verdict::NotRun { .. } => self.finish(id, table::Outcome::NotRun, verdict, now),
            Verdict::Failed { .. } => self.finish(id, table::Outcome::Failed, verdict, now),
            Verdict::Unknown { .. } | Verdict::Running => {
                let verdict = Verdict::failed("the zone that ran the job is out of reach");
                self.finish(id, table::Outcome::Failed, &verdict, now);
            }
        }
    }

    /// Accepts a submission unless a check refuses it; returns false after a refusal.
    fn accept(&mut self, waiter: Waiter, spec: Spec, digest: table::Digest, now: Now) -> bool {
        let policy = match self.validate(&spec, now) {
            Ok(policy) => policy,
            Err(verdict) => {
                self.reply(waiter, verdict);
                return false;
            }
        };
        let deadline = now.after(limit::deadline_ms(&spec, &policy));
        let id = spec.job.clone();
        let mut job = Job::new(sync::Arc::new(spec), digest, deadline, policy);
        job.submitted_at = now.mono;
        job.waiters.push(waiter);
        self.deadlines.insert((deadline, id.clone()));
        self.jobs.insert(id, job);
        true
    }

    pub(crate) fn admit(&mut self, id: &id::JobId, now: Now) {
        if self.time_without_lease(now.mono) > ADMISSION_LEASE_TIMEOUT {
            return self
                .remove_and_reply(id, &Verdict::unknown("the zone's journal is out of reach"));
        }
        let owner = self.journal.me().clone();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.retry_at = now.mono + REPROPOSE_INTERVAL;
        let claim = limit::quota_claim(&job.spec, &job.policy, now);
        let command = table::Command::Admit { job: id.clone(), digest: job.digest, owner, claim };
        self.propose(&command, now);
    }

    /// Removes a job and sends the verdict to all its waiters.
    pub(crate) fn remove_and_reply(&mut self, id: &id::JobId, verdict: &Verdict) {
        if let Some(job) = self.remove(id) {
            for waiter in job.waiters {
                self.reply(waiter, verdict.clone());
            }
        }
    }

    pub(crate) fn remove(&mut self, id: &id::JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        if let Some(claim) = &job.claim
            && let Some(usage) = self.usage.get_mut(&claim.account)
        {
            usage.release(claim);
        }
        self.deadlines.remove(&(job.deadline, id.clone()));
        Some(job)
    }

    fn is_admitting(&self, id: &id::JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| matches!(job.phase, Phase::Admitting))
    }

    pub(crate) fn on_admitted(&mut self, id: &id::JobId, owner: &name::Member, now: Now) {
        let admitting = self.is_admitting(id);
        if owner != self.journal.me() {
            if admitting {
                self.redirect_to_owner(id, now);
            }
        } else if admitting {
            self.start_job(id, now);
        } else if !self.jobs.contains_key(id) {
            // This instance removed the job while the journal was committing its admission.
            self.propose_end(id, table::Outcome::NotRun, now);
        }
    }

    pub(crate) fn on_duplicate_admission(
        &mut self,
        id: &id::JobId,
        proposer: &name::Member,
        now: Now,
    ) {
        let mine = proposer == self.journal.me();
        let admitting = self.is_admitting(id);
        let owned = self.table().get(id).and_then(|entry| entry.owner.as_ref());
        if mine && admitting && owned != Some(self.journal.me()) {
            self.redirect_to_owner(id, now);
        }
    }

    pub(crate) fn on_quota_exceeded(&mut self, id: &id::JobId, owner: &name::Member, retry: u64) {
        let admitting = self.is_admitting(id);
        if owner == self.journal.me() && admitting {
            let verdict = Verdict::refuse(Refusal::Quota, "the team is at its quota", retry);
            self.remove_and_reply(id, &verdict);
        }
    }

    /// Redirects all waiters of a job that another instance owns to the verdict of the owner.
    fn redirect_to_owner(&mut self, id: &id::JobId, now: Now) {
        let Some(job) = self.remove(id) else { return };
        for waiter in job.waiters {
            self.attach(waiter, id, Some(job.digest), job.deadline, now);
        }
        if job.cancelled {
            self.cancel(Waiter::Discard, id, now);
        }
    }

    /// Sends the verdict of a job that is in the journal, now or when the job ends.
    pub(crate) fn attach(
        &mut self,
        waiter: Waiter,
        id: &id::JobId,
        digest: Option<table::Digest>,
        until: u64,
        now: Now,
    ) {
        let Some(entry) = self.table().get(id).cloned() else {
            return self
                .reply(waiter, Verdict::unknown("the zone's journal has no entry for the job"));
        };
        if digest.is_some_and(|digest| digest != entry.digest) {
            return self.reply(waiter, conflict());
        }
        match entry.outcome {
            None => self.attach_open(waiter, id, entry.owner, until, now),
            Some(table::Outcome::Complete) => match self.answers.get(id).cloned() {
                Some(answers) => self.reply(waiter, Verdict::Complete(answers)),
                None => self.fetch(waiter, id, now),
            },
            Some(table::Outcome::Failed) => self.reply(waiter, Verdict::failed("the job failed")),
            Some(table::Outcome::NotRun) => self.reply(waiter, not_started()),
        }
    }

    fn attach_open(
        &mut self,
        waiter: Waiter,
        id: &id::JobId,
        owner: Option<name::Member>,
        until: u64,
        now: Now,
    ) {
        match owner {
            Some(owner) if owner != *self.journal.me() => {
                self.await_owner(waiter, id, &owner.name, until, now);
            }
            _ => match self.jobs.get_mut(id) {
                Some(job) => job.waiters.push(waiter),
                // This instance owns the job but does not work on it: none of its tasks was
                // started or will be started.
                None => self.reply(waiter, not_started()),
            },
        }
    }

    /// Puts the tasks of an admitted job into the queue, or sends the job to another zone.
    fn start_job(&mut self, id: &id::JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled {
            return self.finish(id, table::Outcome::Failed, &Verdict::failed("cancelled"), now);
        }
        job.phase = Phase::Running;
        let (spec, deadline) = (sync::Arc::clone(&job.spec), job.deadline);
        let may_leave_zone = job.journaled && job.policy.cross_zone;
        if may_leave_zone
            && self.fleet.availability(&spec.service, &spec.needs, now.mono)
                != fleet::Availability::Open
            && let Some(to) = self.pick_remote(now)
        {
            return self.execute_remote(&spec, &to, now);
        }
        let service = self.services.entry(spec.service.clone()).or_default();
        for index in 0..spec.tasks.len() as u32 {
            let task = Task { job: id.clone(), index };
            service.queue.push(spec.team.as_ref(), deadline, task);
        }
        self.dispatch_pending.insert(spec.service.clone());
    }

    /// Ends a job: no further task of it starts, and the upstreams must stop its running tasks.
    pub(crate) fn finish(
        &mut self,
        id: &id::JobId,
        outcome: table::Outcome,
        verdict: &Verdict,
        now: Now,
    ) {
        self.stop_tasks(id);
        let copies = match verdict {
            Verdict::Complete(answers) => self.copy_answers(id, answers),
            _ => 0,
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, id.clone()));
        let copy_deadline = now.mono + COPY_TIMEOUT;
        let committed = !job.journaled;
        job.retry_at = now.mono + if copies > 0 { COPY_RESEND_DELAY } else { REPROPOSE_INTERVAL };
        let waiters = match outcome {
            // The answers are sent once the journal holds the end of the job.
            table::Outcome::Complete => smallvec::SmallVec::new(),
            table::Outcome::Failed | table::Outcome::NotRun => std::mem::take(&mut job.waiters),
        };
        let ending = Ending {
            outcome,
            verdict: verdict.clone(),
            committed,
            unconfirmed: copies,
            sent_all: false,
            copy_deadline,
        };
        job.phase = Phase::Ending(ending);
        for waiter in waiters {
            self.reply(waiter, verdict.clone());
        }
        if committed {
            self.conclude(id, now);
        } else {
            self.propose_end(id, outcome, now);
        }
    }

    pub(crate) fn propose_end(&mut self, id: &id::JobId, outcome: table::Outcome, now: Now) {
        let owner = self.journal.me().clone();
        self.propose(&table::Command::End { job: id.clone(), owner, outcome }, now);
    }

    /// Removes waiting tasks from the queue and asks upstreams to stop the running ones.
    fn stop_tasks(&mut self, id: &id::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&job.spec.service) {
            for index in 0..job.tasks.len() as u32 {
                service.queue.remove(&Task { job: id.clone(), index });
            }
        }
        let attempts: Vec<_> = job.attempts().map(|(index, a)| (index, a.clone())).collect();
        for task_state in &mut job.tasks {
            if matches!(task_state, TaskState::Running(_)) {
                *task_state = TaskState::Waiting;
            }
        }
        for (index, attempt) in attempts {
            let task = Task { job: id.clone(), index };
            self.stop(task, &attempt);
        }
    }

    pub(crate) fn stop(&mut self, task: Task, attempt: &crate::job::Attempt) {
        self.counts.stops += 1;
        let (number, address) = (attempt.number, attempt.address.clone());
        self.out.push(Output::Stop(Stop { task, attempt: number, address }));
    }

    /// Answers and removes a job once the journal holds its end and the copies of its answers are
    /// confirmed or late.
    pub(crate) fn conclude(&mut self, id: &id::JobId, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        let Phase::Ending(ending) = &job.phase else { return };
        if !ending.committed || (ending.unconfirmed > 0 && now.mono < ending.copy_deadline) {
            return;
        }
        let verdict = ending.verdict.clone();
        if matches!(verdict, Verdict::Complete(_)) {
            let over = (now.mono - job.submitted_at).saturating_sub(job.longest_task);
            self.out.push(Output::ExcessLatency(job.spec.service.clone(), over));
        }
        self.remove_and_reply(id, &verdict);
    }

    pub(crate) fn on_ended(&mut self, id: &id::JobId, outcome: table::Outcome, now: Now) {
        self.calls.record_end(id, now.mono);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match &mut job.phase {
            Phase::Admitting if outcome == table::Outcome::NotRun => {}
            Phase::Admitting => self.redirect_to_owner(id, now),
            Phase::Ending(ending) if ending.outcome == outcome => {
                ending.committed = true;
                self.conclude(id, now);
            }
            // The journal ended the job because the leader considered this instance crashed and
            // expelled it.
            Phase::Running | Phase::Ending(_) => {
                self.stop_tasks(id);
                self.remove_and_reply(
                    id,
                    &Verdict::failed("the owner lost contact with the zone's journal"),
                );
            }
        }
    }

    /// Reconciles every job with the job table after the whole table was replaced.
    pub(crate) fn reconcile_jobs(&mut self, now: Now) {
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(entry) = self.table().get(&id).cloned() else {
                continue;
            };
            if let Some(outcome) = entry.outcome {
                self.on_ended(&id, outcome, now);
            } else if let Some(owner) = entry.owner {
                self.on_admitted(&id, &owner, now);
            }
        }
    }

    /// Ends all journaled jobs after the loss of the journal: without it, no instance can ever
    /// prove whether they have run.
    pub(crate) fn end_journaled_jobs(&mut self) {
        let ids: Vec<_> =
            self.jobs.iter().filter(|(_, job)| job.journaled).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.stop_tasks(&id);
            self.remove_and_reply(&id, &Verdict::unknown("the zone's journal was lost"));
        }
    }
}

fn conflict() -> Verdict {
    Verdict::refuse(Refusal::Conflict, "the id was already used for different content", 0)
}
