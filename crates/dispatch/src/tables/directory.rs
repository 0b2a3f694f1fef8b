//! The upstreams of a zone that an instance knows, with the digests of former sets.
//!
//! A digest identifies a set of upstreams. A scheduler starts an entry's tasks only at upstreams of
//! a set whose digest the entry has sent to it. The entry passes that digest on when it hands the
//! job over to another scheduler, which can thus determine whether it knows every upstream where a
//! task may run.

use std::collections;

use crate::messages::incarnation;

/// Number of digests of former sets that a directory keeps; they take 16 KB in all. After a restart
/// of the whole system, the instances of a zone with a thousand upstreams learn of all of them
/// within 1.5 s, and of a hundred between a heartbeat and its answer.
const MAX_FORMER: usize = 1_024;

/// The upstreams of one zone, numbered in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    added: collections::BTreeMap<incarnation::Incarnation, u64>,
    count: u64,
    digest: u64,
    former: collections::VecDeque<(u64, u64)>,
}

impl Directory {
    /// Adds an upstream.
    pub fn add(&mut self, id: &incarnation::Incarnation) {
        if self.added.contains_key(id) {
            return;
        }
        self.count += 1;
        self.added.insert(id.clone(), self.count);
        self.update_digest(id);
    }

    /// Removes an upstream. Without `last`, tasks that other instances know may still run there:
    /// no former set that contains it counts as covered any more.
    pub fn remove(&mut self, id: &incarnation::Incarnation, last: bool) {
        if self.added.remove(id).is_none() {
            return;
        }
        if !last {
            self.former.clear();
        }
        self.update_digest(id);
    }

    fn update_digest(&mut self, id: &incarnation::Incarnation) {
        self.digest ^=
            xxhash_rust::xxh3::xxh3_64_with_seed(id.name.as_str().as_bytes(), id.started);
        self.former.push_back((self.digest, self.count));
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.added.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
    }

    /// Digest of the current set; 0 for the empty set.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the highest number of an upstream in the set with this digest, if it is the current
    /// set or a former one: each upstream of that set is known here, or gone for good.
    pub fn find(&self, digest: u64) -> Option<u64> {
        let found = self.former.iter().rev().find(|(other, _)| *other == digest);
        found.map(|(_, count)| *count).or((digest == 0).then_some(0))
    }

    /// Returns the number of an upstream.
    pub fn number(&self, id: &incarnation::Incarnation) -> Option<u64> {
        self.added.get(id).copied()
    }
}
