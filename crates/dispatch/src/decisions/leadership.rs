//! Election of the scheduler of a zone.
//!
//! A claim needs no majority: two schedulers at the same time cost work but do no harm, because
//! each upstream accepts orders with the highest fencing token only, and the token of a later claim
//! is higher. A zone that a network partition splits therefore goes on in each of its parts.

use std::{cmp, collections};

use state::name;

use crate::{
    decisions::{
        candidates::{self, RANK_DELAY, Vacancy},
        startup,
    },
    messages::{
        claim::{Claim, FENCE_STEP, OWNER_BITS},
        evacuation, member,
        parts::Parts,
        time,
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
/// An entry that has too little CPU time for its zone waits this long for the answers of keepers of
/// other zones, microseconds.
const ANSWER_DELAY: u64 = 60 * time::MS;
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
    /// Number of upstreams of the zone that it knows.
    pub upstreams: u64,
}

/// Times that an instance records to decide when to claim a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Candidacy {
    /// Time since which this instance has received no heartbeats of a scheduler of some parts of
    /// the zone, and these parts.
    vacant_since: Option<(u64, Parts)>,
    /// Time since which a scheduler of the zone is an instance that is not a keeper of it.
    foreign_since: Option<u64>,
    /// Time until which this instance does not claim the zone.
    blocked_until: u64,
}

/// A claim and when this instance received it, microseconds.
#[derive(Clone, Debug)]
struct Held {
    claim: Claim,
    received: u64,
}

/// The claims that an instance has received and that hold for a part of a zone: for each part the
/// claim with the highest epoch does.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// The claims to each zone, those with higher epochs first.
    zones: collections::BTreeMap<name::Name, smallvec::SmallVec<[Held; 1]>>,
    candidacies: collections::BTreeMap<name::Name, Candidacy>,
    /// Number of claims that were refused because they cannot hold.
    refused: u64,
}

impl Claims {
    /// Merges a claim; returns true if it is new and holds for a part of its zone now. The result
    /// does not depend on the order in which claims are merged.
    pub fn merge(&mut self, claim: &Claim, now: u64) -> bool {
        if claim.parts.is_empty() {
            return false;
        }
        let held = self.zones.entry(claim.zone.clone()).or_default();
        if held.iter().any(|held| held.claim == *claim) {
            return false;
        }
        held.push(Held { claim: claim.clone(), received: now });
        let key = |held: &Held| {
            let Claim { epoch, incarnation, parts, .. } = held.claim;
            cmp::Reverse((epoch, held.claim.holder.clone(), incarnation, parts))
        };
        held.sort_by_cached_key(key);
        let mut higher = Parts::NONE;
        held.retain(|held| {
            let effective = !higher.covers(held.claim.parts);
            higher = higher.plus(held.claim.parts);
            effective
        });
        held.iter().any(|held| held.claim == *claim)
    }

    /// Counts a claim that was refused because it cannot hold, and returns the number of all.
    pub fn count_refused(&mut self) -> u64 {
        self.refused += 1;
        self.refused
    }

    /// The claims to a zone, each with the parts for which it holds.
    fn effective(&self, zone: &name::Name) -> impl Iterator<Item = (&Held, Parts)> {
        let held = self.zones.get(zone).map_or(&[][..], smallvec::SmallVec::as_slice);
        held.iter().scan(Parts::NONE, |higher, held| {
            let parts = held.claim.parts.minus(*higher);
            *higher = higher.plus(held.claim.parts);
            Some((held, parts))
        })
    }

    /// The claims that hold for a part of a zone, those with higher epochs first.
    pub fn of_zone(&self, zone: &name::Name) -> impl Iterator<Item = &Claim> {
        self.zones.get(zone).into_iter().flatten().map(|held| &held.claim)
    }

    /// The claim that holds for a part of a zone.
    pub fn of_part(&self, zone: &name::Name, part: Parts) -> Option<&Claim> {
        self.of_zone(zone).find(|claim| claim.parts.overlaps(part))
    }

    /// The zones with claims.
    pub(crate) fn zone_names(&self) -> impl Iterator<Item = &name::Name> {
        self.zones.iter().filter(|(_, held)| !held.is_empty()).map(|(zone, _)| zone)
    }

    /// The holder of a part of a zone, and when this instance received its claim, microseconds.
    pub(crate) fn holder_of(&self, zone: &name::Name, part: Parts) -> Option<(&name::Name, u64)> {
        let held = self.zones.get(zone)?.iter().find(|held| held.claim.parts.overlaps(part))?;
        Some((&held.claim.holder, held.received))
    }

    /// The claims to all zones.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.zones.values().flatten().map(|held| &held.claim)
    }

    /// Whether a claim holds for all its parts.
    pub fn is_current(&self, claim: &Claim) -> bool {
        self.effective(&claim.zone)
            .any(|(held, parts)| held.claim == *claim && parts == claim.parts)
    }

    /// Whether an instance holds a part of a zone.
    pub fn has_holder(&self, zone: &name::Name, name: &name::Name) -> bool {
        self.of_zone(zone).any(|claim| claim.holder == *name)
    }

    /// The parts of a zone for which the claims of this incarnation of an instance hold.
    pub fn parts_of(&self, me: &member::Card, zone: &name::Name) -> Parts {
        let is_own = |claim: &Claim| claim.holder == me.name && claim.incarnation == me.incarnation;
        let own = self.effective(zone).filter(|(held, _)| is_own(&held.claim));
        own.map(|(_, parts)| parts).collect()
    }

    /// Claims of the schedulers that an instance of `zone` exchanges heartbeats with: those of its
    /// own zone, and those of the next zone, which takes the jobs that its own zone has no room
    /// for. With the schedulers of all zones, the number of heartbeats would grow with the product
    /// of zones and instances. If its own zone is evacuated the instance needs the room of all
    /// other zones.
    pub fn watched<'a>(
        &'a self,
        zone: &'a name::Name,
        evacuations: &'a evacuation::Evacuations,
    ) -> impl Iterator<Item = &'a Claim> {
        let after = self.zones.range::<str, _>((
            std::ops::Bound::Excluded(zone.as_str()),
            std::ops::Bound::Unbounded,
        ));
        let next = after.chain(&self.zones);
        let is_next = move |(name, held): &(&'a name::Name, &smallvec::SmallVec<[Held; 1]>)| {
            *name != zone && !evacuations.has(name) && !held.is_empty()
        };
        let count = if evacuations.has(zone) { self.zones.len() } else { 1 };
        let next = next.filter(is_next).take(count);
        let next = next.flat_map(|(_, held)| held).map(|held| &held.claim);
        self.of_zone(zone).chain(next)
    }

    /// The parts of a zone whose holders are alive and not draining.
    pub fn led_parts(
        &self,
        zone: &name::Name,
        membership: &membership::Membership,
        now: u64,
    ) -> Parts {
        let led = |(held, parts): (&Held, Parts)| {
            if membership.is_holder_alive(&held.claim, now) { parts } else { Parts::NONE }
        };
        self.effective(zone).map(led).collect()
    }

    /// Whether each part of a zone has a holder that is alive and not draining.
    pub fn is_led(&self, zone: &name::Name, membership: &membership::Membership, now: u64) -> bool {
        self.led_parts(zone, membership, now).is_all()
    }

    /// Claims the parts of this instance's own zone for which no instance of the zone receives
    /// heartbeats of a scheduler and every candidate that comes before this one has had its time
    /// to claim.
    pub fn campaign(
        &mut self,
        membership: &membership::Membership,
        candidate: Candidate,
        now: time::Now,
    ) -> Option<Claim> {
        let me = membership.me();
        let zone = &me.zone;
        if self.is_reclaim_due(membership, now.mono) {
            return Some(self.issue_claim(me, zone, Parts::ALL, now));
        }
        let entry = me.role == member::Role::Entry;
        let unfit = entry && (!candidate.equipped || candidate.low_capacity);
        let informed = !entry && startup::is_vacant(membership, self.of_zone(zone).next());
        let wait = if informed { 0 } else { STARTUP_WAIT };
        let earliest = membership.start() + if unfit { UNFIT_WAIT } else { wait };
        let grace = if entry && candidate.low_capacity { LOW_CAPACITY_GRACE } else { CLAIM_GRACE };
        let vacant = self.vacant_parts(membership, candidate, grace, now.mono);
        let candidacy = self.candidacy(zone);
        if vacant.is_empty() || now.mono < earliest.max(candidacy.blocked_until) {
            candidacy.vacant_since = None;
            return None;
        }
        let since = match candidacy.vacant_since {
            Some((since, parts)) if parts.covers(vacant) => since,
            _ => now.mono,
        };
        candidacy.vacant_since = Some((since, vacant));
        let isolated = if membership.is_cut_off(now.mono) { ISOLATED_DELAY } else { 0 };
        // A keeper of another zone has more CPU time to spare, so it may claim first. The first
        // instances of a zone ask for heartbeats of such keepers, if there are any.
        let hopes = membership.sees_keeper(now.mono) || !membership.is_front();
        let capacity_delay = match entry && candidate.low_capacity {
            true if hopes => RANK_DELAY,
            true => ANSWER_DELAY,
            false => 0,
        };
        let age = now.mono.checked_sub(since + isolated + capacity_delay)?;
        let vacancy = Vacancy { parts: vacant, upstreams: candidate.upstreams, age };
        let due = self.due_parts(&vacancy, membership, candidate.schedules, now.mono);
        if due.is_empty() {
            return None;
        }
        self.candidacy(zone).vacant_since = None;
        // A keeper that bears the zone takes all of it at once, since it would reclaim the parts
        // of entries a little later.
        let alone = !entry && candidates::bears(me, candidate.upstreams);
        let held = if alone { Parts::ALL } else { self.parts_of(me, zone) };
        Some(self.issue_claim(me, zone, held.plus(due), now))
    }

    /// The parts of this instance's zone that have no scheduler as far as it knows.
    fn vacant_parts(
        &self,
        membership: &membership::Membership,
        candidate: Candidate,
        grace: u64,
        now: u64,
    ) -> Parts {
        let me = membership.me();
        // Other instances still report this instance's own claims, but it does not schedule the
        // zone any more.
        let is_abandoned = |held: &Held| !candidate.schedules && held.claim.holder == me.name;
        let mut led = membership.zone_peers_led(now);
        for (held, parts) in self.effective(&me.zone) {
            let recent = now < held.received + grace;
            if is_abandoned(held) {
                led = led.minus(parts);
            } else if recent || membership.is_holder_alive(&held.claim, now) {
                led = led.plus(parts);
            }
        }
        Parts::ALL.minus(led)
    }

    /// The vacant parts that it is this instance's turn to claim.
    fn due_parts(
        &self,
        vacancy: &Vacancy,
        membership: &membership::Membership,
        schedules: bool,
        now: u64,
    ) -> Parts {
        let me = membership.me();
        let others = membership.zone_peers(now).map(|card| {
            let is_holder =
                |claim: &Claim| claim.holder == card.name && membership.is_holder_alive(claim, now);
            let holds = self.of_zone(&me.zone).any(is_holder);
            let informed = membership.receives_records(card, &me.zone);
            candidates::Candidate { card, informed, holds }
        });
        let informed = membership.receives_records(me, &me.zone);
        vacancy.due(candidates::Candidate { card: me, informed, holds: schedules }, others)
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
        let led = self.is_led(zone, membership, now.mono) && !self.has_holder(zone, &me.name);
        let early = now.mono < membership.start() + ADOPTION_WAIT;
        let orphan = !schedules && !led && !early && membership.is_orphan(zone, now.mono);
        let recent = self.zones.get(zone).into_iter().flatten();
        let recent = recent.map(|held| held.received).max();
        let is_recent = recent.is_some_and(|received| now.mono < received + CLAIM_GRACE);
        let candidacy = self.candidacy(zone);
        if !orphan || now.mono < candidacy.blocked_until || is_recent {
            candidacy.vacant_since = None;
            return None;
        }
        let (vacant, _) = *candidacy.vacant_since.get_or_insert((now.mono, Parts::ALL));
        if now.mono < vacant + membership.keepers_before(zone, now.mono) as u64 * RANK_DELAY {
            return None;
        }
        candidacy.vacant_since = None;
        Some(self.issue_claim(me, zone, Parts::ALL, now))
    }

    /// Whether this instance is a keeper, ranks first in its zone, and an entry or a keeper of
    /// another zone has scheduled parts of the zone for at least [`RECLAIM_DELAY`].
    fn is_reclaim_due(&mut self, membership: &membership::Membership, now: u64) -> bool {
        let me = membership.me();
        let foreign = self.of_zone(&me.zone).any(|claim| {
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
        if let Some(held) = self.zones.get_mut(zone) {
            held.retain(|held| held.claim.holder != me.name);
        }
    }

    fn candidacy(&mut self, zone: &name::Name) -> &mut Candidacy {
        self.candidacies.entry(zone.clone()).or_default()
    }

    /// Claims parts of a zone above an unknown scheduler that has a higher fencing token.
    pub fn outbid(
        &mut self,
        me: &member::Card,
        zone: &name::Name,
        parts: Parts,
        now: time::Now,
    ) -> Claim {
        self.issue_claim(me, zone, parts, time::Now::new(now.mono, now.wall + EPOCH_JUMP))
    }

    /// Claims parts of a zone above all known claims to it.
    pub(crate) fn issue_claim(
        &mut self,
        me: &member::Card,
        zone: &name::Name,
        parts: Parts,
        now: time::Now,
    ) -> Claim {
        let highest = self.of_zone(zone).map(|claim| claim.epoch).max();
        let former = highest.map_or(0, |epoch| (epoch >> OWNER_BITS) + 1);
        let owner = xxhash_rust::xxh3::xxh3_64(me.name.as_str().as_bytes()) % FENCE_STEP;
        let epoch = now.wall.max(former) << OWNER_BITS | owner;
        let claim = Claim {
            zone: zone.clone(),
            epoch,
            holder: me.name.clone(),
            incarnation: me.incarnation,
            parts,
        };
        self.merge(&claim, now.mono);
        claim
    }
}

/// How long this instance waits for the instances of its zone that rank before it to claim first,
/// microseconds.
pub fn rank_delay(membership: &membership::Membership, now: u64) -> u64 {
    let me = membership.me();
    let better = membership.zone_peers(now).filter(|card| card.rank() < me.rank()).count();
    better as u64 * RANK_DELAY
}
