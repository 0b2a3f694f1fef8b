//! Task execution: dispatch, results, retries, hedges and borrowed slots.

use state::{id, name, table};

use crate::{
    core::Core,
    event::{Done, Finish, Output, Start},
    fleet,
    job::{Attempt, Phase, TaskState},
    message::{self, Body, Verdict},
    queue::Task,
    time::{self, Now},
};

/// Maximum number of tasks at the head of a queue that one dispatch skips because no free slot
/// fits them.
const LOOK_AHEAD: usize = 8;
/// Maximum number of slots requested in one message.
const MAX_LOAN: u32 = 64;
/// A request for slots without an answer counts as refused after this, microseconds.
const LOAN_TIMEOUT: u64 = 300 * time::MS;
/// Minimum and maximum backoff after every zone peer has refused to lend, microseconds.
const LOAN_BACKOFF: (u64, u64) = (50 * time::MS, 1_000 * time::MS);

impl Core {
    pub(crate) fn dispatch_pending(&mut self, now: Now) {
        for service in std::mem::take(&mut self.dispatch_pending) {
            self.dispatch(&service, now);
        }
    }

    fn dispatch(&mut self, service: &name::Name, now: Now) {
        if self.services.get(service).is_none_or(|entry| entry.queue.is_empty()) {
            return;
        }
        let lease = if self.has_lease(now.mono) { self.journal.lease_end(now.mono) } else { 0 };
        let mut free = self.fleet.slot_counts(service, now.mono).free;
        let mut skipped = Vec::new();
        while skipped.len() < LOOK_AHEAD && free > 0 {
            let queue = self.services.get_mut(service).map(|service| &mut service.queue);
            let Some(task) = queue.and_then(crate::queue::Queue::pop) else {
                break;
            };
            if self.start(&task, lease, None, now) {
                free -= 1;
            } else {
                skipped.push(task);
            }
        }
        for task in skipped {
            self.put_back(task);
        }
        let waiting = self.services.get(service).is_some_and(|s| !s.queue.is_empty());
        if waiting {
            self.request_slots(service, now);
        }
    }

    fn put_back(&mut self, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&job.spec.service) {
            service.queue.put_back(job.spec.team.as_ref(), job.deadline, task);
        }
    }

    /// Starts one attempt at a task; returns false if no upstream may take it now.
    fn start(&mut self, task: &Task, lease: u64, avoid: Option<&name::Name>, now: Now) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return true;
        };
        if job.journaled && lease <= now.mono {
            return false;
        }
        let spec = &job.spec;
        let Some(upstream) = self.fleet.pick(&spec.service, &spec.needs, avoid, now.mono) else {
            return false;
        };
        let Some(address) = self.fleet.start(&upstream) else {
            return false;
        };
        self.last_attempt += 1;
        let number = self.last_attempt;
        let start = Start {
            task: task.clone(),
            attempt: number,
            upstream: upstream.clone(),
            address: address.clone(),
            body: spec.tasks.get(task.index as usize).cloned().unwrap_or_default(),
            content_type: spec.content_type.clone(),
            deadline: job.deadline,
            lease: if job.journaled { lease } else { u64::MAX },
            trace: spec.trace.clone(),
        };
        let attempt = Attempt { number, upstream, address, started_at: now.mono };
        job.started += 1;
        match &mut job.tasks[task.index as usize] {
            TaskState::Running(attempts) => attempts.push(attempt),
            task_state => *task_state = TaskState::Running(smallvec::smallvec![attempt]),
        }
        self.counts.starts += 1;
        self.out.push(Output::Start(start));
        true
    }

    pub(crate) fn on_done(&mut self, done: Done, now: Now) {
        let end = match &done.finish {
            Finish::Answer(_) => fleet::End::Answered(done.took),
            Finish::Full => fleet::End::Full,
            Finish::Unsent => fleet::End::Neutral,
            Finish::Unreached | Finish::Failed(_) => fleet::End::Failed,
        };
        let service = self.fleet.upstreams().get(done.upstream.as_str()).map(|l| &l.info.service);
        self.dispatch_pending.extend(service.cloned());
        let expected = self.take_attempt(&done);
        // The failure of a task that this instance has stopped does not indicate a faulty upstream.
        let cancelled = !expected && end == fleet::End::Failed;
        self.fleet.finish(
            &done.upstream,
            if cancelled { fleet::End::Neutral } else { end },
            now.mono,
        );
        if !expected {
            return;
        }
        match done.finish {
            Finish::Answer(answer) => self.on_answer(&done.task, answer, done.took, now),
            Finish::Full | Finish::Unreached | Finish::Unsent => self.on_unstarted(&done.task),
            Finish::Failed(why) => self.on_failure(&done.task, &done.upstream, &why, now),
        }
    }

    /// Removes an attempt from its job; returns false if the job no longer needs its result.
    fn take_attempt(&mut self, done: &Done) -> bool {
        let Some(job) = self.jobs.get_mut(&done.task.job) else {
            return false;
        };
        let task_state = job.tasks.get_mut(done.task.index as usize);
        let Some(TaskState::Running(attempts)) = task_state else {
            return false;
        };
        let before = attempts.len();
        attempts.retain(|attempt| attempt.number != done.attempt);
        before > attempts.len() && matches!(job.phase, Phase::Running)
    }

    fn on_answer(&mut self, task: &Task, answer: message::Answer, took: u64, now: Now) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let task_state = &mut job.tasks[task.index as usize];
        let others = match std::mem::replace(task_state, TaskState::Done(answer)) {
            TaskState::Running(attempts) => attempts,
            TaskState::Waiting | TaskState::Done(_) => smallvec::SmallVec::new(),
        };
        job.unanswered -= 1;
        job.longest_task = job.longest_task.max(took);
        let complete = job.unanswered == 0;
        let answers = if complete { job.answers() } else { Vec::new() };
        if let Some(service) = self.services.get_mut(&job.spec.service) {
            service.times.record(took);
            service.budget.earn(job.policy.retry_budget);
        }
        for attempt in &others {
            self.stop(task.clone(), attempt);
        }
        if complete {
            let verdict = Verdict::Complete(answers);
            self.finish(&task.job, table::Outcome::Complete, &verdict, now);
        }
    }

    /// Requeues a task that the upstream certainly did not start, so another upstream may run it.
    fn on_unstarted(&mut self, task: &Task) {
        self.counts.moved += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started -= 1;
        let task_state = &mut job.tasks[task.index as usize];
        if matches!(task_state, TaskState::Running(attempts) if attempts.is_empty()) {
            *task_state = TaskState::Waiting;
            let (team, deadline) = (job.spec.team.clone(), job.deadline);
            if let Some(service) = self.services.get_mut(&job.spec.service) {
                service.queue.push(team.as_ref(), deadline, task.clone());
            }
        }
    }

    fn on_failure(&mut self, task: &Task, upstream: &name::Name, why: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let task_state = &mut job.tasks[task.index as usize];
        if matches!(task_state, TaskState::Running(attempts) if !attempts.is_empty()) {
            // Another attempt at the task is still running.
            return;
        }
        let retryable = job.retryable && now.mono < job.deadline;
        let budget = self.services.get_mut(&job.spec.service).map(|service| &mut service.budget);
        if retryable && budget.is_some_and(crate::retry::Budget::spend) {
            *task_state = TaskState::Waiting;
            self.counts.retries += 1;
            if !self.start(task, u64::MAX, Some(upstream), now) {
                self.put_back(task.clone());
            }
            return;
        }
        let late = now.mono >= job.deadline;
        let why = format!("task {} at {upstream}: {why}", task.index);
        let verdict = Verdict::Failed { why, late };
        self.finish(&task.job, table::Outcome::Failed, &verdict, now);
    }

    /// Starts a second attempt at each task that takes longer than the `hedge_quantile` of the
    /// observed service times.
    pub(crate) fn hedge(&mut self, id: &id::JobId, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        let service = job.spec.service.clone();
        let times = self.services.get(&service).map(|entry| &entry.times);
        let quantile = times.and_then(|times| times.quantile(job.policy.hedge_quantile));
        let Some(limit) = quantile else { return };
        let late = |(index, attempt): (u32, &Attempt)| {
            let alone = matches!(&job.tasks[index as usize], TaskState::Running(a) if a.len() == 1);
            (alone && now.mono > attempt.started_at + limit)
                .then(|| (index, attempt.upstream.clone()))
        };
        let late: Vec<_> = job.attempts().filter_map(late).collect();
        for (index, upstream) in late {
            let budget = self.services.get_mut(&service).map(|entry| &mut entry.budget);
            if !budget.is_some_and(crate::retry::Budget::spend) {
                return;
            }
            let task = Task { job: id.clone(), index };
            if self.start(&task, u64::MAX, Some(&upstream), now) {
                self.counts.hedges += 1;
            }
        }
    }

    /// Requests idle slots from the zone peers in turn, with one outstanding request at a time.
    fn request_slots(&mut self, service: &name::Name, now: Now) {
        let peers = self.zone_peers();
        let baselines = self.config.baselines;
        if peers.is_empty() || !baselines.borrow || !baselines.shares {
            return;
        }
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        let outstanding = entry.lender.is_some() && now.mono < entry.requested_at + LOAN_TIMEOUT;
        if outstanding || now.mono < entry.backoff_until {
            return;
        }
        let to = peers[entry.next_peer % peers.len()].clone();
        entry.lender = Some(to.clone());
        entry.requested_at = now.mono;
        let count = (entry.queue.len() as u32).min(MAX_LOAN);
        let (number, service) = (entry.requested_at, service.clone());
        let borrowed = self.fleet.borrowed_from(&to, &service);
        self.counts.asked_loans += 1;
        self.send(&to, Body::Loan(message::Loan::Ask { service, count, number, borrowed }));
    }

    pub(crate) fn on_loan(&mut self, from: &name::Name, loan: message::Loan, now: Now) {
        match loan {
            message::Loan::Ask { service, count, number, borrowed } => {
                self.fleet.reconcile_loans(from, &service, borrowed);
                let busy = self.services.get(&service).is_some_and(|s| !s.queue.is_empty());
                let is_member = self.zone_peers().contains(from);
                let count = if busy || !is_member { 0 } else { count };
                let slots = self.fleet.lend(from, &service, count, now.mono);
                self.send(from, Body::Loan(message::Loan::Grant { service, number, slots }));
            }
            message::Loan::Grant { service, number, slots } => {
                self.on_grant(from, &service, number, &slots, now);
            }
            message::Loan::Return { slots } => {
                self.fleet.take_back(from, &slots);
                self.dispatch_pending.extend(self.services.keys().cloned());
            }
        }
    }

    fn on_grant(
        &mut self,
        from: &name::Name,
        service: &name::Name,
        number: u64,
        slots: &[(name::Name, u32)],
        now: Now,
    ) {
        let peers = self.zone_peers().len().max(1);
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        if entry.lender.as_ref() != Some(from) || entry.requested_at != number {
            return self.send(from, Body::Loan(message::Loan::Return { slots: slots.to_vec() }));
        }
        entry.lender = None;
        if slots.is_empty() {
            entry.next_peer += 1;
            if entry.next_peer.is_multiple_of(peers) {
                entry.backoff = (entry.backoff * 2).clamp(LOAN_BACKOFF.0, LOAN_BACKOFF.1);
                entry.backoff_until = now.mono + entry.backoff;
            }
        } else {
            entry.backoff = 0;
            self.counts.borrowed += slots.iter().map(|(_, count)| u64::from(*count)).sum::<u64>();
            let requested_at = entry.requested_at;
            self.fleet.borrow(from, slots, requested_at);
        }
        self.dispatch_pending.insert(service.clone());
    }

    /// Returns idle borrowed slots, at intervals instead of at once because the next job may need
    /// them again.
    pub(crate) fn return_idle_slots(&mut self, now: Now) {
        const RETURN_INTERVAL: u64 = 200 * time::MS;
        if now.mono < self.return_at || self.fleet.loans().total_borrowed() == 0 {
            return;
        }
        self.return_at = now.mono + RETURN_INTERVAL;
        for (to, slots) in self.fleet.return_idle() {
            self.send(&to, Body::Loan(message::Loan::Return { slots }));
        }
    }
}
