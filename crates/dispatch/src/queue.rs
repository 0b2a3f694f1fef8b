//! Order of waiting jobs, and which are refused.
//!
//! The load this answers: arrivals near the capacity, with bursts and losses beyond it. A job
//! whose answer comes after its objective is worth a fifth of one in time, and nothing after
//! three times the objective; so jobs that can still be in time go first, the most urgent of
//! them before the others, and what has no hope is refused while it has not begun.

use crate::{active, job, message, time};

/// An answer after this many times the objective is worth nothing.
const WORTHLESS: u64 = 3;
/// Shortest time after which a refused client may come back, milliseconds: a few tasks' length.
const MIN_RETRY: u64 = 200;
/// The longest, milliseconds.
const MAX_RETRY: u64 = 3_000;

/// Place of a job in the queue; the least goes first.
pub fn rank(active: &active::Active, now: u64) -> (u8, u64) {
    let work = active.job.chain() * time::MS;
    let latest = active.due().saturating_sub(work);
    let class = if active.started {
        0
    } else if now <= latest {
        1
    } else {
        2
    };
    (class, latest)
}

/// Whether an answer can't come in any useful time any more.
pub fn is_hopeless(active: &active::Active, now: u64) -> bool {
    let work = active.job.chain() * time::MS / 2;
    let span = (active.job.objective * WORTHLESS).min(active.job.patience);
    now + work >= active.arrived + span * time::MS
}

/// When a refused client may come back, milliseconds, if `job` is refused. `line` holds the due
/// time and the waiting cores of each job.
pub fn refuse(
    job: &job::Job,
    line: impl Iterator<Item = (u64, i64)>,
    load: message::Load,
    now: u64,
) -> Option<u64> {
    let due = now + job.objective * time::MS;
    let ahead: i64 = line.filter(|(other, _)| *other <= due).map(|(_, cpu)| cpu).sum();
    let limit = 2 * load.total;
    (load.total > 0 && ahead > limit).then(|| retry_after(load))
}

/// When a refused client may come back, milliseconds: when what waits now will have begun, at the
/// pace of one whole occupation of the upstreams in the length of an average task.
pub fn retry_after(load: message::Load) -> u64 {
    const AVERAGE: u64 = 250;
    let behind = (-load.free).max(0) as u64;
    let turns = behind * AVERAGE / (load.total.max(1) as u64);
    (MIN_RETRY + turns).min(MAX_RETRY)
}
