//! Which members hold the seats of voters: a leader gives the seats of members that are lost, that
//! leave or that restarted without their state to others.

use state::name;

use crate::{
    entry::Payload,
    group::{Group, LEARNER_TIMEOUT, Machine, Stage},
    message::FormMessage,
    raft, time,
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
/// Time in which a leader that leaves seeks a successor for its seat, in microseconds. After that it
/// hands its leadership over first.
const SUCCESSOR_TIMEOUT: u64 = 300 * time::MS;

impl<M: Machine> Group<M> {
    /// Sets the other instances that this one has heard within [`LOST_VOTER_TIMEOUT`] by other
    /// messages than those of the group; `None` if this instance cannot tell yet. A leader that has
    /// just been elected so knows which voters were lost before.
    pub fn set_heard(&mut self, heard: Option<Vec<name::Name>>) {
        self.heard = heard;
    }

    /// Announces that this instance is about to end. The leader then gives its seat to a member that
    /// holds all committed entries, if there is one; a leader hands its leadership over as well.
    pub fn leave(&mut self, now: u64) {
        self.departures.begin(now);
        self.announce_departure(now);
    }

    /// Whether this member has a seat, or is not known to have lost it for good.
    pub fn has_seat(&self) -> bool {
        let me = &self.config.me;
        self.raft().is_some_and(|raft| {
            raft.voters().contains(me) || raft.voters_at(raft.commit()).contains(me)
        })
    }

    /// Whether this member has a seat that one of these other instances, which have none, may take
    /// over, or that is being taken over: while there is one voter more, this member is needed.
    pub fn awaits_successor<'a>(&self, mut others: impl Iterator<Item = &'a name::Name>) -> bool {
        let Some(raft) = self.raft().filter(|_| self.has_seat()) else { return false };
        let voters = raft.voters();
        let is_moving =
            voters.0.len() > 2 && voters.0.len() % 2 == 0 || !voters.contains(self.me());
        is_moving || others.any(|name| voters.seat(name).is_none())
    }

    /// Tells the voters, one of which leads or will lead, if it is due that this member leaves.
    pub(crate) fn announce_departure(&mut self, now: u64) {
        if !self.departures.is_due(now) {
            return;
        }
        let Some(raft) = self.raft() else { return };
        let me = &self.config.me.name;
        let names = raft.voters().0.iter().map(|voter| voter.name.clone());
        for to in names.filter(|name| name != me).collect::<Vec<_>>() {
            self.send_form(&to, FormMessage::Leaving);
        }
    }

    /// Gives the seats of lost and leaving voters to members that hold all committed entries, and
    /// adds seats up to `max_seats`, one committed change at a time (Ongaro 2014, section 4.1).
    /// While a seat moves there is one voter more.
    pub fn replace_lost_voters(&mut self, max_seats: usize, now: u64) {
        let Some(raft) = self.raft().filter(|raft| raft.is_leader()) else { return };
        if !raft.is_settled() {
            if self.departures.since().is_some_and(|since| now >= since + SUCCESSOR_TIMEOUT) {
                self.hand_over_leadership(now);
            }
            return;
        }
        let commit = raft.commit();
        let is_overdue = |at: u64| now > at + LOST_VOTER_TIMEOUT;
        if raft.synced() < commit && raft.leader_stored_at().is_some_and(is_overdue) {
            // Another leader can give this member's seat away.
            return self.transfer_leadership_if(|_, matched| matched >= commit, now);
        }
        let (vacant, successors) = (self.vacant_seat(raft, now), self.successors(raft, now));
        let mut voters = raft.voters().clone();
        let seats = (voters.0.len() + successors.len()).min(max_seats);
        let seats = if seats % 2 == 0 { seats - 1 } else { seats };
        let is_even = voters.0.len() % 2 == 0;
        // A lost voter may come back with its disk, and a leaving one still answers. If it were
        // removed first, the others would be needed without exception until the seat is taken.
        match (vacant, successors.first()) {
            // The next leader removes this member.
            (Some(vacant), next) if vacant == self.config.me && (is_even || next.is_none()) => {
                return self.hand_over_leadership(now);
            }
            (Some(vacant), _) if is_even && voters.0.len() > 2 => {
                voters.0.retain(|m| *m != vacant);
            }
            (Some(_), Some(next)) => voters.0.push(next.clone()),
            (None, Some(next)) if voters.0.len() < seats => voters.0.push(next.clone()),
            _ => return,
        }
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.propose(Payload::Voters(voters), now);
        }
        self.process_output(now);
    }

    /// The voter whose seat another member should take: one that is lost, or else one that leaves.
    fn vacant_seat(&self, raft: &raft::Raft, now: u64) -> Option<name::Member> {
        let (me, commit) = (&self.config.me, raft.commit());
        let is_overdue = |at: u64| now > at + LOST_VOTER_TIMEOUT;
        let progress_of =
            |m: &name::Member| raft.peers().find(|(peer, _)| *peer == m).map(|(_, p)| p);
        let is_lost = |m: &&name::Member| {
            let is_stuck = |p: &raft::Progress| p.match_index < commit && is_overdue(p.stored_at);
            let is_unheard = self.heard.as_ref().is_some_and(|heard| !heard.contains(&m.name));
            let is_mute = |p: &raft::Progress| now > p.last_contact + ANSWER_TIMEOUT && is_unheard;
            *m != me
                && progress_of(m)
                    .is_none_or(|p| is_overdue(p.last_contact) || is_stuck(p) || is_mute(p))
        };
        let is_leaving = |m: &&name::Member| match progress_of(m) {
            Some(p) => self.departures.has(m, p.acked_at, now),
            None => *m == me && self.departures.since().is_some(),
        };
        let voters = &raft.voters().0;
        voters.iter().find(is_lost).or_else(|| voters.iter().find(is_leaving)).cloned()
    }

    /// The members without a seat that may take one.
    fn successors(&self, raft: &raft::Raft, now: u64) -> Vec<name::Member> {
        let commit = raft.commit();
        let is_eligible = |(m, p): &(&name::Member, &raft::Progress)| {
            let is_current = now < p.last_contact + RESEAT_MAX_SILENCE
                && p.match_index >= commit
                && p.match_index > 0;
            is_current
                && raft.voters().seat(&m.name).is_none()
                && !self.departures.has(m, p.acked_at, now)
        };
        raft.peers().filter(is_eligible).map(|(m, _)| m.clone()).collect()
    }

    /// Transfers the leadership of this member, which leaves, to a voter that does not.
    fn hand_over_leadership(&mut self, now: u64) {
        let Some(raft) = self.raft() else { return };
        let leaving = raft.peers().filter(|(m, p)| self.departures.has(m, p.acked_at, now));
        let leaving: Vec<_> = leaving.map(|(m, _)| m.name.clone()).collect();
        self.transfer_leadership_if(|name, _| !leaving.contains(name), now);
    }

    fn transfer_leadership_if(&mut self, is_eligible: impl Fn(&name::Name, u64) -> bool, now: u64) {
        if let Stage::Joined(joined) = &mut self.stage {
            joined.raft.transfer_leadership(is_eligible, now);
        }
        self.process_output(now);
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
