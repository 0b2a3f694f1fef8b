//! The table of upstreams. Announcements update it, and a comparison of digests repairs missed
//! updates.

use std::collections;

use state::name;

use crate::messages::incarnation;

/// Whether an upstream takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Phase {
    /// Accepts tasks.
    Serving,
    /// Finishes its tasks and accepts no new ones.
    Leaving,
    /// This incarnation has ended, or has been unreachable for long.
    Gone,
}

/// The capacity of an upstream, or the need of a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Room {
    /// Processor, thousandths of a core.
    pub cpu: u64,
    /// Memory, megabytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Room {
    /// Whether this room fits into `room` in every resource.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// This room with `other` added.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn most(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// This room without `other`; no resource falls below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// The announced properties of one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Its name and incarnation.
    pub id: incarnation::Incarnation,
    /// Service whose tasks it runs.
    pub service: name::Name,
    /// The address for calls to it, `IP:PORT`.
    pub address: name::Name,
    /// Its availability zone.
    pub zone: name::Name,
    /// Its capacity.
    pub room: Room,
    /// The largest room that this incarnation has announced: a task that fits into it may fit again
    /// later.
    #[serde(default)]
    pub most: Room,
    /// Labels, such as its kind and its rack.
    pub labels: smallvec::SmallVec<[name::Name; 2]>,
    /// Whether it accepts new tasks.
    pub phase: Phase,
    /// Rises with each announcement; [`u64::MAX`] is final.
    pub serial: u64,
}

/// How many incarnations that are gone the table keeps, so that late records about them are
/// ignored. If an upstream is replaced every 300 ms, this covers the last ten minutes.
const MAX_GONE: usize = 2_048;

/// The upstreams that an instance knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: collections::BTreeMap<incarnation::Incarnation, Record>,
    /// The incarnations that are gone, in the order of their ends.
    gone: collections::VecDeque<incarnation::Incarnation>,
    digests: collections::BTreeMap<name::Name, u64>,
    /// Services of which an upstream has stated its start time.
    dated: collections::BTreeSet<name::Name>,
    changes: u64,
}

impl Table {
    /// A counter that rises with each change except for changes of serial numbers.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Upstreams of all zones that are not gone.
    pub fn all_present(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.phase != Phase::Gone)
    }

    /// Merges a record, and returns the record now known of the upstream if it has changed apart
    /// from the serial number.
    pub fn merge(&mut self, record: Record) -> Option<Record> {
        let id = record.id.clone();
        let changed = self.merge_record(record);
        self.records.get(&id).filter(|_| changed).cloned()
    }

    /// Merges a record; returns whether it changes the known record apart from the serial number.
    ///
    /// An old record may still announce a larger room than the known one, where this instance
    /// learned of the upstream later than others.
    fn merge_record(&mut self, mut record: Record) -> bool {
        record.most = record.most.most(record.room);
        if record.id.started != 0 && !self.dated.contains(&record.service) {
            self.dated.insert(record.service.clone());
        }
        let Some(held) = self.records.get_mut(&record.id) else {
            self.digests.remove(&record.zone);
            self.changes += 1;
            if record.phase == Phase::Gone {
                self.remember_gone(&record.id);
            }
            self.records.insert(record.id.clone(), record);
            return true;
        };
        record.most = record.most.most(held.most);
        let larger = record.most != held.most;
        held.most = record.most;
        if (record.serial, record.phase) <= (held.serial, held.phase) {
            return larger;
        }
        let serial = std::mem::replace(&mut held.serial, record.serial);
        let changed = larger || *held != record;
        // Only the last record of an upstream is worth keeping apart from the next one.
        debug_assert!(serial <= record.serial, "serial numbers rise");
        if changed {
            self.changes += 1;
            self.digests.remove(&held.zone);
            self.digests.remove(&record.zone);
        }
        let is_newly_gone = record.phase == Phase::Gone && held.phase != Phase::Gone;
        let id = record.id.clone();
        *held = record;
        if is_newly_gone {
            self.remember_gone(&id);
        }
        changed
    }

    /// Marks an upstream as gone; `last` means that this incarnation never returns.
    pub fn mark_gone(&mut self, id: &incarnation::Incarnation, last: bool) -> Option<Record> {
        let held = self.records.get_mut(id)?;
        self.digests.remove(&held.zone);
        self.changes += 1;
        let is_newly_gone = held.phase != Phase::Gone;
        held.phase = Phase::Gone;
        if last {
            held.serial = u64::MAX;
        }
        let record = held.clone();
        if is_newly_gone {
            self.remember_gone(id);
        }
        Some(record)
    }

    /// Adds an incarnation that is gone, and removes the oldest one if there are too many.
    fn remember_gone(&mut self, id: &incarnation::Incarnation) {
        self.gone.push_back(id.clone());
        if self.gone.len() > MAX_GONE
            && let Some(first) = self.gone.pop_front()
            && self.records.get(&first).is_some_and(|record| record.phase == Phase::Gone)
        {
            self.records.remove(&first);
        }
    }

    /// Whether an announcement states no start time although upstreams of its service do: it does
    /// not tell which incarnation it is about.
    pub fn is_undated(&self, record: &Record) -> bool {
        record.id.started == 0 && self.dated.contains(&record.service)
    }

    /// The incarnation that a withdrawal is about. A withdrawal without a start time may have been
    /// delayed until the upstream has restarted, so that it ends only an incarnation that has
    /// announced its end.
    pub fn withdrawn(&self, id: &incarnation::Incarnation) -> Option<incarnation::Incarnation> {
        if id.started != 0 || self.records.contains_key(id) {
            return Some(id.clone());
        }
        let of_name = self.records.range(incarnation::Incarnation::all_of(&id.name));
        let mut leaving = of_name.filter(|(_, record)| record.phase == Phase::Leaving);
        leaving.next().map(|(id, _)| id.clone())
    }

    /// The record of an upstream.
    pub fn get(&self, id: &incarnation::Incarnation) -> Option<&Record> {
        self.records.get(id)
    }

    /// All upstreams that this instance remembers, including those that are gone.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The upstreams of a zone that are not gone.
    pub fn present<'a>(&'a self, zone: &'a name::Name) -> impl Iterator<Item = &'a Record> {
        self.of_zone(zone).filter(|record| record.phase != Phase::Gone)
    }

    /// All upstreams of a zone, including those that are gone.
    pub fn of_zone<'a>(&'a self, zone: &'a name::Name) -> impl Iterator<Item = &'a Record> {
        self.records.values().filter(move |record| record.zone == *zone)
    }

    /// Digest of the upstreams of a zone that are not gone, without their serial numbers and former
    /// rooms. It covers all other fields: the record of a room that has shrunk may be lost like any
    /// other message.
    pub fn digest(&mut self, zone: &name::Name) -> u64 {
        if let Some(digest) = self.digests.get(zone) {
            return *digest;
        }
        let hash_record = |record: &Record| {
            let Record { id, service, address, room, labels, phase, .. } = record;
            let text = format!("{id} {service} {address} {room:?} {labels:?} {phase:?}");
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        };
        let digest = self.present(zone).map(hash_record).fold(0, |sum, hash| sum ^ hash);
        self.digests.insert(zone.clone(), digest);
        digest
    }
}
