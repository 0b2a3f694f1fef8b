//! Jobs, their steps and tasks, and their verdicts.

use state::name;

use crate::messages::upstream;

/// Step numbers; up to two are stored without an allocation.
pub type Steps = smallvec::SmallVec<[u32; 2]>;

/// A group of identical tasks of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: upstream::Room,
    /// Client's estimate of the duration of one task, milliseconds.
    pub estimate: u64,
    /// Steps whose tasks must all be done before these tasks start.
    pub after: Steps,
    /// Label that an upstream must have to run these tasks.
    pub label: Option<name::Name>,
    /// Largest number of tasks of the step on one upstream; 0 sets no limit.
    pub spread: u32,
}

impl Step {
    /// Whether an upstream has the label and, when idle, the room for a task of this step.
    pub(crate) fn fits(&self, record: &upstream::Record) -> bool {
        self.need.fits(&record.most)
            && self.label.as_ref().is_none_or(|label| record.labels.contains(label))
    }

    /// Whether each upstream that can hold the tasks of `other` can hold those of this step.
    fn fits_beside(&self, other: &Self) -> bool {
        self.need.fits(&other.need) && (self.label.is_none() || self.label == other.label)
    }
}

/// A job for which a client waits.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// Id of the job, chosen by the client.
    pub id: name::Name,
    /// Service whose upstreams run the job.
    pub service: name::Name,
    /// Specification of the work of its tasks.
    pub spec: name::Name,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Priority of the job; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task that fails the job.
    pub attempts: u32,
    /// Time from arrival within which an answer has its full value, milliseconds.
    pub objective: u64,
    /// Time from arrival until the client gives up, milliseconds.
    pub patience: u64,
    /// Time since its arrival at the first instance, milliseconds.
    pub age: u64,
    /// Whether another scheduler may have started tasks of the job.
    pub resumed: bool,
    /// The entry's monotonic clock when it submitted the job, microseconds.
    pub entry_clock: u64,
}

impl Job {
    /// Length of the critical path by the estimates, milliseconds.
    pub fn critical_path(&self) -> u64 {
        critical_path(&self.steps)
    }

    /// Whether several schedulers may share the tasks: the tasks of a single step wait for no other
    /// step.
    pub fn is_divisible(&self) -> bool {
        self.steps.len() == 1
    }

    /// Whether an upstream that can hold the tasks of one of its steps can hold those of all others,
    /// so that a zone that cannot hold the job cannot hold that step.
    pub fn has_largest_step(&self) -> bool {
        let is_largest = |largest: &Step| self.steps.iter().all(|step| step.fits_beside(largest));
        self.steps.iter().any(is_largest)
    }

    /// Whether there were upstreams, of those that an instance remembers, that could hold the tasks
    /// of each step: they may return.
    pub(crate) fn may_fit(&self, upstreams: &upstream::Table) -> bool {
        let of_service = || upstreams.all().filter(|record| record.service == self.service);
        self.steps.iter().all(|step| of_service().any(|record| step.fits(record)))
    }

    /// Number of tasks in all steps.
    pub fn count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Cores that the largest task needs, thousandths.
    pub fn max_cpu(&self) -> u64 {
        self.steps.iter().map(|step| step.need.cpu).max().unwrap_or(0)
    }

    /// Cores that the smallest task needs, thousandths.
    pub fn min_cpu(&self) -> u64 {
        self.steps.iter().map(|step| step.need.cpu).min().unwrap_or(0)
    }
}

/// Length of the critical path through the steps by their estimates, milliseconds.
pub fn critical_path(steps: &[Step]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let end = |before: &u32| ends.get(*before as usize).copied().unwrap_or(0);
        let start = step.after.iter().map(end).max().unwrap_or(0);
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Length of the longest chain of steps that must follow a step, by their estimates, milliseconds.
pub fn path_after(steps: &[Step], step: usize) -> u64 {
    let mut ends: Vec<Option<u64>> = vec![None; steps.len()];
    for (at, next) in steps.iter().enumerate().skip(step) {
        ends[at] = if at == step {
            Some(0)
        } else {
            let end = |before: &u32| ends.get(*before as usize).copied().flatten();
            next.after.iter().filter_map(end).max().map(|start| start + next.estimate)
        };
    }
    ends.into_iter().flatten().max().unwrap_or(0)
}

/// One task of a job.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Task {
    /// The job.
    pub job: name::Name,
    /// Index of its step, from 0.
    pub step: u32,
    /// Index within its step, from 0.
    pub index: u32,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// All tasks are done.
    Complete,
    /// A task failed too often.
    Failed,
    /// No task was started, and none will be.
    NotRun(Refusal),
    /// Some tasks may have run; no scheduler will run the others.
    GaveUp,
}

/// Reason why no task was started.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The queue is too long for the remaining time; the scheduler expects room after this time,
    /// milliseconds.
    Overload(u64),
    /// The entry reaches no scheduler.
    NoScheduler,
    /// All zones are evacuated.
    Evacuated,
    /// No upstream of the service has room for such a task, even when idle. A scheduler says so of
    /// its own upstreams only.
    TooLarge,
    /// The instance is shutting down.
    Draining,
    /// The job asks for a feature that this version does not support.
    Unsupported(name::Name),
    /// No zone that can be asked has room for the job, even when idle. Only entries use it.
    NoZone,
}

impl Refusal {
    /// Short name of the reason, for logs and counters.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Overload(_) => "overload",
            Self::NoScheduler => "no_scheduler",
            Self::Evacuated => "evacuated",
            Self::TooLarge => "too_large",
            Self::Draining => "draining",
            Self::Unsupported(_) => "unsupported",
            Self::NoZone => "no_zone",
        }
    }
}
