//! Changes of the settings that wait for their outcome.

use state::tree;

use crate::{
    core::{Core, Pending},
    event::{Output, Reply, Ticket},
    machine, time,
    time::Now,
};

impl Core {
    pub(crate) fn change(&mut self, ticket: Ticket, change: &tree::Change, now: Now) {
        const PATIENCE: u64 = 4_000 * time::MS;
        if let Some(outcome) = self.tree().outcome(change.change) {
            self.out.push(Output::Reply(ticket, Reply::Changed(outcome)));
            return;
        }
        let command = machine::encode(change);
        let until = now.mono + PATIENCE;
        let fresh = Pending { tickets: Vec::new(), command, retry: 0, until };
        let pending = self.changes.entry(change.change).or_insert(fresh);
        pending.tickets.push(ticket);
        pending.until = until;
        self.tick_changes(now);
    }

    pub(crate) fn tick_changes(&mut self, now: Now) {
        const RETRY: u64 = 400 * time::MS;
        let mut over = Vec::new();
        for (id, pending) in &mut self.changes {
            if now.mono >= pending.until {
                over.push(*id);
            } else if now.mono >= pending.retry && self.settings.propose(&pending.command, now.mono)
            {
                pending.retry = now.mono + RETRY;
            }
        }
        for id in over {
            let pending = self.changes.remove(&id);
            for ticket in pending.into_iter().flat_map(|pending| pending.tickets) {
                let why = "no quorum of the settings group can be reached".to_owned();
                self.out.push(Output::Reply(ticket, Reply::Untold(why)));
            }
        }
    }

    pub(crate) fn tell_change(&mut self, change: uuid::Uuid, outcome: tree::Outcome) {
        let pending = self.changes.remove(&change);
        for ticket in pending.into_iter().flat_map(|pending| pending.tickets) {
            self.out.push(Output::Reply(ticket, Reply::Changed(outcome)));
        }
    }
}
