//! An upstream and a job, as the tests of one scheduler have them.

use dispatch::{
    job::{Job, Step},
    message::Awaited,
    sched::Sched,
    upstream::{Phase, Record, Room},
};

/// The clock of upstreams when the tests begin, milliseconds.
pub const CLOCK: u64 = 500_000;

/// An upstream with room for two tasks.
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

/// A scheduler of these upstreams, which it has not asked yet.
#[allow(dead_code, reason = "not every test has one")]
pub fn scheduler(upstreams: &[&str], now: u64) -> Sched {
    let mut sched = Sched::new(1_000, 950, now);
    for id in upstreams {
        sched.update_upstream(&record(id));
    }
    sched
}

/// A job of `count` tasks of 200 ms.
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

/// A question for a job of one task that was handed over once.
#[allow(dead_code, reason = "not every test asks")]
pub fn awaited(job: &str) -> Awaited {
    Awaited { job: job.into(), number: 0, count: 1 }
}
