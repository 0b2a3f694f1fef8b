//! What an instance is told and what it does.

use state::name;

use crate::{job, message, order, timing, upstream};

/// A request that waits for a reply.
pub type Ticket = u64;

/// Something that has happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another instance.
    Peer(name::Name, message::Body),
    /// Stores up to this number are on disk.
    Saved(u64),
    /// A client hands in a job.
    Submit(Ticket, Box<job::Job>),
    /// The client of this ticket has gone.
    Left(Ticket),
    /// An upstream announces itself.
    Announce(Ticket, upstream::Record),
    /// An upstream announces itself for a service that the configuration in force here does not
    /// name.
    Unlisted(Ticket, upstream::Record),
    /// An announcement under this id cannot be taken, and why.
    Unread(name::Name, String),
    /// An upstream says that it ends.
    Withdraw(Ticket, name::Name),
    /// The operator hands in a configuration.
    Publish(Ticket, message::Document),
    /// The operator evacuates a zone, or takes it back where this is `false`.
    Evacuate(Ticket, name::Name, bool),
    /// The operator asks for the newest configuration.
    Read(Ticket),
    /// What came of a call.
    Called(order::Answer),
    /// The settings name other seeds.
    Seeds(Vec<name::Name>),
    /// Finish what is in progress and take nothing new.
    Drain,
}

/// Something to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message. A stream is opened with the first one: with streams to everybody, 123
    /// instances would have 15,000.
    Send(name::Name, message::Body),
    /// Open the stream to an instance anew.
    Redial(name::Name),
    /// Close the stream to an instance.
    Disconnect(name::Name),
    /// Store a change of the replicated configuration.
    Save(u64, coord::raft::Save),
    /// Keep whom this instance knows, in place of what was kept before.
    Remember(Known),
    /// Call an upstream.
    Call(order::Call),
    /// Answer a ticket.
    Reply(Ticket, Reply),
    /// A newer configuration is in force here.
    Document(message::Document),
    /// A decision worth a log line.
    Note(Note),
    /// A time for a histogram.
    Measure(Measure),
}

/// A time by which decisions are judged, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// From the arrival of a job until the first of its tasks is started by a scheduler.
    FirstWait(u64),
    /// For which an upstream had its last end behind it when a task was started there that had waited
    /// as long: the room stood empty.
    IdleRoom(u64),
    /// Where the time of a task went that has done its work.
    Breakdown(timing::Breakdown),
    /// Age of the word of a zone's room by which tasks were handed there.
    LoadAge(u64),
}

/// Answer to a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// How a job ended.
    Verdict(job::Verdict),
    /// It is taken note of.
    Noted,
    /// The newest configuration.
    Newest(message::Document),
    /// Another configuration holds this version.
    Conflict,
    /// There is no such zone.
    NoZone,
    /// This instance cannot tell, or cannot do it now.
    Unavailable,
}

/// A decision worth a log line. Its text names its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened.
    pub text: &'static str,
    /// The job, upstream or instance that it is about.
    pub subject: name::Name,
    /// What decided it.
    pub detail: String,
}

/// Whom an instance with a disk knew last: after a restart of everything it finds them sooner than
/// they find it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Known {
    /// Upstreams of all zones.
    pub upstreams: Vec<upstream::Record>,
    /// Other instances, those first that it needs most.
    pub instances: Vec<name::Name>,
}
