//! Active job of a scheduler: which of its tasks wait, run or are done.

use state::name;

use crate::{job, message, share, time, timing};

/// State of a task at one scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The task waits for room, or for an earlier step.
    Waiting,
    /// The task may be running on this upstream.
    Placed(name::Name),
    /// The task is done.
    Done,
    /// The task is not with this scheduler.
    Away,
}

/// Selects the waiting tasks that the scheduler gives back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// Waiting tasks that were never started.
    Unstarted,
    /// All waiting tasks.
    Waiting,
}

/// A task and its runs.
#[derive(Clone, Debug)]
pub struct Item {
    /// State of the task.
    pub phase: Phase,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of the last run.
    pub attempt: u32,
}

/// A job that a scheduler works on.
#[derive(Debug)]
pub struct Active {
    /// The job.
    pub job: job::Job,
    /// Instance whose client waits for the answer.
    pub entry: name::Name,
    /// Arrival at the first instance, on this instance's clock.
    pub arrived: u64,
    /// Last time at which the entry was known to wait for the job.
    pub awaited: u64,
    /// The entry's clock when it last reported that it waits for the job.
    pub stamp: u64,
    /// Time from which no run that former schedulers started can be left, even an unknown one.
    pub over: u64,
    /// Digests of former schedulers' sets of upstreams that are not fully known here.
    pub uncovered: smallvec::SmallVec<[u64; 2]>,
    /// Whether a task of the job may have been started, here or elsewhere.
    pub started: bool,
    /// Number of the last hand-over of the job.
    pub number: u64,
    /// Tasks that were part of that hand-over.
    pub share: share::Share,
    /// Whether the scheduler gives back tasks that cannot start at once.
    pub offer: bool,
    /// Breakdown of the time of the task that completed last.
    pub last: Option<timing::Breakdown>,
    /// Tasks of the job by step.
    pub items: Vec<Vec<Item>>,
    waiting: u32,
}

impl Active {
    /// Creates the state of a job that has just arrived from `entry`, whose clock stamped it.
    pub fn new(job: job::Job, entry: &name::Name, handover: &message::Handover, now: u64) -> Self {
        let item = Item { phase: Phase::Away, failures: 0, attempt: 0 };
        let items: Vec<_> =
            job.steps.iter().map(|step| vec![item.clone(); step.count as usize]).collect();
        let arrived = now.saturating_sub(job.age * time::MS);
        let stamp = job.stamp;
        let mut active = Self {
            job,
            entry: entry.clone(),
            arrived,
            awaited: now,
            stamp,
            over: 0,
            uncovered: smallvec::SmallVec::new(),
            started: false,
            number: 0,
            share: share::Share::default(),
            offer: false,
            last: None,
            items,
            waiting: 0,
        };
        active.take(handover);
        active
    }

    /// Adds the tasks of a hand-over; tasks that this scheduler has already keep their state.
    pub fn take(&mut self, handover: &message::Handover) {
        self.number = handover.number;
        self.share = handover.share.clone();
        self.offer = handover.offer;
        self.started |= handover.begun || self.job.resumed;
        for items in &mut self.items {
            for (item, index) in items.iter_mut().zip(0..) {
                if item.phase == Phase::Away && self.share.has(index) {
                    item.phase = Phase::Waiting;
                    self.waiting += 1;
                }
            }
        }
    }

    /// Gives back waiting tasks and returns their numbers.
    pub fn give_back(&mut self, which: Return) -> share::Tasks {
        let mut tasks = share::Tasks::new();
        for (item, index) in self.items.iter_mut().flatten().zip(0..) {
            let selected = which == Return::Waiting || item.attempt == 0;
            if item.phase == Phase::Waiting && selected {
                item.phase = Phase::Away;
                tasks.push(index);
            }
        }
        self.waiting -= tasks.len() as u32;
        tasks
    }

    /// Whether the waiting tasks may be given back: this holds for a job of one step, and for a job
    /// of several steps of which no task has started.
    pub fn is_movable(&self) -> bool {
        let is_unstarted = |item: &Item| item.phase == Phase::Waiting && item.attempt == 0;
        self.job.is_divisible() || self.items.iter().flatten().all(is_unstarted)
    }

    /// Whether a task of the job may be running.
    pub fn is_running(&self) -> bool {
        self.items.iter().flatten().any(|item| matches!(item.phase, Phase::Placed(_)))
    }

    /// Whether one of these tasks, numbered through all steps, was started.
    pub fn has_run(&self, tasks: &[u32]) -> bool {
        let items = self.items.iter().flatten().zip(0..);
        items.into_iter().any(|(item, index)| item.attempt > 0 && tasks.contains(&index))
    }

    /// Whether a run that another scheduler started may still be in progress, at an upstream that
    /// has not answered yet (`unread`) or that is not known here.
    pub fn is_blocked(&self, unread: bool, now: u64) -> bool {
        let unsure = unread || !self.uncovered.is_empty();
        self.job.resumed && unsure && now < self.over
    }

    /// Marks waiting tasks that were completed earlier as done.
    pub fn set_done(&mut self, share: &share::Share) {
        for (item, index) in self.items.iter_mut().flatten().zip(0..) {
            if item.phase == Phase::Waiting && share.has(index) {
                item.phase = Phase::Done;
                self.waiting -= 1;
            }
        }
    }

    /// Tasks of the last hand-over that the scheduler has given back since.
    pub fn given_back(&self) -> share::Tasks {
        let items = self.items.iter().flatten().zip(0..);
        let away =
            items.filter(|(item, index)| item.phase == Phase::Away && self.share.has(*index));
        away.map(|(_, index)| index).collect()
    }

    /// Tasks that this scheduler has.
    pub fn held(&self) -> share::Share {
        let away = self.given_back();
        let mut held = self.share.clone();
        if !away.is_empty() {
            held.remove(&away, self.job.count());
        }
        held
    }

    /// Number of waiting tasks.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Cores that the waiting tasks need, thousandths; each task counts as one of the widest step.
    pub(crate) fn waiting_cpu(&self) -> i64 {
        if self.waiting() == 0 {
            return 0;
        }
        self.job.widest() as i64 * i64::from(self.waiting())
    }

    /// Whether all tasks of this scheduler are done.
    pub fn is_complete(&self) -> bool {
        let is_over = |item: &Item| matches!(item.phase, Phase::Done | Phase::Away);
        self.items.iter().flatten().all(is_over)
    }

    /// Whether the tasks of a step may start: all steps before it are done.
    pub fn is_due(&self, step: usize) -> bool {
        let done = |before: &u32| {
            let items = self.items.get(*before as usize);
            items.is_none_or(|items| items.iter().all(|item| item.phase == Phase::Done))
        };
        self.job.steps[step].after.iter().all(done)
    }

    /// Whether a task is not with this scheduler.
    pub fn is_away(&self, task: &job::Task) -> bool {
        self.item(task).is_some_and(|item| item.phase == Phase::Away)
    }

    /// Looks up a task.
    pub fn item(&self, task: &job::Task) -> Option<&Item> {
        self.items.get(task.step as usize)?.get(task.index as usize)
    }

    /// Changes the phase of a task and returns the former one.
    pub fn set(&mut self, task: &job::Task, phase: Phase) -> Option<Phase> {
        let item = self.items.get_mut(task.step as usize)?.get_mut(task.index as usize)?;
        let former = std::mem::replace(&mut item.phase, phase);
        self.waiting -= u32::from(former == Phase::Waiting);
        self.waiting += u32::from(item.phase == Phase::Waiting);
        self.started |= matches!(item.phase, Phase::Placed(_));
        Some(former)
    }

    /// Looks up a task for changes.
    pub fn item_mut(&mut self, task: &job::Task) -> Option<&mut Item> {
        self.items.get_mut(task.step as usize)?.get_mut(task.index as usize)
    }

    /// End of the objective.
    pub fn due(&self) -> u64 {
        self.arrived + self.job.objective * time::MS
    }

    /// Time at which the client gives up.
    pub fn end(&self) -> u64 {
        self.arrived + self.job.patience * time::MS
    }
}
