//! A consensus engine: log replication with pre-vote, check-quorum, leases, learners and
//! single-step voter changes.
//!
//! The algorithm is Raft (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014). The engine
//! is pure: it is told the time and the messages, and its effects are collected in [`Output`].
//!
//! Leases: an answer to a heartbeat carries the follower's clock, and the next heartbeat of a
//! leader that still holds a quorum echoes it. What the follower sent at `t` and sees echoed
//! proves that nobody expels it before `t` plus the lease, by its own clock.

use std::collections;

use rand::{RngExt as _, SeedableRng as _, rngs};
use state::name;

use crate::{
    entry::{Entry, Load, Voters},
    log, message,
    message::Raft as Message,
};

/// Most entries of one message.
const MAX_BATCH: usize = 256;
/// A snapshot is not sent to the same follower again within this time, microseconds.
const SNAPSHOT_PAUSE: u64 = 1_000_000;

/// Intervals of a group, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of an idle leader.
    pub heartbeat: u64,
    /// Shortest time without a leader before an election; the longest is twice as long.
    pub election: u64,
    /// Length of a lease. At most [`Self::election`].
    pub lease: u64,
}

/// A change that must be on disk before votes that depend on it are sent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Save {
    /// Term and vote.
    Hard(u64, Option<name::Member>),
    /// An entry; it replaces the one at its index and drops all after it.
    Entry(Entry),
    /// Entries up to this index are committed.
    Commit(u64),
    /// The member belongs to this formation from here on, with nothing in its log.
    Formed(message::Formation, Voters),
    /// The member belongs to no formation any more.
    Reset,
    /// Everything up to the index is replaced by a snapshot.
    Snapshot {
        /// Last index covered.
        index: u64,
        /// Term at that index.
        term: u64,
        /// Voters at that index.
        voters: Voters,
        /// The encoded state machine.
        state: bytes::Bytes,
    },
}

/// Effects of the last calls.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub sends: Vec<(name::Member, Message)>,
    /// Changes to store.
    pub saves: Vec<Save>,
    /// Newly committed entries, in order.
    pub committed: Vec<Entry>,
    /// A snapshot that replaces the state machine; it goes before `committed`.
    pub restored: Option<bytes::Bytes>,
    /// Followers that need a snapshot (see [`Raft::send_snapshot`]).
    pub behind: Vec<name::Member>,
}

/// What a leader knows of one follower.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Last index known to match.
    pub matched: u64,
    /// When it was last heard from; leader's clock.
    pub heard: u64,
    next: u64,
    acked: u64,
    stamp: u64,
    snapshot: u64,
}

#[derive(Debug)]
struct Lead {
    peers: collections::BTreeMap<name::Member, Progress>,
    beat: u64,
    since: u64,
    eager: collections::BTreeMap<name::Member, u64>,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, votes: collections::BTreeSet<name::Member> },
    Leader(Lead),
}

/// State that an engine starts from.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term.
    pub term: u64,
    /// Vote in that term.
    pub vote: Option<name::Member>,
    /// Log after the snapshot.
    pub log: log::Log,
    /// Voters at the snapshot.
    pub voters: Voters,
}

/// One member's engine of one group.
#[derive(Debug)]
pub struct Raft {
    me: name::Member,
    timing: Timing,
    durable: bool,
    rng: rngs::SmallRng,
    term: u64,
    vote: Option<name::Member>,
    log: log::Log,
    base_voters: Voters,
    voters: Voters,
    commit: u64,
    synced: u64,
    role: Role,
    leader: Option<name::Member>,
    heard: u64,
    echo: u64,
    elect: u64,
    out: Output,
}

impl Raft {
    /// An engine that starts as a follower. `durable` says that entries count only once
    /// [`Self::synced`] was called for them.
    pub fn new(
        me: name::Member,
        timing: Timing,
        durable: bool,
        stored: Stored,
        now: u64,
        seed: u64,
    ) -> Self {
        let mut raft = Self {
            me,
            timing,
            durable,
            rng: rngs::SmallRng::seed_from_u64(seed),
            term: stored.term,
            vote: stored.vote,
            commit: stored.log.base(),
            synced: stored.log.last(),
            log: stored.log,
            voters: stored.voters.clone(),
            base_voters: stored.voters,
            role: Role::Follower,
            leader: None,
            heard: 0,
            echo: 0,
            elect: 0,
            out: Output::default(),
        };
        raft.refresh_voters();
        raft.reset_election(now);
        raft
    }

    /// An engine that leads a group which it has just formed with `voters`.
    pub fn found(
        me: name::Member,
        timing: Timing,
        durable: bool,
        voters: Voters,
        now: u64,
        seed: u64,
    ) -> Self {
        let stored = Stored { term: 1, vote: Some(me.clone()), voters, ..Stored::default() };
        let mut raft = Self::new(me, timing, durable, stored, now, seed);
        raft.out.saves.push(Save::Hard(raft.term, raft.vote.clone()));
        raft.lead(now);
        let voters = raft.voters.clone();
        raft.append(Load::Voters(voters), now);
        raft
    }

    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Present term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Voters, as of the last entry of the log.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The leader, as far as this member knows.
    pub fn leader(&self) -> Option<&name::Member> {
        self.leader.as_ref()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether the leader was heard from within an election timeout.
    pub fn has_leader(&self, now: u64) -> bool {
        self.is_leader() || (self.leader.is_some() && now < self.heard + self.timing.election)
    }

    /// When the last leader was heard from.
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// End of this member's lease on its own clock.
    pub fn lease(&self, now: u64) -> u64 {
        match &self.role {
            Role::Leader(lead) => self.quorum_ack(lead, now) + self.timing.lease,
            _ if self.echo == 0 => 0,
            _ => self.echo + self.timing.lease,
        }
    }

    /// Followers and learners of a leader with what it knows of them.
    pub fn peers(&self) -> impl Iterator<Item = (&name::Member, &Progress)> {
        let lead = match &self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        };
        lead.into_iter().flat_map(|lead| lead.peers.iter())
    }

    /// Since when this member leads; nothing if it does not.
    pub fn leads_since(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.since),
            _ => None,
        }
    }

    /// Whether the last voter change is committed, so that another may follow.
    pub fn is_settled(&self) -> bool {
        let is_change = |entry: &&Entry| matches!(entry.load, Load::Voters(_));
        let last = self.log.iter().rev().find(is_change);
        let current = self.log.term(self.commit) == Some(self.term);
        current && last.is_none_or(|entry| entry.index <= self.commit)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        if let Role::Leader(lead) = &self.role {
            let quorum = self.quorum_ack(lead, now).max(lead.since);
            if now >= quorum + self.timing.election {
                self.follow(None, now);
            } else if now >= lead.beat {
                self.broadcast(now);
            }
        } else if now >= self.elect {
            self.campaign(true, now);
        }
    }

    /// Appends a load as the leader; gives its index, or nothing if this member does not lead.
    pub fn propose(&mut self, load: Load, now: u64) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        Some(self.append(load, now))
    }

    /// Tells `member` at once when what was proposed so far is committed.
    pub fn hurry(&mut self, member: &name::Member) {
        let last = self.log.last();
        if let Role::Leader(lead) = &mut self.role
            && lead.peers.contains_key(member)
        {
            lead.eager.insert(member.clone(), last);
        }
    }

    /// Starts to replicate to a member that does not vote.
    pub fn add_learner(&mut self, member: &name::Member, now: u64) {
        let next = self.log.last() + 1;
        if let Role::Leader(lead) = &mut self.role
            && *member != self.me
            && !lead.peers.contains_key(member)
        {
            lead.peers.retain(|peer, _| peer.name != member.name || self.voters.holds(peer));
            let progress = Progress { next, heard: now, ..Progress::default() };
            lead.peers.insert(member.clone(), progress);
            self.send_append(member, now);
        }
    }

    /// Stops replicating to a member that does not vote.
    pub fn drop_learner(&mut self, member: &name::Member) {
        if let Role::Leader(lead) = &mut self.role
            && !self.voters.holds(member)
        {
            lead.peers.remove(member);
        }
    }

    /// Entries up to `index`, of `term`, are on disk.
    pub fn synced(&mut self, index: u64, term: u64, now: u64) {
        if index <= self.synced || self.log.term(index) != Some(term) {
            return;
        }
        self.synced = index;
        if self.is_leader() {
            self.advance(now);
        } else if let Some(leader) = self.leader.clone() {
            self.acknowledge(&leader, index, 0, now);
        }
    }

    /// Takes `index` as committed, as it was stored before a restart.
    pub fn recover(&mut self, index: u64) {
        self.commit_to(index);
        self.out.saves.clear();
    }

    /// Drops log entries that the state machine covers, keeping `keep` for slow followers.
    pub fn compact(&mut self, keep: u64) {
        let index = self.commit.saturating_sub(keep);
        if index <= self.log.base() {
            return;
        }
        self.base_voters = self.voters_at(index);
        self.log.compact(index);
    }

    /// Voters as of `index`.
    pub fn voters_at(&self, index: u64) -> Voters {
        let change = |entry: &Entry| match &entry.load {
            Load::Voters(voters) if entry.index <= index => Some(voters.clone()),
            _ => None,
        };
        self.log.iter().rev().find_map(change).unwrap_or_else(|| self.base_voters.clone())
    }

    /// Sends the state machine as of the commit index to a follower that is too far behind.
    pub fn send_snapshot(&mut self, to: &name::Member, state: bytes::Bytes, now: u64) {
        let (term, index) = (self.term, self.commit);
        let index_term = self.log.term(index).unwrap_or_default();
        let voters = self.voters_at(index);
        if let Role::Leader(lead) = &mut self.role
            && let Some(progress) = lead.peers.get_mut(to)
        {
            progress.snapshot = now;
            progress.next = index + 1;
            let body = Message::Snapshot { term, index, index_term, voters, state, sent: now };
            self.out.sends.push((to.clone(), body));
        }
    }

    /// Gives up leadership in favour of the follower that is furthest ahead among those that
    /// `fits` holds for, by name and last matching index.
    pub fn hand_over(&mut self, fits: impl Fn(&name::Name, u64) -> bool, now: u64) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let fresh = |p: &Progress| now < p.heard + self.timing.election;
        let fit = lead
            .peers
            .iter()
            .filter(|(m, p)| self.voters.holds(m) && fresh(p) && fits(&m.name, p.matched));
        let best = fit.max_by_key(|(_, p)| p.matched).map(|(m, _)| m.clone());
        if let Some(heir) = best {
            let term = self.term;
            self.follow(None, now);
            self.out.sends.push((heir, Message::Stand { term }));
        }
    }

    /// Takes a message of `from`.
    pub fn step(&mut self, from: &name::Member, body: Message, now: u64) {
        match body {
            Message::Vote { term, last, last_term, pre } => {
                self.on_vote(from, term, (last_term, last), pre, now);
            }
            Message::Voted { term, granted, pre } => self.on_voted(from, term, granted, pre, now),
            Message::Append { term, prev, prev_term, commit, entries, sent, echo } => {
                if self.accept_leader(from, term, sent, now) {
                    self.echo = self.echo.max(echo);
                    self.on_append(from, (prev, prev_term), commit, entries, sent, now);
                }
            }
            Message::Appended { term, success, index, sent, stamp } => {
                if term > self.term {
                    self.enter_term(term, now);
                } else if term == self.term {
                    self.on_appended(from, success, index, (sent, stamp), now);
                }
            }
            Message::Snapshot { term, index, index_term, voters, state, sent } => {
                if self.accept_leader(from, term, sent, now) {
                    self.on_snapshot(from, (index, index_term), voters, state, sent, now);
                }
            }
            Message::Stand { term } => {
                if term == self.term && self.voters.holds(&self.me) {
                    self.heard = 0;
                    self.campaign(false, now);
                }
            }
        }
    }

    fn on_vote(&mut self, from: &name::Member, term: u64, last: (u64, u64), pre: bool, now: u64) {
        // A member that hears a leader helps nobody to replace it. Only a candidate that a leader
        // has sent to stand comes without having asked first.
        let content = self.has_leader(now) && (pre || self.is_leader());
        if content || term < self.term {
            return self.send_voted(from, self.term, false, pre);
        }
        let current = last >= (self.log.last_term(), self.log.last());
        if pre {
            let granted = current && term > self.term;
            // A refusal tells the voter's own term: a question alone must not raise any.
            return self.send_voted(from, if granted { term } else { self.term }, granted, true);
        }
        if term > self.term {
            self.enter_term(term, now);
        }
        let free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = current && free && matches!(self.role, Role::Follower);
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.save_hard();
            self.reset_election(now);
        }
        self.send_voted(from, self.term, granted, false);
    }

    fn send_voted(&mut self, to: &name::Member, term: u64, granted: bool, pre: bool) {
        self.out.sends.push((to.clone(), Message::Voted { term, granted, pre }));
    }

    fn on_voted(&mut self, from: &name::Member, term: u64, granted: bool, pre: bool, now: u64) {
        if !granted {
            if term > self.term {
                self.enter_term(term, now);
            }
            return;
        }
        let asked = if pre { self.term + 1 } else { self.term };
        if term != asked || !self.voters.holds(from) {
            return;
        }
        let Role::Candidate { pre: stage, votes } = &mut self.role else {
            return;
        };
        if *stage != pre {
            return;
        }
        votes.insert(from.clone());
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: u64) {
        let Role::Candidate { pre, votes } = &self.role else {
            return;
        };
        if votes.len() < self.voters.quorum() {
            return;
        }
        if *pre {
            self.campaign(false, now);
        } else {
            self.lead(now);
            self.append(Load::Empty, now);
        }
    }

    fn campaign(&mut self, pre: bool, now: u64) {
        self.reset_election(now);
        if !self.voters.holds(&self.me) {
            return;
        }
        self.leader = None;
        let term = self.term + 1;
        if !pre {
            self.term = term;
            self.vote = Some(self.me.clone());
            self.save_hard();
        }
        let votes = collections::BTreeSet::from([self.me.clone()]);
        self.role = Role::Candidate { pre, votes };
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for to in self.others() {
            self.out.sends.push((to, Message::Vote { term, last, last_term, pre }));
        }
        self.count_votes(now);
    }

    fn others(&self) -> Vec<name::Member> {
        let known = |m: &&name::Member| **m != self.me && m.life != 0;
        self.voters.0.iter().filter(known).cloned().collect()
    }

    fn lead(&mut self, now: u64) {
        let next = self.log.last() + 1;
        let progress = Progress { next, heard: now, ..Progress::default() };
        let peers = self.others().into_iter().map(|member| (member, progress)).collect();
        self.leader = Some(self.me.clone());
        self.echo = 0;
        self.role = Role::Leader(Lead {
            peers,
            beat: now,
            since: now,
            eager: collections::BTreeMap::new(),
        });
    }

    fn enter_term(&mut self, term: u64, now: u64) {
        self.term = term;
        self.vote = None;
        self.save_hard();
        self.follow(None, now);
    }

    fn follow(&mut self, leader: Option<name::Member>, now: u64) {
        let was_leader = self.is_leader();
        self.role = Role::Follower;
        self.leader = leader;
        if was_leader {
            self.echo = 0;
        }
        self.reset_election(now);
    }

    fn save_hard(&mut self) {
        self.out.saves.push(Save::Hard(self.term, self.vote.clone()));
    }

    fn reset_election(&mut self, now: u64) {
        let spread = self.rng.random_range(0..=self.timing.election);
        self.elect = now + self.timing.election + spread;
    }

    fn refresh_voters(&mut self) {
        self.voters = self.voters_at(self.log.last());
    }

    /// Whether a message of `from` as leader of `term` counts.
    fn accept_leader(&mut self, from: &name::Member, term: u64, sent: u64, now: u64) -> bool {
        if term < self.term {
            self.acknowledge_as(from, false, 0, sent, now);
            return false;
        }
        if term > self.term {
            self.enter_term(term, now);
        }
        if self.leader.as_ref() != Some(from) {
            self.echo = 0;
        }
        self.follow(Some(from.clone()), now);
        self.heard = now;
        true
    }

    fn on_append(
        &mut self,
        from: &name::Member,
        prev: (u64, u64),
        commit: u64,
        entries: Vec<Entry>,
        sent: u64,
        now: u64,
    ) {
        let (index, term) = prev;
        let matches = index <= self.commit || self.log.term(index) == Some(term);
        if !matches {
            let hint = self.log.last().min(index.saturating_sub(1)).max(self.commit);
            return self.acknowledge_as(from, false, hint, sent, now);
        }
        let last = index + entries.len() as u64;
        let mut changed = false;
        for entry in entries {
            changed |= self.store(entry);
        }
        if changed {
            self.refresh_voters();
        }
        self.commit_to(commit.min(last));
        self.acknowledge(from, last, sent, now);
    }

    /// Takes one entry of the leader; false if it was there already.
    fn store(&mut self, entry: Entry) -> bool {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return false;
        }
        self.log.truncate(entry.index);
        self.synced = self.synced.min(entry.index - 1);
        self.out.saves.push(Save::Entry(entry.clone()));
        self.log.push(entry);
        true
    }

    fn on_snapshot(
        &mut self,
        from: &name::Member,
        last: (u64, u64),
        voters: Voters,
        state: bytes::Bytes,
        sent: u64,
        now: u64,
    ) {
        let (index, term) = last;
        if index > self.commit {
            self.log = log::Log::new(index, term);
            self.base_voters = voters.clone();
            self.voters = voters.clone();
            self.commit = index;
            self.synced = index;
            self.out.committed.clear();
            self.out.restored = Some(state.clone());
            self.out.saves.push(Save::Snapshot { index, term, voters, state });
        }
        self.acknowledge(from, index, sent, now);
    }

    fn acknowledge(&mut self, to: &name::Member, index: u64, sent: u64, now: u64) {
        let index = if self.durable { index.min(self.synced) } else { index };
        self.acknowledge_as(to, true, index, sent, now);
    }

    fn acknowledge_as(
        &mut self,
        to: &name::Member,
        success: bool,
        index: u64,
        sent: u64,
        now: u64,
    ) {
        let body = Message::Appended { term: self.term, success, index, sent, stamp: now };
        self.out.sends.push((to.clone(), body));
    }

    fn on_appended(
        &mut self,
        from: &name::Member,
        success: bool,
        index: u64,
        clocks: (u64, u64),
        now: u64,
    ) {
        let last = self.log.last();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.peers.get_mut(from) else {
            return;
        };
        let (sent, stamp) = clocks;
        progress.heard = now;
        progress.acked = progress.acked.max(sent);
        progress.stamp = progress.stamp.max(stamp);
        if !success {
            progress.next = (index + 1).min(last + 1).max(1);
            return self.send_append(&from.clone(), now);
        }
        progress.matched = progress.matched.max(index);
        progress.next = progress.next.max(index + 1);
        let more = progress.next <= last;
        self.advance(now);
        if more {
            self.send_append(&from.clone(), now);
        }
    }

    fn append(&mut self, load: Load, now: u64) -> u64 {
        let index = self.log.last() + 1;
        let is_change = matches!(load, Load::Voters(_));
        let entry = Entry { index, term: self.term, load };
        self.out.saves.push(Save::Entry(entry.clone()));
        self.log.push(entry);
        if is_change {
            self.refresh_voters();
            self.enroll(now);
        }
        self.broadcast(now);
        self.advance(now);
        index
    }

    /// Replicates to every voter and no longer to seats that were taken over.
    fn enroll(&mut self, now: u64) {
        let next = self.log.last();
        let (others, voters) = (self.others(), self.voters.clone());
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let taken = |m: &name::Member| voters.seat(&m.name).is_some_and(|seat| seat != m);
        lead.peers.retain(|member, _| !taken(member));
        for member in others {
            let fresh = Progress { next, heard: now, ..Progress::default() };
            lead.peers.entry(member).or_insert(fresh);
        }
    }

    fn broadcast(&mut self, now: u64) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.beat = now + self.timing.heartbeat;
        let peers: Vec<_> = lead.peers.keys().cloned().collect();
        for peer in &peers {
            self.send_append(peer, now);
        }
    }

    fn send_append(&mut self, to: &name::Member, now: u64) {
        let leased = self.lease(now) > now;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.peers.get_mut(to) else {
            return;
        };
        let prev = progress.next - 1;
        let Some(prev_term) = self.log.term(prev) else {
            if progress.snapshot == 0 || now >= progress.snapshot + SNAPSHOT_PAUSE {
                self.out.behind.push(to.clone());
            }
            return;
        };
        let entries = self.log.slice(prev + 1, MAX_BATCH);
        progress.next = prev + 1 + entries.len() as u64;
        let echo = if leased { progress.stamp } else { 0 };
        let (term, commit) = (self.term, self.commit);
        let body = Message::Append { term, prev, prev_term, commit, entries, sent: now, echo };
        self.out.sends.push((to.clone(), body));
    }

    /// The latest time, on the leader's clock, at which a quorum is known to have followed it.
    fn quorum_ack(&self, lead: &Lead, now: u64) -> u64 {
        let acked = |m: &name::Member| {
            if *m == self.me { now } else { lead.peers.get(m).map_or(0, |p| p.acked) }
        };
        self.quorum_of(acked)
    }

    /// The greatest value that a quorum of voters has reached.
    fn quorum_of(&self, value: impl Fn(&name::Member) -> u64) -> u64 {
        let mut values: smallvec::SmallVec<[u64; 5]> = self.voters.0.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.voters.quorum() - 1).copied().unwrap_or(0)
    }

    fn advance(&mut self, now: u64) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let mine = if self.durable { self.synced } else { self.log.last() };
        let matched = |m: &name::Member| {
            if *m == self.me { mine } else { lead.peers.get(m).map_or(0, |p| p.matched) }
        };
        let index = self.quorum_of(matched);
        // Only entries of the present term commit by counting (Ongaro 2014, section 3.6.2).
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit_to(index);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let eager: Vec<_> = lead.eager.keys().cloned().collect();
        lead.eager.retain(|_, wanted| *wanted > index);
        for member in eager {
            self.send_append(&member, now);
        }
    }

    fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last());
        if index > self.commit {
            self.out.committed.extend(self.log.range(self.commit, index));
            self.commit = index;
            if self.durable {
                self.out.saves.push(Save::Commit(index));
            }
        }
    }
}

/// Whether a message may leave before what was saved with it is on disk.
pub fn is_free(body: &message::Raft) -> bool {
    !matches!(body, Message::Vote { pre: false, .. } | Message::Voted { pre: false, .. })
}
