//! Replication: entries, acknowledgements, snapshots, and how far the log is committed (Ongaro
//! 2014, sections 3.5, 3.6 and 5).

use state::name;

use crate::{
    entry::{Entry, Load, Voters},
    log,
    message::Raft as Message,
    raft::{Lead, MAX_BATCH, Progress, Raft, Role, SNAPSHOT_PAUSE, Save},
};

impl Raft {
    /// Whether a message of `from` as leader of `term` counts.
    pub(crate) fn accept_leader(
        &mut self,
        from: &name::Member,
        term: u64,
        sent: u64,
        now: u64,
    ) -> bool {
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

    pub(crate) fn on_append(
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
    pub(crate) fn store(&mut self, entry: Entry) -> bool {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return false;
        }
        self.log.truncate(entry.index);
        self.synced = self.synced.min(entry.index - 1);
        self.out.saves.push(Save::Entry(entry.clone()));
        self.log.push(entry);
        true
    }

    pub(crate) fn on_snapshot(
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

    pub(crate) fn acknowledge(&mut self, to: &name::Member, index: u64, sent: u64, now: u64) {
        let index = if self.durable { index.min(self.synced) } else { index };
        self.acknowledge_as(to, true, index, sent, now);
    }

    pub(crate) fn acknowledge_as(
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

    pub(crate) fn on_appended(
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
        // Nobody holds more than the leader, nor has answered what is not sent yet.
        let (index, (sent, stamp)) = (index.min(last), clocks);
        let sent = sent.min(now);
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

    pub(crate) fn append(&mut self, load: Load, now: u64) -> u64 {
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
    pub(crate) fn enroll(&mut self, now: u64) {
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

    pub(crate) fn broadcast(&mut self, now: u64) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.beat = now + self.timing.heartbeat;
        let peers: Vec<_> = lead.peers.keys().cloned().collect();
        for peer in &peers {
            self.send_append(peer, now);
        }
    }

    pub(crate) fn send_append(&mut self, to: &name::Member, now: u64) {
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
    pub(crate) fn quorum_ack(&self, lead: &Lead, now: u64) -> u64 {
        let acked = |m: &name::Member| {
            if *m == self.me { now } else { lead.peers.get(m).map_or(0, |p| p.acked) }
        };
        self.quorum_of(acked)
    }

    /// The greatest value that a quorum of voters has reached.
    pub(crate) fn quorum_of(&self, value: impl Fn(&name::Member) -> u64) -> u64 {
        let mut values: smallvec::SmallVec<[u64; 5]> = self.voters.0.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.voters.quorum() - 1).copied().unwrap_or(0)
    }

    pub(crate) fn advance(&mut self, now: u64) {
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
        if self.durable {
            // Settings change rarely, and are to be in force everywhere at once.
            return self.broadcast(now);
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let eager: Vec<_> = lead.eager.keys().cloned().collect();
        lead.eager.retain(|_, wanted| *wanted > index);
        for member in eager {
            self.send_append(&member, now);
        }
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
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
