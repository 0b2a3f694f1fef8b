//! Who ought to hear whom. It follows from the list of instances alone, which all of them share, so
//! that each knows it of the others, too, and no heartbeat has to tell.
//!
//! Where instances are few everybody hears its zone and all keepers. Where they are many an entry
//! hears the first two of its zone by rank, its hubs; what it pays does not depend on how many
//! instances there are, and a keeper pays for its zone and the other keepers. docs/design/scale.md weighs
//! this against other ways.

use std::collections;

use state::name;

use crate::{member, time};

/// Up to so many other instances everybody hears its zone and all keepers; heartbeats then take
/// under 1% of a core each.
const FEW: usize = 16;
/// The first of its zone by rank that an entry hears: one may be lost, or the way to it, and the
/// other relays.
pub const HUBS: usize = 2;
/// The first of a zone that keepers hear, that hear its upstreams' news, and whom an entry hears
/// while its zone has no scheduler: three may be lost with two keepers.
pub const FRONT: usize = 5;
/// While there is no scheduler an entry hears so many more after each [`WIDEN`].
const STEP: usize = 3;
/// Heartbeats of those that were added have come by then, microseconds.
const WIDEN: u64 = 300 * time::MS;
/// An entry hears no more of its zone than this: with all of a hundred hearing one another a zone
/// that has no scheduler would not get one.
const WIDEST: usize = 14;

/// The first instances of each zone by rank.
#[derive(Clone, Debug, Default)]
pub struct WatchList {
    few: bool,
    first: collections::BTreeMap<name::Name, Vec<name::Name>>,
}

impl WatchList {
    /// What follows from these instances, of which there may be one for each address.
    pub fn new<'a>(cards: impl Iterator<Item = &'a member::Card>) -> Self {
        let mut zones: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        let mut count = 0;
        for card in cards {
            count += 1;
            zones.entry(card.zone.clone()).or_default().push(card);
        }
        let first = |mut zone: Vec<&member::Card>| {
            zone.sort_by_key(|card| card.rank());
            zone.into_iter().take(WIDEST).map(|card| card.name.clone()).collect()
        };
        let first = zones.into_iter().map(|(name, zone)| (name, first(zone))).collect();
        Self { few: count <= FEW + 1, first }
    }

    /// Whether everybody hears its zone and all keepers.
    pub fn is_few(&self) -> bool {
        self.few
    }

    /// The first `count` of a zone by rank.
    pub fn first(&self, zone: &name::Name, count: usize) -> &[name::Name] {
        let first = self.first.get(zone).map_or(&[][..], Vec::as_slice);
        &first[..count.min(first.len())]
    }

    /// Whether an instance is among the first `count` of its zone.
    pub fn is_first(&self, card: &member::Card, count: usize) -> bool {
        self.first(&card.zone, count).contains(&card.name)
    }

    /// Whether `a` is to hear `b`, where `a` hears the first `window` of its zone.
    pub fn hears(&self, a: &member::Card, b: &member::Card, window: usize) -> bool {
        let keeper = b.role == member::Role::Keeper;
        if self.few {
            return a.zone == b.zone || keeper;
        }
        let both = keeper && a.role == member::Role::Keeper;
        both || a.zone == b.zone && self.is_first(b, window)
    }

    /// Whether two instances ought to hear one another in any case: one of them is to hear the
    /// other, which answers.
    pub fn ought(&self, a: &member::Card, b: &member::Card) -> bool {
        let window =
            |card: &member::Card| if card.role == member::Role::Keeper { FRONT } else { HUBS };
        self.hears(a, b, window(a)) || self.hears(b, a, window(b))
    }

    /// Whether an instance hears of the upstreams of a zone without scheduling it.
    pub fn is_told(&self, card: &member::Card, zone: &name::Name) -> bool {
        let first = card.zone == *zone && (self.few || self.is_first(card, FRONT));
        first || card.role == member::Role::Keeper
    }
}

/// How many of its zone an instance hears.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: usize,
    vacant: Option<u64>,
}

impl Default for Window {
    fn default() -> Self {
        Self { size: HUBS, vacant: None }
    }
}

impl Window {
    /// How many of its zone this instance hears.
    pub fn size(self) -> usize {
        self.size
    }

    /// Widens it while the zone has no scheduler since `early` at the earliest; one who has to know
    /// the zone, as a keeper or its scheduler, hears [`FRONT`] in any case.
    pub fn set(&mut self, knows: bool, led: bool, early: u64, now: u64) {
        if knows || led {
            self.size = if knows { FRONT } else { HUBS };
            self.vacant = None;
            return;
        }
        let vacant = *self.vacant.get_or_insert(now.max(early));
        self.size = match now.checked_sub(vacant) {
            Some(time) => (FRONT + STEP * (time / WIDEN) as usize).min(WIDEST),
            None => HUBS,
        };
    }
}
