//! Forecast of when a job ends, by the lasting speeds of the upstreams that may run its tasks.

use std::collections;

use state::name;

use crate::{
    messages::{incarnation, job, time, upstream},
    tables::session,
};

/// Time that an order, the news of its end and the answer to the client take, milliseconds.
const ORDER_TIME: f64 = 20.0;
/// The speeds of upstreams are compared again after this time, microseconds.
const COMPARE_INTERVAL: u64 = 100 * time::MS;

/// Speeds of the middle upstreams, by service, where some are far slower than these.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    middles: collections::BTreeMap<name::Name, f64>,
    compared_at: u64,
}

/// A change of what is known of the speed of an upstream.
#[derive(Clone, Debug)]
pub struct PaceChange {
    /// The upstream.
    pub upstream: incarnation::Incarnation,
    /// The factor of the declared durations that its runs take, if it is far slower than the middle
    /// one now.
    pub pace: Option<f64>,
    /// The factor of the middle one.
    pub middle: f64,
}

impl Paces {
    /// Compares the speeds of all upstreams, from time to time, and returns what has changed.
    pub fn compare(
        &mut self,
        sessions: &mut collections::BTreeMap<incarnation::Incarnation, session::Session>,
        now: u64,
    ) -> Vec<PaceChange> {
        if now < self.compared_at + COMPARE_INTERVAL {
            return Vec::new();
        }
        self.compared_at = now;
        let middles = middles(sessions, now);
        self.middles.clear();
        let mut changes = Vec::new();
        for (id, session) in sessions {
            let service = &session.record.service;
            let middle = middles.get(service).copied();
            let is_new = session.lasting.compare(middle, now);
            let (pace, middle) = (session.lasting.pace(), f64::from(middle.unwrap_or(0.0)).exp());
            if pace.is_some() && !self.middles.contains_key(service) {
                self.middles.insert(service.clone(), middle);
            }
            if is_new {
                changes.push(PaceChange { upstream: id.clone(), pace, middle });
            }
        }
        changes
    }

    /// The factor of the declared durations that runs of a service take at the middle one of its
    /// upstreams, if others are far slower.
    pub fn middle(&self, service: &name::Name) -> Option<f64> {
        self.middles.get(service).copied()
    }

    /// The largest factor of its declared duration with which a task of a step leaves its job in
    /// time, of which `left` milliseconds are left until the end of the objective. `None` if there
    /// is no bound: no upstream is far slower, nothing was declared, or the job is late at the
    /// middle upstream as well.
    pub fn bound(&self, job: &job::Job, step: usize, left: u64) -> Option<f64> {
        let middle = self.middle(&job.service)?;
        let whole = job.steps.get(step)?.estimate as f64;
        let rest = job::path_after(&job.steps, step) as f64 * middle;
        let bound = (left as f64 - ORDER_TIME - rest) / whole;
        (whole > 0.0 && bound >= middle).then_some(bound)
    }
}

/// Median of the known speeds of the upstreams of each service, as logarithms.
fn middles(
    sessions: &collections::BTreeMap<incarnation::Incarnation, session::Session>,
    now: u64,
) -> collections::BTreeMap<name::Name, f32> {
    let mut known: collections::BTreeMap<_, Vec<f32>> = collections::BTreeMap::new();
    for session in sessions.values() {
        if let Some(log) = session.lasting.known(now) {
            known.entry(&session.record.service).or_default().push(log);
        }
    }
    let is_enough = |logs: &Vec<f32>| logs.len() >= crate::tables::lasting::MIN_KNOWN;
    let enough = known.into_iter().filter(|(_, logs)| is_enough(logs));
    let median = |mut logs: Vec<f32>| {
        logs.sort_by(f32::total_cmp);
        logs[logs.len() / 2]
    };
    enough.map(|(service, logs)| (service.clone(), median(logs))).collect()
}

/// The sizes of the upstreams that take tasks and aren't far slower, by service and label; found on
/// first use.
#[derive(Debug, Default)]
pub struct Faster {
    found: smallvec::SmallVec<[Rooms; 2]>,
}

/// The sizes of the upstreams of a service that have a label, if one is required.
#[derive(Debug)]
struct Rooms {
    service: name::Name,
    label: Option<name::Name>,
    sizes: Vec<upstream::Room>,
}

impl Faster {
    /// Whether such an upstream has room for a task of a step when it is idle.
    pub fn has(
        &mut self,
        sessions: &collections::BTreeMap<incarnation::Incarnation, session::Session>,
        service: &name::Name,
        step: &job::Step,
        now: u64,
    ) -> bool {
        let is_same = |rooms: &&Rooms| rooms.service == *service && rooms.label == step.label;
        if let Some(rooms) = self.found.iter().find(is_same) {
            return rooms.sizes.iter().any(|room| step.need.fits(room));
        }
        let takes = |session: &&session::Session| {
            let record = &session.record;
            let labelled = step.label.as_ref().is_none_or(|label| record.labels.contains(label));
            record.service == *service
                && labelled
                && session.lasting.pace().is_none()
                && !session.speed.is_slow(now)
                && !session.has_unwanted()
                && session.is_open(now)
                && !session.health.is_ejected(now)
        };
        let mut sizes: Vec<upstream::Room> =
            sessions.values().filter(takes).map(|session| session.record.room).collect();
        sizes.sort_by_key(|room| (room.cpu, room.memory, room.accelerators));
        sizes.dedup();
        let has = sizes.iter().any(|room| step.need.fits(room));
        self.found.push(Rooms { service: service.clone(), label: step.label.clone(), sizes });
        has
    }
}
