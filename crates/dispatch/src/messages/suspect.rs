//! Detects tasks that crash the upstreams on which they start.
//!
//! This handles a task that crashes every upstream incarnation on which it starts, together with
//! all the runs beside it. Nothing shows which of the tasks on a lost upstream was at fault, so all
//! of them are suspects until they complete. The scheduler keeps suspects apart from one another
//! and runs them where the least work would be lost ([`crate::decisions::place`]), so that a second
//! loss identifies the task at fault; the scheduler then gives it up.
//!
//! An upstream that returns as a new incarnation proves the loss. One that stays silent until its
//! leases have expired may only be unreachable: that never gives a task up, and no longer counts
//! once the upstream answers again. A task whose upstreams keep falling silent waits before each
//! further start instead, so that one that crashes upstreams for good takes few of them until its
//! client gives up.

use std::collections;

use state::name;

use crate::messages::{incarnation, job, time};

/// Number of proved losses after which a task is given up.
const PROVED_LIMIT: usize = 2;
/// Number of losses, proved or not, after which a task waits if one of them is not proved.
const HOLD_LIMIT: usize = 3;
/// How long a task waits after that many losses, microseconds: an upstream that has crashed has
/// mostly returned by then, which proves the loss. Each further loss doubles it.
const HOLD_TIME: u64 = 5_000 * time::MS;
/// How often the wait doubles at most.
const MAX_DOUBLINGS: usize = 2;
/// How long a task is remembered after the last loss, microseconds: clients that lost their entry
/// return within seconds.
const RETENTION: u64 = 30_000 * time::MS;
/// Largest number of remembered tasks; a thousand upstreams lost at once have two to three each.
const MAX_TASKS: usize = 4_096;

/// The end of an upstream incarnation on which tasks may have been running.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loss {
    /// The upstream incarnation that has ended.
    pub upstream: incarnation::Incarnation,
    /// Whether a new incarnation has taken its place; otherwise the upstream is only silent.
    pub proved: bool,
    /// The tasks that may have been running there.
    pub tasks: Vec<job::Task>,
}

/// Observations of a scheduler about tasks and lost upstreams.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Upstreams that were lost while tasks may have been running there.
    pub losses: Vec<Loss>,
    /// Upstreams that were silent and have answered again.
    pub back: Vec<incarnation::Incarnation>,
    /// Tasks that have completed.
    pub done: Vec<job::Task>,
}

/// Tasks that ran on upstreams that were lost. Each instance has one table for all the zones that
/// it schedules.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    tasks: collections::HashMap<job::Task, History>,
}

#[derive(Clone, Debug, Default)]
struct History {
    /// Upstreams that were lost while they ran the task, and whether the loss is proved.
    losses: smallvec::SmallVec<[(incarnation::Incarnation, bool); 2]>,
    last_loss: u64,
    given_up: bool,
}

impl History {
    fn proved(&self) -> usize {
        self.losses.iter().filter(|(_, proved)| *proved).count()
    }

    /// When the task may start again, microseconds.
    fn held_until(&self) -> u64 {
        let count = self.losses.len();
        if count < HOLD_LIMIT || self.proved() == count {
            return 0;
        }
        self.last_loss + (HOLD_TIME << (count - HOLD_LIMIT).min(MAX_DOUBLINGS))
    }
}

impl Suspects {
    /// Records a loss, once for each upstream, and returns the tasks to give up because of it.
    ///
    /// Several tasks that reach the limit with the same two losses shared both: a third start,
    /// apart from one another, shows which one was at fault.
    pub fn add(&mut self, loss: &Loss, now: u64) -> Vec<job::Task> {
        for task in &loss.tasks {
            if self.tasks.len() >= MAX_TASKS && !self.tasks.contains_key(task) {
                continue;
            }
            let history = self.tasks.entry(task.clone()).or_default();
            history.last_loss = now;
            match history.losses.iter_mut().find(|(id, _)| *id == loss.upstream) {
                Some((_, proved)) => *proved |= loss.proved,
                None => history.losses.push((loss.upstream.clone(), loss.proved)),
            }
        }
        let proved = |task: &job::Task| self.tasks.get(task).map_or(0, History::proved);
        let over: Vec<_> =
            loss.tasks.iter().filter(|task| proved(task) >= PROVED_LIMIT).cloned().collect();
        let shared = over.len() > 1;
        let sure: Vec<_> =
            over.into_iter().filter(|task| !shared || proved(task) > PROVED_LIMIT).collect();
        for task in &sure {
            if let Some(history) = self.tasks.get_mut(task) {
                history.given_up = true;
            }
        }
        sure
    }

    /// Applies the findings of a scheduler except for the losses, which are also sent to other
    /// instances.
    pub fn apply_findings(&mut self, findings: &Findings) {
        for task in &findings.done {
            self.remove_task(task);
        }
        for upstream in &findings.back {
            self.clear_upstream(upstream);
        }
    }

    /// Removes the losses of an upstream that was silent and has answered: no task crashed it.
    pub fn clear_upstream(&mut self, upstream: &incarnation::Incarnation) {
        for history in self.tasks.values_mut() {
            history.losses.retain(|(id, _)| id != upstream);
        }
        self.tasks.retain(|_, history| !history.losses.is_empty());
    }

    /// Removes a task that has completed.
    pub fn remove_task(&mut self, task: &job::Task) {
        self.tasks.remove(task);
    }

    /// Removes tasks whose last loss is too long ago.
    pub fn expire(&mut self, now: u64) {
        self.tasks.retain(|_, history| now < history.last_loss + RETENTION);
    }

    /// Whether a task ran on an upstream that was lost.
    pub fn has(&self, task: &job::Task) -> bool {
        self.tasks.contains_key(task)
    }

    /// Whether a task must not start yet, as several upstreams fell silent while they ran it.
    pub fn is_held(&self, task: &job::Task, now: u64) -> bool {
        self.tasks.get(task).is_some_and(|history| now < history.held_until())
    }

    /// The upstreams that were lost while they ran tasks of a job.
    pub fn losses_of(&self, job: &name::Name) -> Vec<Loss> {
        let of_job = self.tasks.iter().filter(|(task, _)| task.job == *job);
        let losses = of_job.flat_map(|(task, history)| {
            history.losses.iter().map(|(upstream, proved)| Loss {
                upstream: upstream.clone(),
                proved: *proved,
                tasks: vec![task.clone()],
            })
        });
        losses.collect()
    }

    /// The loss of an upstream that a new incarnation has replaced since it fell silent, perhaps
    /// under a former scheduler.
    pub fn proved_loss(&self, upstream: &incarnation::Incarnation) -> Loss {
        let ran =
            |history: &History| history.losses.iter().any(|(id, proved)| id == upstream && !proved);
        let tasks = self.tasks.iter().filter(|(_, history)| ran(history));
        let tasks = tasks.map(|(task, _)| task.clone()).collect();
        Loss { upstream: upstream.clone(), proved: true, tasks }
    }

    /// Whether a task of a job was given up.
    pub fn is_given_up(&self, job: &name::Name) -> bool {
        self.tasks.iter().any(|(task, history)| history.given_up && task.job == *job)
    }
}
