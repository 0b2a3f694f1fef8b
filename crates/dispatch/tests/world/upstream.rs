//! A simulated upstream in virtual time: capacity, fencing, leases, the list of ended tasks and
//! hold calls that wait for an end.

use std::collections::BTreeMap;

use dispatch::{
    job::Task,
    order::{Call, End, Ended, Order, Outcome, Reason, Running},
    upstream::Room,
};
use state::name::Name;

/// One millisecond, microseconds.
pub const MS: u64 = 1_000;
/// The longest lease of most upstreams, milliseconds.
pub const LONGEST_LEASE: u64 = 1_000;
/// The time in which schedulers must learn that the capacity has shrunk, microseconds: 3 s and one
/// announcement interval.
const RESIZE_GRACE: u64 = 4_500 * MS;
/// The time that stopping a task takes, microseconds.
const STOP_TIME: u64 = 30 * MS;

#[derive(Debug)]
pub struct Run {
    pub attempt: u32,
    need: Room,
    /// The share of the work that was done at `since`.
    done: f64,
    since: u64,
    /// The time that the whole task takes at the current speed, microseconds.
    length: u64,
    /// When the run ends because of a stop order, microseconds.
    stopping: Option<u64>,
}

impl Run {
    /// Returns the share of the work that is done.
    fn progress(&self, now: u64) -> f64 {
        self.done + (now - self.since) as f64 / self.length.max(1) as f64
    }
}

/// A hold call that waits for a task to end, or until its time is up.
#[derive(Debug)]
pub struct Waiting {
    pub call: Call,
    pub from: (usize, u64),
    until: u64,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent faults, not states of one state machine"
)]
#[derive(Debug)]
pub struct Upstream {
    pub id: String,
    /// The start of its process that it states, milliseconds since 1970; 0 if it states none.
    pub started: u64,
    pub address: String,
    pub zone: String,
    pub room: Room,
    pub label: Option<Name>,
    pub is_up: bool,
    /// Whether its tasks make no progress.
    pub hangs: bool,
    /// Whether its tasks fail when their work is done.
    pub fails: bool,
    /// The factor by which tasks take longer than their nominal length.
    slowness: u64,
    /// The duration of tasks in percent of the declared one, for tasks that start from now on.
    pub pace: u64,
    /// The percentage by which the tasks of a job may differ from their common duration.
    pub uneven: u64,
    /// Whether it refuses all stop orders as unhealthy.
    pub refuses_stops: bool,
    /// Whether it refuses tasks that exceed its capacity.
    pub enforces_room: bool,
    /// The number of start orders that exceeded the capacity, whether refused or not.
    pub oversized_starts: u32,
    /// The number of accepted starts that exceeded the capacity when schedulers should already have
    /// known it, at an upstream that does not refuse them.
    pub overcommits: u32,
    /// When its capacity last changed, microseconds.
    resized: u64,
    pub runs: BTreeMap<Task, Run>,
    pub waiting: Vec<Waiting>,
    pub serial: u64,
    /// The difference of its clock from the virtual time, milliseconds.
    offset: u64,
    /// When its process started, milliseconds of virtual time.
    epoch: u64,
    /// The highest fencing token that it has received.
    fence: u64,
    /// When its lease ends, by its clock, milliseconds.
    lease: u64,
    /// The longest lease that it grants, milliseconds.
    pub longest_lease: u64,
    ended: Vec<Ended>,
    /// The number of the last end.
    number: u64,
    /// The highest attempt of each task that has ended or was ordered to stop.
    highest: BTreeMap<Task, u32>,
    /// Finished tasks, until the simulation collects them.
    pub done: Vec<Task>,
}

impl Upstream {
    /// Returns whether a task of the job has ended here or was ordered to stop.
    pub fn has_run(&self, job: &Name) -> bool {
        self.highest.keys().any(|task| task.job == *job)
    }

    pub fn new(id: &str, zone: &str, cpu: u64, offset: u64) -> Self {
        Self {
            id: id.to_owned(),
            started: 0,
            address: "10.9.0.1:80".to_owned(),
            zone: zone.to_owned(),
            room: Room { cpu, memory: 64_000, accelerators: 0 },
            label: None,
            is_up: true,
            hangs: false,
            fails: false,
            slowness: 1,
            pace: 100,
            uneven: 0,
            refuses_stops: false,
            enforces_room: true,
            oversized_starts: 0,
            overcommits: 0,
            resized: 0,
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            serial: 0,
            offset,
            epoch: 0,
            fence: 0,
            lease: 0,
            longest_lease: LONGEST_LEASE,
            ended: Vec::new(),
            number: 0,
            highest: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    /// Returns its monotonic clock, milliseconds.
    pub fn clock(&self, now: u64) -> u64 {
        now / MS - self.epoch + self.offset
    }

    /// Changes its processor capacity while it runs.
    pub fn resize(&mut self, cpu: u64, now: u64) {
        self.room.cpu = cpu;
        self.resized = now;
    }

    /// Makes tasks take `slowness` times as long from now on, including running ones.
    pub fn set_slowness(&mut self, slowness: u64, now: u64) {
        for run in self.runs.values_mut() {
            (run.done, run.since) = (run.progress(now), now);
            run.length = run.length / self.slowness * slowness;
        }
        self.slowness = slowness;
    }

    /// Restarts the upstream under a new id, without its tasks and its former state.
    pub fn restart_as(&mut self, id: &str) {
        let fresh = Self::new(id, &self.zone.clone(), self.room.cpu, self.offset);
        let (address, enforces_room) = (self.address.clone(), self.enforces_room);
        let started = self.started + u64::from(self.started > 0);
        let longest_lease = self.longest_lease;
        *self = Self { started, address, enforces_room, longest_lease, ..fresh };
    }

    /// Restarts the upstream under its id, without its tasks and its former state. Its clock begins
    /// anew.
    pub fn restart_at(&mut self, started: u64, now: u64) {
        self.restart_as(&self.id.clone());
        self.started = started;
        self.offset = 0;
        self.epoch = now / MS;
    }

    /// Executes the order of a call. Returns `None` for a hold that waits.
    pub fn handle_call(
        &mut self,
        call: Call,
        from: (usize, u64),
        spec: u64,
        now: u64,
    ) -> Option<Outcome> {
        let clock = self.clock(now);
        if call.upstream.name.as_str() != self.id {
            return Some(Outcome::Replaced);
        }
        if call.fence < self.fence {
            return Some(Outcome::Refused(Reason::Fence, Some(clock)));
        }
        self.fence = call.fence;
        match call.order.clone() {
            Order::Hold { seen, until, wait } => {
                self.grant(until, clock);
                self.ended.retain(|end| end.number > seen);
                if wait > 0 && self.ended.is_empty() {
                    self.waiting.push(Waiting { call, from, until: now + wait * MS });
                    return None;
                }
                Some(self.list_tasks(now))
            }
            Order::Start { task, attempt, until, .. } => {
                Some(self.start(&task, attempt, until, spec, now))
            }
            Order::Stop { .. } if self.refuses_stops => {
                Some(Outcome::Refused(Reason::Unhealthy, Some(clock)))
            }
            Order::Stop { task, attempt } => {
                let highest = self.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(attempt);
                if let Some(run) = self.runs.get_mut(&task) {
                    run.stopping.get_or_insert(now + STOP_TIME);
                }
                Some(Outcome::Done(clock))
            }
        }
    }

    fn start(&mut self, task: &Task, attempt: u32, until: u64, spec: u64, now: u64) -> Outcome {
        let clock = self.clock(now);
        if until <= clock {
            return Outcome::Refused(Reason::Late, Some(clock));
        }
        self.grant(Some(until), clock);
        if self.runs.get(task).is_some_and(|run| run.attempt == attempt) {
            return Outcome::Done(clock);
        }
        let old = self.highest.get(task).is_some_and(|highest| attempt <= *highest);
        if old || self.runs.contains_key(task) {
            return Outcome::Refused(Reason::Old, Some(clock));
        }
        let need = Room { cpu: spec % 100_000, memory: 64, accelerators: 0 };
        let taken = self.runs.values().map(|run| run.need).fold(Room::default(), Room::plus);
        if !need.plus(taken).fits(&self.room) {
            self.oversized_starts += 1;
            if self.enforces_room {
                return Outcome::Refused(Reason::Room, Some(clock));
            }
            self.overcommits += u32::from(now >= self.resized + RESIZE_GRACE);
        }
        let length = spec / 100_000 * MS * self.slowness * self.pace / 100;
        let length =
            length * (100 - self.uneven + u64::from(task.index) * 37 % (2 * self.uneven + 1)) / 100;
        let run = Run { attempt, need, done: 0.0, since: now, length, stopping: None };
        self.runs.insert(task.clone(), run);
        Outcome::Done(clock)
    }

    /// Extends the lease, by no more than the longest lease from now on.
    fn grant(&mut self, until: Option<u64>, clock: u64) {
        if let Some(until) = until {
            self.lease = self.lease.max(until.min(clock + self.longest_lease));
        }
    }

    /// Lists the running and the ended tasks.
    pub fn list_tasks(&self, now: u64) -> Outcome {
        let row = |(task, run): (&Task, &Run)| {
            let done = if self.hangs { 0.0 } else { run.progress(now) };
            let percent = (done * 100.0) as u32;
            Running { task: task.clone(), attempt: run.attempt, percent, usage: None }
        };
        let running = self.runs.iter().map(row).collect();
        let started = (self.started > 0).then_some(self.started);
        Outcome::Held { started, clock: self.clock(now), running, ended: self.ended.clone() }
    }

    /// Updates the tasks to the time `now`; returns the calls that have to be answered.
    pub fn tick(&mut self, now: u64) -> Vec<Waiting> {
        let clock = self.clock(now);
        let lapsed = clock >= self.lease;
        let mut ended = Vec::new();
        for (task, run) in &self.runs {
            let done = !self.hangs && run.progress(now) >= 1.0;
            let end = if done {
                Some(if self.fails { End::Failed } else { End::Done })
            } else if run.stopping.is_some_and(|at| now >= at) {
                Some(End::Stopped)
            } else {
                lapsed.then_some(End::Lapsed)
            };
            ended.extend(end.map(|end| (task.clone(), run.attempt, end)));
        }
        for (task, attempt, end) in ended {
            self.runs.remove(&task);
            if end == End::Done {
                self.done.push(task.clone());
            }
            let highest = self.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(attempt);
            self.number += 1;
            self.ended.push(Ended { number: self.number, task, attempt, end });
        }
        let ready = !self.ended.is_empty();
        let waiting = std::mem::take(&mut self.waiting);
        let (due, rest) = waiting.into_iter().partition(|w| ready || now >= w.until);
        self.waiting = rest;
        due
    }
}
