//! The table of upstreams that announced themselves, each under a lease.

use std::collections;

use crate::name;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes work.
    #[default]
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Withdrew its announcement.
    Gone,
}

/// What an upstream can hold, or what a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Needs {
    /// Processor cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Needs {
    /// Whether all of it fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.cores <= room.cores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Whether nothing is asked for.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// An upstream's announcement.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: name::Name,
    /// Path of the service it runs.
    pub service: name::Name,
    /// Availability zone it is in.
    pub zone: name::Name,
    /// Address of its task port, `IP:PORT`.
    pub address: name::Name,
    /// Tasks it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
    /// What it can hold; nothing declared is unbounded.
    pub room: Option<Needs>,
    /// Order of its announcements, so that a late one never replaces a newer one.
    pub stamp: u64,
}

/// An upstream with the end of its lease.
#[derive(Clone, Debug)]
pub struct Leased {
    /// The announcement.
    pub info: Upstream,
    /// When the lease ends, in microseconds of the caller's monotonic clock.
    pub until: u64,
}

impl Leased {
    /// Whether new work may go there at `now`.
    pub fn is_open(&self, now: u64) -> bool {
        self.info.phase == Phase::Serving && now < self.until
    }
}

/// Upstreams by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    map: collections::BTreeMap<name::Name, Leased>,
}

impl Upstreams {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of upstreams known, with a live lease or not.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// The upstream of that name.
    pub fn get(&self, name: &str) -> Option<&Leased> {
        self.map.get(name)
    }

    /// All upstreams, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Leased> {
        self.map.values()
    }

    /// Takes an announcement whose lease ends at `until`; tells whether anything but the lease
    /// has changed. An older announcement than the one held is ignored.
    pub fn put(&mut self, info: Upstream, until: u64) -> bool {
        match self.map.get_mut(&info.name) {
            Some(held) if held.info.stamp > info.stamp => false,
            Some(held) => {
                let same = Upstream { stamp: info.stamp, ..held.info.clone() } == info;
                held.until = held.until.max(until);
                held.info = info;
                !same
            }
            None => {
                self.map.insert(info.name.clone(), Leased { info, until });
                true
            }
        }
    }

    /// Extends a lease without a new announcement; false if the upstream is not known.
    pub fn renew(&mut self, name: &str, stamp: u64, until: u64) -> bool {
        let Some(held) = self.map.get_mut(name) else {
            return false;
        };
        if stamp >= held.info.stamp {
            held.info.stamp = stamp;
            held.until = held.until.max(until);
        }
        true
    }

    /// Drops upstreams whose lease ended before `before` and gives their names.
    pub fn prune(&mut self, before: u64) -> Vec<name::Name> {
        let old = |l: &&Leased| l.until < before;
        let names: Vec<_> = self.map.values().filter(old).map(|l| l.info.name.clone()).collect();
        for name in &names {
            self.map.remove(name);
        }
        names
    }
}
