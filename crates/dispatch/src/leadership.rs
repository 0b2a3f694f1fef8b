//! Who schedules a zone.
//!
//! A claim needs no majority: two schedulers at a time cost work but harm nothing, because each
//! upstream takes orders of the highest fencing token only, and the token of a later claim is
//! higher. So a zone that is cut in pieces goes on with whatever pieces it has.

use std::collections;

use state::name;

use crate::{
    claim::{Claim, NEXT_FENCE, OWNER_BITS},
    evacuation, member, membership, time,
};

/// An instance that starts waits this long for an older scheduler to be heard of, microseconds.
/// First heartbeats are answered at once: that takes some 30 ms, and 130 ms where a stream has to
/// be dialled twice. After a loss of everything nobody serves meanwhile.
const SETTLE: u64 = 150 * time::MS;
/// An entry that starts without a configuration, or without an upstream that it knows of, could serve no
/// client, and has met nobody who could tell it; one that has too little processor time for its zone serves
/// it badly. They let keepers go first for this long, microseconds: after a loss of power everywhere entries are
/// back up to 400 ms before the keepers.
const UNSET: u64 = 1_000 * time::MS;
/// A claim that is news stands for this long, microseconds, whether or not its holder is heard yet: two
/// heartbeats. Without it instances that start together go above one another before they have met.
const NEWS: u64 = 300 * time::MS;
/// The same for an entry that has too little processor time for the zone, microseconds: after a restart of
/// everything it met the keeper of its zone 330 ms after it had heard of that one's claim.
const WEAK_NEWS: u64 = 1_000 * time::MS;
/// Each better candidate gets this much longer to claim first, microseconds: two heartbeats.
const TURN: u64 = 300 * time::MS;
/// An instance that hears nobody of its zone although there are others claims only after this
/// time more, microseconds: they may well have a scheduler.
const ALONE: u64 = 1_000 * time::MS;
/// An instance that found upstreams owned by somebody whom it does not hear leaves them alone this
/// long, microseconds: longer than most cuts.
const BARRED: u64 = 10_000 * time::MS;
/// A keeper takes its zone back from an entry that it has heard for this long, microseconds:
/// entries have a third of a keeper's processor time, and clients of their own. A keeper that
/// comes and goes would cost the zone a takeover (some 50 ms) each time.
const TAKE_BACK: u64 = 1_000 * time::MS;
/// A keeper leaves other zones alone this long after its start, microseconds: their own keepers may start
/// with it.
const ACQUAINTED: u64 = 2_000 * time::MS;
/// An epoch that was refused is raised by this much, more than clocks differ, milliseconds.
const LEAP: u64 = 60_000;

/// How an instance stands that may claim its zone.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it schedules the zone already.
    pub schedules: bool,
    /// Whether it has a configuration and knows an upstream of the zone: without them there is nothing to
    /// schedule.
    pub equipped: bool,
    /// Whether scheduling the zone would take more processor time than it has.
    pub weak: bool,
}

/// How an instance goes about a claim to one zone.
#[derive(Clone, Copy, Debug, Default)]
struct Candidacy {
    /// Since when nobody is heard who schedules it.
    vacant: Option<u64>,
    /// Since when an instance has it that is not a keeper of the zone.
    lent: Option<u64>,
    /// Until when it is left to others.
    blocked: u64,
    /// When the highest claim was heard of.
    heard: Option<u64>,
}

/// The highest claims that an instance has heard of.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    highest: collections::BTreeMap<name::Name, Claim>,
    candidacies: collections::BTreeMap<name::Name, Candidacy>,
}

impl Claims {
    /// Takes a claim; true if it is the highest for its zone now.
    pub fn merge(&mut self, claim: &Claim, now: u64) -> bool {
        let key = |claim: &Claim| (claim.epoch, claim.holder.clone());
        let held = self.highest.get(&claim.zone);
        if held.is_some_and(|held| key(held) >= key(claim)) {
            return false;
        }
        self.highest.insert(claim.zone.clone(), claim.clone());
        self.candidacy(&claim.zone).heard = Some(now);
        true
    }

    /// The claim to a zone.
    pub fn of(&self, zone: &name::Name) -> Option<&Claim> {
        self.highest.get(zone)
    }

    /// All claims.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.highest.values()
    }

    /// The schedulers that an instance of `zone` keeps in touch with: its own, and the one of the
    /// next zone, where jobs go for which there is no room at home. With all of them, heartbeats
    /// would grow with the product of zones and instances. Where its own zone is evacuated it needs
    /// the room of all others.
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

    /// Whether the scheduler of `zone` is heard.
    pub fn is_led(&self, zone: &name::Name, membership: &membership::Membership, now: u64) -> bool {
        self.of(zone).is_some_and(|claim| membership.holds(claim, now))
    }

    /// Claims the zone of `me` if nobody of it hears a scheduler and it is this instance's turn.
    pub fn campaign(
        &mut self,
        membership: &membership::Membership,
        candidate: Candidate,
        now: time::Now,
    ) -> Option<Claim> {
        let me = membership.me();
        let zone = &me.zone;
        if self.is_take_back_due(membership, now.mono) {
            return Some(self.raise(me, zone, now));
        }
        // A claim of its own that others remember and that it does not stand by any more.
        let disused = !candidate.schedules && self.is_own(me, zone);
        let led = self.is_led(zone, membership, now.mono) || membership.zone_peer_is_led(now.mono);
        let led = led && !disused;
        let entry = me.role == member::Role::Entry;
        let unfit = entry && (!candidate.equipped || candidate.weak);
        let settled = membership.start() + if unfit { UNSET } else { SETTLE };
        let news = if entry && candidate.weak { WEAK_NEWS } else { NEWS };
        let candidacy = self.candidacy(zone);
        let early = now.mono < settled.max(candidacy.blocked);
        if led || early || candidacy.is_news(news, now.mono) && !disused {
            candidacy.vacant = None;
            return None;
        }
        let vacant = *candidacy.vacant.get_or_insert(now.mono);
        let alone = if membership.is_cut_off(now.mono) { ALONE } else { 0 };
        // A keeper of another zone has more to spare.
        let behind = if entry && candidate.weak { TURN } else { 0 };
        if now.mono < vacant + turn(membership, now.mono) + alone + behind {
            return None;
        }
        candidacy.vacant = None;
        Some(self.raise(me, zone, now))
    }

    /// Claims another zone for a keeper if none is left there who could schedule it as well, and no other
    /// keeper comes first.
    ///
    /// The load this answers: 108 upstreams with 870 starts a second, whose keeper is lost. The next in
    /// rank are entries with 0.12 of a core; keepers of other zones use a sixth of their 0.6.
    pub fn adopt(
        &mut self,
        zone: &name::Name,
        schedules: bool,
        membership: &membership::Membership,
        now: time::Now,
    ) -> Option<Claim> {
        let me = membership.me();
        let led = self.is_led(zone, membership, now.mono) && !self.is_own(me, zone);
        let early = now.mono < membership.start() + ACQUAINTED;
        let orphan = !schedules && !led && !early && membership.is_orphan(zone, now.mono);
        let candidacy = self.candidacy(zone);
        if !orphan || now.mono < candidacy.blocked || candidacy.is_news(NEWS, now.mono) {
            candidacy.vacant = None;
            return None;
        }
        let vacant = *candidacy.vacant.get_or_insert(now.mono);
        if now.mono < vacant + membership.before(zone, now.mono) as u64 * TURN {
            return None;
        }
        candidacy.vacant = None;
        Some(self.raise(me, zone, now))
    }

    /// Whether this instance is the first keeper of a zone that an entry, or a keeper of another zone,
    /// has had for long enough.
    fn is_take_back_due(&mut self, membership: &membership::Membership, now: u64) -> bool {
        let me = membership.me();
        let lent = self.of(&me.zone).is_some_and(|claim| {
            let card = membership.peer(&claim.holder).and_then(|peer| peer.card.as_ref());
            membership.is_direct(&claim.holder, now)
                && membership.holds(claim, now)
                && card.is_some_and(|card| card.role == member::Role::Entry || card.zone != me.zone)
        });
        let first = membership.zone_peers(now).all(|card| card.rank() > me.rank());
        let candidacy = self.candidacy(&me.zone);
        if me.role != member::Role::Keeper || !lent || !first {
            candidacy.lent = None;
            return false;
        }
        let since = *candidacy.lent.get_or_insert(now);
        let due = now >= (since + TAKE_BACK).max(candidacy.blocked);
        if due {
            candidacy.lent = None;
        }
        due
    }

    /// Leaves the zone to a scheduler that is not heard. The own claim is taken back: told on once the
    /// scheduler is heard again it would outrank that one's, and nobody would schedule the zone.
    pub fn stand_down(&mut self, me: &member::Card, zone: &name::Name, now: u64) {
        self.candidacy(zone).blocked = now + BARRED;
        if self.is_own(me, zone) {
            self.highest.remove(zone);
        }
    }

    /// Whether the highest claim to a zone is that of `me`.
    fn is_own(&self, me: &member::Card, zone: &name::Name) -> bool {
        self.of(zone).is_some_and(|claim| claim.holder == me.name)
    }

    fn candidacy(&mut self, zone: &name::Name) -> &mut Candidacy {
        self.candidacies.entry(zone.clone()).or_default()
    }

    /// Claims a zone above a scheduler that is not heard of but has a higher fencing token.
    pub fn supersede(&mut self, me: &member::Card, zone: &name::Name, now: time::Now) -> Claim {
        self.raise(me, zone, time::Now::new(now.mono, now.wall + LEAP))
    }

    fn raise(&mut self, me: &member::Card, zone: &name::Name, now: time::Now) -> Claim {
        let former = self.of(zone).map_or(0, |claim| (claim.epoch >> OWNER_BITS) + 1);
        let owner = xxhash_rust::xxh3::xxh3_64(me.name.as_str().as_bytes()) % NEXT_FENCE;
        let epoch = now.wall.max(former) << OWNER_BITS | owner;
        let claim = Claim { zone: zone.clone(), epoch, holder: me.name.clone(), life: me.life };
        self.merge(&claim, now.mono);
        claim
    }
}

impl Candidacy {
    /// Whether the highest claim was first heard of less than `news` ago.
    fn is_news(&self, news: u64, now: u64) -> bool {
        self.heard.is_some_and(|heard| now < heard + news)
    }
}

/// How long this instance lets those that rank before it go first, microseconds.
pub fn turn(membership: &membership::Membership, now: u64) -> u64 {
    let me = membership.me();
    let better = membership.zone_peers(now).filter(|card| card.rank() < me.rank()).count();
    better as u64 * TURN
}
