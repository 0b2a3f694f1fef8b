//! What an instance knows of the upstreams of one zone, and its scheduler if this instance is it.

use std::collections;

use state::name;

use crate::{directory, message, sched, upstream};

/// One zone: a keeper knows all of them, an entry its own.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    /// The upstreams of the zone.
    pub(crate) directory: directory::Directory,
    /// Those of them that others gave up while something runs there.
    lingering: collections::BTreeSet<name::Name>,
    pub(crate) sched: Option<sched::Sched>,
    /// Since when upstreams refuse this scheduler's token, and when the last of them did.
    pub(crate) outranked: Option<(u64, u64)>,
}

impl Zone {
    /// Takes news of an upstream.
    pub(crate) fn record(&mut self, record: &upstream::Record) {
        if record.phase == upstream::Phase::Gone {
            // Of one that others gave up, and where this instance has something running, a successor
            // has to know.
            let last = record.serial == u64::MAX;
            if last || !self.is_busy(&record.id) {
                self.directory.remove(&record.id, last);
            } else {
                self.lingering.insert(record.id.clone());
            }
        } else {
            self.directory.add(&record.id);
        }
        let number = self.directory.number(&record.id).unwrap_or(u64::MAX);
        if let Some(sched) = &mut self.sched {
            sched.record(record);
            sched.number(&record.id, number);
        }
    }

    /// Lets this instance schedule the zone, whose upstreams these are.
    pub(crate) fn lead<'a>(
        &mut self,
        mut sched: sched::Sched,
        records: impl Iterator<Item = &'a upstream::Record>,
    ) {
        for record in records {
            sched.record(record);
            sched.number(&record.id, self.directory.number(&record.id).unwrap_or(u64::MAX));
        }
        self.sched = Some(sched);
        self.outranked = None;
    }

    /// Schedules the zone no more.
    pub(crate) fn resign(&mut self) {
        self.outranked = None;
        self.sched = None;
    }

    /// Takes upstreams that others gave up out of the directory once nothing runs there.
    pub(crate) fn drop_lingering(&mut self, is_gone: impl Fn(&name::Name) -> bool) {
        for id in std::mem::take(&mut self.lingering) {
            let gone = is_gone(&id);
            if gone && self.is_busy(&id) {
                self.lingering.insert(id);
            } else if gone {
                self.directory.remove(&id, false);
            }
        }
    }

    /// How full its upstreams are, if this instance schedules it.
    pub(crate) fn load(&self, now: u64) -> Option<message::Load> {
        self.sched.as_ref().map(|sched| sched.load(now))
    }

    /// Whether this instance has something running at an upstream, as its scheduler.
    fn is_busy(&self, id: &name::Name) -> bool {
        let session = self.sched.as_ref().and_then(|sched| sched.sessions.get(id));
        session.is_some_and(|session| !session.runs.is_empty())
    }
}
