//! The state that an entry uses to decide about its clients' jobs: live instances, schedulers, and
//! known upstreams.

use std::collections;

use state::name;

use crate::{
    decisions::leadership,
    messages::{claim, evacuation, parts, upstream},
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
    /// The upstreams that this instance knows.
    pub table: &'a upstream::Table,
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

    /// Whether `holds` is true of live schedulers of all parts of each known zone: those with an
    /// instance and those with a claim.
    pub(crate) fn is_everywhere(&self, holds: impl Fn(&claim::Claim) -> bool) -> bool {
        let is_held = |zone: &name::Name| {
            let claims =
                self.claims.of_zone(zone).filter(|claim| self.is_current(claim) && holds(claim));
            claims.fold(parts::Parts::NONE, |all, claim| all.plus(claim.parts)).is_all()
        };
        let cards = self.membership.peers.values().filter_map(|peer| peer.card.as_ref());
        let instances = cards.map(|card| &card.zone).chain([&self.membership.me().zone]);
        let zones: collections::BTreeSet<_> =
            self.claims.iter().map(|claim| &claim.zone).chain(instances).collect();
        zones.into_iter().all(is_held)
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
