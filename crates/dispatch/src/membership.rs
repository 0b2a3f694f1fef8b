//! Which instances there are, and which of them are heard.
//!
//! Instances find one another through the seeds of their settings and tell each other whom they
//! know. An instance is *alive* for another while heartbeats arrive in both directions, directly
//! or relayed by a third one.

use std::collections;

use state::name;

use crate::{
    claim, member, message,
    peer::{FORGET, Peer, SILENT},
    redial, time, watch_list,
};

/// Between two heartbeats to the same instance, microseconds. Three of them fit into
/// [`SILENT`], so that two in a row may be lost.
pub const PING: u64 = 150 * time::MS;
/// After a stop, what is heard within this time was sent before, microseconds.
const STALE: u64 = 50 * time::MS;
/// Two digests that differ are followed by the whole list at most this often, microseconds.
const SYNC: u64 = 500 * time::MS;
/// An instance answers one that it does not choose itself this long after it was chosen by that
/// one, microseconds.
const RETURN: u64 = 1_000 * time::MS;

/// Most instances that one looks for after a restart: each is a name of 20 bytes and an attempt to connect
/// in 60 ms. Entries that come back before the keepers of their zone have a configuration by that as soon
/// as any keeper is there.
const RECALLED: usize = 256;

/// The instances that this one knows.
#[derive(Clone, Debug)]
pub struct Membership {
    me: member::Card,
    start: u64,
    seeds: Vec<name::Name>,
    pub(crate) peers: collections::BTreeMap<name::Name, Peer>,
    forgotten: collections::BTreeMap<name::Name, u64>,
    distrust: u64,
    /// When this instance's clock was last found to have stood still.
    stood: u64,
    beat: u64,
    digest: u64,
    pub(crate) watch_list: watch_list::WatchList,
    window: watch_list::Window,
    dials: redial::Budget,
}

impl Membership {
    /// A membership that knows the seeds.
    pub fn new(me: member::Card, seeds: &[name::Name], now: u64) -> Self {
        let mut membership = Self {
            me,
            start: now,
            seeds: Vec::new(),
            peers: collections::BTreeMap::new(),
            forgotten: collections::BTreeMap::new(),
            distrust: 0,
            stood: 0,
            beat: 0,
            digest: 0,
            watch_list: watch_list::WatchList::default(),
            window: watch_list::Window::default(),
            dials: redial::Budget::new(now),
        };
        membership.set_seeds(seeds, now);
        membership.refresh(now);
        membership
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[name::Name], now: u64) {
        self.seeds = seeds.iter().filter(|name| **name != self.me.name).cloned().collect();
        for name in self.seeds.clone() {
            let fresh = Peer { since: now, ..Peer::default() };
            self.peers.entry(name).or_insert(fresh);
        }
    }

    /// Looks for instances that it knew before a restart.
    pub fn add_known(&mut self, names: &[name::Name], now: u64) {
        for name in names.iter().filter(|name| **name != self.me.name) {
            let fresh = Peer { since: now, ..Peer::default() };
            self.peers.entry(name.clone()).or_insert(fresh);
        }
    }

    /// Whom an instance looks for after a restart: keepers first, then its zone, then the others by rank.
    pub fn neighbours(&self) -> Vec<name::Name> {
        let cards = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let mut cards: Vec<_> = cards.collect();
        cards.sort_by_key(|card| {
            (card.role != member::Role::Keeper, card.zone != self.me.zone, card.rank())
        });
        let names = cards.into_iter().take(RECALLED).map(|card| card.name.clone());
        let mut names: Vec<_> = names.collect();
        names.sort();
        names
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
        let adopted = ping
            .adopted
            .iter()
            .map(|adopted_zone| (adopted_zone.zone.clone(), adopted_zone.upstreams))
            .collect();
        Some(message::Heard { life, clock, at: peer.read, upstreams, adopted })
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
        let proof = ping.heard.as_ref().filter(|heard| {
            heard.life == self.me.life && (self.stood..=now).contains(&heard.clock)
        });
        peer.compare(proof, ping.clock, now);
        let trusted = now >= self.distrust;
        if trusted {
            peer.heard = now;
        }
        if trusted && ping.chosen {
            peer.chosen = now;
        }
        if direct && trusted {
            if now >= peer.direct + SILENT {
                peer.met = now;
            }
            peer.direct = now;
            if ping.echo {
                let former = std::mem::replace(&mut peer.echoed, now);
                self.dials.answered(&mut peer.stream, former, now);
            }
        }
        peer.card = Some(ping.card.clone());
        peer.ping = Some(ping);
        if first {
            self.refresh(now);
        }
        first
    }

    /// Counts everybody as silent, and what is heard within the next moment as old: it waited
    /// while this instance was stopped.
    pub fn suspect_all(&mut self, now: u64) {
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

    /// Takes a higher life than any that others know of this instance or have forgotten, and tells
    /// whether it had to: the time of day was set back since the former began, or this one stood
    /// still for so long that nobody would believe it.
    pub fn raise_life(
        &mut self,
        cards: &[member::Card],
        gone: &[(name::Name, u64)],
        now: u64,
    ) -> bool {
        let known = cards.iter().filter(|card| card.name == self.me.name).map(|card| card.life);
        let known = known.filter(|life| *life > self.me.life);
        let forgotten = gone.iter().filter(|(name, _)| *name == self.me.name);
        let forgotten = forgotten.map(|(_, life)| *life).filter(|life| *life >= self.me.life);
        let Some(last) = known.chain(forgotten).max() else { return false };
        self.me.life = last + 1;
        self.refresh(now);
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
        self.refresh(now);
        lost
    }

    /// Whether an instance that is known was forgotten in this life: others do not learn of it.
    pub fn is_forgotten(&self, name: &name::Name) -> bool {
        let life = self.peers.get(name).and_then(|peer| Some(peer.card.as_ref()?.life));
        let last = self.forgotten.get(name);
        last.is_some_and(|last| life.is_some_and(|life| life <= *last))
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
    fn refresh(&mut self, now: u64) {
        let one = |name: &name::Name, life: u64| {
            xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), life)
        };
        let others = || self.peers.values().filter_map(|peer| peer.card.as_ref());
        let hashes = others().map(|card| one(&card.name, card.life));
        self.digest = hashes.fold(one(&self.me.name, self.me.life), |sum, hash| sum ^ hash);
        self.watch_list = watch_list::WatchList::new(others().chain([&self.me]));
        for peer in self.peers.values_mut() {
            let ought = peer.card.as_ref().is_none_or(|card| self.watch_list.ought(&self.me, card));
            let ought_before = std::mem::replace(&mut peer.ought, ought);
            if ought && !ought_before {
                // Its silence counts from here on.
                peer.since = now;
            }
        }
    }

    /// Whether this instance is to hear `card` in any case.
    pub(crate) fn is_watched(&self, card: &member::Card) -> bool {
        self.watch_list.hears(&self.me, card, self.window.size())
    }

    /// Whether instances are so few that everybody hears its zone and all keepers.
    pub fn is_few(&self) -> bool {
        self.watch_list.is_few()
    }

    /// Whether an instance hears of the upstreams of a zone without scheduling it.
    pub fn is_told(&self, card: &member::Card, zone: &name::Name) -> bool {
        self.watch_list.is_told(card, zone)
    }

    /// Hears more of the zone while nobody is heard who schedules it. `leads` says that this
    /// instance does.
    pub fn widen(&mut self, leads: bool, led: bool, now: u64) {
        let knows = leads || self.me.role == member::Role::Keeper;
        self.window.set(knows, led, self.start + SILENT, now);
    }

    /// Whether this instance wants to hear another one; `used` says that it works with it.
    pub fn is_chosen(&self, name: &name::Name, used: bool) -> bool {
        let near = |peer: &Peer| peer.card.as_ref().is_none_or(|card| self.is_watched(card));
        used || self.peers.get(name).is_some_and(near)
    }

    /// Whether the whole list of instances is due to one whose digest of it differs.
    pub fn is_sync_due(&mut self, name: &name::Name, now: u64) -> bool {
        // At a start of everything who is known grows with each message; what there is after a while
        // is worth sending.
        let settled = now >= self.start + SYNC;
        settled && self.peers.get_mut(name).is_some_and(|peer| is_due(&mut peer.synced, now))
    }

    /// The same of upstreams. These differ a message later than instances after a restart, since who
    /// does not know an instance does not tell it a digest of its zone.
    pub fn is_listing_due(&mut self, name: &name::Name, now: u64) -> bool {
        self.peers.get_mut(name).is_some_and(|peer| is_due(&mut peer.listed, now))
    }

    /// The instances that a heartbeat is due to. `used` says whom this instance works with.
    pub fn due(&mut self, used: impl Fn(&name::Name) -> bool, now: u64) -> Vec<name::Name> {
        if now < self.beat {
            return Vec::new();
        }
        // All at once: one wake-up of the sender serves them all.
        self.beat = now + PING;
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            let near = peer.card.as_ref();
            let near = near.is_none_or(|c| self.watch_list.hears(&self.me, c, self.window.size()));
            let answered = peer.chosen > 0 && now < peer.chosen + RETURN;
            if near || answered || used(name) {
                peer.due.get_or_insert(now);
                peer.answers = !near && !used(name);
                due.push(name.clone());
            } else {
                peer.due = None;
            }
        }
        due
    }

    /// Whether the instance was heard directly lately, as its heartbeats are to be told.
    pub fn echo(&self, name: &name::Name, now: u64) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.direct > 0 && now < peer.direct + SILENT)
    }

    /// Streams that seem to carry nothing any more and that may be dialled anew now.
    pub fn unresponsive(&mut self, now: u64) -> Vec<name::Name> {
        self.dials.refill(now);
        let own = short(&self.me.name);
        let streams = || self.peers.values().filter_map(|peer| peer.answered(now));
        let silent = streams().filter(|answered| redial::is_silent(*answered, now)).count();
        let most = silent * 2 >= streams().count();
        let mut mute = Vec::new();
        for (name, peer) in &mut self.peers {
            let Some(answered) = peer.answered(now) else { continue };
            if peer.stream.is_due(answered, most, short(name) ^ own, now)
                && self.dials.spend(&mut peer.stream, now)
            {
                mute.push(name.clone());
            }
        }
        mute
    }

    /// Streams that were dialled anew so far.
    pub fn redials(&self) -> u64 {
        self.dials.count()
    }

    /// Forgets instances that are gone for long, and names them. Of those that it need not hear
    /// this instance learns from the others.
    pub fn forget(&mut self, now: u64) -> Vec<name::Name> {
        let seeds = &self.seeds;
        let gone = |(name, peer): (&name::Name, &Peer)| {
            let last = peer.heard.max(peer.since).max(self.distrust);
            let due = now >= last + FORGET && peer.ought && !seeds.contains(name);
            due.then(|| name.clone())
        };
        let gone: Vec<_> = self.peers.iter().filter_map(gone).collect();
        for name in &gone {
            let life = self.peers.remove(name).and_then(|peer| peer.card).map(|card| card.life);
            self.forgotten.insert(name.clone(), life.unwrap_or(0));
        }
        if !gone.is_empty() {
            self.refresh(now);
        }
        gone
    }
}

/// Whether something is due that was last done at `last`, if ever; it counts as done then.
fn is_due(last: &mut Option<u64>, now: u64) -> bool {
    let due = last.is_none_or(|last| now >= last + SYNC);
    if due {
        *last = Some(now);
    }
    due
}

pub(crate) fn short(name: &name::Name) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()) as u32
}
