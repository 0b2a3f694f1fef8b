//! Messages about which entry has which job.

use state::name;

use crate::messages::{job, parts};

/// Zones with tasks of a job.
pub type Zones = smallvec::SmallVec<[name::Name; 2]>;

/// A message between entries, registrars and schedulers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// An entry of this incarnation asks for the right to hand these jobs over, or to keep it. The
    /// answer repeats the number.
    Reserve(u64, u64, Vec<Reservation>),
    /// Of the jobs of the request with this number, those that another entry has. The sender of the
    /// request has the others.
    Reserved(u64, Vec<(name::Name, Holder)>),
    /// A client of the sender awaits these jobs, too, which the receiver has reserved.
    Join(Vec<name::Name>),
    /// The receiver hears of the ends of these jobs.
    Joined(Vec<name::Name>),
    /// No client of the sender awaits the job any more.
    Leave(name::Name),
    /// A job that the receiver has joined ended at the sender, or is not open there.
    Ended(name::Name, JobEnd),
    /// Asks the scheduler of this zone for which of these jobs no task is left at its upstreams. The
    /// answer repeats the number.
    Probe(name::Name, u64, Vec<name::Name>),
    /// No task of these jobs runs, or will be started, at the upstreams in these parts of the zone.
    Absent(name::Name, parts::Parts, u64, Vec<name::Name>),
}

/// A job that an entry reserves.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reservation {
    /// The job.
    pub job: name::Name,
    /// The entry that had it before, if that one is taken to have given it up.
    pub former: Option<FormerEntry>,
}

/// An entry that had reserved a job.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FormerEntry {
    /// The entry.
    pub entry: name::Name,
    /// Whether it has said that the job is not open there; otherwise it only does not answer.
    pub has_ended: bool,
}

/// The entry that has reserved a job.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The entry.
    pub entry: name::Name,
    /// Time since it last reserved the job, milliseconds.
    pub age: u64,
}

/// How a job ended at an entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobEnd {
    /// With this verdict.
    Verdict(job::Verdict),
    /// It was cancelled on request.
    Cancelled,
    /// The entry does not have it. Tasks of it may be left in these zones, or in any zone if the entry
    /// does not know; these were last asked for this long ago, milliseconds.
    NotOpen(Option<Zones>, u64),
}

impl Message {
    /// Short name of the message kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Reserve(..) | Self::Reserved(..) => "reserve",
            Self::Join(_) | Self::Joined(_) | Self::Leave(_) | Self::Ended(..) => "join",
            Self::Probe(..) | Self::Absent(..) => "probe",
        }
    }
}
