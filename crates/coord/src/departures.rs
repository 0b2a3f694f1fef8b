//! The members of a group that are about to end, as they have announced.

use std::collections;

use state::name;

use crate::time;

/// Interval at which a member that leaves says so, in microseconds.
const INTERVAL: u64 = 200 * time::MS;
/// Time after its last announcement from which the acknowledgements of a member show that it has come
/// back, in microseconds: two intervals.
const RETURN_DELAY: u64 = 2 * INTERVAL;
/// How long an announcement counts, in microseconds: after that the silence of the member tells.
const RETENTION: u64 = 3_000 * time::MS;

/// The announcements of other members, and that of this one.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// When each member last announced that it leaves.
    announced: collections::BTreeMap<name::Member, u64>,
    /// Since when this member leaves.
    since: Option<u64>,
    next_announcement: u64,
}

impl Departures {
    /// Records that a member leaves.
    pub(crate) fn record(&mut self, member: &name::Member, now: u64) {
        self.announced.retain(|_, at| now < *at + RETENTION);
        self.announced.insert(member.clone(), now);
    }

    /// Whether a member leaves or has left. It has come back if it has acknowledged a message that
    /// the leader sent at `acked_at`, some time after the last announcement.
    pub(crate) fn has(&self, member: &name::Member, acked_at: u64, now: u64) -> bool {
        self.announced
            .get(member)
            .is_some_and(|at| now < at + RETENTION && acked_at < at + RETURN_DELAY)
    }

    /// Records that this member leaves from now on.
    pub(crate) fn begin(&mut self, now: u64) {
        self.since.get_or_insert(now);
    }

    /// Since when this member leaves.
    pub(crate) fn since(&self) -> Option<u64> {
        self.since
    }

    /// Whether this member has to announce that it leaves. If so, the announcement counts as made.
    pub(crate) fn is_due(&mut self, now: u64) -> bool {
        let is_due = self.since.is_some() && now >= self.next_announcement;
        if is_due {
            self.next_announcement = now + INTERVAL;
        }
        is_due
    }
}
