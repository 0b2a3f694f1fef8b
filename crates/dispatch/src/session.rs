//! One upstream as its owner sees it: fencing token, lease, and what may be running there.
//!
//! An order without an answer may have been carried out, or be carried out later. The owner then
//! raises the fencing token and asks again: once the upstream has answered under the higher
//! token, no earlier order can take effect any more, and its list says which ones did.

use std::collections;

use state::{name, policy};

use crate::{
    call_timeout, capacity_limit, claim, job,
    order::{Call, Order, Running},
    time, timing, upstream,
};

/// How long an answer may wait for an end while tasks run, milliseconds. Between two answers a
/// task that makes no progress is noticed.
const WAIT_BUSY: u64 = 200;
/// The same for an idle upstream.
const WAIT_IDLE: u64 = 450;
/// Upstreams up to which these hold: at 400 busy ones 2,000 answers a second. Of more, each answers
/// less often, so that a scheduler with 0.4 of a core has time left for starts.
const MANY: u64 = 400;
/// Longest wait for the answer of a busy upstream, milliseconds: a lease of 950 is renewed twice.
const LONGEST_BUSY: u64 = 450;
/// The same for an idle one, which has no lease to lose.
const LONGEST_IDLE: u64 = 900;
/// How long an answer may wait for an end while calls are lost, milliseconds: the news of an end that was
/// lost with one comes with the next. Idle upstreams are asked as often, since the question under way is
/// the one that tells of the end of the next task there.
const WAIT_LOSSY: u64 = 60;
/// Pause before an upstream that did not answer, or obeys another owner, is asked again,
/// microseconds.
const RETRY: u64 = 60 * time::MS;
/// Upstreams that fell silent within this time of one another may have done so for one cause, microseconds: the
/// longest time between two questions to a busy upstream.
const TOGETHER: u64 = LONGEST_BUSY * time::MS;
/// The first time it is asked at once: one call may be lost. Then the pause doubles so many times at most,
/// to 480 ms: each question that is given up takes its connection with it.
const DOUBLINGS: u32 = 3;

/// How sure the owner is about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The order is on its way.
    Starting,
    /// The upstream has said that it runs.
    Running,
    /// It may be running.
    Unconfirmed,
}

/// A run that takes room at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run.
    pub attempt: u32,
    /// What it takes.
    pub need: upstream::Room,
    /// How sure it is.
    pub stage: Stage,
    /// Since when the stage holds.
    pub since: u64,
    /// When it was ordered and heard to have begun; nothing for one that another scheduler started.
    pub begun: Option<timing::Begun>,
    /// How long it takes by declaration, milliseconds; 0 if that is not known.
    pub estimate: u64,
    /// Last progress: when, and how much was done.
    pub progress: (u64, u32),
    /// Whether nobody wants it any more, and when it was last told to stop.
    pub unwanted: Option<u64>,
}

/// The clock of an upstream at one moment of ours.
#[derive(Clone, Copy, Debug)]
struct Clock {
    theirs: u64,
    ours: u64,
}

/// What all upstreams of an owner have in common.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How many there are.
    pub sessions: usize,
    /// How they answer.
    pub call_timeout: call_timeout::CallTimeout,
}

/// An upstream and what its owner knows of it.
#[derive(Debug)]
pub struct Session {
    /// What it says about itself.
    pub record: upstream::Record,
    /// What may be running there.
    pub runs: collections::BTreeMap<job::Task, Run>,
    /// How it did lately.
    pub health: crate::health::Health,
    /// How fast it works.
    pub speed: crate::speed::Speed,
    pub(crate) capacity_limit: capacity_limit::CapacityLimit,
    /// What ran there when its leases were over while it was silent.
    pub(crate) lapsed: Vec<job::Task>,
    /// Its number in the directory of its scheduler.
    pub(crate) number: u64,
    pub(crate) fence: u64,
    pub(crate) owned: bool,
    pub(crate) silent: Option<u64>,
    pub(crate) seen: u64,
    pub(crate) full: u64,
    /// When a run was last seen ended.
    pub(crate) freed: u64,
    clock: Option<Clock>,
    granted: u64,
    hold: Option<(u64, u64)>,
    retry: u64,
    /// Questions without an answer in a row.
    misses: u32,
}

impl Session {
    /// An upstream that is to be taken over with the fencing token `fence`.
    pub fn new(record: upstream::Record, fence: u64) -> Self {
        Self {
            capacity_limit: capacity_limit::CapacityLimit::default(),
            lapsed: Vec::new(),
            record,
            runs: collections::BTreeMap::new(),
            health: crate::health::Health::default(),
            speed: crate::speed::Speed::default(),
            number: 0,
            fence,
            owned: false,
            silent: None,
            seen: 0,
            full: 0,
            freed: 0,
            clock: None,
            granted: 0,
            hold: None,
            retry: 0,
            misses: 0,
        }
    }

    /// Whether tasks may be started there.
    pub fn is_open(&self, now: u64) -> bool {
        self.owned
            && self.silent.is_none()
            && self.record.phase == upstream::Phase::Serving
            && self.clock.is_some()
            && now >= self.full
    }

    /// By how much tasks take longer there where that counts, 1 elsewhere.
    pub fn slowness(&self, policy: policy::Policy, now: u64) -> f64 {
        if policy.avoid_slow && self.speed.is_slow(now) { self.speed.slowness(now) } else { 1.0 }
    }

    /// Whether it has answered this owner at all.
    pub fn is_read(&self) -> bool {
        self.owned
    }

    /// Takes what it says about itself.
    pub fn told(&mut self, record: upstream::Record) {
        if record.room != self.record.room {
            self.capacity_limit = capacity_limit::CapacityLimit::default();
        }
        self.record = record;
    }

    /// What its runs take, those that are being stopped included.
    pub fn taken(&self) -> upstream::Room {
        let taken = self.runs.values().map(|run| run.need);
        taken.fold(upstream::Room::default(), upstream::Room::plus)
    }

    /// Room that is not taken.
    pub fn free(&self, now: u64) -> upstream::Room {
        let cpu = self.capacity_limit.limit(self.record.room.cpu, now);
        upstream::Room { cpu, ..self.record.room }.less(self.taken())
    }

    /// Whether it has answered the last call to this owner.
    pub fn is_heard(&self) -> bool {
        self.owned && self.silent.is_none()
    }

    /// Whether a call is due.
    pub fn is_due(&self, now: u64) -> bool {
        self.hold.is_none() && now >= self.retry
    }

    /// The call that is due, if one is.
    pub fn due(&mut self, number: u64, lease: u64, pace: Pace, now: u64) -> Option<Call> {
        if !self.is_due(now) {
            return None;
        }
        let (heard, lossy) = (self.is_heard(), pace.call_timeout.is_lossy());
        let stretched =
            |wait: u64, longest| (wait * pace.sessions as u64 / MANY).clamp(wait, longest);
        let wait = match (heard, self.runs.is_empty()) {
            (false, _) => 0,
            (true, true) if lossy => stretched(WAIT_LOSSY, LONGEST_IDLE),
            (true, true) => stretched(WAIT_IDLE, LONGEST_IDLE),
            (true, false) if lossy => stretched(WAIT_LOSSY, LONGEST_BUSY),
            (true, false) => stretched(WAIT_BUSY, LONGEST_BUSY),
        };
        // A hold that is not answered may have been heard: while the upstream is silent nothing is
        // renewed, so that its runs are known to be over once the last lease is.
        // Nor is it where nobody wants what runs: a run that is not stopped ends with its lease, and so
        // within the time after which another scheduler may start its task.
        let wanted = self.runs.is_empty() || self.runs.values().any(|run| run.unwanted.is_none());
        let until = if heard && wanted { self.grant(lease, now) } else { None };
        self.hold = Some((number, now));
        let order = Order::Hold { seen: self.seen, until, wait };
        // Upstreams' timers may be late, and whether an answer was would never be known.
        Some(self.call(number, order, wait + call_timeout::PATIENCE))
    }

    /// Whether a hold is under way.
    pub fn is_asked(&self) -> bool {
        self.hold.is_some()
    }

    /// An order other than a hold.
    pub fn call(&self, number: u64, order: Order, patience: u64) -> Call {
        Call {
            number,
            upstream: self.record.id.clone(),
            address: self.record.address.clone(),
            fence: self.fence,
            order,
            patience,
        }
    }

    /// The end of a lease that begins now, on the upstream's clock.
    pub fn grant(&mut self, lease: u64, now: u64) -> Option<u64> {
        let clock = self.clock?;
        let until = clock.theirs + now.saturating_sub(clock.ours) / time::MS + lease;
        let left = until.saturating_sub(clock.theirs) * time::MS;
        let end = clock.ours + left + left * time::SLOW_CLOCK / 1_000;
        self.granted = self.granted.max(end);
        Some(until)
    }

    /// Whether every lease that was granted has run out, by any clock.
    pub fn has_lapsed(&self, now: u64) -> bool {
        now >= self.granted
    }

    /// Notes the upstream's clock from an answer.
    pub fn tell_time(&mut self, theirs: u64, now: u64) {
        self.clock = Some(Clock { theirs, ours: now });
    }

    /// Whether this is the hold under way; it is over then.
    pub fn end_hold(&mut self, number: u64) -> Option<u64> {
        let (held, sent) = self.hold?;
        if held != number {
            return None;
        }
        self.hold = None;
        Some(sent)
    }

    /// An order had no answer: what was ordered may take effect until a higher token is seen.
    pub fn mark_unconfirmed(&mut self, now: u64) {
        self.fence += claim::NEXT_FENCE;
        self.silent.get_or_insert(now);
        self.hold = None;
        self.retry = now;
    }

    /// Somebody else may have owned it meanwhile: what it runs is to be read again.
    pub fn take_over(&mut self, epoch: u64, now: u64) {
        self.fence = self.fence.max(epoch);
        self.owned = false;
        self.hold = None;
        self.retry = now;
    }

    /// The upstream has seen a higher token: it obeys another owner for now.
    pub fn outranked(&mut self, now: u64) {
        self.owned = false;
        self.retry = now + RETRY;
    }

    /// A hold had no answer.
    pub fn miss(&mut self, now: u64) {
        self.silent.get_or_insert(now);
        self.retry = now + if self.misses == 0 { 0 } else { RETRY << (self.misses - 1) };
        self.misses = (self.misses + 1).min(DOUBLINGS + 1);
    }

    /// An upstream that fell silent at `since` answers again; what silenced this one may be over as well.
    pub fn retry_with(&mut self, since: u64, now: u64) {
        let together = self.silent.is_some_and(|own| own.abs_diff(since) <= TOGETHER);
        if together && self.hold.is_none() {
            self.retry = self.retry.min(now);
        }
    }

    /// The upstream has answered under the present token.
    pub fn answered(&mut self) {
        self.owned = true;
        self.silent = None;
        self.misses = 0;
    }

    /// Runs that are neither running nor ended by a list that was asked for at `asked`.
    pub fn missing(&self, running: &[Running], asked: u64) -> Vec<job::Task> {
        let there = |task: &job::Task, run: &Run| {
            running.iter().any(|row| row.task == *task && row.attempt == run.attempt)
        };
        // The list comes under the present token, so it settles every doubt.
        let sure = |run: &Run| match run.stage {
            Stage::Starting => false,
            Stage::Running => run.since < asked,
            Stage::Unconfirmed => true,
        };
        let missing = self.runs.iter().filter(|(task, run)| sure(run) && !there(task, run));
        missing.map(|(task, _)| task.clone()).collect()
    }

    /// Runs of tasks of `step` of `job`.
    pub fn count(&self, job: &name::Name, step: u32) -> u32 {
        self.runs.keys().filter(|task| task.job == *job && task.step == step).count() as u32
    }
}
