//! Starts waiting tasks: the order in which jobs are placed, and the start orders that follow.

use state::name;

use crate::{
    decisions::{place, queue},
    machines::sched::{CallPurpose, Sched},
    messages::{
        event, incarnation,
        job::{self, Task},
        order::Order,
        suspect, time, timing,
    },
    tables::{
        active::{ActiveJob, Phase},
        session::{Run, Stage},
    },
};

/// The scheduler starts a task only if its entry has asked for the job within this time by the
/// clock of the entry, microseconds. It is less than the time after which the scheduler drops the
/// job ([`upkeep::ABANDON_AFTER`]), since a job that waited longer may belong to another scheduler.
pub(crate) const MAX_QUERY_AGE: u64 = 850 * time::MS;

impl Sched {
    /// Places waiting tasks, job by job in the order of the queue.
    pub(crate) fn dispatch(
        &mut self,
        clock_of: &impl Fn(&name::Name) -> Option<u64>,
        suspects: &suspect::Suspects,
        now: u64,
    ) {
        if self.jobs.values().all(|active| active.waiting() == 0) {
            return;
        }
        let has_unowned = self.sessions.values().any(|session| !session.is_owned());
        // A time later than the entry's clock comes from a former incarnation of the entry.
        let fresh = |active: &ActiveJob| {
            let is_fresh =
                |clock| (active.entry_clock..=active.entry_clock + MAX_QUERY_AGE).contains(&clock);
            clock_of(&active.entry).is_some_and(is_fresh)
        };
        let mut placement = place::Placement::new(&self.sessions, suspects, self.policy, now)
            .with_paces(&self.paces);
        let most = placement.max_free();
        let waits = |active: &&ActiveJob| {
            active.waiting() > 0
                && !active.is_blocked(has_unowned, now)
                && active.job.min_cpu() <= most
        };
        let load = self.load(now);
        let congested = self.policy.shortest_first && queue::is_congested(load);
        let overloaded = self.policy.refuse_late && queue::is_overloaded(load);
        let waiting = self.jobs.values().filter(waits).filter(|active| fresh(active));
        let ranked = waiting.map(|active| (queue::rank(active, congested, now), active));
        let is_accepted =
            |rank: queue::Feasibility| !(overloaded && rank == queue::Feasibility::Late);
        let mut queued: Vec<_> = ranked.filter(|(rank, _)| is_accepted(rank.0)).collect();
        queued.sort_by_key(|(rank, active)| (*rank, &active.job.id));
        for (_, active) in queued {
            let known_number = self.known.get(&active.entry).copied().unwrap_or(0);
            let time_left = queue::useful_until(active, now).saturating_sub(now) / time::MS;
            let left = active.objective_end().saturating_sub(now) / time::MS;
            let left = (!congested).then_some(left);
            place_job(active, place::Limit { known_number, time_left, left }, &mut placement);
        }
        for (task, session) in placement.into_placed() {
            self.start(&task, &session, now);
        }
    }

    /// Starts a task on an upstream that has room for it.
    pub(crate) fn start(&mut self, task: &Task, id: &incarnation::Incarnation, now: u64) {
        let Some(active) = self.jobs.get_mut(&task.job) else { return };
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(until) = session.grant(self.lease, now) else { return };
        let job::Step { need, estimate, .. } = active.job.steps[task.step as usize];
        let waited = now.saturating_sub(active.arrived);
        if !active.started {
            self.out.measures.push(event::Measure::FirstWait(waited));
        }
        let idle = waited.min(now.saturating_sub(session.freed_at));
        self.out.measures.push(event::Measure::IdleRoom(idle));
        active.set_phase(task, Phase::Placed(id.clone()));
        let used = active.used_attempts;
        let Some(item) = active.task_mut(task) else { return };
        item.attempt = item.attempt.max(used) + 1;
        let attempt = item.attempt;
        let stage = Stage::Starting;
        let timing = Some(timing::RunTiming::new(now));
        let progress = (now, 0);
        let run = Run {
            attempt,
            need,
            stage,
            listed: false,
            since: now,
            timing,
            estimate,
            progress,
            unwanted: None,
            orphan: false,
        };
        session.runs.insert(task.clone(), run);
        self.number += 1;
        let spec = active.job.spec.clone();
        let waited = waited / time::MS;
        let detail = format!(
            "task {}.{} run {attempt}, {waited} ms after it arrived, at {id}, {}m cores left there, \
             token {}",
            task.step,
            task.index,
            session.free(now).cpu,
            session.fence
        );
        let (text, subject) = ("job: Starting a task.", task.job.clone());
        self.out.notes.push(event::Note { text, subject, detail });
        let order = Order::Start { task: task.clone(), attempt, spec, until, waited };
        self.pending_calls
            .insert(self.number, (id.clone(), now, CallPurpose::Start(task.clone(), attempt)));
        self.out.calls.push(session.call(self.number, order, self.call_timeout.timeout()));
    }
}

/// Places the tasks of a job that may start, as far as there is room for them.
fn place_job(active: &ActiveJob, limit: place::Limit, placement: &mut place::Placement<'_>) {
    for (step, items) in active.tasks.iter().enumerate() {
        if !active.is_due(step) {
            continue;
        }
        for (index, item) in items.iter().enumerate() {
            if item.phase != Phase::Waiting {
                continue;
            }
            let job = active.job.id.clone();
            let task = Task { job, step: step as u32, index: index as u32 };
            if placement.place(&active.job, &task, limit) == place::Choice::Full {
                break;
            }
        }
    }
}
