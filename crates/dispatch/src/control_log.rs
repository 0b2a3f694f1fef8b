//! What the operator orders, replicated: configurations, of which the highest version wins, and the
//! zones that are evacuated.

use std::collections;

use coord::{entry, group, message as agree, raft};
use state::name;

use crate::{
    compression, evacuation,
    event::{Reply, Ticket},
    message::{Body, Document},
    time,
};

/// Intervals of the group. A leader that is lost is replaced within 1.5 s, so that an order which
/// came meanwhile is acknowledged within the 4 s that the operator grants, with one repetition.
const TIMING: raft::Timing =
    raft::Timing { heartbeat: 200 * time::MS, election: 700 * time::MS, lease: 600 * time::MS };
/// A proposal is repeated after this, microseconds: a leader may have been lost with it.
const REPEAT: u64 = 300 * time::MS;
/// An order is answered within this, microseconds: callers move on after a second.
const PATIENCE: u64 = 900 * time::MS;
/// Most members that vote: two of five may be lost.
const VOTERS: usize = 5;
/// Entries after which the log is compacted. One holds a whole packed configuration, 61 KB with
/// 4,200 routes, so that the log stays under 4 MB on disk and in memory.
const COMPACT_EVERY: u64 = 32;
/// Entries kept then for slow followers.
const KEPT_ENTRIES: u64 = 8;
/// The formation of a group whose first members are named by their settings.
const NAMED: agree::Formation = agree::Formation { at: 1, by: 1 };
/// Incarnation of a disk in the group's first members.
pub const FIRST_LIFE: u64 = 1;

/// A change of the replicated state, as it is in the log.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
enum Change {
    Publish(Document),
    Evacuate(evacuation::Order),
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Command {
    change: Change,
    origin: u64,
}

/// How a log entry was written before there were evacuations.
#[derive(serde::Deserialize)]
struct FormerCommand {
    origin: u64,
    document: Document,
}

impl Command {
    fn decode(bytes: &[u8]) -> Option<Self> {
        // An origin is far above the numbers of the kinds of change, so neither is read as the other.
        postcard::from_bytes(bytes).ok().or_else(|| {
            let FormerCommand { origin, document } = postcard::from_bytes(bytes).ok()?;
            Some(Self { change: Change::Publish(document), origin })
        })
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    origin: u64,
    outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Held,
    /// Another configuration has the version.
    Conflict,
    /// The order was given on a state that has changed since.
    Stale,
}

/// The replicated state.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
struct State {
    document: Document,
    evacuations: evacuation::Evacuations,
}

/// The replicated state as a state machine.
#[derive(Debug, Default)]
pub struct Machine {
    state: State,
}

impl Machine {
    /// Whether `document` may be acknowledged beside the one that is held; nothing if it is newer.
    fn judge(&self, document: &Document) -> Option<bool> {
        let held = &self.state.document;
        if document.version > held.version {
            return None;
        }
        let older = document.version < held.version;
        Some(older || is_same(&document.body, &held.body))
    }

    fn publish(&mut self, document: Document) -> Outcome {
        match self.judge(&document) {
            Some(true) => Outcome::Held,
            Some(false) => Outcome::Conflict,
            None => {
                self.state.document = document;
                Outcome::Held
            }
        }
    }

    fn evacuate(&mut self, order: &evacuation::Order) -> Outcome {
        match self.state.evacuations.apply(order) {
            evacuation::Outcome::Held => Outcome::Held,
            evacuation::Outcome::Stale => Outcome::Stale,
        }
    }
}

impl group::Machine for Machine {
    type Effect = Applied;

    fn apply(&mut self, command: &[u8]) -> Vec<Applied> {
        let Some(Command { change, origin }) = Command::decode(command) else {
            return Vec::new();
        };
        let outcome = match change {
            Change::Publish(document) => self.publish(document),
            Change::Evacuate(order) => self.evacuate(&order),
        };
        vec![Applied { origin, outcome }]
    }

    fn snapshot(&self) -> bytes::Bytes {
        coord::machine::encode(&self.state)
    }

    fn restore(&mut self, state: &[u8]) {
        // Snapshots held the configuration only before there were evacuations.
        let former = || State {
            document: postcard::from_bytes(state).unwrap_or_default(),
            ..State::default()
        };
        let state = postcard::from_bytes(state).unwrap_or_else(|_| former());
        let key = |state: &State| (state.document.version, state.evacuations.revision);
        if key(&state) >= key(&self.state) {
            self.state = state;
        }
    }

    fn reset(&mut self) {}
}

#[derive(Debug)]
struct Order {
    ticket: Ticket,
    change: Change,
    repeat: u64,
    until: u64,
}

#[derive(Debug)]
enum Asker {
    Here(Ticket),
    Peer(name::Name, u64),
}

#[derive(Debug)]
struct Question {
    asker: Asker,
    asked: u64,
    until: u64,
    floor: Option<u64>,
}

/// Effects of the last calls.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages.
    pub sends: Vec<(name::Name, Body)>,
    /// Changes to store.
    pub saves: Vec<(u64, raft::Save)>,
    /// Answers.
    pub replies: Vec<(Ticket, Reply)>,
}

/// A member of the group that holds the configuration.
#[derive(Debug)]
pub struct ControlLog {
    group: group::Group<Machine>,
    orders: collections::BTreeMap<u64, Order>,
    questions: collections::BTreeMap<u64, Question>,
    next: u64,
    out: Output,
}

impl ControlLog {
    /// A member that starts from what it had stored. `founders` are the first members, if the
    /// whole system starts for the first time and this instance is one of them.
    pub fn new(
        me: name::Member,
        recovered: group::Recovered,
        founders: Option<&[name::Name]>,
        now: u64,
        seed: u64,
    ) -> Self {
        let config = group::Config {
            group: agree::Group::Settings,
            me,
            seats: Vec::new(),
            others: Vec::new(),
            timing: TIMING,
            durable: true,
            named: true,
            compact_every: COMPACT_EVERY,
            kept_entries: KEPT_ENTRIES,
        };
        let fresh = recovered.formation.is_none();
        let mut group =
            group::Group::new(config, Machine::default(), seed).with_recovered(recovered, now);
        if let Some(founders) = founders
            && fresh
        {
            let member = |name| name::Member::new(name, FIRST_LIFE);
            let voters = entry::Voters(founders.iter().map(member).collect());
            group.form(NAMED, voters, now);
        }
        Self {
            group,
            orders: collections::BTreeMap::new(),
            questions: collections::BTreeMap::new(),
            next: seed >> 8,
            out: Output::default(),
        }
    }

    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Output {
        let group = self.group.take();
        let sends = group.sends.into_iter().map(|(to, body)| (to, Body::Agree(Box::new(body))));
        self.out.sends.extend(sends);
        self.out.saves.extend(group.saves);
        for applied in group.effects {
            if let Some(order) = self.orders.remove(&applied.origin) {
                let reply = match applied.outcome {
                    Outcome::Held => Reply::Noted,
                    Outcome::Conflict => Reply::Conflict,
                    Outcome::Stale => {
                        // The next tick proposes it on the present state.
                        self.orders.insert(applied.origin, Order { repeat: 0, ..order });
                        continue;
                    }
                };
                self.out.replies.push((order.ticket, reply));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// The newest configuration that is known to be committed.
    pub fn document(&self) -> &Document {
        &self.group.machine().state.document
    }

    /// The evacuated zones, by the newest order that is known to be committed.
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.group.machine().state.evacuations
    }

    /// Whether this member leads the group.
    pub fn is_leader(&self) -> bool {
        self.group.is_leader()
    }

    /// The group's log and term, once this member belongs to it.
    pub fn raft(&self) -> Option<&raft::Raft> {
        self.group.raft()
    }

    /// Voters of the group, for people.
    pub fn voters(&self) -> String {
        let voters = self.group.raft().map(|raft| raft.voters().0.clone()).unwrap_or_default();
        voters.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
    }

    /// Names the other instances that may be members.
    pub fn set_others(&mut self, others: Vec<name::Name>) {
        self.group.set_others(others);
    }

    /// Takes a configuration from the operator.
    pub fn publish(&mut self, ticket: Ticket, document: Document, now: u64) {
        if let Some(same) = self.group.machine().judge(&document) {
            let reply = if same { Reply::Noted } else { Reply::Conflict };
            self.out.replies.push((ticket, reply));
            return;
        }
        self.order(ticket, Change::Publish(document), now);
    }

    /// Takes an order to evacuate a zone, or to take it back. It goes through the log even where it
    /// asks for what holds here: this member may lag behind.
    pub fn evacuate(&mut self, ticket: Ticket, zone: name::Name, evacuated: bool, now: u64) {
        let order = evacuation::Order { zone, evacuated, base: 0 };
        self.order(ticket, Change::Evacuate(order), now);
    }

    fn order(&mut self, ticket: Ticket, change: Change, now: u64) {
        self.next += 1;
        let order = Order { ticket, change, repeat: 0, until: now + PATIENCE };
        self.orders.insert(self.next, order);
        self.repeat(now);
    }

    /// Looks up the newest configuration for the operator.
    pub fn read(&mut self, ticket: Ticket, now: u64) {
        self.ask(Asker::Here(ticket), now);
    }

    /// Looks up the newest version for another member.
    pub fn confirm(&mut self, from: &name::Name, number: u64, now: u64) {
        if self.group.is_leader() {
            self.ask(Asker::Peer(from.clone(), number), now);
        }
    }

    /// The leader has answered a question.
    pub fn confirmed(&mut self, number: u64, version: u64) {
        if let Some(question) = self.questions.get_mut(&number) {
            question.floor = Some(version);
        }
        self.answer(0);
    }

    /// Takes a message of the group.
    pub fn agree(&mut self, from: &name::Name, body: agree::Body, now: time::Now) {
        match body {
            agree::Body::Form(_, life, form) => {
                self.group.on_form(&name::Member::new(from, life), &form, now);
            }
            agree::Body::Raft(_, route, body) => {
                self.group.on_raft(from, route, body, now.mono);
            }
            agree::Body::Propose(_, route, command) => {
                self.group.on_propose(from, route, command, now.mono);
            }
            _ => {}
        }
        self.answer(now.mono);
    }

    /// Stores up to this number are on disk.
    pub fn saved(&mut self, number: u64, now: u64) {
        self.group.saved(number, now);
        self.answer(now);
    }

    /// Gives up leadership.
    pub fn hand_over(&mut self, now: u64) {
        self.group.hand_over(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: time::Now) {
        self.group.tick(now);
        self.group.reseat(VOTERS, now.mono);
        self.repeat(now.mono);
        self.answer(now.mono);
        let over = self.questions.iter().filter(|(_, question)| now.mono >= question.until);
        for number in over.map(|(number, _)| *number).collect::<Vec<_>>() {
            if let Some(Question { asker: Asker::Here(ticket), .. }) =
                self.questions.remove(&number)
            {
                self.out.replies.push((ticket, Reply::Unavailable));
            }
        }
    }

    /// Proposes the orders that are due, and gives up those that are not committed in time.
    fn repeat(&mut self, now: u64) {
        let mut over = Vec::new();
        let revision = self.evacuations().revision;
        for (origin, order) in &mut self.orders {
            if now >= order.until {
                over.push(*origin);
            } else if now >= order.repeat {
                order.repeat = now + REPEAT;
                if let Change::Evacuate(order) = &mut order.change {
                    order.base = revision;
                }
                let command = Command { change: order.change.clone(), origin: *origin };
                self.group.propose(&coord::machine::encode(&command), now);
            }
        }
        for origin in over {
            if let Some(order) = self.orders.remove(&origin) {
                self.out.replies.push((order.ticket, Reply::Unavailable));
            }
        }
    }

    fn ask(&mut self, asker: Asker, now: u64) {
        self.next += 1;
        let number = self.next;
        let question = Question { asker, asked: now, until: now + PATIENCE, floor: None };
        self.questions.insert(number, question);
        if self.group.is_leader() {
            self.group.beat(now);
        } else if let Some(leader) = self.group.raft().and_then(raft::Raft::leader) {
            self.out.sends.push((leader.name.clone(), Body::Confirm(number)));
        }
        self.answer(now);
    }

    /// Answers the questions whose answer is proved to be the newest by now.
    fn answer(&mut self, now: u64) {
        let proved = self.proved(now);
        let held = self.document().clone();
        let mut done = Vec::new();
        for (number, question) in &self.questions {
            let here = proved.is_some_and(|at| at >= question.asked);
            let there = question.floor.is_some_and(|floor| held.version >= floor);
            if here || there {
                done.push(*number);
            }
        }
        for number in done {
            match self.questions.remove(&number).map(|question| question.asker) {
                Some(Asker::Here(ticket)) if held.version == 0 => {
                    self.out.replies.push((ticket, Reply::Unavailable));
                }
                Some(Asker::Here(ticket)) => {
                    self.out.replies.push((ticket, Reply::Newest(held.clone())));
                }
                Some(Asker::Peer(name, number)) => {
                    let body = Body::Confirmed(number, held.version);
                    self.out.sends.push((name, body));
                }
                None => {}
            }
        }
    }

    /// The latest time at which a quorum is known to have followed this leader.
    fn proved(&self, now: u64) -> Option<u64> {
        let raft = self.group.raft().filter(|raft| raft.is_leader() && raft.is_current())?;
        Some(raft.lease(now).saturating_sub(TIMING.lease))
    }
}

/// Whether two packed texts are the same. Another version of this program may pack the same text to
/// other bytes.
fn is_same(one: &bytes::Bytes, other: &bytes::Bytes) -> bool {
    one == other
        || matches!((compression::decompress(one), compression::decompress(other)), (Ok(a), Ok(b)) if a == b)
}
