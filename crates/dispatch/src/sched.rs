//! The scheduler of a zone: it owns the zone's upstreams and runs jobs on them.

use std::collections;

use state::{name, policy};

use crate::{
    active::{Active, Phase},
    call_timeout, event,
    job::{Task, Verdict},
    message,
    order::{Call, End},
    session::{Pace, Session},
    speed, suspect, time, upstream,
};

/// Runs that a former scheduler started for an entry may go on this long after the entry last told
/// it that it waits, microseconds: the time after which it drops the job ([`upkeep::ABANDONED`],
/// 900 ms, and a tick of 40 ms) and the lease that it renewed last (950 ms and 2.5% for clocks).
/// Counted from the hand-over of each job: an entry may leave a scheduler long after the next claim.
pub(crate) const FORMER: u64 = 2_000 * time::MS;
/// Ends of unknown jobs are kept this long, microseconds: their entries may hand them in again.
const KEEP_ENDS: u64 = 3_000 * time::MS;
/// Verdicts are kept this long, for entries that did not get them.
const KEEP_VERDICTS: u64 = 4_000 * time::MS;
/// Upstreams that did not answer yet, or the last time, are asked so many at a time. The next one is
/// asked when one has answered or its time (50 ms) is over: a thousand at once would not get
/// connections within it, and be asked again all at once.
const PROBES: usize = 16;

/// Numbers of calls follow the clock, with 256 for each microsecond: the bits above are free for years.
const SLOT_SHIFT: u32 = 60;

/// Effects of the last calls.
#[derive(Debug, Default)]
pub struct Output {
    /// Calls to upstreams.
    pub calls: Vec<Call>,
    /// How jobs ended, for entries.
    pub verdicts: Vec<(name::Name, name::Name, message::Ruling)>,
    /// Tasks that are given back, for entries.
    pub spares: Vec<(name::Name, name::Name, message::Spare)>,
    /// Upstreams that are gone; `true` if that life of them is over for good.
    pub gone: Vec<(name::Name, bool)>,
    /// Upstreams that have seen a higher fencing token than any this scheduler used.
    pub outranked: Vec<name::Name>,
    /// Decisions worth a log line.
    pub notes: Vec<event::Note>,
    /// Times for histograms.
    pub measures: Vec<event::Measure>,
}

/// What a call was for, kept until its outcome is known.
#[derive(Clone, Debug)]
pub(crate) enum Sent {
    Hold,
    Start(Task, u32),
    Stop,
}

/// The scheduler of one zone.
#[derive(Debug)]
pub struct Sched {
    /// Upstreams of the zone.
    pub sessions: collections::BTreeMap<name::Name, Session>,
    pub(crate) jobs: collections::BTreeMap<name::Name, Active>,
    pub(crate) sent: collections::HashMap<u64, (name::Name, u64, Sent)>,
    pub(crate) ends: collections::HashMap<Task, (End, u64)>,
    pub(crate) orphans: collections::BTreeMap<Task, u64>,
    /// Jobs that former schedulers had with upstreams of which not all may be known here.
    pub(crate) unsure: collections::BTreeSet<name::Name>,
    /// Up to which number each entry knows the upstreams.
    pub(crate) known: collections::BTreeMap<name::Name, u64>,
    pub(crate) verdicts: collections::HashMap<name::Name, (message::Ruling, u64)>,
    /// Jobs of which what cannot start at once is given back.
    pub(crate) offers: collections::BTreeSet<name::Name>,
    pub(crate) epoch: u64,
    pub(crate) since: u64,
    pub(crate) lease: u64,
    pub(crate) number: u64,
    /// Upstreams without a hold under way.
    pub(crate) unasked: collections::BTreeSet<name::Name>,
    pub(crate) dirty: bool,
    pub(crate) evacuated: bool,
    pub(crate) policy: policy::Policy,
    pub(crate) findings: suspect::Findings,
    pub(crate) call_timeout: call_timeout::CallTimeout,
    pub(crate) usual: speed::Usual,
    pub(crate) out: Output,
}

impl Sched {
    /// A scheduler that has claimed its zone with `epoch`. Leases are `lease` milliseconds long.
    pub fn new(epoch: u64, lease: u64, now: u64) -> Self {
        Self {
            sessions: collections::BTreeMap::new(),
            jobs: collections::BTreeMap::new(),
            sent: collections::HashMap::new(),
            ends: collections::HashMap::new(),
            orphans: collections::BTreeMap::new(),
            unsure: collections::BTreeSet::new(),
            known: collections::BTreeMap::new(),
            verdicts: collections::HashMap::new(),
            offers: collections::BTreeSet::new(),
            epoch,
            since: now,
            lease,
            number: now << 8,
            unasked: collections::BTreeSet::new(),
            dirty: false,
            evacuated: false,
            policy: policy::Policy::default(),
            findings: suspect::Findings::default(),
            call_timeout: call_timeout::CallTimeout::default(),
            usual: speed::Usual::default(),
            out: Output::default(),
        }
    }

    /// Lets it decide by `policy`.
    #[must_use]
    pub fn with_policy(self, policy: policy::Policy) -> Self {
        Self { policy, ..self }
    }

    /// Numbers its calls apart from those of the other schedulers of this instance.
    #[must_use]
    pub fn with_slot(self, slot: u64) -> Self {
        Self { number: slot << SLOT_SHIFT | self.number, ..self }
    }

    /// Whether a call of this number is its own.
    pub fn expects(&self, number: u64) -> bool {
        self.sent.contains_key(&number)
    }

    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Takes what it has found out about tasks and lost upstreams; the next placing goes by it.
    pub fn take_findings(&mut self) -> suspect::Findings {
        std::mem::take(&mut self.findings)
    }

    /// Jobs under way.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The entry of a job under way.
    pub fn entry(&self, job: &name::Name) -> Option<&name::Name> {
        self.jobs.get(job).map(|active| &active.entry)
    }

    /// Tasks that wait for room.
    pub fn waiting(&self) -> u64 {
        self.jobs.values().map(|active| u64::from(active.waiting())).sum()
    }

    /// Room of the upstreams that take work, less what waits; none while the zone is evacuated.
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

    /// Takes news of an upstream of the zone.
    pub fn record(&mut self, record: &upstream::Record) {
        let known = self.sessions.get_mut(&record.id);
        match (known, record.phase) {
            (Some(session), _)
                if record.serial == u64::MAX && session.record.serial != u64::MAX =>
            {
                self.bury(&record.id.clone());
            }
            (Some(session), _) => {
                if record.phase != upstream::Phase::Gone {
                    session.told(record.clone());
                }
            }
            (None, upstream::Phase::Gone) => {}
            (None, _) => {
                let session = Session::new(record.clone(), self.epoch);
                self.sessions.insert(record.id.clone(), session);
                self.unasked.insert(record.id.clone());
            }
        }
        self.dirty = true;
    }

    /// Notes the number of an upstream in the directory of this instance.
    pub fn number(&mut self, id: &name::Name, number: u64) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.number = number;
        }
    }

    /// An entry is known to know the upstreams up to a number.
    pub fn learn(&mut self, entry: &name::Name, number: u64) {
        let known = self.known.entry(entry.clone()).or_default();
        if number > *known {
            *known = number;
            self.dirty = true;
        }
    }

    /// Forgets the sets of upstreams that are covered by what is known here.
    pub fn cover(&mut self, is_covered: impl Fn(u64) -> bool) {
        for id in std::mem::take(&mut self.unsure) {
            let Some(active) = self.jobs.get_mut(&id) else { continue };
            active.uncovered.retain(|digest| !is_covered(*digest));
            if active.uncovered.is_empty() {
                self.dirty = true;
            } else {
                self.unsure.insert(id);
            }
        }
    }

    /// Lets time pass. `alive` gives what the clocks of the entries that are heard show at most.
    pub fn tick(&mut self, alive: impl Fn(&name::Name) -> Option<u64>, now: u64) {
        self.drop_abandoned(&alive, now);
        self.expire(now);
        self.lapse(now);
        self.mark_orphans(now);
        self.give_up_lost(now);
        self.ends.retain(|_, (_, at)| now < *at + KEEP_ENDS);
        self.verdicts.retain(|_, (_, at)| now < *at + KEEP_VERDICTS);
        self.dirty = true;
    }

    /// Starts what can be started and asks whom it is time to ask. `alive` gives what the
    /// clocks of the entries that are heard show at most: a job that waited in buffers, here or on
    /// the way, may have been handed to another scheduler since. `suspects` run apart.
    pub fn run(
        &mut self,
        alive: impl Fn(&name::Name) -> Option<u64>,
        suspects: &suspect::Suspects,
        now: u64,
    ) {
        if std::mem::take(&mut self.dirty) {
            self.send_stops(now);
            if self.evacuated {
                self.return_all(now);
            } else {
                self.dispatch(&alive, suspects, now);
            }
            self.return_offers(now);
        }
        let asked =
            self.sessions.values().filter(|session| session.is_asked() && !session.is_heard());
        let mut probes = PROBES.saturating_sub(asked.count());
        let pace = Pace { sessions: self.sessions.len(), call_timeout: self.call_timeout };
        for id in std::mem::take(&mut self.unasked) {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if !session.is_heard() && session.is_due(now) {
                if probes == 0 {
                    self.unasked.insert(id);
                    continue;
                }
                probes -= 1;
            }
            self.number += 1;
            match session.due(self.number, self.lease, pace, now) {
                Some(call) => {
                    self.sent.insert(call.number, (id, now, Sent::Hold));
                    self.out.calls.push(call);
                }
                None if !session.is_asked() => {
                    self.unasked.insert(id);
                }
                None => {}
            }
        }
    }

    /// Takes all upstreams over again, above the token that some of them have seen: whoever used
    /// it may have started anything anywhere.
    pub fn supersede(&mut self, epoch: u64, now: u64) {
        self.epoch = epoch;
        self.since = now;
        for session in self.sessions.values_mut() {
            session.take_over(epoch, now);
        }
        self.unasked.extend(self.sessions.keys().cloned());
        for active in self.jobs.values_mut() {
            active.job.resumed = true;
            active.started = true;
            active.over = active.over.max(now + FORMER);
        }
        self.dirty = true;
    }

    /// Another life of the upstream is at its address: nothing of the former one runs.
    pub(crate) fn replaced(&mut self, id: &name::Name) {
        self.note("upstream: Replaced by another life.", id, "");
        self.out.gone.push((id.clone(), true));
        let ran = self
            .sessions
            .get(id)
            .filter(|session| session.record.phase == upstream::Phase::Serving);
        let ran = ran.map(|session| session.runs.keys().chain(&session.lapsed).cloned().collect());
        self.bury(id);
        if let Some(tasks) = ran {
            self.lose(suspect::Loss { upstream: id.clone(), proved: true, tasks });
        }
    }

    /// An upstream was lost while tasks may have been running there; all schedulers are told.
    pub(crate) fn lose(&mut self, loss: suspect::Loss) {
        if loss.tasks.is_empty() {
            return;
        }
        let detail = format!("{} tasks, proved {}", loss.tasks.len(), loss.proved);
        self.note("upstream: Lost with what ran there.", &loss.upstream, &detail);
        self.findings.losses.push(loss);
    }

    /// Gives up the jobs of tasks that have too many lost upstreams behind them.
    pub fn give_up(&mut self, tasks: &[Task], now: u64) {
        for task in tasks {
            if self.jobs.contains_key(&task.job) {
                let detail = format!("task {}.{}", task.step, task.index);
                self.note("job: Given up, it brings upstreams down.", &task.job, &detail);
                self.finish(&task.job, Verdict::Failed, now);
            }
        }
    }

    pub(crate) fn bury(&mut self, id: &name::Name) {
        if let Some(session) = self.sessions.remove(id) {
            for task in session.runs.into_keys() {
                self.requeue(id, &task);
            }
        }
        self.dirty = true;
    }

    pub(crate) fn requeue(&mut self, id: &name::Name, task: &Task) {
        if let Some(active) = self.jobs.get_mut(&task.job)
            && active.item(task).is_some_and(|item| item.phase == Phase::Placed(id.clone()))
        {
            active.set(task, Phase::Waiting);
        }
    }

    /// Marks a run as not wanted any more; it is told to stop.
    pub(crate) fn mark_unwanted(&mut self, id: &name::Name, task: &Task) {
        if let Some(run) = self.sessions.get_mut(id).and_then(|session| session.runs.get_mut(task))
        {
            run.unwanted.get_or_insert(0);
        }
        self.dirty = true;
    }

    /// Ends a job if all its tasks are done.
    pub(crate) fn settle(&mut self, id: &name::Name, now: u64) {
        if self.jobs.get(id).is_some_and(Active::is_complete) {
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
            if let Some(parts) = active.last {
                detail = format!("{detail}, {parts}");
            }
            let note = event::Note { text: "job: Ended.", subject: id.clone(), detail };
            self.out.notes.push(note);
            let (entry, number, share) = (active.entry.clone(), active.number, active.held());
            self.rule(&entry, id, message::Ruling { number, share, verdict }, now);
        }
        self.drop_job(id);
    }

    /// Tells an entry how a job ended, and remembers it.
    pub(crate) fn rule(
        &mut self,
        entry: &name::Name,
        id: &name::Name,
        ruling: message::Ruling,
        now: u64,
    ) {
        self.out.verdicts.push((entry.clone(), id.clone(), ruling.clone()));
        self.verdicts.insert(id.clone(), (ruling, now));
    }

    pub(crate) fn drop_job(&mut self, id: &name::Name) {
        let Some(active) = self.jobs.remove(id) else { return };
        for (step, items) in active.items.iter().enumerate() {
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
