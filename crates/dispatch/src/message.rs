//! Messages between instances.

use state::name;

use crate::{claim, evacuation, job, member, share, suspect, upstream};

/// One message between two instances.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// A heartbeat.
    Ping(Box<Ping>),
    /// All instances that the sender knows, and those that it has forgotten, with their last life.
    Members(Vec<member::Card>, Vec<(name::Name, u64)>),
    /// News of upstreams.
    Records(Vec<upstream::Record>),
    /// All upstreams of a zone that the sender counts on; it is answered with what it lacks.
    Listing(name::Name, Vec<upstream::Record>),
    /// Send me a part of the configuration.
    Fetch(Ask),
    /// A part of a committed configuration.
    Part(Part),
    /// Agreement on the configuration.
    Agree(Box<coord::message::Body>),
    /// Which version is the newest? The number comes back with the answer.
    Confirm(u64),
    /// The newest committed version, known since after the question was asked.
    Confirmed(u64, u64),
    /// A job, or some of its tasks, for the scheduler of this zone.
    Submit(name::Name, Box<job::Job>, Handover),
    /// Nobody waits for the job any more.
    Cancel(name::Name),
    /// Jobs that the sender still waits for from the scheduler of this zone, and the sender's monotonic
    /// clock, microseconds.
    Await(name::Name, Vec<Awaited>, u64),
    /// The scheduler does not know this hand-over of the job.
    Unknown(name::Name, u64),
    /// How what the scheduler had of a job ended.
    Verdict(name::Name, Box<Ruling>),
    /// The scheduler won't start these tasks of a job, unless they are handed in again.
    Spare(name::Name, Spare),
    /// Upstreams that were lost, and what may have been running there.
    Lost(Vec<suspect::Loss>),
    /// A message for an instance that the sender does not reach itself: who sent it, for whom.
    Relay(name::Name, name::Name, Box<Body>),
}

/// A job that an entry waits for from a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Awaited {
    /// The job.
    pub job: name::Name,
    /// Number of its last hand-over.
    pub number: u64,
    /// How many of its tasks the scheduler has, as far as the entry knows.
    pub count: u32,
}

impl Heard {
    /// Digest of the upstreams of a zone in it, where `own` is the receiver's zone.
    pub fn set(&self, zone: &name::Name, own: &name::Name) -> Option<u64> {
        if zone == own {
            return Some(self.upstreams);
        }
        self.adopted.iter().find(|(other, _)| other == zone).map(|(_, digest)| *digest)
    }
}

impl Body {
    /// Short name of the kind, for counting.
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
            Self::Cancel(_) => "cancel",
            Self::Await(..) | Self::Unknown(..) => "await",
            Self::Verdict(..) => "verdict",
            Self::Spare(..) => "spare",
            Self::Lost(_) => "lost",
            Self::Relay(..) => "relay",
        }
    }
}

/// A heartbeat: what the sender is and what it knows, in digests.
#[expect(clippy::struct_excessive_bools, reason = "independent facts, not states of one thing")]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Ping {
    /// The sender.
    pub card: member::Card,
    /// The sender's monotonic clock, microseconds.
    pub clock: u64,
    /// Whether the sender has heard the receiver lately, on the direct way.
    pub echo: bool,
    /// The receiver's last heartbeat.
    pub heard: Option<Heard>,
    /// Digest of the upstreams of the sender's zone that it knows ([`crate::directory`]).
    pub upstreams: u64,
    /// Whether it tells of something new and should not wait.
    pub urgent: bool,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Whether the sender hears the scheduler of its zone.
    pub led: bool,
    /// Schedulers of the zones, as far as the sender knows.
    pub claims: Vec<claim::Claim>,
    /// Version of the configuration in force at the sender; 0 without one.
    pub version: u64,
    /// The evacuated zones, as far as the sender knows.
    pub evacuations: evacuation::Evacuations,
    /// Digest of all instances that the sender knows.
    pub members: u64,
    /// Digest of the upstreams of the receiver's zone, if the sender holds these.
    pub records: Option<u64>,
    /// Room that is free in its own zone, if it schedules that.
    pub load: Option<Load>,
    /// Other zones that the sender schedules.
    pub adopted: Adopted,
    /// Whether scheduling its zone would take more of the sender's processor time than it has.
    pub weak: bool,
    /// Whether the sender wants to hear the receiver, which answers then.
    pub chosen: bool,
    /// Digests of the names of some instances that the sender ought to hear and does not.
    pub lacks: Vec<u32>,
}

/// What the sender of a heartbeat has heard last of its receiver.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heard {
    /// The receiver's incarnation.
    pub life: u64,
    /// The receiver's monotonic clock in that heartbeat, microseconds.
    pub clock: u64,
    /// The sender's monotonic clock when it read it, microseconds.
    pub at: u64,
    /// Digest of the upstreams of the receiver's zone in it.
    pub upstreams: u64,
    /// The same of other zones that the receiver schedules.
    pub adopted: smallvec::SmallVec<[(name::Name, u64); 1]>,
}

/// Zones that an instance schedules besides its own.
pub type Adopted = smallvec::SmallVec<[AdoptedZone; 1]>;

/// A zone that an instance of another one schedules.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdoptedZone {
    /// The zone.
    pub zone: name::Name,
    /// Digest of its upstreams that the scheduler knows.
    pub upstreams: u64,
    /// Room that is free at them.
    pub load: Load,
}

/// How an entry hands a job over, and what it knows of its past.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// Rises with each hand-over of the entry, over its restarts as well.
    pub number: u64,
    /// The tasks that the receiver has to run.
    pub share: share::Share,
    /// Whether those that cannot start at once are to be given back.
    pub offer: bool,
    /// Whether other tasks of the job may have begun elsewhere.
    pub begun: bool,
    /// Digest of its zone's upstreams that the receiver told last.
    pub upstreams: u64,
    /// Digests that the schedulers which had these tasks before told last: they run at upstreams of
    /// these sets only.
    pub former: smallvec::SmallVec<[u64; 2]>,
    /// Time since one of them was last told that the entry waits, milliseconds.
    pub parted: u64,
}

/// How what a scheduler had of a job ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ruling {
    /// Number of the last hand-over that it had.
    pub number: u64,
    /// The tasks that it had.
    pub share: share::Share,
    /// How they ended.
    pub verdict: job::Verdict,
}

/// Tasks that a scheduler gives back.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Spare {
    /// Number of the last hand-over that it had.
    pub number: u64,
    /// The tasks.
    pub tasks: share::Tasks,
    /// Room at its upstreams.
    pub load: Load,
    /// Whether it may have started one of them, which does not run any more.
    pub begun: bool,
}

/// How full the upstreams of a zone are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Free cores of upstreams that take work, thousandths; what waits is taken off.
    pub free: i64,
    /// All cores of upstreams that take work, thousandths.
    pub total: i64,
}

/// A configuration as the operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Its version, by the operator.
    pub version: u64,
    /// Its text, packed by [`crate::compression`]; nothing here reads it.
    pub body: bytes::Bytes,
}

/// Asks for a part of a version, from a byte on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ask {
    /// Version of the configuration.
    pub version: u64,
    /// First byte that is wanted.
    pub offset: u64,
}

/// A part of a packed configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// Version of the configuration; a newer one than was asked for begins at its first byte.
    pub version: u64,
    /// Size of the whole, bytes.
    pub size: u64,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    pub bytes: bytes::Bytes,
}
