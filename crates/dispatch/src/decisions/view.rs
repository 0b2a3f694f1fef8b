//! The state that an entry uses to decide about its clients' jobs: live instances, schedulers, and
//! known upstreams.

use state::name;

use crate::{
    decisions::leadership,
    messages::{claim, evacuation},
    tables::membership,
};

/// The state that an entry uses to decide about its clients' jobs.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Live instances.
    pub membership: &'a membership::Membership,
    /// Claims of the zones' schedulers.
    pub claims: &'a leadership::Claims,
    /// Zones where no task is started.
    pub evacuations: &'a evacuation::Evacuations,
    /// Digest of the known upstreams of this instance's zone.
    pub upstreams: u64,
    /// Current monotonic time, in microseconds.
    pub now: u64,
}

impl View<'_> {
    /// Digest of its upstreams that the holder of a claim last reported.
    pub(crate) fn reported_digest(&self, claim: &claim::Claim) -> Option<u64> {
        if claim.holder == self.membership.me().name {
            return Some(self.upstreams);
        }
        let ack = self.membership.last_heartbeat(&claim.holder)?;
        let zone = &self.membership.peer(&claim.holder)?.card.as_ref()?.zone;
        ack.digest_of(&claim.zone, zone).filter(|_| ack.incarnation == claim.incarnation)
    }

    /// Time of the last heartbeat from the holder of a claim, in microseconds.
    pub(crate) fn last_heartbeat_at(&self, claim: &claim::Claim) -> Option<u64> {
        if claim.holder == self.membership.me().name {
            return Some(self.now);
        }
        self.membership.peer(&claim.holder).map(|peer| peer.heartbeat_at)
    }

    /// Whether tasks may be started at the upstreams of a zone.
    pub(crate) fn is_open(&self, zone: &name::Name) -> bool {
        !self.evacuations.has(zone)
    }

    /// Whether there are zones with a claim, but none where a task may be started.
    pub(crate) fn is_closed(&self) -> bool {
        let mut zones = self.claims.iter().map(|claim| &claim.zone).peekable();
        zones.peek().is_some() && !zones.any(|zone| self.is_open(zone))
    }

    /// Whether a scheduler that may start tasks is alive.
    pub(crate) fn has_scheduler(&self) -> bool {
        let able = |claim: &claim::Claim| {
            self.is_open(&claim.zone) && self.membership.is_holder_alive(claim, self.now)
        };
        self.claims.iter().any(able)
    }

    /// Whether several instances schedule the parts of a zone.
    pub(crate) fn is_split(&self, zone: &name::Name) -> bool {
        self.claims.of_zone(zone).any(|claim| !claim.parts.is_all())
    }

    pub(crate) fn is_current(&self, claim: &claim::Claim) -> bool {
        self.claims.is_current(claim) && self.membership.is_holder_alive(claim, self.now)
    }
}
