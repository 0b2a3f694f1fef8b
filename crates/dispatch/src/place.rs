//! Which upstream gets a task.
//!
//! Tasks of a job are placed where they leave the least room over, so that wide tasks still find
//! a whole upstream: with tasks of 10 to 20 cores on upstreams of 32 and 48, two or three fit.
//! Upstreams that failed lately come later; those on trial get one task at a time. Slow ones come last, and
//! only with what is of use when it is done there.
//! A task that may bring its upstream down goes where the fewest others run, and the others go elsewhere
//! as long as there is room.
//!
//! The load this answers: more jobs than there is room for. Each answer of an upstream then finds
//! hundreds of jobs waiting, nearly all of which fit nowhere, so that finding this out has to cost
//! next to nothing: upstreams are held in the order of their room.

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
    /// Those that work slowly, in the same order.
    slow: Vec<Free<'a>>,
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
    /// By how much tasks take longer there, where that counts; 1 elsewhere.
    slowness: f64,
}

/// Which upstreams are looked through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Sound,
    Suspected,
    Slow,
}

/// When the work of a job is of use, for those that would do it slowly.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Up to which number the upstreams are known to its entry.
    pub known: u64,
    /// Time that is left for a task to be of use, milliseconds.
    pub left: u64,
}

impl<'a> Room<'a> {
    /// The room that is free now.
    pub fn new(
        sessions: &'a collections::BTreeMap<name::Name, session::Session>,
        suspects: &'a suspect::Suspects,
        policy: policy::Policy,
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
            slowness: session.slowness(policy, now),
        });
        let (mut slow, free): (Vec<_>, Vec<_>) =
            free.filter(|free| free.room.cpu > 0).partition(|free| free.slowness > 1.0);
        let (mut suspected, mut sound): (Vec<_>, Vec<_>) =
            free.into_iter().partition(Free::is_suspected);
        sound.sort_by_key(|free| free.room.cpu);
        suspected.sort_by_key(|free| free.room.cpu);
        slow.sort_by_key(|free| free.room.cpu);
        let placed = Vec::new();
        Self { sessions, sound, suspected, slow, running: None, suspects, placed, policy }
    }

    /// The most cores that are free at one upstream, thousandths.
    pub fn most(&self) -> u64 {
        let last = |list: &[Free<'_>]| list.last().map_or(0, |free| free.room.cpu);
        last(&self.sound).max(last(&self.suspected)).max(last(&self.slow))
    }

    /// Takes room for a task, at an upstream that its entry knows.
    pub fn place(&mut self, job: &job::Job, task: &job::Task, limit: Limit) -> Choice {
        let step = &job.steps[task.step as usize];
        let classes = [Class::Sound, Class::Suspected, Class::Slow].into_iter();
        let mut found =
            classes.filter_map(|class| Some((class, self.find(class, job, step, task, limit)?)));
        let Some((class, at)) = found.next() else { return Choice::Full };
        if self.is_running(task) {
            return Choice::Running;
        }
        let mut free = self.list_mut(class).remove(at);
        free.room = free.room.less(step.need);
        free.runs += 1;
        free.suspect |= self.suspects.has(task);
        self.placed.push((task.clone(), free.session.record.id.clone()));
        let class = match class {
            Class::Slow => Class::Slow,
            _ if free.is_suspected() => Class::Suspected,
            _ => Class::Sound,
        };
        let list = self.list_mut(class);
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
        class: Class,
        job: &job::Job,
        step: &job::Step,
        task: &job::Task,
        limit: Limit,
    ) -> Option<usize> {
        let list = match class {
            Class::Sound => &self.sound,
            Class::Suspected => &self.suspected,
            Class::Slow => &self.slow,
        };
        let from = list.partition_point(|free| free.room.cpu < step.need.cpu);
        let fits = |free: &Free<'_>| {
            let record = &free.session.record;
            let labelled = step.label.as_ref().is_none_or(|label| record.labels.contains(label));
            record.service == job.service
                && free.session.number <= limit.known
                && (free.slowness <= 1.0
                    || step.estimate as f64 * free.slowness <= limit.left as f64)
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

    fn list_mut(&mut self, class: Class) -> &mut Vec<Free<'a>> {
        match class {
            Class::Sound => &mut self.sound,
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

impl Free<'_> {
    fn is_suspected(&self) -> bool {
        self.suspect || self.session.health.is_on_trial() || self.session.health.is_suspected()
    }
}
