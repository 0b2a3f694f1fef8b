//! What the leader of a journal does beside agreement: letting instances in, and expelling those
//! that are silent.

use state::{name, table};

use crate::{
    core::{Core, EXPEL},
    group, machine, time,
    time::Now,
};

impl Core {
    /// What the leader of a journal does: let instances in and expel those that are silent.
    pub(crate) fn duties(&mut self, now: Now) {
        const PAUSE: u64 = 100 * time::MS;
        if now.mono < self.duty_at {
            return;
        }
        self.duty_at = now.mono + PAUSE;
        let home = self.config.me.zone.clone();
        let commands = self.due_members(&self.journal, &home, now.mono);
        for command in commands {
            self.counts.expelled += u64::from(matches!(command, table::Command::Expel(_)));
            self.propose(&command, now);
        }
        for (zone, mut journal) in std::mem::take(&mut self.witness) {
            for command in self.due_members(&journal, &zone, now.mono) {
                journal.propose(&machine::encode(&command), now.mono);
            }
            // A witness leads only as long as the zone itself has nobody who can.
            let seats = self.config.all.iter().filter(|instance| instance.zone == zone);
            let seats: Vec<_> = seats.map(|instance| instance.name.clone()).collect();
            journal.hand_over_to(&seats, now.mono);
            self.witness.insert(zone, journal);
        }
    }

    pub(crate) fn due_members(
        &self,
        journal: &group::Group<machine::Journal>,
        zone: &name::Name,
        now: u64,
    ) -> Vec<table::Command> {
        let Some(raft) = journal.raft() else {
            return Vec::new();
        };
        let Some(since) = raft.leads_since().filter(|_| raft.is_settled()) else {
            return Vec::new();
        };
        let (me, table) = (journal.me(), &journal.machine().table);
        let at_home =
            |name: &name::Name| self.config.all.iter().any(|i| i.name == *name && i.zone == *zone);
        let fresh = |heard: u64| now < heard + EXPEL;
        let mut commands = Vec::new();
        if at_home(&me.name) && !table.is_live(me) && self.left.is_none() {
            commands.push(table::Command::Enter(me.clone()));
        }
        for (peer, progress) in raft.peers() {
            let caught_up = progress.matched >= raft.commit();
            let new = !table.is_live(peer) && at_home(&peer.name);
            if new && caught_up && fresh(progress.heard) && !self.is_leaving(peer) {
                commands.push(table::Command::Enter(peer.clone()));
            }
        }
        let heard = |member: &name::Member| {
            let peer = raft.peers().find(|(peer, _)| *peer == member);
            peer.map_or(since, |(_, progress)| progress.heard).max(since)
        };
        let silent = table.live().filter(|m| *m != me && !fresh(heard(m)));
        commands.extend(silent.cloned().map(table::Command::Expel));
        commands
    }

    /// An instance that said good-bye is not let in again while it shuts down.
    pub(crate) fn is_leaving(&self, member: &name::Member) -> bool {
        self.leaving.contains(member)
    }
}
