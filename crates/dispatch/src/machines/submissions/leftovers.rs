//! Where tasks of a job may be left that were handed over before it is started anew.

use std::fmt;

use state::name;

use crate::{
    decisions::assignment::Assignment,
    machines::sched,
    messages::{parts::Parts, reservation::Zones, time},
};

/// The last word of an entry to the schedulers that had tasks of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastWord {
    /// When an entry last asked for the tasks at the latest, microseconds.
    pub(super) asked: u64,
    /// The last number that this entry has given to a handover or a probe.
    pub(super) number: u64,
    /// Whether schedulers of some parts of a zone only may have found runs of the tasks.
    pub(super) is_split: bool,
}

/// Tasks of a job that may be left at upstreams, whichever entry has handed them over.
#[derive(Clone, Debug, Default)]
pub(super) struct Leftovers {
    zones: smallvec::SmallVec<[Zone; 2]>,
    /// Set if tasks may be left in any zone.
    elsewhere: Option<LastWord>,
}

#[derive(Clone, Debug)]
struct Zone {
    name: name::Name,
    /// The parts that may have tasks.
    parts: Parts,
    last: LastWord,
}

impl LastWord {
    fn merge(&mut self, other: Self) {
        self.asked = self.asked.max(other.asked);
        self.number = self.number.max(other.number);
        self.is_split |= other.is_split;
    }

    /// Whether no task is left, even if no scheduler can be asked.
    fn is_over(self, now: u64) -> bool {
        let wait = if self.is_split { sched::SPLIT_RUN_TIMEOUT } else { sched::FORMER_RUN_TIMEOUT };
        now >= self.asked + wait
    }
}

impl Leftovers {
    /// Adds tasks in a zone.
    pub(super) fn add(&mut self, zone: &name::Name, last: LastWord) {
        match self.zones.iter_mut().find(|known| known.name == *zone) {
            Some(known) => {
                known.parts = Parts::ALL;
                known.last.merge(last);
            }
            None => self.zones.push(Zone { name: zone.clone(), parts: Parts::ALL, last }),
        }
    }

    /// Adds the tasks of a part that a scheduler may have started. `number` is the last number that
    /// the entry has given to a handover or a probe.
    pub(super) fn add_part(&mut self, part: &Assignment, number: u64) {
        if let Some(zone) = &part.pinned_zone {
            self.add(zone, LastWord { asked: part.last_asked, number, is_split: part.split });
        }
    }

    /// Adds tasks in these zones, or in any zone for `None`.
    pub(super) fn add_all(&mut self, zones: Option<&Zones>, last: LastWord) {
        match (zones, &mut self.elsewhere) {
            (Some(zones), _) => zones.iter().for_each(|zone| self.add(zone, last)),
            (None, Some(known)) => known.merge(last),
            (None, unknown) => *unknown = Some(last),
        }
    }

    /// Replaces "any zone" by the zones that are known, and removes tasks that are over. `is_split`
    /// says whether several instances schedule the parts of a zone.
    pub(super) fn resolve<'a>(
        &mut self,
        known: impl Iterator<Item = &'a name::Name>,
        is_split: bool,
        now: u64,
    ) {
        if let Some(last) = self.elsewhere.take() {
            known.for_each(|zone| self.add(zone, last));
        }
        for zone in &mut self.zones {
            zone.last.is_split |= is_split;
        }
        self.zones.retain(|zone| !zone.last.is_over(now));
    }

    /// Records the answer to the probe with this number: no task is left in these parts of a zone.
    pub(super) fn remove(&mut self, zone: &name::Name, parts: Parts, number: u64) {
        for known in self.zones.iter_mut().filter(|known| known.name == *zone) {
            // An earlier probe may have overtaken the tasks.
            if number > known.last.number {
                known.parts = known.parts.minus(parts);
            }
        }
        self.zones.retain(|zone| !zone.parts.is_empty());
    }

    /// Whether no task is left.
    pub(super) fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.elsewhere.is_none()
    }

    /// The known zones, with the parts that may have tasks.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&name::Name, Parts)> {
        self.zones.iter().map(|zone| (&zone.name, zone.parts))
    }

    /// The shortest time since an entry asked for one of the tasks, milliseconds.
    pub(super) fn age(&self, now: u64) -> u64 {
        let words = self.zones.iter().map(|zone| zone.last).chain(self.elsewhere);
        let last = words.map(|last| last.asked).max().unwrap_or(0);
        now.saturating_sub(last) / time::MS
    }

    /// The zones; `None` stands for any zone.
    pub(super) fn zones(&self) -> Option<Zones> {
        let names = || self.zones.iter().map(|zone| zone.name.clone()).collect();
        self.elsewhere.is_none().then(names)
    }
}

impl fmt::Display for Leftovers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("in")?;
        self.zones.iter().try_for_each(|zone| write!(f, " {}", zone.name))?;
        self.elsewhere.iter().try_for_each(|_| f.write_str(" any zone"))
    }
}
