//! Active job of a scheduler: which of its tasks wait, run or are done.

use state::name;

use crate::{
    messages::{incarnation, job, message, share, time, timing},
    tables::lasting,
};

/// State of a task at one scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The task waits for room, or for an earlier step.
    Waiting,
    /// The task may be running on this upstream.
    Placed(incarnation::Incarnation),
    /// The task is done.
    Done,
    /// The task is not with this scheduler.
    Away,
}

/// Selects the waiting tasks that the scheduler returns to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnScope {
    /// Waiting tasks that were never started.
    Unstarted,
    /// All waiting tasks.
    Waiting,
}

/// A task and its runs.
#[derive(Clone, Debug)]
pub struct TaskState {
    /// State of the task.
    pub phase: Phase,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of the last run.
    pub attempt: u32,
}

/// A job that a scheduler works on.
#[derive(Debug)]
pub struct ActiveJob {
    /// The job.
    pub job: job::Job,
    /// Instance whose client waits for the answer.
    pub entry: name::Name,
    /// Arrival at the first instance, on this instance's clock.
    pub arrived: u64,
    /// Last time at which the entry was known to wait for the job.
    pub last_awaited: u64,
    /// The entry's clock when it last reported that it waits for the job.
    pub entry_clock: u64,
    /// Time from which no run that former schedulers started can be left, even an unknown one.
    pub runs_end: u64,
    /// Upstreams of former schedulers that are not all known and scheduled here.
    pub uncovered: smallvec::SmallVec<[message::FormerSet; 2]>,
    /// Whether a task of the job may have been started, here or elsewhere.
    pub started: bool,
    /// Highest number that earlier schedulers may have used for runs of its tasks.
    pub used_attempts: u32,
    /// Number of the last handover of the job.
    pub number: u64,
    /// Tasks that were part of that handover.
    pub share: share::Share,
    /// Whether the scheduler returns tasks that cannot start at once.
    pub offer: bool,
    /// Breakdown of the time of the task that completed last.
    pub last_breakdown: Option<timing::Breakdown>,
    /// Completed runs, until the other tasks of their steps have ended.
    pub(crate) samples: Vec<lasting::Sample>,
    /// Tasks of the job by step.
    pub tasks: Vec<Vec<TaskState>>,
    waiting: u32,
}

impl ActiveJob {
    /// Creates the state of a job that has just arrived from `entry`, whose clock stamped it.
    pub fn new(job: job::Job, entry: &name::Name, handover: &message::Handover, now: u64) -> Self {
        let task = TaskState { phase: Phase::Away, failures: 0, attempt: 0 };
        let tasks: Vec<_> =
            job.steps.iter().map(|step| vec![task.clone(); step.count as usize]).collect();
        let arrived = now.saturating_sub(job.age * time::MS);
        let entry_clock = job.entry_clock;
        let mut active = Self {
            job,
            entry: entry.clone(),
            arrived,
            last_awaited: now,
            entry_clock,
            runs_end: 0,
            uncovered: smallvec::SmallVec::new(),
            started: false,
            used_attempts: 0,
            number: 0,
            share: share::Share::default(),
            offer: false,
            last_breakdown: None,
            samples: Vec::new(),
            tasks,
            waiting: 0,
        };
        active.add_handover(handover);
        active
    }

    /// Adds the tasks of a handover; tasks that this scheduler has already keep their state.
    pub fn add_handover(&mut self, handover: &message::Handover) {
        self.number = handover.number;
        self.share = handover.share.clone();
        self.offer = handover.offer;
        self.started |= handover.maybe_started || self.job.resumed;
        self.used_attempts = self.used_attempts.max(handover.used_attempts);
        for tasks in &mut self.tasks {
            for (task, index) in tasks.iter_mut().zip(0..) {
                if task.phase == Phase::Away && self.share.has(index) {
                    task.phase = Phase::Waiting;
                    self.waiting += 1;
                }
            }
        }
    }

    /// Marks the selected waiting tasks as away and lists their numbers.
    pub fn mark_returned(&mut self, scope: ReturnScope) -> share::Tasks {
        let mut tasks = share::Tasks::new();
        for (state, index) in self.tasks.iter_mut().flatten().zip(0..) {
            let selected = scope == ReturnScope::Waiting || state.attempt == 0;
            if state.phase == Phase::Waiting && selected {
                state.phase = Phase::Away;
                tasks.push(index);
            }
        }
        self.waiting -= tasks.len() as u32;
        tasks
    }

    /// Whether the waiting tasks may be returned: this holds for a job of one step, and for a job
    /// of several steps of which no task has started.
    pub fn is_movable(&self) -> bool {
        let is_unstarted = |task: &TaskState| task.phase == Phase::Waiting && task.attempt == 0;
        self.job.is_divisible() || self.tasks.iter().flatten().all(is_unstarted)
    }

    /// Whether a task of the job may be running.
    pub fn is_running(&self) -> bool {
        self.tasks.iter().flatten().any(|task| matches!(task.phase, Phase::Placed(_)))
    }

    /// Whether one of these tasks, numbered through all steps, was started.
    pub fn has_run(&self, tasks: &[u32]) -> bool {
        let states = self.tasks.iter().flatten().zip(0..);
        states.into_iter().any(|(state, index)| state.attempt > 0 && tasks.contains(&index))
    }

    /// Whether a run that another scheduler started may still be in progress, at an upstream that
    /// has not answered yet (`has_unowned`) or that is not known here.
    pub fn is_blocked(&self, has_unowned: bool, now: u64) -> bool {
        let unsure = has_unowned || !self.uncovered.is_empty();
        self.job.resumed && unsure && now < self.runs_end
    }

    /// Marks waiting tasks that were completed earlier as done.
    pub fn set_done(&mut self, share: &share::Share) {
        for (state, index) in self.tasks.iter_mut().flatten().zip(0..) {
            if state.phase == Phase::Waiting && share.has(index) {
                state.phase = Phase::Done;
                self.waiting -= 1;
            }
        }
    }

    /// Tasks of the last handover that the scheduler has returned since.
    pub fn returned(&self) -> share::Tasks {
        let states = self.tasks.iter().flatten().zip(0..);
        let away =
            states.filter(|(state, index)| state.phase == Phase::Away && self.share.has(*index));
        away.map(|(_, index)| index).collect()
    }

    /// Tasks that this scheduler has.
    pub fn held(&self) -> share::Share {
        let away = self.returned();
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
        self.job.max_cpu() as i64 * i64::from(self.waiting())
    }

    /// Whether all tasks of this scheduler are done.
    pub fn is_complete(&self) -> bool {
        let is_over = |task: &TaskState| matches!(task.phase, Phase::Done | Phase::Away);
        self.tasks.iter().flatten().all(is_over)
    }

    /// Whether the tasks of a step may start: all steps before it are done.
    pub fn is_due(&self, step: usize) -> bool {
        let done = |before: &u32| {
            let tasks = self.tasks.get(*before as usize);
            tasks.is_none_or(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
        };
        self.job.steps[step].after.iter().all(done)
    }

    /// Whether a task is not with this scheduler.
    pub fn is_away(&self, task: &job::Task) -> bool {
        self.task(task).is_some_and(|state| state.phase == Phase::Away)
    }

    /// Adds a completed run of a task, and returns the runs of its step if it was the last one.
    pub(crate) fn add_sample(
        &mut self,
        task: &job::Task,
        sample: lasting::Sample,
    ) -> Vec<lasting::Sample> {
        let Some(items) = self.tasks.get(task.step as usize) else { return Vec::new() };
        self.samples.push(sample);
        let is_open = |(index, state): (usize, &TaskState)| {
            index != task.index as usize && matches!(state.phase, Phase::Waiting | Phase::Placed(_))
        };
        if items.iter().enumerate().any(is_open) {
            return Vec::new();
        }
        self.samples.extract_if(.., |sample| sample.step == task.step).collect()
    }

    /// Looks up a task.
    pub fn task(&self, task: &job::Task) -> Option<&TaskState> {
        self.tasks.get(task.step as usize)?.get(task.index as usize)
    }

    /// Changes the phase of a task and returns the former one.
    pub fn set_phase(&mut self, task: &job::Task, phase: Phase) -> Option<Phase> {
        let state = self.tasks.get_mut(task.step as usize)?.get_mut(task.index as usize)?;
        let former = std::mem::replace(&mut state.phase, phase);
        self.waiting -= u32::from(former == Phase::Waiting);
        self.waiting += u32::from(state.phase == Phase::Waiting);
        self.started |= matches!(state.phase, Phase::Placed(_));
        Some(former)
    }

    /// Looks up a task for modification.
    pub fn task_mut(&mut self, task: &job::Task) -> Option<&mut TaskState> {
        self.tasks.get_mut(task.step as usize)?.get_mut(task.index as usize)
    }

    /// End of the objective.
    pub fn objective_end(&self) -> u64 {
        self.arrived + self.job.objective * time::MS
    }

    /// Time at which the client gives up.
    pub fn client_deadline(&self) -> u64 {
        self.arrived + self.job.patience * time::MS
    }
}
