//! The entry's side of a job: which scheduler has it, and what to do when that one is lost.
//!
//! A job is with one scheduler at a time. It goes to the scheduler of the entry's own zone, or to
//! the one with the most free room if there is none at home. When a scheduler is lost, its
//! successor gets the jobs again, marked as resumed: tasks that still run are found there.

use std::collections;

use state::name;

use crate::{
    claim,
    event::{Note, Ticket},
    job::{Job, Refusal, Verdict},
    message::{Body, Load, Past},
    roster, sched, time,
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
/// So many former schedulers' sets of upstreams are told; with more, [`UNKNOWN`] stands for them.
const FORMER_SETS: usize = 4;
/// A digest of no set: the next scheduler waits until nothing of the former ones can run.
const UNKNOWN: u64 = u64::MAX;

/// Effects of the last calls.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages.
    pub sends: Vec<(name::Name, Body)>,
    /// Verdicts for the tickets that wait for them.
    pub verdicts: Vec<(Ticket, Verdict)>,
    /// Decisions worth a log line.
    pub notes: Vec<Note>,
}

#[derive(Debug)]
struct Open {
    job: Job,
    tickets: smallvec::SmallVec<[Ticket; 1]>,
    arrived: u64,
    with: Option<claim::Claim>,
    /// When the scheduler was last told that the entry waits.
    asked: u64,
    given: bool,
    /// The scheduler does not know the job.
    disowned: bool,
    /// Digest of the upstreams that the scheduler told last.
    told: u64,
    /// The same of those that had the job before.
    former: smallvec::SmallVec<[u64; 2]>,
    lost: Option<u64>,
    /// Zone where tasks of it may run; no other scheduler may have it.
    pin: Option<name::Name>,
}

/// The jobs of the clients of one entry.
#[derive(Debug, Default)]
pub struct Desk {
    open: collections::BTreeMap<name::Name, Open>,
    tickets: collections::HashMap<Ticket, name::Name>,
    loads: collections::BTreeMap<name::Name, Load>,
    out: Output,
}

/// What a desk goes by.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Who is alive.
    pub roster: &'a roster::Roster,
    /// Who schedules.
    pub claims: &'a claim::Claims,
    /// Digest of the upstreams of its own zone that this instance knows.
    pub upstreams: u64,
    /// Time.
    pub now: u64,
}

impl Desk {
    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Jobs that clients wait for.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Notes how full the upstreams of a zone are.
    pub fn load(&mut self, zone: &name::Name, load: Load) {
        self.loads.insert(zone.clone(), load);
    }

    /// Whether less than a quarter of a zone is free, as far as is known: between two heartbeats of
    /// its scheduler that much may be taken.
    pub fn is_short(&self, zone: &name::Name) -> bool {
        self.loads.get(zone).is_some_and(|load| load.free * 4 < load.total)
    }

    /// The schedulers that have jobs of this entry's clients.
    pub fn schedulers(&self) -> impl Iterator<Item = &name::Name> {
        self.open.values().filter_map(|open| open.with.as_ref()).map(|claim| &claim.holder)
    }

    /// Takes a job of a client.
    pub fn submit(&mut self, ticket: Ticket, job: Job, view: View<'_>) {
        let id = job.id.clone();
        self.tickets.insert(ticket, id.clone());
        if let Some(open) = self.open.get_mut(&id) {
            open.tickets.push(ticket);
            return;
        }
        let tickets = smallvec::smallvec![ticket];
        let (arrived, asked) = (view.now, view.now);
        let open = Open {
            job,
            tickets,
            arrived,
            with: None,
            asked,
            given: false,
            disowned: false,
            told: 0,
            former: smallvec::SmallVec::new(),
            lost: None,
            pin: None,
        };
        self.open.insert(id.clone(), open);
        self.give(&id, view);
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
        if let Some(open) = self.open.remove(&id)
            && let Some(claim) = open.with
        {
            self.out.sends.push((claim.holder, Body::Cancel(id)));
        }
    }

    /// A scheduler says how a job ended.
    pub fn verdict(&mut self, from: &name::Name, id: &name::Name, verdict: &Verdict, now: u64) {
        let with = self.open.get(id).and_then(|open| open.with.as_ref());
        let current = with.is_some_and(|claim| claim.holder == *from);
        let told = matches!(verdict, Verdict::Complete | Verdict::Failed);
        if !current && !told {
            return;
        }
        // A scheduler speaks for itself only; one that had the job before may have started it.
        let resumed = self.open.get(id).is_some_and(|open| open.job.resumed);
        if resumed && matches!(verdict, Verdict::NotRun(_)) {
            return self.close(id, &Verdict::GaveUp, now);
        }
        self.close(id, verdict, now);
    }

    /// A scheduler does not know a job that it was given. It is given again when time passes, not
    /// at once: an instance that schedules no more would be asked as fast as it answers.
    pub fn unknown(&mut self, from: &name::Name, id: &name::Name) {
        if let Some(open) = self.open.get_mut(id)
            && open.with.as_ref().is_some_and(|claim| claim.holder == *from)
        {
            open.disowned = true;
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, view: View<'_>) {
        let now = view.now;
        let mut ask: collections::BTreeMap<name::Name, Vec<name::Name>> =
            collections::BTreeMap::new();
        let mut again = Vec::new();
        let mut over = Vec::new();
        for (id, open) in &mut self.open {
            if now >= open.arrived + open.job.patience * time::MS {
                over.push((id.clone(), Self::last_word(open)));
                continue;
            }
            if let Some(told) = open.with.as_ref().and_then(|claim| view.told(claim)) {
                open.told = told;
            }
            if std::mem::take(&mut open.disowned) {
                open.resume();
            }
            if open.lost.is_some_and(|lost| now >= lost + DROPPED) {
                open.resume();
                open.pin = None;
            }
            match &open.with {
                None if !open.given && now >= open.arrived + NO_SCHEDULER => {
                    over.push((id.clone(), Verdict::NotRun(Refusal::NoScheduler)));
                }
                None => again.push(id.clone()),
                Some(claim) if view.is_current(claim) => {
                    open.lost = None;
                    if now >= open.asked + ASK {
                        open.asked = now;
                        ask.entry(claim.holder.clone()).or_default().push(id.clone());
                    }
                }
                Some(claim) => {
                    open.lost.get_or_insert(now);
                    let next = view.claims.of(&claim.zone);
                    if next.is_some_and(|next| next != claim && view.roster.holds(next, now)) {
                        open.resume();
                        again.push(id.clone());
                    }
                }
            }
        }
        for (id, verdict) in over {
            self.close(&id, &verdict, now);
        }
        for id in again {
            self.give(&id, view);
        }
        let sends = ask.into_iter().map(|(to, ids)| (to, Body::Await(ids, now)));
        self.out.sends.extend(sends);
    }

    fn last_word(open: &Open) -> Verdict {
        if open.given { Verdict::GaveUp } else { Verdict::NotRun(Refusal::NoScheduler) }
    }

    fn close(&mut self, id: &name::Name, verdict: &Verdict, now: u64) {
        let Some(open) = self.open.remove(id) else { return };
        let took = now.saturating_sub(open.arrived) / time::MS;
        let zone = open.pin.as_ref().map_or("none", name::Name::as_str);
        let detail = format!(
            "{verdict:?} after {took} ms, objective {} ms, zone {zone}, resumed {}",
            open.job.objective, open.job.resumed
        );
        self.out.notes.push(Note { text: "job: Answered.", subject: id.clone(), detail });
        for ticket in open.tickets {
            self.tickets.remove(&ticket);
            self.out.verdicts.push((ticket, verdict.clone()));
        }
    }

    /// Gives a job to a scheduler, if one can be reached.
    fn give(&mut self, id: &name::Name, view: View<'_>) {
        let Some(open) = self.open.get(id) else { return };
        let Some(claim) = self.choose(open, view).cloned() else { return };
        let need = cpu(&open.job);
        let free = self.loads.get_mut(&claim.zone).map_or(0, |load| {
            load.free -= need;
            load.free
        });
        let Some(open) = self.open.get_mut(id) else { return };
        let mut job = open.job.clone();
        job.stamp = view.now;
        job.age += view.now.saturating_sub(open.arrived) / time::MS;
        let told = view.told(&claim).unwrap_or(0);
        let parted = view.now.saturating_sub(open.asked) / time::MS;
        let past = Past { upstreams: told, former: open.former.clone(), parted };
        open.told = told;
        open.asked = view.now;
        open.given = true;
        open.lost = None;
        open.pin = Some(claim.zone.clone());
        let detail = format!(
            "to {} in {}, epoch {}, {free}m of its free cores left by the last heartbeat, age {} ms, \
             resumed {}",
            claim.holder, claim.zone, claim.epoch, job.age, job.resumed
        );
        self.out.notes.push(Note { text: "job: Handed over.", subject: id.clone(), detail });
        open.with = Some(claim.clone());
        self.out.sends.push((claim.holder, Body::Submit(Box::new(job), past)));
    }

    fn choose<'a>(&self, open: &Open, view: View<'a>) -> Option<&'a claim::Claim> {
        let (job, home) = (&open.job, &view.roster.me().zone);
        let reached = |claim: &&claim::Claim| view.roster.holds(claim, view.now);
        if let Some(zone) = &open.pin {
            return view.claims.of(zone).filter(reached);
        }
        let at_home = view.claims.of(home).filter(reached);
        let free = |claim: &claim::Claim| self.loads.get(&claim.zone).map_or(0, |load| load.free);
        let need = cpu(job);
        if at_home.is_some_and(|claim| free(claim) >= need) {
            return at_home;
        }
        let abroad = view.claims.iter().filter(reached).filter(|claim| claim.zone != *home);
        let best = abroad.max_by_key(|claim| free(claim));
        match (at_home, best) {
            (Some(home), Some(best)) if free(best) >= need => {
                if free(home) >= need {
                    Some(home)
                } else {
                    Some(best)
                }
            }
            (Some(home), _) => Some(home),
            (None, best) => best,
        }
    }
}

impl Open {
    /// Takes the job back from its scheduler; tasks of it may run on.
    fn resume(&mut self) {
        self.job.resumed = true;
        if self.with.take().is_none() || self.former.contains(&self.told) {
            return;
        }
        if self.former.len() < FORMER_SETS {
            self.former.push(self.told);
        } else {
            self.former = smallvec::smallvec![UNKNOWN];
        }
    }
}

impl View<'_> {
    /// Digest of its upstreams that the holder of a claim told last.
    fn told(&self, claim: &claim::Claim) -> Option<u64> {
        if claim.holder == self.roster.me().name {
            return Some(self.upstreams);
        }
        let heard = self.roster.last_heard(&claim.holder)?;
        (heard.life == claim.life).then_some(heard.upstreams)
    }

    fn is_current(&self, claim: &claim::Claim) -> bool {
        let same = self.claims.of(&claim.zone).is_some_and(|held| held == claim);
        same && self.roster.holds(claim, self.now)
    }
}

/// Cores of all tasks of a job, thousandths.
fn cpu(job: &Job) -> i64 {
    job.steps.iter().map(|step| step.need.cpu as i64 * i64::from(step.count)).sum()
}
