//! Cancelling of jobs on request, at whichever entry the request arrives.

use std::collections;

use state::name;

use crate::{
    machines::core::Core,
    messages::{
        event::{Reply, Ticket},
        message::Body,
        time::Now,
    },
};

impl Core {
    /// Cancels a job whose client waits here. Otherwise the schedulers learn of the request: the
    /// one that has the job knows which entry awaits it.
    pub(crate) fn cancel(&mut self, ticket: Ticket, id: &name::Name, now: Now) {
        if self.submissions.revoke(id) {
            return self.reply(ticket, Reply::Cancelled);
        }
        let holders = self.claims.iter().map(|claim| claim.holder.clone());
        for holder in holders.collect::<collections::BTreeSet<_>>() {
            self.send(&holder, Body::Revoke(id.clone()), now);
        }
        self.reply(ticket, Reply::NotOpen);
    }

    pub(crate) fn on_revoke(&mut self, from: &name::Name, id: &name::Name, now: Now) {
        if self.submissions.revoke(id) {
            return;
        }
        let entries = self.scheds().filter_map(|sched| sched.jobs.get(id));
        let entries: Vec<_> = entries.map(|active| active.entry.clone()).collect();
        let me = &self.membership.me().name;
        // Neither the sender nor this instance awaits the job.
        let others = entries.into_iter().filter(|entry| entry != from && entry != me);
        for entry in others.collect::<Vec<_>>() {
            self.send(&entry, Body::Revoke(id.clone()), now);
        }
    }
}
