//! A job that a scheduler works on: which tasks wait, run and are done.

use state::name;

use crate::{job, message, share, time, timing};

/// How a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for room, or for an earlier step.
    Waiting,
    /// It may run on this upstream.
    Placed(name::Name),
    /// It has done its work.
    Done,
    /// Another scheduler has it.
    Away,
}

/// Which of the tasks that wait are given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// Those that were never started.
    Unstarted,
    /// All of them.
    Waiting,
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
    /// Number of its last hand-over.
    pub number: u64,
    /// The tasks that were handed over with it.
    pub share: share::Share,
    /// Whether what cannot start at once is given back.
    pub offer: bool,
    /// Where the time of the task went that did its work last.
    pub last: Option<timing::Breakdown>,
    /// Its tasks, step by step.
    pub items: Vec<Vec<Item>>,
    waiting: u32,
}

impl Active {
    /// A job that has just come from `entry`, whose clock it is stamped by.
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

    /// Takes the tasks that are handed over; those that are here already go on as they do.
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

    /// Gives back tasks that wait; gives their numbers.
    pub fn give_back(&mut self, which: Return) -> share::Tasks {
        let mut tasks = share::Tasks::new();
        for (item, index) in self.items.iter_mut().flatten().zip(0..) {
            let is_meant = which == Return::Waiting || item.attempt == 0;
            if item.phase == Phase::Waiting && is_meant {
                item.phase = Phase::Away;
                tasks.push(index);
            }
        }
        self.waiting -= tasks.len() as u32;
        tasks
    }

    /// Whether what waits may be given back: the tasks of one step, or a job of several that has not
    /// begun.
    pub fn is_movable(&self) -> bool {
        let is_unstarted = |item: &Item| item.phase == Phase::Waiting && item.attempt == 0;
        self.job.is_divisible() || self.items.iter().flatten().all(is_unstarted)
    }

    /// Whether one of its tasks may be running.
    pub fn is_running(&self) -> bool {
        self.items.iter().flatten().any(|item| matches!(item.phase, Phase::Placed(_)))
    }

    /// Whether one of these tasks of its first step was started.
    pub fn has_run(&self, tasks: &[u32]) -> bool {
        let items = self.items.iter().flatten().zip(0..);
        items.into_iter().any(|(item, index)| item.attempt > 0 && tasks.contains(&index))
    }

    /// Whether a run that another scheduler started may go on, at an upstream that has not answered
    /// yet (`unread`) or that is not known here.
    pub fn is_blocked(&self, unread: bool, now: u64) -> bool {
        let unsure = unread || !self.uncovered.is_empty();
        self.job.resumed && unsure && now < self.over
    }

    /// Notes tasks that have done their work before.
    pub fn set_done(&mut self, share: &share::Share) {
        for (item, index) in self.items.iter_mut().flatten().zip(0..) {
            if item.phase == Phase::Waiting && share.has(index) {
                item.phase = Phase::Done;
                self.waiting -= 1;
            }
        }
    }

    /// Tasks of the last hand-over that were given back since.
    pub fn given_back(&self) -> share::Tasks {
        let items = self.items.iter().flatten().zip(0..);
        let away =
            items.filter(|(item, index)| item.phase == Phase::Away && self.share.has(*index));
        away.map(|(_, index)| index).collect()
    }

    /// The tasks that it has.
    pub fn held(&self) -> share::Share {
        let away = self.given_back();
        let mut held = self.share.clone();
        if !away.is_empty() {
            held.remove(&away, self.job.count());
        }
        held
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
        self.job.widest() as i64 * i64::from(self.waiting())
    }

    /// Whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        let is_over = |item: &Item| matches!(item.phase, Phase::Done | Phase::Away);
        self.items.iter().flatten().all(is_over)
    }

    /// Whether a step's tasks may start.
    pub fn is_due(&self, step: usize) -> bool {
        let done = |before: &u32| {
            let items = self.items.get(*before as usize);
            items.is_none_or(|items| items.iter().all(|item| item.phase == Phase::Done))
        };
        self.job.steps[step].after.iter().all(done)
    }

    /// Whether another scheduler has a task of it.
    pub fn is_away(&self, task: &job::Task) -> bool {
        self.item(task).is_some_and(|item| item.phase == Phase::Away)
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
