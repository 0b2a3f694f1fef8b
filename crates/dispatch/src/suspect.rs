//! Which tasks bring down the upstreams that start them.
//!
//! The load this answers: a task that ends the life of each upstream where it starts, and of all that
//! runs beside it. Nothing tells which of the tasks at a lost upstream was at fault, so all of them are
//! suspects until they are done. Suspects are kept apart and run where the least work is lost
//! ([`crate::place`]), so that a second loss names the one at fault; it is given up then.
//!
//! An upstream that comes back as another life has proved a loss. One that is silent until its leases
//! have run out may only be cut off: that counts for less, and for nothing once it answers again.

use std::collections;

use state::name;

use crate::{job, time};

/// Weight of a lost life that is proved.
const PROVED: u32 = 3;
/// Weight of an upstream that fell silent.
const SILENT: u32 = 2;
/// A task with this weight is given up: two proved losses, or three of which any is not.
const LIMIT: u32 = 6;
/// A task is remembered this long after the last loss, microseconds: clients that lost their entry
/// come back within seconds.
const KEPT: u64 = 30_000 * time::MS;
/// So many tasks are remembered at most; a thousand upstreams lost at once have two to three each.
const MOST: usize = 4_096;

/// The end of an upstream's life while tasks may have been running there.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loss {
    /// The life of an upstream that is over.
    pub upstream: name::Name,
    /// Whether another life has taken its place; else it is only silent.
    pub proved: bool,
    /// The tasks that may have been running there.
    pub tasks: Vec<job::Task>,
}

/// What a scheduler has found out about tasks and lost upstreams.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Upstreams that were lost with tasks that may have been running there.
    pub losses: Vec<Loss>,
    /// Upstreams that were silent and have answered again.
    pub back: Vec<name::Name>,
    /// Tasks that have done their work.
    pub done: Vec<job::Task>,
}

/// Tasks that ran at upstreams that were lost: one table for each instance, whatever it schedules.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    tasks: collections::HashMap<job::Task, Record>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Upstreams that were lost under it, and whether that is proved.
    losses: smallvec::SmallVec<[(name::Name, bool); 2]>,
    last: u64,
    given_up: bool,
}

impl Record {
    fn weight(&self) -> u32 {
        self.losses.iter().map(|(_, proved)| if *proved { PROVED } else { SILENT }).sum()
    }
}

impl Suspects {
    /// Takes note of a loss, once for each upstream; gives the tasks that are to be given up for it.
    ///
    /// Where several have the same weight and two losses behind them, they shared both: a third start,
    /// apart from one another, tells which it was.
    pub fn add(&mut self, loss: &Loss, now: u64) -> Vec<job::Task> {
        for task in &loss.tasks {
            if self.tasks.len() >= MOST && !self.tasks.contains_key(task) {
                continue;
            }
            let record = self.tasks.entry(task.clone()).or_default();
            record.last = now;
            match record.losses.iter_mut().find(|(id, _)| *id == loss.upstream) {
                Some((_, proved)) => *proved |= loss.proved,
                None => record.losses.push((loss.upstream.clone(), loss.proved)),
            }
        }
        let weight = |task: &job::Task| self.tasks.get(task).map_or(0, Record::weight);
        let over: Vec<_> =
            loss.tasks.iter().filter(|task| weight(task) >= LIMIT).cloned().collect();
        let shared = over.len() > 1;
        let sure: Vec<_> =
            over.into_iter().filter(|task| !shared || weight(task) > LIMIT).collect();
        for task in &sure {
            if let Some(record) = self.tasks.get_mut(task) {
                record.given_up = true;
            }
        }
        sure
    }

    /// Takes what a scheduler has found out but for the losses, of which others are told, too.
    pub fn learn(&mut self, findings: &Findings) {
        for task in &findings.done {
            self.absolve(task);
        }
        for upstream in &findings.back {
            self.clear(upstream);
        }
    }

    /// An upstream that was silent has answered: nothing brought it down.
    pub fn clear(&mut self, upstream: &name::Name) {
        for record in self.tasks.values_mut() {
            record.losses.retain(|(id, _)| id != upstream);
        }
        self.tasks.retain(|_, record| !record.losses.is_empty());
    }

    /// A task has done its work.
    pub fn absolve(&mut self, task: &job::Task) {
        self.tasks.remove(task);
    }

    /// Forgets what is long past.
    pub fn expire(&mut self, now: u64) {
        self.tasks.retain(|_, record| now < record.last + KEPT);
    }

    /// Whether a task ran at an upstream that was lost.
    pub fn has(&self, task: &job::Task) -> bool {
        self.tasks.contains_key(task)
    }

    /// Upstreams that were lost under tasks of a job.
    pub fn losses_of(&self, job: &name::Name) -> Vec<Loss> {
        let of_job = self.tasks.iter().filter(|(task, _)| task.job == *job);
        let losses = of_job.flat_map(|(task, record)| {
            record.losses.iter().map(|(upstream, proved)| Loss {
                upstream: upstream.clone(),
                proved: *proved,
                tasks: vec![task.clone()],
            })
        });
        losses.collect()
    }

    /// Whether a task of a job was given up.
    pub fn is_given_up(&self, job: &name::Name) -> bool {
        self.tasks.iter().any(|(task, record)| record.given_up && task.job == *job)
    }
}
