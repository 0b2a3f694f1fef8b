//! The entry's side of a job: which schedulers have its tasks, and what to do when one is lost.
//!
//! Each task is with one scheduler at a time. A job is offered to the scheduler of the entry's own
//! zone, which starts what it has room for and gives the rest back; that goes to the next zone which
//! may have some. What no zone has room for waits in one of them. When a scheduler is lost, its
//! successor gets its tasks again, marked as resumed: those that still run are found there.
//!
//! The load this answers: zones of 28 places at four fifths of their room and above, with jobs of 8
//! tasks. One zone or another is full at nearly any time, while all of them never are. Loads in
//! heartbeats are 150 ms old, in which two thirds of all places change hands, so that what they tell
//! only says where to ask first.

use std::collections;

use state::{name, policy};

use crate::{
    assignment, claim,
    event::{Measure, Note, Ticket},
    job::{Job, Refusal, Verdict},
    message::{Awaited, Body, Handover, Load, Ruling, Spare},
    sched, share, time,
    view::View,
};

/// A scheduler is asked about jobs that it has had for this long, microseconds: one that is lost
/// on the way costs little more.
const ASK: u64 = 300 * time::MS;
/// A job that no scheduler could be given is refused after this, microseconds: the time in which
/// a zone replaces one (heartbeats missed for 500 ms, a turn or two of 300 ms).
const NO_SCHEDULER: u64 = 1_400 * time::MS;
/// A scheduler that is lost has dropped the job and its leases are over after this time,
/// microseconds; another zone may have it then.
const DROPPED: u64 = sched::FORMER;
/// A zone that had no room is not asked again for this long, microseconds: less than the shortest
/// tasks take (60 ms), and with all zones full each entry asks each of them 20 times a second.
const FULL: u64 = 50 * time::MS;

/// A scheduler is late that was heard this much before another one, microseconds: the heartbeats of both are
/// 150 ms apart. An entry that is late itself hears all of them late.
const LATE: u64 = 200 * time::MS;
/// A job waits this long for the scheduler of its entry's own zone where there is none and no other has
/// room at once, microseconds: one that starts with its upstreams known claims its zone after 150 ms, and the
/// next one that is awake 300 ms later. Until then the others' queues would fill up with all that comes.
const HOME: u64 = 400 * time::MS;

/// Effects of the last calls.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages.
    pub sends: Vec<(name::Name, Body)>,
    /// Verdicts for the tickets that wait for them.
    pub verdicts: Vec<(Ticket, Verdict)>,
    /// Decisions worth a log line.
    pub notes: Vec<Note>,
    /// Times for histograms.
    pub measures: Vec<Measure>,
}

#[derive(Debug)]
struct Open {
    job: Job,
    tickets: smallvec::SmallVec<[Ticket; 1]>,
    arrived: u64,
    /// Its tasks that are not known to be done, by the scheduler that has them.
    parts: smallvec::SmallVec<[assignment::Assignment; 1]>,
    /// Whether a scheduler kept some tasks when it gave others back, or has done them.
    begun: bool,
    /// Whether a part that is done was another scheduler's before.
    resumed: bool,
    /// Zones where parts of it were done.
    zones: smallvec::SmallVec<[name::Name; 1]>,
}

/// The jobs of the clients of one entry.
#[derive(Debug, Default)]
pub struct Submissions {
    open: collections::BTreeMap<name::Name, Open>,
    tickets: collections::HashMap<Ticket, name::Name>,
    /// How full the zones are, and when that was told.
    loads: collections::BTreeMap<name::Name, (Load, u64)>,
    /// Since when there is no scheduler that could take tasks.
    unled: Option<u64>,
    /// Number of the last hand-over.
    number: u64,
    policy: policy::Policy,
    out: Output,
}

/// Who gets tasks.
#[derive(Debug)]
struct Choice {
    claim: claim::Claim,
    /// Whether others are asked if there is no room.
    offer: bool,
}

impl Submissions {
    /// Decides by `policy`.
    #[must_use]
    pub fn with_policy(self, policy: policy::Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Jobs that clients wait for.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Notes how full the upstreams of a zone are.
    pub fn load(&mut self, zone: &name::Name, load: Load, now: u64) {
        self.loads.insert(zone.clone(), (load, now));
    }

    /// Whether less than a quarter of a zone is free, as far as is known: between two heartbeats of
    /// its scheduler that much may be taken.
    pub fn is_short(&self, zone: &name::Name) -> bool {
        self.loads.get(zone).is_some_and(|(load, _)| load.free * 4 <= load.total)
    }

    /// The schedulers that have jobs of this entry's clients.
    pub fn schedulers(&self) -> impl Iterator<Item = &name::Name> {
        let parts = self.open.values().flat_map(|open| &open.parts);
        parts.filter_map(|part| part.with.as_ref()).map(|claim| &claim.holder)
    }

    /// Takes a job of a client.
    pub fn submit(&mut self, ticket: Ticket, job: Job, view: View<'_>) {
        let id = job.id.clone();
        self.tickets.insert(ticket, id.clone());
        if let Some(open) = self.open.get_mut(&id) {
            open.tickets.push(ticket);
            return;
        }
        let number = self.next_number(view.now);
        let part = assignment::Assignment::new(number, share::Share::ALL, view.now);
        let (tickets, parts) = (smallvec::smallvec![ticket], smallvec::smallvec![part]);
        let (arrived, zones) = (view.now, smallvec::SmallVec::new());
        let open = Open { job, tickets, arrived, parts, begun: false, resumed: false, zones };
        self.open.insert(id.clone(), open);
        self.give(&id, number, view);
    }

    /// The client of a ticket has gone.
    pub fn left(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        open.tickets.retain(|other| *other != ticket);
        if !open.tickets.is_empty() {
            return;
        }
        let detail = "its client has left".to_owned();
        self.out.notes.push(Note { text: "job: Cancelled.", subject: id.clone(), detail });
        if let Some(open) = self.open.remove(&id) {
            self.cancel(&id, &open);
        }
    }

    /// A scheduler says how its part of a job ended.
    pub fn verdict(&mut self, from: &name::Name, id: &name::Name, ruling: &Ruling, now: u64) {
        let Some(open) = self.open.get_mut(id) else { return };
        match &ruling.verdict {
            Verdict::Complete => {
                // Whoever did them, they are done.
                let (done, rest): (Vec<_>, Vec<_>) =
                    open.parts.drain(..).partition(|part| ruling.share.covers(&part.share));
                open.parts = rest.into();
                open.begun = true;
                open.resumed |= done.iter().any(|part| part.resumed);
                open.zones.extend(done.iter().filter_map(|part| part.pin.clone()));
                let others = done.into_iter().filter_map(|part| part.with);
                let others = others.filter(|claim| claim.holder != *from);
                let cancels = others.map(|claim| (claim.holder, Body::Cancel(id.clone())));
                self.out.sends.extend(cancels);
                if open.parts.is_empty() {
                    self.close(id, &Verdict::Complete, now);
                }
            }
            Verdict::Failed => self.close(id, &Verdict::Failed, now),
            // A scheduler speaks for itself only; one that had the job before may have started it,
            // or another one that has some of its tasks.
            Verdict::NotRun(_) | Verdict::GaveUp => {
                let is_meant = |part: &&assignment::Assignment| {
                    part.number == ruling.number && part.is_with(from)
                };
                let Some(part) = open.parts.iter().find(is_meant) else { return };
                let alone = open.parts.len() == 1 && !open.begun && !part.resumed;
                let verdict = if alone { &ruling.verdict } else { &Verdict::GaveUp };
                self.close(id, verdict, now);
            }
        }
    }

    /// A scheduler does not know what it was given. It is given again when time passes, not at once:
    /// an instance that schedules no more would be asked as fast as it answers.
    pub fn unknown(&mut self, from: &name::Name, id: &name::Name, number: u64) {
        let Some(open) = self.open.get_mut(id) else { return };
        let is_meant =
            |part: &&mut assignment::Assignment| part.number == number && part.is_with(from);
        if let Some(part) = open.parts.iter_mut().find(is_meant) {
            part.disowned = true;
        }
    }

    /// A scheduler gives tasks back for which it has no room; the next one may have some.
    pub fn spare(&mut self, from: &name::Name, id: &name::Name, spare: &Spare, view: View<'_>) {
        let number = self.next_number(view.now);
        let Some(open) = self.open.get_mut(id) else { return };
        let is_meant =
            |part: &&mut assignment::Assignment| part.number == spare.number && part.is_with(from);
        let Some(part) = open.parts.iter_mut().find(is_meant) else { return };
        if let Some(claim) = &part.with {
            self.loads.insert(claim.zone.clone(), (spare.load, view.now));
        }
        let count = open.job.steps.first().map_or(0, |step| step.count);
        let mut kept = part.share.clone();
        let tasks = kept.remove(&spare.tasks, count);
        if tasks.is_empty() {
            return;
        }
        open.begun |= spare.begun;
        if kept.is_empty() {
            part.returned();
            return self.give(id, spare.number, view);
        }
        part.share = kept;
        let rest = part.split(number, tasks, view.now);
        open.parts.push(rest);
        open.begun = true;
        self.give(id, number, view);
    }

    /// Lets time pass.
    pub fn tick(&mut self, view: View<'_>) {
        let now = view.now;
        self.unled = if view.is_led() { None } else { self.unled.or(Some(now)) };
        let mut ask: collections::BTreeMap<(name::Name, name::Name), Vec<Awaited>> =
            collections::BTreeMap::new();
        let mut again = Vec::new();
        let mut over = Vec::new();
        for (id, open) in &mut self.open {
            if now >= open.arrived + open.job.patience * time::MS {
                over.push((id.clone(), open.last_word(Refusal::NoScheduler)));
                continue;
            }
            for part in &mut open.parts {
                match part.tick(view, ASK, DROPPED) {
                    assignment::Due::Nothing => {}
                    assignment::Due::Ask => {
                        if let Some(claim) = &part.with {
                            let seat = (claim.holder.clone(), claim.zone.clone());
                            let count = part.share.len(open.job.count());
                            let awaited = Awaited { job: id.clone(), number: part.number, count };
                            ask.entry(seat).or_default().push(awaited);
                        }
                    }
                    assignment::Due::Give => again.push((id.clone(), part.number)),
                }
            }
            if !open.is_given() && now >= open.arrived + NO_SCHEDULER {
                over.push((id.clone(), Verdict::NotRun(Refusal::NoScheduler)));
            }
        }
        for (id, verdict) in over {
            self.close(&id, &verdict, now);
        }
        for (id, number) in again {
            self.give(&id, number, view);
        }
        let sends = ask.into_iter().map(|((to, zone), ids)| (to, Body::Await(zone, ids, now)));
        self.out.sends.extend(sends);
    }

    fn close(&mut self, id: &name::Name, verdict: &Verdict, now: u64) {
        let Some(open) = self.open.remove(id) else { return };
        if *verdict != Verdict::Complete {
            self.cancel(id, &open);
        }
        let took = now.saturating_sub(open.arrived) / time::MS;
        let resumed = open.resumed || open.parts.iter().any(|part| part.resumed);
        let zones = open.parts.iter().filter_map(|part| part.pin.as_ref()).chain(&open.zones);
        let zones: Vec<_> = zones.map(name::Name::as_str).collect();
        let detail = format!(
            "{verdict:?} after {took} ms, objective {} ms, zones {}, resumed {resumed}",
            open.job.objective,
            zones.join(" ")
        );
        self.out.notes.push(Note { text: "job: Answered.", subject: id.clone(), detail });
        for ticket in open.tickets {
            self.tickets.remove(&ticket);
            self.out.verdicts.push((ticket, verdict.clone()));
        }
    }

    /// Tells the schedulers that nobody waits for the job any more.
    fn cancel(&mut self, id: &name::Name, open: &Open) {
        let holders = open.parts.iter().filter_map(|part| part.with.as_ref());
        let cancels = holders.map(|claim| (claim.holder.clone(), Body::Cancel(id.clone())));
        self.out.sends.extend(cancels);
    }

    /// Gives a part of a job to a scheduler, if one can be reached.
    fn give(&mut self, id: &name::Name, number: u64, view: View<'_>) {
        let Some(open) = self.open.get(id) else { return };
        let Some(at) = open.parts.iter().position(|part| part.number == number) else { return };
        let Some(choice) = self.choose(open, &open.parts[at], view) else {
            if let Some(refusal) = self.refusal(&open.parts[at], view) {
                let verdict = open.last_word(refusal);
                self.close(id, &verdict, view.now);
            }
            return;
        };
        let next = self.next_number(view.now);
        let Some(open) = self.open.get_mut(id) else { return };
        let at = open.join(at, &choice.claim);
        let begun = open.begun || open.parts.len() > 1;
        let part = &mut open.parts[at];
        let told = view.told(&choice.claim).unwrap_or(0);
        let handover = Handover {
            number: next,
            share: part.share.clone(),
            offer: choice.offer,
            begun,
            upstreams: told,
            former: part.former.clone(),
            parted: part.parted(view.now),
        };
        part.number = next;
        part.told = told;
        part.asked = view.now;
        part.given = true;
        part.lost = None;
        part.pin = Some(choice.claim.zone.clone());
        part.with = Some(choice.claim.clone());
        let mut job = open.job.clone();
        job.resumed = part.resumed;
        job.stamp = view.now;
        job.age += view.now.saturating_sub(open.arrived) / time::MS;
        let count = part.share.len(job.count());
        let evacuated = !view.is_open(&view.membership.me().zone);
        self.hand(job, handover, count, choice.claim, evacuated);
    }

    /// Why tasks that nobody can take are not worth waiting with, if they are not.
    fn refusal(&self, part: &assignment::Assignment, view: View<'_>) -> Option<Refusal> {
        if part.pin.is_some() {
            None
        } else if view.is_closed() {
            Some(Refusal::Evacuated)
        } else {
            let unled = self.unled.is_some_and(|since| view.now >= since + NO_SCHEDULER);
            unled.then_some(Refusal::NoScheduler)
        }
    }

    /// Sends a job to its scheduler; `evacuated` tells why it does not go to the entry's own zone.
    fn hand(
        &mut self,
        job: Job,
        handover: Handover,
        count: u32,
        claim: claim::Claim,
        evacuated: bool,
    ) {
        let need = job.widest() as i64 * i64::from(count);
        let mut free = 0;
        if let Some((load, told)) = self.loads.get_mut(&claim.zone) {
            load.free -= need;
            free = load.free;
            self.out.measures.push(Measure::LoadAge(job.stamp.saturating_sub(*told)));
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

    /// Who gets a part of a job.
    ///
    /// It is offered from zone to zone, its entry's own first, as long as one may have room at once.
    /// What is left waits where most is free, or least is waited for.
    fn choose(&self, open: &Open, part: &assignment::Assignment, view: View<'_>) -> Option<Choice> {
        let home = &view.membership.me().zone;
        let reached = |claim: &&claim::Claim| view.membership.holds(claim, view.now);
        if let Some(zone) = &part.pin {
            let claim = view.claims.of(zone).filter(reached)?.clone();
            return Some(Choice { claim, offer: false });
        }
        let able: smallvec::SmallVec<[&claim::Claim; 8]> =
            view.claims.iter().filter(reached).filter(|claim| view.is_open(&claim.zone)).collect();
        let least = open.job.least() as i64;
        let is_hopeful = |claim: &&&claim::Claim| {
            !part.tried.contains(&claim.zone) && !self.is_full(&claim.zone, least, view.now)
        };
        let freshest = able.iter().filter_map(|claim| view.heard(claim)).max().unwrap_or(0);
        let late =
            |claim: &claim::Claim| view.heard(claim).is_some_and(|heard| freshest >= heard + LATE);
        let order =
            |claim: &&&claim::Claim| (!late(claim), claim.zone == *home, self.free(&claim.zone));
        let led = able.iter().any(|claim| claim.zone == *home && !late(claim));
        let homeless = !led && view.is_open(home);
        let several = able.len() > 1 || !led;
        if self.policy.sharing && several && open.job.is_divisible() && !part.resumed {
            let next = able.iter().filter(is_hopeful).max_by_key(order);
            if let Some(claim) = next {
                return Some(Choice { claim: (*claim).clone(), offer: true });
            }
        }
        let need = open.job.widest() as i64 * i64::from(part.share.len(open.job.count()));
        let queue = |claim: &&&claim::Claim| {
            let free = self.free(&claim.zone);
            (!late(claim), free.min(need), claim.zone == *home, free)
        };
        let claim = (*able.iter().max_by_key(queue)?).clone();
        let fresh = !open.begun && !part.resumed && view.now < open.arrived + HOME;
        if homeless && fresh && self.free(&claim.zone) < need {
            return None;
        }
        Some(Choice { claim, offer: false })
    }

    /// Cores of a zone that are free as far as is known, less what waits there, thousandths.
    fn free(&self, zone: &name::Name) -> i64 {
        self.loads.get(zone).map_or(0, |(load, _)| load.free)
    }

    /// Whether a zone was known a moment ago to have no room for a task that needs `least`.
    fn is_full(&self, zone: &name::Name, least: i64, now: u64) -> bool {
        self.loads.get(zone).is_some_and(|(load, at)| load.free < least && now < at + FULL)
    }

    fn next_number(&mut self, now: u64) -> u64 {
        self.number = now.max(self.number + 1);
        self.number
    }
}

impl Open {
    /// Whether a scheduler may have started something.
    fn is_given(&self) -> bool {
        self.begun || self.parts.iter().any(|part| part.given)
    }

    /// How it ends where it can't go on, for this reason.
    fn last_word(&self, refusal: Refusal) -> Verdict {
        if self.is_given() { Verdict::GaveUp } else { Verdict::NotRun(refusal) }
    }

    /// Joins a part with the one that the holder of a claim has already, if it has one; gives the
    /// position of what goes there.
    fn join(&mut self, at: usize, claim: &claim::Claim) -> usize {
        let has = |(other, part): &(usize, &assignment::Assignment)| {
            *other != at && part.with.as_ref() == Some(claim)
        };
        let Some((other, _)) = self.parts.iter().enumerate().find(has) else { return at };
        let part = self.parts.remove(at);
        let other = if other > at { other - 1 } else { other };
        self.parts[other].join(part);
        other
    }
}
