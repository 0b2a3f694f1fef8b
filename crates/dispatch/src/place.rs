//! Which upstream gets a task.
//!
//! Tasks of a job are placed where they leave the least room over, so that wide tasks still find
//! a whole upstream: with tasks of 10 to 20 cores on upstreams of 32 and 48, two or three fit.
//! Upstreams that failed lately come last; those on trial get one task at a time.

use std::collections;

use state::name;

use crate::{job, lane, upstream};

/// What a doubtful upstream's rest counts more, thousandths of a core: more than any upstream has.
const DOUBT: u64 = 1 << 30;

/// Free room of all upstreams, as tasks are being placed.
#[derive(Debug)]
pub struct Room {
    free: Vec<Free>,
}

#[derive(Debug)]
struct Free {
    id: name::Name,
    room: upstream::Room,
    malus: u64,
    trial: bool,
}

impl Room {
    /// The room that is free now.
    pub fn new(lanes: &collections::BTreeMap<name::Name, lane::Lane>, now: u64) -> Self {
        let open = lanes.values().filter(|lane| lane.is_open(now) && !lane.health.is_aside(now));
        let free = open.filter_map(|lane| {
            let trial = lane.health.is_on_trial();
            if trial && !lane.runs.is_empty() {
                return None;
            }
            let malus = if trial || lane.health.is_doubtful() { DOUBT } else { 0 };
            Some(Free { id: lane.record.id.clone(), room: lane.free(), malus, trial })
        });
        Self { free: free.filter(|free| free.room.cpu > 0).collect() }
    }

    /// Whether nothing is free.
    pub fn is_full(&self) -> bool {
        self.free.is_empty()
    }

    /// Takes room for a task; nothing if no upstream has it.
    pub fn place(
        &mut self,
        lanes: &collections::BTreeMap<name::Name, lane::Lane>,
        job: &job::Job,
        task: &job::Task,
    ) -> Option<name::Name> {
        let step = &job.steps[task.step as usize];
        let fits = |free: &Free| {
            let Some(lane) = lanes.get(&free.id) else { return false };
            let labelled = step.label.as_ref().is_none_or(|l| lane.record.labels.contains(l));
            let spread = step.spread == 0 || lane.count(&job.id, task.step) < step.spread;
            lane.record.service == job.service
                && step.need.fits(&free.room)
                && labelled
                && spread
                && !lane.runs.contains_key(task)
        };
        let rest = |free: &Free| free.malus + free.room.less(step.need).cpu;
        let best = self.free.iter().enumerate().filter(|(_, free)| fits(free));
        let (at, _) = best.min_by_key(|(_, free)| rest(free))?;
        let free = &mut self.free[at];
        free.room = free.room.less(step.need);
        let id = free.id.clone();
        if free.trial || free.room.cpu == 0 {
            self.free.swap_remove(at);
        }
        Some(id)
    }
}
