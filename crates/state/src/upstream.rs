//! The table of announced upstreams. Each upstream has a lease.

use std::collections;

use crate::name;

/// Lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream accepts tasks.
    #[default]
    Serving,
    /// The upstream finishes its running tasks and accepts no new ones.
    Leaving,
    /// The upstream withdrew its announcement.
    Gone,
}

/// Resource capacity of an upstream, or resource needs of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether these resources fit into `capacity`.
    pub fn fits(&self, capacity: &Self) -> bool {
        self.cores <= capacity.cores
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Returns whether no resources are needed.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Announcement of an upstream.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: name::Name,
    /// Path of the service that the upstream runs.
    pub service: name::Name,
    /// Availability zone of the upstream.
    pub zone: name::Name,
    /// Address of the task port, `IP:PORT`.
    pub address: name::Name,
    /// Number of tasks that the upstream runs concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Resource capacity of the upstream. `None`, if it declared none, means no limit.
    pub capacity: Option<Resources>,
    /// Sequence number of the announcement, by the instance that received it, so that a delayed
    /// message between instances never replaces a newer one.
    pub sequence: u64,
    /// Number that the upstream gave the announcement, which rises with each; 0 without one.
    pub number: u64,
}

impl Upstream {
    /// Returns whether the upstream sent `other` before this announcement, or a copy of the last one
    /// before it withdrew. Without numbers that cannot be told.
    pub fn supersedes(&self, other: &Self) -> bool {
        let is_withdrawn = self.phase == Phase::Gone && self.number == other.number;
        other.number > 0 && (self.number > other.number || is_withdrawn)
    }
}

/// An upstream and the end of its lease.
#[derive(Clone, Debug)]
pub struct Leased {
    /// The announcement.
    pub info: Upstream,
    /// End of the lease, in microseconds of the caller's monotonic clock.
    pub expires: u64,
}

impl Leased {
    /// Returns whether the upstream may get new tasks at `now`.
    pub fn is_open(&self, now: u64) -> bool {
        self.info.phase == Phase::Serving && now < self.expires
    }
}

/// Upstreams by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    map: collections::BTreeMap<name::Name, Leased>,
}

impl Upstreams {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of known upstreams, including those whose lease has expired.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns the upstream with this name.
    pub fn get(&self, name: &str) -> Option<&Leased> {
        self.map.get(name)
    }

    /// Returns all upstreams, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Leased> {
        self.map.values()
    }

    /// Stores an announcement whose lease ends at `until`, and returns whether anything but the
    /// lease changed. An announcement older than the stored one is ignored.
    pub fn put(&mut self, info: Upstream, until: u64) -> bool {
        match self.map.get_mut(&info.name) {
            Some(entry) if entry.info.supersedes(&info) => false,
            Some(entry) if entry.info.sequence > info.sequence && !info.supersedes(&entry.info) => {
                false
            }
            Some(entry) => {
                let (sequence, number) = (info.sequence, info.number);
                let same = Upstream { sequence, number, ..entry.info.clone() } == info;
                entry.expires = entry.expires.max(until);
                entry.info = info;
                !same
            }
            None => {
                self.map.insert(info.name.clone(), Leased { info, expires: until });
                true
            }
        }
    }

    /// Extends a lease without a new announcement. Returns false if the upstream is unknown.
    pub fn renew(&mut self, name: &str, sequence: u64, until: u64) -> bool {
        let Some(entry) = self.map.get_mut(name) else {
            return false;
        };
        if sequence >= entry.info.sequence {
            entry.info.sequence = sequence;
            entry.expires = entry.expires.max(until);
        }
        true
    }

    /// Removes upstreams whose lease ended before `before`, and returns their names.
    pub fn prune(&mut self, before: u64) -> Vec<name::Name> {
        let expired = |l: &&Leased| l.expires < before;
        let names: Vec<_> =
            self.map.values().filter(expired).map(|l| l.info.name.clone()).collect();
        for name in &names {
            self.map.remove(name);
        }
        names
    }
}
