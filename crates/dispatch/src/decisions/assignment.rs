//! Tasks of a job that are assigned to one scheduler, or wait for one, as their entry tracks them.

use state::name;

use crate::{
    decisions::view::View,
    messages::{claim, share, time},
};

/// Largest number of former schedulers' sets of upstreams in a handover; a single [`UNKNOWN_SET`]
/// replaces more of them.
const MAX_FORMER_SETS: usize = 4;
/// Run numbers of a task that are set aside for each scheduler that may start it: far more than it
/// can start before its client gives up.
const ATTEMPTS_PER_SCHEDULER: u32 = 1 << 16;
/// A digest that matches no set: the next scheduler waits until no run of the former ones can be
/// left.
const UNKNOWN_SET: u64 = u64::MAX;

/// Tasks of a job that one scheduler has at a time.
#[derive(Debug)]
pub(crate) struct Assignment {
    /// Number of the last handover, or a number that was never used; it is unique among the parts
    /// of the job.
    pub(crate) number: u64,
    pub(crate) share: share::Share,
    pub(crate) claim: Option<claim::Claim>,
    /// Time of the last message in which the entry informed the scheduler that it awaits the tasks.
    pub(crate) last_asked: u64,
    /// Whether the tasks were handed over to a scheduler that may have started some of them.
    pub(crate) handed_over: bool,
    /// Whether another scheduler may have started some of the tasks.
    pub(crate) resumed: bool,
    /// Highest number that earlier schedulers may have used for runs of the tasks.
    pub(crate) used_attempts: u32,
    /// Whether the scheduler does not know the handover.
    pub(crate) disowned: bool,
    /// Digest of the upstreams that the scheduler reported last.
    pub(crate) last_digest: u64,
    /// Digests that the schedulers which had the tasks before reported last.
    pub(crate) former_digests: smallvec::SmallVec<[u64; 2]>,
    /// When the scheduler was lost; `None` while it is alive and its claim is current.
    pub(crate) lost_since: Option<u64>,
    /// Zone where some of the tasks may run; no scheduler of another zone may have them.
    pub(crate) pinned_zone: Option<name::Name>,
    /// Zones that had no room for these tasks.
    pub(crate) full_zones: smallvec::SmallVec<[name::Name; 4]>,
}

/// Action that is due for an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    Nothing,
    /// The entry has to inform the scheduler that it still awaits the tasks.
    Refresh,
    /// The entry has to hand the tasks over.
    HandOver,
}

impl Assignment {
    /// Creates an assignment of tasks that no scheduler has.
    pub(crate) fn new(number: u64, share: share::Share, now: u64) -> Self {
        Self {
            number,
            share,
            claim: None,
            last_asked: now,
            handed_over: false,
            resumed: false,
            used_attempts: 0,
            disowned: false,
            last_digest: 0,
            former_digests: smallvec::SmallVec::new(),
            lost_since: None,
            pinned_zone: None,
            full_zones: smallvec::SmallVec::new(),
        }
    }

    /// Whether this scheduler has the tasks.
    pub(crate) fn is_with(&self, holder: &name::Name) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.holder == *holder)
    }

    /// Updates the assignment for the present time and returns the action that is due. The entry
    /// asks the scheduler about the tasks every `interval` microseconds. When `expiry` microseconds
    /// have passed since it lost the scheduler, no run of the tasks is left there.
    pub(crate) fn tick(&mut self, view: View<'_>, interval: u64, expiry: u64) -> Due {
        let now = view.now;
        if let Some(digest) = self.claim.as_ref().and_then(|claim| view.reported_digest(claim)) {
            self.last_digest = digest;
        }
        if std::mem::take(&mut self.disowned) {
            self.reclaim();
        }
        if self.lost_since.is_some_and(|lost| now >= lost + expiry) {
            self.reclaim();
            self.pinned_zone = None;
        }
        let Some(claim) = &self.claim else { return Due::HandOver };
        if view.is_current(claim) {
            self.lost_since = None;
            let due = now >= self.last_asked + interval;
            self.last_asked = if due { now } else { self.last_asked };
            return if due { Due::Refresh } else { Due::Nothing };
        }
        self.lost_since.get_or_insert(now);
        let next = view.claims.of(&claim.zone);
        if next.is_some_and(|next| next != claim && view.membership.is_holder_alive(next, now)) {
            self.reclaim();
            return Due::HandOver;
        }
        Due::Nothing
    }

    /// Takes the tasks back from their scheduler; some runs may still be in progress.
    fn reclaim(&mut self) {
        self.resumed = true;
        if self.claim.take().is_some() {
            self.add_former(self.last_digest);
            self.skip_attempts();
        }
    }

    /// Records the set of upstreams of a scheduler that had some of the tasks before.
    fn add_former(&mut self, set: u64) {
        if self.former_digests.contains(&set) {
            return;
        }
        if self.former_digests.len() < MAX_FORMER_SETS {
            self.former_digests.push(set);
        } else {
            self.former_digests = smallvec::smallvec![UNKNOWN_SET];
        }
    }

    /// Sets aside the run numbers that the last scheduler may have used.
    pub(crate) fn skip_attempts(&mut self) {
        self.used_attempts = self.used_attempts.saturating_add(ATTEMPTS_PER_SCHEDULER);
    }

    /// Records that the scheduler returned all tasks and that none of them runs there.
    pub(crate) fn mark_returned(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.full_zones.push(claim.zone);
        }
        self.pinned_zone = None;
        self.handed_over = self.resumed;
    }

    /// Creates a separate assignment for tasks of this one that their scheduler returned.
    pub(crate) fn split(&self, number: u64, tasks: share::Tasks, now: u64) -> Self {
        let mut full_zones = self.full_zones.clone();
        full_zones.extend(self.claim.as_ref().map(|claim| claim.zone.clone()));
        let used_attempts = self.used_attempts;
        Self { used_attempts, full_zones, ..Self::new(number, share::Share::new(tasks), now) }
    }

    /// Merges the tasks of an assignment that goes to the same scheduler.
    pub(crate) fn join(&mut self, other: Self) {
        self.share.add(&other.share);
        self.resumed |= other.resumed;
        self.used_attempts = self.used_attempts.max(other.used_attempts);
        self.full_zones = other.full_zones;
        for set in other.former_digests {
            self.add_former(set);
        }
    }

    /// Time since the entry last informed a scheduler that it awaits the tasks, milliseconds.
    pub(crate) fn since_asked(&self, now: u64) -> u64 {
        now.saturating_sub(self.last_asked) / time::MS
    }
}
