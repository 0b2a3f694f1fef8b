//! Election of the scheduler of a zone.
//!
//! A claim needs no majority: two schedulers at the same time cost work but do no harm, because
//! each upstream accepts orders with the highest fencing token only, and the token of a later claim
//! is higher. A zone that a network partition splits therefore goes on in each of its parts.

use std::collections;

use state::name;

use crate::{
    decisions::startup,
    messages::{
        claim::{Claim, FENCE_STEP, OWNER_BITS},
        evacuation, member, time,
    },
    tables::membership,
};

/// An instance that starts waits this long for news of an existing scheduler, microseconds.
/// Instances answer first heartbeats at once: that takes some 30 ms, and 130 ms where a stream has
/// to be opened twice. After a loss of the whole system no instance serves clients in this time,
/// unless enough others are found that know no scheduler ([`startup`]).
const STARTUP_WAIT: u64 = 150 * time::MS;
/// An entry that starts without a configuration, or without knowing an upstream, could not serve
/// any client, and has not met an instance that could inform it. An entry that has too little
/// CPU time for its zone serves it badly. Both let keepers claim first for this long,
/// microseconds: after a power loss of the whole system entries are back up to 400 ms before the
/// keepers.
const UNFIT_WAIT: u64 = 1_000 * time::MS;
/// An instance respects a claim for this long after it received it, microseconds, even if the
/// holder's heartbeats do not arrive yet: two heartbeats. Without this time instances that start
/// together would outbid one another's claims before they have met.
const CLAIM_GRACE: u64 = 300 * time::MS;
/// [`CLAIM_GRACE`] of an entry that has too little CPU time for the zone, microseconds: after
/// a restart of the whole system such an entry met the keeper of its zone 330 ms after it had
/// received that keeper's claim.
const LOW_CAPACITY_GRACE: u64 = 1_000 * time::MS;
/// An instance waits this long for each candidate that ranks before it, microseconds: two
/// heartbeats.
const RANK_DELAY: u64 = 300 * time::MS;
/// An instance that receives heartbeats from no other instance of its zone, although there are
/// some, waits this much longer before it claims, microseconds: the others may well have a
/// scheduler.
const ISOLATED_DELAY: u64 = 1_000 * time::MS;
/// An instance does not claim a zone for this long after it found that the zone's upstreams belong
/// to a scheduler whose heartbeats it does not receive, microseconds: longer than most network
/// partitions.
const STAND_DOWN_TIME: u64 = 10_000 * time::MS;
/// A keeper reclaims its zone from an entry after it has received the entry's heartbeats for this
/// long, microseconds: entries have a third of a keeper's CPU time, and clients of their own.
/// Without the delay a keeper whose connection comes and goes would cost the zone a takeover (some
/// 50 ms) each time.
const RECLAIM_DELAY: u64 = 1_000 * time::MS;
/// A keeper claims no other zones for this long after its start, microseconds: the keepers of those
/// zones may be starting at the same time.
const ADOPTION_WAIT: u64 = 2_000 * time::MS;
/// After an upstream refused an epoch the instance raises it by this much, milliseconds. Clocks
/// differ by less.
const EPOCH_JUMP: u64 = 60_000;

/// State of an instance that decides whether, and how soon, it may claim its zone.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it schedules the zone already.
    pub schedules: bool,
    /// Whether it has a configuration and knows an upstream of the zone: without both there is
    /// nothing to schedule.
    pub equipped: bool,
    /// Whether scheduling the zone would take more CPU time than it has.
    pub low_capacity: bool,
}

/// Times that an instance records to decide when to claim a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Candidacy {
    /// Time since which this instance has received no heartbeats of a scheduler of the zone.
    vacant_since: Option<u64>,
    /// Time since which the scheduler of the zone is an instance that is not a keeper of it.
    foreign_since: Option<u64>,
    /// Time until which this instance does not claim the zone.
    blocked_until: u64,
    /// When this instance received the highest claim.
    claim_received: Option<u64>,
}

/// The highest claim to each zone that an instance has received.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    highest: collections::BTreeMap<name::Name, Claim>,
    candidacies: collections::BTreeMap<name::Name, Candidacy>,
}

impl Claims {
    /// Merges a claim; returns true if it is the highest for its zone now.
    pub fn merge(&mut self, claim: &Claim, now: u64) -> bool {
        let key = |claim: &Claim| (claim.epoch, claim.holder.clone());
        let held = self.highest.get(&claim.zone);
        if held.is_some_and(|held| key(held) >= key(claim)) {
            return false;
        }
        self.highest.insert(claim.zone.clone(), claim.clone());
        self.candidacy(&claim.zone).claim_received = Some(now);
        true
    }

    /// The highest claim to a zone.
    pub fn of(&self, zone: &name::Name) -> Option<&Claim> {
        self.highest.get(zone)
    }

    /// The highest claims to all zones.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.highest.values()
    }

    /// Claims of the schedulers that an instance of `zone` exchanges heartbeats with: that of its
    /// own zone, and that of the next zone, which takes the jobs that its own zone has no room for.
    /// With the schedulers of all zones, the number of heartbeats would grow with the product of
    /// zones and instances. If its own zone is evacuated the instance needs the room of all other
    /// zones.
    pub fn watched<'a>(
        &'a self,
        zone: &'a name::Name,
        evacuations: &'a evacuation::Evacuations,
    ) -> impl Iterator<Item = &'a Claim> {
        let after = self.highest.range::<str, _>((
            std::ops::Bound::Excluded(zone.as_str()),
            std::ops::Bound::Unbounded,
        ));
        let next = after.map(|(_, claim)| claim).chain(self.highest.values());
        let is_next = move |claim: &&Claim| claim.zone != *zone && !evacuations.has(&claim.zone);
        let count = if evacuations.has(zone) { self.highest.len() } else { 1 };
        let next = next.filter(is_next).take(count);
        self.of(zone).into_iter().chain(next)
    }

    /// Whether the holder of the highest claim to `zone` is alive and not draining.
    pub fn is_led(&self, zone: &name::Name, membership: &membership::Membership, now: u64) -> bool {
        self.of(zone).is_some_and(|claim| membership.is_holder_alive(claim, now))
    }

    /// Claims this instance's own zone if no instance of the zone receives heartbeats of a
    /// scheduler and every candidate that ranks before this one has had its time to claim.
    pub fn campaign(
        &mut self,
        membership: &membership::Membership,
        candidate: Candidate,
        now: time::Now,
    ) -> Option<Claim> {
        let me = membership.me();
        let zone = &me.zone;
        if self.is_reclaim_due(membership, now.mono) {
            return Some(self.issue_claim(me, zone, now));
        }
        // Other instances still report this instance's own claim, but it does not schedule the zone
        // any more.
        let abandoned = !candidate.schedules && self.is_holder(me, zone);
        let led = self.is_led(zone, membership, now.mono) || membership.zone_peer_is_led(now.mono);
        let led = led && !abandoned;
        let entry = me.role == member::Role::Entry;
        let unfit = entry && (!candidate.equipped || candidate.low_capacity);
        let informed = !unfit && startup::is_vacant(membership, self.of(zone));
        let wait = if informed { 0 } else { STARTUP_WAIT };
        let earliest = membership.start() + if unfit { UNFIT_WAIT } else { wait };
        let grace = if entry && candidate.low_capacity { LOW_CAPACITY_GRACE } else { CLAIM_GRACE };
        let candidacy = self.candidacy(zone);
        let early = now.mono < earliest.max(candidacy.blocked_until);
        if led || early || candidacy.is_recent(grace, now.mono) && !abandoned {
            candidacy.vacant_since = None;
            return None;
        }
        let vacant = *candidacy.vacant_since.get_or_insert(now.mono);
        let isolated = if membership.is_cut_off(now.mono) { ISOLATED_DELAY } else { 0 };
        // A keeper of another zone has more CPU time to spare, so it may claim first.
        let capacity_delay = if entry && candidate.low_capacity { RANK_DELAY } else { 0 };
        if now.mono < vacant + rank_delay(membership, now.mono) + isolated + capacity_delay {
            return None;
        }
        candidacy.vacant_since = None;
        Some(self.issue_claim(me, zone, now))
    }

    /// Claims another zone for this keeper if no instance is left there that could schedule it as
    /// well, and no keeper that ranks before this one claims it first.
    ///
    /// This is for the case that a zone of 108 upstreams with 870 starts a second loses its keeper.
    /// The next instances by rank are entries with 0.12 of a core; keepers of other zones use a
    /// sixth of their 0.6 cores.
    pub fn adopt(
        &mut self,
        zone: &name::Name,
        schedules: bool,
        membership: &membership::Membership,
        now: time::Now,
    ) -> Option<Claim> {
        let me = membership.me();
        let led = self.is_led(zone, membership, now.mono) && !self.is_holder(me, zone);
        let early = now.mono < membership.start() + ADOPTION_WAIT;
        let orphan = !schedules && !led && !early && membership.is_orphan(zone, now.mono);
        let candidacy = self.candidacy(zone);
        if !orphan
            || now.mono < candidacy.blocked_until
            || candidacy.is_recent(CLAIM_GRACE, now.mono)
        {
            candidacy.vacant_since = None;
            return None;
        }
        let vacant = *candidacy.vacant_since.get_or_insert(now.mono);
        if now.mono < vacant + membership.keepers_before(zone, now.mono) as u64 * RANK_DELAY {
            return None;
        }
        candidacy.vacant_since = None;
        Some(self.issue_claim(me, zone, now))
    }

    /// Whether this instance is a keeper, ranks first in its zone, and an entry or a keeper of
    /// another zone has scheduled the zone for at least [`RECLAIM_DELAY`].
    fn is_reclaim_due(&mut self, membership: &membership::Membership, now: u64) -> bool {
        let me = membership.me();
        let foreign = self.of(&me.zone).is_some_and(|claim| {
            let card = membership.peer(&claim.holder).and_then(|peer| peer.card.as_ref());
            membership.is_direct(&claim.holder, now)
                && membership.is_holder_alive(claim, now)
                && card.is_some_and(|card| card.role == member::Role::Entry || card.zone != me.zone)
        });
        let first = membership.zone_peers(now).all(|card| card.rank() > me.rank());
        let candidacy = self.candidacy(&me.zone);
        if me.role != member::Role::Keeper || !foreign || !first {
            candidacy.foreign_since = None;
            return false;
        }
        let since = *candidacy.foreign_since.get_or_insert(now);
        let due = now >= (since + RECLAIM_DELAY).max(candidacy.blocked_until);
        if due {
            candidacy.foreign_since = None;
        }
        due
    }

    /// Leaves the zone to a scheduler whose heartbeats do not arrive, and withdraws this instance's
    /// own claim: if other instances received it once that scheduler's heartbeats arrive again, it
    /// would outrank the scheduler's claim, and no instance would schedule the zone.
    pub fn stand_down(&mut self, me: &member::Card, zone: &name::Name, now: u64) {
        self.candidacy(zone).blocked_until = now + STAND_DOWN_TIME;
        if self.is_holder(me, zone) {
            self.highest.remove(zone);
        }
    }

    /// Whether the highest claim to a zone is that of `me`.
    fn is_holder(&self, me: &member::Card, zone: &name::Name) -> bool {
        self.of(zone).is_some_and(|claim| claim.holder == me.name)
    }

    fn candidacy(&mut self, zone: &name::Name) -> &mut Candidacy {
        self.candidacies.entry(zone.clone()).or_default()
    }

    /// Claims a zone above an unknown scheduler that has a higher fencing token.
    pub fn outbid(&mut self, me: &member::Card, zone: &name::Name, now: time::Now) -> Claim {
        self.issue_claim(me, zone, time::Now::new(now.mono, now.wall + EPOCH_JUMP))
    }

    fn issue_claim(&mut self, me: &member::Card, zone: &name::Name, now: time::Now) -> Claim {
        let former = self.of(zone).map_or(0, |claim| (claim.epoch >> OWNER_BITS) + 1);
        let owner = xxhash_rust::xxh3::xxh3_64(me.name.as_str().as_bytes()) % FENCE_STEP;
        let epoch = now.wall.max(former) << OWNER_BITS | owner;
        let claim = Claim {
            zone: zone.clone(),
            epoch,
            holder: me.name.clone(),
            incarnation: me.incarnation,
        };
        self.merge(&claim, now.mono);
        claim
    }
}

impl Candidacy {
    /// Whether this instance received the highest claim less than `grace` ago.
    fn is_recent(&self, grace: u64, now: u64) -> bool {
        self.claim_received.is_some_and(|received| now < received + grace)
    }
}

/// How long this instance waits for the instances of its zone that rank before it to claim first,
/// microseconds.
pub fn rank_delay(membership: &membership::Membership, now: u64) -> u64 {
    let me = membership.me();
    let better = membership.zone_peers(now).filter(|card| card.rank() < me.rank()).count();
    better as u64 * RANK_DELAY
}
