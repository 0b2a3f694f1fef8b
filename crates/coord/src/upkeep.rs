//! How a member joins and leaves a formation.

use state::name;

use crate::{
    entry::Voters,
    form,
    group::{Config, Group, LEADER_PROBE_INTERVAL, MAX_SKEW_MS, Machine, Stage},
    joined::Joined,
    message::{self, FormMessage, Formation},
    raft::{self, Raft, Save},
    time,
};

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

    /// Sends a heartbeat immediately if this member leads.
    pub fn send_heartbeat(&mut self, now: u64) {
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.broadcast(now);
            self.process_output(now);
        }
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
}
