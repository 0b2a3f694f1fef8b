//! Slot shares: how many of an upstream's slots this instance may use, and the loans between
//! instances.
//!
//! A share follows from the zone's membership alone, so a steady state costs no messages. Idle
//! slots are lent on request, for a bounded time counted from the request, so that a grant that
//! comes late is worth less, never more.

use std::collections;

use state::{id, name};

use crate::time;

/// The borrower starts nothing on a lent slot later than this after it asked, microseconds.
pub const USABLE: u64 = 5_000 * time::MS;
/// The lender takes a slot back by itself this long after it lent it, microseconds.
pub const RECLAIM: u64 = 10_000 * time::MS;

/// Slots of one upstream that the instance at `rank` of `count` may use.
///
/// The shares of all ranks add up to `slots`. Which ranks get one more than the others differs
/// from upstream to upstream.
pub fn share(upstream: &str, slots: u32, rank: u32, count: u32) -> u32 {
    if count == 0 {
        return 0;
    }
    let turn = id::short(upstream) % count;
    let place = (rank + count - turn) % count;
    slots / count + u32::from(place < slots % count)
}

/// Slots lent to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Lent {
    to: name::Name,
    upstream: name::Name,
    slots: u32,
    until: u64,
}

/// Slots borrowed from one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Borrowed {
    from: name::Name,
    upstream: name::Name,
    slots: u32,
    until: u64,
}

/// Loans of one instance, given and taken.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
}

impl Loans {
    /// No loans.
    pub fn new() -> Self {
        Self::default()
    }

    /// Slots of an upstream that are lent to others.
    pub fn lent(&self, upstream: &name::Name) -> u32 {
        self.lent.iter().filter(|loan| loan.upstream == *upstream).map(|loan| loan.slots).sum()
    }

    /// Slots of an upstream that are borrowed from others and may still be used.
    pub fn borrowed(&self, upstream: &name::Name, now: u64) -> u32 {
        let usable = |loan: &&Borrowed| loan.upstream == *upstream && now < loan.until;
        self.borrowed.iter().filter(usable).map(|loan| loan.slots).sum()
    }

    /// All slots borrowed at present.
    pub fn total(&self) -> u32 {
        self.borrowed.iter().map(|loan| loan.slots).sum()
    }

    /// Notes a loan to a peer.
    pub fn lend(&mut self, to: &name::Name, upstream: &name::Name, slots: u32, now: u64) {
        let (to, upstream) = (to.clone(), upstream.clone());
        self.lent.push(Lent { to, upstream, slots, until: now + RECLAIM });
    }

    /// Notes a loan of a peer, asked for at `asked`.
    pub fn borrow(&mut self, from: &name::Name, upstream: &name::Name, slots: u32, asked: u64) {
        let (from, upstream) = (from.clone(), upstream.clone());
        self.borrowed.push(Borrowed { from, upstream, slots, until: asked + USABLE });
    }

    /// Slots borrowed from a peer on the upstreams that `counts` holds for.
    pub fn held(&self, from: &name::Name, counts: impl Fn(&name::Name) -> bool) -> u32 {
        let from = self.borrowed.iter().filter(|loan| loan.from == *from);
        from.filter(|loan| counts(&loan.upstream)).map(|loan| loan.slots).sum()
    }

    /// Takes back what was lent to a peer beyond the slots that it holds, latest loans first.
    pub fn settle(&mut self, to: &name::Name, held: u32, counts: impl Fn(&name::Name) -> bool) {
        let mut left = held;
        for loan in self.lent.iter_mut().filter(|l| l.to == *to && counts(&l.upstream)) {
            loan.slots = loan.slots.min(left);
            left -= loan.slots;
        }
        self.lent.retain(|loan| loan.slots > 0);
    }

    /// A peer gives slots back.
    pub fn returned(&mut self, by: &name::Name, upstream: &name::Name, slots: u32) {
        let mut left = slots;
        for loan in self.lent.iter_mut().filter(|l| l.to == *by && l.upstream == *upstream) {
            let part = left.min(loan.slots);
            loan.slots -= part;
            left -= part;
        }
        self.lent.retain(|loan| loan.slots > 0);
    }

    /// Gives back borrowed slots that `idle` says are not needed, by lender. Expired loans whose
    /// slots are in use are kept until they are idle.
    pub fn give_back(
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

    /// Takes back loans whose time is over.
    pub fn reclaim(&mut self, now: u64) {
        self.lent.retain(|loan| now < loan.until);
        self.borrowed.retain(|loan| now < loan.until + RECLAIM);
    }

    /// Ends all loans with instances that `stays` does not hold for.
    pub fn keep(&mut self, stays: impl Fn(&name::Name) -> bool) {
        self.lent.retain(|loan| stays(&loan.to));
        self.borrowed.retain(|loan| stays(&loan.from));
    }
}
