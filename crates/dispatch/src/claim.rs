//! Who schedules a zone.
//!
//! A claim needs no majority: two schedulers at a time cost work but harm nothing, because each
//! upstream takes orders of the highest fencing token only, and the token of a later claim is
//! higher. So a zone that is cut in pieces goes on with whatever pieces it has.

use std::collections;

use state::name;

use crate::{member, roster, time};

/// An instance that starts waits this long for an older scheduler to be heard of, microseconds:
/// four heartbeats.
const SETTLE: u64 = 600 * time::MS;
/// Each better candidate gets this much longer to claim first, microseconds: two heartbeats.
const TURN: u64 = 300 * time::MS;
/// An epoch that was refused is raised by this much, more than clocks differ, milliseconds.
const LEAP: u64 = 60_000;

/// An instance's claim to schedule a zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The availability zone.
    pub zone: name::Name,
    /// Milliseconds since the Unix epoch when it was made, or more; the higher claim counts.
    pub epoch: u64,
    /// The instance.
    pub holder: name::Name,
    /// Incarnation of the instance.
    pub life: u64,
}

/// The highest claims that an instance has heard of.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    claims: collections::BTreeMap<name::Name, Claim>,
    vacant: Option<u64>,
}

impl Claims {
    /// Takes a claim; true if it is the highest for its zone now.
    pub fn merge(&mut self, claim: &Claim) -> bool {
        let key = |claim: &Claim| (claim.epoch, claim.holder.clone());
        let held = self.claims.get(&claim.zone);
        if held.is_some_and(|held| key(held) >= key(claim)) {
            return false;
        }
        self.claims.insert(claim.zone.clone(), claim.clone());
        true
    }

    /// The claim to a zone.
    pub fn of(&self, zone: &name::Name) -> Option<&Claim> {
        self.claims.get(zone)
    }

    /// All claims.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// Whether the scheduler of `zone` is heard.
    pub fn is_led(&self, zone: &name::Name, roster: &roster::Roster, now: u64) -> bool {
        self.of(zone).is_some_and(|claim| roster.holds(claim, now))
    }

    /// Claims the zone of `me` if nobody of it hears a scheduler and it is this instance's turn.
    pub fn contend(&mut self, roster: &roster::Roster, now: time::Now) -> Option<Claim> {
        let me = roster.me();
        let led = self.is_led(&me.zone, roster, now.mono) || roster.mate_is_led(now.mono);
        if led || now.mono < roster.start() + SETTLE {
            self.vacant = None;
            return None;
        }
        let vacant = *self.vacant.get_or_insert(now.mono);
        let better = roster.mates(now.mono).filter(|card| card.rank() < me.rank()).count();
        if now.mono < vacant + better as u64 * TURN {
            return None;
        }
        self.vacant = None;
        Some(self.raise(me, now.wall))
    }

    /// Claims the zone above a scheduler that is not heard of but has a higher fencing token.
    pub fn overrule(&mut self, me: &member::Card, wall: u64) -> Claim {
        self.raise(me, wall + LEAP)
    }

    fn raise(&mut self, me: &member::Card, wall: u64) -> Claim {
        let former = self.of(&me.zone).map_or(0, |claim| claim.epoch + 1);
        let epoch = wall.max(former);
        let claim =
            Claim { zone: me.zone.clone(), epoch, holder: me.name.clone(), life: me.life };
        self.merge(&claim);
        claim
    }
}
