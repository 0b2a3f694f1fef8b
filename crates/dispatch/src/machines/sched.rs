//! The scheduler of a zone: it owns the zone's upstreams and runs jobs on them.

use std::collections;

use state::{name, policy};

use crate::{
    decisions::forecast,
    messages::{
        event, incarnation,
        job::{Task, Verdict},
        message,
        order::{Call, End},
        parts, suspect, time, upstream,
    },
    tables::{
        active::{ActiveJob, Phase},
        call_timeout, lasting,
        session::{Pace, Session},
        speed,
    },
};

/// How long runs that a former scheduler started for an entry may continue after the entry last
/// informed that scheduler that it awaits the job, microseconds. It covers the time after which the
/// scheduler drops the job ([`upkeep::ABANDON_AFTER`]), the next tick and the last lease that it
/// granted, since it grants none to an upstream with a run that nobody wants; `upkeep` checks the
/// sum. The time counts from the handover of each job, because an entry may leave a scheduler long
/// after the next claim.
pub(crate) const FORMER_RUN_TIMEOUT: u64 = 2_000 * time::MS;
/// [`FORMER_RUN_TIMEOUT`] where several schedulers have the parts of a zone, microseconds. The
/// holder of another part may find such a run as long as it lasts. A holder of some parts grants no
/// lease to an upstream with a run of an unknown job. One that claims the whole zone without
/// knowing of the parts may grant leases until it stops the run: that adds
/// [`outcome::ORPHAN_GRACE`], a tick and another lease; `upkeep` checks the sum.
pub(crate) const SPLIT_RUN_TIMEOUT: u64 = 3_150 * time::MS;
/// Longest lease that a scheduler grants, milliseconds. Upstreams may grant far longer ones, but
/// what a lost scheduler has started goes on until its lease ends, and a client that lost its entry
/// submits its job again after 1,300 ms.
pub(crate) const MAX_LEASE: u64 = 950;
/// Length of a lease, in per cent of the longest lease that upstreams grant. The rest covers the
/// network delay to the upstream.
const LEASE_PERCENT: u64 = 95;
/// How long the scheduler keeps the ends of runs of unknown jobs, microseconds: their entries may
/// submit these jobs again.
const END_RETENTION: u64 = 3_000 * time::MS;
/// How long the scheduler keeps verdicts for entries that did not receive them, microseconds.
const VERDICT_RETENTION: u64 = 4_000 * time::MS;
/// How many upstreams that have not answered yet, or did not answer the last call, are probed at
/// the same time. The scheduler probes the next one when one has answered or its timeout (50 ms) is
/// over: a thousand probes at once would not get connections within that time, and the scheduler
/// would then repeat them all at once.
const MAX_PROBES: usize = 16;

/// Position of the slot in a call number. Call numbers follow the clock, with 256 for each
/// microsecond, so that the bits above stay free for years.
const SLOT_SHIFT: u32 = 60;

/// Effects collected since the last [`Sched::take_output`].
#[derive(Debug, Default)]
pub struct Output {
    /// Calls to upstreams.
    pub calls: Vec<Call>,
    /// Final states of jobs, for their entries: entry, job, decision.
    pub verdicts: Vec<(name::Name, name::Name, message::Decision)>,
    /// Tasks that the scheduler returns to their entries: entry, job, tasks.
    pub returned: Vec<(name::Name, name::Name, message::ReturnedTasks)>,
    /// Incarnations that have answered and not announced themselves yet.
    pub found: Vec<upstream::Record>,
    /// Upstreams that are gone; `true` if that incarnation has ended for good.
    pub gone: Vec<(incarnation::Incarnation, bool)>,
    /// Upstreams that have seen a higher fencing token than any that this scheduler used.
    pub outranked: Vec<incarnation::Incarnation>,
    /// Decisions to be logged.
    pub notes: Vec<event::Note>,
    /// Durations for histograms.
    pub measures: Vec<event::Measure>,
}

/// The purpose of a call, kept until its outcome is known.
#[derive(Clone, Debug)]
pub(crate) enum CallPurpose {
    Hold,
    Start(Task, u32),
    Stop,
}

/// The scheduler of one zone, or of parts of it.
#[derive(Debug)]
pub struct Sched {
    /// The parts of the zone that it schedules.
    pub(crate) parts: parts::Parts,
    /// Upstreams of these parts.
    pub sessions: collections::BTreeMap<incarnation::Incarnation, Session>,
    pub(crate) jobs: collections::BTreeMap<name::Name, ActiveJob>,
    /// Calls without an outcome by number: upstream, time of sending and purpose.
    pub(crate) pending_calls:
        collections::HashMap<u64, (incarnation::Incarnation, u64, CallPurpose)>,
    /// Ends of runs of unknown jobs, and when the scheduler learned of each.
    pub(crate) ends: collections::HashMap<Task, (End, u64)>,
    /// Runs of unknown jobs, and when each of them counts as unwanted.
    pub(crate) orphan_runs: collections::BTreeMap<Task, u64>,
    /// Jobs that former schedulers had on upstreams of which this scheduler may not know all.
    pub(crate) uncovered_jobs: collections::BTreeSet<name::Name>,
    /// The number in the directory up to which each entry knows the upstreams.
    pub(crate) known: collections::BTreeMap<name::Name, u64>,
    pub(crate) verdicts: collections::HashMap<name::Name, (message::Decision, u64)>,
    /// Jobs whose tasks are returned if they cannot start at once.
    pub(crate) offers: collections::BTreeSet<name::Name>,
    pub(crate) epoch: u64,
    pub(crate) since: u64,
    /// Length of the leases that this scheduler grants, milliseconds.
    pub(crate) lease: u64,
    /// Longest lease that upstreams grant, milliseconds.
    pub(crate) longest_lease: u64,
    pub(crate) number: u64,
    /// Upstreams without a pending hold.
    pub(crate) idle_sessions: collections::BTreeSet<incarnation::Incarnation>,
    pub(crate) dirty: bool,
    /// Whether there may be less room at idle upstreams than when the jobs arrived.
    pub(crate) shrunk: bool,
    pub(crate) evacuated: bool,
    pub(crate) policy: policy::Policy,
    pub(crate) findings: suspect::Findings,
    pub(crate) call_timeout: call_timeout::CallTimeout,
    pub(crate) usual_ratio: speed::UsualRatio,
    pub(crate) scatter: lasting::Scatter,
    pub(crate) paces: forecast::Paces,
    pub(crate) out: Output,
}

impl Sched {
    /// Creates the scheduler of a zone that was claimed with `epoch`. Upstreams grant leases of at
    /// most `longest_lease` milliseconds.
    pub fn new(epoch: u64, longest_lease: u64, now: u64) -> Self {
        Self {
            parts: parts::Parts::ALL,
            sessions: collections::BTreeMap::new(),
            jobs: collections::BTreeMap::new(),
            pending_calls: collections::HashMap::new(),
            ends: collections::HashMap::new(),
            orphan_runs: collections::BTreeMap::new(),
            uncovered_jobs: collections::BTreeSet::new(),
            known: collections::BTreeMap::new(),
            verdicts: collections::HashMap::new(),
            offers: collections::BTreeSet::new(),
            epoch,
            since: now,
            lease: MAX_LEASE.min(longest_lease * LEASE_PERCENT / 100),
            longest_lease,
            number: now << 8,
            idle_sessions: collections::BTreeSet::new(),
            dirty: false,
            shrunk: false,
            evacuated: false,
            policy: policy::Policy::default(),
            findings: suspect::Findings::default(),
            call_timeout: call_timeout::CallTimeout::default(),
            usual_ratio: speed::UsualRatio::default(),
            scatter: lasting::Scatter::default(),
            paces: forecast::Paces::default(),
            out: Output::default(),
        }
    }

    /// Sets the scheduling policy.
    #[must_use]
    pub fn with_policy(self, policy: policy::Policy) -> Self {
        Self { policy, ..self }
    }

    /// Limits it to parts of the zone.
    #[must_use]
    pub fn with_parts(self, parts: parts::Parts) -> Self {
        Self { parts, ..self }
    }

    /// Separates its call numbers from those of the other schedulers of this instance.
    #[must_use]
    pub fn with_slot(self, slot: u64) -> Self {
        Self { number: slot << SLOT_SHIFT | self.number, ..self }
    }

    /// Whether this scheduler awaits the outcome of the call with this number.
    pub fn expects(&self, number: u64) -> bool {
        self.pending_calls.contains_key(&number)
    }

    /// Returns the effects collected so far and clears them.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Returns the findings about tasks and lost upstreams and clears them; the next placement
    /// takes them into account.
    pub fn take_findings(&mut self) -> suspect::Findings {
        std::mem::take(&mut self.findings)
    }

    /// The number of active jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The entry of an active job.
    pub fn entry(&self, job: &name::Name) -> Option<&name::Name> {
        self.jobs.get(job).map(|active| &active.entry)
    }

    /// The number of tasks that wait for room.
    pub fn waiting(&self) -> u64 {
        self.jobs.values().map(|active| u64::from(active.waiting())).sum()
    }

    /// The cores of the upstreams that accept tasks; the free ones are reduced by what the waiting
    /// tasks need. No upstream counts while the zone is evacuated.
    pub fn load(&self, now: u64) -> message::Load {
        let open = self.sessions.values().filter(|session| !self.evacuated && session.is_open(now));
        let open = open.filter(|session| !session.health.is_ejected(now));
        let open = open.filter(|session| session.slowness(self.policy, now) <= 1.0);
        let mut load = message::Load::default();
        for session in open {
            load.free += session.free(now).cpu as i64;
            load.total += session.record.room.cpu as i64;
        }
        for active in self.jobs.values() {
            load.free -= active.waiting_cpu();
        }
        load
    }

    /// Applies a new record of an upstream of the zone; those of other parts have no effect.
    pub fn update_upstream(&mut self, record: &upstream::Record) {
        if !self.parts.covers(parts::Parts::of(&record.id)) {
            return;
        }
        let known = self.sessions.get_mut(&record.id);
        match (known, record.phase) {
            (Some(session), _)
                if record.serial == u64::MAX && session.record.serial != u64::MAX =>
            {
                self.remove_upstream(&record.id.clone());
            }
            (Some(session), _) => {
                if record.phase != upstream::Phase::Gone {
                    session.update_record(record.clone());
                }
            }
            (None, upstream::Phase::Gone) => {}
            (None, _) => {
                let mut session = Session::new(record.clone(), self.epoch);
                session.first_call = self.number;
                self.sessions.insert(record.id.clone(), session);
                self.idle_sessions.insert(record.id.clone());
            }
        }
        self.shrunk |= record.phase != upstream::Phase::Serving;
        self.dirty = true;
    }

    /// Sets the number of an upstream in the directory of this instance.
    pub fn set_number(&mut self, id: &incarnation::Incarnation, number: u64) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.number = number;
        }
    }

    /// Records that an entry knows the upstreams up to a number.
    pub fn record_known(&mut self, entry: &name::Name, number: u64) {
        let known = self.known.entry(entry.clone()).or_default();
        if number > *known {
            *known = number;
            self.dirty = true;
        }
    }

    /// Removes from each job those sets of upstreams that this scheduler knows and schedules.
    pub fn clear_covered(&mut self, is_known: impl Fn(u64) -> bool) {
        for id in std::mem::take(&mut self.uncovered_jobs) {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            let parts = self.parts;
            active.uncovered.retain(|set| !(parts.covers(set.parts) && is_known(set.digest)));
            if active.uncovered.is_empty() {
                self.dirty = true;
            } else {
                self.uncovered_jobs.insert(id);
            }
        }
    }

    /// Handles everything that is due at `now`. `clock_of` returns the latest possible clock
    /// reading of an entry from which messages arrive.
    pub fn tick(&mut self, clock_of: impl Fn(&name::Name) -> Option<u64>, now: u64) {
        self.drop_abandoned(&clock_of, now);
        self.expire_jobs(now);
        self.refuse_too_large(now);
        self.expire_leases(now);
        self.compare_speeds(now);
        self.mark_orphans(now);
        self.give_up_lost(now);
        self.ends.retain(|_, (_, at)| now < *at + END_RETENTION);
        self.verdicts.retain(|_, (_, at)| now < *at + VERDICT_RETENTION);
        self.dirty = true;
    }

    /// Starts waiting tasks and sends the calls that are due to upstreams. `clock_of` returns the
    /// latest possible clock reading of an entry from which messages arrive: a job that waited in
    /// buffers, here or on the way, may have been handed to another scheduler since. Tasks in
    /// `suspects` run apart from others.
    pub fn run(
        &mut self,
        clock_of: impl Fn(&name::Name) -> Option<u64>,
        suspects: &suspect::Suspects,
        now: u64,
    ) {
        if std::mem::take(&mut self.dirty) {
            self.send_stops(now);
            if self.evacuated {
                self.return_all(now);
            } else {
                self.dispatch(&clock_of, suspects, now);
            }
            self.return_offers(now);
        }
        let pending = self
            .sessions
            .values()
            .filter(|session| session.is_pending() && !session.is_responsive());
        let mut probes = MAX_PROBES.saturating_sub(pending.count());
        let (call_timeout, stop_hung) = (self.call_timeout, self.policy.stop_hung);
        let pace = Pace { sessions: self.sessions.len(), call_timeout, stop_hung };
        for id in std::mem::take(&mut self.idle_sessions) {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if !session.is_responsive() && session.is_due(now) {
                if probes == 0 {
                    self.idle_sessions.insert(id);
                    continue;
                }
                probes -= 1;
            }
            self.number += 1;
            match session.next_call(self.number, self.lease, pace, now) {
                Some(call) => {
                    self.pending_calls.insert(call.number, (id, now, CallPurpose::Hold));
                    self.out.calls.push(call);
                }
                None if !session.is_pending() => {
                    self.idle_sessions.insert(id);
                }
                None => {}
            }
        }
    }

    /// Takes over all upstreams again, with a token above the one that some of them have seen: the
    /// owner of that token may have started any task on any upstream.
    pub fn supersede(&mut self, epoch: u64, now: u64) {
        self.epoch = epoch;
        self.since = now;
        for session in self.sessions.values_mut() {
            session.take_over(epoch, now);
        }
        self.idle_sessions.extend(self.sessions.keys().cloned());
        let wait = self.former_wait(false);
        for active in self.jobs.values_mut() {
            active.job.resumed = true;
            active.started = true;
            active.runs_end = active.runs_end.max(now + wait);
        }
        self.dirty = true;
    }

    /// How long runs of former schedulers may continue after the entry last asked one of them,
    /// microseconds. `split` says that schedulers of some parts of the zone may have found them.
    pub(crate) fn former_wait(&self, split: bool) -> u64 {
        if split || !self.parts.is_all() { SPLIT_RUN_TIMEOUT } else { FORMER_RUN_TIMEOUT }
    }

    /// Handles a new incarnation of the upstream at its address: no run of the former one is left.
    pub(crate) fn handle_replaced(&mut self, id: &incarnation::Incarnation) {
        self.note("upstream: Replaced by a new incarnation.", &id.name, "");
        self.out.gone.push((id.clone(), true));
        let ran = self
            .sessions
            .get(id)
            .filter(|session| session.record.phase == upstream::Phase::Serving);
        let ran = ran.map(|session| session.runs.keys().chain(&session.lapsed).cloned().collect());
        self.remove_upstream(id);
        if let Some(tasks) = ran {
            self.report_loss(suspect::Loss { upstream: id.clone(), proved: true, tasks });
        }
    }

    /// Reports to all schedulers the loss of an upstream on which tasks may have been running.
    pub(crate) fn report_loss(&mut self, loss: suspect::Loss) {
        if loss.tasks.is_empty() {
            return;
        }
        let detail = format!("{} tasks, proved {}", loss.tasks.len(), loss.proved);
        self.note("upstream: Lost while it ran tasks.", &loss.upstream.name, &detail);
        self.findings.losses.push(loss);
    }

    /// Fails the jobs of tasks that were running on too many lost upstreams.
    pub fn give_up(&mut self, tasks: &[Task], now: u64) {
        for task in tasks {
            if self.jobs.contains_key(&task.job) {
                let detail = format!("task {}.{}", task.step, task.index);
                self.note("job: Given up, its tasks crash upstreams.", &task.job, &detail);
                self.finish(&task.job, Verdict::Failed, now);
            }
        }
    }

    pub(crate) fn remove_upstream(&mut self, id: &incarnation::Incarnation) {
        if let Some(session) = self.sessions.remove(id) {
            for task in session.runs.into_keys() {
                self.requeue(id, &task);
            }
        }
        self.shrunk = true;
        self.dirty = true;
    }

    pub(crate) fn requeue(&mut self, id: &incarnation::Incarnation, task: &Task) {
        if let Some(active) = self.jobs.get_mut(&task.job)
            && active.task(task).is_some_and(|item| item.phase == Phase::Placed(id.clone()))
        {
            active.set_phase(task, Phase::Waiting);
        }
    }

    /// Marks a run as no longer wanted; the scheduler then sends the order to stop it.
    pub(crate) fn mark_unwanted(&mut self, id: &incarnation::Incarnation, task: &Task) {
        if let Some(run) = self.sessions.get_mut(id).and_then(|session| session.runs.get_mut(task))
        {
            run.unwanted.get_or_insert(0);
        }
        self.dirty = true;
    }

    /// Completes a job if all its tasks are done.
    pub(crate) fn finish_if_complete(&mut self, id: &name::Name, now: u64) {
        if self.jobs.get(id).is_some_and(ActiveJob::is_complete) {
            self.finish(id, Verdict::Complete, now);
        }
    }

    pub(crate) fn finish(&mut self, id: &name::Name, verdict: Verdict, now: u64) {
        if let Some(active) = self.jobs.get(id) {
            let mut detail = format!(
                "{verdict:?} {} ms after it arrived, {} tasks still waited, for {}",
                now.saturating_sub(active.arrived) / time::MS,
                active.waiting(),
                active.entry
            );
            if let Some(parts) = active.last_breakdown {
                detail = format!("{detail}, {parts}");
            }
            let note = event::Note { text: "job: Ended.", subject: id.clone(), detail };
            self.out.notes.push(note);
            let (entry, number, share) = (active.entry.clone(), active.number, active.held());
            self.send_verdict(&entry, id, message::Decision { number, share, verdict }, now);
        }
        self.drop_job(id);
    }

    /// Sends a job's verdict to its entry, and keeps the verdict.
    pub(crate) fn send_verdict(
        &mut self,
        entry: &name::Name,
        id: &name::Name,
        decision: message::Decision,
        now: u64,
    ) {
        self.out.verdicts.push((entry.clone(), id.clone(), decision.clone()));
        self.verdicts.insert(id.clone(), (decision, now));
    }

    pub(crate) fn drop_job(&mut self, id: &name::Name) {
        let Some(active) = self.jobs.remove(id) else { return };
        for (step, items) in active.tasks.iter().enumerate() {
            for (index, item) in items.iter().enumerate() {
                if let Phase::Placed(session) = &item.phase {
                    let task = Task { job: id.clone(), step: step as u32, index: index as u32 };
                    self.mark_unwanted(&session.clone(), &task);
                }
            }
        }
        self.dirty = true;
    }

    pub(crate) fn note(&mut self, text: &'static str, subject: &name::Name, detail: &str) {
        let note = event::Note { text, subject: subject.clone(), detail: detail.to_owned() };
        self.out.notes.push(note);
    }
}
