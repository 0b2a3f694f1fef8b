//! Relaying of messages to instances whose direct connection is silent.

use state::name;

use crate::{
    messages::member,
    tables::{
        membership::{HEARTBEAT_INTERVAL, Membership, name_hash},
        peer::Peer,
        peer::SILENCE_TIMEOUT,
    },
};

/// Messages to an instance that does not echo heartbeats are relayed after this time, in
/// microseconds: its first echo takes two heartbeats.
const RELAY_AFTER: u64 = 2 * HEARTBEAT_INTERVAL;
/// Maximum number of silent instances that a heartbeat names: more than are lost at a time, unless
/// their whole zone is lost.
const MAX_SILENT_PEERS: usize = 16;

impl Membership {
    /// Records that the instance `via` relayed a message of `name`.
    pub fn record_relay(&mut self, name: &name::Name, via: &name::Name, now: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.last_relay = Some((via.clone(), now));
        }
    }

    /// Returns the relay for an additional copy of a heartbeat while the direct connection is
    /// silent: the instance that last relayed a message of `name`, or one that exchanges heartbeats
    /// with `name` and does not report it as silent.
    pub fn relay(&self, name: &name::Name, now: u64) -> Option<&name::Name> {
        let peer = self.peers.get(name)?;
        let expected =
            peer.is_linked || peer.heartbeat_at > 0 && now < peer.heartbeat_at + SILENCE_TIMEOUT;
        if peer.is_direct(now) || !expected || now < peer.direct_since.max(peer.since) + RELAY_AFTER
        {
            return None;
        }
        if let Some((via, at)) = &peer.last_relay
            && now < at + SILENCE_TIMEOUT
            && self.is_direct(via, now)
        {
            return Some(via);
        }
        let card = peer.card.as_ref()?;
        let hash = name_hash(name);
        let able = |(_, other): &(&name::Name, &Peer)| {
            let is_silent =
                other.ping.as_ref().is_none_or(|ping| ping.silent_peers.contains(&hash));
            let should_exchange =
                |held: &member::Card| held.name != *name && self.watch_list.is_linked(held, card);
            !is_silent && other.is_direct(now) && other.card.as_ref().is_some_and(should_exchange)
        };
        let able = self.peers.iter().filter(able).map(|(name, _)| name);
        // The key depends on the receiver's name, so that the load spreads over several relays.
        able.min_by_key(|other| name_hash(other) ^ hash)
    }

    /// Returns the relay for a message that replaces the direct connection to a live instance.
    pub fn detour(&self, name: &name::Name, now: u64) -> Option<&name::Name> {
        let is_recent = self
            .peers
            .get(name)
            .is_some_and(|p| p.heartbeat_at > 0 && now < p.heartbeat_at + SILENCE_TIMEOUT);
        if is_recent { self.relay(name, now) } else { None }
    }

    /// Hashes of the names of some instances that this one should receive heartbeats from, but
    /// doesn't.
    pub fn silent_peers(&self, now: u64) -> Vec<u32> {
        let silent = self.peers.iter().filter(|(_, peer)| peer.is_linked && !peer.is_direct(now));
        silent.take(MAX_SILENT_PEERS).map(|(name, _)| name_hash(name)).collect()
    }
}
