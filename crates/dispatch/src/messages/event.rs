//! Events that an instance handles, and the effects that it returns.

use std::collections;

use state::name;

use crate::messages::{evacuation, incarnation, job, message, order, timing, upstream};

/// Identifier of a request that awaits a reply.
pub type Ticket = u64;

/// Input of an instance.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived from another instance.
    Peer(name::Name, message::Body),
    /// The stream to another instance is open.
    Opened(name::Name),
    /// Writes up to this number are on disk.
    Saved(u64),
    /// A client submits a job.
    Submit(Ticket, Box<job::Job>),
    /// The client of this ticket has disconnected.
    Disconnected(Ticket),
    /// A client cancels a job.
    Cancel(Ticket, name::Name),
    /// An upstream announces itself.
    Announce(Ticket, upstream::Record),
    /// An upstream announces itself for a service that is missing from this instance's active
    /// configuration.
    UnknownService(Ticket, upstream::Record),
    /// An upstream announces itself before a configuration was read against which its service can
    /// be checked.
    Unchecked(Ticket, upstream::Record),
    /// A configuration was read, which names these services.
    Services(collections::BTreeSet<name::Name>),
    /// An announcement under this id is rejected, with the reason.
    RejectedAnnouncement(name::Name, String),
    /// An upstream announces that it shuts down.
    Withdraw(Ticket, incarnation::Incarnation),
    /// The operator publishes a configuration.
    Publish(Ticket, message::Document),
    /// The operator evacuates a zone or ends its evacuation.
    Evacuate(Ticket, evacuation::Request),
    /// The sender of an order has read the challenge with this number.
    ChallengeRead(u64),
    /// The operator asks for the newest configuration.
    Read(Ticket),
    /// A call to an upstream has finished.
    Called(order::Answer),
    /// The seeds in the settings have changed.
    Seeds(Vec<name::Name>),
    /// The instance finishes the work in progress and takes no new jobs.
    Drain,
    /// The instance ends: all open jobs are answered now.
    Finish,
}

/// An effect that the caller carries out.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message. The first message opens the stream: with a stream between every two
    /// instances, 123 instances would have 15,000 streams.
    Send(name::Name, message::Body),
    /// Reconnect the stream to an instance.
    Reconnect(name::Name),
    /// Close the stream to an instance.
    Disconnect(name::Name),
    /// Write a change of the replicated configuration to disk.
    Save(u64, coord::raft::Save),
    /// Save the upstreams and instances that this instance knows, replacing the previous save.
    SaveKnown(Known),
    /// Call an upstream.
    Call(order::Call),
    /// Answer a ticket.
    Reply(Ticket, Reply),
    /// Apply a newer configuration.
    Document(message::Document),
    /// Log a decision.
    Note(Note),
    /// Record a duration in a histogram.
    Measure(Measure),
}

/// A duration by which decisions are judged, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Time from the arrival of a job until a scheduler starts the first of its tasks.
    FirstWait(u64),
    /// Time for which capacity was idle while a task waited: from the last end of a run at an
    /// upstream until a task that had waited at least that long was started there.
    IdleRoom(u64),
    /// How the time of a completed task was spent.
    Breakdown(timing::Breakdown),
    /// Age of the reported load of a zone by which tasks were handed to that zone.
    LoadAge(u64),
}

/// Reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The outcome of a job.
    Verdict(job::Verdict),
    /// The job was cancelled on request.
    Cancelled,
    /// The job is not open here.
    NotOpen,
    /// The request was accepted.
    Noted,
    /// The newest configuration.
    Newest(message::Document),
    /// The announcement lacks the start time that other upstreams of its service state.
    Incomplete,
    /// The order counts once its sender repeats it with this number.
    Challenge(u64),
    /// Another configuration already has this version.
    Conflict,
    /// The zone does not exist.
    NoZone,
    /// This instance does not know, or cannot carry out the request now.
    Unavailable,
}

/// A decision to be logged. Its text names its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened.
    pub text: &'static str,
    /// The job, upstream or instance concerned.
    pub subject: name::Name,
    /// The facts behind the decision.
    pub detail: String,
}

/// Upstreams and instances that an instance with a disk last knew: after a restart of the whole
/// system it finds them sooner than they find it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Known {
    /// Upstreams of all zones.
    pub upstreams: Vec<upstream::Record>,
    /// Other instances, the most needed ones first.
    pub instances: Vec<name::Name>,
}
