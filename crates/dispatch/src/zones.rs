//! What the membership tells of zones: who of them is heard, and who is to schedule them.

use state::name;

use crate::{member, membership::Membership, peer::Peer, watch_list};

impl Membership {
    /// The other instances that are alive and stay.
    fn staying(&self, now: u64) -> impl Iterator<Item = &member::Card> {
        let alive = self.peers.values().filter(move |peer| peer.is_alive(now));
        alive.filter(|peer| !peer.is_draining()).filter_map(|peer| peer.card.as_ref())
    }

    /// Those of them that are in this zone.
    pub fn zone_peers(&self, now: u64) -> impl Iterator<Item = &member::Card> {
        self.staying(now).filter(|card| card.zone == self.me().zone)
    }

    /// Whether this instance hears the smaller part of its zone: less than half of the instances
    /// that are known, itself included, or half without the one that ranks first.
    pub fn is_cut_off(&self, now: u64) -> bool {
        let cards = self.peers.values().filter_map(|peer| peer.card.as_ref());
        let near = cards.filter(|card| card.zone == self.me().zone && self.is_watched(card));
        let mut zone: Vec<_> = near.collect();
        zone.push(self.me());
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
    pub fn zone_peer_is_led(&self, now: u64) -> bool {
        let led = |peer: &Peer| peer.ping.as_ref().is_some_and(|ping| ping.led);
        self.zone_peers(now).any(|card| self.peers.get(&card.name).is_some_and(led))
    }

    /// Whether a keeper of a zone is alive and stays.
    fn has_keeper(&self, zone: &name::Name, now: u64) -> bool {
        let mut staying = self.staying(now);
        staying.any(|card| card.role == member::Role::Keeper && card.zone == *zone)
    }

    /// How many keepers that are heard come before this one if a zone without any needs a scheduler:
    /// those of the zones that follow it, in the order of their names.
    pub fn before(&self, zone: &name::Name, now: u64) -> usize {
        let after =
            |card: &member::Card| (card.zone <= *zone, card.zone.clone(), card.name.clone());
        let keepers = self.staying(now);
        let keepers =
            keepers.filter(|card| card.role == member::Role::Keeper && card.zone != *zone);
        keepers.filter(|card| after(card) < after(self.me())).count()
    }

    /// Whether this keeper comes first if a zone loses its own.
    pub fn is_next(&self, zone: &name::Name, now: u64) -> bool {
        self.before(zone, now) == 0
    }

    /// The entries among the first of a zone by rank.
    pub fn hubs(&self, zone: &name::Name) -> Vec<name::Name> {
        let first = self.watch_list.first(zone, watch_list::FRONT).iter();
        first.filter(|name| self.role(name) == Some(member::Role::Entry)).cloned().collect()
    }

    /// All instances of a zone that are known.
    pub fn of_zone(&self, zone: &name::Name) -> Vec<name::Name> {
        let of_zone = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.card.as_ref().is_some_and(|card| card.zone == *zone));
        of_zone.map(|(name, _)| name.clone()).collect()
    }

    /// Whether this instance hears most of the hubs of another zone.
    pub fn reaches(&self, zone: &name::Name, now: u64) -> bool {
        let hubs = self.hubs(zone);
        let heard = hubs.iter().filter(|name| self.is_direct(name, now)).count();
        heard * 2 > hubs.len()
    }

    /// Whether a zone has none who could schedule it as well as a keeper of another zone: no keeper of
    /// it is heard, most of its hubs are, all of those are too weak for it, and none hears a scheduler.
    pub fn is_orphan(&self, zone: &name::Name, now: u64) -> bool {
        let hubs = self.hubs(zone);
        let heard = hubs.iter().filter(|name| self.is_direct(name, now));
        let pings = heard.filter_map(|name| self.peers.get(name)?.ping.as_ref());
        !self.has_keeper(zone, now)
            && self.reaches(zone, now)
            && pings.into_iter().all(|ping| ping.weak && !ping.led)
    }
}
