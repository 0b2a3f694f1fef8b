//! Calls to other instances that have no answer yet.

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
    /// Instances that have received it so far.
    pub(crate) tried: Vec<name::Name>,
    /// Whether one of them timed out and may be running it.
    pub(crate) may_run: bool,
    /// The verdict of the last instance that refused it because of its shutdown.
    pub(crate) refusal: Option<Verdict>,
}

#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    /// A forwarded submission, with the instances tried so far.
    Forward(Box<Forwarded>),
    /// A job of this zone that runs in another zone.
    Execute,
    /// A wait for the verdict of a job from its owner.
    Await,
    /// A request for cached answers; holds the number of neighbours that have not replied.
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
    pub(crate) sent_at: u64,
    pub(crate) until: u64,
    pub(crate) ended_at: Option<u64>,
}

/// Calls without an answer yet.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub(crate) map: collections::BTreeMap<u64, Call>,
    pub(crate) next: u64,
    pub(crate) pinged_at: u64,
}

impl Calls {
    /// Creates an empty table. Call numbers start from the incarnation, so that an answer to an
    /// earlier incarnation of this instance never matches another call.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self { next: incarnation << 32, ..Self::default() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn add(&mut self, call: Call) -> u64 {
        self.next += 1;
        self.map.insert(self.next, call);
        self.next
    }

    /// Records when the journal first held the end of a job.
    pub(crate) fn note_end(&mut self, job: &id::JobId, now: u64) {
        for call in self.map.values_mut().filter(|call| call.job == *job) {
            call.ended_at.get_or_insert(now);
        }
    }
}
