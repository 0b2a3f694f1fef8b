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

use rand::{SeedableRng as _, rngs};
use state::name;

use crate::{
    entry::{Entry, Load, Voters},
    log, message,
    message::Raft as Message,
};

/// Most entries of one message.
pub(crate) const MAX_BATCH: usize = 256;
/// A snapshot is not sent to the same follower again within this time, microseconds.
pub(crate) const SNAPSHOT_PAUSE: u64 = 1_000_000;

/// No group ever gets to this term; a message that names a higher one is damaged.
const MAX_TERM: u64 = 1 << 48;

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
    pub(crate) next: u64,
    pub(crate) acked: u64,
    pub(crate) stamp: u64,
    pub(crate) snapshot: u64,
}

#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) peers: collections::BTreeMap<name::Member, Progress>,
    pub(crate) beat: u64,
    pub(crate) since: u64,
    pub(crate) eager: collections::BTreeMap<name::Member, u64>,
}

#[derive(Debug)]
pub(crate) enum Role {
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
    pub(crate) me: name::Member,
    pub(crate) timing: Timing,
    pub(crate) durable: bool,
    pub(crate) rng: rngs::SmallRng,
    pub(crate) term: u64,
    pub(crate) vote: Option<name::Member>,
    pub(crate) log: log::Log,
    pub(crate) base_voters: Voters,
    pub(crate) voters: Voters,
    pub(crate) commit: u64,
    pub(crate) synced: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<name::Member>,
    pub(crate) heard: u64,
    pub(crate) echo: u64,
    pub(crate) elect: u64,
    pub(crate) out: Output,
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

    /// Whether an entry of the present term is committed, so that a leader's commit index covers
    /// everything that any leader before it has committed.
    pub fn is_current(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
    }

    /// Whether the last voter change is committed, so that another may follow.
    pub fn is_settled(&self) -> bool {
        let is_change = |entry: &&Entry| matches!(entry.load, Load::Voters(_));
        let last = self.log.iter().rev().find(is_change);
        self.is_current() && last.is_none_or(|entry| entry.index <= self.commit)
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
        if body.term() > MAX_TERM {
            return;
        }
        match body {
            Message::Vote { term, last, last_term, pre } => {
                self.on_vote(from, term, (last_term, last), pre, now);
            }
            Message::Voted { term, granted, pre } => self.on_voted(from, term, granted, pre, now),
            Message::Append { term, prev, prev_term, commit, entries, sent, echo } => {
                if self.accept_leader(from, term, sent, now) {
                    self.echo = self.echo.max(echo.min(now));
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
}

/// Whether a message may leave before what was saved with it is on disk.
pub fn is_free(body: &message::Raft) -> bool {
    !matches!(body, Message::Vote { pre: false, .. } | Message::Voted { pre: false, .. })
}
