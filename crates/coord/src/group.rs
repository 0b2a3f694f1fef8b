//! One member of one replicated group: formation, consensus, the state machine, and the repair of
//! seats whose instance restarted with another incarnation.

use std::collections;

use state::name;

use crate::{
    departures,
    entry::Payload,
    form,
    joined::Joined,
    message::{self, FormMessage, Formation, Route},
    raft::{self, Raft, Save, Timing},
    time,
};

/// Allowed difference between two wall clocks, in milliseconds.
pub const MAX_SKEW_MS: u64 = 1_000;
/// Number of log entries that a member keeps for slow followers although a snapshot covers them.
pub(crate) const KEPT_ENTRIES: u64 = 2_048;
/// Number of applied entries after which a member compacts its log.
pub(crate) const COMPACT_EVERY: u64 = 4_096;
/// How long a learner may be silent before the leader drops it, in microseconds.
pub(crate) const LEARNER_TIMEOUT: u64 = 10_000 * time::MS;
/// Interval between two probes of a member that has no leader, in microseconds.
pub(crate) const LEADER_PROBE_INTERVAL: u64 = 300 * time::MS;

/// A replicated state machine.
pub trait Machine {
    /// Effect of a command.
    type Effect;

    /// Applies one committed command.
    fn apply(&mut self, command: &[u8]) -> Vec<Self::Effect>;

    /// Encodes the whole state.
    fn snapshot(&self) -> bytes::Bytes;

    /// Replaces the whole state.
    fn restore(&mut self, state: &[u8]);

    /// Resets the state after the member has left its formation: the entries that the formation
    /// committed are no longer valid.
    fn reset(&mut self);
}

/// Configuration of a group member. Only [`Self::others`] changes while the member runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// The group.
    pub group: message::Group,
    /// This member.
    pub me: name::Member,
    /// Names of the instances that vote.
    pub seats: Vec<name::Name>,
    /// Names of all other instances that may belong to the group.
    pub others: Vec<name::Name>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Whether a member stores entries on disk before it counts them.
    pub durable: bool,
    /// Whether the caller names the first voters ([`Group::bootstrap`]), so that the instances
    /// never form the group by agreement and never leave it.
    pub static_voters: bool,
    /// Number of applied entries after which the member compacts its log.
    pub compact_every: u64,
    /// Number of entries that a compaction keeps for slow followers.
    pub kept_entries: u64,
}

/// Effects that a member has collected since the last [`Group::take_output`].
#[derive(Debug)]
pub struct Output<E> {
    /// Messages to send.
    pub sends: Vec<(name::Name, message::Body)>,
    /// Changes to write to disk, each with the number to pass to [`Group::on_saved`] afterwards.
    pub saves: Vec<(u64, Save)>,
    /// Effects of committed commands.
    pub effects: Vec<E>,
    /// Whether a snapshot replaced the whole state.
    pub restored: bool,
    /// Whether the member left a formation and discarded the state of that formation.
    pub left_formation: bool,
}

impl<E> Default for Output<E> {
    fn default() -> Self {
        let (sends, saves, effects) = (Vec::new(), Vec::new(), Vec::new());
        Self { sends, saves, effects, restored: false, left_formation: false }
    }
}

/// State that a durable member has stored before a restart.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Formation that the member belonged to, if any.
    pub formation: Option<Formation>,
    /// State of the consensus engine.
    pub stored: raft::Stored,
    /// Commit index.
    pub commit: u64,
    /// The encoded state machine at the snapshot.
    pub state: Option<bytes::Bytes>,
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
    /// Last known incarnation and formation of each other instance.
    pub(crate) peer_states: collections::BTreeMap<name::Name, (u64, Option<Formation>)>,
    /// Formations that this process has founded and left.
    pub(crate) abandoned: smallvec::SmallVec<[Formation; 4]>,
    /// Other instances that this one has heard lately by other messages than those of the group;
    /// `None` if that is not known.
    pub(crate) heard: Option<Vec<name::Name>>,
    pub(crate) departures: departures::Departures,
    pub(crate) next_probe: u64,
    /// Number of the last change passed to the caller to be stored.
    pub(crate) last_issued: u64,
    /// Number of the last change known to be on disk.
    pub(crate) last_saved: u64,
    /// Number of the last change of the term or the vote.
    pub(crate) last_vote: u64,
    /// Entries and snapshots not yet known to be on disk: number of the change, index and term.
    pub(crate) unsynced: collections::VecDeque<(u64, u64, u64)>,
    /// Messages that wait until the change with this number is on disk.
    pub(crate) pending_sends: collections::VecDeque<(u64, name::Name, message::Body)>,
    pub(crate) refused: u64,
    pub(crate) seed: u64,
    pub(crate) out: Output<M::Effect>,
}

impl<M: Machine> Group<M> {
    /// Creates a member that belongs to no formation yet.
    pub fn new(config: Config, machine: M, seed: u64) -> Self {
        let seeker = form::Seeker::new(config.me.clone(), config.seats.clone());
        Self {
            config,
            stage: Stage::Seeking(seeker),
            machine,
            peer_states: collections::BTreeMap::new(),
            abandoned: smallvec::SmallVec::new(),
            heard: None,
            departures: departures::Departures::default(),
            next_probe: 0,
            last_issued: 0,
            last_saved: 0,
            last_vote: 0,
            unsynced: collections::VecDeque::new(),
            pending_sends: collections::VecDeque::new(),
            refused: 0,
            seed,
            out: Output::default(),
        }
    }

    /// Resumes from the state that the member stored before a restart.
    #[must_use]
    pub fn with_recovered(mut self, recovered: Recovered, now: u64) -> Self {
        let Some(formation) = recovered.formation else {
            return self;
        };
        if let Some(state) = &recovered.state {
            self.machine.restore(state);
        }
        let base = recovered.stored.log.base();
        let mut raft = self.new_raft(recovered.stored, now);
        raft.recover_commit(recovered.commit);
        self.stage =
            Stage::Joined(Box::new(Joined { applied: base, ..Joined::new(formation, raft) }));
        self.process_output(now);
        self.out.effects.clear();
        self
    }

    /// Returns the effects collected so far and clears them.
    pub fn take_output(&mut self) -> Output<M::Effect> {
        std::mem::take(&mut self.out)
    }

    /// The state machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The state machine, for changes that each member makes locally.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// This member.
    pub fn me(&self) -> &name::Member {
        &self.config.me
    }

    /// Returns what this member waits for until it has a leader; `None` if it has one.
    pub fn waits_for(&self, now: u64) -> Option<String> {
        match &self.stage {
            Stage::Seeking(seeker) => Some(seeker.describe(now)),
            Stage::Joined(joined) if joined.raft.has_leader(now) => None,
            Stage::Joined(joined) => {
                let voters: Vec<_> =
                    joined.raft.voters().0.iter().map(ToString::to_string).collect();
                Some(format!("no leader in term {} of [{}]", joined.raft.term(), voters.join(" ")))
            }
        }
    }

    /// Whether this member belongs to a formation.
    pub fn is_joined(&self) -> bool {
        self.joined().is_some()
    }

    /// The formation that this member belongs to.
    pub fn formation(&self) -> Option<Formation> {
        self.joined().map(|joined| joined.formation)
    }

    /// The consensus engine, if the member belongs to a formation.
    pub fn raft(&self) -> Option<&Raft> {
        self.joined().map(|joined| &joined.raft)
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.raft().is_some_and(Raft::is_leader)
    }

    /// Whether this member leads or received a message from the leader within an election timeout.
    pub fn has_leader(&self, now: u64) -> bool {
        self.raft().is_some_and(|raft| raft.has_leader(now))
    }

    /// End of this member's lease, on its own clock; 0 if it has none.
    pub fn lease_end(&self, now: u64) -> u64 {
        self.raft().map_or(0, |raft| raft.lease_end(now))
    }

    /// Number of messages refused so far because of a wrong formation or incarnation.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Performs the work that is due at `now`.
    pub fn tick(&mut self, now: time::Now) {
        match &mut self.stage {
            Stage::Seeking(_) if self.config.static_voters => self.probe_for_group(now.mono),
            Stage::Seeking(_) => self.seek_formation(now),
            Stage::Joined(joined) => {
                joined.raft.tick(now.mono);
                let leaderless = !joined.raft.has_leader(now.mono);
                let can_leave = joined.can_leave(self.config.durable);
                if leaderless && can_leave && !self.config.static_voters {
                    // Another formation may have committed entries.
                    self.leave_formation();
                } else if leaderless {
                    self.probe_for_leader(now.mono);
                } else {
                    self.repair_seats(now.mono);
                }
            }
        }
        self.announce_departure(now.mono);
        self.process_output(now.mono);
    }

    /// Proposes a command if this member leads, or else forwards it to the leader; returns false
    /// if no leader is known.
    pub fn propose(&mut self, command: &bytes::Bytes, now: u64) -> bool {
        let Stage::Joined(joined) = &mut self.stage else {
            return false;
        };
        let route =
            |to: u64| Route { formation: joined.formation, from: self.config.me.incarnation, to };
        if joined.raft.is_leader() {
            joined.raft.propose(Payload::Command(command.clone()), now);
            self.process_output(now);
            return true;
        }
        let Some(leader) = joined.raft.leader().filter(|_| joined.raft.has_leader(now)) else {
            return false;
        };
        let group = self.config.group.clone();
        let body = message::Body::Propose(group, route(leader.incarnation), command.clone());
        self.out.sends.push((leader.name.clone(), body));
        true
    }

    /// Transfers leadership to another member if this one leads.
    pub fn transfer_leadership(&mut self, now: u64) {
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.transfer_leadership(|_, _| true, now);
            self.process_output(now);
        }
    }

    /// Transfers leadership to a voter among `targets` that holds the whole log, if there is one.
    pub fn transfer_leadership_to(&mut self, targets: &[name::Name], now: u64) {
        if let Stage::Joined(joined) = &mut self.stage
            && joined.raft.is_leader()
            && joined.raft.is_settled()
        {
            let last = joined.raft.log().last();
            joined.raft.transfer_leadership(
                |target, matched| targets.contains(target) && matched == last,
                now,
            );
            self.process_output(now);
        }
    }

    /// Records that the change with this number and all changes before it are on disk.
    pub fn on_saved(&mut self, number: u64, now: u64) {
        self.last_saved = self.last_saved.max(number);
        while let Some((at, index, term)) = self.unsynced.front().copied()
            && at <= self.last_saved
        {
            self.unsynced.pop_front();
            if let Stage::Joined(joined) = &mut self.stage {
                joined.raft.mark_synced(index, term, now);
            }
        }
        if let Stage::Joined(joined) = &mut self.stage
            && joined.raft.is_voting
            && self.last_vote <= self.last_saved
        {
            joined.raft.on_hard_state_saved(now);
        }
        while let Some((at, ..)) = self.pending_sends.front()
            && *at <= self.last_saved
        {
            if let Some((_, to, body)) = self.pending_sends.pop_front() {
                self.out.sends.push((to, body));
            }
        }
        self.process_output(now);
    }

    /// Handles a formation message.
    pub fn on_form(&mut self, from: &name::Member, form: &FormMessage, now: time::Now) {
        match form {
            FormMessage::Probe(formation) => {
                self.set_peer_state(from, *formation);
                self.on_probe(from, *formation, now.mono);
            }
            FormMessage::Found(found) => {
                self.set_peer_state(from, *found);
                if let Stage::Seeking(seeker) = &mut self.stage {
                    seeker.on_report(from, *found, now.mono);
                }
            }
            // Only a member without a formation asks for a grant or gives one.
            FormMessage::Ask(formation) => {
                self.set_peer_state(from, None);
                if let Stage::Seeking(seeker) = &mut self.stage {
                    seeker.on_report(from, None, now.mono);
                    self.send_form(&from.name, FormMessage::Grant(*formation));
                }
            }
            FormMessage::Grant(formation) => {
                self.set_peer_state(from, None);
                if let Stage::Seeking(seeker) = &mut self.stage {
                    seeker.on_grant(from, *formation, now.mono);
                    self.seek_formation(now);
                }
            }
            FormMessage::Abandoned(formation) => self.on_abandoned(from, *formation),
            FormMessage::Leaving => self.departures.record(from, now.mono),
        }
        self.leave_if_unrecoverable(now.mono);
        self.process_output(now.mono);
    }

    /// Handles a consensus message; returns false if the member refused it.
    pub fn on_raft(
        &mut self,
        from: &name::Name,
        route: Route,
        body: message::Raft,
        now: u64,
    ) -> bool {
        let from = name::Member::new(from, route.from);
        if route.to == self.config.me.incarnation && self.formation() != Some(route.formation) {
            self.join_formation(route.formation, &body, now);
        }
        let Stage::Joined(joined) = &mut self.stage else {
            self.refused += 1;
            return false;
        };
        if route.to != self.config.me.incarnation || joined.formation != route.formation {
            self.refused += 1;
            return false;
        }
        joined.raft.step(&from, body, now);
        self.set_peer_state(&from, Some(route.formation));
        self.process_output(now);
        true
    }

    /// Handles a command that another member proposes; returns false if this member refused it.
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
        if joined.formation != route.formation || route.to != self.config.me.incarnation {
            self.refused += 1;
            return false;
        }
        if joined.raft.propose(Payload::Command(command), now).is_none() {
            return false;
        }
        joined.raft.notify_commit(&from);
        self.process_output(now);
        true
    }

    fn set_peer_state(&mut self, from: &name::Member, formation: Option<Formation>) {
        self.peer_states.insert(from.name.clone(), (from.incarnation, formation));
    }

    pub(crate) fn joined(&self) -> Option<&Joined> {
        match &self.stage {
            Stage::Joined(joined) => Some(joined),
            Stage::Seeking(_) => None,
        }
    }

    pub(crate) fn new_raft(&self, stored: raft::Stored, now: u64) -> Raft {
        let config = &self.config;
        Raft::new(config.me.clone(), config.timing, config.durable, stored, now, self.seed)
    }
}
