//! Elections: pre-vote, votes, and the change of roles (Ongaro 2014, sections 3.4 and 9.6).

use std::collections;

use rand::RngExt as _;
use state::name;

use crate::{
    entry::Load,
    message::Raft as Message,
    raft::{Lead, Progress, Raft, Role, Save},
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

    pub(crate) fn count_votes(&mut self, now: u64) {
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

    pub(crate) fn campaign(&mut self, pre: bool, now: u64) {
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

    pub(crate) fn others(&self) -> Vec<name::Member> {
        let known = |m: &&name::Member| **m != self.me && m.life != 0;
        self.voters.0.iter().filter(known).cloned().collect()
    }

    pub(crate) fn lead(&mut self, now: u64) {
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

    pub(crate) fn enter_term(&mut self, term: u64, now: u64) {
        self.term = term;
        self.vote = None;
        self.save_hard();
        self.follow(None, now);
    }

    pub(crate) fn follow(&mut self, leader: Option<name::Member>, now: u64) {
        let was_leader = self.is_leader();
        self.role = Role::Follower;
        self.leader = leader;
        if was_leader {
            self.echo = 0;
        }
        self.reset_election(now);
    }

    pub(crate) fn save_hard(&mut self) {
        self.out.saves.push(Save::Hard(self.term, self.vote.clone()));
    }

    pub(crate) fn reset_election(&mut self, now: u64) {
        let spread = self.rng.random_range(0..=self.timing.election);
        self.elect = now + self.timing.election + spread;
    }

    pub(crate) fn refresh_voters(&mut self) {
        self.voters = self.voters_at(self.log.last());
    }
}
