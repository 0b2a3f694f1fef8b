//! The list of instances that all instances share: how lists are merged, and their digest.
//!
//! The list holds one identity for each name. Which one of two replaces the other follows from the
//! two alone ([`member::Card::supersedes`]), so that all instances hold the same list once each has
//! received all identities, whatever their order.

use state::name;

use crate::{
    messages::member,
    tables::{
        membership::Membership,
        peer::{FORGET_AFTER, Peer},
        watch_list,
    },
};

impl Membership {
    /// Raises this instance's incarnation above any that other instances know or have forgotten,
    /// and returns whether that was necessary: the time of day was set back since the former
    /// incarnation began, or this instance was stopped for so long that the others have forgotten
    /// it and would not accept it.
    pub fn raise_incarnation(
        &mut self,
        cards: &[member::Card],
        gone: &[(name::Name, u64)],
        now: u64,
    ) -> bool {
        let known =
            cards.iter().filter(|card| card.name == self.me.name).map(|card| card.incarnation);
        let known = known.filter(|incarnation| *incarnation > self.me.incarnation);
        let forgotten = gone.iter().filter(|(name, _)| *name == self.me.name);
        let forgotten = forgotten
            .map(|(_, incarnation)| *incarnation)
            .filter(|incarnation| *incarnation >= self.me.incarnation);
        let Some(last) = known.chain(forgotten).max() else { return false };
        self.me.incarnation = last + 1;
        self.refresh(now);
        true
    }

    /// Lowers this instance's capacity to the least that another process has stated under its name
    /// and incarnation, and returns whether that was necessary. Without this the lists of the
    /// instances would never become the same.
    pub fn lower_capacity(&mut self, cards: &[member::Card], now: u64) -> bool {
        let same = |card: &&member::Card| {
            card.name == self.me.name && card.incarnation == self.me.incarnation
        };
        let least = cards.iter().filter(same).map(|card| card.capacity).min();
        let Some(least) = least.filter(|least| *least < self.me.capacity) else { return false };
        self.me.capacity = least;
        self.refresh(now);
        true
    }

    /// Merges the list of instances that another one knows or has forgotten; returns those that
    /// this instance forgets, too, for that reason.
    pub fn merge_members(
        &mut self,
        cards: Vec<member::Card>,
        gone: Vec<(name::Name, u64)>,
        now: u64,
    ) -> Vec<name::Name> {
        let mut lost = Vec::new();
        for (name, incarnation) in gone {
            let stale = self.peers.get(&name).is_some_and(|peer| {
                let old = peer.card.as_ref().is_some_and(|card| card.incarnation <= incarnation);
                old && now >= peer.heartbeat_at + FORGET_AFTER
            });
            if stale && !self.seeds.contains(&name) {
                self.peers.remove(&name);
                lost.push(name.clone());
            }
            if !self.peers.contains_key(&name) {
                let held = self.tombstones.entry(name).or_default();
                *held = incarnation.max(*held);
            }
        }
        for card in cards {
            let stale = self
                .tombstones
                .get(&card.name)
                .is_some_and(|incarnation| card.incarnation <= *incarnation);
            if card.name == self.me.name || stale {
                continue;
            }
            let fresh = Peer { since: now, ..Peer::default() };
            let peer = self.peers.entry(card.name.clone()).or_insert(fresh);
            if peer.card.as_ref().is_none_or(|held| card.supersedes(held)) {
                peer.card = Some(card);
            }
        }
        self.refresh(now);
        lost
    }

    /// Whether a known instance was forgotten in its present incarnation, so that other instances
    /// do not accept it from a list.
    pub fn is_forgotten(&self, name: &name::Name) -> bool {
        let incarnation =
            self.peers.get(name).and_then(|peer| Some(peer.card.as_ref()?.incarnation));
        let last = self.tombstones.get(name);
        last.is_some_and(|last| incarnation.is_some_and(|incarnation| incarnation <= *last))
    }

    /// The forgotten instances, each with its last incarnation.
    pub fn tombstones(&self) -> Vec<(name::Name, u64)> {
        self.tombstones.iter().map(|(name, incarnation)| (name.clone(), *incarnation)).collect()
    }

    /// The cards of all known instances, including this one.
    pub fn cards(&self) -> Vec<member::Card> {
        let others = self.peers.values().filter_map(|peer| peer.card.clone());
        others.chain([self.me.clone()]).collect()
    }

    /// Digest of [`Self::cards`].
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Recomputes the digest and the watch list, which follow from the list of instances.
    pub(super) fn refresh(&mut self, now: u64) {
        let others = || self.peers.values().filter_map(|peer| peer.card.as_ref());
        self.digest = others().chain([&self.me]).map(card_hash).fold(0, |sum, hash| sum ^ hash);
        self.watch_list = watch_list::WatchList::new(others().chain([&self.me]));
        for peer in self.peers.values_mut() {
            let is_linked =
                peer.card.as_ref().is_none_or(|card| self.watch_list.is_linked(&self.me, card));
            let was_linked = std::mem::replace(&mut peer.is_linked, is_linked);
            if is_linked && !was_linked {
                // The time of its silence counts from now.
                peer.since = now;
            }
        }
    }
}

fn card_hash(card: &member::Card) -> u64 {
    use xxhash_rust::xxh3::xxh3_64_with_seed;
    let seed = xxh3_64_with_seed(&card.capacity.to_bytes(), card.incarnation);
    xxh3_64_with_seed(card.name.as_str().as_bytes(), seed)
}
