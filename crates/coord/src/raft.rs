//! A consensus engine: log replication with pre-vote, check-quorum, leases, learners and
//! single-step voter changes.
//!
//! The algorithm is Raft (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014). The engine
//! performs no I/O and reads no clock: its caller passes in the time and the messages, and the
//! engine collects its effects in [`Output`].
//!
//! Leases: a follower's reply to a heartbeat carries the follower's clock, and a leader that still
//! has a quorum echoes that value in its next heartbeat. A follower that sent its clock value `t`
//! and receives it back knows that no leader expels it before `t` plus the lease, measured on the
//! follower's own clock.

use std::collections;

use rand::{SeedableRng as _, rngs};
use state::name;

use crate::{
    entry::{Entry, Payload, Voters},
    log, message,
    message::Raft as Message,
};

/// Maximum number of entries in one message.
pub(crate) const MAX_BATCH: usize = 256;
/// Minimum time between two snapshots to the same follower, in microseconds.
pub(crate) const SNAPSHOT_INTERVAL: u64 = 1_000_000;

/// The term of the member that founds a group.
pub(crate) const FIRST_TERM: u64 = 1;
/// Highest valid term. No group ever reaches it, so a message with a higher term is corrupt.
const MAX_TERM: u64 = 1 << 48;

/// Intervals and timeouts of a group, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of an idle leader.
    pub heartbeat: u64,
    /// Minimum time without a leader before a member starts an election. The actual timeout is
    /// random, up to twice as long.
    pub election: u64,
    /// Duration of a lease, at most [`Self::election`].
    pub lease: u64,
}

/// A change that a member must write to disk before it sends votes that depend on the change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Save {
    /// The current term and the vote in that term.
    HardState(u64, Option<name::Member>),
    /// A log entry. It replaces the entry at its index and removes all entries after that.
    Entry(Entry),
    /// All entries up to this index are committed.
    Commit(u64),
    /// The member joins this formation with an empty log.
    Formed(message::Formation, Voters),
    /// The member leaves its formation.
    Reset,
    /// A snapshot replaces all entries up to `index`.
    Snapshot {
        /// Last index that the snapshot covers.
        index: u64,
        /// Term at that index.
        term: u64,
        /// Voters at that index.
        voters: Voters,
        /// The encoded state machine.
        state: bytes::Bytes,
    },
}

/// Effects that the engine has collected since the last [`Raft::take_output`].
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub sends: Vec<(name::Member, Message)>,
    /// Changes to write to disk.
    pub saves: Vec<Save>,
    /// Newly committed entries, in order.
    pub committed: Vec<Entry>,
    /// A snapshot that replaces the state machine before `committed` is applied.
    pub restored: Option<bytes::Bytes>,
    /// Followers that need a snapshot (see [`Raft::send_snapshot`]).
    pub behind: Vec<name::Member>,
}

/// Replication state that a leader keeps for one follower.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Highest log index at which the follower's log is known to match the leader's.
    pub match_index: u64,
    /// When the follower last replied, on the leader's clock; initially when replication began.
    pub last_contact: u64,
    /// When the match index last rose, or last reached the commit index, on the leader's clock.
    pub(crate) stored_at: u64,
    pub(crate) next_index: u64,
    /// Send time of the latest message that the follower acknowledged, on the leader's clock.
    pub(crate) acked_at: u64,
    /// Latest clock value that the follower reported, on the follower's clock.
    pub(crate) follower_clock: u64,
    /// When the leader last sent a snapshot to the follower; 0 if it never did.
    pub(crate) snapshot_at: u64,
}

impl Progress {
    /// Starts replication at `next_index`.
    pub(crate) fn new(next_index: u64, now: u64) -> Self {
        Self { next_index, last_contact: now, stored_at: now, ..Self::default() }
    }
}

#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: collections::BTreeMap<name::Member, Progress>,
    pub(crate) next_heartbeat: u64,
    pub(crate) elected_at: u64,
    /// When this leader's own last entry on disk last advanced, or last reached the commit index.
    pub(crate) stored_at: u64,
    /// Members to notify once the commit index reaches the given index.
    pub(crate) commit_waiters: collections::BTreeMap<name::Member, u64>,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Requests pre-votes for the next term, or votes in the current one. The votes of the current
    /// term still count while pre-votes are requested.
    Candidate {
        pre_votes: collections::BTreeSet<name::Member>,
        votes: collections::BTreeSet<name::Member>,
    },
    Leader(LeaderState),
}

/// Initial state of an engine.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Current term.
    pub term: u64,
    /// Member that this one voted for in that term.
    pub vote: Option<name::Member>,
    /// Log entries after the snapshot.
    pub log: log::Log,
    /// Voters as of the snapshot.
    pub voters: Voters,
}

/// Consensus engine of one member of one group.
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
    /// Index of the last entry known to be on disk.
    pub(crate) synced: u64,
    /// Highest index at which this member's log is known to match that of the leader of the
    /// current term.
    pub(crate) matched: u64,
    /// Whether this process has learned what is committed; the commit index on a disk may be older.
    pub(crate) confirmed: bool,
    pub(crate) role: Role,
    pub(crate) leader: Option<name::Member>,
    pub(crate) leader_contact: u64,
    /// Latest value of this member's own clock that the leader echoed; 0 if there is none.
    pub(crate) lease_start: u64,
    /// When this member starts an election unless a leader contacts it, microseconds.
    pub(crate) election_at: u64,
    /// Whether the current term and vote are not known to be on disk yet.
    pub(crate) is_voting: bool,
    pub(crate) out: Output,
}

impl Raft {
    /// Creates an engine that starts as a follower. If `durable` is set, this member counts an
    /// entry as stored only after a call of [`Self::mark_synced`] for it.
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
            matched: 0,
            confirmed: false,
            log: stored.log,
            voters: stored.voters.clone(),
            base_voters: stored.voters,
            role: Role::Follower,
            leader: None,
            leader_contact: 0,
            lease_start: 0,
            election_at: 0,
            is_voting: false,
            out: Output::default(),
        };
        raft.refresh_voters();
        raft.reset_election_timer(now);
        raft
    }

    /// Creates an engine that leads a group newly formed with `voters`.
    pub fn bootstrap(
        me: name::Member,
        timing: Timing,
        durable: bool,
        voters: Voters,
        now: u64,
        seed: u64,
    ) -> Self {
        let stored =
            Stored { term: FIRST_TERM, vote: Some(me.clone()), voters, ..Stored::default() };
        let mut raft = Self::new(me, timing, durable, stored, now, seed);
        raft.save_hard_state();
        raft.become_leader(now);
        let voters = raft.voters.clone();
        raft.append(Payload::Voters(voters), now);
        raft
    }

    /// Returns the effects collected so far and clears them.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Member that this one voted for in the current term.
    pub fn vote(&self) -> Option<&name::Member> {
        self.vote.as_ref()
    }

    /// Index of the last entry that is known to be on disk.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Voters as of the last log entry.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Leader known to this member.
    pub fn leader(&self) -> Option<&name::Member> {
        self.leader.as_ref()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this member leads or received a message from the leader within an election timeout.
    pub fn has_leader(&self, now: u64) -> bool {
        self.is_leader()
            || (self.leader.is_some() && now < self.leader_contact + self.timing.election)
    }

    /// End of this member's lease, on its own clock.
    pub fn lease_end(&self, now: u64) -> u64 {
        match &self.role {
            Role::Leader(lead) => self.quorum_ack(lead, now) + self.timing.lease,
            _ if self.lease_start == 0 => 0,
            _ => self.lease_start + self.timing.lease,
        }
    }

    /// Followers and learners with their replication state; empty unless this member leads.
    pub fn peers(&self) -> impl Iterator<Item = (&name::Member, &Progress)> {
        let lead = match &self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        };
        lead.into_iter().flat_map(|lead| lead.peers.iter())
    }

    /// When this member became leader; `None` if it does not lead.
    pub fn leader_since(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.elected_at),
            _ => None,
        }
    }

    /// Whether an entry of the current term is committed, so that a leader's commit index covers
    /// all entries that any earlier leader has committed.
    pub fn is_current(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
    }

    /// Whether this process has learned what is committed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether the latest voter change is committed, so that another may follow.
    pub fn is_settled(&self) -> bool {
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Voters(_));
        let last = self.log.iter().rev().find(is_change);
        self.is_current() && last.is_none_or(|entry| entry.index <= self.commit)
    }

    /// Performs the work that is due at `now`: heartbeats, an election, or stepping down after the
    /// loss of the quorum.
    pub fn tick(&mut self, now: u64) {
        if let Role::Leader(lead) = &self.role {
            let last_quorum = self.quorum_ack(lead, now).max(lead.elected_at);
            if now >= last_quorum + self.timing.election {
                self.become_follower(None, now);
            } else if now >= lead.next_heartbeat {
                self.broadcast(now);
            }
        } else if now >= self.election_at && !self.is_voting {
            self.campaign(true, now);
        }
    }

    /// Appends an entry if this member leads and returns its index; otherwise returns `None`.
    pub fn propose(&mut self, payload: Payload, now: u64) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        Some(self.append(payload, now))
    }

    /// Sends `member` the commit index as soon as all entries proposed so far are committed.
    pub fn notify_commit(&mut self, member: &name::Member) {
        let last = self.log.last();
        if let Role::Leader(lead) = &mut self.role
            && lead.peers.contains_key(member)
        {
            lead.commit_waiters.insert(member.clone(), last);
        }
    }

    /// Starts to replicate to a learner, which is a member that does not vote.
    pub fn add_learner(&mut self, member: &name::Member, now: u64) {
        let next_index = self.log.last() + 1;
        if let Role::Leader(lead) = &mut self.role
            && *member != self.me
            && !lead.peers.contains_key(member)
        {
            lead.peers.retain(|peer, _| peer.name != member.name || self.voters.contains(peer));
            let progress = Progress::new(next_index, now);
            lead.peers.insert(member.clone(), progress);
            self.send_append(member, now);
        }
    }

    /// Stops replicating to a learner.
    pub fn drop_learner(&mut self, member: &name::Member) {
        if let Role::Leader(lead) = &mut self.role
            && !self.voters.contains(member)
        {
            lead.peers.remove(member);
        }
    }

    /// Records that entries up to `index`, which has `term`, are on disk.
    pub fn mark_synced(&mut self, index: u64, term: u64, now: u64) {
        // The log no longer has the terms of the committed entries that compaction removed.
        let is_current = index < self.log.base() || self.log.term(index) == Some(term);
        if index <= self.synced || !is_current {
            return;
        }
        self.synced = index;
        if let Role::Leader(lead) = &mut self.role {
            lead.stored_at = now;
            self.advance_commit(now);
        } else if let Some(leader) = self.leader.clone() {
            self.acknowledge(&leader, self.matched, 0, now);
        }
    }

    /// Restores the commit index that was stored before a restart.
    pub fn recover_commit(&mut self, index: u64) {
        self.commit_to(index);
        self.out.saves.clear();
    }

    /// Removes log entries that the state machine has applied, but keeps `keep` of them for slow
    /// followers.
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
        let change = |entry: &Entry| match &entry.payload {
            Payload::Voters(voters) if entry.index <= index => Some(voters.clone()),
            _ => None,
        };
        self.log.iter().rev().find_map(change).unwrap_or_else(|| self.base_voters.clone())
    }

    /// Sends a snapshot of the state machine at the commit index to a follower that is too far
    /// behind.
    pub fn send_snapshot(&mut self, to: &name::Member, state: bytes::Bytes, now: u64) {
        let (term, index) = (self.term, self.commit);
        let index_term = self.log.term(index).unwrap_or_default();
        let voters = self.voters_at(index);
        if let Role::Leader(lead) = &mut self.role
            && let Some(progress) = lead.peers.get_mut(to)
        {
            progress.snapshot_at = now;
            progress.next_index = index + 1;
            let body = Message::Snapshot { term, index, index_term, voters, state, sent: now };
            self.out.sends.push((to.clone(), body));
        }
    }

    /// Transfers leadership to the follower with the highest matching index among the voters that
    /// replied within an election timeout and that `is_eligible` accepts, by name and last matching
    /// index.
    pub fn transfer_leadership(
        &mut self,
        is_eligible: impl Fn(&name::Name, u64) -> bool,
        now: u64,
    ) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let is_recent = |p: &Progress| now < p.last_contact + self.timing.election;
        let eligible = lead.peers.iter().filter(|(m, p)| {
            self.voters.contains(m) && is_recent(p) && is_eligible(&m.name, p.match_index)
        });
        let best = eligible.max_by_key(|(_, p)| p.match_index).map(|(m, _)| m.clone());
        if let Some(target) = best {
            let term = self.term;
            self.become_follower(None, now);
            self.out.sends.push((target, Message::TimeoutNow { term }));
        }
    }

    /// Handles a message from `from`.
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
                    self.lease_start = self.lease_start.max(echo.min(now));
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
            Message::TimeoutNow { term } => {
                if term == self.term && self.voters.contains(&self.me) {
                    self.leader_contact = 0;
                    self.campaign(false, now);
                }
            }
        }
    }
}

/// Whether a message may be sent before the changes that were saved with it are on disk.
pub fn can_precede_sync(body: &message::Raft) -> bool {
    !matches!(body, Message::Vote { pre: false, .. } | Message::Voted { pre: false, .. })
}
