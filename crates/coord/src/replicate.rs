//! Replication: log entries, acknowledgements, snapshots and the commit index (Ongaro 2014,
//! sections 3.5, 3.6 and 5).

use state::name;

use crate::{
    entry::{Entry, Payload, Voters},
    log,
    message::Raft as Message,
    raft::{LeaderState, MAX_BATCH, Progress, Raft, Role, SNAPSHOT_INTERVAL, Save},
};

impl Raft {
    /// Whether this member accepts a message from `from` as the leader of `term`. If it does, it
    /// follows that leader.
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
            self.lease_start = 0;
        }
        self.become_follower(Some(from.clone()), now);
        self.leader_contact = now;
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
            changed |= self.store_entry(entry);
        }
        if changed {
            self.refresh_voters();
        }
        self.matched = self.matched.max(last);
        self.commit_to(commit.min(last));
        self.confirmed |= commit <= last && self.is_current();
        self.acknowledge(from, last, sent, now);
    }

    /// Stores one entry from the leader; returns false if the log holds the entry already.
    pub(crate) fn store_entry(&mut self, entry: Entry) -> bool {
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
        if self.log.term(index) == Some(term) {
            // The log holds all that the snapshot covers, and may hold acknowledged entries after
            // it.
            self.commit_to(index);
        } else if index > self.commit {
            // The snapshot counts once it is on disk, as entries do.
            self.synced = self.synced.min(self.commit);
            self.log = log::Log::new(index, term);
            self.base_voters = voters.clone();
            self.voters = voters.clone();
            self.commit = index;
            self.out.committed.clear();
            self.out.restored = Some(state.clone());
            self.out.saves.push(Save::Snapshot { index, term, voters, state });
        }
        self.matched = self.matched.max(index);
        self.acknowledge(from, index, sent, now);
    }

    /// Acknowledges the entries up to `index`, which match the leader's log, as far as they are
    /// stored.
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
        // A follower never holds more entries than the leader, and never acknowledges a message
        // that the leader has not sent yet.
        let (index, (sent, stamp)) = (index.min(last), clocks);
        let sent = sent.min(now);
        progress.last_contact = now;
        progress.acked_at = progress.acked_at.max(sent);
        progress.follower_clock = progress.follower_clock.max(stamp);
        if !success {
            progress.next_index = (index + 1).min(last + 1).max(1);
            return self.send_append(&from.clone(), now);
        }
        if index > progress.match_index {
            progress.match_index = index;
            progress.stored_at = now;
        }
        progress.next_index = progress.next_index.max(index + 1);
        let more = progress.next_index <= last;
        self.advance_commit(now);
        if more {
            self.send_append(&from.clone(), now);
        }
    }

    pub(crate) fn append(&mut self, payload: Payload, now: u64) -> u64 {
        let index = self.log.last() + 1;
        let is_change = matches!(payload, Payload::Voters(_));
        let entry = Entry { index, term: self.term, payload };
        self.out.saves.push(Save::Entry(entry.clone()));
        self.log.push(entry);
        if is_change {
            self.refresh_voters();
            self.update_peers(now);
        }
        self.broadcast(now);
        self.advance_commit(now);
        index
    }

    /// Starts to replicate to every voter, and stops replicating to members whose seat another
    /// incarnation has taken over.
    pub(crate) fn update_peers(&mut self, now: u64) {
        let next_index = self.log.last();
        let (others, voters) = (self.other_voters(), self.voters.clone());
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let is_replaced = |m: &name::Member| voters.seat(&m.name).is_some_and(|seat| seat != m);
        lead.peers.retain(|member, _| !is_replaced(member));
        for member in others {
            lead.peers.entry(member).or_insert(Progress::new(next_index, now));
        }
    }

    pub(crate) fn broadcast(&mut self, now: u64) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.next_heartbeat = now + self.timing.heartbeat;
        let peers: Vec<_> = lead.peers.keys().cloned().collect();
        for peer in &peers {
            self.send_append(peer, now);
        }
    }

    pub(crate) fn send_append(&mut self, to: &name::Member, now: u64) {
        let has_lease = self.lease_end(now) > now;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.peers.get_mut(to) else {
            return;
        };
        let prev = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev) else {
            if progress.snapshot_at == 0 || now >= progress.snapshot_at + SNAPSHOT_INTERVAL {
                self.out.behind.push(to.clone());
            }
            return;
        };
        let entries = self.log.slice(prev + 1, MAX_BATCH);
        progress.next_index = prev + 1 + entries.len() as u64;
        let echo = if has_lease { progress.follower_clock } else { 0 };
        let (term, commit) = (self.term, self.commit);
        let body = Message::Append { term, prev, prev_term, commit, entries, sent: now, echo };
        self.out.sends.push((to.clone(), body));
    }

    /// Latest time, on the leader's clock, at which a quorum is known to have followed the leader.
    pub(crate) fn quorum_ack(&self, lead: &LeaderState, now: u64) -> u64 {
        let acked_at = |m: &name::Member| {
            if *m == self.me { now } else { lead.peers.get(m).map_or(0, |p| p.acked_at) }
        };
        self.quorum_value(acked_at)
    }

    /// Highest value that a quorum of voters has reached.
    pub(crate) fn quorum_value(&self, value: impl Fn(&name::Member) -> u64) -> u64 {
        let mut values: smallvec::SmallVec<[u64; 5]> = self.voters.0.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.voters.quorum() - 1).copied().unwrap_or(0)
    }

    pub(crate) fn advance_commit(&mut self, now: u64) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let own_index = if self.durable { self.synced } else { self.log.last() };
        let match_index = |m: &name::Member| {
            if *m == self.me { own_index } else { lead.peers.get(m).map_or(0, |p| p.match_index) }
        };
        let index = self.quorum_value(match_index);
        // A leader commits only entries of the current term by counting replicas (Ongaro 2014,
        // section 3.6.2).
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        let (former, synced) = (self.commit, self.synced);
        self.commit_to(index);
        self.confirmed = true;
        if let Role::Leader(lead) = &mut self.role {
            if synced >= former {
                lead.stored_at = now;
            }
            for progress in lead.peers.values_mut().filter(|p| p.match_index >= former) {
                progress.stored_at = now;
            }
        }
        if self.durable {
            // Settings change rarely and must take effect on all members immediately.
            return self.broadcast(now);
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let waiters: Vec<_> = lead.commit_waiters.keys().cloned().collect();
        lead.commit_waiters.retain(|_, awaited| *awaited > index);
        for member in waiters {
            self.send_append(&member, now);
        }
    }

    /// When this leader's disk last stored an entry or held all committed ones.
    pub(crate) fn leader_stored_at(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.stored_at),
            _ => None,
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
