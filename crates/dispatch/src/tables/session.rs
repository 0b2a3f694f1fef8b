//! The state of one upstream at its owner: fencing token, lease, and the runs that may be in
//! progress there.
//!
//! The upstream may have executed an order without an answer, or may execute it later. The owner
//! then raises the fencing token and asks again: once the upstream has answered under the higher
//! token, no earlier order can take effect any more, and the list in the answer says which ones
//! did.

use std::collections;

use state::{name, policy};

use crate::{
    messages::{
        claim, job,
        order::{Call, Order, Running},
        time, timing, upstream,
    },
    tables::{call_timeout, capacity_limit},
};

/// How long an upstream with runs may delay its answer while it waits for a run to end,
/// milliseconds. From two successive answers the owner detects a task that makes no progress.
const BUSY_WAIT: u64 = 200;
/// Wait of a hold at an upstream with a run of an unknown job, milliseconds. Its lease, which the
/// former scheduler granted, may end within some 200 ms.
const ORPHAN_WAIT: u64 = 40;
/// How long an idle upstream may delay its answer, milliseconds.
const IDLE_WAIT: u64 = 450;
/// The number of upstreams up to which these waits apply: 400 busy ones give 2,000 answers a
/// second. If there are more, each of them answers less often, so that a scheduler with 0.4 of a
/// core has time left for starts.
const UNSCALED_SESSIONS: u64 = 400;
/// Longest wait for the answer of a busy upstream, milliseconds: a lease of 950 ms is renewed twice
/// before it ends.
const MAX_BUSY_WAIT: u64 = 450;
/// Longest wait for the answer of an idle upstream, which has no lease to lose, milliseconds.
const MAX_IDLE_WAIT: u64 = 900;
/// How long an answer may be delayed while calls are lost, milliseconds: if an answer with the end
/// of a run is lost, the next one reports that end. Idle upstreams are asked as often, since the
/// pending hold is the one that reports the end of the next task there.
const LOSSY_WAIT: u64 = 60;
/// A run without progress for this long counts as hung, microseconds. The progress of a task of
/// 3,600 ms, the longest known one, changes by one percent every 36 ms.
pub const HANG_TIMEOUT: u64 = 280 * time::MS;
/// A run without progress for this long may be hung, microseconds: the upstream is asked again when
/// the run would count as hung, so that this is not noticed a whole wait later.
const STALL_TIME: u64 = 100 * time::MS;
/// Delay before the next call to an upstream that did not answer, or that obeys another owner,
/// microseconds.
const RETRY_DELAY: u64 = 60 * time::MS;
/// Upstreams that fell silent within this time of one another may have done so for the same cause,
/// microseconds: the longest time between two calls to a busy upstream.
const SILENCE_WINDOW: u64 = MAX_BUSY_WAIT * time::MS;
/// How many times the retry delay doubles at most, up to 480 ms. The first retry follows at once,
/// because a single call may be lost. The later ones are delayed, because each call that is given
/// up closes its connection.
const MAX_DOUBLINGS: u32 = 3;

/// How much the owner knows about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The start order has no answer yet.
    Starting,
    /// The upstream has reported the run as running.
    Running,
    /// The run may or may not be in progress.
    Unconfirmed,
}

/// A run that takes room on an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run.
    pub attempt: u32,
    /// The room that it takes.
    pub need: upstream::Room,
    /// How much the owner knows about it.
    pub stage: Stage,
    /// Whether a list of this incarnation of the upstream has shown it. Otherwise the order to
    /// start it may have reached the next incarnation, which accepts it as well.
    pub listed: bool,
    /// When the run entered its stage.
    pub since: u64,
    /// When it was ordered and confirmed as begun; `None` for a run that another scheduler started.
    pub timing: Option<timing::RunTiming>,
    /// Its declared duration, milliseconds; 0 if none was declared.
    pub estimate: u64,
    /// Last progress: the time and the amount done.
    pub progress: (u64, u32),
    /// Set if the run is no longer wanted: the time of the last order to stop it, 0 before the
    /// first.
    pub unwanted: Option<u64>,
    /// Whether it belongs to an unknown job, and its owner has some parts of the zone only: another
    /// scheduler may have the job.
    pub orphan: bool,
}

/// The clock of an upstream and the local clock at the same moment.
#[derive(Clone, Copy, Debug)]
struct Clock {
    remote: u64,
    local: u64,
}

/// Properties that all upstreams of an owner share.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The number of upstreams.
    pub sessions: usize,
    /// The call timeout, and whether calls are being lost.
    pub call_timeout: call_timeout::CallTimeout,
    /// Whether hung runs are stopped.
    pub stop_hung: bool,
}

/// An upstream and its state as known to its owner.
#[derive(Debug)]
pub struct Session {
    /// The last record that the upstream announced.
    pub record: upstream::Record,
    /// The runs that may be in progress there.
    pub runs: collections::BTreeMap<job::Task, Run>,
    /// Its recent successes and failures.
    pub health: crate::tables::health::Health,
    /// How fast it runs tasks.
    pub speed: crate::tables::speed::Speed,
    /// How fast it runs tasks, over many runs.
    pub lasting: crate::tables::lasting::Lasting,
    pub(crate) capacity_limit: capacity_limit::CapacityLimit,
    /// Tasks whose runs counted as ended when the leases expired while the upstream was silent.
    pub(crate) lapsed: Vec<job::Task>,
    /// Its number in the directory of its scheduler.
    pub(crate) number: u64,
    /// Calls with a higher number were sent after the owner learned of this incarnation.
    pub(crate) first_call: u64,
    pub(crate) fence: u64,
    pub(crate) owned: bool,
    /// When the upstream stopped answering; `None` while it answers.
    pub(crate) silent_since: Option<u64>,
    /// Number of the last end of a run that the owner has processed.
    pub(crate) seen: u64,
    /// Time until which no task is started there, after a refusal.
    pub(crate) full_until: u64,
    /// When the owner last learned that a run had ended.
    pub(crate) freed_at: u64,
    clock: Option<Clock>,
    lease_end: u64,
    hold: Option<(u64, u64)>,
    retry_at: u64,
    /// Consecutive calls without an answer.
    failures: u32,
}

impl Session {
    /// Creates the session of an upstream that the owner will take over with the fencing token
    /// `fence`.
    pub fn new(record: upstream::Record, fence: u64) -> Self {
        Self {
            capacity_limit: capacity_limit::CapacityLimit::default(),
            lapsed: Vec::new(),
            record,
            runs: collections::BTreeMap::new(),
            health: crate::tables::health::Health::default(),
            speed: crate::tables::speed::Speed::default(),
            lasting: crate::tables::lasting::Lasting::default(),
            number: 0,
            first_call: 0,
            fence,
            owned: false,
            silent_since: None,
            seen: 0,
            full_until: 0,
            freed_at: 0,
            clock: None,
            lease_end: 0,
            hold: None,
            retry_at: 0,
            failures: 0,
        }
    }

    /// Whether tasks may be started there.
    pub fn is_open(&self, now: u64) -> bool {
        self.owned
            && self.silent_since.is_none()
            && self.record.phase == upstream::Phase::Serving
            && self.clock.is_some()
            && now >= self.full_until
    }

    /// The factor by which tasks take longer there, where the policy avoids slow upstreams and this
    /// one is slow; otherwise 1.
    pub fn slowness(&self, policy: policy::Policy, now: u64) -> f64 {
        if policy.avoid_slow && self.speed.is_slow(now) { self.speed.slowness(now) } else { 1.0 }
    }

    /// Whether the upstream has answered under the present ownership.
    pub fn is_owned(&self) -> bool {
        self.owned
    }

    /// Replaces the record by a newly announced one.
    pub fn update_record(&mut self, record: upstream::Record) {
        if record.room != self.record.room {
            self.capacity_limit = capacity_limit::CapacityLimit::default();
        }
        self.record = record;
    }

    /// The room that its runs take, including those that are being stopped.
    pub fn taken(&self) -> upstream::Room {
        let taken = self.runs.values().map(|run| run.need);
        taken.fold(upstream::Room::default(), upstream::Room::plus)
    }

    /// Room that is not taken.
    pub fn free(&self, now: u64) -> upstream::Room {
        let cpu = self.capacity_limit.limit(self.record.room.cpu, now);
        upstream::Room { cpu, ..self.record.room }.minus(self.taken())
    }

    /// Whether the upstream has answered the last call of this owner.
    pub fn is_responsive(&self) -> bool {
        self.owned && self.silent_since.is_none()
    }

    /// Whether a call is due.
    pub fn is_due(&self, now: u64) -> bool {
        self.hold.is_none() && now >= self.retry_at
    }

    /// Returns the call that is due, if there is one.
    pub fn next_call(&mut self, number: u64, lease: u64, pace: Pace, now: u64) -> Option<Call> {
        if !self.is_due(now) {
            return None;
        }
        let (responsive, lossy) = (self.is_responsive(), pace.call_timeout.is_lossy());
        let scaled = |wait: u64, longest| {
            (wait * pace.sessions as u64 / UNSCALED_SESSIONS).clamp(wait, longest)
        };
        let wait = match (responsive, self.runs.is_empty()) {
            (false, _) => 0,
            (true, true) if lossy => scaled(LOSSY_WAIT, MAX_IDLE_WAIT),
            (true, true) => scaled(IDLE_WAIT, MAX_IDLE_WAIT),
            // The next hold renews the lease if an entry has handed over the jobs of all runs.
            (true, false) if self.runs.values().any(|run| run.orphan) => ORPHAN_WAIT,
            (true, false) if lossy => scaled(LOSSY_WAIT, MAX_BUSY_WAIT),
            (true, false) => scaled(BUSY_WAIT, MAX_BUSY_WAIT),
        };
        let hang = if pace.stop_hung { self.next_hang(now) } else { None };
        let wait = hang.map_or(wait, |left| wait.min(left));
        // The upstream may have received a hold that it did not answer. While it is silent the
        // owner renews no lease, so that its runs are known to be over once the last lease has
        // expired.
        let renews = responsive && !self.has_unwanted();
        let until = if renews { self.grant(lease, now) } else { None };
        self.hold = Some((number, now));
        // A silent upstream may have restarted, and the new incarnation numbers its ends anew: it
        // must not forget ends that the owner has not read.
        let seen = if responsive { self.seen } else { 0 };
        let order = Order::Hold { seen, until, wait };
        // Timers of upstreams may fire late, and the owner would never know whether an answer was
        // late.
        Some(self.call(number, order, wait + call_timeout::MAX_TIMEOUT))
    }

    /// Time until the first of the runs without progress counts as hung, milliseconds; `None` if
    /// all runs progress.
    fn next_hang(&self, now: u64) -> Option<u64> {
        let wanted = |run: &&Run| run.stage == Stage::Running && run.unwanted.is_none();
        let stalled =
            self.runs.values().filter(wanted).map(|run| now.saturating_sub(run.progress.0));
        let longest = stalled.filter(|time| (STALL_TIME..HANG_TIMEOUT).contains(time)).max()?;
        Some((HANG_TIMEOUT - longest).div_ceil(time::MS))
    }

    /// Whether a hold is pending.
    pub fn is_pending(&self) -> bool {
        self.hold.is_some()
    }

    /// Builds a call with an order.
    pub fn call(&self, number: u64, order: Order, timeout: u64) -> Call {
        Call {
            number,
            upstream: self.record.id.clone(),
            address: self.record.address.clone(),
            fence: self.fence,
            order,
            timeout,
        }
    }

    /// Grants a lease from now on and returns its end on the upstream's clock.
    pub fn grant(&mut self, lease: u64, now: u64) -> Option<u64> {
        let clock = self.clock?;
        let until = clock.remote + now.saturating_sub(clock.local) / time::MS + lease;
        let left = until.saturating_sub(clock.remote) * time::MS;
        let end = clock.local + time::on_slowest(left);
        self.lease_end = self.lease_end.max(end);
        Some(until)
    }

    /// Records that another scheduler may have granted a lease of this length, milliseconds, until
    /// now. Where the owner grants none itself, the lease would otherwise count as over when the
    /// first call is lost.
    pub fn expect_lease(&mut self, lease: u64, now: u64) {
        self.lease_end = self.lease_end.max(now + time::on_slowest(lease * time::MS));
    }

    /// Whether a run there is no longer wanted, or an orphan. A lease holds for all runs of an
    /// upstream, so the owner grants none until that run has ended: it ends with the last lease at
    /// the latest, and so within the time after which another scheduler may start its task, even if
    /// it is never stopped.
    pub fn has_unwanted(&self) -> bool {
        self.runs.values().any(|run| run.unwanted.is_some() || run.orphan)
    }

    /// Whether all granted leases have expired, even on the slowest clock.
    pub fn has_lapsed(&self, now: u64) -> bool {
        now >= self.lease_end
    }

    /// Records the upstream's clock from an answer.
    pub fn set_clock(&mut self, remote: u64, now: u64) {
        self.clock = Some(Clock { remote, local: now });
    }

    /// Ends the pending hold if it has this number, and returns the time at which it was sent.
    pub fn end_hold(&mut self, number: u64) -> Option<u64> {
        let (held, sent) = self.hold?;
        if held != number {
            return None;
        }
        self.hold = None;
        Some(sent)
    }

    /// Handles an order without an answer: it may take effect until the upstream has seen a higher
    /// token.
    pub fn mark_unconfirmed(&mut self, now: u64) {
        self.fence += claim::FENCE_STEP;
        self.silent_since.get_or_insert(now);
        self.hold = None;
        self.retry_at = now;
    }

    /// Takes the upstream over: another scheduler may have owned it meanwhile, so its runs have to
    /// be read again.
    pub fn take_over(&mut self, epoch: u64, now: u64) {
        self.fence = self.fence.max(epoch);
        self.owned = false;
        self.hold = None;
        self.retry_at = now;
    }

    /// Takes in runs whose start orders were meant for the former incarnation of this upstream,
    /// which was called with the fencing token `fence`. They may be in progress here, or begin
    /// until this incarnation has seen a higher token, under leases that end by `until`.
    pub(crate) fn inherit(
        &mut self,
        runs: collections::BTreeMap<job::Task, Run>,
        fence: u64,
        until: u64,
        now: u64,
    ) {
        if !runs.is_empty() {
            self.lease_end = self.lease_end.max(until);
        }
        for (task, run) in runs {
            let run = Run { stage: Stage::Unconfirmed, since: now, timing: None, ..run };
            self.runs.entry(task).or_insert(run);
        }
        self.take_over(fence + claim::FENCE_STEP, now);
    }

    /// Handles a refusal by an upstream that has seen a higher token: it obeys another owner for
    /// now.
    pub fn mark_outranked(&mut self, now: u64) {
        self.owned = false;
        self.retry_at = now + RETRY_DELAY;
    }

    /// Handles a hold without an answer.
    pub fn record_timeout(&mut self, now: u64) {
        self.silent_since.get_or_insert(now);
        self.retry_at =
            now + if self.failures == 0 { 0 } else { RETRY_DELAY << (self.failures - 1) };
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS + 1);
    }

    /// Brings the retry forward when an upstream that fell silent at `since` answers again: the
    /// cause may have ended for this upstream as well.
    pub fn retry_with(&mut self, since: u64, now: u64) {
        let together = self.silent_since.is_some_and(|own| own.abs_diff(since) <= SILENCE_WINDOW);
        if together && self.hold.is_none() {
            self.retry_at = self.retry_at.min(now);
        }
    }

    /// Handles an answer of the upstream under the present token.
    pub fn record_answer(&mut self) {
        self.owned = true;
        self.silent_since = None;
        self.failures = 0;
    }

    /// The runs that the upstream lists neither as running nor as ended, in a list that was
    /// requested at `asked`.
    pub fn missing(&self, running: &[Running], asked: u64) -> Vec<job::Task> {
        let there = |task: &job::Task, run: &Run| {
            running.iter().any(|row| row.task == *task && row.attempt == run.attempt)
        };
        // The list arrives under the present token, so it settles all unconfirmed runs.
        let sure = |run: &Run| match run.stage {
            Stage::Starting => false,
            Stage::Running => run.since < asked,
            Stage::Unconfirmed => true,
        };
        let missing = self.runs.iter().filter(|(task, run)| sure(run) && !there(task, run));
        missing.map(|(task, _)| task.clone()).collect()
    }

    /// The number of runs of tasks of `step` of `job`.
    pub fn count(&self, job: &name::Name, step: u32) -> u32 {
        self.runs.keys().filter(|task| task.job == *job && task.step == step).count() as u32
    }
}
