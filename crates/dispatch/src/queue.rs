//! Order of waiting jobs, and which are refused.
//!
//! The load this answers: arrivals near the capacity, with bursts and losses beyond it. A job
//! whose answer comes after its objective is worth a fifth of one in time, and nothing after
//! three times the objective.
//!
//! - While little waits, the most urgent of the jobs that can still be in time goes first.
//! - With more than that ([`is_congested`]) the shortest of them goes first, since it holds room for
//!   the least time.
//! - When more waits than all upstreams hold ([`is_overloaded`]) what is late already is refused: room
//!   for it would make others late.
//! - What has no hope is refused at any time, while it has not begun.

use crate::{active, job, message, time};

/// An answer after this many times the objective is worth nothing.
const WORTHLESS: u64 = 3;
/// It is congested when more cores are waited for than are free by this share of all, per cent: a wait
/// of some milliseconds is no reason to change the order.
const CONGESTED: i64 = 20;
/// It is overloaded with this share. Below it a backlog that a lost scheduler left is worked off late
/// rather than refused.
const OVERLOADED: i64 = 100;
/// Shortest time after which a refused client may come back, milliseconds: a few tasks' length.
const MIN_RETRY: u64 = 200;
/// The longest, milliseconds.
const MAX_RETRY: u64 = 3_000;

/// How a waiting job stands; what comes first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// Some of its tasks have begun.
    Begun,
    /// It can still be in time.
    InTime,
    /// It will be late.
    Late,
}

/// Place of a job in the queue; the least goes first.
pub fn rank(active: &active::Active, congested: bool, now: u64) -> (Feasibility, u64, u64) {
    let length = if congested { active.job.chain() } else { 0 };
    (feasibility(active, now), length, latest(active))
}

/// How a job stands.
pub fn feasibility(active: &active::Active, now: u64) -> Feasibility {
    if active.started {
        Feasibility::Begun
    } else if now <= latest(active) {
        Feasibility::InTime
    } else {
        Feasibility::Late
    }
}

/// Whether more waits than there is room for, so that the shortest go first.
pub fn is_congested(load: message::Load) -> bool {
    exceeds(load, CONGESTED)
}

/// Whether so much waits that what is late already is refused.
pub fn is_overloaded(load: message::Load) -> bool {
    exceeds(load, OVERLOADED)
}

/// Whether more cores are waited for than are free, by a share of all, per cent.
fn exceeds(load: message::Load, share: i64) -> bool {
    load.free * 100 < -load.total * share
}

/// Until when the answer is to come: within the objective while that can be, in any useful time afterwards.
pub fn useful_until(active: &active::Active, now: u64) -> u64 {
    if now <= latest(active) { active.due() } else { worthless(active) }
}

/// When an answer is of no use any more.
fn worthless(active: &active::Active) -> u64 {
    let span = (active.job.objective * WORTHLESS).min(active.job.patience);
    active.arrived + span * time::MS
}

/// When it has to start to be in time.
fn latest(active: &active::Active) -> u64 {
    active.due().saturating_sub(active.job.chain() * time::MS)
}

/// Whether an answer can't come in any useful time any more.
pub fn is_hopeless(active: &active::Active, now: u64) -> bool {
    now + active.job.chain() * time::MS / 2 >= worthless(active)
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
