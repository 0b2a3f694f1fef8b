//! Events that an instance handles, and the outputs that it returns.

use std::collections;

use state::{id, name, tree, upstream};

use crate::{
    message::{self, Body, Spec, Verdict},
    queue, raft,
};

/// Number by which the embedding program matches a reply to its event.
pub type Ticket = u64;

/// An event for an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired (see [`crate::core::TICK`]).
    Tick,
    /// A message from another instance.
    Peer(name::Name, Body),
    /// The save with this number, and every earlier one, is on disk.
    Saved(u64),
    /// A client submits a job or a request.
    Submit(Ticket, Spec),
    /// A client queries the state of a job.
    Show(Ticket, id::JobId),
    /// A client cancels a job.
    Cancel(Ticket, id::JobId),
    /// An upstream announces itself or renews its lease.
    Announce(Ticket, upstream::Upstream),
    /// An upstream withdraws.
    Withdraw(Ticket, name::Name),
    /// An attempt at a task ended.
    Done(Done),
    /// An operator changes the settings.
    Change(Ticket, tree::Change),
    /// The instance is to finish the jobs in progress and to accept no new ones.
    Drain,
}

/// An attempt at a task, to be started at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: queue::Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the upstream.
    pub upstream: name::Name,
    /// Address of the upstream.
    pub address: name::Name,
    /// Payload of the task.
    pub body: bytes::Bytes,
    /// Content type of the payload.
    pub content_type: name::Name,
    /// Deadline for the answer, microseconds of the monotonic clock.
    pub deadline: u64,
    /// End of the lease, microseconds of the monotonic clock. The task must not be started later.
    pub lease: u64,
    /// W3C trace context.
    pub trace: name::Name,
}

/// The end of an attempt at a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The task.
    pub task: queue::Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the upstream.
    pub upstream: name::Name,
    /// Time from start to end, microseconds.
    pub took: u64,
    /// How the attempt ended.
    pub finish: Finish,
}

/// How an attempt at a task ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Finish {
    /// The upstream's complete answer.
    Answer(message::Answer),
    /// The upstream certainly did not start the task: it refused for lack of capacity.
    Full,
    /// The upstream certainly did not start the task: it was never reached.
    Unreached,
    /// The task was not sent, because the lease had expired.
    Unsent,
    /// The task ran and failed, or may have run.
    Failed(String),
}

/// An attempt whose result is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The task.
    pub task: queue::Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// Address of the upstream.
    pub address: name::Name,
}

/// A reply to the embedding program.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The outcome of a submission, or its present state.
    Verdict(Verdict),
    /// The cancellation was accepted.
    Cancelled,
    /// The upstream's lease, milliseconds.
    Lease(u64),
    /// The upstream was withdrawn.
    Withdrawn,
    /// The outcome of a settings change.
    Changed(tree::Outcome),
    /// The outcome of the settings change is unknown: it may have been, or may yet be, accepted.
    Unknown(String),
}

/// An action for the embedding program to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another instance.
    Send(name::Name, Body),
    /// Store a change durably and confirm it with [`Event::Saved`].
    Save(u64, raft::Save),
    /// Start a task and report its end with [`Event::Done`].
    Start(Start),
    /// Ask an upstream to stop an attempt whose result is no longer needed; best effort.
    Stop(Stop),
    /// Send a reply for a ticket.
    Reply(Ticket, Reply),
    /// The settings tree has changed.
    Settings,
    /// A job of the service was answered. The number is the latency beyond the service time of its
    /// longest task, microseconds.
    ExcessLatency(name::Name, u64),
    /// The drain is complete; the process may exit.
    Drained,
}

/// Counters since the start of the instance.
#[derive(Clone, Debug, Default, serde::Serialize)]
#[expect(missing_docs, reason = "each field is named after the events it counts")]
pub struct Counts {
    pub submitted: u64,
    pub completed: u64,
    pub failed: u64,
    pub unknown: u64,
    pub refused: collections::BTreeMap<&'static str, u64>,
    pub starts: u64,
    pub moved: u64,
    pub retries: u64,
    pub hedges: u64,
    pub stops: u64,
    pub forwards: u64,
    pub asked_loans: u64,
    pub borrowed: u64,
    pub rejected: u64,
    pub expelled: u64,
}
