//! The entry's side of a job: it tracks which schedulers hold its tasks, and reassigns tasks when a
//! scheduler is lost.
//!
//! Each task is assigned to one scheduler at a time. The entry offers a job to the scheduler of its
//! own zone, which starts the tasks that it has room for and returns the rest; the entry offers
//! these to the next zone that may have room. Tasks for which no zone has room wait in one of them.
//! When a scheduler is lost, the entry hands its tasks to the successor, marked as resumed, and the
//! successor finds those that still run.
//!
//! This handles zones of 28 slots with a load of 80% of their capacity and above, and jobs of 8
//! tasks. One zone or another is full at nearly any time, but all of them are never full together.
//! Loads in heartbeats are 150 ms old, and two thirds of all slots change their task within that
//! time, so that the loads only indicate which zone to ask first.

mod ending;
mod leftovers;
mod reservation;

use std::collections;

use state::{name, policy};

use crate::{
    decisions::{assignment, view::View},
    machines::sched,
    messages::{
        claim,
        event::{Measure, Note, Reply, Ticket},
        job::{Job, Refusal, Verdict},
        message::{Awaited, Body, Decision, Handover, Load, ReturnedTasks},
        share, time,
    },
    tables::{loads, requests},
};

pub(crate) use reservation::TAKEOVER_TIME;

/// Interval at which the entry informs a scheduler that it still awaits its jobs, microseconds: a
/// job that is lost on the way is delayed by little more than this.
const AWAIT_INTERVAL: u64 = 300 * time::MS;
/// How long a job that could not be handed to any scheduler waits before it is refused,
/// microseconds: the time in which a zone replaces its scheduler (heartbeats missed for 500 ms, and
/// one or two election turns of 300 ms).
const NO_SCHEDULER_TIMEOUT: u64 = 1_400 * time::MS;
/// Times by which the entry handles its assignments: after a lost scheduler has dropped the job and
/// its leases have expired, another zone may take the job.
const LIMITS: assignment::Limits = assignment::Limits {
    interval: AWAIT_INTERVAL,
    expiry: sched::FORMER_RUN_TIMEOUT,
    split_expiry: sched::SPLIT_RUN_TIMEOUT,
};
/// A scheduler is late if its last message is this much older than that of another scheduler,
/// microseconds: the heartbeats of both are 150 ms apart. An entry that is late itself receives the
/// messages of all of them late.
const LATE_AFTER: u64 = 200 * time::MS;
/// How long a job waits for the scheduler of its entry's own zone where that zone has none and no
/// other zone has room at once, microseconds: a scheduler that starts with its upstreams known
/// claims its zone after 150 ms, and the next instance that is running 300 ms later. Without this
/// wait all incoming jobs would fill the queues of the other zones meanwhile.
const HOME_WAIT: u64 = 400 * time::MS;

/// How long the entry remembers how jobs ended, for clients that submit them again, microseconds.
const END_RETENTION: u64 = 4_000 * time::MS;
/// Detail of the log line of a job that is cancelled because nobody awaits it.
const NO_CLIENT: &str = "its client has left";

/// Effects collected since the last [`Submissions::take_output`].
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send, with their receivers.
    pub sends: Vec<(name::Name, Body)>,
    /// Replies, with the tickets that await them.
    pub replies: Vec<(Ticket, Reply)>,
    /// Decisions to be logged.
    pub notes: Vec<Note>,
    /// Durations for histograms.
    pub measures: Vec<Measure>,
}

#[derive(Debug)]
struct OpenJob {
    job: Job,
    tickets: smallvec::SmallVec<[Ticket; 1]>,
    arrived: u64,
    /// Its tasks that are not known to be done, grouped by the scheduler that holds them.
    parts: smallvec::SmallVec<[assignment::Assignment; 1]>,
    /// Whether a scheduler kept some of the tasks when it returned others, or has completed them.
    maybe_started: bool,
    /// Whether a completed part had been assigned to another scheduler before.
    resumed: bool,
    /// Zones in which parts of it were completed.
    zones: smallvec::SmallVec<[name::Name; 1]>,
    /// Tasks of it that no part accounts for and that may still run.
    leftovers: leftovers::Leftovers,
    /// Whether this entry or another one has the job.
    standing: reservation::Standing,
}

/// The open jobs of the clients of one entry.
#[derive(Debug, Default)]
pub struct Submissions {
    open: collections::BTreeMap<name::Name, OpenJob>,
    tickets: collections::HashMap<Ticket, name::Name>,
    loads: loads::Loads,
    requests: requests::Requests,
    /// Jobs that have ended a short time ago.
    ended: collections::HashMap<name::Name, reservation::Ending>,
    /// Time of the last tick.
    last_tick: u64,
    /// Time since which no scheduler that could take tasks is available.
    leaderless: Option<u64>,
    /// Number of the last handover.
    number: u64,
    policy: policy::Policy,
    out: Output,
}

/// The scheduler chosen for a set of tasks.
#[derive(Debug)]
struct ChosenScheduler {
    claim: claim::Claim,
    /// Whether the scheduler returns tasks that it has no room for, so that the entry can ask
    /// others.
    offer: bool,
}

impl Submissions {
    /// Sets the scheduling policy.
    #[must_use]
    pub fn with_policy(self, policy: policy::Policy) -> Self {
        Self { policy, ..self }
    }

    /// Returns the effects collected so far and clears them. `incarnation` is that of this
    /// instance.
    pub fn take_output(&mut self, incarnation: u64) -> Output {
        let mut out = std::mem::take(&mut self.out);
        out.sends.extend(self.requests.take_unsent(incarnation));
        out
    }

    /// The number of jobs that clients await.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Records the load that a scheduler of a zone reports for its upstreams.
    pub fn record_load(&mut self, zone: &name::Name, holder: &name::Name, load: Load, now: u64) {
        self.loads.record(zone, holder, load, now);
    }

    /// Whether less than a quarter of a zone is free by the last known loads of the holders of
    /// these claims to it: between two heartbeats of a scheduler, tasks may take that much.
    pub fn is_short<'a>(&self, claims: impl Iterator<Item = &'a claim::Claim>) -> bool {
        self.loads.sum(claims).is_some_and(|load| load.free * 4 <= load.total)
    }

    /// The schedulers that hold jobs of this entry's clients.
    pub fn schedulers(&self) -> impl Iterator<Item = &name::Name> {
        let parts = self.open.values().flat_map(|open| &open.parts);
        parts.filter_map(|part| part.claim.as_ref()).map(|claim| &claim.holder)
    }

    /// Accepts a job from a client.
    pub fn submit(&mut self, ticket: Ticket, job: Job, view: View<'_>) {
        let id = job.id.clone();
        if self.repeat_verdict(ticket, &id) {
            return;
        }
        self.tickets.insert(ticket, id.clone());
        if let Some(open) = self.open.get_mut(&id) {
            open.tickets.push(ticket);
            return;
        }
        let number = self.next_number(view.now);
        let part = assignment::Assignment::new(number, share::Share::ALL, view.now);
        let (tickets, parts) = (smallvec::smallvec![ticket], smallvec::smallvec![part]);
        let (arrived, zones) = (view.now, smallvec::SmallVec::new());
        let (maybe_started, resumed) = (false, false);
        let leftovers = self.leftovers_of(&id);
        let standing = reservation::Standing::default();
        let open = OpenJob {
            job,
            tickets,
            arrived,
            parts,
            maybe_started,
            resumed,
            zones,
            leftovers,
            standing,
        };
        self.open.insert(id.clone(), open);
        // Refuses a job that no scheduler can take.
        self.assign(&id, number, view);
        self.reserve(&id, view);
    }

    /// Handles the verdict of a scheduler on its part of a job.
    pub fn handle_verdict(
        &mut self,
        from: &name::Name,
        id: &name::Name,
        decision: &Decision,
        view: View<'_>,
    ) {
        let now = view.now;
        let Some(open) = self.open.get_mut(id) else { return };
        match &decision.verdict {
            Verdict::Complete => {
                // The tasks are done, regardless of which scheduler ran them.
                let (done, rest): (Vec<_>, Vec<_>) =
                    open.parts.drain(..).partition(|part| decision.share.covers(&part.share));
                open.parts = rest.into();
                open.maybe_started = true;
                open.resumed |= done.iter().any(|part| part.resumed);
                open.zones.extend(done.iter().filter_map(|part| part.pinned_zone.clone()));
                for part in &done {
                    open.leftovers.add_part(part, self.number);
                }
                let others = done.into_iter().filter_map(|part| part.claim);
                let others = others.filter(|claim| claim.holder != *from);
                let cancels = others.map(|claim| (claim.holder, Body::Cancel(id.clone())));
                self.out.sends.extend(cancels);
                if open.parts.is_empty() {
                    self.close(id, &Verdict::Complete, now);
                }
            }
            Verdict::Failed => self.close(id, &Verdict::Failed, now),
            // The verdict covers only this scheduler: one that held the job before, or another one
            // that holds some of its tasks, may have started it.
            Verdict::NotRun(_) | Verdict::GaveUp => {
                let is_meant = |part: &&mut assignment::Assignment| {
                    part.number == decision.number && part.is_with(from)
                };
                let Some(part) = open.parts.iter_mut().find(is_meant) else { return };
                if decision.verdict == Verdict::NotRun(Refusal::TooLarge) {
                    part.mark_too_large();
                    return self.assign(id, decision.number, view);
                }
                let resumed = part.resumed;
                let sole = open.parts.len() == 1 && !open.maybe_started && !resumed;
                let verdict = if sole { &decision.verdict } else { &Verdict::GaveUp };
                self.close(id, verdict, now);
            }
        }
    }

    /// Handles a scheduler's report that it does not know the tasks assigned to it. The next tick
    /// hands them over again, not this call: an instance that no longer schedules the zone would
    /// otherwise be asked as fast as it answers.
    pub fn handle_unknown(&mut self, from: &name::Name, id: &name::Name, number: u64) {
        let Some(open) = self.open.get_mut(id) else { return };
        let is_meant =
            |part: &&mut assignment::Assignment| part.number == number && part.is_with(from);
        if let Some(part) = open.parts.iter_mut().find(is_meant) {
            part.disowned = true;
        }
    }

    /// Handles tasks that a scheduler returns because it has no room for them; the next scheduler
    /// may have some.
    pub fn handle_returned(
        &mut self,
        from: &name::Name,
        id: &name::Name,
        returned: &ReturnedTasks,
        view: View<'_>,
    ) {
        let number = self.next_number(view.now);
        let Some(open) = self.open.get_mut(id) else { return };
        let is_meant = |part: &&mut assignment::Assignment| {
            part.number == returned.number && part.is_with(from)
        };
        let Some(part) = open.parts.iter_mut().find(is_meant) else { return };
        if let Some(claim) = &part.claim {
            self.loads.record(&claim.zone, &claim.holder, returned.load, view.now);
        }
        let count = open.job.steps.first().map_or(0, |step| step.count);
        let mut kept = part.share.clone();
        let tasks = kept.remove(&returned.tasks, count);
        if tasks.is_empty() {
            return;
        }
        open.maybe_started |= returned.maybe_started;
        if returned.maybe_started {
            part.skip_attempts();
        }
        if kept.is_empty() {
            part.mark_returned();
            return self.assign(id, returned.number, view);
        }
        part.share = kept;
        let rest = part.split(number, tasks, view.now);
        open.parts.push(rest);
        open.maybe_started = true;
        self.assign(id, number, view);
    }

    /// Handles everything that is due.
    pub fn tick(&mut self, view: View<'_>) {
        let now = view.now;
        self.last_tick = now;
        self.tick_reservations(view);
        self.leaderless = if view.has_scheduler() { None } else { self.leaderless.or(Some(now)) };
        let mut queries: collections::BTreeMap<(name::Name, name::Name), Vec<Awaited>> =
            collections::BTreeMap::new();
        let mut again = Vec::new();
        let mut over = Vec::new();
        for (id, open) in &mut self.open {
            if now >= open.arrived + open.job.patience * time::MS {
                over.push((id.clone(), open.final_verdict(Refusal::NoScheduler)));
                continue;
            }
            for part in &mut open.parts {
                match part.tick(view, LIMITS) {
                    assignment::Due::Nothing => {}
                    assignment::Due::Refresh => {
                        if let Some(claim) = &part.claim {
                            let seat = (claim.holder.clone(), claim.zone.clone());
                            let count = part.share.len(open.job.count());
                            let awaited = Awaited { job: id.clone(), number: part.number, count };
                            queries.entry(seat).or_default().push(awaited);
                        }
                    }
                    assignment::Due::HandOver => again.push((id.clone(), part.number)),
                }
            }
            if open.standing.is_own()
                && !open.standing.is_clearing()
                && !open.is_handed_over()
                && now >= open.arrived + NO_SCHEDULER_TIMEOUT
            {
                over.push((id.clone(), Verdict::NotRun(Refusal::NoScheduler)));
            }
        }
        for (id, verdict) in over {
            self.close(&id, &verdict, now);
        }
        for (id, number) in again {
            self.assign(&id, number, view);
        }
        let sends = queries.into_iter().map(|((to, zone), ids)| (to, Body::Await(zone, ids, now)));
        self.out.sends.extend(sends);
    }

    /// Assigns a part of a job to a scheduler, if one can be reached and this entry has the job.
    fn assign(&mut self, id: &name::Name, number: u64, view: View<'_>) {
        let Some(open) = self.open.get(id) else { return };
        if !open.standing.is_own() {
            return;
        }
        let Some(at) = open.parts.iter().position(|part| part.number == number) else { return };
        let Some(choice) = self.choose(open, &open.parts[at], view) else {
            if let Some(refusal) = self.refusal(open, &open.parts[at], view) {
                let verdict = open.final_verdict(refusal);
                self.close(id, &verdict, view.now);
            }
            return;
        };
        if !open.standing.allows_handover(view.now) {
            return;
        }
        let next = self.next_number(view.now);
        let Some(open) = self.open.get_mut(id) else { return };
        let at = open.join(at, &choice.claim);
        let maybe_started = open.maybe_started || open.parts.len() > 1;
        let part = &mut open.parts[at];
        part.split |= view.is_split(&choice.claim.zone);
        let digest = view.reported_digest(&choice.claim).unwrap_or(0);
        let handover = Handover {
            number: next,
            share: part.share.clone(),
            offer: choice.offer,
            maybe_started,
            used_attempts: part.used_attempts,
            upstreams: digest,
            parts: choice.claim.parts,
            epoch: choice.claim.epoch,
            split: part.split,
            former: part.former_sets.clone(),
            release_age: part.since_asked(view.now),
        };
        part.number = next;
        part.last_digest = digest;
        part.last_asked = view.now;
        part.handed_over = true;
        part.lost_since = None;
        part.pinned_zone = Some(choice.claim.zone.clone());
        part.claim = Some(choice.claim.clone());
        let mut job = open.job.clone();
        job.resumed = part.resumed;
        job.entry_clock = view.now;
        job.age += view.now.saturating_sub(open.arrived) / time::MS;
        let count = part.share.len(job.count());
        let evacuated = !view.is_open(&view.membership.me().zone);
        self.send_handover(job, handover, count, choice.claim, evacuated);
    }

    /// The reason to refuse tasks that no scheduler can take at present, unless they should wait.
    fn refusal(
        &self,
        open: &OpenJob,
        part: &assignment::Assignment,
        view: View<'_>,
    ) -> Option<Refusal> {
        if part.pinned_zone.is_some() {
            None
        } else if !part.small_seats.is_empty() {
            // Where its steps fit in different zones only, no zone can hold the job either.
            let is_final = open.job.has_largest_step()
                && !open.job.may_fit(view.table)
                && view.is_everywhere(|claim| part.is_too_large(claim));
            let refusal = if is_final { Refusal::TooLarge } else { Refusal::NoZone };
            (is_final || !open.is_handed_over()).then_some(refusal)
        } else if view.is_closed() {
            Some(Refusal::Evacuated)
        } else {
            let leaderless =
                self.leaderless.is_some_and(|since| view.now >= since + NO_SCHEDULER_TIMEOUT);
            leaderless.then_some(Refusal::NoScheduler)
        }
    }

    /// Sends a job to its scheduler; `evacuated` says whether it goes to another zone because the
    /// zone of its entry is evacuated.
    fn send_handover(
        &mut self,
        job: Job,
        handover: Handover,
        count: u32,
        claim: claim::Claim,
        evacuated: bool,
    ) {
        let need = job.max_cpu() as i64 * i64::from(count);
        let mut free = 0;
        if let Some((load, reported_at)) = self.loads.deduct(&claim, need) {
            free = load.free;
            self.out.measures.push(Measure::LoadAge(job.entry_clock.saturating_sub(reported_at)));
        }
        let detail = format!(
            "{count} tasks to {} in {}, epoch {}, {free}m of its free cores left by its last word, \
             age {} ms, resumed {}, offered {}{}",
            claim.holder,
            claim.zone,
            claim.epoch,
            job.age,
            job.resumed,
            handover.offer,
            if evacuated { ", its own zone is evacuated" } else { "" }
        );
        let note = Note { text: "job: Handed over.", subject: job.id.clone(), detail };
        self.out.notes.push(note);
        let body = Body::Submit(claim.zone, Box::new(job), handover);
        self.out.sends.push((claim.holder, body));
    }

    /// Chooses the scheduler for a part of a job.
    ///
    /// The entry offers the part to one zone after the other, its own first, as long as one may
    /// have room at once. The rest waits in the zone with the most free cores after deduction of
    /// those that its waiting tasks need.
    fn choose(
        &self,
        open: &OpenJob,
        part: &assignment::Assignment,
        view: View<'_>,
    ) -> Option<ChosenScheduler> {
        let home = &view.membership.me().zone;
        let reached = |claim: &&claim::Claim| view.is_current(claim);
        if let Some(zone) = &part.pinned_zone {
            let order = |claim: &&claim::Claim| (part.is_covered(claim), self.loads.free(claim));
            let claim = view.claims.of_zone(zone).filter(reached).max_by_key(order)?.clone();
            return Some(ChosenScheduler { claim, offer: false });
        }
        let is_able =
            |claim: &&claim::Claim| view.is_open(&claim.zone) && !part.is_too_large(claim);
        let able: smallvec::SmallVec<[&claim::Claim; 8]> =
            view.claims.iter().filter(reached).filter(is_able).collect();
        let min_cpu = open.job.min_cpu() as i64;
        let is_hopeful = |claim: &&&claim::Claim| {
            !part.was_full(claim) && !self.loads.is_full(claim, min_cpu, view.now)
        };
        let freshest =
            able.iter().filter_map(|claim| view.last_heartbeat_at(claim)).max().unwrap_or(0);
        let late = |claim: &claim::Claim| {
            view.last_heartbeat_at(claim).is_some_and(|at| freshest >= at + LATE_AFTER)
        };
        let order =
            |claim: &&&claim::Claim| (!late(claim), claim.zone == *home, self.loads.free(claim));
        let led = able.iter().any(|claim| claim.zone == *home && !late(claim));
        let homeless = !led && view.is_open(home);
        let several = able.len() > 1 || !led;
        if self.policy.sharing && several && open.job.is_divisible() && !part.resumed {
            let next = able.iter().filter(is_hopeful).max_by_key(order);
            if let Some(claim) = next {
                return Some(ChosenScheduler { claim: (*claim).clone(), offer: true });
            }
        }
        let need = open.job.max_cpu() as i64 * i64::from(part.share.len(open.job.count()));
        let queue = |claim: &&&claim::Claim| {
            let free = self.loads.free(claim);
            (!late(claim), free.min(need), claim.zone == *home, free)
        };
        let claim = (*able.iter().max_by_key(queue)?).clone();
        let untried = part.small_seats.is_empty() && !part.resumed;
        let fresh = untried && !open.maybe_started && view.now < open.arrived + HOME_WAIT;
        if homeless && fresh && self.loads.free(&claim) < need {
            return None;
        }
        Some(ChosenScheduler { claim, offer: false })
    }

    fn next_number(&mut self, now: u64) -> u64 {
        self.number = now.max(self.number + 1);
        self.number
    }
}

impl OpenJob {
    /// Whether a scheduler may have started any of its tasks.
    fn is_handed_over(&self) -> bool {
        self.maybe_started || self.parts.iter().any(|part| part.handed_over)
    }

    /// The verdict for a job that cannot continue for the reason `refusal`.
    fn final_verdict(&self, refusal: Refusal) -> Verdict {
        if self.is_handed_over() { Verdict::GaveUp } else { Verdict::NotRun(refusal) }
    }

    /// Merges a part with the part that the holder of a claim already has, if there is one, and
    /// returns the position of the part to send.
    fn join(&mut self, at: usize, claim: &claim::Claim) -> usize {
        let has = |(other, part): &(usize, &assignment::Assignment)| {
            *other != at && part.claim.as_ref() == Some(claim)
        };
        let Some((other, _)) = self.parts.iter().enumerate().find(has) else { return at };
        let part = self.parts.remove(at);
        let other = if other > at { other - 1 } else { other };
        self.parts[other].join(part);
        other
    }
}
