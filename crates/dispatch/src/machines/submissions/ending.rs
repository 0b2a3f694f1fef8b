//! How an open job ends at its entry: with a verdict, with the disconnect of its client, or with the
//! end of the entry.

use state::name;

use super::{OpenJob, Submissions};
use crate::messages::{
    event::{Note, Reply, Ticket},
    job::{Refusal, Verdict},
    message::Body,
    reservation::JobEnd,
    time,
};

impl Submissions {
    /// Handles the disconnect of the client of a ticket.
    pub fn disconnect(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        open.tickets.retain(|other| *other != ticket);
        self.drop_unawaited(&id);
    }

    /// Cancels a job on request; returns `false` if it is not open here.
    pub fn revoke(&mut self, id: &name::Name) -> bool {
        let Some(open) = self.open.remove(id) else { return false };
        self.cancel(id, &open);
        self.remember(id, &open, None);
        self.out.sends.extend(open.standing.farewells(id, &JobEnd::Cancelled));
        let detail = "on request".to_owned();
        self.out.notes.push(Note { text: "job: Cancelled.", subject: id.clone(), detail });
        for ticket in open.tickets {
            self.tickets.remove(&ticket);
            self.out.replies.push((ticket, Reply::Cancelled));
        }
        true
    }

    /// Ends all open jobs because the instance ends.
    pub fn finish(&mut self, now: u64) {
        let verdict = |open: &OpenJob| open.final_verdict(Refusal::Draining);
        let ends = self.open.iter().map(|(id, open)| (id.clone(), verdict(open)));
        for (id, verdict) in ends.collect::<Vec<_>>() {
            self.close(&id, &verdict, now);
        }
    }

    pub(super) fn close(&mut self, id: &name::Name, verdict: &Verdict, now: u64) {
        let Some(open) = self.open.remove(id) else { return };
        if *verdict != Verdict::Complete {
            self.cancel(id, &open);
        }
        let is_final = matches!(verdict, Verdict::Complete | Verdict::Failed);
        self.remember(id, &open, is_final.then_some(verdict));
        let end = JobEnd::Verdict(verdict.clone());
        self.out.sends.extend(open.standing.farewells(id, &end));
        let took = now.saturating_sub(open.arrived) / time::MS;
        let resumed = open.resumed || open.parts.iter().any(|part| part.resumed);
        let zones =
            open.parts.iter().filter_map(|part| part.pinned_zone.as_ref()).chain(&open.zones);
        let zones: Vec<_> = zones.map(name::Name::as_str).collect();
        let detail = format!(
            "{verdict:?} after {took} ms, objective {} ms, zones {}, resumed {resumed}",
            open.job.objective,
            zones.join(" ")
        );
        self.out.notes.push(Note { text: "job: Answered.", subject: id.clone(), detail });
        for ticket in open.tickets {
            self.tickets.remove(&ticket);
            self.out.replies.push((ticket, Reply::Verdict(verdict.clone())));
        }
    }

    /// Informs the schedulers that no client awaits the job any more.
    pub(super) fn cancel(&mut self, id: &name::Name, open: &OpenJob) {
        let holders = open.parts.iter().filter_map(|part| part.claim.as_ref());
        let cancels = holders.map(|claim| (claim.holder.clone(), Body::Cancel(id.clone())));
        self.out.sends.extend(cancels);
    }
}
