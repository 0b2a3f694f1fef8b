//! A submitted job that this instance works on.

use std::sync;

use state::{name, table};

use crate::{
    message::{Answer, Spec, Verdict},
    waiter::Waiter,
};

/// One attempt at a task.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u64,
    pub(crate) upstream: name::Name,
    pub(crate) address: name::Name,
    /// When the attempt started, microseconds.
    pub(crate) started_at: u64,
}

/// The state of one task.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    Waiting,
    Running(smallvec::SmallVec<[Attempt; 1]>),
    Done(Answer),
}

/// The end of a job that waits for the journal or for copies of its answers.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    pub(crate) outcome: table::Outcome,
    pub(crate) verdict: Verdict,
    /// Whether the journal holds the end, or the job does not use the journal.
    pub(crate) committed: bool,
    /// Number of copies of the answers that zone peers have not confirmed yet.
    pub(crate) unconfirmed: usize,
    /// Whether this instance has sent a copy to every zone peer because confirmations are late.
    pub(crate) sent_all: bool,
    /// When the verdict is sent without the missing confirmations, microseconds.
    pub(crate) copy_deadline: u64,
}

/// Life cycle of a job at its owner.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The journal has not admitted the job yet; no task may start.
    Admitting,
    /// The tasks wait, run or have answered.
    Running,
    /// The job has ended; the journal does not hold its end yet, or copies are unconfirmed.
    Ending(Ending),
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: sync::Arc<Spec>,
    pub(crate) digest: table::Digest,
    /// Time after which an answer is too late, microseconds of the monotonic clock.
    pub(crate) deadline: u64,
    pub(crate) phase: Phase,
    pub(crate) tasks: Vec<TaskState>,
    /// Number of tasks without an answer.
    pub(crate) unanswered: usize,
    /// Number of attempts that have, or may have, started a task.
    pub(crate) started: usize,
    pub(crate) waiters: smallvec::SmallVec<[Waiter; 2]>,
    /// Whether the zone's journal records the job; idempotent requests and jobs that run here for
    /// another zone do not use the journal.
    pub(crate) journaled: bool,
    /// Whether a failed task may run again; true only for idempotent requests.
    pub(crate) retryable: bool,
    pub(crate) cancelled: bool,
    /// The claim on this instance's share of a quota, taken without the journal.
    pub(crate) claim: Option<table::Claim>,
    /// When to repeat the proposal to the journal, microseconds.
    pub(crate) retry_at: u64,
    /// When the job was submitted to this instance, microseconds.
    pub(crate) submitted_at: u64,
    /// Service time of the longest task of the job, microseconds.
    pub(crate) longest_task: u64,
    pub(crate) policy: state::tree::Policy,
}

impl Job {
    /// Creates a job that waits for its admission.
    pub(crate) fn new(
        spec: sync::Arc<Spec>,
        digest: table::Digest,
        deadline: u64,
        policy: state::tree::Policy,
    ) -> Self {
        let count = spec.tasks.len();
        Self {
            digest,
            deadline,
            phase: Phase::Admitting,
            tasks: vec![TaskState::Waiting; count],
            unanswered: count,
            started: 0,
            waiters: smallvec::SmallVec::new(),
            journaled: !(spec.raw && spec.idempotent),
            retryable: spec.raw && spec.idempotent,
            cancelled: false,
            claim: None,
            retry_at: 0,
            submitted_at: 0,
            longest_task: 0,
            policy,
            spec,
        }
    }

    /// Returns the answers, in task order.
    pub(crate) fn answers(&self) -> Vec<Answer> {
        let answer = |task_state: &TaskState| match task_state {
            TaskState::Done(answer) => Some(answer.clone()),
            TaskState::Waiting | TaskState::Running(_) => None,
        };
        self.tasks.iter().filter_map(answer).collect()
    }

    /// Running attempts, each with the index of its task.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        self.tasks.iter().enumerate().flat_map(|(index, task_state)| {
            let list: &[Attempt] = match task_state {
                TaskState::Running(attempts) => attempts,
                TaskState::Waiting | TaskState::Done(_) => &[],
            };
            list.iter().map(move |attempt| (index as u32, attempt))
        })
    }
}
