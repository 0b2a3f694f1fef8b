//! What a scheduler makes of the answers of its upstreams: runs that began, go on, and ended.

use std::collections;

use state::name;

use crate::{
    active::{Active, Phase},
    event,
    job::{Task, Verdict},
    order::{End, Ended, Outcome, Reason, Running},
    sched::{Sched, Sent},
    session::{Run, Stage},
    time, timing, upstream,
};

/// A task that made no progress for this long hangs, microseconds. Percents of a task of 3,600 ms,
/// the longest known, change every 36 ms.
const HANG: u64 = 280 * time::MS;
/// An upstream that refuses for a reason that passes is left alone this long, microseconds.
const FULL: u64 = 30 * time::MS;
/// A number of a run that was seen ended is passed over by this many.
const SKIP: u32 = 16;
/// An upstream that is silent for less than this was not gone: a call was lost, microseconds.
const BRIEF: u64 = 150 * time::MS;
/// Runs of unknown jobs are stopped this long after they were found; until then an entry may
/// hand the job in again, microseconds. If its entry was lost with the former scheduler, the
/// client comes back 1,300 ms after that, perhaps in another zone, and nothing may run then:
/// this is what is left after 950 ms, the latest at which a run of the former one is found.
const ORPHAN: u64 = 200 * time::MS;

impl Sched {
    /// Notes how long the answer to a call took, microseconds; it is told with the outcome next.
    pub fn timed(&mut self, number: u64, took: u64, outcome: &Outcome, now: u64) {
        // The answer to a hold waits for news: it tells nothing of the way.
        let took = match self.sent.get(&number) {
            Some((_, _, Sent::Hold)) => 0,
            Some(_) => took,
            None => return,
        };
        if matches!(outcome, Outcome::Done(_) | Outcome::Held { .. }) {
            self.call_timeout.answered(took, now);
        }
    }

    /// Takes the outcome of a call.
    pub fn called(&mut self, number: u64, fence: u64, outcome: Outcome, now: u64) {
        let Some((id, asked, sent)) = self.sent.remove(&number) else {
            return;
        };
        self.dirty = true;
        self.unasked.insert(id.clone());
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(clock) = clock_of(&outcome) {
            session.tell_time(clock, now);
        }
        let current = fence == session.fence;
        match &outcome {
            Outcome::Replaced => {
                if let Sent::Start(task, attempt) = &sent {
                    self.never_began(&id, task, *attempt);
                }
                return self.replaced(&id);
            }
            Outcome::Refused(Reason::Fence, _) if current => {
                self.outranked(&id, number, now);
            }
            _ => {}
        }
        match sent {
            Sent::Hold => self.held(&id, number, asked, current, outcome, now),
            Sent::Start(task, attempt) => self.started(&id, &task, attempt, &outcome, now),
            Sent::Stop => self.stopped(&id, &outcome, now),
        }
    }

    /// An order to start did not reach the life of the upstream that it was meant for.
    fn never_began(&mut self, id: &name::Name, task: &Task, attempt: u32) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let run = session.runs.get(task).filter(|run| run.attempt == attempt);
        if run.is_some_and(|run| run.stage == Stage::Starting) {
            session.runs.remove(task);
            self.requeue(id, task);
        }
    }

    fn outranked(&mut self, id: &name::Name, number: u64, now: u64) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.end_hold(number);
            session.outranked(now);
        }
        self.out.outranked.push(id.clone());
    }

    fn held(
        &mut self,
        id: &name::Name,
        number: u64,
        asked: u64,
        current: bool,
        outcome: Outcome,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let under_way = session.end_hold(number).is_some();
        match outcome {
            Outcome::Held { clock, running, ended } => {
                if !current || !under_way {
                    return;
                }
                let silent = session.silent;
                session.answered();
                if let Some(since) = silent {
                    self.heard_again(since, now);
                }
                let Some(session) = self.sessions.get_mut(id) else { return };
                if !std::mem::take(&mut session.lapsed).is_empty() {
                    self.findings.back.push(id.clone());
                }
                self.take_ends(id, ended, clock, now);
                self.take_running(id, &running, asked, clock, now);
            }
            Outcome::Refused(Reason::Fence, _) => {}
            _ if under_way => {
                session.miss(now);
                let silent = session.silent.unwrap_or(now);
                if silent == now {
                    self.note("upstream: No answer.", id, &format!("{outcome:?}"));
                }
            }
            _ => {}
        }
    }

    /// An upstream that fell silent at `since` has answered.
    fn heard_again(&mut self, since: u64, now: u64) {
        if now < since + BRIEF {
            return self.call_timeout.lost(now);
        }
        for session in self.sessions.values_mut() {
            session.retry_with(since, now);
        }
    }

    fn take_ends(&mut self, id: &name::Name, ended: Vec<Ended>, clock: u64, now: u64) {
        for end in ended {
            let Some(session) = self.sessions.get_mut(id) else { return };
            if end.number <= session.seen {
                continue;
            }
            session.seen = end.number;
            let run = session.runs.get(&end.task);
            let known = run.is_some_and(|run| run.attempt == end.attempt);
            let begun = run.and_then(|run| Some((run.begun?, run.estimate)));
            let begun = begun.filter(|_| known && end.end == End::Done);
            if known {
                session.runs.remove(&end.task);
                session.freed = now;
            }
            match end.end {
                End::Done => session.health.good(),
                End::Failed if known => {
                    if self.policy.eject && session.health.bad(now) {
                        self.note("upstream: Ejected, it fails what it starts.", id, "");
                    }
                }
                End::Failed | End::Stopped | End::Lapsed => {}
            }
            if let Some((begun, estimate)) = begun {
                let parts = begun.end(clock, now);
                self.note_speed(id, &parts, estimate, now);
                self.note_breakdown(&end.task, parts, now);
            }
            self.end_task(id, &end, known, now);
        }
    }

    /// Notes where the time of a task went that has done its work.
    fn note_breakdown(&mut self, task: &Task, parts: timing::Breakdown, now: u64) {
        self.out.measures.push(event::Measure::Breakdown(parts));
        if let Some(active) = self.jobs.get_mut(&task.job) {
            let whole = now.saturating_sub(active.arrived);
            active.last = Some(parts.after(active.job.age * time::MS, whole));
        }
    }

    fn end_task(&mut self, id: &name::Name, end: &Ended, known: bool, now: u64) {
        let task = &end.task;
        let Some(active) = self.jobs.get_mut(&task.job) else {
            self.ends.insert(task.clone(), (end.end, now));
            return;
        };
        if active.is_away(task) {
            return;
        }
        let Some(item) = active.item_mut(task) else {
            return;
        };
        let here = item.phase == Phase::Placed(id.clone());
        match end.end {
            End::Done => {
                self.findings.done.push(task.clone());
                let former = active.set(task, Phase::Done);
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
                    active.set(task, Phase::Waiting);
                }
            }
            End::Failed | End::Stopped | End::Lapsed => {
                if here && known {
                    active.set(task, Phase::Waiting);
                }
            }
        }
        self.settle(&task.job.clone(), now);
    }

    fn take_running(
        &mut self,
        id: &name::Name,
        running: &[Running],
        asked: u64,
        clock: u64,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        for task in session.missing(running, asked) {
            session.runs.remove(&task);
            if let Some(active) = self.jobs.get_mut(&task.job)
                && active.item(&task).is_some_and(|item| item.phase == Phase::Placed(id.clone()))
            {
                active.set(&task, Phase::Waiting);
            }
        }
        let mut hung = Vec::new();
        for row in running {
            let Some(session) = self.sessions.get_mut(id) else { return };
            let need = need_of(&self.jobs, &row.task);
            match session.runs.get_mut(&row.task) {
                Some(run) if run.attempt == row.attempt => {
                    if run.stage == Stage::Unconfirmed {
                        self.call_timeout.late(now);
                    }
                    if let Some(begun) = &mut run.begun {
                        begun.hear(clock, now);
                    }
                    if run.stage != Stage::Running {
                        run.stage = Stage::Running;
                        run.since = run.since.min(asked);
                    }
                    if run.progress.1 != row.percent {
                        run.progress = (now, row.percent);
                    } else if self.policy.stop_hung
                        && now >= run.progress.0 + HANG
                        && run.unwanted.is_none()
                    {
                        hung.push(row.task.clone());
                    }
                }
                Some(_) => {}
                None => {
                    let run = Run {
                        attempt: row.attempt,
                        need: need.unwrap_or(session.record.room),
                        stage: Stage::Running,
                        since: now,
                        begun: None,
                        estimate: 0,
                        progress: (now, row.percent),
                        unwanted: None,
                    };
                    session.runs.insert(row.task.clone(), run);
                    self.found(id, &row.task, row.attempt, now);
                }
            }
        }
        for task in hung {
            self.hung(id, &task, now);
        }
        self.watch_speed(id, running, clock, now);
    }

    /// A run that this scheduler did not start.
    fn found(&mut self, id: &name::Name, task: &Task, attempt: u32, now: u64) {
        let Some(active) = self.jobs.get_mut(&task.job) else {
            self.orphans.insert(task.clone(), now + ORPHAN);
            return;
        };
        let waits = active.item(task).is_some_and(|item| item.phase == Phase::Waiting);
        if waits {
            active.set(task, Phase::Placed(id.clone()));
            if let Some(item) = active.item_mut(task) {
                item.attempt = item.attempt.max(attempt);
            }
        } else {
            self.mark_unwanted(id, task);
        }
    }

    fn hung(&mut self, id: &name::Name, task: &Task, now: u64) {
        self.note("upstream: A task makes no progress, stopping it.", id, &task.job.to_string());
        if self.policy.eject
            && let Some(session) = self.sessions.get_mut(id)
            && session.health.bad(now)
        {
            self.note("upstream: Ejected, its tasks make no progress.", id, "");
        }
        self.mark_unwanted(id, task);
    }

    fn started(&mut self, id: &name::Name, task: &Task, attempt: u32, outcome: &Outcome, now: u64) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(run) = session.runs.get_mut(task).filter(|run| run.attempt == attempt) else {
            return;
        };
        match outcome {
            Outcome::Done(clock) | Outcome::Held { clock, .. } => {
                if let Some(begun) = &mut run.begun {
                    begun.hear(*clock, now);
                }
                if run.stage == Stage::Starting {
                    run.stage = Stage::Running;
                    run.since = now;
                    run.progress = (now, 0);
                }
                let cpu = session.taken().cpu;
                session.capacity_limit.taken(cpu);
            }
            Outcome::Lost => {
                run.stage = Stage::Unconfirmed;
                run.since = now;
                session.mark_unconfirmed(now);
                self.note("upstream: A start had no answer.", id, &task.job.to_string());
            }
            Outcome::Refused(reason, _) => {
                let need = run.need;
                session.runs.remove(task);
                match reason {
                    Reason::Room => {
                        session.capacity_limit.refused(session.taken().cpu + need.cpu, now);
                    }
                    Reason::Late => session.full = now + FULL,
                    Reason::Unhealthy => {
                        session.full = now + FULL * 3;
                        if self.policy.eject {
                            session.health.bad(now);
                        }
                    }
                    Reason::Old | Reason::Fence | Reason::Invalid => {}
                }
                self.refused(id, task, *reason, now);
            }
            Outcome::Unsent => {
                session.runs.remove(task);
                session.miss(now);
                self.refused(id, task, Reason::Unhealthy, now);
            }
            Outcome::Replaced => {}
        }
    }

    /// A start was refused: the task did not run and waits again.
    fn refused(&mut self, id: &name::Name, task: &Task, reason: Reason, now: u64) {
        self.note("upstream: A start was refused.", id, &format!("{} {reason:?}", task.job));
        let Some(active) = self.jobs.get_mut(&task.job) else { return };
        let Some(item) = active.item_mut(task) else { return };
        if item.phase != Phase::Placed(id.clone()) {
            return;
        }
        match reason {
            Reason::Old => item.attempt += SKIP,
            Reason::Invalid => item.failures += 1,
            _ => {}
        }
        if item.failures >= active.job.attempts.max(1) {
            return self.finish(&task.job.clone(), Verdict::Failed, now);
        }
        active.set(task, Phase::Waiting);
    }

    fn stopped(&mut self, id: &name::Name, outcome: &Outcome, now: u64) {
        if let Some(session) = self.sessions.get_mut(id)
            && *outcome == Outcome::Lost
        {
            session.mark_unconfirmed(now);
        }
    }
}

fn clock_of(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Done(clock) | Outcome::Held { clock, .. } => Some(*clock),
        Outcome::Refused(_, clock) => *clock,
        _ => None,
    }
}

fn need_of(
    jobs: &collections::BTreeMap<name::Name, Active>,
    task: &Task,
) -> Option<upstream::Room> {
    jobs.get(&task.job)?.job.steps.get(task.step as usize).map(|step| step.need)
}
