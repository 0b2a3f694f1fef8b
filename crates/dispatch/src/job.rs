//! Jobs, their steps and tasks, and how they end.

use state::name;

use crate::upstream;

/// A short list of step numbers on the stack.
pub type Steps = smallvec::SmallVec<[u32; 2]>;

/// Tasks of one job that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// How many there are.
    pub count: u32,
    /// What each needs.
    pub need: upstream::Room,
    /// How long one takes by the client's estimate, milliseconds.
    pub estimate: u64,
    /// Steps whose tasks must all be done first.
    pub after: Steps,
    /// Label that the upstream must have.
    pub label: Option<name::Name>,
    /// Most tasks of the step on one upstream; 0 sets no bound.
    pub spread: u32,
}

/// A job whose answer a client waits for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// Its id, by the client.
    pub id: name::Name,
    /// Service whose upstreams run it.
    pub service: name::Name,
    /// What its tasks are to do.
    pub spec: name::Name,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Rank of its queue; 0 comes first.
    pub priority: u32,
    /// A task that failed this often fails the job.
    pub attempts: u32,
    /// Time from arrival within which the answer is worth most, milliseconds.
    pub objective: u64,
    /// Time from arrival until the client gives up, milliseconds.
    pub patience: u64,
    /// Time since its arrival at the first instance, milliseconds.
    pub age: u64,
    /// Whether another scheduler may have started tasks of it.
    pub resumed: bool,
    /// The entry's monotonic clock when it handed the job in, microseconds.
    pub stamp: u64,
}

impl Job {
    /// The longest chain of estimates, milliseconds.
    pub fn chain(&self) -> u64 {
        chain(&self.steps)
    }

    /// Whether its tasks may be with several schedulers: those of one step wait for no other.
    pub fn is_divisible(&self) -> bool {
        self.steps.len() == 1
    }

    /// How many tasks it has.
    pub fn count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Cores that its largest task needs, thousandths.
    pub fn widest(&self) -> u64 {
        self.steps.iter().map(|step| step.need.cpu).max().unwrap_or(0)
    }

    /// Cores that its smallest task needs, thousandths.
    pub fn least(&self) -> u64 {
        self.steps.iter().map(|step| step.need.cpu).min().unwrap_or(0)
    }
}

/// The longest chain of estimates through steps, milliseconds.
pub fn chain(steps: &[Step]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let end = |before: &u32| ends.get(*before as usize).copied().unwrap_or(0);
        let start = step.after.iter().map(end).max().unwrap_or(0);
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// One task of a job.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Task {
    /// The job.
    pub job: name::Name,
    /// Number of its step, from 0.
    pub step: u32,
    /// Number in its step, from 0.
    pub index: u32,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// All tasks are done.
    Complete,
    /// A task failed too often.
    Failed,
    /// No task was started, nor will one be.
    NotRun(Refusal),
    /// Some tasks may have run; nobody works on the rest.
    GaveUp,
}

/// Why no task was started.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The queue is too long for the time that is left; room is expected after this time,
    /// milliseconds.
    Overload(u64),
    /// No scheduler can be reached.
    NoScheduler,
    /// All zones are evacuated.
    Evacuated,
    /// No upstream of the service has room for such a task, even when idle.
    TooLarge,
    /// The instance is shutting down.
    Draining,
    /// The job asks for something that this version does not do.
    Unsupported(name::Name),
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
        }
    }
}
