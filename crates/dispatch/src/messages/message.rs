//! Messages between instances.

use state::name;

use crate::messages::{
    claim, evacuation, job, member, parts, reservation, share, suspect, upstream,
};

/// One message between two instances.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// A heartbeat.
    Ping(Box<Ping>),
    /// All instances that the sender knows, and those that it has forgotten with their last
    /// incarnation.
    Members(Vec<member::Card>, Vec<(name::Name, u64)>),
    /// New or changed records of upstreams.
    Records(Vec<upstream::Record>),
    /// All upstreams of a zone that the sender knows; the receiver answers with the missing
    /// records.
    Listing(name::Name, Vec<upstream::Record>),
    /// Requests a part of the configuration.
    Fetch(PartRequest),
    /// A part of a committed configuration.
    Part(Part),
    /// A message of the consensus protocol for the configuration.
    Agree(Box<coord::message::Body>),
    /// Asks for the newest version. The answer repeats the number of the query.
    Confirm(u64),
    /// The number of the query and the newest committed version, which was read after the query.
    Confirmed(u64, u64),
    /// A job, or some of its tasks, for the scheduler of this zone.
    Submit(name::Name, Box<job::Job>, Handover),
    /// Cancels a job for which no client waits any more.
    Cancel(name::Name),
    /// Jobs that the sender still awaits from the scheduler of this zone, and the sender's
    /// monotonic clock, in microseconds.
    Await(name::Name, Vec<Awaited>, u64),
    /// The scheduler does not know this handover of the job.
    Unknown(name::Name, u64),
    /// The outcome of the tasks of a job that the scheduler had.
    Verdict(name::Name, Box<Decision>),
    /// The scheduler will not start these tasks of a job unless the entry submits them again.
    Spare(name::Name, ReturnedTasks),
    /// Asks the scheduler of other parts of this zone whether tasks of these jobs may still run
    /// there, at upstreams of these sets.
    Seek(name::Name, Vec<Sought>),
    /// No task of these jobs runs at the upstreams of these sets that are in these parts, and none
    /// that a former scheduler ordered will.
    Clear(name::Name, parts::Parts, Vec<Sought>),
    /// Lost upstreams, and the tasks that may have been running there.
    Lost(Vec<suspect::Loss>),
    /// A message that a third instance relays, as the sender does not reach its receiver: sender,
    /// receiver and content.
    Relay(name::Name, name::Name, Box<Body>),
    /// Cancels a job on request. A scheduler that has it passes the message on to the entry whose
    /// client awaits it.
    Revoke(name::Name),
    /// The sender of an order has read the challenge of a keeper, issued on the order's base.
    Challenged(evacuation::Order),
    /// A message about which entry has which job.
    Reservation(reservation::Message),
}

/// A job that an entry awaits from a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Awaited {
    /// The job.
    pub job: name::Name,
    /// Number of its last handover.
    pub number: u64,
    /// Number of its tasks that the scheduler has, as far as the entry knows.
    pub count: u32,
}

impl HeartbeatAck {
    /// Returns the digest of the upstreams of a zone in that heartbeat; `own` is the receiver's
    /// zone.
    pub fn digest_of(&self, zone: &name::Name, own: &name::Name) -> Option<u64> {
        if zone == own {
            return Some(self.upstreams);
        }
        self.adopted.iter().find(|(other, _)| other == zone).map(|(_, digest)| *digest)
    }
}

impl Body {
    /// Short name of the message kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ping(_) => "ping",
            Self::Members(..) => "members",
            Self::Records(_) | Self::Listing(..) => "records",
            Self::Fetch(_) => "fetch",
            Self::Part(_) => "part",
            Self::Agree(_) => "agree",
            Self::Confirm(_) | Self::Confirmed(..) => "confirm",
            Self::Submit(..) => "submit",
            Self::Cancel(_) | Self::Revoke(_) => "cancel",
            Self::Await(..) | Self::Unknown(..) => "await",
            Self::Verdict(..) => "verdict",
            Self::Spare(..) => "spare",
            Self::Seek(..) | Self::Clear(..) => "seek",
            Self::Lost(_) => "lost",
            Self::Relay(..) => "relay",
            Self::Challenged(_) => "challenged",
            Self::Reservation(message) => message.kind(),
        }
    }
}

/// A heartbeat: the sender's identity, and digests of what it knows.
#[expect(clippy::struct_excessive_bools, reason = "independent facts, not states of one thing")]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Ping {
    /// The sender.
    pub card: member::Card,
    /// The sender's monotonic clock, in microseconds.
    pub clock: u64,
    /// Whether the sender has recently received a heartbeat directly from the receiver.
    pub echo: bool,
    /// The receiver's last heartbeat that the sender received.
    pub ack: Option<HeartbeatAck>,
    /// Digest of the upstreams of the sender's zone that it knows ([`crate::tables::directory`]).
    pub upstreams: u64,
    /// Whether it carries news that should not be delayed.
    pub urgent: bool,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Parts of the sender's zone from whose schedulers it receives heartbeats.
    pub led: parts::Parts,
    /// Claims of the zones' schedulers, as far as the sender knows.
    pub claims: Vec<claim::Claim>,
    /// Version of the sender's active configuration; 0 without one.
    pub version: u64,
    /// The evacuated zones, as far as the sender knows.
    pub evacuations: evacuation::Evacuations,
    /// Digest of all instances that the sender knows.
    pub members: u64,
    /// Digest of the upstreams of the receiver's zone, if the sender keeps their records.
    pub records: Option<u64>,
    /// Free capacity of the sender's own zone, if it schedules that zone.
    pub load: Option<Load>,
    /// Other zones that the sender schedules, besides its own.
    pub adopted: Adopted,
    /// Whether scheduling its zone would take more CPU time than the sender has.
    pub low_capacity: bool,
    /// Whether the sender watches the receiver, which then sends heartbeats in return.
    pub watching: bool,
    /// Hashes of the names of some instances that the sender should receive heartbeats from, but
    /// doesn't.
    pub silent_peers: Vec<u32>,
}

/// Facts from the last heartbeat that the sender of this one received from its receiver.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeartbeatAck {
    /// The receiver's incarnation.
    pub incarnation: u64,
    /// The receiver's monotonic clock in that heartbeat, in microseconds.
    pub clock: u64,
    /// The sender's monotonic clock when it read that heartbeat, in microseconds.
    pub at: u64,
    /// Digest of the upstreams of the receiver's zone in that heartbeat.
    pub upstreams: u64,
    /// The same digests for the other zones that the receiver schedules.
    pub adopted: smallvec::SmallVec<[(name::Name, u64); 1]>,
}

/// Zones that an instance schedules besides its own.
pub type Adopted = smallvec::SmallVec<[AdoptedZone; 1]>;

/// A zone that an instance of another zone schedules.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdoptedZone {
    /// The zone.
    pub zone: name::Name,
    /// Digest of its upstreams as known to the scheduler.
    pub upstreams: u64,
    /// Free capacity of these upstreams.
    pub load: Load,
}

/// How an entry hands a job over to a scheduler, with what it knows of earlier handovers.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// Number that rises with each handover of the entry, also across its restarts.
    pub number: u64,
    /// The tasks that the receiver is to run.
    pub share: share::Share,
    /// Whether the receiver is to return the tasks that cannot start at once.
    pub offer: bool,
    /// Whether other tasks of the job may have begun elsewhere.
    pub maybe_started: bool,
    /// Highest number that earlier schedulers may have used for runs of these tasks.
    pub used_attempts: u32,
    /// Digest of its zone's upstreams that the receiver last reported.
    pub upstreams: u64,
    /// Parts of the zone that the receiver schedules, as far as the sender knows.
    pub parts: parts::Parts,
    /// Epoch of the receiver's claim that the sender knows.
    pub epoch: u64,
    /// Whether schedulers of some parts of a zone only may have found runs of these tasks.
    pub split: bool,
    /// The upstreams of the schedulers that had these tasks before: the tasks run only there.
    pub former: smallvec::SmallVec<[FormerSet; 2]>,
    /// Time since the entry last informed one of these schedulers that it awaits the tasks, in
    /// milliseconds.
    pub release_age: u64,
}

/// The upstreams of a scheduler that had tasks before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FormerSet {
    /// Digest of the upstreams of its zone that it last reported.
    pub digest: u64,
    /// The parts of the zone that it scheduled, without those where no run of the tasks is left.
    pub parts: parts::Parts,
    /// Epoch of its claim.
    pub epoch: u64,
}

/// A job, and the upstreams where a former scheduler may have started its tasks.
pub type Sought = (name::Name, FormerSet);

/// The outcome of the tasks of a job that a scheduler had.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Decision {
    /// Number of the last handover that the scheduler received.
    pub number: u64,
    /// The tasks that the scheduler had.
    pub share: share::Share,
    /// Their outcome.
    pub verdict: job::Verdict,
}

/// Tasks that a scheduler returns to the entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReturnedTasks {
    /// Number of the last handover that the scheduler received.
    pub number: u64,
    /// The returned tasks.
    pub tasks: share::Tasks,
    /// Free capacity of the scheduler's upstreams.
    pub load: Load,
    /// Whether the scheduler may have started one of them, which no longer runs.
    pub maybe_started: bool,
}

/// Free and total capacity of the upstreams of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Free capacity of upstreams that accept tasks, in thousandths of a core, less the demand of
    /// waiting tasks.
    pub free: i64,
    /// Total capacity of upstreams that accept tasks, in thousandths of a core.
    pub total: i64,
}

/// A configuration as the operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Its version, assigned by the operator.
    pub version: u64,
    /// Its text, compressed by [`crate::messages::compression`]; this crate does not parse it.
    pub body: bytes::Bytes,
}

/// A request for a part of the configuration, starting at a byte offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartRequest {
    /// Version of the configuration.
    pub version: u64,
    /// Offset of the first requested byte.
    pub offset: u64,
}

/// A part of a compressed configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// Version of the configuration; a version newer than the requested one starts at its first
    /// byte.
    pub version: u64,
    /// Size of the whole compressed configuration, in bytes.
    pub size: u64,
    /// Offset of the part.
    pub offset: u64,
    /// Content of the part.
    pub bytes: bytes::Bytes,
}
