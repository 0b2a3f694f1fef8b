//! Replicated log of the operator's orders: configurations, of which the highest version wins, and
//! evacuations of zones.

use std::collections;

use coord::{entry, group, message as agree, raft};
use state::name;

pub use crate::machines::control_state::Machine;
use crate::{
    machines::control_state::{Change, Command, Outcome},
    messages::{
        evacuation,
        event::{Reply, Ticket},
        message::{Body, Document},
        time,
    },
    tables::challenges,
};

/// Timing of the Raft group. A lost leader is replaced within 1.5 s, so that an order that arrives
/// in the meantime is acknowledged within the 4 s that the operator allows, with one repetition.
const TIMING: raft::Timing =
    raft::Timing { heartbeat: 200 * time::MS, election: 700 * time::MS, lease: 600 * time::MS };
/// A proposal is repeated after this, microseconds: it may have been lost with a leader.
const PROPOSAL_RETRY: u64 = 300 * time::MS;
/// An order or a read is answered within this, microseconds: callers stop waiting after a second.
const REPLY_TIMEOUT: u64 = 900 * time::MS;
/// Maximum number of voting members: two of five may be lost.
const MAX_VOTERS: usize = 5;
/// Number of entries after which the log is compacted. An entry may hold a whole compressed
/// configuration, 61 KB with 4,200 routes, so that the log stays under 4 MB on disk and in memory.
const COMPACT_EVERY: u64 = 32;
/// Number of entries that compaction keeps for slow followers.
const KEPT_ENTRIES: u64 = 8;
/// The formation of a group whose first members the settings name.
const FIRST_FORMATION: agree::Formation = agree::Formation { at: 1, by: 1 };
/// Incarnation of the disks of the group's first members.
pub const FIRST_INCARNATION: u64 = 1;

#[derive(Debug)]
struct PendingOrder {
    ticket: Ticket,
    change: Change,
    retry_at: u64,
    deadline: u64,
}

#[derive(Debug)]
enum Requester {
    Local(Ticket),
    Peer(name::Name, u64),
}

#[derive(Debug)]
struct Query {
    requester: Requester,
    asked_at: u64,
    deadline: u64,
    min_version: Option<u64>,
}

/// Effects of the calls since the last [`ControlLog::take_output`].
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other instances.
    pub sends: Vec<(name::Name, Body)>,
    /// Changes to store on disk, with their numbers.
    pub saves: Vec<(u64, raft::Save)>,
    /// Answers to the operator.
    pub replies: Vec<(Ticket, Reply)>,
    /// Log lines about orders: the text and the detail.
    pub notes: Vec<(&'static str, String)>,
}

/// A member of the Raft group that replicates the control log.
#[derive(Debug)]
pub struct ControlLog {
    group: group::Group<Machine>,
    orders: collections::BTreeMap<u64, PendingOrder>,
    queries: collections::BTreeMap<u64, Query>,
    last_number: u64,
    challenges: challenges::Challenges,
    /// The other keepers.
    others: Vec<name::Name>,
    out: Output,
}

impl ControlLog {
    /// Creates a member that starts from its stored state. `founders` are the first members, if the
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
            static_voters: true,
            compact_every: COMPACT_EVERY,
            kept_entries: KEPT_ENTRIES,
        };
        let fresh = recovered.formation.is_none();
        let mut group =
            group::Group::new(config, Machine::default(), seed).with_recovered(recovered, now);
        if let Some(founders) = founders
            && fresh
        {
            let member = |name| name::Member::new(name, FIRST_INCARNATION);
            let voters = entry::Voters(founders.iter().map(member).collect());
            group.bootstrap(FIRST_FORMATION, voters, now);
        }
        Self {
            group,
            orders: collections::BTreeMap::new(),
            queries: collections::BTreeMap::new(),
            last_number: seed >> 8,
            challenges: challenges::Challenges::default(),
            others: Vec::new(),
            out: Output::default(),
        }
    }

    /// Takes the effects collected so far.
    pub fn take_output(&mut self) -> Output {
        let group = self.group.take_output();
        let sends = group.sends.into_iter().map(|(to, body)| (to, Body::Agree(Box::new(body))));
        self.out.sends.extend(sends);
        self.out.saves.extend(group.saves);
        if group.restored {
            self.challenges.drop_zone(None);
            self.answer_superseded(None);
        }
        for applied in group.effects {
            if let Some(order) = self.orders.remove(&applied.origin) {
                let reply = match applied.outcome {
                    Outcome::InForce => Reply::Noted,
                    Outcome::Conflict => Reply::Conflict,
                    Outcome::Stale => {
                        // The next tick proposes the order again, based on the present state.
                        self.orders.insert(applied.origin, PendingOrder { retry_at: 0, ..order });
                        continue;
                    }
                };
                let text = answer_text(&reply);
                self.out.notes.push((text, order.change.describe()));
                self.out.replies.push((order.ticket, reply));
            }
            if let Some(zone) = &applied.ordered {
                self.challenges.drop_zone(Some(zone));
                self.answer_superseded(Some(zone));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Answers the orders for `zone`, or for all zones, that wait while another order took effect.
    /// If one of them asks for another state, it may be older than that order, and its caller may
    /// have given it up.
    fn answer_superseded(&mut self, zone: Option<&name::Name>) {
        let evacuations = &self.group.machine().state.evacuations;
        let out = &mut self.out;
        self.orders.retain(|_, pending| {
            let order = match &pending.change {
                Change::EvacuateOnBase(order) if zone.is_none_or(|zone| order.zone == *zone) => {
                    order
                }
                _ => return true,
            };
            let (reply, text) = if evacuations.has(&order.zone) == order.evacuated {
                (Reply::Noted, answer_text(&Reply::Noted))
            } else {
                (Reply::Unavailable, "settings: Order overtaken by another one.")
            };
            out.notes.push((text, pending.change.describe()));
            out.replies.push((pending.ticket, reply));
            false
        });
    }

    /// The newest configuration that this member knows to be committed.
    pub fn document(&self) -> &Document {
        &self.group.machine().state.document
    }

    /// The evacuated zones, by the newest order that this member knows to be committed.
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.group.machine().state.evacuations
    }

    /// Whether this member leads the group.
    pub fn is_leader(&self) -> bool {
        self.group.is_leader()
    }

    /// The Raft state of the group, once this member belongs to it.
    pub fn raft(&self) -> Option<&raft::Raft> {
        self.group.raft()
    }

    /// Whether this member has learned since its start what is committed.
    pub fn is_confirmed(&self) -> bool {
        self.group.raft().is_some_and(raft::Raft::is_confirmed)
    }

    /// The voters of the group, separated by spaces, for display.
    pub fn voters(&self) -> String {
        let voters = self.group.raft().map(|raft| raft.voters().0.clone()).unwrap_or_default();
        voters.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
    }

    /// Sets the other instances that may be members.
    pub fn set_others(&mut self, others: Vec<name::Name>) {
        self.others.clone_from(&others);
        self.group.set_others(others);
    }

    /// Sets the other instances that were heard within [`coord::seats::LOST_VOTER_TIMEOUT`], if that is
    /// known.
    pub fn set_heard(&mut self, heard: Option<Vec<name::Name>>) {
        self.group.set_heard(heard);
    }

    /// Handles a configuration from the operator.
    pub fn publish(&mut self, ticket: Ticket, document: Document, now: u64) {
        if let Some(same) = self.group.machine().precheck(&document) {
            let reply = if same { Reply::Noted } else { Reply::Conflict };
            let detail = format!("version {}, held {}", document.version, self.document().version);
            self.out.notes.push((answer_text(&reply), detail));
            self.out.replies.push((ticket, reply));
            return;
        }
        self.add_order(ticket, Change::Publish(document), now);
    }

    /// Handles an order to evacuate a zone or to revert its evacuation. One that would change the
    /// state that this member holds is challenged: its sender may have given it up and had a later
    /// one acknowledged elsewhere. The others go through the log as well, because this member may
    /// lag behind.
    pub fn evacuate(&mut self, ticket: Ticket, request: evacuation::Request, now: u64) {
        let is_changing = self.evacuations().has(&request.zone) != request.evacuated;
        let is_wanted = !is_changing || self.challenges.is_met(&request, now);
        let evacuation::Request { zone, evacuated, challenge, opened } = request;
        let order = evacuation::Order { zone, evacuated, base: self.evacuations().revision };
        let change = Change::EvacuateOnBase(order.clone());
        let number = challenge.map_or_else(|| "none".to_owned(), |number| number.to_string());
        let detail =
            format!("{}, connection open for {opened} ms, challenge {number}", change.describe());
        self.out.notes.push(("settings: Order read.", detail));
        if is_wanted {
            return self.add_order(ticket, change, now);
        }
        self.last_number += 1;
        let detail = format!("{}, challenge {}", change.describe(), self.last_number);
        self.out.notes.push(("settings: Order challenged.", detail));
        self.out.replies.push((ticket, Reply::Challenge(self.last_number)));
        self.challenges.issue(self.last_number, order, now);
    }

    /// Handles that the sender of an order has read the challenge with this number. Tells the other
    /// keepers, at which it may repeat the order without the number.
    pub fn on_challenge_read(&mut self, number: u64, now: u64) {
        if let Some(order) = self.challenges.on_read(number, now) {
            let send = |name: &name::Name| (name.clone(), Body::Challenged(order.clone()));
            self.out.sends.extend(self.others.iter().map(send));
        }
    }

    /// Handles that the sender of an order has read the challenge of another keeper. An order that
    /// took effect since then may be later than the challenged one.
    pub fn on_challenge_read_elsewhere(&mut self, order: evacuation::Order, now: u64) {
        if order.base >= self.evacuations().revision {
            self.challenges.on_read_elsewhere(order, now);
        }
    }

    fn add_order(&mut self, ticket: Ticket, change: Change, now: u64) {
        self.last_number += 1;
        let order = PendingOrder { ticket, change, retry_at: 0, deadline: now + REPLY_TIMEOUT };
        self.orders.insert(self.last_number, order);
        self.propose_due(now);
    }

    /// Reads the newest configuration for the operator.
    pub fn query_newest(&mut self, ticket: Ticket, now: u64) {
        self.query(Requester::Local(ticket), now);
    }

    /// Handles the query of another member for the newest version, if this member leads the group.
    pub fn on_query(&mut self, from: &name::Name, number: u64, now: u64) {
        if self.group.is_leader() {
            self.query(Requester::Peer(from.clone(), number), now);
        }
    }

    /// Handles the leader's answer to a query.
    pub fn on_query_answer(&mut self, number: u64, version: u64) {
        if let Some(query) = self.queries.get_mut(&number) {
            query.min_version = Some(version);
        }
        self.answer_queries(0);
    }

    /// Handles a message of the group.
    pub fn on_group_message(&mut self, from: &name::Name, body: agree::Body, now: time::Now) {
        match body {
            agree::Body::Form(_, incarnation, form) => {
                self.group.on_form(&name::Member::new(from, incarnation), &form, now);
            }
            agree::Body::Raft(_, route, body) => {
                self.group.on_raft(from, route, body, now.mono);
            }
            agree::Body::Propose(_, route, command) => {
                self.group.on_propose(from, route, command, now.mono);
            }
            _ => {}
        }
        self.answer_queries(now.mono);
    }

    /// Handles that the changes up to this number are on disk.
    pub fn on_saved(&mut self, number: u64, now: u64) {
        self.group.on_saved(number, now);
        self.answer_queries(now);
    }

    /// Hands over the leadership and the seat of this member, which is about to end.
    pub fn leave(&mut self, now: u64) {
        self.group.leave(now);
        self.group.replace_lost_voters(MAX_VOTERS, now);
    }

    /// Whether one of these other instances may still take over the seat of this member, or is doing
    /// so.
    pub fn awaits_successor<'a>(&self, others: impl Iterator<Item = &'a name::Name>) -> bool {
        self.group.awaits_successor(others)
    }

    /// Runs the periodic work that is due at `now`.
    pub fn tick(&mut self, now: time::Now) {
        self.group.tick(now);
        self.group.replace_lost_voters(MAX_VOTERS, now.mono);
        self.propose_due(now.mono);
        self.answer_queries(now.mono);
        let expired = self.queries.iter().filter(|(_, query)| now.mono >= query.deadline);
        for number in expired.map(|(number, _)| *number).collect::<Vec<_>>() {
            if let Some(Query { requester: Requester::Local(ticket), .. }) =
                self.queries.remove(&number)
            {
                let progress = self.group.waits_for(now.mono).unwrap_or_else(|| self.progress());
                self.out.notes.push(("settings: Read not confirmed in time.", progress));
                self.out.replies.push((ticket, Reply::Unavailable));
            }
        }
    }

    /// Proposes the orders that are due, and gives up those that are not committed in time.
    fn propose_due(&mut self, now: u64) {
        let mut expired = Vec::new();
        let revision = self.evacuations().revision;
        for (origin, order) in &mut self.orders {
            if now >= order.deadline {
                expired.push(*origin);
            } else if now >= order.retry_at {
                order.retry_at = now + PROPOSAL_RETRY;
                if let Change::EvacuateOnBase(evacuation) = &mut order.change {
                    evacuation.base = revision;
                    let detail = format!("{}, on revision {revision}", order.change.describe());
                    self.out.notes.push(("settings: Order proposed.", detail));
                }
                let command = Command { change: order.change.clone(), origin: *origin };
                self.group.propose(&coord::machine::encode(&command), now);
            }
        }
        for origin in expired {
            if let Some(order) = self.orders.remove(&origin) {
                self.out.replies.push((order.ticket, Reply::Unavailable));
                let progress = self.group.waits_for(now).unwrap_or_else(|| self.progress());
                let detail = format!("{}: {progress}", order.change.describe());
                self.out.notes.push(("settings: Order not committed in time.", detail));
            }
        }
    }

    /// How far the log is replicated, for display.
    fn progress(&self) -> String {
        let indexes = |raft: &raft::Raft| (raft.log().last(), raft.synced(), raft.commit());
        let (last, synced, commit) = self.group.raft().map(indexes).unwrap_or_default();
        format!("entry {last} is the last one, {synced} on this disk, {commit} committed")
    }

    fn query(&mut self, requester: Requester, now: u64) {
        self.last_number += 1;
        let number = self.last_number;
        let query =
            Query { requester, asked_at: now, deadline: now + REPLY_TIMEOUT, min_version: None };
        self.queries.insert(number, query);
        if self.group.is_leader() {
            self.group.send_heartbeat(now);
        } else if let Some(leader) = self.group.raft().and_then(raft::Raft::leader) {
            self.out.sends.push((leader.name.clone(), Body::Confirm(number)));
        }
        self.answer_queries(now);
    }

    /// Answers the queries for which this member's configuration is proved to be the newest by now.
    fn answer_queries(&mut self, now: u64) {
        let proved = self.quorum_time(now);
        let held = self.document().clone();
        let mut done = Vec::new();
        for (number, query) in &self.queries {
            let local = proved.is_some_and(|at| at >= query.asked_at);
            let remote = query.min_version.is_some_and(|version| held.version >= version);
            if local || remote {
                done.push(*number);
            }
        }
        for number in done {
            match self.queries.remove(&number).map(|query| query.requester) {
                Some(Requester::Local(ticket)) if held.version == 0 => {
                    self.out.replies.push((ticket, Reply::Unavailable));
                }
                Some(Requester::Local(ticket)) => {
                    self.out.replies.push((ticket, Reply::Newest(held.clone())));
                }
                Some(Requester::Peer(name, number)) => {
                    let body = Body::Confirmed(number, held.version);
                    self.out.sends.push((name, body));
                }
                None => {}
            }
        }
    }

    /// The latest time at which a quorum is known to have followed this member as its leader.
    fn quorum_time(&self, now: u64) -> Option<u64> {
        let raft = self.group.raft().filter(|raft| raft.is_leader() && raft.is_current())?;
        Some(raft.lease_end(now).saturating_sub(TIMING.lease))
    }
}

/// The log line for the answer to an order.
fn answer_text(reply: &Reply) -> &'static str {
    match reply {
        Reply::Noted => "settings: Order acknowledged.",
        _ => "settings: Order refused, another configuration has this version.",
    }
}
