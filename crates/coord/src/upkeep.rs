//! How a member joins and leaves a formation, and how a leader repairs the seats of voters.

use state::name;

use crate::{
    entry::{Payload, Voters},
    form,
    group::{Config, Group, LEADER_PROBE_INTERVAL, LEARNER_TIMEOUT, MAX_SKEW_MS, Machine, Stage},
    joined::Joined,
    message::{self, FormMessage, Formation},
    raft::{self, Raft, Save},
    time,
};

/// Time without a message, or with a disk that stores nothing, after which a voter may lose its seat
/// to another member, in microseconds. This is longer than a freeze or a restart, and well below
/// the time in which a second disk may be lost.
pub const LOST_VOTER_TIMEOUT: u64 = 3_000 * time::MS;
/// Time in which a voter answers a new leader, in microseconds: two heartbeats of the leader.
const ANSWER_TIMEOUT: u64 = 400 * time::MS;
/// Maximum time since the last message of a member that takes over a seat, in microseconds: two
/// heartbeats.
const RESEAT_MAX_SILENCE: u64 = 500 * time::MS;
/// Maximum number of formations that a founder remembers to have left.
const MAX_ABANDONED: usize = 16;

impl<M: Machine> Group<M> {
    pub(crate) fn seek_formation(&mut self, now: time::Now) {
        let Stage::Seeking(seeker) = &mut self.stage else {
            return;
        };
        let formation = Formation { at: now.wall + MAX_SKEW_MS, by: self.config.me.incarnation };
        match seeker.next_action(now.mono, formation) {
            form::Action::Wait => {}
            form::Action::Probe => self.probe(),
            form::Action::Ask(formation, seats) => {
                for seat in &seats {
                    self.send_form(seat, FormMessage::Ask(formation));
                }
            }
            form::Action::Bootstrap(formation, voters) => {
                self.start_formation(formation, voters, now.mono);
            }
        }
    }

    pub(crate) fn start_formation(&mut self, formation: Formation, voters: Voters, now: u64) {
        self.save(Save::Formed(formation, voters.clone()));
        let Config { me, timing, durable, .. } = &self.config;
        let raft = Raft::bootstrap(me.clone(), *timing, *durable, voters, now, self.seed);
        self.stage =
            Stage::Joined(Box::new(Joined { is_founder: true, ..Joined::new(formation, raft) }));
    }

    /// Starts a group with voters that the caller names. Each of these voters starts the group by
    /// itself, and the voters elect the first leader.
    pub fn bootstrap(&mut self, formation: Formation, voters: Voters, now: u64) {
        self.save(Save::Formed(formation, voters.clone()));
        let raft = self.new_raft(raft::Stored { voters, ..raft::Stored::default() }, now);
        self.stage = Stage::Joined(Box::new(Joined::new(formation, raft)));
    }

    /// Sets the names of all other instances that may belong to the group.
    pub fn set_others(&mut self, others: Vec<name::Name>) {
        self.config.others = others;
    }

    /// Sets the other instances that this one has heard within [`LOST_VOTER_TIMEOUT`] by other
    /// messages than those of the group; `None` if this instance cannot tell yet. A leader that has
    /// just been elected so knows which voters were lost before.
    pub fn set_heard(&mut self, heard: Option<Vec<name::Name>>) {
        self.heard = heard;
    }

    /// Sends a heartbeat immediately if this member leads.
    pub fn send_heartbeat(&mut self, now: u64) {
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.broadcast(now);
            self.process_output(now);
        }
    }

    /// Gives the seats of lost voters to members that hold all committed entries, and adds seats up
    /// to `max_seats`, one committed change at a time (Ongaro 2014, section 4.1). While a seat
    /// moves there is one voter more.
    pub fn replace_lost_voters(&mut self, max_seats: usize, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let raft = &mut joined.raft;
        if !raft.is_leader() || !raft.is_settled() {
            return;
        }
        let (commit, voters) = (raft.commit(), raft.voters().clone());
        let is_overdue = |at: u64| now > at + LOST_VOTER_TIMEOUT;
        if raft.synced() < commit && raft.leader_stored_at().is_some_and(is_overdue) {
            // Another leader can give this member's seat away.
            raft.transfer_leadership(|_, matched| matched >= commit, now);
            return self.process_output(now);
        }
        let eligible = |(m, p): &(&name::Member, &raft::Progress)| {
            let is_eligible = now < p.last_contact + RESEAT_MAX_SILENCE
                && p.match_index >= commit
                && p.match_index > 0;
            is_eligible && voters.seat(&m.name).is_none()
        };
        let eligible: Vec<_> = raft.peers().filter(eligible).map(|(m, _)| m.clone()).collect();
        let is_lost = |m: &&name::Member| {
            let progress = raft.peers().find(|(peer, _)| peer == m).map(|(_, progress)| progress);
            let is_stuck = |p: &raft::Progress| p.match_index < commit && is_overdue(p.stored_at);
            let is_unheard = self.heard.as_ref().is_some_and(|heard| !heard.contains(&m.name));
            let is_mute = |p: &raft::Progress| now > p.last_contact + ANSWER_TIMEOUT && is_unheard;
            **m != self.config.me
                && progress.is_none_or(|p| is_overdue(p.last_contact) || is_stuck(p) || is_mute(p))
        };
        let lost = voters.0.iter().find(is_lost).cloned();
        let seats = (voters.0.len() + eligible.len()).min(max_seats);
        let seats = if seats % 2 == 0 { seats - 1 } else { seats };
        let is_even = voters.0.len() % 2 == 0;
        let mut next_voters = voters.clone();
        // A lost voter may come back with its disk. If it were removed first, the others would be
        // needed without exception until the seat is taken.
        match (lost, eligible.first()) {
            (Some(lost), _) if is_even && voters.0.len() > 2 => {
                next_voters.0.retain(|m| *m != lost);
            }
            (Some(_), Some(next)) => next_voters.0.push(next.clone()),
            (None, Some(next)) if voters.0.len() < seats => next_voters.0.push(next.clone()),
            _ => return,
        }
        raft.propose(Payload::Voters(next_voters), now);
        self.process_output(now);
    }

    /// Probes the other instances for a group to join.
    pub(crate) fn probe_for_group(&mut self, now: u64) {
        if now >= self.next_probe {
            self.next_probe = now + LEADER_PROBE_INTERVAL;
            self.probe();
        }
    }

    /// Joins the formation of a member that sent a message, if this member belongs to no formation,
    /// or to one that has no leader and that it may leave.
    ///
    /// A durable member also joins at the request of a candidate: members that hold entries of a
    /// formation stay in it without a leader, and may need the votes of those that hold none.
    pub(crate) fn join_formation(&mut self, formation: Formation, body: &message::Raft, now: u64) {
        let durable = self.config.durable;
        let committed = match body {
            message::Raft::Append { commit, .. } => *commit > 0,
            message::Raft::Snapshot { .. } => true,
            message::Raft::Vote { .. } if durable && !self.config.static_voters => false,
            _ => return,
        };
        if let Stage::Joined(joined) = &self.stage {
            let is_replaced = if durable {
                // Once a formation has committed an entry, no other one can: a majority of the
                // seats holds its entries.
                joined.can_leave(durable) || committed && joined.raft.commit() == 0
            } else {
                joined.formation < formation
            };
            if joined.raft.has_leader(now) || !is_replaced {
                return;
            }
            self.leave_formation();
        }
        let voters = Voters::default();
        self.save(Save::Formed(formation, voters.clone()));
        let raft = self.new_raft(raft::Stored::default(), now);
        self.stage = Stage::Joined(Box::new(Joined::new(formation, raft)));
    }

    pub(crate) fn leave_formation(&mut self) {
        if let Some(joined) = self.joined().filter(|joined| joined.is_founder) {
            let formation = joined.formation;
            if self.abandoned.len() == MAX_ABANDONED {
                self.abandoned.remove(0);
            }
            self.abandoned.push(formation);
        }
        let config = &self.config;
        let seeker = form::Seeker::new(config.me.clone(), config.seats.clone());
        self.stage = Stage::Seeking(seeker);
        self.unsynced.clear();
        self.pending_sends.clear();
        self.machine.reset();
        self.save(Save::Reset);
        self.out.left_formation = true;
    }

    /// Leaves a formation that can never have a majority again, because too many of its voters
    /// restarted without their state or have left it.
    pub(crate) fn leave_if_unrecoverable(&mut self, now: u64) {
        if self.config.durable {
            return;
        }
        let Some(joined) = self.joined() else { return };
        let voters = joined.raft.voters();
        let me = &self.config.me;
        let own_state = (me.incarnation, Some(joined.formation));
        let is_alive = |seat: &&name::Member| {
            let state = if seat.name == me.name {
                Some(&own_state)
            } else {
                self.peer_states.get(&seat.name)
            };
            let expected = (seat.incarnation, Some(joined.formation));
            seat.incarnation != 0 && state.is_none_or(|state| *state == expected)
        };
        let alive = voters.0.iter().filter(is_alive).count();
        if !voters.0.is_empty() && alive < voters.quorum() && !joined.raft.has_leader(now) {
            self.leave_formation();
        }
    }

    /// Leaves a formation that its founder has left. Nobody else could commit entries in the first
    /// term.
    pub(crate) fn on_abandoned(&mut self, from: &name::Member, formation: Formation) {
        let is_abandoned = |joined: &Joined| {
            joined.formation == formation
                && formation.by == from.incarnation
                && joined.raft.commit() == 0
                && joined.is_first_term()
        };
        if self.joined().is_some_and(is_abandoned) {
            self.leave_formation();
        }
    }

    pub(crate) fn on_probe(&mut self, from: &name::Member, formation: Option<Formation>, now: u64) {
        if let Some(formation) = formation.filter(|formation| self.abandoned.contains(formation)) {
            self.send_form(&from.name, FormMessage::Abandoned(formation));
        }
        let found = self.formation();
        match &mut self.stage {
            Stage::Seeking(seeker) => seeker.on_report(from, None, now),
            Stage::Joined(joined) => joined.raft.add_learner(from, now),
        }
        self.send_form(&from.name, FormMessage::Found(found));
    }

    pub(crate) fn probe_for_leader(&mut self, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        if now >= joined.next_probe {
            joined.next_probe = now + LEADER_PROBE_INTERVAL;
            self.probe();
        }
    }

    pub(crate) fn probe(&mut self) {
        let found = self.formation();
        let me = &self.config.me.name;
        let all = self.config.seats.iter().chain(&self.config.others);
        let others: Vec<_> = all.filter(|name| *name != me).cloned().collect();
        for to in &others {
            self.send_form(to, FormMessage::Probe(found));
        }
    }

    /// Drops silent learners, and gives seats to the current incarnations of their instances once
    /// these hold all committed entries.
    pub(crate) fn repair_seats(&mut self, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let raft = &mut joined.raft;
        if !raft.is_leader() {
            return;
        }
        let silent_learner = |(m, p): (&name::Member, &raft::Progress)| {
            (now > p.last_contact + LEARNER_TIMEOUT && !raft.voters().contains(m))
                .then(|| m.clone())
        };
        for member in raft.peers().filter_map(silent_learner).collect::<Vec<_>>() {
            raft.drop_learner(&member);
        }
        if !raft.is_settled() {
            return;
        }
        let commit = raft.commit();
        let eligible = |(m, p): (&name::Member, &raft::Progress)| {
            let is_replacement = raft.voters().seat(&m.name).is_some_and(|seat| seat != m);
            (is_replacement && p.match_index >= commit).then(|| m.clone())
        };
        let eligible = raft.peers().find_map(eligible);
        if let Some(member) = eligible {
            let voters = raft.voters().with_incarnation(&member);
            raft.propose(Payload::Voters(voters), now);
        }
    }
}
