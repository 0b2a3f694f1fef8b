//! Placement: which upstream runs a task.
//!
//! A task is placed at the upstream where it leaves the least free room (best fit), so that tasks
//! that need many cores still find a whole upstream: of tasks of 10 to 20 cores, two or three fit
//! on an upstream of 32 or 48 cores.
//!
//! Upstreams with recent failures are used after the others, and one that is on trial gets one task
//! at a time. Slow upstreams are used last, and only for tasks that are still useful when they are
//! done there. A task that an upstream of lasting low speed would make late waits for a faster one
//! as long as that would be in time. A task that may crash its upstream goes where the fewest other
//! tasks run, and other tasks are placed at other upstreams as long as there is room.
//!
//! The module handles a load of more jobs than there is room for. Each answer of an upstream then
//! finds hundreds of waiting jobs, nearly all of which fit on no upstream, so that this check has
//! to be very cheap: upstreams are kept sorted by their free cores.

use std::collections;

use state::policy;

use crate::{
    decisions::forecast,
    messages::{incarnation, job, suspect, upstream},
    tables::session,
};

/// Result of an attempt to place a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// An upstream was found.
    Placed,
    /// A run of the task may still be in progress at some upstream.
    Running,
    /// The task may crash upstreams, and must not start yet.
    Held,
    /// No upstream has room for the task.
    Full,
}

/// Free room of all upstreams while tasks are being placed.
#[derive(Debug)]
pub struct Placement<'a> {
    sessions: &'a collections::BTreeMap<incarnation::Incarnation, session::Session>,
    /// Upstreams without recent failures, sorted by their free cores.
    healthy: Vec<Candidate<'a>>,
    /// Upstreams that failed recently, are on trial or run a suspect task, in the same order.
    suspected: Vec<Candidate<'a>>,
    /// Slow upstreams, in the same order.
    slow: Vec<Candidate<'a>>,
    /// All running tasks, computed on first use.
    running: Option<collections::HashSet<&'a job::Task>>,
    suspects: &'a suspect::Suspects,
    placed: Vec<(job::Task, incarnation::Incarnation)>,
    policy: policy::Policy,
    now: u64,
    paces: Option<&'a forecast::Paces>,
    faster: forecast::Faster,
}

#[derive(Debug)]
struct Candidate<'a> {
    session: &'a session::Session,
    room: upstream::Room,
    /// Number of runs there.
    runs: usize,
    /// Whether one of these runs may crash the upstream.
    suspect: bool,
    /// Factor by which tasks take longer there where that counts, 1 elsewhere.
    slowness: f64,
    /// The factor of the declared durations that tasks take there, if it is consistently far
    /// slower.
    pace: Option<f64>,
}

/// Group of upstreams to search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Healthy,
    Suspected,
    Slow,
}

/// Limits on the upstreams for a job: those that its entry knows, and slow ones that finish in
/// time.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Highest directory number of the upstreams that the entry of the job knows.
    pub known_number: u64,
    /// Time left in which a task is useful, milliseconds.
    pub time_left: u64,
    /// Time left until the end of the job's objective, milliseconds, if a task may wait for a
    /// faster upstream.
    pub left: Option<u64>,
}

impl<'a> Placement<'a> {
    /// Collects the room that is free now.
    pub fn new(
        sessions: &'a collections::BTreeMap<incarnation::Incarnation, session::Session>,
        suspects: &'a suspect::Suspects,
        policy: policy::Policy,
        now: u64,
    ) -> Self {
        let open = sessions
            .values()
            .filter(|session| session.is_open(now) && !session.health.is_ejected(now));
        // A start renews the lease of the upstream.
        let usable = open.filter(|session| {
            !session.has_unwanted() && (!session.health.is_on_trial() || session.runs.is_empty())
        });
        let candidates = usable.map(|session| Candidate {
            session,
            room: session.free(now),
            runs: session.runs.len(),
            suspect: session.runs.keys().any(|task| suspects.has(task)),
            slowness: session.slowness(policy, now),
            pace: session.lasting.pace().filter(|_| policy.avoid_slow),
        });
        let (mut slow, others): (Vec<_>, Vec<_>) = candidates
            .filter(|candidate| candidate.room.cpu > 0)
            .partition(|candidate| candidate.slowness > 1.0);
        let (mut suspected, mut healthy): (Vec<_>, Vec<_>) =
            others.into_iter().partition(Candidate::is_suspected);
        healthy.sort_by_key(|candidate| candidate.room.cpu);
        suspected.sort_by_key(|candidate| candidate.room.cpu);
        slow.sort_by_key(|candidate| candidate.room.cpu);
        let placed = Vec::new();
        Self {
            sessions,
            healthy,
            suspected,
            slow,
            running: None,
            suspects,
            placed,
            policy,
            now,
            paces: None,
            faster: forecast::Faster::default(),
        }
    }

    /// Keeps tasks from upstreams that are consistently far slower than others, where these would
    /// make their jobs late.
    #[must_use]
    pub fn with_paces(self, paces: &'a forecast::Paces) -> Self {
        Self { paces: Some(paces), ..self }
    }

    /// Largest number of free cores at one upstream, thousandths.
    pub fn max_free(&self) -> u64 {
        let last = |list: &[Candidate<'_>]| list.last().map_or(0, |candidate| candidate.room.cpu);
        last(&self.healthy).max(last(&self.suspected)).max(last(&self.slow))
    }

    /// Reserves room for a task at an upstream that the entry of its job knows.
    pub fn place(&mut self, job: &job::Job, task: &job::Task, limit: Limit) -> Choice {
        if self.suspects.is_held(task, self.now) {
            return Choice::Held;
        }
        let step = &job.steps[task.step as usize];
        let bound = self.bound(job, task, limit);
        let classes = [Class::Healthy, Class::Suspected, Class::Slow].into_iter();
        let mut found = classes
            .filter_map(|class| Some((class, self.find(class, job, step, task, limit, bound)?)));
        let Some((class, at)) = found.next() else { return Choice::Full };
        if self.is_running(task) {
            return Choice::Running;
        }
        let mut candidate = self.class_mut(class).remove(at);
        candidate.room = candidate.room.minus(step.need);
        candidate.runs += 1;
        candidate.suspect |= self.suspects.has(task);
        self.placed.push((task.clone(), candidate.session.record.id.clone()));
        let class = match class {
            Class::Slow => Class::Slow,
            _ if candidate.is_suspected() => Class::Suspected,
            _ => Class::Healthy,
        };
        let list = self.class_mut(class);
        if !candidate.session.health.is_on_trial() && candidate.room.cpu > 0 {
            let at = list.partition_point(|other| other.room.cpu < candidate.room.cpu);
            list.insert(at, candidate);
        }
        Choice::Placed
    }

    /// Placed tasks, each with its upstream.
    pub fn into_placed(self) -> Vec<(job::Task, incarnation::Incarnation)> {
        self.placed
    }

    /// Position of the chosen upstream in its list: the one with the least sufficient room, or with
    /// the most room if the policy has no tight fit. A suspect task goes where the fewest tasks
    /// run.
    fn find(
        &self,
        class: Class,
        job: &job::Job,
        step: &job::Step,
        task: &job::Task,
        limit: Limit,
        bound: f64,
    ) -> Option<usize> {
        let list = match class {
            Class::Healthy => &self.healthy,
            Class::Suspected => &self.suspected,
            Class::Slow => &self.slow,
        };
        let from = list.partition_point(|candidate| candidate.room.cpu < step.need.cpu);
        let fits = |candidate: &Candidate<'_>| {
            let record = &candidate.session.record;
            let labelled = step.label.as_ref().is_none_or(|label| record.labels.contains(label));
            record.service == job.service
                && candidate.session.number <= limit.known_number
                && candidate.pace.is_none_or(|pace| pace <= bound)
                && (candidate.slowness <= 1.0
                    || step.estimate as f64 * candidate.slowness <= limit.time_left as f64)
                && step.need.fits(&candidate.room)
                && labelled
                && (step.spread == 0 || self.count(candidate.session, task) < step.spread)
        };
        if self.suspects.has(task) {
            let fitting =
                list.iter().enumerate().skip(from).filter(|(_, candidate)| fits(candidate));
            let (at, _) =
                fitting.min_by_key(|(_, candidate)| (candidate.suspect, candidate.runs))?;
            return Some(at);
        }
        let mut fitting = list[from..].iter();
        let found =
            if self.policy.tight_fit { fitting.position(fits) } else { fitting.rposition(fits) };
        Some(from + found?)
    }

    /// Largest factor of its declared duration that a task may take; infinite if it may run
    /// anywhere.
    fn bound(&mut self, job: &job::Job, task: &job::Task, limit: Limit) -> f64 {
        let bound =
            |(paces, left): (&forecast::Paces, u64)| paces.bound(job, task.step as usize, left);
        let bound = self.paces.zip(limit.left).and_then(bound);
        let step = &job.steps[task.step as usize];
        bound
            .filter(|_| self.faster.has(self.sessions, &job.service, step, self.now))
            .unwrap_or(f64::INFINITY)
    }

    /// Number of tasks of the step at an upstream, including those just placed there.
    fn count(&self, session: &session::Session, task: &job::Task) -> u32 {
        let here = |(other, id): &&(job::Task, incarnation::Incarnation)| {
            *id == session.record.id && other.job == task.job && other.step == task.step
        };
        session.count(&task.job, task.step) + self.placed.iter().filter(here).count() as u32
    }

    fn class_mut(&mut self, class: Class) -> &mut Vec<Candidate<'a>> {
        match class {
            Class::Healthy => &mut self.healthy,
            Class::Suspected => &mut self.suspected,
            Class::Slow => &mut self.slow,
        }
    }

    fn is_running(&mut self, task: &job::Task) -> bool {
        let sessions = self.sessions;
        let running = || sessions.values().flat_map(|session| session.runs.keys()).collect();
        self.running.get_or_insert_with(running).contains(task)
    }
}

impl Candidate<'_> {
    fn is_suspected(&self) -> bool {
        self.suspect || self.session.health.is_on_trial() || self.session.health.is_suspected()
    }
}
