//! Order of the waiting jobs, and which jobs are refused.
//!
//! It handles a load with arrivals near the capacity, and with bursts and losses that exceed it. A
//! job that is answered after its objective is worth a fifth of a job that is answered in time, and
//! nothing after three times the objective.
//!
//! - While few jobs wait, the most urgent job that can still be in time goes first.
//! - With more waiting jobs ([`is_congested`]) the shortest job that can still be in time goes
//!   first, since it occupies room for the least time.
//! - When more cores are waited for than all upstreams have ([`is_overloaded`]), jobs that are
//!   already late are refused: room for them would make other jobs late.
//! - A job that cannot be answered in any useful time is refused at any load, as long as none of
//!   its tasks has started.

use crate::{
    messages::{job, message, time},
    tables::active,
};

/// An answer after this many times the objective is worth nothing.
const USEFUL_OBJECTIVES: u64 = 3;
/// A zone is congested when the cores that are waited for exceed the free ones by more than this
/// share of all cores, percent: a wait of some milliseconds is no reason to change the order.
const CONGESTED_PERCENT: i64 = 20;
/// A zone is overloaded when the cores that are waited for exceed the free ones by more than this
/// share of all cores, percent. Below it, the backlog of a lost scheduler is completed late instead
/// of being refused.
const OVERLOADED_PERCENT: i64 = 100;
/// Shortest time after which a refused client may retry, milliseconds: the length of a few tasks.
const MIN_RETRY_MS: u64 = 200;
/// Longest time after which a refused client may retry, milliseconds.
const MAX_RETRY_MS: u64 = 3_000;

/// Whether a waiting job can be answered in time; jobs with a lower variant go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// Some of its tasks have started.
    Begun,
    /// It can still be answered in time.
    InTime,
    /// It will be answered late.
    Late,
}

/// Sort key of a job in the queue; the job with the lowest key goes first.
pub fn rank(active: &active::ActiveJob, congested: bool, now: u64) -> (Feasibility, u64, u64) {
    let length = if congested { active.job.critical_path() } else { 0 };
    (feasibility(active, now), length, latest_start(active))
}

/// Whether a job has started, and if not, whether it can still be answered in time.
pub fn feasibility(active: &active::ActiveJob, now: u64) -> Feasibility {
    if active.started {
        Feasibility::Begun
    } else if now <= latest_start(active) {
        Feasibility::InTime
    } else {
        Feasibility::Late
    }
}

/// Whether more jobs wait than there is room for, so that the shortest jobs go first.
pub fn is_congested(load: message::Load) -> bool {
    exceeds(load, CONGESTED_PERCENT)
}

/// Whether so many jobs wait that those that are already late are refused.
pub fn is_overloaded(load: message::Load) -> bool {
    exceeds(load, OVERLOADED_PERCENT)
}

/// Whether the cores that are waited for exceed the free ones by more than `percent` of all cores.
fn exceeds(load: message::Load, percent: i64) -> bool {
    load.free * 100 < -load.total * percent
}

/// Deadline for the answer: the end of the objective while that can be met, otherwise the time
/// after which an answer has no use.
pub fn useful_until(active: &active::ActiveJob, now: u64) -> u64 {
    if now <= latest_start(active) { active.objective_end() } else { useful_end(active) }
}

/// Time after which an answer has no use.
fn useful_end(active: &active::ActiveJob) -> u64 {
    let span = (active.job.objective * USEFUL_OBJECTIVES).min(active.job.patience);
    active.arrived + span * time::MS
}

/// Latest start with which the job is answered in time.
fn latest_start(active: &active::ActiveJob) -> u64 {
    active.objective_end().saturating_sub(active.job.critical_path() * time::MS)
}

/// Whether the job can no longer be answered in any useful time.
pub fn is_hopeless(active: &active::ActiveJob, now: u64) -> bool {
    now + active.job.critical_path() * time::MS / 2 >= useful_end(active)
}

/// Time after which the client may retry, milliseconds, if `job` is refused. `queued` holds the end
/// of the objective, and the cores that are waited for, of each job.
pub fn refusal_delay(
    job: &job::Job,
    queued: impl Iterator<Item = (u64, i64)>,
    load: message::Load,
    now: u64,
) -> Option<u64> {
    let due = now + job.objective * time::MS;
    let ahead: i64 = queued.filter(|(other, _)| *other <= due).map(|(_, cpu)| cpu).sum();
    let limit = 2 * load.total;
    (load.total > 0 && ahead > limit).then(|| retry_after(load))
}

/// Time after which a refused client may retry, milliseconds: when all tasks that wait now will
/// have started, if the upstreams finish work for all their cores once per length of an average
/// task.
pub fn retry_after(load: message::Load) -> u64 {
    const AVERAGE_TASK_MS: u64 = 250;
    let deficit = (-load.free).max(0) as u64;
    let wait = deficit * AVERAGE_TASK_MS / (load.total.max(1) as u64);
    (MIN_RETRY_MS + wait).min(MAX_RETRY_MS)
}
