//! Which instances exchange heartbeats. An instance watches another one if it needs the heartbeats
//! of that instance. The rules depend only on the list of instances, which all instances share, so
//! that each instance knows the watch lists of the others, too, and heartbeats need not carry them.
//!
//! In a small system every instance watches its zone and all keepers. In a large system an entry
//! watches the first two instances of its zone by rank, its hubs: its cost does not depend on the
//! number of instances. A keeper's cost depends on the size of its zone and the number of other
//! keepers. docs/design/scale.md compares this with alternatives.

use std::collections;

use state::name;

use crate::messages::{member, time};

/// Up to this number of other instances, every instance watches its zone and all keepers;
/// heartbeats then take under 1% of a core for each instance.
const SMALL_SYSTEM: usize = 16;
/// Number of instances that an entry watches, the first of its zone by rank: if one of them or the
/// connection to it is lost, the other one relays.
pub const HUBS: usize = 2;
/// Number of the first instances of a zone by rank that keepers watch, that receive the news of the
/// zone's upstreams, and that an entry watches while its zone has no scheduler: if two of them are
/// keepers, three may be lost.
pub const FRONT: usize = 5;
/// While its zone has no scheduler, an entry watches this many more instances after each
/// [`WIDEN_INTERVAL`].
const WIDEN_STEP: usize = 3;
/// Time by which heartbeats of the added instances have arrived, in microseconds.
const WIDEN_INTERVAL: u64 = 300 * time::MS;
/// Number of entries that must be among the first [`FRONT`] instances of a zone. In a zone with
/// more keepers, the first [`MAX_WINDOW`] instances do what the first [`FRONT`] do elsewhere, so
/// that entries know the upstreams, and one another, when all keepers are lost.
const FRONT_ENTRIES: usize = 2;
/// Maximum number of instances of its zone that an entry watches: if all hundred instances of a
/// zone watched one another, a zone without a scheduler would not get one.
const MAX_WINDOW: usize = 14;

/// The first instances of each zone by rank.
#[derive(Clone, Debug, Default)]
pub struct WatchList {
    small: bool,
    first: collections::BTreeMap<name::Name, Vec<name::Name>>,
    /// Zones with too many keepers among their first instances.
    wide: collections::BTreeSet<name::Name>,
}

impl WatchList {
    /// Builds the watch list from these instances, at most one for each address.
    pub fn new<'a>(cards: impl Iterator<Item = &'a member::Card>) -> Self {
        let mut zones: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        let mut count = 0;
        for card in cards {
            count += 1;
            zones.entry(card.zone.clone()).or_default().push(card);
        }
        let mut list = Self { small: count <= SMALL_SYSTEM + 1, ..Self::default() };
        for (name, mut zone) in zones {
            zone.sort_by_key(|card| card.rank());
            let is_entry = |card: &&&member::Card| card.role == member::Role::Entry;
            let entries = zone.iter().take(FRONT).filter(is_entry).count();
            if entries < FRONT_ENTRIES && zone.len() > FRONT {
                list.wide.insert(name.clone());
            }
            let first = zone.into_iter().take(MAX_WINDOW).map(|card| card.name.clone());
            list.first.insert(name, first.collect());
        }
        list
    }

    /// Whether every instance watches its zone and all keepers.
    pub fn is_small(&self) -> bool {
        self.small
    }

    /// The first `count` instances of a zone by rank.
    pub fn first(&self, zone: &name::Name, count: usize) -> &[name::Name] {
        let first = self.first.get(zone).map_or(&[][..], Vec::as_slice);
        &first[..count.min(first.len())]
    }

    /// Number of the first instances of a zone by rank that receive the news of its upstreams, and
    /// that an entry watches while the zone has no scheduler.
    pub fn front(&self, zone: &name::Name) -> usize {
        if self.wide.contains(zone) { MAX_WINDOW } else { FRONT }
    }

    /// Whether an instance is among the first `count` of its zone by rank.
    pub fn is_first(&self, card: &member::Card, count: usize) -> bool {
        self.first(&card.zone, count).contains(&card.name)
    }

    /// Whether `a` watches `b`, where `a` watches the first `window` instances of its zone.
    pub fn watches(&self, a: &member::Card, b: &member::Card, window: usize) -> bool {
        let keeper = b.role == member::Role::Keeper;
        if self.small {
            return a.zone == b.zone || keeper;
        }
        let both = keeper && a.role == member::Role::Keeper;
        both || a.zone == b.zone && self.is_first(b, window)
    }

    /// Whether two instances always exchange heartbeats: one of them watches the other, which
    /// answers its heartbeats.
    pub fn is_linked(&self, a: &member::Card, b: &member::Card) -> bool {
        let window =
            |card: &member::Card| if card.role == member::Role::Keeper { FRONT } else { HUBS };
        self.watches(a, b, window(a)) || self.watches(b, a, window(b))
    }

    /// Whether an instance receives the upstream records of a zone without scheduling that zone.
    pub fn receives_records(&self, card: &member::Card, zone: &name::Name) -> bool {
        let first = card.zone == *zone && (self.small || self.is_first(card, self.front(zone)));
        first || card.role == member::Role::Keeper
    }
}

/// Number of instances of its own zone that an instance watches.
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
    /// Number of instances of its zone that this instance watches.
    pub fn size(self) -> usize {
        self.size
    }

    /// Updates the window: it widens while the zone has no scheduler, counted from `earliest` at
    /// the earliest, from `front` instances on. An instance that `knows` the zone, as a keeper, as
    /// its scheduler or as one of these first instances, always watches them.
    pub fn set(&mut self, knows: bool, led: bool, front: usize, earliest: u64, now: u64) {
        if knows || led {
            self.size = if knows { front } else { HUBS };
            self.vacant = None;
            return;
        }
        let vacant = *self.vacant.get_or_insert(now.max(earliest));
        self.size = match now.checked_sub(vacant) {
            Some(elapsed) => {
                (front + WIDEN_STEP * (elapsed / WIDEN_INTERVAL) as usize).min(MAX_WINDOW)
            }
            None => HUBS,
        };
    }
}
