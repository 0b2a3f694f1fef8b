//! Slot shares: how many of an upstream's slots this instance may use, and the slot loans between
//! instances.
//!
//! A share depends only on the zone's membership, so a steady state needs no messages. Instances
//! lend idle slots on request. The borrower counts the loan's time limit from its request, so a
//! grant that arrives late leaves less time to use the slots, never more.

use std::collections;

use state::{id, name};

use crate::time;

/// The borrower starts no task on a borrowed slot later than this after its request, microseconds.
pub const BORROW_PERIOD: u64 = 5_000 * time::MS;
/// The lender reclaims a slot without a message this long after it lent the slot, microseconds.
pub const RECLAIM_DELAY: u64 = 10_000 * time::MS;

/// Number of slots of one upstream that the instance at `rank` of `count` may use.
///
/// The shares of all ranks add up to `slots`. If they cannot be equal, some ranks get one slot more
/// than the others; which ranks these are depends on the upstream.
pub fn share(upstream: &str, slots: u32, rank: u32, count: u32) -> u32 {
    if count == 0 {
        return 0;
    }
    let offset = id::name_hash(upstream) % count;
    let position = (rank + count - offset) % count;
    slots / count + u32::from(position < slots % count)
}

/// Slots lent to one zone peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Lent {
    to: name::Name,
    upstream: name::Name,
    slots: u32,
    until: u64,
}

/// Slots borrowed from one zone peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Borrowed {
    from: name::Name,
    upstream: name::Name,
    slots: u32,
    until: u64,
}

/// Slots that one instance has lent and borrowed.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
}

impl Loans {
    /// Creates an empty set of loans.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of slots of an upstream that this instance has lent to zone peers.
    pub fn lent(&self, upstream: &name::Name) -> u32 {
        self.lent.iter().filter(|loan| loan.upstream == *upstream).map(|loan| loan.slots).sum()
    }

    /// Number of slots of an upstream that this instance has borrowed and may still use.
    pub fn borrowed(&self, upstream: &name::Name, now: u64) -> u32 {
        let usable = |loan: &&Borrowed| loan.upstream == *upstream && now < loan.until;
        self.borrowed.iter().filter(usable).map(|loan| loan.slots).sum()
    }

    /// Total number of borrowed slots, on all upstreams.
    pub fn total_borrowed(&self) -> u32 {
        self.borrowed.iter().map(|loan| loan.slots).sum()
    }

    /// Records slots lent to a zone peer.
    pub fn lend(&mut self, to: &name::Name, upstream: &name::Name, slots: u32, now: u64) {
        let (to, upstream) = (to.clone(), upstream.clone());
        self.lent.push(Lent { to, upstream, slots, until: now + RECLAIM_DELAY });
    }

    /// Records slots borrowed from a zone peer; `requested_at` is the time of the request.
    pub fn borrow(
        &mut self,
        from: &name::Name,
        upstream: &name::Name,
        slots: u32,
        requested_at: u64,
    ) {
        let (from, upstream) = (from.clone(), upstream.clone());
        self.borrowed.push(Borrowed { from, upstream, slots, until: requested_at + BORROW_PERIOD });
    }

    /// Number of slots borrowed from a zone peer on the upstreams for which `covers` returns true.
    pub fn borrowed_from(&self, from: &name::Name, covers: impl Fn(&name::Name) -> bool) -> u32 {
        let from = self.borrowed.iter().filter(|loan| loan.from == *from);
        from.filter(|loan| covers(&loan.upstream)).map(|loan| loan.slots).sum()
    }

    /// Reclaims slots lent to a zone peer beyond the `borrowed` slots that it reports, latest loans
    /// first.
    pub fn reconcile(
        &mut self,
        to: &name::Name,
        borrowed: u32,
        covers: impl Fn(&name::Name) -> bool,
    ) {
        let mut left = borrowed;
        for loan in self.lent.iter_mut().filter(|l| l.to == *to && covers(&l.upstream)) {
            loan.slots = loan.slots.min(left);
            left -= loan.slots;
        }
        self.lent.retain(|loan| loan.slots > 0);
    }

    /// Records that a zone peer has returned slots.
    pub fn take_back(&mut self, by: &name::Name, upstream: &name::Name, slots: u32) {
        let mut left = slots;
        for loan in self.lent.iter_mut().filter(|l| l.to == *by && l.upstream == *upstream) {
            let part = left.min(loan.slots);
            loan.slots -= part;
            left -= part;
        }
        self.lent.retain(|loan| loan.slots > 0);
    }

    /// Removes the borrowed slots that are idle, as many per upstream as `idle` returns, and
    /// returns them by lender. Expired loans whose slots are in use stay until the slots are idle.
    pub fn return_idle(
        &mut self,
        mut idle: impl FnMut(&name::Name) -> u32,
    ) -> collections::BTreeMap<name::Name, Vec<(name::Name, u32)>> {
        let mut returns = collections::BTreeMap::<_, Vec<_>>::new();
        let mut spare = collections::BTreeMap::new();
        for loan in &mut self.borrowed {
            let left = spare.entry(loan.upstream.clone()).or_insert_with(|| idle(&loan.upstream));
            let part = loan.slots.min(*left);
            *left -= part;
            loan.slots -= part;
            if part > 0 {
                let list = returns.entry(loan.from.clone()).or_default();
                list.push((loan.upstream.clone(), part));
            }
        }
        self.borrowed.retain(|loan| loan.slots > 0);
        returns
    }

    /// Removes expired loans: lent slots at their time limit, borrowed ones `RECLAIM_DELAY` later.
    pub fn reclaim(&mut self, now: u64) {
        self.lent.retain(|loan| now < loan.until);
        self.borrowed.retain(|loan| now < loan.until + RECLAIM_DELAY);
    }

    /// Removes all loans with instances for which `is_member` returns false.
    pub fn retain_members(&mut self, is_member: impl Fn(&name::Name) -> bool) {
        self.lent.retain(|loan| is_member(&loan.to));
        self.borrowed.retain(|loan| is_member(&loan.from));
    }
}
