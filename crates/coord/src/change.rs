//! Settings changes that wait for their outcome.

use state::tree;

use crate::{
    core::{Core, PendingChange},
    event::{Output, Reply, Ticket},
    machine, time,
    time::Now,
};

impl Core {
    pub(crate) fn change(&mut self, ticket: Ticket, change: &tree::Change, now: Now) {
        const CHANGE_TIMEOUT: u64 = 4_000 * time::MS;
        if let Some(outcome) = self.tree().outcome(change.change) {
            self.out.push(Output::Reply(ticket, Reply::Changed(outcome)));
            return;
        }
        let command = machine::encode(change);
        let until = now.mono + CHANGE_TIMEOUT;
        let new = PendingChange { tickets: Vec::new(), command, retry_at: 0, until };
        let pending = self.changes.entry(change.change).or_insert(new);
        pending.tickets.push(ticket);
        pending.until = until;
        self.tick_changes(now);
    }

    pub(crate) fn tick_changes(&mut self, now: Now) {
        const RETRY_INTERVAL: u64 = 400 * time::MS;
        let mut expired = Vec::new();
        for (id, pending) in &mut self.changes {
            if now.mono >= pending.until {
                expired.push(*id);
            } else if now.mono >= pending.retry_at
                && self.settings.propose(&pending.command, now.mono)
            {
                pending.retry_at = now.mono + RETRY_INTERVAL;
            }
        }
        for id in expired {
            let pending = self.changes.remove(&id);
            for ticket in pending.into_iter().flat_map(|pending| pending.tickets) {
                let why = "no quorum of the settings group can be reached".to_owned();
                self.out.push(Output::Reply(ticket, Reply::Unknown(why)));
            }
        }
    }

    pub(crate) fn reply_change(&mut self, change: uuid::Uuid, outcome: tree::Outcome) {
        let pending = self.changes.remove(&change);
        for ticket in pending.into_iter().flat_map(|pending| pending.tickets) {
            self.out.push(Output::Reply(ticket, Reply::Changed(outcome)));
        }
    }
}
