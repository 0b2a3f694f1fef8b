//! Who votes where: seats of the settings group and of the journals, from the bootstrap alone.

use std::collections;

use state::name;

/// Most voters of the settings group.
pub const SETTINGS_SEATS: usize = 5;
/// Fewest voters of a journal, if there are that many instances.
pub const JOURNAL_SEATS: usize = 3;

/// An instance as every other one knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Its name.
    pub name: name::Name,
    /// Its availability zone.
    pub zone: name::Name,
    /// Whether it has a data folder.
    pub disk: bool,
}

/// Voters of the settings group: instances with disks, at most [`SETTINGS_SEATS`], taken from the
/// availability zones in turn.
pub fn settings_seats(all: &[Instance]) -> Vec<name::Name> {
    let disks = all.iter().filter(|instance| instance.disk);
    let mut seats = in_turn(disks);
    seats.truncate(SETTINGS_SEATS);
    seats.sort();
    seats
}

/// Voters of a zone's journal: an odd number of its instances, with witnesses of other zones
/// where it has fewer than [`JOURNAL_SEATS`].
pub fn journal_seats(all: &[Instance], zone: &name::Name) -> Vec<name::Name> {
    let home = all.iter().filter(|instance| instance.zone == *zone);
    let mut seats: Vec<_> = home.map(|instance| instance.name.clone()).collect();
    seats.sort();
    if seats.len() >= JOURNAL_SEATS {
        seats.truncate(odd(seats.len()));
        return seats;
    }
    let away = all.iter().filter(|instance| instance.zone != *zone);
    let missing = JOURNAL_SEATS - seats.len();
    seats.extend(in_turn(away).into_iter().take(missing));
    seats.truncate(odd(seats.len()));
    seats
}

/// Availability zones, in order.
pub fn zones(all: &[Instance]) -> collections::BTreeSet<name::Name> {
    all.iter().map(|instance| instance.zone.clone()).collect()
}

fn odd(count: usize) -> usize {
    if count == 0 || count % 2 == 1 { count } else { count - 1 }
}

/// The first instance of each zone, then the second of each, and so on.
fn in_turn<'a>(instances: impl Iterator<Item = &'a Instance>) -> Vec<name::Name> {
    let mut zones = collections::BTreeMap::<_, Vec<_>>::new();
    for instance in instances {
        zones.entry(&instance.zone).or_default().push(instance.name.clone());
    }
    for names in zones.values_mut() {
        names.sort();
    }
    let rounds = zones.values().map(Vec::len).max().unwrap_or(0);
    let round = |at: usize| zones.values().filter_map(move |names| names.get(at).cloned());
    (0..rounds).flat_map(round).collect()
}
