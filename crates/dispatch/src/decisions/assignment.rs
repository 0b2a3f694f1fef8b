//! Tasks of a job that are assigned to one scheduler, or wait for one, as their entry tracks them.

use state::name;

use crate::{
    decisions::view::View,
    messages::{claim, message::FormerSet, parts, share, time},
};

/// Largest number of former schedulers' sets of upstreams in a handover; a single [`UNKNOWN_SET`]
/// replaces more of them.
const MAX_FORMER_SETS: usize = 4;
/// Run numbers of a task that are set aside for each scheduler that may start it: far more than it
/// can start before its client gives up.
const ATTEMPTS_PER_SCHEDULER: u32 = 1 << 16;
/// A digest that matches no set: the next scheduler waits until no run of the former ones can be
/// left.
const UNKNOWN_SET: FormerSet =
    FormerSet { digest: u64::MAX, parts: parts::Parts::ALL, epoch: u64::MAX };

/// Tasks of a job that one scheduler has at a time.
#[expect(clippy::struct_excessive_bools, reason = "independent facts, not states of one thing")]
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
    /// The upstreams that the schedulers which had the tasks before reported last.
    pub(crate) former_sets: smallvec::SmallVec<[FormerSet; 2]>,
    /// Whether schedulers of some parts of a zone only may have found runs of the tasks.
    pub(crate) split: bool,
    /// When the scheduler was lost; `None` while it is alive and its claim is current.
    pub(crate) lost_since: Option<u64>,
    /// Zone where some of the tasks may run; no scheduler of another zone may have them.
    pub(crate) pinned_zone: Option<name::Name>,
    /// Schedulers that had no room for these tasks: zone and holder.
    pub(crate) full_seats: smallvec::SmallVec<[Seat; 4]>,
    /// Schedulers whose upstreams cannot hold these tasks even when idle.
    pub(crate) small_seats: smallvec::SmallVec<[Seat; 2]>,
}

/// Times by which an entry handles its assignments, microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Interval at which the entry informs a scheduler that it awaits the tasks.
    pub(crate) interval: u64,
    /// Time after the loss of a scheduler when no run of the tasks is left there.
    pub(crate) expiry: u64,
    /// The same where schedulers of some parts of the zone only may have found runs.
    pub(crate) split_expiry: u64,
}

/// A zone and an instance that schedules it or parts of it.
pub(crate) type Seat = (name::Name, name::Name);

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
            former_sets: smallvec::SmallVec::new(),
            split: false,
            lost_since: None,
            pinned_zone: None,
            full_seats: smallvec::SmallVec::new(),
            small_seats: smallvec::SmallVec::new(),
        }
    }

    /// Whether this scheduler has the tasks.
    pub(crate) fn is_with(&self, holder: &name::Name) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.holder == *holder)
    }

    /// Updates the assignment for the present time and returns the action that is due.
    pub(crate) fn tick(&mut self, view: View<'_>, limits: Limits) -> Due {
        let now = view.now;
        if let Some(digest) = self.claim.as_ref().and_then(|claim| view.reported_digest(claim)) {
            self.last_digest = digest;
        }
        if std::mem::take(&mut self.disowned) {
            self.reclaim();
        }
        let expiry = if self.split { limits.split_expiry } else { limits.expiry };
        if self.lost_since.is_some_and(|lost| now >= lost + expiry) {
            self.reclaim();
            self.pinned_zone = None;
        }
        let Some(claim) = &self.claim else { return Due::HandOver };
        if view.is_current(claim) {
            self.lost_since = None;
            let due = now >= self.last_asked + limits.interval;
            self.last_asked = if due { now } else { self.last_asked };
            return if due { Due::Refresh } else { Due::Nothing };
        }
        self.lost_since.get_or_insert(now);
        self.split |= view.is_split(&claim.zone);
        // The holders of other parts do not schedule the upstreams where the tasks may run.
        let is_next = |next: &&claim::Claim| {
            next.parts.overlaps(claim.parts)
                && *next != claim
                && view.membership.is_holder_alive(next, now)
        };
        if view.claims.of_zone(&claim.zone).any(|next| is_next(&next)) {
            self.reclaim();
            return Due::HandOver;
        }
        Due::Nothing
    }

    /// Takes the tasks back from their scheduler; some runs may still be in progress.
    fn reclaim(&mut self) {
        self.resumed = true;
        if let Some(claim) = self.claim.take() {
            self.add_former(FormerSet {
                digest: self.last_digest,
                parts: claim.parts,
                epoch: claim.epoch,
            });
            self.skip_attempts();
        }
    }

    /// Whether this scheduler had no room for the tasks. One scheduler of a whole zone speaks for
    /// the next one, too.
    pub(crate) fn was_full(&self, claim: &claim::Claim) -> bool {
        is_listed(&self.full_seats, claim)
    }

    /// Whether this scheduler has refused the tasks because its upstreams cannot hold them even
    /// when idle.
    pub(crate) fn is_too_large(&self, claim: &claim::Claim) -> bool {
        is_listed(&self.small_seats, claim)
    }

    /// Whether the holder of a claim schedules all parts where the tasks may run.
    pub(crate) fn is_covered(&self, claim: &claim::Claim) -> bool {
        self.former_sets.iter().all(|set| claim.parts.covers(set.parts))
    }

    /// Records the set of upstreams of a scheduler that had some of the tasks before.
    fn add_former(&mut self, set: FormerSet) {
        if self.former_sets.contains(&set) {
            return;
        }
        if self.former_sets.len() < MAX_FORMER_SETS {
            self.former_sets.push(set);
        } else {
            self.former_sets = smallvec::smallvec![UNKNOWN_SET];
        }
    }

    /// Sets aside the run numbers that the last scheduler may have used.
    pub(crate) fn skip_attempts(&mut self) {
        self.used_attempts = self.used_attempts.saturating_add(ATTEMPTS_PER_SCHEDULER);
    }

    /// Records that the scheduler returned all tasks and that none of them runs there.
    pub(crate) fn mark_returned(&mut self) {
        if let Some(seat) = self.release() {
            self.full_seats.push(seat);
        }
    }

    /// Records that the scheduler refused all tasks because its upstreams cannot hold them.
    pub(crate) fn mark_too_large(&mut self) {
        if let Some(seat) = self.release() {
            self.small_seats.push(seat);
        }
    }

    /// Takes the tasks back from their scheduler, which runs none of them.
    fn release(&mut self) -> Option<Seat> {
        self.pinned_zone = None;
        self.handed_over = self.resumed;
        self.claim.take().map(|claim| (claim.zone, claim.holder))
    }

    /// Creates a separate assignment for tasks of this one that their scheduler returned.
    pub(crate) fn split(&self, number: u64, tasks: share::Tasks, now: u64) -> Self {
        let mut full_seats = self.full_seats.clone();
        let seat = |claim: &claim::Claim| (claim.zone.clone(), claim.holder.clone());
        full_seats.extend(self.claim.as_ref().map(seat));
        let (used_attempts, small_seats) = (self.used_attempts, self.small_seats.clone());
        Self {
            used_attempts,
            full_seats,
            small_seats,
            ..Self::new(number, share::Share::new(tasks), now)
        }
    }

    /// Merges the tasks of an assignment that goes to the same scheduler.
    pub(crate) fn join(&mut self, other: Self) {
        self.share.add(&other.share);
        self.resumed |= other.resumed;
        self.used_attempts = self.used_attempts.max(other.used_attempts);
        self.last_asked = self.last_asked.max(other.last_asked);
        self.split |= other.split;
        self.full_seats = other.full_seats;
        for set in other.former_sets {
            self.add_former(set);
        }
    }

    /// Time since the entry last informed a scheduler that it awaits the tasks, milliseconds.
    pub(crate) fn since_asked(&self, now: u64) -> u64 {
        now.saturating_sub(self.last_asked) / time::MS
    }
}

/// Whether these seats include the holder of a claim, or any holder if it claims a whole zone.
fn is_listed(seats: &[Seat], claim: &claim::Claim) -> bool {
    let is_meant = |(zone, holder): &Seat| {
        *zone == claim.zone && (claim.parts.is_all() || *holder == claim.holder)
    };
    seats.iter().any(is_meant)
}
