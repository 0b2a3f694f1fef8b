//! Group membership and failure detection.
//!
//! Instances discover one another through the seeds in their settings and exchange lists of the
//! instances that they know. An instance is *alive* for another while heartbeats arrive in both
//! directions, directly or relayed by a third instance.

use std::collections;

use state::name;

use crate::{
    messages::{claim, member, message, time},
    tables::{
        peer::{FORGET_AFTER, Peer, SILENCE_TIMEOUT},
        redial, watch_list,
    },
};

/// Interval between two heartbeats to the same instance, microseconds. Three intervals fit into
/// [`SILENCE_TIMEOUT`], so that two heartbeats in a row may be lost.
pub const HEARTBEAT_INTERVAL: u64 = 150 * time::MS;
/// Heartbeats that arrive within this time after a stop of this instance were sent before the stop
/// ended, microseconds.
const STALE_TIME: u64 = 50 * time::MS;
/// Minimum interval between two whole lists sent to the same instance because its digest differs,
/// microseconds.
const SYNC_INTERVAL: u64 = 500 * time::MS;
/// An instance answers the heartbeats of an instance that it does not choose itself for this long
/// after that one last chose it, microseconds.
const ANSWER_TIME: u64 = 1_000 * time::MS;

/// Maximum number of instances that an instance tries to reach after a restart: each costs a name
/// of 20 bytes and an attempt to connect in 60 ms. Thanks to them entries that come back before the
/// keepers of their zone have a configuration as soon as any keeper is there.
const MAX_RECALLED: usize = 256;

/// The instances that this one knows, and when their heartbeats arrived.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: member::Card,
    start: u64,
    pub(super) seeds: Vec<name::Name>,
    pub(crate) peers: collections::BTreeMap<name::Name, Peer>,
    pub(super) tombstones: collections::BTreeMap<name::Name, u64>,
    distrust_until: u64,
    /// When this instance last found that its clock had been stopped.
    clock_resumed: u64,
    next_heartbeat: u64,
    pub(super) digest: u64,
    pub(crate) watch_list: watch_list::WatchList,
    window: watch_list::Window,
    redial_budget: redial::Budget,
}

impl Membership {
    /// Creates a membership that knows only the seeds and this instance.
    pub fn new(me: member::Card, seeds: &[name::Name], now: u64) -> Self {
        let mut membership = Self {
            me,
            start: now,
            seeds: Vec::new(),
            peers: collections::BTreeMap::new(),
            tombstones: collections::BTreeMap::new(),
            distrust_until: 0,
            clock_resumed: 0,
            next_heartbeat: 0,
            digest: 0,
            watch_list: watch_list::WatchList::default(),
            window: watch_list::Window::default(),
            redial_budget: redial::Budget::new(now),
        };
        membership.set_seeds(seeds, now);
        membership.refresh(now);
        membership
    }

    /// Replaces the seeds, and adds unknown ones to the known instances.
    pub fn set_seeds(&mut self, seeds: &[name::Name], now: u64) {
        self.seeds = seeds.iter().filter(|name| **name != self.me.name).cloned().collect();
        for name in self.seeds.clone() {
            let fresh = Peer { since: now, ..Peer::default() };
            self.peers.entry(name).or_insert(fresh);
        }
    }

    /// Adds instances by name, such as those known before a restart, so that heartbeats go to them.
    pub fn add_known(&mut self, names: &[name::Name], now: u64) {
        for name in names.iter().filter(|name| **name != self.me.name) {
            let fresh = Peer { since: now, ..Peer::default() };
            self.peers.entry(name.clone()).or_insert(fresh);
        }
    }

    /// The instances to contact after a restart, sorted by name: up to `MAX_RECALLED`, where
    /// keepers come first, then instances of its zone, then the others by rank.
    pub fn recall_list(&self) -> Vec<name::Name> {
        let cards = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let mut cards: Vec<_> = cards.collect();
        cards.sort_by_key(|card| {
            (card.role != member::Role::Keeper, card.zone != self.me.zone, card.rank())
        });
        let names = cards.into_iter().take(MAX_RECALLED).map(|card| card.name.clone());
        let mut names: Vec<_> = names.collect();
        names.sort();
        names
    }

    /// The card of this instance.
    pub fn me(&self) -> &member::Card {
        &self.me
    }

    /// When this instance started.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Names of all other known instances.
    pub fn names(&self) -> impl Iterator<Item = &name::Name> {
        self.peers.keys()
    }

    /// The record of a known instance.
    pub fn peer(&self, name: &name::Name) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// The role of another instance, if its card is known.
    pub fn role(&self, name: &name::Name) -> Option<member::Role> {
        Some(self.peers.get(name)?.card.as_ref()?.role)
    }

    /// Whether heartbeats of the instance arrive and, where they come directly, its echoes show
    /// that it receives those of this one.
    pub fn is_alive(&self, name: &name::Name, now: u64) -> bool {
        *name == self.me.name || self.peers.get(name).is_some_and(|peer| peer.is_alive(now))
    }

    /// Upper bound on what the clock of a live instance shows now, microseconds. With it the age of
    /// a message follows from the sender's time stamp. The last heartbeat cannot serve as the
    /// reference: where all messages of the instance wait for seconds, it is as old as the rest.
    pub fn clock(&self, name: &name::Name, now: u64) -> Option<u64> {
        if *name == self.me.name {
            return Some(now);
        }
        let peer = self.peers.get(name).filter(|peer| peer.is_alive(now))?;
        peer.clock_bound.map(|bound| bound.clock(now))
    }

    /// Summary of the last heartbeat from an instance, to be sent back to it.
    pub fn last_heartbeat(&self, name: &name::Name) -> Option<message::HeartbeatAck> {
        let peer = self.peers.get(name)?;
        let ping = peer.ping.as_ref()?;
        let (incarnation, clock, upstreams) = (ping.card.incarnation, ping.clock, ping.upstreams);
        let adopted = ping
            .adopted
            .iter()
            .map(|adopted_zone| (adopted_zone.zone.clone(), adopted_zone.upstreams))
            .collect();
        Some(message::HeartbeatAck { incarnation, clock, at: peer.read, upstreams, adopted })
    }

    /// Whether heartbeats to and from the instance arrive without a relay.
    pub fn is_direct(&self, name: &name::Name, now: u64) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_direct(now))
    }

    /// Whether the holder of a claim is alive, has the incarnation of the claim, and is not
    /// draining.
    pub fn is_holder_alive(&self, claim: &claim::Claim, now: u64) -> bool {
        if claim.holder == self.me.name {
            return claim.incarnation == self.me.incarnation;
        }
        self.peers.get(&claim.holder).is_some_and(|peer| {
            let same = peer.card.as_ref().is_some_and(|card| card.incarnation == claim.incarnation);
            same && peer.is_alive(now) && !peer.is_draining()
        })
    }

    /// All known keepers except this instance.
    pub fn keepers(&self) -> impl Iterator<Item = &name::Name> {
        let keeper =
            |peer: &Peer| peer.card.as_ref().is_some_and(|card| card.role == member::Role::Keeper);
        self.peers.iter().filter(move |(_, peer)| keeper(peer)).map(|(name, _)| name)
    }

    /// The keepers except this instance that are alive and not draining.
    pub(crate) fn lasting_keepers(&self, now: u64) -> impl Iterator<Item = &name::Name> {
        let lasts = move |name: &&name::Name| {
            let is_draining = self.peers.get(*name).is_some_and(Peer::is_draining);
            self.is_alive(name, now) && !is_draining
        };
        self.keepers().filter(lasts)
    }

    /// Live instances whose configuration is at least as new as `version`, in the order in which to
    /// ask them: first those with a direct connection, and among these keepers before entries and
    /// this zone before others. The order among equals differs from instance to instance, so that
    /// no source serves all.
    pub fn sources(&self, version: u64, now: u64) -> Vec<&name::Name> {
        let has = |peer: &Peer| peer.ping.as_ref().is_some_and(|ping| ping.version >= version);
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(now) && has(peer));
        let mut holders: Vec<_> = alive.collect();
        let own = name_hash(&self.me.name);
        holders.sort_by_key(|(name, peer)| {
            let card = peer.card.as_ref();
            let keeper = card.is_some_and(|card| card.role == member::Role::Keeper);
            let near = card.is_some_and(|card| card.zone == self.me.zone);
            (!peer.is_direct(now), !keeper, !near, name_hash(name) ^ own)
        });
        holders.into_iter().map(|(name, _)| name).collect()
    }

    /// Whether a live keeper announced `version` or a newer one when it had run for `time`, by its
    /// own clock.
    pub fn is_announced_after(&self, version: u64, time: u64, now: u64) -> bool {
        self.live_keepers(now)
            .any(|(peer, ping)| ping.version >= version && ping.clock >= peer.first_clock + time)
    }

    /// Whether there are live keepers, none of which announces `version` or a newer one.
    pub fn is_unannounced(&self, version: u64, now: u64) -> bool {
        let mut keepers = self.live_keepers(now).peekable();
        keepers.peek().is_some() && keepers.all(|(_, ping)| ping.version < version)
    }

    /// Whether a keeper has announced just `version` in answer to a heartbeat that this instance sent
    /// at `since` or later, by its own clock.
    pub fn is_confirmed_since(&self, version: u64, since: u64) -> bool {
        let pings = self.peers.values().filter_map(|peer| peer.ping.as_ref());
        let keepers = pings.filter(|ping| ping.card.role == member::Role::Keeper);
        keepers.into_iter().any(|ping| {
            ping.version == version && ping.ack.as_ref().is_some_and(|ack| ack.clock >= since)
        })
    }

    /// The live keepers with their last heartbeats.
    fn live_keepers(&self, now: u64) -> impl Iterator<Item = (&Peer, &message::Ping)> {
        let live = self.peers.values().filter(move |peer| peer.is_alive(now));
        let pings = live.filter_map(|peer| Some((peer, peer.ping.as_ref()?)));
        pings.filter(|(_, ping)| ping.card.role == member::Role::Keeper)
    }

    /// Other instances that were heard within `time`; `None` if this instance has not listened for
    /// that long, or is one of so many that it does not listen to all.
    pub fn heard_within(&self, time: u64, now: u64) -> Option<Vec<name::Name>> {
        if !self.is_small() || now < self.start.max(self.distrust_until) + time {
            return None;
        }
        let heard = self.peers.iter().filter(|(_, peer)| now < peer.heartbeat_at + time);
        Some(heard.map(|(name, _)| name.clone()).collect())
    }

    /// Records a heartbeat; returns true if it is the first of its sender's incarnation.
    pub fn record_heartbeat(&mut self, ping: message::Ping, direct: bool, now: u64) -> bool {
        let name = ping.card.name.clone();
        let fresh = Peer { since: now, ..Peer::default() };
        let peer = self.peers.entry(name).or_insert(fresh);
        let known = peer.card.as_ref().map_or(0, |card| card.incarnation);
        let later = |held: &message::Ping| {
            held.card.incarnation == ping.card.incarnation && held.clock > ping.clock
        };
        if ping.card.incarnation < known || peer.ping.as_ref().is_some_and(later) {
            return false;
        }
        // The last heartbeat decides, not the card: the list of another instance may have brought
        // the new incarnation before.
        let former = peer.ping.as_ref().map(|held| held.card.incarnation);
        let first = former.is_none_or(|incarnation| incarnation < ping.card.incarnation);
        if first {
            peer.clock_bound = None;
            peer.first_clock = ping.clock;
        }
        peer.read = now;
        let proof = ping.ack.as_ref().filter(|ack| {
            ack.incarnation == self.me.incarnation
                && (self.clock_resumed..=now).contains(&ack.clock)
        });
        peer.update_bound(proof, ping.clock, now);
        let trusted = now >= self.distrust_until;
        if trusted {
            peer.heartbeat_at = now;
        }
        if trusted && ping.watching {
            peer.watched_at = now;
        }
        if direct && trusted {
            if now >= peer.direct_at + SILENCE_TIMEOUT {
                peer.direct_since = now;
            }
            peer.direct_at = now;
            if ping.echo {
                let former = std::mem::replace(&mut peer.echo_at, now);
                self.redial_budget.record_answer(&mut peer.stream, former, now);
            }
        }
        let changed = peer.card.as_ref().is_none_or(|held| ping.card.supersedes(held));
        if changed {
            peer.card = Some(ping.card.clone());
        }
        peer.ping = Some(ping);
        if first || changed {
            self.refresh(now);
        }
        first
    }

    /// Marks all instances as silent, and treats heartbeats that arrive within the next
    /// `STALE_TIME` as old: they waited while this instance was stopped.
    pub fn suspect_all(&mut self, now: u64) {
        self.distrust_until = now + STALE_TIME;
        self.reset_clocks(now);
        for peer in self.peers.values_mut() {
            peer.heartbeat_at = 0;
            peer.direct_at = 0;
            peer.echo_at = 0;
        }
    }

    /// Handles that this instance's clock was stopped until now: the bounds on the clocks of other
    /// instances are invalid, and so are their reports of earlier heartbeats of this one.
    pub fn reset_clocks(&mut self, now: u64) {
        self.clock_resumed = now;
        for peer in self.peers.values_mut() {
            peer.clock_bound = None;
        }
    }

    /// Whether the watch list says that this instance watches the instance of `card`.
    pub(crate) fn is_watched(&self, card: &member::Card) -> bool {
        self.watch_list.watches(&self.me, card, self.window.size())
    }

    /// Whether there are so few instances that each watches all instances of its zone and all
    /// keepers.
    pub fn is_small(&self) -> bool {
        self.watch_list.is_small()
    }

    /// Whether an instance receives news of a zone's upstreams without scheduling the zone.
    pub fn receives_records(&self, card: &member::Card, zone: &name::Name) -> bool {
        self.watch_list.receives_records(card, zone)
    }

    /// Watches more instances of the zone while the zone has no known scheduler. `leads` says that
    /// this instance schedules it, or may have to share it with the other first ones.
    pub fn update_window(&mut self, leads: bool, led: bool, now: u64) {
        let knows = leads || self.me.role == member::Role::Keeper;
        let front = self.watch_list.front(&self.me.zone);
        self.window.set(knows, led, front, self.start + SILENCE_TIMEOUT, now);
    }

    /// Whether this instance wants heartbeats from another one; `used` says that it works with that
    /// one.
    pub fn is_chosen(&self, name: &name::Name, used: bool) -> bool {
        let near = |peer: &Peer| peer.card.as_ref().is_none_or(|card| self.is_watched(card));
        used || self.peers.get(name).is_some_and(near)
    }

    /// Whether to send the whole list of instances now to an instance whose digest of the list
    /// differs. If so, the list counts as sent.
    pub fn is_sync_due(&mut self, name: &name::Name, now: u64) -> bool {
        // When the whole system starts the list grows with each message, so it is worth sending
        // only after a while.
        let settled = now >= self.start + SYNC_INTERVAL;
        settled && self.peers.get_mut(name).is_some_and(|peer| take_due(&mut peer.synced, now))
    }

    /// Whether to send the whole list of upstreams now to an instance whose digest of the list
    /// differs. If so, the list counts as sent. After a restart this list differs one message later
    /// than that of instances, since an instance sends no digest of a zone to an instance that it
    /// does not know.
    pub fn is_listing_due(&mut self, name: &name::Name, now: u64) -> bool {
        self.peers.get_mut(name).is_some_and(|peer| take_due(&mut peer.listed, now))
    }

    /// The instances to which to send a heartbeat now. `used` says which instances this one works
    /// with.
    pub fn due(&mut self, used: impl Fn(&name::Name) -> bool, now: u64) -> Vec<name::Name> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        // All heartbeats are sent together: one wake-up of the sender serves them all.
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            let near = peer.card.as_ref();
            let near =
                near.is_none_or(|c| self.watch_list.watches(&self.me, c, self.window.size()));
            let answered = peer.watched_at > 0 && now < peer.watched_at + ANSWER_TIME;
            if near || answered || used(name) {
                peer.sending_since.get_or_insert(now);
                peer.answers = !near && !used(name);
                due.push(name.clone());
            } else {
                peer.sending_since = None;
            }
        }
        due
    }

    /// Whether a heartbeat came directly from the instance within [`SILENCE_TIMEOUT`].
    /// Heartbeats to that instance report this.
    pub fn echo(&self, name: &name::Name, now: u64) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.direct_at > 0 && now < peer.direct_at + SILENCE_TIMEOUT)
    }

    /// Instances whose streams seem dead and may be reconnected now.
    pub fn streams_to_reconnect(&mut self, now: u64) -> Vec<name::Name> {
        self.redial_budget.refill(now);
        let own = name_hash(&self.me.name);
        let streams = || self.peers.values().filter_map(|peer| peer.last_answer(now));
        let silent = streams().filter(|answered| redial::is_silent(*answered, now)).count();
        let most = silent * 2 >= streams().count();
        let mut dead = Vec::new();
        for (name, peer) in &mut self.peers {
            let Some(answered) = peer.last_answer(now) else { continue };
            if peer.stream.is_due(answered, most, name_hash(name) ^ own, now)
                && self.redial_budget.spend(&mut peer.stream, now)
            {
                dead.push(name.clone());
            }
        }
        dead
    }

    /// Number of reconnects of streams so far.
    pub fn redials(&self) -> u64 {
        self.redial_budget.count()
    }

    /// Forgets watched instances that have been silent for `FORGET_AFTER`, and returns their
    /// names. The loss of instances that this one does not watch comes from the lists of others.
    pub fn forget(&mut self, now: u64) -> Vec<name::Name> {
        let seeds = &self.seeds;
        let gone = |(name, peer): (&name::Name, &Peer)| {
            let last = peer.heartbeat_at.max(peer.since).max(self.distrust_until);
            let due = now >= last + FORGET_AFTER && peer.is_linked && !seeds.contains(name);
            due.then(|| name.clone())
        };
        let gone: Vec<_> = self.peers.iter().filter_map(gone).collect();
        for name in &gone {
            let incarnation =
                self.peers.remove(name).and_then(|peer| peer.card).map(|card| card.incarnation);
            self.tombstones.insert(name.clone(), incarnation.unwrap_or(0));
        }
        if !gone.is_empty() {
            self.refresh(now);
        }
        gone
    }
}

/// Whether an action last done at `last`, if ever, is due again. If so, it counts as done now.
fn take_due(last: &mut Option<u64>, now: u64) -> bool {
    let due = last.is_none_or(|last| now >= last + SYNC_INTERVAL);
    if due {
        *last = Some(now);
    }
    due
}

pub(crate) fn name_hash(name: &name::Name) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()) as u32
}
