//! What happens to an instance, and what it does.

use std::collections;

use state::{id, name, tree, upstream};

use crate::{
    message::{self, Body, Spec, Verdict},
    queue, raft,
};

/// Number under which the embedder waits for a reply.
pub type Ticket = u64;

/// What happens to an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another instance.
    Peer(name::Name, Body),
    /// The change with this number, and all before it, are on disk.
    Saved(u64),
    /// A client submits a job or a request.
    Submit(Ticket, Spec),
    /// A client asks how a job stands.
    Show(Ticket, id::JobId),
    /// A client cancels a job.
    Cancel(Ticket, id::JobId),
    /// An upstream announces itself or renews its lease.
    Announce(Ticket, upstream::Upstream),
    /// An upstream withdraws.
    Withdraw(Ticket, name::Name),
    /// A started task came back.
    Done(Done),
    /// An operator changes the settings.
    Change(Ticket, tree::Change),
    /// Finish what is in progress and take nothing new.
    Drain,
}

/// A task that is to be started.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: queue::Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// The upstream.
    pub upstream: name::Name,
    /// Its address.
    pub address: name::Name,
    /// Payload.
    pub body: bytes::Bytes,
    /// Content type of the payload.
    pub content: name::Name,
    /// When the answer is too late, on the monotonic clock.
    pub deadline: u64,
    /// The task must not be started after this, on the monotonic clock.
    pub lease: u64,
    /// W3C trace context.
    pub trace: name::Name,
}

/// A started task that came back.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The task.
    pub task: queue::Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// The upstream.
    pub upstream: name::Name,
    /// Time from start to end, microseconds.
    pub took: u64,
    /// How it ended.
    pub finish: Finish,
}

/// How an attempt at a task ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Finish {
    /// The upstream's whole answer.
    Answer(message::Answer),
    /// It is proved that the upstream did not start it: it refused for want of room.
    Full,
    /// It is proved that the upstream did not start it: it was never reached.
    Unreached,
    /// It was not sent, because the lease was over.
    Unsent,
    /// It ran and failed, or may have run.
    Failed(String),
}

/// A task that is no longer wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The task.
    pub task: queue::Task,
    /// Number of the attempt.
    pub attempt: u64,
    /// Address of the upstream.
    pub address: name::Name,
}

/// An answer to the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// How a submission ended, or stands.
    Verdict(Verdict),
    /// The cancellation was taken.
    Cancelled,
    /// The upstream's lease, milliseconds.
    Lease(u64),
    /// The upstream is withdrawn.
    Withdrawn,
    /// How a settings change ended.
    Changed(tree::Outcome),
    /// Whether the settings change was or will be accepted cannot be told.
    Untold(String),
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(name::Name, Body),
    /// Store a change and report it with [`Event::Saved`].
    Save(u64, raft::Save),
    /// Start a task and report its end with [`Event::Done`].
    Start(Start),
    /// Tell an upstream that a task is not wanted; best effort.
    Stop(Stop),
    /// Answer a ticket.
    Reply(Ticket, Reply),
    /// The settings tree has changed.
    Settings,
    /// A job of the service was answered, so many microseconds later than its longest task took.
    Over(name::Name, u64),
    /// Everything in progress has ended; the process may exit.
    Drained,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, serde::Serialize)]
#[expect(missing_docs, reason = "the names say what is counted")]
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
