//! How a scheduler processes the answers of its upstreams: runs that started, are in progress or
//! have ended.

use std::collections;

use state::name;

use crate::{
    machines::sched::{CallPurpose, MAX_LEASE, Sched},
    messages::{
        event, incarnation,
        job::{Task, Verdict},
        order::{End, Ended, Outcome, Reason, Running},
        time, timing, upstream,
    },
    tables::{
        active::{ActiveJob, Phase},
        session::{HANG_TIMEOUT, Run, Stage},
    },
};

/// The scheduler starts nothing at an upstream for this long after it refused a start for a
/// temporary reason, microseconds.
const REFUSAL_PAUSE: u64 = 30 * time::MS;
/// An upstream that has seen a run end refuses its number. The scheduler then skips this many run
/// numbers of the task.
const ATTEMPT_SKIP: u32 = 16;
/// An upstream that is silent for less than this, in microseconds, lost one call and was not
/// unreachable.
const BRIEF_SILENCE: u64 = 150 * time::MS;
/// The scheduler stops runs of unknown jobs this long after it found them, microseconds; until then
/// an entry may submit the job again. If the entry was lost together with the former scheduler, the
/// client retries 1,300 ms after the loss, perhaps in another zone, and no run may be left by then.
/// This value fits into what remains after 950 ms, the latest time at which the scheduler finds
/// a run of the former one.
pub(crate) const ORPHAN_GRACE: u64 = 200 * time::MS;

impl Sched {
    /// Records how long the answer to a call took, microseconds. The caller passes the outcome to
    /// [`Self::process_outcome`] next.
    pub fn record_latency(&mut self, number: u64, took: u64, outcome: &Outcome, now: u64) {
        // The upstream delays its answer to a hold until a run ends, so that the time says nothing
        // about the latency of the link.
        let took = match self.pending_calls.get(&number) {
            Some((_, _, CallPurpose::Hold)) => 0,
            Some(_) => took,
            None => return,
        };
        if matches!(outcome, Outcome::Done(_) | Outcome::Held { .. }) {
            self.call_timeout.record_answer(took, now);
        }
    }

    /// Processes the outcome of a call.
    pub fn process_outcome(&mut self, number: u64, fence: u64, mut outcome: Outcome, now: u64) {
        let Some((id, asked, purpose)) = self.pending_calls.remove(&number) else {
            return;
        };
        self.dirty = true;
        self.idle_sessions.insert(id.clone());
        if let Outcome::Held { started, .. } = &outcome {
            match id.compare(*started) {
                incarnation::Match::Same => {}
                incarnation::Match::Other(started) => {
                    let next = incarnation::Incarnation::new(&id.name, started);
                    return self.replace(&id, &next, now);
                }
                // The lists may be those of another incarnation.
                incarnation::Match::Unknown => outcome = Outcome::Lost,
            }
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(clock) = upstream_clock(&outcome) {
            session.set_clock(clock, now);
        }
        let current = fence == session.fence;
        match &outcome {
            Outcome::Replaced => {
                if let CallPurpose::Start(task, attempt) = &purpose {
                    self.requeue_unstarted(&id, task, *attempt);
                }
                return self.handle_replaced(&id);
            }
            Outcome::Refused(Reason::Fence, _) if current => {
                self.process_outranked(&id, number, now);
            }
            _ => {}
        }
        match purpose {
            CallPurpose::Hold => self.process_hold(&id, number, asked, current, outcome, now),
            CallPurpose::Start(task, attempt) => {
                self.process_start(&id, &task, attempt, &outcome, now);
            }
            CallPurpose::Stop => self.process_stop(&id, &outcome, now),
        }
    }

    /// Requeues a task whose start order did not reach the intended incarnation of the upstream.
    fn requeue_unstarted(&mut self, id: &incarnation::Incarnation, task: &Task, attempt: u32) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let run = session.runs.get(task).filter(|run| run.attempt == attempt);
        if run.is_some_and(|run| run.stage == Stage::Starting) {
            session.runs.remove(task);
            self.requeue(id, task);
        }
    }

    fn process_outranked(&mut self, id: &incarnation::Incarnation, number: u64, now: u64) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.end_hold(number);
            session.mark_outranked(now);
        }
        self.out.outranked.push(id.clone());
    }

    fn process_hold(
        &mut self,
        id: &incarnation::Incarnation,
        number: u64,
        asked: u64,
        current: bool,
        outcome: Outcome,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let under_way = session.end_hold(number).is_some();
        match outcome {
            Outcome::Held { clock, running, ended, .. } => {
                if !current || !under_way {
                    return;
                }
                let silent = session.silent_since;
                session.record_answer();
                if let Some(since) = silent {
                    self.process_recovery(since, now);
                }
                let Some(session) = self.sessions.get_mut(id) else { return };
                if !std::mem::take(&mut session.lapsed).is_empty() {
                    self.findings.back.push(id.clone());
                }
                self.process_ended(id, ended, clock, now);
                self.process_running(id, &running, asked, clock, now);
                self.replace_former(id, number, now);
            }
            Outcome::Refused(Reason::Fence, _) => {}
            _ if under_way => {
                session.record_timeout(now);
                let silent = session.silent_since.unwrap_or(now);
                if silent == now {
                    self.note("upstream: No answer.", &id.name, &format!("{outcome:?}"));
                }
            }
            _ => {}
        }
    }

    /// Processes the first answer of an upstream that had been silent since `since`.
    fn process_recovery(&mut self, since: u64, now: u64) {
        if now < since + BRIEF_SILENCE {
            return self.call_timeout.record_loss(now);
        }
        for session in self.sessions.values_mut() {
            session.retry_with(since, now);
        }
    }

    fn process_ended(
        &mut self,
        id: &incarnation::Incarnation,
        ended: Vec<Ended>,
        clock: u64,
        now: u64,
    ) {
        for end in ended {
            let Some(session) = self.sessions.get_mut(id) else { return };
            if end.number <= session.seen {
                continue;
            }
            session.seen = end.number;
            let run = session.runs.get(&end.task);
            let known = run.is_some_and(|run| run.attempt == end.attempt);
            let timing = run.and_then(|run| Some((run.timing?, run.estimate)));
            let timing = timing.filter(|_| known && end.end == End::Done);
            if known {
                session.runs.remove(&end.task);
                session.freed_at = now;
            }
            match end.end {
                End::Done => session.health.record_success(),
                End::Failed if known => {
                    if self.policy.eject && session.health.record_failure(now) {
                        self.note("upstream: Ejected after failed runs.", &id.name, "");
                    }
                }
                End::Failed | End::Stopped | End::Lapsed => {}
            }
            if let Some((timing, estimate)) = timing {
                let parts = timing.end(clock, now);
                self.record_speed(id, &parts, estimate, now);
                self.learn_speed(id, &end.task, &parts, estimate, now);
                self.record_breakdown(&end.task, parts, now);
            }
            self.end_task(id, &end, known, now);
        }
    }

    /// Records how the time of a completed task is divided.
    fn record_breakdown(&mut self, task: &Task, parts: timing::Breakdown, now: u64) {
        self.out.measures.push(event::Measure::Breakdown(parts));
        if let Some(active) = self.jobs.get_mut(&task.job) {
            let whole = now.saturating_sub(active.arrived);
            active.last_breakdown = Some(parts.after(active.job.age * time::MS, whole));
        }
    }

    fn end_task(&mut self, id: &incarnation::Incarnation, end: &Ended, known: bool, now: u64) {
        let task = &end.task;
        let Some(active) = self.jobs.get_mut(&task.job) else {
            self.ends.insert(task.clone(), (end.end, now));
            return;
        };
        if active.is_away(task) {
            return;
        }
        let Some(item) = active.task_mut(task) else {
            return;
        };
        let here = item.phase == Phase::Placed(id.clone());
        match end.end {
            End::Done => {
                self.findings.done.push(task.clone());
                let former = active.set_phase(task, Phase::Done);
                if let Some(Phase::Placed(other)) = former
                    && other != *id
                {
                    self.mark_unwanted(&other, task);
                }
            }
            End::Failed if known => {
                item.failures += 1;
                if item.failures >= active.job.attempts.max(1) {
                    return self.finish(&task.job.clone(), Verdict::Failed, now);
                }
                if here {
                    active.set_phase(task, Phase::Waiting);
                }
            }
            End::Failed | End::Stopped | End::Lapsed => {
                if here && known {
                    active.set_phase(task, Phase::Waiting);
                }
            }
        }
        self.finish_if_complete(&task.job.clone(), now);
    }

    fn process_running(
        &mut self,
        id: &incarnation::Incarnation,
        running: &[Running],
        asked: u64,
        clock: u64,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        for task in session.missing(running, asked) {
            session.runs.remove(&task);
            if let Some(active) = self.jobs.get_mut(&task.job)
                && active.task(&task).is_some_and(|item| item.phase == Phase::Placed(id.clone()))
            {
                active.set_phase(&task, Phase::Waiting);
            }
        }
        let mut hung = Vec::new();
        for row in running {
            let Some(session) = self.sessions.get_mut(id) else { return };
            let need = task_need(&self.jobs, &row.task);
            match session.runs.get_mut(&row.task) {
                Some(run) if run.attempt == row.attempt => {
                    if run.stage == Stage::Unconfirmed {
                        self.call_timeout.record_late_answer(now);
                    }
                    if let Some(timing) = &mut run.timing {
                        timing.confirm(clock, now);
                    }
                    run.listed = true;
                    if run.stage != Stage::Running {
                        run.stage = Stage::Running;
                        run.since = run.since.min(asked);
                    }
                    if run.progress.1 != row.percent {
                        run.progress = (now, row.percent);
                    } else if self.policy.stop_hung
                        && now >= run.progress.0 + HANG_TIMEOUT
                        && run.unwanted.is_none()
                    {
                        hung.push(row);
                    }
                }
                Some(_) => {}
                None => {
                    let run = Run {
                        attempt: row.attempt,
                        need: need.unwrap_or(session.record.room),
                        stage: Stage::Running,
                        listed: true,
                        since: now,
                        timing: None,
                        estimate: 0,
                        progress: (now, row.percent),
                        unwanted: None,
                        orphan: !self.parts.is_all() && need.is_none(),
                    };
                    session.runs.insert(row.task.clone(), run);
                    session.expect_lease(MAX_LEASE, now);
                    self.adopt_run(id, &row.task, row.attempt, now);
                }
            }
        }
        for row in hung {
            self.stop_hung_run(id, row, now);
        }
        self.watch_speed(id, running, clock, now);
    }

    /// Adopts a run that this scheduler did not start.
    fn adopt_run(&mut self, id: &incarnation::Incarnation, task: &Task, attempt: u32, now: u64) {
        let Some(active) = self.jobs.get_mut(&task.job) else {
            self.orphan_runs.insert(task.clone(), now + ORPHAN_GRACE);
            return;
        };
        let waits = active.task(task).is_some_and(|item| item.phase == Phase::Waiting);
        if waits {
            active.set_phase(task, Phase::Placed(id.clone()));
            if let Some(item) = active.task_mut(task) {
                item.attempt = item.attempt.max(attempt);
            }
        } else {
            self.mark_unwanted(id, task);
        }
    }

    fn stop_hung_run(&mut self, id: &incarnation::Incarnation, row: &Running, now: u64) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(run) = session.runs.get(&row.task) else { return };
        let stalled = now.saturating_sub(run.progress.0) / time::MS;
        let mut detail = format!("{}, at {}% for {stalled} ms", row.task.job, row.percent);
        if let Some(usage) = row.usage {
            detail = format!("{detail}, {usage}m of {}m cores in use", run.need.cpu);
        }
        let ejected = self.policy.eject && session.health.record_failure(now);
        self.note("upstream: Stopping a task without progress.", &id.name, &detail);
        if ejected {
            self.note("upstream: Ejected after runs without progress.", &id.name, "");
        }
        self.mark_unwanted(id, &row.task);
    }

    fn process_start(
        &mut self,
        id: &incarnation::Incarnation,
        task: &Task,
        attempt: u32,
        outcome: &Outcome,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(run) = session.runs.get_mut(task).filter(|run| run.attempt == attempt) else {
            return;
        };
        match outcome {
            Outcome::Done(clock) | Outcome::Held { clock, .. } => {
                if let Some(timing) = &mut run.timing {
                    timing.confirm(*clock, now);
                }
                if run.stage == Stage::Starting {
                    run.stage = Stage::Running;
                    run.since = now;
                    run.progress = (now, 0);
                }
                let cpu = session.taken().cpu;
                session.capacity_limit.record_start(cpu);
            }
            Outcome::Lost => {
                run.stage = Stage::Unconfirmed;
                run.since = now;
                session.mark_unconfirmed(now);
                self.note("upstream: No answer to a start.", &id.name, &task.job.to_string());
            }
            Outcome::Refused(reason, _) => {
                let need = run.need;
                session.runs.remove(task);
                match reason {
                    Reason::Room => {
                        session.capacity_limit.record_refusal(session.taken().cpu + need.cpu, now);
                    }
                    Reason::Late => session.full_until = now + REFUSAL_PAUSE,
                    Reason::Unhealthy => {
                        session.full_until = now + REFUSAL_PAUSE * 3;
                        if self.policy.eject {
                            session.health.record_failure(now);
                        }
                    }
                    Reason::Old | Reason::Fence | Reason::Invalid => {}
                }
                self.process_refusal(id, task, *reason, now);
            }
            Outcome::Unsent => {
                session.runs.remove(task);
                session.record_timeout(now);
                self.process_refusal(id, task, Reason::Unhealthy, now);
            }
            Outcome::Replaced => {}
        }
    }

    /// Requeues a task whose start was refused; the task did not run.
    fn process_refusal(
        &mut self,
        id: &incarnation::Incarnation,
        task: &Task,
        reason: Reason,
        now: u64,
    ) {
        self.note("upstream: A start was refused.", &id.name, &format!("{} {reason:?}", task.job));
        let Some(active) = self.jobs.get_mut(&task.job) else { return };
        let Some(item) = active.task_mut(task) else { return };
        if item.phase != Phase::Placed(id.clone()) {
            return;
        }
        match reason {
            Reason::Old => item.attempt += ATTEMPT_SKIP,
            Reason::Invalid => item.failures += 1,
            _ => {}
        }
        if item.failures >= active.job.attempts.max(1) {
            return self.finish(&task.job.clone(), Verdict::Failed, now);
        }
        active.set_phase(task, Phase::Waiting);
    }

    fn process_stop(&mut self, id: &incarnation::Incarnation, outcome: &Outcome, now: u64) {
        if let Some(session) = self.sessions.get_mut(id)
            && *outcome == Outcome::Lost
        {
            session.mark_unconfirmed(now);
        }
    }
}

fn upstream_clock(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Done(clock) | Outcome::Held { clock, .. } => Some(*clock),
        Outcome::Refused(_, clock) => *clock,
        _ => None,
    }
}

fn task_need(
    jobs: &collections::BTreeMap<name::Name, ActiveJob>,
    task: &Task,
) -> Option<upstream::Room> {
    jobs.get(&task.job)?.job.steps.get(task.step as usize).map(|step| step.need)
}
