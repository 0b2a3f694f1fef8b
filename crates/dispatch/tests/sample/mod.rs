//! Sample upstreams, schedulers and jobs for tests of a single scheduler.

use dispatch::{
    job::{Job, Step},
    message::Awaited,
    sched::Sched,
    upstream::{Phase, Record, Room},
};

/// The clock of the upstreams when a test begins, milliseconds.
#[allow(dead_code, reason = "not every test uses it")]
pub const CLOCK: u64 = 500_000;

/// Returns the record of an upstream with room for two tasks.
pub fn record(id: &str) -> Record {
    let room = Room { cpu: 32_000, memory: 64_000, accelerators: 0 };
    Record {
        id: id.into(),
        service: "board".into(),
        address: "10.0.0.9:80".into(),
        zone: "west".into(),
        room,
        most: room,
        labels: smallvec::SmallVec::new(),
        phase: Phase::Serving,
        serial: 1,
    }
}

/// Returns a scheduler with these upstreams, which has not called any of them.
#[allow(dead_code, reason = "not every test uses it")]
pub fn scheduler(upstreams: &[&str], now: u64) -> Sched {
    let mut sched = Sched::new(1_000, 1_000, now);
    for id in upstreams {
        sched.update_upstream(&record(id));
    }
    sched
}

/// Returns a job of `count` tasks of 200 ms each.
#[allow(dead_code, reason = "not every test uses it")]
pub fn job(id: &str, count: u32) -> Job {
    let need = Room { cpu: 14_000, memory: 64, accelerators: 0 };
    Job {
        id: id.into(),
        service: "board".into(),
        spec: "text".into(),
        steps: vec![Step { count, need, estimate: 200, ..Step::default() }],
        priority: 0,
        attempts: 3,
        objective: 380,
        patience: 3_000,
        age: 0,
        resumed: false,
        entry_clock: 0,
    }
}

/// Returns the query for a job of one task that was handed over once.
#[allow(dead_code, reason = "not every test uses it")]
pub fn awaited(job: &str) -> Awaited {
    Awaited { job: job.into(), number: 0, count: 1 }
}
