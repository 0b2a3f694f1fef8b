//! Orders to upstreams and their outcomes.

use state::name;

use crate::messages::{incarnation, job};

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Continue all runs, and report which runs are in progress and which have ended.
    Hold {
        /// Number of the last end that the scheduler has processed; the upstream may forget it and
        /// all earlier ones.
        seen: u64,
        /// End of the lease for all runs, on the upstream's clock, milliseconds; `None`
        /// renews no lease.
        until: Option<u64>,
        /// Longest time for which the upstream may delay its answer until a run ends, milliseconds.
        wait: u64,
    },
    /// Start a task.
    Start {
        /// The task.
        task: job::Task,
        /// Number of the run; it rises with each run of the task.
        attempt: u32,
        /// Specification of the work.
        spec: name::Name,
        /// End of the lease, on the upstream's clock, milliseconds.
        until: u64,
        /// Time since the job arrived, milliseconds; this is not sent to the upstream.
        waited: u64,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: job::Task,
        /// Number of the run.
        attempt: u32,
    },
}

/// One call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the call; the answer carries it too.
    pub number: u64,
    /// Incarnation of the upstream that the call is for.
    pub upstream: incarnation::Incarnation,
    /// Address of the upstream, `IP:PORT`.
    pub address: name::Name,
    /// Fencing token.
    pub fence: u64,
    /// The order.
    pub order: Order,
    /// Timeout of the call, milliseconds.
    pub timeout: u64,
}

/// Outcome of a call, and the time that it took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Number of the call.
    pub number: u64,
    /// Fencing token of the call.
    pub fence: u64,
    /// Time from sending the call to its answer, microseconds.
    pub took: u64,
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// One entry in an upstream's list of runs in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: job::Task,
    /// Number of the run.
    pub attempt: u32,
    /// Progress, percent.
    pub percent: u32,
    /// Processor that the run used during the last half second, thousandths of a core; `None` if
    /// the upstream does not state it.
    pub usage: Option<u64>,
}

/// One entry in an upstream's list of runs that have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Position in the list; it rises with each end.
    pub number: u64,
    /// The task.
    pub task: job::Task,
    /// Number of the run.
    pub attempt: u32,
    /// How it ended.
    pub end: End,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The run completed.
    Done,
    /// The run failed, by the task's own fault or the upstream's.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
}

/// Why an upstream refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The upstream has seen a higher fencing token.
    Fence,
    /// The upstream has seen this run, or one with a higher number, end.
    Old,
    /// The lease had expired when the order arrived.
    Late,
    /// The upstream has no room.
    Room,
    /// The upstream considers itself unhealthy.
    Unhealthy,
    /// The upstream cannot read the order, or the order asks for what it never grants.
    Invalid,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream carried out a start or stop; holds the upstream's clock, milliseconds.
    Done(u64),
    /// The answer to a hold.
    Held {
        /// Start of the process that answers, milliseconds since 1970, if the answer states it.
        started: Option<u64>,
        /// The upstream's clock, milliseconds.
        clock: u64,
        /// Runs in progress.
        running: Vec<Running>,
        /// Runs that have ended and that the scheduler has not processed yet.
        ended: Vec<Ended>,
    },
    /// The upstream refused the order; holds its clock, milliseconds, if the answer states it.
    Refused(Reason, Option<u64>),
    /// Another incarnation of the upstream answers at this address.
    Replaced,
    /// No byte of the order was sent.
    Unsent,
    /// The order was sent, and no answer came.
    Lost,
}
