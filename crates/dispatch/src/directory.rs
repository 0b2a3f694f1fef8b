//! Which upstreams of its zone an instance knew at which time.
//!
//! Sets of upstreams are told by a digest. A scheduler starts an entry's tasks only at upstreams of
//! a set whose digest the entry has told it. The entry tells that digest when it hands the job to
//! another scheduler, which so knows whether it has heard of every upstream where a task may run.

use std::collections;

use state::name;

/// So many former sets are known by their digest. After a restart of everything a zone of a thousand
/// upstreams hears of all of them within 1.5 s, and of a hundred between a heartbeat and its answer;
/// 16 KB in all.
const KEPT: usize = 1_024;

/// The upstreams of one zone, as a number that rises with each one that is added.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    added: collections::BTreeMap<name::Name, u64>,
    count: u64,
    digest: u64,
    former: collections::VecDeque<(u64, u64)>,
}

impl Directory {
    /// An upstream is there.
    pub fn add(&mut self, id: &name::Name) {
        if self.added.contains_key(id) {
            return;
        }
        self.count += 1;
        self.added.insert(id.clone(), self.count);
        self.change(id);
    }

    /// An upstream is gone. Without `last` something may run there that others know of: no former
    /// set with it counts as covered any more.
    pub fn remove(&mut self, id: &name::Name, last: bool) {
        if self.added.remove(id).is_none() {
            return;
        }
        if !last {
            self.former.clear();
        }
        self.change(id);
    }

    fn change(&mut self, id: &name::Name) {
        self.digest ^= xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
        self.former.push_back((self.digest, self.count));
        if self.former.len() > KEPT {
            self.former.pop_front();
        }
    }

    /// How many upstreams there are.
    pub fn len(&self) -> usize {
        self.added.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
    }

    /// Digest of the present set; 0 for none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The number up to which upstreams are in the set with this digest, if that is a present or
    /// former one: each of it is known here, or gone for good.
    pub fn find(&self, digest: u64) -> Option<u64> {
        let found = self.former.iter().rev().find(|(other, _)| *other == digest);
        found.map(|(_, count)| *count).or((digest == 0).then_some(0))
    }

    /// The number of an upstream.
    pub fn number(&self, id: &name::Name) -> Option<u64> {
        self.added.get(id).copied()
    }
}
