//! Tasks of a job that are with one scheduler, or wait for one, as their entry sees them.

use state::name;

use crate::{claim, share, time, view::View};

/// So many former schedulers' sets of upstreams are told; with more, [`UNKNOWN`] stands for them.
const FORMER_SETS: usize = 4;
/// A digest of no set: the next scheduler waits until nothing of the former ones can run.
const UNKNOWN: u64 = u64::MAX;

/// Tasks of a job that are with one scheduler at a time.
#[derive(Debug)]
pub(crate) struct Assignment {
    /// Number of its last hand-over, or one that was never used: no other part has it.
    pub(crate) number: u64,
    pub(crate) share: share::Share,
    pub(crate) with: Option<claim::Claim>,
    /// When the scheduler was last told that the entry waits.
    pub(crate) asked: u64,
    /// Whether it was handed to a scheduler that may have started something of it.
    pub(crate) given: bool,
    /// Whether another scheduler may have started tasks of it.
    pub(crate) resumed: bool,
    /// The scheduler does not know it.
    pub(crate) disowned: bool,
    /// Digest of the upstreams that the scheduler told last.
    pub(crate) told: u64,
    /// The same of those that had it before.
    pub(crate) former: smallvec::SmallVec<[u64; 2]>,
    /// Since when the scheduler is not heard.
    pub(crate) lost: Option<u64>,
    /// Zone where tasks of it may run; no other scheduler may have it.
    pub(crate) pin: Option<name::Name>,
    /// Zones that had no room for these tasks.
    pub(crate) tried: smallvec::SmallVec<[name::Name; 4]>,
}

/// What time asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    Nothing,
    /// The scheduler is to be told that the entry waits.
    Ask,
    /// It is to be handed over.
    Give,
}

impl Assignment {
    /// Tasks that no scheduler has.
    pub(crate) fn new(number: u64, share: share::Share, now: u64) -> Self {
        Self {
            number,
            share,
            with: None,
            asked: now,
            given: false,
            resumed: false,
            disowned: false,
            told: 0,
            former: smallvec::SmallVec::new(),
            lost: None,
            pin: None,
            tried: smallvec::SmallVec::new(),
        }
    }

    /// Whether this scheduler has it.
    pub(crate) fn is_with(&self, holder: &name::Name) -> bool {
        self.with.as_ref().is_some_and(|claim| claim.holder == *holder)
    }

    /// Lets time pass. A scheduler is asked about it each `ask` microseconds, and `dropped` after it
    /// was lost nothing of it runs there any more.
    pub(crate) fn tick(&mut self, view: View<'_>, ask: u64, dropped: u64) -> Due {
        let now = view.now;
        if let Some(told) = self.with.as_ref().and_then(|claim| view.told(claim)) {
            self.told = told;
        }
        if std::mem::take(&mut self.disowned) {
            self.resume();
        }
        if self.lost.is_some_and(|lost| now >= lost + dropped) {
            self.resume();
            self.pin = None;
        }
        let Some(claim) = &self.with else { return Due::Give };
        if view.is_current(claim) {
            self.lost = None;
            let due = now >= self.asked + ask;
            self.asked = if due { now } else { self.asked };
            return if due { Due::Ask } else { Due::Nothing };
        }
        self.lost.get_or_insert(now);
        let next = view.claims.of(&claim.zone);
        if next.is_some_and(|next| next != claim && view.membership.holds(next, now)) {
            self.resume();
            return Due::Give;
        }
        Due::Nothing
    }

    /// Takes the tasks back from their scheduler; some may run on.
    fn resume(&mut self) {
        self.resumed = true;
        if self.with.take().is_some() {
            self.add_former(self.told);
        }
    }

    /// Notes the set of upstreams of a scheduler that had some of it before.
    fn add_former(&mut self, set: u64) {
        if self.former.contains(&set) {
            return;
        }
        if self.former.len() < FORMER_SETS {
            self.former.push(set);
        } else {
            self.former = smallvec::smallvec![UNKNOWN];
        }
    }

    /// Notes that its scheduler gave all of it back: nothing of it runs there.
    pub(crate) fn returned(&mut self) {
        if let Some(claim) = self.with.take() {
            self.tried.push(claim.zone);
        }
        self.pin = None;
        self.given = self.resumed;
    }

    /// The tasks of another part that its scheduler gave back.
    pub(crate) fn split(&self, number: u64, tasks: share::Tasks, now: u64) -> Self {
        let mut tried = self.tried.clone();
        tried.extend(self.with.as_ref().map(|claim| claim.zone.clone()));
        Self { tried, ..Self::new(number, share::Share::new(tasks), now) }
    }

    /// Takes in the tasks of a part that goes to the same scheduler.
    pub(crate) fn join(&mut self, other: Self) {
        self.share.add(&other.share);
        self.resumed |= other.resumed;
        self.tried = other.tried;
        for set in other.former {
            self.add_former(set);
        }
    }

    /// Time since a scheduler that had it was last told that the entry waits, milliseconds.
    pub(crate) fn parted(&self, now: u64) -> u64 {
        now.saturating_sub(self.asked) / time::MS
    }
}
