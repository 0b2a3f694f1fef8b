//! The right of one entry to hand a job to schedulers.
//!
//! An entry reserves each job at registrars before it hands it over, and renews the reservation
//! while the job is open. If another entry has the job, because its client has submitted it there
//! before, this one joins it: its client gets the outcome of the same tasks. It takes the job over
//! once the other entry has ended it or does not answer. It starts a job only after the schedulers
//! of all zones where tasks of it may be left have confirmed that there are none, whichever entry
//! has handed these over.

use state::name;

use super::{
    NO_CLIENT, OpenJob, Submissions,
    leftovers::{LastWord, Leftovers},
};
use crate::{
    decisions::{assignment, registrar, view::View},
    machines::{start, upkeep},
    messages::{
        event::{Note, Reply},
        job::Verdict,
        message::Body,
        parts::Parts,
        reservation::{FormerEntry, Holder, JobEnd, Message, Reservation},
        share, time,
    },
};

/// Interval at which an entry renews its reservations, microseconds.
const RENEW_INTERVAL: u64 = 250 * time::MS;
/// How long an entry may hand a job over after it has sent the request that reserved it,
/// microseconds.
const RESERVATION_TIME: u64 = 360 * time::MS;
/// Time without a renewal after which an entry that does not answer loses its jobs, microseconds:
/// no handover of that entry can start a task any more. Clients that lost their entry submit their
/// jobs again after 1,300 ms.
pub(crate) const TAKEOVER_TIME: u64 = 1_250 * time::MS;
const _: () = {
    assert!(RENEW_INTERVAL < RESERVATION_TIME);
    assert!(TAKEOVER_TIME >= time::on_slowest(RESERVATION_TIME + start::MAX_QUERY_AGE));
};
/// Number of registrars that have to grant a reservation: while instances learn of new schedulers or
/// of silent ones, two entries may differ in one of them.
const REGISTRARS: usize = 2;
/// Interval at which an entry tells another one that it has joined a job, microseconds.
const JOIN_INTERVAL: u64 = 100 * time::MS;
/// Time after which an entry that has not answered a first join is taken to be lost, microseconds.
const JOIN_TIMEOUT: u64 = 60 * time::MS;
/// The same for an entry that has answered before, microseconds.
const REJOIN_TIMEOUT: u64 = 400 * time::MS;
/// Interval at which the schedulers that have not answered are asked for tasks that are left,
/// microseconds.
const PROBE_INTERVAL: u64 = 40 * time::MS;

/// How an entry stands with a job of its clients.
#[derive(Debug, Default)]
pub(super) struct Standing {
    stage: Stage,
    /// Requests to registrars that are not answered yet.
    waiting: smallvec::SmallVec<[u64; 2]>,
    /// When these requests were sent.
    asked: u64,
    /// Time until which the entry may hand the job over.
    until: u64,
    /// The entry that it takes the job over from.
    former: Option<FormerEntry>,
    /// Entries whose clients await the job, too, and when each of them last said so.
    joiners: smallvec::SmallVec<[(name::Name, u64); 1]>,
}

#[derive(Debug, Default)]
enum Stage {
    /// The first request is not answered yet.
    #[default]
    Asking,
    /// The entry has reserved the job.
    Held,
    /// Another entry has the job.
    Joined(Joined),
    /// The entry has reserved the job; tasks of it may be left. The time is that of the last probe.
    Clearing(u64),
}

#[derive(Debug)]
struct Joined {
    entry: name::Name,
    /// When that entry last reserved the job, as far as this one knows.
    renewed: u64,
    since: u64,
    asked: u64,
    heard: Option<u64>,
}

/// How a job ended at this entry.
#[derive(Debug)]
pub(super) struct Ending {
    /// The verdict that holds for later submissions as well.
    verdict: Option<Verdict>,
    leftovers: Leftovers,
    at: u64,
}

impl Standing {
    /// Whether the entry has the job or will learn who has it; otherwise another entry has it.
    pub(super) fn is_own(&self) -> bool {
        !matches!(self.stage, Stage::Joined(_))
    }

    /// Whether the job waits until no task of an earlier handover is left.
    pub(super) fn is_clearing(&self) -> bool {
        matches!(self.stage, Stage::Clearing(_))
    }

    /// Whether the entry may hand the job over now.
    pub(super) fn allows_handover(&self, now: u64) -> bool {
        matches!(self.stage, Stage::Held) && now < self.until
    }

    /// Whether the clients of other entries await the job, too.
    pub(super) fn has_joiners(&self) -> bool {
        !self.joiners.is_empty()
    }

    /// The messages that end the relation to other entries: `end` goes to those that have joined.
    pub(super) fn farewells(&self, id: &name::Name, end: &JobEnd) -> Vec<(name::Name, Body)> {
        let ended = |(entry, _): &(name::Name, u64)| {
            (entry.clone(), Body::Reservation(Message::Ended(id.clone(), end.clone())))
        };
        let mut sends: Vec<_> = self.joiners.iter().map(ended).collect();
        if let Stage::Joined(joined) = &self.stage {
            let body = match end {
                JobEnd::Cancelled => Body::Revoke(id.clone()),
                _ => Body::Reservation(Message::Leave(id.clone())),
            };
            sends.push((joined.entry.clone(), body));
        }
        sends
    }
}

impl Submissions {
    /// Asks for the right to hand a job over, or to keep it.
    pub(super) fn reserve(&mut self, id: &name::Name, view: View<'_>) {
        let Some(open) = self.open.get_mut(id) else { return };
        let standing = &mut open.standing;
        standing.waiting.clear();
        standing.asked = view.now;
        let mut is_enough = false;
        for registrar in registrar::order(id, view.claims, view.now) {
            if is_enough {
                break;
            }
            if self.requests.is_silent(&registrar.name) {
                continue;
            }
            let reservation = Reservation { job: id.clone(), former: standing.former.clone() };
            standing.waiting.push(self.requests.add(&registrar.name, reservation, view.now));
            is_enough = standing.waiting.len() >= REGISTRARS && !registrar.is_new;
        }
        if standing.waiting.is_empty() {
            self.grant(id, view.now, view);
        }
    }

    /// Handles a message about which entry has which job.
    pub fn handle_reservation(&mut self, from: &name::Name, message: Message, view: View<'_>) {
        match message {
            Message::Reserved(number, held) => self.handle_reserved(from, number, &held, view),
            Message::Join(ids) => self.handle_join(from, ids, view),
            Message::Joined(ids) => self.handle_joined(from, &ids, view.now),
            Message::Leave(id) => self.handle_leave(from, &id),
            Message::Ended(id, end) => self.handle_ended(from, &id, &end, view),
            Message::Absent(zone, parts, number, ids) => {
                self.handle_absent(&zone, parts, number, &ids, view);
            }
            // Registrars and schedulers handle these.
            Message::Reserve(..) | Message::Probe(..) => {}
        }
    }

    fn tell(&mut self, to: &name::Name, message: Message) {
        self.out.sends.push((to.clone(), Body::Reservation(message)));
    }

    /// Handles the answer of a registrar.
    fn handle_reserved(
        &mut self,
        from: &name::Name,
        number: u64,
        held: &[(name::Name, Holder)],
        view: View<'_>,
    ) {
        let Some(request) = self.requests.answer(from, number) else { return };
        for id in request.jobs {
            let Some(open) = self.open.get_mut(&id) else { continue };
            let waiting = &mut open.standing.waiting;
            let Some(at) = waiting.iter().position(|other| *other == number) else { continue };
            waiting.remove(at);
            match held.iter().find(|(job, _)| *job == id) {
                Some((_, holder)) => self.defer_to(&id, holder, view),
                None if waiting.is_empty() => self.grant(&id, request.sent, view),
                None => {}
            }
        }
    }

    /// Records that the entry has reserved a job by a request that it sent at `sent`.
    fn grant(&mut self, id: &name::Name, sent: u64, view: View<'_>) {
        let Some(open) = self.open.get_mut(id) else { return };
        let standing = &mut open.standing;
        standing.until = sent + RESERVATION_TIME;
        let is_taken_over = standing.former.take().is_some();
        let is_first = matches!(standing.stage, Stage::Asking);
        if is_taken_over || is_first && !open.leftovers.is_empty() {
            standing.stage = Stage::Clearing(0);
            let (text, detail) = ("job: Waits for its former tasks.", open.leftovers.to_string());
            self.out.notes.push(Note { text, subject: id.clone(), detail });
            self.clear(id, view);
        } else if is_first || matches!(standing.stage, Stage::Held) {
            standing.stage = Stage::Held;
            self.assign_rest(id, view);
        }
    }

    /// Assigns the parts of a job that no scheduler has.
    fn assign_rest(&mut self, id: &name::Name, view: View<'_>) {
        let Some(open) = self.open.get(id) else { return };
        let free = open.parts.iter().filter(|part| part.claim.is_none());
        let numbers: smallvec::SmallVec<[u64; 2]> = free.map(|part| part.number).collect();
        for number in numbers {
            self.assign(id, number, view);
        }
    }

    /// Leaves a job to the entry that has reserved it, and joins it there.
    fn defer_to(&mut self, id: &name::Name, holder: &Holder, view: View<'_>) {
        let me = &view.membership.me().name;
        let renewed = view.now.saturating_sub(holder.age * time::MS);
        let Some(open) = self.open.get_mut(id) else { return };
        if holder.entry == *me {
            // A former incarnation of this instance had it.
            open.standing.former = Some(FormerEntry { entry: me.clone(), has_ended: true });
            open.leftovers.add_all(None, last_word(renewed, self.number));
            return self.reserve(id, view);
        }
        open.standing.waiting.clear();
        open.standing.former = None;
        if let Stage::Joined(joined) = &mut open.standing.stage
            && joined.entry == holder.entry
        {
            joined.renewed = renewed;
            return;
        }
        let holders = open.parts.iter().filter_map(|part| part.claim.as_ref());
        let cancels = holders.map(|claim| (claim.holder.clone(), Body::Cancel(id.clone())));
        self.out.sends.extend(cancels);
        open.leftovers = open.leftovers_at_end(self.number);
        // Its tasks may run for the other entry.
        open.maybe_started = true;
        open.standing.stage = Stage::Joined(Joined {
            entry: holder.entry.clone(),
            renewed,
            since: view.now,
            asked: view.now,
            heard: None,
        });
        let detail = format!("{}, reserved {} ms ago", holder.entry, holder.age);
        let note = Note { text: "job: Open at another entry.", subject: id.clone(), detail };
        self.out.notes.push(note);
        self.tell(&holder.entry, Message::Join(vec![id.clone()]));
        let number = self.next_number(view.now);
        if let Some(open) = self.open.get_mut(id) {
            let part = assignment::Assignment::new(number, share::Share::ALL, view.now);
            open.parts = smallvec::smallvec![part];
        }
    }

    /// Handles the word of another entry that it awaits jobs, too.
    fn handle_join(&mut self, from: &name::Name, ids: Vec<name::Name>, view: View<'_>) {
        let me = &view.membership.me().name;
        let mut joined = Vec::new();
        for id in ids {
            let Some(open) = self.open.get_mut(&id) else {
                let end = match self.ended.get(&id) {
                    Some(Ending { verdict: Some(verdict), .. }) => JobEnd::Verdict(verdict.clone()),
                    Some(Ending { leftovers, .. }) => not_open(leftovers, view.now),
                    None => JobEnd::NotOpen(None, 0),
                };
                self.tell(from, Message::Ended(id, end));
                continue;
            };
            let is_mutual = matches!(&open.standing.stage, Stage::Joined(at) if at.entry == *from);
            if is_mutual && from < me {
                let end = not_open(&open.leftovers, view.now);
                self.tell(from, Message::Ended(id, end));
                continue;
            }
            match open.standing.joiners.iter_mut().find(|(entry, _)| entry == from) {
                Some((_, heard)) => *heard = view.now,
                None => open.standing.joiners.push((from.clone(), view.now)),
            }
            joined.push(id);
        }
        if !joined.is_empty() {
            self.tell(from, Message::Joined(joined));
        }
    }

    /// Records that another entry keeps this one informed about jobs.
    fn handle_joined(&mut self, from: &name::Name, ids: &[name::Name], now: u64) {
        for id in ids {
            if let Some(open) = self.open.get_mut(id)
                && let Stage::Joined(joined) = &mut open.standing.stage
                && joined.entry == *from
            {
                joined.heard = Some(now);
            }
        }
    }

    /// Handles the word of another entry that no client awaits a job there any more.
    fn handle_leave(&mut self, from: &name::Name, id: &name::Name) {
        if let Some(open) = self.open.get_mut(id) {
            open.standing.joiners.retain(|(entry, _)| entry != from);
            self.drop_unawaited(id);
        }
    }

    /// Handles the end of a job that another entry had.
    fn handle_ended(&mut self, from: &name::Name, id: &name::Name, end: &JobEnd, view: View<'_>) {
        let Some(open) = self.open.get_mut(id) else { return };
        let Stage::Joined(joined) = &open.standing.stage else { return };
        if joined.entry != *from {
            return;
        }
        match end {
            JobEnd::Verdict(verdict) => self.close(id, verdict, view.now),
            JobEnd::Cancelled => {
                self.revoke(id);
            }
            JobEnd::NotOpen(zones, age) => {
                open.standing.former = Some(FormerEntry { entry: from.clone(), has_ended: true });
                let asked = view.now.saturating_sub(age * time::MS);
                let last = LastWord { asked, number: self.number, is_split: false };
                open.leftovers.add_all(zones.as_ref(), last);
                self.reserve(id, view);
            }
        }
    }

    /// Asks the schedulers that have not answered whether tasks of a job are left, and starts the job
    /// once there are none.
    fn clear(&mut self, id: &name::Name, view: View<'_>) {
        let number = self.next_number(view.now);
        let Some(open) = self.open.get_mut(id) else { return };
        let Stage::Clearing(asked) = &mut open.standing.stage else { return };
        *asked = view.now;
        let is_split = view.claims.zone_names().any(|zone| view.is_split(zone));
        open.leftovers.resolve(view.claims.zone_names(), is_split, view.now);
        if open.leftovers.is_empty() {
            return self.start_anew(id, view);
        }
        for (zone, left) in open.leftovers.iter() {
            let claims = view.claims.of_zone(zone).filter(|claim| claim.parts.overlaps(left));
            let probe = Body::Reservation(Message::Probe(zone.clone(), number, vec![id.clone()]));
            let bodies = claims.map(|claim| (claim.holder.clone(), probe.clone()));
            self.out.sends.extend(bodies);
        }
    }

    /// Handles a scheduler's word that no task of these jobs is left in these parts of its zone.
    fn handle_absent(
        &mut self,
        zone: &name::Name,
        parts: Parts,
        number: u64,
        ids: &[name::Name],
        view: View<'_>,
    ) {
        for id in ids {
            let Some(open) = self.open.get_mut(id) else { continue };
            if !open.standing.is_clearing() {
                continue;
            }
            open.leftovers.remove(zone, parts, number);
            if open.leftovers.is_empty() {
                self.start_anew(id, view);
            }
        }
    }

    /// Starts a job that was handed over before, now that no task of it is left.
    fn start_anew(&mut self, id: &name::Name, view: View<'_>) {
        let Some(open) = self.open.get_mut(id) else { return };
        open.standing.stage = Stage::Held;
        for part in &mut open.parts {
            // Upstreams refuse the run numbers that they have seen.
            part.skip_attempts();
        }
        let detail = "no task of an earlier handover is left".to_owned();
        self.out.notes.push(Note { text: "job: Taken over.", subject: id.clone(), detail });
        if view.now < open.standing.until {
            self.assign_rest(id, view);
        }
    }

    /// Does what is due for the reservations of all open jobs.
    pub(super) fn tick_reservations(&mut self, view: View<'_>) {
        let now = view.now;
        let is_known = |name: &name::Name| view.claims.iter().any(|claim| claim.holder == *name);
        for (number, request) in self.requests.tick(is_known, now) {
            if !request.jobs.is_empty() {
                let detail = format!("{} jobs", request.jobs.len());
                let (text, subject) = ("registrar: No answer.", request.registrar);
                self.out.notes.push(Note { text, subject, detail });
            }
            for id in request.jobs {
                let waits = |open: &OpenJob| open.standing.waiting.contains(&number);
                if self.open.get(&id).is_some_and(waits) {
                    self.reserve(&id, view);
                }
            }
        }
        let mut due = smallvec::SmallVec::<[(name::Name, Task); 8]>::new();
        for (id, open) in &mut self.open {
            let standing = &mut open.standing;
            standing.joiners.retain(|(_, heard)| now < *heard + upkeep::ABANDON_AFTER);
            if let Some(task) = standing.due(&mut open.leftovers, self.number, now) {
                due.push((id.clone(), task));
            } else if open.tickets.is_empty() && standing.joiners.is_empty() {
                due.push((id.clone(), Task::Drop));
            }
        }
        for (id, task) in due {
            match task {
                Task::Reserve => self.reserve(&id, view),
                Task::Join(entry) => self.tell(&entry, Message::Join(vec![id])),
                Task::Clear => self.clear(&id, view),
                Task::Drop => self.drop_unawaited(&id),
            }
        }
        self.ended.retain(|_, ending| now < ending.at + super::END_RETENTION);
    }

    /// Ends a job that no client awaits any more, here or at another entry.
    pub(super) fn drop_unawaited(&mut self, id: &name::Name) {
        let awaited = |open: &OpenJob| !open.tickets.is_empty() || open.standing.has_joiners();
        if self.open.get(id).is_none_or(awaited) {
            return;
        }
        let (text, detail) = ("job: Cancelled.", NO_CLIENT.to_owned());
        self.out.notes.push(Note { text, subject: id.clone(), detail });
        if let Some(open) = self.open.remove(id) {
            self.cancel(id, &open);
            self.remember(id, &open, None);
            self.out.sends.extend(open.standing.farewells(id, &JobEnd::NotOpen(None, 0)));
        }
    }

    /// Remembers how a job ended here, with the verdict that holds for later submissions as well.
    pub(super) fn remember(&mut self, id: &name::Name, open: &OpenJob, verdict: Option<&Verdict>) {
        let (verdict, at) = (verdict.cloned(), self.last_tick);
        let leftovers = open.leftovers_at_end(self.number);
        self.ended.insert(id.clone(), Ending { verdict, leftovers, at });
    }

    /// The tasks that may be left of a job that a client has submitted here before.
    pub(super) fn leftovers_of(&self, id: &name::Name) -> Leftovers {
        self.ended.get(id).map(|ending| ending.leftovers.clone()).unwrap_or_default()
    }

    /// Ends the right to hand jobs over until it is renewed, because this instance was stopped.
    pub fn expire_reservations(&mut self) {
        for open in self.open.values_mut() {
            open.standing.until = 0;
        }
    }

    /// Replies to a client whose job has ended here a short time ago; returns `false` if none has.
    pub(super) fn repeat_verdict(&mut self, ticket: u64, id: &name::Name) -> bool {
        let verdict = self.ended.get(id).and_then(|ending| ending.verdict.as_ref());
        let Some(verdict) = verdict else { return false };
        self.out.replies.push((ticket, Reply::Verdict(verdict.clone())));
        let detail = format!("{verdict:?}, as to an earlier submission");
        self.out.notes.push(Note { text: "job: Answered.", subject: id.clone(), detail });
        true
    }
}

impl OpenJob {
    /// The tasks that may be left once this entry has ended the job. `number` is the last number that
    /// it has given to a handover or a probe.
    fn leftovers_at_end(&self, number: u64) -> Leftovers {
        let mut leftovers = self.leftovers.clone();
        self.parts.iter().for_each(|part| leftovers.add_part(part, number));
        leftovers
    }
}

/// The end of a job of which these tasks may be left.
fn not_open(leftovers: &Leftovers, now: u64) -> JobEnd {
    JobEnd::NotOpen(leftovers.zones(), leftovers.age(now))
}

/// The last word to schedulers of an entry that last reserved a job at `renewed` and does not tell.
fn last_word(renewed: u64, number: u64) -> LastWord {
    let asked = renewed + time::on_slowest(RESERVATION_TIME);
    LastWord { asked, number, is_split: false }
}

/// What is due for the reservation of a job.
#[derive(Debug)]
enum Task {
    Reserve,
    Join(name::Name),
    Clear,
    Drop,
}

impl Standing {
    fn due(&mut self, leftovers: &mut Leftovers, number: u64, now: u64) -> Option<Task> {
        let renewal = self.waiting.is_empty() && now >= self.asked + RENEW_INTERVAL;
        match &mut self.stage {
            Stage::Asking => None,
            Stage::Held => renewal.then_some(Task::Reserve),
            Stage::Clearing(_) if renewal => Some(Task::Reserve),
            Stage::Clearing(asked) => (now >= *asked + PROBE_INTERVAL).then_some(Task::Clear),
            Stage::Joined(joined) => {
                let limit = joined.heard.map(|heard| heard + REJOIN_TIMEOUT);
                let is_silent = now >= limit.unwrap_or(joined.since + JOIN_TIMEOUT);
                if now >= joined.asked + JOIN_INTERVAL {
                    joined.asked = now;
                    return Some(Task::Join(joined.entry.clone()));
                }
                if !is_silent || !self.waiting.is_empty() || now < self.asked + JOIN_TIMEOUT {
                    return None;
                }
                let entry = joined.entry.clone();
                self.former = Some(FormerEntry { entry, has_ended: false });
                leftovers.add_all(None, last_word(joined.renewed, number));
                Some(Task::Reserve)
            }
        }
    }
}
