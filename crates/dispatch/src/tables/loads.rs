//! Loads of zones as an entry knows them: what the schedulers last reported, less what the entry
//! has handed over since.

use std::collections;

use state::name;

use crate::messages::{claim::Claim, message::Load, time};

/// How long the entry waits before it asks a scheduler again that had no room, microseconds. This
/// is less than the duration of the shortest tasks (60 ms); while all zones are full, each entry
/// asks each scheduler 20 times a second.
const FULL_RETENTION: u64 = 50 * time::MS;
/// A scheduler that reports no load for this long has none, microseconds; its former reports are
/// forgotten with the next one for its zone.
const REPORT_RETENTION: u64 = 10_000 * time::MS;

/// The load that a scheduler reported.
#[derive(Clone, Debug)]
struct Report {
    holder: name::Name,
    load: Load,
    at: u64,
}

/// The last known loads of the schedulers of each zone.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// The reports for each zone, the last one at the end.
    zones: collections::BTreeMap<name::Name, smallvec::SmallVec<[Report; 1]>>,
}

impl Loads {
    /// Records the load that a scheduler of a zone reports for its upstreams.
    pub fn record(&mut self, zone: &name::Name, holder: &name::Name, load: Load, now: u64) {
        let reports = self.zones.entry(zone.clone()).or_default();
        reports.retain(|report| report.holder != *holder && now < report.at + REPORT_RETENTION);
        reports.push(Report { holder: holder.clone(), load, at: now });
    }

    /// The last known load of the upstreams of a claim. The scheduler of a whole zone takes over
    /// the load that the one before it reported.
    fn get(&self, claim: &Claim) -> Option<&Report> {
        let is_meant = |report: &&Report| claim.parts.is_all() || report.holder == claim.holder;
        self.zones.get(&claim.zone)?.iter().rev().find(is_meant)
    }

    /// Reduces the free cores of the holder of a claim; returns its load then, and when it was
    /// reported, microseconds.
    pub fn deduct(&mut self, claim: &Claim, cpu: i64) -> Option<(Load, u64)> {
        let is_meant = |report: &&mut Report| claim.parts.is_all() || report.holder == claim.holder;
        let report = self.zones.get_mut(&claim.zone)?.iter_mut().rev().find(is_meant)?;
        report.load.free -= cpu;
        Some((report.load, report.at))
    }

    /// The free cores of the holder of a claim by its last known load, less those that its waiting
    /// tasks need, in thousandths.
    pub fn free(&self, claim: &Claim) -> i64 {
        self.get(claim).map_or(0, |report| report.load.free)
    }

    /// The load of the holders of these claims together; `None` if it is known of none.
    pub fn sum<'a>(&self, claims: impl Iterator<Item = &'a Claim>) -> Option<Load> {
        let loads = claims.filter_map(|claim| self.get(claim)).map(|report| report.load);
        loads.reduce(|a, b| Load { free: a.free + b.free, total: a.total + b.total })
    }

    /// Whether the holder of a claim reported within [`FULL_RETENTION`] that it had no room for a
    /// task that needs `min_cpu`.
    pub fn is_full(&self, claim: &Claim, min_cpu: i64, now: u64) -> bool {
        self.get(claim)
            .is_some_and(|report| report.load.free < min_cpu && now < report.at + FULL_RETENTION)
    }
}
