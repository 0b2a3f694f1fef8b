//! Membership by zone: which instances of a zone are alive, and which one should schedule it.

use state::name;

use crate::{
    messages::{member, parts},
    tables::{membership::Membership, watch_list},
};

impl Membership {
    /// The other instances that are alive and not shutting down.
    fn available(&self, now: u64) -> impl Iterator<Item = &member::Card> {
        let alive = self.peers.values().filter(move |peer| peer.is_alive(now));
        alive.filter(|peer| !peer.is_draining()).filter_map(|peer| peer.card.as_ref())
    }

    /// The other instances of this zone that are alive and not shutting down.
    pub fn zone_peers(&self, now: u64) -> impl Iterator<Item = &member::Card> {
        self.available(now).filter(|card| card.zone == self.me().zone)
    }

    /// Whether this instance is among the first of its zone, which take the zone over.
    pub fn is_front(&self) -> bool {
        self.watch_list.is_first(self.me(), self.watch_list.front(&self.me().zone))
    }

    /// Whether this instance is in the smaller part of its zone after a partition: it reaches less
    /// than half of the known instances that it watches, itself included, or exactly half without
    /// the one that ranks first.
    pub fn is_cut_off(&self, now: u64) -> bool {
        let cards = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let watched = cards.filter(|card| card.zone == self.me().zone && self.is_watched(card));
        let mut zone: Vec<_> = watched.collect();
        zone.push(self.me());
        let alive = |card: &member::Card| self.is_alive(&card.name, now);
        let count = zone.iter().filter(|card| alive(card)).count();
        let first = zone.iter().min_by_key(|card| card.rank());
        match (count * 2).cmp(&zone.len()) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => !first.is_some_and(|card| alive(card)),
            std::cmp::Ordering::Greater => false,
        }
    }

    /// The parts of this zone from whose schedulers another instance of the zone receives
    /// heartbeats.
    pub fn zone_peers_led(&self, now: u64) -> parts::Parts {
        let ping = |card: &member::Card| self.peers.get(&card.name)?.ping.as_ref();
        self.zone_peers(now).filter_map(ping).map(|ping| ping.led).collect()
    }

    /// Whether a keeper of any zone is alive and not shutting down, as far as heartbeats arrive.
    pub fn sees_keeper(&self, now: u64) -> bool {
        self.available(now).any(|card| card.role == member::Role::Keeper)
    }

    /// Whether a keeper of a zone is alive and not shutting down.
    fn has_keeper(&self, zone: &name::Name, now: u64) -> bool {
        let mut available = self.available(now);
        available.any(|card| card.role == member::Role::Keeper && card.zone == *zone)
    }

    /// Number of live keepers that come before this one when a zone without keepers needs a
    /// scheduler: first those of the zones that follow it in the order of names, then the others.
    pub fn keepers_before(&self, zone: &name::Name, now: u64) -> usize {
        let order =
            |card: &member::Card| (card.zone <= *zone, card.zone.clone(), card.name.clone());
        let keepers = self.available(now);
        let keepers =
            keepers.filter(|card| card.role == member::Role::Keeper && card.zone != *zone);
        keepers.filter(|card| order(card) < order(self.me())).count()
    }

    /// Whether this keeper is the first candidate if a zone loses its own keepers.
    pub fn is_next(&self, zone: &name::Name, now: u64) -> bool {
        self.keepers_before(zone, now) == 0
    }

    /// The entries among the first [`watch_list::FRONT`] instances of a zone by rank.
    pub fn hubs(&self, zone: &name::Name) -> Vec<name::Name> {
        let first = self.watch_list.first(zone, watch_list::FRONT).iter();
        first.filter(|name| self.role(name) == Some(member::Role::Entry)).cloned().collect()
    }

    /// The other instances of a zone that this one knows.
    pub fn zone_members(&self, zone: &name::Name) -> Vec<name::Name> {
        let of_zone = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.card.as_ref().is_some_and(|card| card.zone == *zone));
        of_zone.map(|(name, _)| name.clone()).collect()
    }

    /// Whether this instance receives direct heartbeats from most of the hubs of another zone.
    pub fn reaches(&self, zone: &name::Name, now: u64) -> bool {
        let hubs = self.hubs(zone);
        let direct = hubs.iter().filter(|name| self.is_direct(name, now)).count();
        direct * 2 > hubs.len()
    }

    /// Whether no instance of a zone could schedule it as well as a keeper of another zone: no
    /// keeper of the zone is alive, most of its hubs are in direct contact, and each of these hubs
    /// has too little CPU time for the zone and receives no heartbeats of a scheduler.
    pub fn is_orphan(&self, zone: &name::Name, now: u64) -> bool {
        let hubs = self.hubs(zone);
        let direct = hubs.iter().filter(|name| self.is_direct(name, now));
        let pings = direct.filter_map(|name| self.peers.get(name)?.ping.as_ref());
        !self.has_keeper(zone, now)
            && self.reaches(zone, now)
            && pings.into_iter().all(|ping| ping.low_capacity && !ping.led.is_all())
    }
}
