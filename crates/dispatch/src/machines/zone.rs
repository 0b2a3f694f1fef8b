//! The upstreams of one zone that an instance knows, and the scheduler if this instance runs it.

use std::collections;

use crate::{
    machines::sched,
    messages::{incarnation, message, upstream},
    tables::directory,
};

/// State of one zone: a keeper keeps it for all zones, an entry for its own zone.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    /// The upstreams of the zone.
    pub(crate) directory: directory::Directory,
    /// Upstreams that other instances gave up while tasks of this instance run there.
    lingering: collections::BTreeSet<incarnation::Incarnation>,
    pub(crate) sched: Option<sched::Sched>,
    /// When upstreams began to refuse this scheduler's fencing token, and when one last refused it.
    pub(crate) token_refusals: Option<(u64, u64)>,
}

impl Zone {
    /// Applies a new record of an upstream.
    pub(crate) fn apply_record(&mut self, record: &upstream::Record) {
        if record.phase == upstream::Phase::Gone {
            // Other instances gave this upstream up. While this scheduler has tasks running there,
            // a successor has to know of the upstream.
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
            sched.update_upstream(record);
            sched.set_number(&record.id, number);
        }
    }

    /// Starts to schedule the zone; `records` holds its upstreams.
    pub(crate) fn lead<'a>(
        &mut self,
        mut sched: sched::Sched,
        records: impl Iterator<Item = &'a upstream::Record>,
    ) {
        for record in records {
            sched.update_upstream(record);
            sched.set_number(&record.id, self.directory.number(&record.id).unwrap_or(u64::MAX));
        }
        self.sched = Some(sched);
        self.token_refusals = None;
    }

    /// Stops scheduling the zone. The next scheduler here would not own the upstreams that other
    /// instances gave up, and must not count the sets with them as known.
    pub(crate) fn resign(&mut self) {
        for id in std::mem::take(&mut self.lingering) {
            self.directory.remove(&id, false);
        }
        self.token_refusals = None;
        self.sched = None;
    }

    /// Removes upstreams that other instances gave up from the directory once no task runs there.
    pub(crate) fn drop_lingering(&mut self, is_gone: impl Fn(&incarnation::Incarnation) -> bool) {
        for id in std::mem::take(&mut self.lingering) {
            let gone = is_gone(&id);
            if gone && self.is_busy(&id) {
                self.lingering.insert(id);
            } else if gone {
                self.directory.remove(&id, false);
            }
        }
    }

    /// Load of its upstreams, if this instance schedules the zone.
    pub(crate) fn load(&self, now: u64) -> Option<message::Load> {
        self.sched.as_ref().map(|sched| sched.load(now))
    }

    /// Whether tasks that this instance scheduled are running at an upstream.
    fn is_busy(&self, id: &incarnation::Incarnation) -> bool {
        let session = self.sched.as_ref().and_then(|sched| sched.sessions.get(id));
        session.is_some_and(|session| !session.runs.is_empty())
    }
}
