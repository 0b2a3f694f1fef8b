//! Seats of the settings group and of the journals, computed from the bootstrap files alone. A seat
//! is the name of an instance that votes.

use std::collections;

use state::name;

/// Maximum number of seats of the settings group.
pub const MAX_SETTINGS_SEATS: usize = 5;
/// Minimum number of seats of a journal, if there are that many instances.
pub const MIN_JOURNAL_SEATS: usize = 3;

/// Static description of an instance, which is the same at all instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Name of the instance.
    pub name: name::Name,
    /// Availability zone of the instance.
    pub zone: name::Name,
    /// Whether the instance has a data folder.
    pub has_disk: bool,
}

/// Returns the seats of the settings group: at most [`MAX_SETTINGS_SEATS`] instances with a data
/// folder, taken from the availability zones in turn.
pub fn settings_seats(all: &[Instance]) -> Vec<name::Name> {
    let disks = all.iter().filter(|instance| instance.has_disk);
    let mut seats = interleave_zones(disks);
    seats.truncate(MAX_SETTINGS_SEATS);
    seats.sort();
    seats
}

/// Returns the seats of a zone's journal: an odd number of the zone's instances, with witnesses
/// from other zones if the zone has fewer than [`MIN_JOURNAL_SEATS`] instances.
pub fn journal_seats(all: &[Instance], zone: &name::Name) -> Vec<name::Name> {
    let local = all.iter().filter(|instance| instance.zone == *zone);
    let mut seats: Vec<_> = local.map(|instance| instance.name.clone()).collect();
    seats.sort();
    if seats.len() >= MIN_JOURNAL_SEATS {
        seats.truncate(round_down_to_odd(seats.len()));
        return seats;
    }
    let remote = all.iter().filter(|instance| instance.zone != *zone);
    let missing = MIN_JOURNAL_SEATS - seats.len();
    seats.extend(interleave_zones(remote).into_iter().take(missing));
    seats.truncate(round_down_to_odd(seats.len()));
    seats
}

/// Returns the availability zones in sorted order.
pub fn zones(all: &[Instance]) -> collections::BTreeSet<name::Name> {
    all.iter().map(|instance| instance.zone.clone()).collect()
}

/// Rounds an even count other than 0 down to the next odd one.
fn round_down_to_odd(count: usize) -> usize {
    if count == 0 || count % 2 == 1 { count } else { count - 1 }
}

/// Returns the first instance of each zone, then the second of each, and so on.
fn interleave_zones<'a>(instances: impl Iterator<Item = &'a Instance>) -> Vec<name::Name> {
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
