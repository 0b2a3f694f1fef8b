//! One member's part in one replicated group: formation, agreement, the state machine, and the
//! upkeep of seats whose instance came back with another incarnation.

use std::collections;

use state::name;

use crate::{
    entry::Load,
    form,
    message::{self, Form, Formation, Route},
    raft::{self, Raft, Save, Timing},
    time,
};

/// Allowance for the difference between two wall clocks, in milliseconds.
pub const SKEW_MS: u64 = 1_000;
/// Log entries kept for slow followers when a snapshot covers them.
pub(crate) const KEPT_ENTRIES: u64 = 2_048;
/// Applied entries after which the log is compacted.
pub(crate) const COMPACT_EVERY: u64 = 4_096;
/// A follower that does not vote is dropped when not heard of for this long, microseconds.
pub(crate) const DROP_LEARNER: u64 = 10_000 * time::MS;
/// Between two questions of a member that lost its leader, microseconds.
pub(crate) const SEARCH: u64 = 300 * time::MS;

/// A replicated state machine.
pub trait Machine {
    /// What a command changed.
    type Effect;

    /// Applies one committed command.
    fn apply(&mut self, command: &[u8]) -> Vec<Self::Effect>;

    /// Encodes the whole state.
    fn snapshot(&self) -> bytes::Bytes;

    /// Replaces the whole state.
    fn restore(&mut self, state: &[u8]);

    /// The member has left its formation, and what it agreed on counts no more.
    fn reset(&mut self);
}

/// What does not change in the life of a group's member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The group.
    pub group: message::Group,
    /// This member.
    pub me: name::Member,
    /// Instances that vote.
    pub seats: Vec<name::Name>,
    /// Every other instance that may belong to the group.
    pub others: Vec<name::Name>,
    /// Intervals.
    pub timing: Timing,
    /// Whether entries are stored before they count.
    pub durable: bool,
    /// Whether the first members are named from outside ([`Group::form`]), so that the group is
    /// never formed by agreement and never left.
    pub named: bool,
    /// Applied entries after which the log is compacted.
    pub compact_every: u64,
    /// Entries kept then for slow followers.
    pub kept_entries: u64,
}

/// Effects of the last calls.
#[derive(Debug)]
pub struct Output<E> {
    /// Messages.
    pub sends: Vec<(name::Name, message::Body)>,
    /// Changes to store, with the number that [`Group::saved`] is to be called with.
    pub saves: Vec<(u64, Save)>,
    /// What committed commands changed.
    pub effects: Vec<E>,
    /// Whether the whole state was replaced.
    pub restored: bool,
    /// Whether the member left a formation and all that it knew of it.
    pub lost: bool,
}

impl<E> Default for Output<E> {
    fn default() -> Self {
        let (sends, saves, effects) = (Vec::new(), Vec::new(), Vec::new());
        Self { sends, saves, effects, restored: false, lost: false }
    }
}

/// What a durable member had stored.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Its formation, if it belonged to one.
    pub formation: Option<Formation>,
    /// State of its engine.
    pub stored: raft::Stored,
    /// Commit index.
    pub commit: u64,
    /// The encoded state machine at the snapshot.
    pub state: Option<bytes::Bytes>,
}

#[derive(Debug)]
pub(crate) struct Joined {
    pub(crate) formation: Formation,
    pub(crate) raft: Raft,
    pub(crate) applied: u64,
    pub(crate) search: u64,
}

#[derive(Debug)]
pub(crate) enum Stage {
    Seeking(form::Seeker),
    Joined(Box<Joined>),
}

/// A member of a group.
#[derive(Debug)]
pub struct Group<M: Machine> {
    pub(crate) config: Config,
    pub(crate) stage: Stage,
    pub(crate) machine: M,
    pub(crate) lives: collections::BTreeMap<name::Name, (u64, Option<Formation>)>,
    pub(crate) looked: u64,
    pub(crate) issued: u64,
    pub(crate) done: u64,
    pub(crate) marks: collections::VecDeque<(u64, u64, u64)>,
    pub(crate) held: collections::VecDeque<(u64, name::Name, message::Body)>,
    pub(crate) refused: u64,
    pub(crate) seed: u64,
    pub(crate) out: Output<M::Effect>,
}

impl<M: Machine> Group<M> {
    /// A member that belongs to no formation yet.
    pub fn new(config: Config, machine: M, seed: u64) -> Self {
        let seeker = form::Seeker::new(config.me.clone(), config.seats.clone());
        Self {
            config,
            stage: Stage::Seeking(seeker),
            machine,
            lives: collections::BTreeMap::new(),
            looked: 0,
            issued: 0,
            done: 0,
            marks: collections::VecDeque::new(),
            held: collections::VecDeque::new(),
            refused: 0,
            seed,
            out: Output::default(),
        }
    }

    /// A member that starts from what it had stored.
    #[must_use]
    pub fn with_recovered(mut self, recovered: Recovered, now: u64) -> Self {
        let Some(formation) = recovered.formation else {
            return self;
        };
        if let Some(state) = &recovered.state {
            self.machine.restore(state);
        }
        let base = recovered.stored.log.base();
        let mut raft = self.engine(recovered.stored, now);
        raft.recover(recovered.commit);
        self.stage = Stage::Joined(Box::new(Joined { formation, raft, applied: base, search: 0 }));
        self.drain(now);
        self.out.effects.clear();
        self
    }

    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Output<M::Effect> {
        std::mem::take(&mut self.out)
    }

    /// The state machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The state machine, for changes that every member makes by itself.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// This member.
    pub fn me(&self) -> &name::Member {
        &self.config.me
    }

    /// Whether this member belongs to a formation.
    pub fn is_joined(&self) -> bool {
        self.joined().is_some()
    }

    /// The formation that this member belongs to.
    pub fn formation(&self) -> Option<Formation> {
        self.joined().map(|joined| joined.formation)
    }

    /// The engine, once the member belongs to a formation.
    pub fn raft(&self) -> Option<&Raft> {
        self.joined().map(|joined| &joined.raft)
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.raft().is_some_and(Raft::is_leader)
    }

    /// Whether a leader is known and was heard from lately.
    pub fn has_leader(&self, now: u64) -> bool {
        self.raft().is_some_and(|raft| raft.has_leader(now))
    }

    /// End of this member's lease on its own clock; 0 without one.
    pub fn lease(&self, now: u64) -> u64 {
        self.raft().map_or(0, |raft| raft.lease(now))
    }

    /// Messages refused so far: wrong formation or incarnation.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: time::Now) {
        match &mut self.stage {
            Stage::Seeking(_) if self.config.named => self.look(now.mono),
            Stage::Seeking(_) => self.seek(now),
            Stage::Joined(joined) => {
                joined.raft.tick(now.mono);
                let orphan = !joined.raft.has_leader(now.mono);
                if orphan && joined.raft.commit() == 0 && !self.config.named {
                    // The formation never came to be; another one may have.
                    self.leave();
                } else if orphan {
                    self.search(now.mono);
                } else {
                    self.repair(now.mono);
                }
            }
        }
        self.drain(now.mono);
    }

    /// Proposes a command, here or at the leader; false if none is known.
    pub fn propose(&mut self, command: &bytes::Bytes, now: u64) -> bool {
        let Stage::Joined(joined) = &mut self.stage else {
            return false;
        };
        let route = |to: u64| Route { formation: joined.formation, from: self.config.me.life, to };
        if joined.raft.is_leader() {
            joined.raft.propose(Load::Command(command.clone()), now);
            self.drain(now);
            return true;
        }
        let Some(leader) = joined.raft.leader().filter(|_| joined.raft.has_leader(now)) else {
            return false;
        };
        let group = self.config.group.clone();
        let body = message::Body::Propose(group, route(leader.life), command.clone());
        self.out.sends.push((leader.name.clone(), body));
        true
    }

    /// Gives up leadership to another member, if this one leads.
    pub fn hand_over(&mut self, now: u64) {
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.hand_over(|_, _| true, now);
            self.drain(now);
        }
    }

    /// Gives up leadership to a voter among `heirs` that holds everything, if there is one.
    pub fn hand_over_to(&mut self, heirs: &[name::Name], now: u64) {
        if let Stage::Joined(joined) = &mut self.stage
            && joined.raft.is_leader()
            && joined.raft.is_settled()
        {
            let last = joined.raft.log().last();
            joined.raft.hand_over(|heir, matched| heirs.contains(heir) && matched == last, now);
            self.drain(now);
        }
    }

    /// The change with this number, and all before it, are stored.
    pub fn saved(&mut self, number: u64, now: u64) {
        self.done = self.done.max(number);
        while let Some((at, index, term)) = self.marks.front().copied()
            && at <= self.done
        {
            self.marks.pop_front();
            if let Stage::Joined(joined) = &mut self.stage {
                joined.raft.synced(index, term, now);
            }
        }
        while let Some((at, ..)) = self.held.front()
            && *at <= self.done
        {
            if let Some((_, to, body)) = self.held.pop_front() {
                self.out.sends.push((to, body));
            }
        }
        self.drain(now);
    }

    /// Takes a message about formation.
    pub fn on_form(&mut self, from: &name::Member, form: &Form, now: time::Now) {
        let theirs = match form {
            Form::Probe(theirs) | Form::Found(theirs) => *theirs,
            // Only who belongs to no formation asks for one or grants one.
            Form::Ask(_) | Form::Grant(_) => None,
        };
        self.lives.insert(from.name.clone(), (from.life, theirs));
        match form {
            Form::Probe(_) => self.on_probe(from, now.mono),
            Form::Found(found) => {
                if let Stage::Seeking(seeker) = &mut self.stage {
                    seeker.hear(from, *found, now.mono);
                }
            }
            Form::Ask(formation) => {
                if let Stage::Seeking(seeker) = &mut self.stage {
                    seeker.hear(from, None, now.mono);
                    self.send_form(&from.name, Form::Grant(*formation));
                }
            }
            Form::Grant(formation) => {
                if let Stage::Seeking(seeker) = &mut self.stage {
                    seeker.granted(from, *formation, now.mono);
                    self.seek(now);
                }
            }
        }
        self.abandon(now.mono);
        self.drain(now.mono);
    }

    /// Takes a message of agreement; false if it was refused.
    pub fn on_raft(
        &mut self,
        from: &name::Name,
        route: Route,
        body: message::Raft,
        now: u64,
    ) -> bool {
        let from = name::Member::new(from, route.from);
        if route.to == self.config.me.life && self.formation() != Some(route.formation) {
            self.adopt(route.formation, &body, now);
        }
        let Stage::Joined(joined) = &mut self.stage else {
            self.refused += 1;
            return false;
        };
        if route.to != self.config.me.life || joined.formation != route.formation {
            self.refused += 1;
            return false;
        }
        joined.raft.step(&from, body, now);
        self.lives.insert(from.name, (from.life, Some(route.formation)));
        self.drain(now);
        true
    }

    /// Takes a command that another member proposes; false if it was refused.
    pub fn on_propose(
        &mut self,
        from: &name::Name,
        route: Route,
        command: bytes::Bytes,
        now: u64,
    ) -> bool {
        let from = name::Member::new(from, route.from);
        let Stage::Joined(joined) = &mut self.stage else {
            return false;
        };
        if joined.formation != route.formation || route.to != self.config.me.life {
            self.refused += 1;
            return false;
        }
        if joined.raft.propose(Load::Command(command), now).is_none() {
            return false;
        }
        joined.raft.hurry(&from);
        self.drain(now);
        true
    }

    pub(crate) fn joined(&self) -> Option<&Joined> {
        match &self.stage {
            Stage::Joined(joined) => Some(joined),
            Stage::Seeking(_) => None,
        }
    }

    pub(crate) fn engine(&self, stored: raft::Stored, now: u64) -> Raft {
        let config = &self.config;
        Raft::new(config.me.clone(), config.timing, config.durable, stored, now, self.seed)
    }

    pub(crate) fn send_form(&mut self, to: &name::Name, form: Form) {
        let body = message::Body::Form(self.config.group.clone(), self.config.me.life, form);
        self.out.sends.push((to.clone(), body));
    }

    pub(crate) fn save(&mut self, save: Save) {
        if self.config.durable {
            self.issued += 1;
            self.out.saves.push((self.issued, save));
        }
    }

    /// Moves the engine's effects on.
    pub(crate) fn drain(&mut self, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let mut out = joined.raft.take();
        let formation = joined.formation;
        if let Some(state) = out.restored.take() {
            self.machine.restore(&state);
            joined.applied = joined.raft.log().base();
            self.out.restored = true;
        }
        for entry in out.committed.drain(..) {
            if let Load::Command(command) = &entry.load {
                self.out.effects.extend(self.machine.apply(command));
            }
            joined.applied = entry.index;
        }
        for save in out.saves.drain(..) {
            if let Save::Entry(entry) = &save
                && self.config.durable
            {
                self.marks.push_back((self.issued + 1, entry.index, entry.term));
            }
            self.save(save);
        }
        for (to, body) in out.sends.drain(..) {
            self.send(formation, &to, body);
        }
        self.catch_up(&out.behind, now);
        self.compact();
    }

    fn send(&mut self, formation: Formation, to: &name::Member, body: message::Raft) {
        let route = Route { formation, from: self.config.me.life, to: to.life };
        let free = raft::is_free(&body) || self.done >= self.issued;
        let body = message::Body::Raft(self.config.group.clone(), route, body);
        if free {
            self.out.sends.push((to.name.clone(), body));
        } else {
            self.held.push_back((self.issued, to.name.clone(), body));
        }
    }

    fn catch_up(&mut self, behind: &[name::Member], now: u64) {
        if behind.is_empty() {
            return;
        }
        let state = self.machine.snapshot();
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        for member in behind {
            joined.raft.send_snapshot(member, state.clone(), now);
        }
        let formation = joined.formation;
        for (to, body) in joined.raft.take().sends {
            self.send(formation, &to, body);
        }
    }

    fn compact(&mut self) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let raft = &mut joined.raft;
        if joined.applied < raft.log().base() + self.config.compact_every {
            return;
        }
        if self.config.durable {
            let index = joined.applied;
            let term = raft.log().term(index).unwrap_or_default();
            let voters = raft.voters_at(index);
            let state = self.machine.snapshot();
            raft.compact(self.config.kept_entries);
            self.save(Save::Snapshot { index, term, voters, state });
        } else {
            raft.compact(self.config.kept_entries);
        }
    }
}
