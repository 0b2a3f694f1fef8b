//! Which entry has which job: the records of one registrar.
//!
//! The same job may be submitted at several entries, because a client that has lost its attempt
//! submits its job again, at any of them. Only the entry that has reserved the job hands it to
//! schedulers.

use std::collections;

use state::name;

use crate::messages::{
    reservation::{Holder, Reservation},
    time,
};

/// How long a record is kept after the entry last renewed it, microseconds: longer than the tasks
/// of an entry that is lost can run.
const RETENTION: u64 = 4_000 * time::MS;
/// Interval at which expired records are removed, microseconds.
const SWEEP_INTERVAL: u64 = 1_000 * time::MS;

/// The entry that has reserved a job, and when it last did so.
#[derive(Clone, Debug)]
struct Record {
    entry: name::Name,
    incarnation: u64,
    renewed: u64,
}

/// The records of one registrar.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    records: collections::HashMap<name::Name, Record>,
    next_sweep: u64,
}

impl Registry {
    /// Reserves jobs for an entry, and returns those that another entry has. `takeover` is the time
    /// without a renewal after which an entry that does not answer has lost its jobs, microseconds.
    pub(crate) fn reserve(
        &mut self,
        entry: &name::Name,
        incarnation: u64,
        jobs: Vec<Reservation>,
        takeover: u64,
        now: u64,
    ) -> Vec<(name::Name, Holder)> {
        let mut held = Vec::new();
        for Reservation { job, former } in jobs {
            let other = self.records.get(&job).filter(|record| {
                let is_former = former.as_ref().is_some_and(|former| {
                    former.entry == record.entry
                        && (former.has_ended || now >= record.renewed + takeover)
                });
                let is_own = record.entry == *entry && record.incarnation == incarnation;
                !is_own && !is_former && now < record.renewed + RETENTION
            });
            if let Some(record) = other {
                let age = now.saturating_sub(record.renewed) / time::MS;
                held.push((job, Holder { entry: record.entry.clone(), age }));
            } else {
                let record = Record { entry: entry.clone(), incarnation, renewed: now };
                self.records.insert(job, record);
            }
        }
        held
    }

    /// Removes records that have expired.
    pub(crate) fn sweep(&mut self, now: u64) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.records.retain(|_, record| now < record.renewed + RETENTION);
        }
    }
}
