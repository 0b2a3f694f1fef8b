//! A job that a scheduler works on: which tasks wait, run and are done.

use state::name;

use crate::{job, time};

/// How a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for room, or for an earlier step.
    Waiting,
    /// It may run on this upstream.
    Placed(name::Name),
    /// It has done its work.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub struct Item {
    /// How it stands.
    pub phase: Phase,
    /// Runs that failed.
    pub failures: u32,
    /// Number of the last run.
    pub attempt: u32,
}

/// A job under way.
#[derive(Debug)]
pub struct Active {
    /// The job.
    pub job: job::Job,
    /// Instance whose client waits.
    pub entry: name::Name,
    /// When it arrived at the first instance, on this instance's clock.
    pub arrived: u64,
    /// When the entry was last known to wait for it.
    pub awaited: u64,
    /// The entry's clock when it last said that it waits.
    pub stamp: u64,
    /// When nothing that former schedulers started can run any more, whatever is not known of them.
    pub over: u64,
    /// Digests of former schedulers' upstreams of which not all are known here.
    pub uncovered: smallvec::SmallVec<[u64; 2]>,
    /// Whether a task of it may have been started, here or elsewhere.
    pub started: bool,
    /// Its tasks, step by step.
    pub items: Vec<Vec<Item>>,
    waiting: u32,
}

impl Active {
    /// A job that has just come from `entry`.
    pub fn new(job: job::Job, entry: &name::Name, now: u64) -> Self {
        let item = Item { phase: Phase::Waiting, failures: 0, attempt: 0 };
        let items: Vec<_> =
            job.steps.iter().map(|step| vec![item.clone(); step.count as usize]).collect();
        let waiting = job.steps.iter().map(|step| step.count).sum();
        let arrived = now.saturating_sub(job.age * time::MS);
        let (entry, started, stamp) = (entry.clone(), job.resumed, job.stamp);
        let uncovered = smallvec::SmallVec::new();
        let (awaited, over) = (now, 0);
        Self { job, entry, arrived, awaited, stamp, over, uncovered, started, items, waiting }
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Cores that the waiting tasks need, thousandths: as many as those of its widest step.
    pub(crate) fn waiting_cpu(&self) -> i64 {
        if self.waiting() == 0 {
            return 0;
        }
        let step = self.job.steps.iter().map(|step| step.need.cpu).max().unwrap_or(0);
        step as i64 * i64::from(self.waiting())
    }

    /// Whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        self.items.iter().flatten().all(|item| item.phase == Phase::Done)
    }

    /// Whether a step's tasks may start.
    pub fn is_due(&self, step: usize) -> bool {
        let done = |before: &u32| {
            let items = self.items.get(*before as usize);
            items.is_none_or(|items| items.iter().all(|item| item.phase == Phase::Done))
        };
        self.job.steps[step].after.iter().all(done)
    }

    /// A task of it.
    pub fn item(&self, task: &job::Task) -> Option<&Item> {
        self.items.get(task.step as usize)?.get(task.index as usize)
    }

    /// Changes how a task stands; gives the former phase.
    pub fn set(&mut self, task: &job::Task, phase: Phase) -> Option<Phase> {
        let item = self.items.get_mut(task.step as usize)?.get_mut(task.index as usize)?;
        let former = std::mem::replace(&mut item.phase, phase);
        self.waiting -= u32::from(former == Phase::Waiting);
        self.waiting += u32::from(item.phase == Phase::Waiting);
        self.started |= matches!(item.phase, Phase::Placed(_));
        Some(former)
    }

    /// A task of it, to be changed.
    pub fn item_mut(&mut self, task: &job::Task) -> Option<&mut Item> {
        self.items.get_mut(task.step as usize)?.get_mut(task.index as usize)
    }

    /// When the objective ends.
    pub fn due(&self) -> u64 {
        self.arrived + self.job.objective * time::MS
    }

    /// When the client gives up.
    pub fn end(&self) -> u64 {
        self.arrived + self.job.patience * time::MS
    }
}
