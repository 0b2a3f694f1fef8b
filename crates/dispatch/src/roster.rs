//! Which instances there are, and which of them are heard.
//!
//! Instances find one another through the seeds of their settings and tell each other whom they
//! know. An instance is *alive* for another while heartbeats arrive in both directions, directly
//! or relayed by a third one.

use std::collections;

use state::name;

use crate::{claim, lane, member, message, time};

/// Between two heartbeats to the same instance, microseconds. Three of them fit into
/// [`SILENT`], so that two in a row may be lost.
pub const PING: u64 = 150 * time::MS;
/// An instance that was silent this long is taken for lost, microseconds. It has to be well below
/// the time after which a client submits a job again (1,300 ms), less a lease.
pub const SILENT: u64 = 500 * time::MS;
/// Up to so many other instances, everybody hears its whole zone and all keepers; heartbeats then
/// take under 1% of a core each.
const FEW: usize = 16;
/// Entries of a zone that hear all of it, next to its keepers: two may be lost with them.
const DEPUTIES: usize = 3;
/// After a stop, what is heard within this time was sent before, microseconds.
const STALE: u64 = 50 * time::MS;
/// A stream that seems to carry nothing is dialled anew after this, microseconds.
const REDIAL: u64 = 700 * time::MS;
/// Two digests that differ are followed by the whole list at most this often, microseconds.
const SYNC: u64 = 500 * time::MS;
/// An instance that was not heard for this long is forgotten, microseconds: longer than any
/// outage that ends with the instance coming back at its address.
const FORGET: u64 = 30_000 * time::MS;
/// An instance answers heartbeats of one that it does not choose itself this long, microseconds.
const RETURN: u64 = 2_000 * time::MS;

/// What is known of another instance.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// How it introduced itself.
    pub card: Option<member::Card>,
    /// Its last heartbeat.
    pub ping: Option<message::Ping>,
    heard: u64,
    direct: u64,
    echoed: u64,
    redialled: u64,
    synced: u64,
    since: u64,
    /// When its last heartbeat was read.
    read: u64,
    ahead: Option<Ahead>,
}

/// How far the clock of another instance is ahead of this one's at most, microseconds: it read a
/// heartbeat of this instance at some time of its own, and that was sent before. This bound holds
/// however late messages are; what they wait only makes it wider.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    by: i64,
    at: u64,
}

/// The instances that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    me: member::Card,
    start: u64,
    seeds: Vec<name::Name>,
    peers: collections::BTreeMap<name::Name, Peer>,
    forgotten: collections::BTreeMap<name::Name, u64>,
    distrust: u64,
    /// When this instance's clock was last found to have stood still.
    stood: u64,
    beat: u64,
    digest: u64,
    deputies: Vec<name::Name>,
}

impl Roster {
    /// A roster that knows the seeds.
    pub fn new(me: member::Card, seeds: &[name::Name], now: u64) -> Self {
        let mut roster = Self {
            me,
            start: now,
            seeds: Vec::new(),
            peers: collections::BTreeMap::new(),
            forgotten: collections::BTreeMap::new(),
            distrust: 0,
            stood: 0,
            beat: 0,
            digest: 0,
            deputies: Vec::new(),
        };
        roster.set_seeds(seeds, now);
        roster.refresh();
        roster
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[name::Name], now: u64) {
        self.seeds = seeds.iter().filter(|name| **name != self.me.name).cloned().collect();
        for name in self.seeds.clone() {
            let fresh = Peer { since: now, ..Peer::default() };
            self.peers.entry(name).or_insert(fresh);
        }
    }

    /// This instance.
    pub fn me(&self) -> &member::Card {
        &self.me
    }

    /// When this instance started.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Every other instance that is known.
    pub fn names(&self) -> impl Iterator<Item = &name::Name> {
        self.peers.keys()
    }

    /// What is known of an instance.
    pub fn peer(&self, name: &name::Name) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// What another instance does, if it has introduced itself.
    pub fn role(&self, name: &name::Name) -> Option<member::Role> {
        Some(self.peers.get(name)?.card.as_ref()?.role)
    }

    /// Whether heartbeats of the instance arrive and its answers show that it hears this one.
    pub fn is_alive(&self, name: &name::Name, now: u64) -> bool {
        *name == self.me.name || self.peers.get(name).is_some_and(|peer| peer.is_alive(now))
    }

    /// What the clock of an instance that is alive shows at most now, microseconds. How long ago
    /// the instance said something follows from its stamp. Its last heartbeat would not do: where
    /// all its messages wait for seconds, that is as old as the rest.
    pub fn clock(&self, name: &name::Name, now: u64) -> Option<u64> {
        if *name == self.me.name {
            return Some(now);
        }
        let peer = self.peers.get(name).filter(|peer| peer.is_alive(now))?;
        peer.ahead.map(|ahead| ahead.clock(now))
    }

    /// The last heartbeat of an instance, as it is told.
    pub fn last_heard(&self, name: &name::Name) -> Option<message::Heard> {
        let peer = self.peers.get(name)?;
        let ping = peer.ping.as_ref()?;
        let (life, clock, upstreams) = (ping.card.life, ping.clock, ping.upstreams);
        Some(message::Heard { life, clock, at: peer.read, upstreams })
    }

    /// Whether the instance is alive without a relay.
    pub fn is_direct(&self, name: &name::Name, now: u64) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_direct(now))
    }

    /// Whether the holder of a claim is alive, in the same life, and stays.
    pub fn holds(&self, claim: &claim::Claim, now: u64) -> bool {
        if claim.holder == self.me.name {
            return claim.life == self.me.life;
        }
        self.peers.get(&claim.holder).is_some_and(|peer| {
            let same = peer.card.as_ref().is_some_and(|card| card.life == claim.life);
            same && peer.is_alive(now) && !peer.is_draining()
        })
    }

    /// The other instances of this zone that are alive and stay.
    pub fn mates(&self, now: u64) -> impl Iterator<Item = &member::Card> {
        let alive = self.peers.values().filter(move |peer| peer.is_alive(now));
        let staying = alive.filter(|peer| !peer.is_draining());
        staying.filter_map(|peer| peer.card.as_ref()).filter(|card| card.zone == self.me.zone)
    }

    /// Whether this instance hears the smaller part of its zone: less than half of the instances
    /// that are known, itself included, or half without the one that ranks first.
    pub fn is_cut_off(&self, now: u64) -> bool {
        let cards = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let near = cards.filter(|card| card.zone == self.me.zone && self.is_near(card));
        let mut zone: Vec<_> = near.collect();
        zone.push(&self.me);
        let heard = |card: &member::Card| self.is_alive(&card.name, now);
        let count = zone.iter().filter(|card| heard(card)).count();
        let first = zone.iter().min_by_key(|card| card.rank());
        match (count * 2).cmp(&zone.len()) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => !first.is_some_and(|card| heard(card)),
            std::cmp::Ordering::Greater => false,
        }
    }

    /// Whether another instance of this zone hears the zone's scheduler.
    pub fn mate_is_led(&self, now: u64) -> bool {
        let led = |peer: &Peer| peer.ping.as_ref().is_some_and(|ping| ping.led);
        self.mates(now).any(|card| self.peers.get(&card.name).is_some_and(led))
    }

    /// All keepers that are known, this instance left out.
    pub fn keepers(&self) -> impl Iterator<Item = &name::Name> {
        let keeper =
            |peer: &Peer| peer.card.as_ref().is_some_and(|card| card.role == member::Role::Keeper);
        self.peers.iter().filter(move |(_, peer)| keeper(peer)).map(|(name, _)| name)
    }

    /// Instances that are heard and have a configuration at least as new as `version`, the best to ask
    /// first: those heard directly, keepers of this zone, other keepers, and among equals in another
    /// order at each instance, so that none of them serves all.
    pub fn holders(&self, version: u64, now: u64) -> Vec<&name::Name> {
        let has = |peer: &Peer| peer.ping.as_ref().is_some_and(|ping| ping.version >= version);
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(now) && has(peer));
        let mut holders: Vec<_> = alive.collect();
        let own = short(&self.me.name);
        holders.sort_by_key(|(name, peer)| {
            let card = peer.card.as_ref();
            let keeper = card.is_some_and(|card| card.role == member::Role::Keeper);
            let near = card.is_some_and(|card| card.zone == self.me.zone);
            (!peer.is_direct(now), !keeper, !near, short(name) ^ own)
        });
        holders.into_iter().map(|(name, _)| name).collect()
    }

    /// Takes a heartbeat; true if it is the first of this life of its sender.
    pub fn heard(&mut self, ping: message::Ping, direct: bool, now: u64) -> bool {
        let name = ping.card.name.clone();
        let fresh = Peer { since: now, ..Peer::default() };
        let peer = self.peers.entry(name).or_insert(fresh);
        let known = peer.card.as_ref().map_or(0, |card| card.life);
        let later =
            |held: &message::Ping| held.card.life == ping.card.life && held.clock > ping.clock;
        if ping.card.life < known || peer.ping.as_ref().is_some_and(later) {
            return false;
        }
        // By its last heartbeat: others may have told of the new life before.
        let former = peer.ping.as_ref().map(|held| held.card.life);
        let first = former.is_none_or(|life| life < ping.card.life);
        if first {
            peer.ahead = None;
        }
        peer.read = now;
        let proof = ping.heard.filter(|heard| {
            heard.life == self.me.life && (self.stood..=now).contains(&heard.clock)
        });
        peer.compare(proof, ping.clock, now);
        let trusted = now >= self.distrust;
        if trusted {
            peer.heard = now;
        }
        if direct && trusted {
            peer.direct = now;
            if ping.echo {
                peer.echoed = now;
            }
        }
        peer.card = Some(ping.card.clone());
        peer.ping = Some(ping);
        if first {
            self.refresh();
        }
        first
    }

    /// Counts everybody as silent, and what is heard within the next moment as old: it waited
    /// while this instance was stopped.
    pub fn distrust(&mut self, now: u64) {
        self.distrust = now + STALE;
        self.stood_still(now);
        for peer in self.peers.values_mut() {
            peer.heard = 0;
            peer.direct = 0;
            peer.echoed = 0;
        }
    }

    /// This instance's clock stood still until now: what is known of others' clocks is void, and
    /// so is what they heard of this one before.
    pub fn stood_still(&mut self, now: u64) {
        self.stood = now;
        for peer in self.peers.values_mut() {
            peer.ahead = None;
        }
    }

    /// Takes a higher life than any that others know of this instance, and tells whether it had to:
    /// the time of day was set back since they began, and nobody would believe this one.
    pub fn outlive(&mut self, cards: &[member::Card]) -> bool {
        let own = cards.iter().filter(|card| card.name == self.me.name);
        let Some(last) = own.map(|card| card.life).max().filter(|life| *life > self.me.life) else {
            return false;
        };
        self.me.life = last + 1;
        self.refresh();
        true
    }

    /// Learns of instances that another one knows or has forgotten; gives those that are forgotten
    /// here, too, by that.
    pub fn learn(
        &mut self,
        cards: Vec<member::Card>,
        gone: Vec<(name::Name, u64)>,
        now: u64,
    ) -> Vec<name::Name> {
        let mut lost = Vec::new();
        for (name, life) in gone {
            let stale = self.peers.get(&name).is_some_and(|peer| {
                let old = peer.card.as_ref().is_some_and(|card| card.life <= life);
                old && now >= peer.heard + FORGET
            });
            if stale && !self.seeds.contains(&name) {
                self.peers.remove(&name);
                lost.push(name.clone());
            }
            if !self.peers.contains_key(&name) {
                let held = self.forgotten.entry(name).or_default();
                *held = life.max(*held);
            }
        }
        for card in cards {
            let stale = self.forgotten.get(&card.name).is_some_and(|life| card.life <= *life);
            if card.name == self.me.name || stale {
                continue;
            }
            let fresh = Peer { since: now, ..Peer::default() };
            let peer = self.peers.entry(card.name.clone()).or_insert(fresh);
            if peer.card.as_ref().is_none_or(|held| held.life < card.life) {
                peer.card = Some(card);
            }
        }
        self.refresh();
        lost
    }

    /// The instances that were forgotten, with their last life.
    pub fn gone(&self) -> Vec<(name::Name, u64)> {
        self.forgotten.iter().map(|(name, life)| (name.clone(), *life)).collect()
    }

    /// Every instance that introduced itself, this one included.
    pub fn cards(&self) -> Vec<member::Card> {
        let others = self.peers.values().filter_map(|peer| peer.card.clone());
        others.chain([self.me.clone()]).collect()
    }

    /// Digest of [`Self::cards`].
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Works out anew what follows from who there is.
    fn refresh(&mut self) {
        let one = |name: &name::Name, life: u64| {
            xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), life)
        };
        let others = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let hashes = others.map(|card| one(&card.name, card.life));
        self.digest = hashes.fold(one(&self.me.name, self.me.life), |sum, hash| sum ^ hash);
        let others = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let mut zone: Vec<_> =
            others.chain([&self.me]).filter(|c| c.zone == self.me.zone).collect();
        zone.sort_by_key(|card| card.rank());
        let keepers = zone.iter().filter(|card| card.role == member::Role::Keeper).count();
        self.deputies =
            zone.into_iter().take(keepers + DEPUTIES).map(|card| card.name.clone()).collect();
    }

    /// Whether this instance is to hear `card` in any case. Where instances are few everybody
    /// hears the zone and all keepers. Where they are many, entries hear the keepers and deputies
    /// of their zone, and only these hear everybody else, by answering.
    fn is_near(&self, card: &member::Card) -> bool {
        let keeper = card.role == member::Role::Keeper;
        if self.peers.len() <= FEW {
            return card.zone == self.me.zone || keeper;
        }
        let both = keeper && self.me.role == member::Role::Keeper;
        both || self.deputies.contains(&card.name)
    }

    /// Whether the whole list is due to an instance whose digest differs.
    pub fn is_sync_due(&mut self, name: &name::Name, now: u64) -> bool {
        let Some(peer) = self.peers.get_mut(name) else { return false };
        let due = now >= peer.synced + SYNC;
        if due {
            peer.synced = now;
        }
        due
    }

    /// The instances that a heartbeat is due to. `chosen` says whom this instance wants to hear.
    pub fn due(&mut self, chosen: impl Fn(&name::Name) -> bool, now: u64) -> Vec<name::Name> {
        if now < self.beat {
            return Vec::new();
        }
        // All at once: one wake-up of the sender serves them all.
        self.beat = now + PING;
        let wanted = |(name, peer): &(&name::Name, &Peer)| {
            let near = peer.card.as_ref().is_none_or(|card| self.is_near(card));
            near || chosen(name) || peer.heard > 0 && now < peer.heard + RETURN
        };
        self.peers.iter().filter(wanted).map(|(name, _)| name.clone()).collect()
    }

    /// Whether the instance was heard directly lately, as its heartbeats are to be told.
    pub fn echo(&self, name: &name::Name, now: u64) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.direct > 0 && now < peer.direct + SILENT)
    }

    /// Streams that seem to carry nothing any more.
    pub fn mute(&mut self, now: u64) -> Vec<name::Name> {
        let mut mute = Vec::new();
        for (name, peer) in &mut self.peers {
            let spoke = peer.direct > 0 && now < peer.direct + FORGET;
            let last = peer.echoed.max(peer.redialled).max(peer.since);
            if spoke && now >= last + REDIAL {
                peer.redialled = now;
                mute.push(name.clone());
            }
        }
        mute
    }

    /// Forgets instances that are gone for long, and names them. Of those that this instance does
    /// not hear itself it learns from the others.
    pub fn forget(&mut self, now: u64) -> Vec<name::Name> {
        let seeds = &self.seeds;
        let near = |peer: &Peer| {
            peer.heard > 0 || peer.card.as_ref().is_none_or(|card| self.is_near(card))
        };
        let gone = |(name, peer): (&name::Name, &Peer)| {
            let last = peer.heard.max(peer.since).max(self.distrust);
            let due = now >= last + FORGET && near(peer) && !seeds.contains(name);
            due.then(|| name.clone())
        };
        let gone: Vec<_> = self.peers.iter().filter_map(gone).collect();
        for name in &gone {
            let life = self.peers.remove(name).and_then(|peer| peer.card).map(|card| card.life);
            self.forgotten.insert(name.clone(), life.unwrap_or(0));
        }
        if !gone.is_empty() {
            self.refresh();
        }
        gone
    }

    /// An instance that hears `name` and is heard directly here.
    pub fn relay(&self, name: &name::Name, now: u64) -> Option<&name::Name> {
        let hash = short(name);
        let hears = |peer: &Peer| peer.ping.as_ref().is_some_and(|ping| ping.hears.contains(&hash));
        let mut direct = self.peers.iter().filter(|(_, peer)| peer.is_direct(now) && hears(peer));
        direct.next().map(|(name, _)| name)
    }

    /// Digests of the names of the instances that are heard directly.
    pub fn hears(&self, now: u64) -> Vec<u32> {
        let direct = self.peers.iter().filter(|(_, peer)| peer.is_direct(now));
        direct.map(|(name, _)| short(name)).collect()
    }
}

impl Peer {
    fn is_direct(&self, now: u64) -> bool {
        self.direct > 0 && now < self.direct + SILENT && now < self.echoed + SILENT
    }

    fn is_alive(&self, now: u64) -> bool {
        let relayed = self.heard > self.direct && now < self.heard + SILENT;
        self.is_direct(now) || relayed
    }

    /// Bounds its clock by a heartbeat of this instance that it has read, and by what it shows
    /// itself.
    fn compare(&mut self, proof: Option<message::Heard>, clock: u64, now: u64) {
        // It is further ahead than it can be: this instance's clock stood still unnoticed.
        if self.ahead.is_some_and(|ahead| clock > ahead.clock(now)) {
            self.ahead = None;
        }
        let Some(heard) = proof else { return };
        let ahead = Ahead { by: heard.at as i64 - heard.clock as i64, at: heard.clock };
        let closer = self.ahead.is_none_or(|held| ahead.clock(now) < held.clock(now));
        if closer && clock <= ahead.clock(now) {
            self.ahead = Some(ahead);
        }
    }

    fn is_draining(&self) -> bool {
        self.ping.as_ref().is_some_and(|ping| ping.draining)
    }
}

impl Ahead {
    /// What the other clock shows at most.
    fn clock(&self, now: u64) -> u64 {
        let since = now.saturating_sub(self.at);
        (now + since * lane::SLOW_CLOCK / 1_000).saturating_add_signed(self.by)
    }
}

fn short(name: &name::Name) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()) as u32
}
