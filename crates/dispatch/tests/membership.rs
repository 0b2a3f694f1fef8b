//! The peers from which an instance expects heartbeats, and the peers that it forgets.

use dispatch::{
    member::{Capacity, Card, Role},
    membership::Membership,
    time::MS,
};
use state::name::Name;

/// A time longer than an instance remembers a silent peer that it expects heartbeats from,
/// milliseconds.
const EXPIRED: u64 = 31_000;

fn card(at: usize) -> Card {
    let role = if at == 0 { Role::Keeper } else { Role::Entry };
    Card {
        name: Name::new(&format!("10.0.0.{}:7", 100 + at)),
        zone: "west".into(),
        role,
        incarnation: 7,
        capacity: Capacity::default(),
    }
}

/// A peer from which an instance no longer expects heartbeats does not count as gone.
///
/// Guards against a list of expected peers that only grows. An instance first learned of a few
/// others; in a small system, all instances receive heartbeats from each other. Then it learned of
/// so many that it no longer received heartbeats from most of the first ones. After 30 s it treated
/// these as gone and told the others, and all instances removed them from their lists. This happens
/// if lists of instances are sent immediately after a start, where it made `many::nobody_forgotten`
/// fail.
#[test]
fn not_heard_any_more() {
    let mut membership = Membership::new(card(30), &[], 0);
    membership.merge_members((1..8).map(card).collect(), Vec::new(), 100 * MS);
    membership.merge_members((0..30).map(card).collect(), Vec::new(), 200 * MS);
    let forgotten = membership.forget(EXPIRED * MS);
    let expected = [0, 1].map(|at| card(at).name);
    assert!(forgotten.iter().all(|name| expected.contains(name)), "{forgotten:?}");
    assert!(!forgotten.is_empty(), "the peers that it expects heartbeats from are silent");
}

/// The silence of a peer counts from the time at which the instance begins to expect its
/// heartbeats.
#[test]
fn heard_again() {
    let mut membership = Membership::new(card(30), &[], 0);
    membership.merge_members((0..30).map(card).collect(), Vec::new(), 100 * MS);
    // The first two peers of the zone are gone, so the instance expects heartbeats from the next
    // ones.
    let gone = vec![(card(1).name, 7), (card(0).name, 7)];
    membership.merge_members(Vec::new(), gone, EXPIRED * MS);
    let forgotten = membership.forget((EXPIRED + 1) * MS);
    assert!(!forgotten.contains(&card(3).name), "{forgotten:?}");
}
