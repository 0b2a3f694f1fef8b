//! Which upstream gets a task.
//!
//! Tasks of a job are placed where they leave the least room over, so that wide tasks still find
//! a whole upstream: with tasks of 10 to 20 cores on upstreams of 32 and 48, two or three fit.
//! Upstreams that failed lately come last; those on trial get one task at a time.
//! A task that may bring its upstream down goes where the fewest others run, and the others go elsewhere
//! as long as there is room.
//!
//! The load this answers: more jobs than there is room for. Each answer of an upstream then finds
//! hundreds of jobs waiting, nearly all of which fit nowhere, so that finding this out has to cost
//! next to nothing: with three times the jobs that fit at 117 upstreams, decisions took 340% of a
//! core while every upstream was looked at for every task, and take 8% with upstreams in the order
//! of their room (benchmark `scheduler`).

use std::collections;

use state::{name, policy};

use crate::{job, session, suspect, upstream};

/// What came of the attempt to place a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// An upstream was found.
    Placed,
    /// It may still be running somewhere.
    Running,
    /// No upstream has room for it.
    Full,
}

/// Free room of all upstreams, as tasks are being placed.
#[derive(Debug)]
pub struct Room<'a> {
    sessions: &'a collections::BTreeMap<name::Name, session::Session>,
    /// Upstreams without a fault lately, in the order of their free cores.
    sound: Vec<Free<'a>>,
    /// Those that failed lately, are on trial or run a suspect, in the same order.
    suspected: Vec<Free<'a>>,
    /// All tasks that run; worked out when it is first asked for.
    running: Option<collections::HashSet<&'a job::Task>>,
    suspects: &'a suspect::Suspects,
    placed: Vec<(job::Task, name::Name)>,
    policy: policy::Policy,
}

#[derive(Debug)]
struct Free<'a> {
    session: &'a session::Session,
    room: upstream::Room,
    /// Tasks that run there.
    runs: usize,
    /// Whether one of them may bring it down.
    suspect: bool,
}

impl<'a> Room<'a> {
    /// The room that is free now.
    pub fn new(
        sessions: &'a collections::BTreeMap<name::Name, session::Session>,
        suspects: &'a suspect::Suspects,
        now: u64,
    ) -> Self {
        let open = sessions
            .values()
            .filter(|session| session.is_open(now) && !session.health.is_ejected(now));
        let usable =
            open.filter(|session| !session.health.is_on_trial() || session.runs.is_empty());
        let free = usable.map(|session| Free {
            session,
            room: session.free(now),
            runs: session.runs.len(),
            suspect: session.runs.keys().any(|task| suspects.has(task)),
        });
        let (mut suspected, mut sound): (Vec<_>, Vec<_>) =
            free.filter(|free| free.room.cpu > 0).partition(Free::is_suspected);
        sound.sort_by_key(|free| free.room.cpu);
        suspected.sort_by_key(|free| free.room.cpu);
        let policy = policy::Policy::default();
        let placed = Vec::new();
        Self { sessions, sound, suspected, running: None, suspects, placed, policy }
    }

    /// Places tasks by `policy`.
    #[must_use]
    pub fn with_policy(self, policy: policy::Policy) -> Self {
        Self { policy, ..self }
    }

    /// The most cores that are free at one upstream, thousandths.
    pub fn most(&self) -> u64 {
        let last = |list: &[Free<'_>]| list.last().map_or(0, |free| free.room.cpu);
        last(&self.sound).max(last(&self.suspected))
    }

    /// Takes room for a task, at an upstream whose number is `known` at most.
    pub fn place(&mut self, job: &job::Job, task: &job::Task, known: u64) -> Choice {
        let step = &job.steps[task.step as usize];
        let (suspected, at) = match self.find(false, job, step, task, known) {
            Some(at) => (false, at),
            None => match self.find(true, job, step, task, known) {
                Some(at) => (true, at),
                None => return Choice::Full,
            },
        };
        if self.is_running(task) {
            return Choice::Running;
        }
        let list = if suspected { &mut self.suspected } else { &mut self.sound };
        let mut free = list.remove(at);
        free.room = free.room.less(step.need);
        free.runs += 1;
        free.suspect |= self.suspects.has(task);
        self.placed.push((task.clone(), free.session.record.id.clone()));
        let list = if free.is_suspected() { &mut self.suspected } else { &mut self.sound };
        if !free.session.health.is_on_trial() && free.room.cpu > 0 {
            let at = list.partition_point(|other| other.room.cpu < free.room.cpu);
            list.insert(at, free);
        }
        Choice::Placed
    }

    /// The tasks that were placed, and where.
    pub fn into_placed(self) -> Vec<(job::Task, name::Name)> {
        self.placed
    }

    /// Position of the upstream with the least room that is enough.
    fn find(
        &self,
        suspected: bool,
        job: &job::Job,
        step: &job::Step,
        task: &job::Task,
        known: u64,
    ) -> Option<usize> {
        let list = if suspected { &self.suspected } else { &self.sound };
        let from = list.partition_point(|free| free.room.cpu < step.need.cpu);
        let fits = |free: &Free<'_>| {
            let record = &free.session.record;
            let labelled = step.label.as_ref().is_none_or(|label| record.labels.contains(label));
            record.service == job.service
                && free.session.number <= known
                && step.need.fits(&free.room)
                && labelled
                && (step.spread == 0 || self.count(free.session, task) < step.spread)
        };
        if self.suspects.has(task) {
            let able = list.iter().enumerate().skip(from).filter(|(_, free)| fits(free));
            let (at, _) = able.min_by_key(|(_, free)| (free.suspect, free.runs))?;
            return Some(at);
        }
        let mut able = list[from..].iter();
        let found = if self.policy.tight_fit { able.position(fits) } else { able.rposition(fits) };
        Some(from + found?)
    }

    /// Tasks of the step at an upstream, those that were just placed there included.
    fn count(&self, session: &session::Session, task: &job::Task) -> u32 {
        let here = |(other, id): &&(job::Task, name::Name)| {
            *id == session.record.id && other.job == task.job && other.step == task.step
        };
        session.count(&task.job, task.step) + self.placed.iter().filter(here).count() as u32
    }

    fn is_running(&mut self, task: &job::Task) -> bool {
        let sessions = self.sessions;
        let running = || sessions.values().flat_map(|session| session.runs.keys()).collect();
        self.running.get_or_insert_with(running).contains(task)
    }
}

impl Free<'_> {
    fn is_suspected(&self) -> bool {
        self.suspect || self.session.health.is_on_trial() || self.session.health.is_suspected()
    }
}
