//! Membership work of a journal's leader besides consensus: it admits instances and expels silent
//! ones.

use state::{name, table};

use crate::{
    core::{Core, EXPEL_TIMEOUT},
    group, machine, time,
    time::Now,
};

impl Core {
    /// Admits instances and expels silent ones, for each journal that this instance leads.
    pub(crate) fn manage_membership(&mut self, now: Now) {
        const INTERVAL: u64 = 100 * time::MS;
        if now.mono < self.membership_at {
            return;
        }
        self.membership_at = now.mono + INTERVAL;
        let home = self.config.me.zone.clone();
        let commands = self.membership_commands(&self.journal, &home, now.mono);
        for command in commands {
            self.counts.expelled += u64::from(matches!(command, table::Command::Expel(_)));
            self.propose(&command, now);
        }
        for (zone, mut journal) in std::mem::take(&mut self.witness_journals) {
            for command in self.membership_commands(&journal, &zone, now.mono) {
                journal.propose(&machine::encode(&command), now.mono);
            }
            // A witness leads only while the zone itself has no instance that can lead.
            let seats = self.config.all.iter().filter(|instance| instance.zone == zone);
            let seats: Vec<_> = seats.map(|instance| instance.name.clone()).collect();
            journal.transfer_leadership_to(&seats, now.mono);
            self.witness_journals.insert(zone, journal);
        }
    }

    /// Returns the commands that admit and expel instances; empty unless this instance leads
    /// `journal` and the last voter change there is committed.
    pub(crate) fn membership_commands(
        &self,
        journal: &group::Group<machine::Journal>,
        zone: &name::Name,
        now: u64,
    ) -> Vec<table::Command> {
        let Some(raft) = journal.raft() else {
            return Vec::new();
        };
        let Some(since) = raft.leader_since().filter(|_| raft.is_settled()) else {
            return Vec::new();
        };
        let (me, table) = (journal.me(), &journal.machine().table);
        let in_zone =
            |name: &name::Name| self.config.all.iter().any(|i| i.name == *name && i.zone == *zone);
        let is_recent = |contact: u64| now < contact + EXPEL_TIMEOUT;
        let mut commands = Vec::new();
        if in_zone(&me.name) && !table.is_live(me) && self.left_at.is_none() {
            commands.push(table::Command::Join(me.clone()));
        }
        for (peer, progress) in raft.peers() {
            let caught_up = progress.match_index >= raft.commit();
            let is_new = !table.is_live(peer) && in_zone(&peer.name);
            if is_new && caught_up && is_recent(progress.last_contact) && !self.is_leaving(peer) {
                commands.push(table::Command::Join(peer.clone()));
            }
        }
        let last_contact = |member: &name::Member| {
            let peer = raft.peers().find(|(peer, _)| *peer == member);
            peer.map_or(since, |(_, progress)| progress.last_contact).max(since)
        };
        let silent = table.live().filter(|m| *m != me && !is_recent(last_contact(m)));
        commands.extend(silent.cloned().map(table::Command::Expel));
        commands
    }

    /// Whether an instance announced its shutdown. The leader does not admit such an instance again
    /// while it shuts down.
    pub(crate) fn is_leaving(&self, member: &name::Member) -> bool {
        self.leaving.contains(member)
    }
}
