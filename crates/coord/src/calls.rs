//! Outstanding calls to other instances.

use std::collections;

use state::{id, name};

use crate::{
    message::{Spec, Verdict},
    waiter::Waiter,
};

/// A submission that is being forwarded to its home zone.
#[derive(Clone, Debug)]
pub(crate) struct Forwarded {
    pub(crate) spec: Spec,
    /// Instances to which the submission has been sent so far.
    pub(crate) tried: Vec<name::Name>,
    /// Whether one of these instances timed out and may be running the job.
    pub(crate) may_run: bool,
    /// Verdict of the last instance that refused the submission because it is shutting down.
    pub(crate) refusal: Option<Verdict>,
}

#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    /// A submission that is forwarded to its home zone.
    Forward(Box<Forwarded>),
    /// A job of this zone that runs in another zone.
    Execute,
    /// A wait for the verdict of a job from its owner.
    Await,
    /// A request for cached answers; holds the number of zone peers that have not replied.
    Fetch(usize),
    /// A request for the state or the cancellation of a job, to another zone or to its owner.
    Query,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) waiter: Waiter,
    pub(crate) kind: CallKind,
    pub(crate) job: id::JobId,
    pub(crate) to: name::Name,
    /// When the call was sent, microseconds.
    pub(crate) sent_at: u64,
    /// When the call expires, microseconds.
    pub(crate) until: u64,
    /// When the journal first held the end of the job, microseconds.
    pub(crate) ended_at: Option<u64>,
}

/// Outstanding calls by number.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub(crate) map: collections::BTreeMap<u64, Call>,
    /// Number of the latest call.
    pub(crate) last_number: u64,
    /// When this instance last sent pings to the receivers of calls, microseconds.
    pub(crate) pinged_at: u64,
}

impl Calls {
    /// Creates an empty table. Call numbers start from the incarnation, so that an answer to an
    /// earlier incarnation of this instance never matches another call.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self { last_number: incarnation << 32, ..Self::default() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn add(&mut self, call: Call) -> u64 {
        self.last_number += 1;
        self.map.insert(self.last_number, call);
        self.last_number
    }

    /// Records that the journal holds the end of a job, in every call about that job.
    pub(crate) fn record_end(&mut self, job: &id::JobId, now: u64) {
        for call in self.map.values_mut().filter(|call| call.job == *job) {
            call.ended_at.get_or_insert(now);
        }
    }
}
