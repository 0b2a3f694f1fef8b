//! Elections: pre-votes, votes and role changes (Ongaro 2014, sections 3.4 and 9.6).

use std::collections;

use rand::RngExt as _;
use state::name;

use crate::{
    entry::Payload,
    message::Raft as Message,
    raft::{LeaderState, Progress, Raft, Role, Save},
};

impl Raft {
    pub(crate) fn on_vote(
        &mut self,
        from: &name::Member,
        term: u64,
        last: (u64, u64),
        pre: bool,
        now: u64,
    ) {
        // A member in contact with a leader refuses pre-votes, and a leader also refuses votes.
        // Only a candidate to which a leader transfers its leadership requests votes without a
        // pre-vote.
        let keeps_leader = self.has_leader(now) && (pre || self.is_leader());
        if keeps_leader || term < self.term {
            return self.send_voted(from, self.term, false, pre);
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last());
        if pre {
            // Another election would take the vote that is being stored away from its candidate.
            let granted = up_to_date && term > self.term && !self.is_voting;
            // A refusal carries the voter's own term: a pre-vote request alone must not raise any
            // member's term.
            return self.send_voted(from, if granted { term } else { self.term }, granted, true);
        }
        if term > self.term {
            self.enter_term(term, now);
        }
        let can_vote = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = up_to_date && can_vote && matches!(self.role, Role::Follower);
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.save_hard_state();
            self.reset_election_timer(now);
        }
        self.send_voted(from, self.term, granted, false);
    }

    pub(crate) fn send_voted(&mut self, to: &name::Member, term: u64, granted: bool, pre: bool) {
        self.out.sends.push((to.clone(), Message::Voted { term, granted, pre }));
    }

    pub(crate) fn on_voted(
        &mut self,
        from: &name::Member,
        term: u64,
        granted: bool,
        pre: bool,
        now: u64,
    ) {
        if !granted {
            if term > self.term {
                self.enter_term(term, now);
            }
            return;
        }
        let expected = if pre { self.term + 1 } else { self.term };
        if term != expected || !self.voters.contains(from) {
            return;
        }
        let Role::Candidate { pre_votes, votes } = &mut self.role else {
            return;
        };
        // Votes may arrive after this member has asked for pre-votes again.
        let granted = if pre { pre_votes } else { votes };
        if granted.contains(&self.me) {
            granted.insert(from.clone());
            self.count_votes(now);
        }
    }

    pub(crate) fn count_votes(&mut self, now: u64) {
        let Role::Candidate { pre_votes, votes } = &self.role else {
            return;
        };
        let quorum = self.voters.quorum();
        if votes.len() >= quorum {
            self.become_leader(now);
            self.append(Payload::Empty, now);
        } else if pre_votes.len() >= quorum {
            self.confirm_commit();
            self.campaign(false, now);
        }
    }

    /// Records that this member knows what is committed, if a quorum has just granted it a pre-vote
    /// and no command follows the commit index: the log of one of them holds every committed entry,
    /// and none of their logs is more recent than this one. No write to disk is needed for that.
    fn confirm_commit(&mut self) {
        let mut tail = self.log.iter().rev().take_while(|entry| entry.index > self.commit);
        self.confirmed |= !tail.any(|entry| matches!(entry.payload, Payload::Command(_)));
    }

    pub(crate) fn campaign(&mut self, pre: bool, now: u64) {
        self.reset_election_timer(now);
        if !self.voters.contains(&self.me) {
            return;
        }
        self.leader = None;
        let term = self.term + 1;
        if !pre {
            self.set_term(term, Some(self.me.clone()));
        }
        let own = collections::BTreeSet::from([self.me.clone()]);
        let (pre_votes, votes) = match (pre, std::mem::replace(&mut self.role, Role::Follower)) {
            (true, Role::Candidate { votes, .. }) => (own, votes),
            (true, _) => (own, collections::BTreeSet::new()),
            (false, _) => (collections::BTreeSet::new(), own),
        };
        self.role = Role::Candidate { pre_votes, votes };
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for to in self.other_voters() {
            self.out.sends.push((to, Message::Vote { term, last, last_term, pre }));
        }
        self.count_votes(now);
    }

    pub(crate) fn other_voters(&self) -> Vec<name::Member> {
        let is_other = |m: &&name::Member| **m != self.me && m.incarnation != 0;
        self.voters.0.iter().filter(is_other).cloned().collect()
    }

    pub(crate) fn become_leader(&mut self, now: u64) {
        let next_index = self.log.last() + 1;
        let progress = Progress::new(next_index, now);
        let peers = self.other_voters().into_iter().map(|member| (member, progress)).collect();
        self.leader = Some(self.me.clone());
        self.lease_start = 0;
        self.role = Role::Leader(LeaderState {
            peers,
            next_heartbeat: now,
            elected_at: now,
            stored_at: now,
            commit_waiters: collections::BTreeMap::new(),
        });
    }

    pub(crate) fn enter_term(&mut self, term: u64, now: u64) {
        self.set_term(term, None);
        self.become_follower(None, now);
    }

    fn set_term(&mut self, term: u64, vote: Option<name::Member>) {
        self.term = term;
        self.vote = vote;
        self.matched = 0;
        self.save_hard_state();
    }

    pub(crate) fn become_follower(&mut self, leader: Option<name::Member>, now: u64) {
        let was_leader = self.is_leader();
        self.role = Role::Follower;
        self.leader = leader;
        if was_leader {
            self.lease_start = 0;
        }
        self.reset_election_timer(now);
    }

    /// Records that the current term and vote are on disk. Only then does the time start in which
    /// the other members answer a candidate, or the candidate that this member voted for becomes
    /// leader.
    pub(crate) fn on_hard_state_saved(&mut self, now: u64) {
        self.is_voting = false;
        if self.vote.is_some() && !self.is_leader() {
            self.reset_election_timer(now);
        }
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.is_voting = self.durable;
        self.out.saves.push(Save::HardState(self.term, self.vote.clone()));
    }

    pub(crate) fn reset_election_timer(&mut self, now: u64) {
        let jitter = self.rng.random_range(0..=self.timing.election);
        self.election_at = now + self.timing.election + jitter;
    }

    pub(crate) fn refresh_voters(&mut self) {
        self.voters = self.voters_at(self.log.last());
    }
}
