//! An upstream in virtual time: room, fencing, leases, a list of ends, calls that wait.

use std::collections::BTreeMap;

use dispatch::{
    job::Task,
    order::{Call, End, Ended, Order, Outcome, Reason, Running},
    upstream::Room,
};

pub const MS: u64 = 1_000;
/// Longest lease, milliseconds.
const MAX_LEASE: u64 = 1_000;
/// A room that has shrunk counts after this: 3 s and an announcement, microseconds.
const NEWS: u64 = 4_500 * MS;
/// Time that a stop takes, microseconds.
const STOP: u64 = 30 * MS;

#[derive(Debug)]
pub struct Run {
    pub attempt: u32,
    need: Room,
    /// Share of the work that was done by `since`.
    done: f64,
    since: u64,
    /// Time that all of it takes at the present speed, microseconds.
    length: u64,
    stopping: Option<u64>,
}

impl Run {
    /// Share of the work that is done.
    fn progress(&self, now: u64) -> f64 {
        self.done + (now - self.since) as f64 / self.length.max(1) as f64
    }
}

#[derive(Debug)]
pub struct Waiting {
    pub call: Call,
    pub from: (usize, u64),
    until: u64,
}

#[expect(clippy::struct_excessive_bools, reason = "independent faults, not states of one thing")]
#[derive(Debug)]
pub struct Upstream {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub room: Room,
    pub up: bool,
    pub hangs: bool,
    pub fails: bool,
    /// Tasks take this many times as long as they should.
    slowness: u64,
    /// Whether it refuses to stop anything: it is unhealthy.
    pub sullen: bool,
    /// Whether it refuses what does not fit into its room.
    pub guards: bool,
    /// Starts that did not fit, refused or not.
    pub excess: u32,
    /// Starts over a room that had been told for long, where nothing guards it.
    pub over: u32,
    /// When it was last told of another room.
    resized: u64,
    pub runs: BTreeMap<Task, Run>,
    pub waiting: Vec<Waiting>,
    pub serial: u64,
    offset: u64,
    fence: u64,
    lease: u64,
    ended: Vec<Ended>,
    number: u64,
    highest: BTreeMap<Task, u32>,
    /// Tasks that have done their work, until they are taken down.
    pub done: Vec<Task>,
}

impl Upstream {
    /// Whether a task of the job has ended here.
    pub fn has_run(&self, job: &state::name::Name) -> bool {
        self.highest.keys().any(|task| task.job == *job)
    }

    pub fn new(id: &str, zone: &str, cpu: u64, offset: u64) -> Self {
        Self {
            id: id.to_owned(),
            address: "10.9.0.1:80".to_owned(),
            zone: zone.to_owned(),
            room: Room { cpu, memory: 64_000, accelerators: 0 },
            up: true,
            hangs: false,
            fails: false,
            slowness: 1,
            sullen: false,
            guards: true,
            excess: 0,
            over: 0,
            resized: 0,
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            serial: 0,
            offset,
            fence: 0,
            lease: 0,
            ended: Vec::new(),
            number: 0,
            highest: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    /// Its steady clock, milliseconds.
    pub fn clock(&self, now: u64) -> u64 {
        now / MS + self.offset
    }

    /// Its room changes while it runs.
    pub fn resize(&mut self, cpu: u64, now: u64) {
        self.room.cpu = cpu;
        self.resized = now;
    }

    /// Tasks take `slowness` times as long from now on, also those that run.
    pub fn set_slowness(&mut self, slowness: u64, now: u64) {
        for run in self.runs.values_mut() {
            (run.done, run.since) = (run.progress(now), now);
            run.length = run.length / self.slowness * slowness;
        }
        self.slowness = slowness;
    }

    /// A new life: nothing runs, nothing is remembered.
    pub fn crash(&mut self, id: &str) {
        let fresh = Self::new(id, &self.zone.clone(), self.room.cpu, self.offset);
        let (address, guards) = (self.address.clone(), self.guards);
        *self = Self { address, guards, ..fresh };
    }

    /// Carries out an order; nothing for a hold that waits.
    pub fn take(&mut self, call: Call, from: (usize, u64), spec: u64, now: u64) -> Option<Outcome> {
        let clock = self.clock(now);
        if call.upstream.as_str() != self.id {
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
                Some(self.lists(now))
            }
            Order::Start { task, attempt, until, .. } => {
                Some(self.start(&task, attempt, until, spec, now))
            }
            Order::Stop { .. } if self.sullen => {
                Some(Outcome::Refused(Reason::Unhealthy, Some(clock)))
            }
            Order::Stop { task, attempt } => {
                let highest = self.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(attempt);
                if let Some(run) = self.runs.get_mut(&task) {
                    run.stopping.get_or_insert(now + STOP);
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
            self.excess += 1;
            if self.guards {
                return Outcome::Refused(Reason::Room, Some(clock));
            }
            self.over += u32::from(now >= self.resized + NEWS);
        }
        let length = spec / 100_000 * MS * self.slowness;
        let run = Run { attempt, need, done: 0.0, since: now, length, stopping: None };
        self.runs.insert(task.clone(), run);
        Outcome::Done(clock)
    }

    fn grant(&mut self, until: Option<u64>, clock: u64) {
        if let Some(until) = until {
            self.lease = self.lease.max(until.min(clock + MAX_LEASE));
        }
    }

    pub fn lists(&self, now: u64) -> Outcome {
        let row = |(task, run): (&Task, &Run)| {
            let done = if self.hangs { 0.0 } else { run.progress(now) };
            Running { task: task.clone(), attempt: run.attempt, percent: (done * 100.0) as u32 }
        };
        let running = self.runs.iter().map(row).collect();
        Outcome::Held { clock: self.clock(now), running, ended: self.ended.clone() }
    }

    /// Lets time pass; gives the calls whose answer is due.
    pub fn tick(&mut self, now: u64) -> Vec<Waiting> {
        let clock = self.clock(now);
        let lapsed = clock >= self.lease;
        let mut over = Vec::new();
        for (task, run) in &self.runs {
            let done = !self.hangs && run.progress(now) >= 1.0;
            let end = if done {
                Some(if self.fails { End::Failed } else { End::Done })
            } else if run.stopping.is_some_and(|at| now >= at) {
                Some(End::Stopped)
            } else {
                lapsed.then_some(End::Lapsed)
            };
            over.extend(end.map(|end| (task.clone(), run.attempt, end)));
        }
        for (task, attempt, end) in over {
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
