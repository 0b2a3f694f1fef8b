//! Through whom an instance is reached that is not heard directly.

use state::name;

use crate::{
    member,
    membership::{Membership, PING, short},
    peer::Peer,
    peer::SILENT,
};

/// Messages to an instance that does not echo go through a third one after this, microseconds: its
/// first echo takes two heartbeats.
const RELAY: u64 = 2 * PING;
/// Instances that a heartbeat names as not heard: more than are lost at a time but with their zone.
const LACKS: usize = 16;

impl Membership {
    /// Notes that a message of an instance came through a third one.
    pub fn came(&mut self, name: &name::Name, via: &name::Name, now: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.via = Some((via.clone(), now));
        }
    }

    /// Through whom a heartbeat goes as well, as the direct way is silent: the one that the
    /// instance was heard through, or one that ought to hear it and does not say that it lacks it.
    pub fn relay(&self, name: &name::Name, now: u64) -> Option<&name::Name> {
        let peer = self.peers.get(name)?;
        let awaited = peer.ought || peer.heard > 0 && now < peer.heard + SILENT;
        if peer.is_direct(now) || !awaited || now < peer.met.max(peer.since) + RELAY {
            return None;
        }
        if let Some((via, at)) = &peer.via
            && now < at + SILENT
            && self.is_direct(via, now)
        {
            return Some(via);
        }
        let card = peer.card.as_ref()?;
        let hash = short(name);
        let able = |(_, other): &(&name::Name, &Peer)| {
            let lacks = other.ping.as_ref().is_none_or(|ping| ping.lacks.contains(&hash));
            let ought =
                |held: &member::Card| held.name != *name && self.watch_list.ought(held, card);
            !lacks && other.is_direct(now) && other.card.as_ref().is_some_and(ought)
        };
        let able = self.peers.iter().filter(able).map(|(name, _)| name);
        // Others take another one.
        able.min_by_key(|other| short(other) ^ hash)
    }

    /// Through whom a message goes instead of the direct way, to an instance that is alive.
    pub fn detour(&self, name: &name::Name, now: u64) -> Option<&name::Name> {
        let heard = self.peers.get(name).is_some_and(|p| p.heard > 0 && now < p.heard + SILENT);
        if heard { self.relay(name, now) } else { None }
    }

    /// Digests of the names of some instances that this one ought to hear and does not.
    pub fn lacks(&self, now: u64) -> Vec<u32> {
        let lacking = self.peers.iter().filter(|(_, peer)| peer.ought && !peer.is_direct(now));
        lacking.take(LACKS).map(|(name, _)| short(name)).collect()
    }
}
