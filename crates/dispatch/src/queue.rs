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
//!
//! Worth of the answers in a play of three kinds of job (`load::mixed_overload`), by arrivals
//! against the room that there is, urgent first at all times and as it is: 0.9: 0.980 and 0.981;
//! 1.1: 0.931 and 0.937; 1.3: 0.855 and 0.872; 1.6: 0.656 and 0.736; 2.0: 0.484 and 0.585.

use crate::{active, job, message, time};

/// An answer after this many times the objective is worth nothing.
const WORTHLESS: u64 = 3;
/// It is congested when more cores are waited for than are free by this share of all, per cent. At 0
/// what waits for some milliseconds at nine tenths of the arrivals changes the order, at a loss of
/// 0.01; at 60 the play of twice the arrivals gains 0.03 less.
const CONGESTED: i64 = 20;
/// It is overloaded with this share. At 20 a zone that lost its scheduler for 0.6 s at 93% of its room
/// refuses 11 of 144 jobs that would have been late (`takeover::keeper_lost`), and no other is in
/// time for it; at 130 the play of twice the arrivals gains 0.005 less.
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

/// When it has to start to be in time.
fn latest(active: &active::Active) -> u64 {
    active.due().saturating_sub(active.job.chain() * time::MS)
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
