//! A member's way into a formation and out of it, and the repair of seats.

use state::name;

use crate::{
    entry::{Load, Voters},
    form,
    group::{Config, DROP_LEARNER, Group, Joined, Machine, SEARCH, SKEW_MS, Stage},
    message::{self, Form, Formation},
    raft::{self, Raft, Save},
    time,
};

/// A voter that was silent this long loses its seat to another member, microseconds: longer than
/// a freeze or a restart, well below the time in which a second disk may be lost.
const RESEAT_LOST: u64 = 3_000 * time::MS;
/// A member must have been heard this lately to take a seat, microseconds: two heartbeats.
const RESEAT_HEARD: u64 = 500 * time::MS;

impl<M: Machine> Group<M> {
    pub(crate) fn seek(&mut self, now: time::Now) {
        let Stage::Seeking(seeker) = &mut self.stage else {
            return;
        };
        let formation = Formation { at: now.wall + SKEW_MS, by: self.config.me.life };
        match seeker.next(now.mono, formation) {
            form::Next::Wait => {}
            form::Next::Probe => self.probe(),
            form::Next::Ask(formation, seats) => {
                for seat in &seats {
                    self.send_form(seat, Form::Ask(formation));
                }
            }
            form::Next::Found(formation, voters) => self.found(formation, voters, now.mono),
        }
    }

    pub(crate) fn found(&mut self, formation: Formation, voters: Voters, now: u64) {
        self.save(Save::Formed(formation, voters.clone()));
        let Config { me, timing, durable, .. } = &self.config;
        let raft = Raft::found(me.clone(), *timing, *durable, voters, now, self.seed);
        self.stage = Stage::Joined(Box::new(Joined { formation, raft, applied: 0, search: 0 }));
    }

    /// Begins a group with the voters that were named from outside. Each of them does so by
    /// itself, and the first leader is elected.
    pub fn form(&mut self, formation: Formation, voters: Voters, now: u64) {
        self.save(Save::Formed(formation, voters.clone()));
        let raft = self.engine(raft::Stored { voters, ..raft::Stored::default() }, now);
        self.stage = Stage::Joined(Box::new(Joined { formation, raft, applied: 0, search: 0 }));
    }

    /// Names every other instance that may belong to the group.
    pub fn set_others(&mut self, others: Vec<name::Name>) {
        self.config.others = others;
    }

    /// Sends a heartbeat now, if this member leads.
    pub fn beat(&mut self, now: u64) {
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.broadcast(now);
            self.drain(now);
        }
    }

    /// Gives the seats of voters that are lost to members that hold everything, and adds seats up
    /// to `most`, one committed change at a time (Ongaro 2014, section 4.1).
    pub fn reseat(&mut self, most: usize, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let raft = &mut joined.raft;
        if !raft.is_leader() || !raft.is_settled() {
            return;
        }
        let (commit, voters) = (raft.commit(), raft.voters().clone());
        let fit = |(m, p): &(&name::Member, &raft::Progress)| {
            let fresh = now < p.heard + RESEAT_HEARD && p.matched >= commit && p.matched > 0;
            fresh && voters.seat(&m.name).is_none()
        };
        let fit: Vec<_> = raft.peers().filter(fit).map(|(m, _)| m.clone()).collect();
        let Some(next) = fit.first() else {
            return;
        };
        let lost = |m: &&name::Member| {
            let heard = raft.peers().find(|(peer, _)| peer == m).map(|(_, p)| p.heard);
            **m != self.config.me && heard.is_none_or(|heard| now > heard + RESEAT_LOST)
        };
        let lost = voters.0.iter().find(lost).cloned();
        let seats = (voters.0.len() + fit.len()).min(most);
        let seats = if seats % 2 == 0 { seats - 1 } else { seats };
        let mut next_voters = voters.clone();
        if let Some(lost) = lost {
            next_voters.0.retain(|m| *m != lost);
        } else if voters.0.len() < seats {
            next_voters.0.push(next.clone());
        } else {
            return;
        }
        raft.propose(Load::Voters(next_voters), now);
        self.drain(now);
    }

    /// Asks the others for a group to join.
    pub(crate) fn look(&mut self, now: u64) {
        if now >= self.looked {
            self.looked = now + SEARCH;
            self.probe();
        }
    }

    /// Joins the formation that a leader's message comes from, if this member belongs to none,
    /// or to one that is older and has no leader any more.
    pub(crate) fn adopt(&mut self, formation: Formation, body: &message::Raft, now: u64) {
        if !matches!(body, message::Raft::Append { .. } | message::Raft::Snapshot { .. }) {
            return;
        }
        if let Stage::Joined(joined) = &self.stage {
            let stale = !joined.raft.has_leader(now) && joined.formation < formation;
            // What was durably agreed is never replaced by a later formation.
            if !stale || (self.config.durable && joined.raft.commit() > 0) {
                return;
            }
            self.leave();
        }
        let voters = Voters::default();
        self.save(Save::Formed(formation, voters.clone()));
        let raft = self.engine(raft::Stored::default(), now);
        self.stage = Stage::Joined(Box::new(Joined { formation, raft, applied: 0, search: 0 }));
    }

    pub(crate) fn leave(&mut self) {
        let config = &self.config;
        let seeker = form::Seeker::new(config.me.clone(), config.seats.clone());
        self.stage = Stage::Seeking(seeker);
        self.marks.clear();
        self.held.clear();
        self.machine.reset();
        self.save(Save::Reset);
        self.out.lost = true;
    }

    /// Leaves a formation that can never have a majority again, because too many of its voters
    /// came back without their memory or have left it.
    pub(crate) fn abandon(&mut self, now: u64) {
        if self.config.durable {
            return;
        }
        let Some(joined) = self.joined() else { return };
        let voters = joined.raft.voters();
        let me = &self.config.me;
        let here = (me.life, Some(joined.formation));
        let alive = |seat: &&name::Member| {
            let state = if seat.name == me.name { Some(&here) } else { self.lives.get(&seat.name) };
            let same = (seat.life, Some(joined.formation));
            seat.life != 0 && state.is_none_or(|state| *state == same)
        };
        let alive = voters.0.iter().filter(alive).count();
        if !voters.0.is_empty() && alive < voters.quorum() && !joined.raft.has_leader(now) {
            self.leave();
        }
    }

    pub(crate) fn on_probe(&mut self, from: &name::Member, now: u64) {
        let found = self.formation();
        match &mut self.stage {
            Stage::Seeking(seeker) => seeker.hear(from, None, now),
            Stage::Joined(joined) => joined.raft.add_learner(from, now),
        }
        self.send_form(&from.name, Form::Found(found));
    }

    pub(crate) fn search(&mut self, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        if now >= joined.search {
            joined.search = now + SEARCH;
            self.probe();
        }
    }

    pub(crate) fn probe(&mut self) {
        let found = self.formation();
        let me = &self.config.me.name;
        let all = self.config.seats.iter().chain(&self.config.others);
        let others: Vec<_> = all.filter(|name| *name != me).cloned().collect();
        for to in &others {
            self.send_form(to, Form::Probe(found));
        }
    }

    /// Gives seats to the present lives of their instances, once these hold all that is committed.
    pub(crate) fn repair(&mut self, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let raft = &mut joined.raft;
        if !raft.is_leader() {
            return;
        }
        let silent = |(m, p): (&name::Member, &raft::Progress)| {
            (now > p.heard + DROP_LEARNER && !raft.voters().holds(m)).then(|| m.clone())
        };
        for member in raft.peers().filter_map(silent).collect::<Vec<_>>() {
            raft.drop_learner(&member);
        }
        if !raft.is_settled() {
            return;
        }
        let commit = raft.commit();
        let fit = |(m, p): (&name::Member, &raft::Progress)| {
            let other = raft.voters().seat(&m.name).is_some_and(|seat| seat != m);
            (other && p.matched >= commit).then(|| m.clone())
        };
        let fit = raft.peers().find_map(fit);
        if let Some(member) = fit {
            let voters = raft.voters().with_life(&member);
            raft.propose(Load::Voters(voters), now);
        }
    }
}
