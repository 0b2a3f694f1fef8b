//! Whom an instance ought to hear, and whom it forgets.

use dispatch::{
    member::{Card, Role},
    membership::Membership,
    time::MS,
};
use state::name::Name;

/// Longer than an instance that ought to be heard is remembered, milliseconds.
const LONG: u64 = 31_000;

fn card(at: usize) -> Card {
    let role = if at == 0 { Role::Keeper } else { Role::Entry };
    Card {
        name: Name::new(&format!("10.0.0.{}:7", 100 + at)),
        zone: "west".into(),
        role,
        incarnation: 7,
    }
}

/// Those that an instance need not hear any more are not gone.
///
/// Story: an instance learnt of a few others first, whom all of a few hear, and then of so many that it
/// need not hear most of these. The list of whom it ought to hear only grew: after 30 s it took
/// those for gone, told the others, and they were left out of the lists of all. It was met where lists of
/// instances were sent at once after a start (`many::nobody_forgotten` failed then).
#[test]
fn not_heard_any_more() {
    let mut membership = Membership::new(card(30), &[], 0);
    membership.merge_members((1..8).map(card).collect(), Vec::new(), 100 * MS);
    membership.merge_members((0..30).map(card).collect(), Vec::new(), 200 * MS);
    let forgotten = membership.forget(LONG * MS);
    let heard = [0, 1].map(|at| card(at).name);
    assert!(forgotten.iter().all(|name| heard.contains(name)), "{forgotten:?}");
    assert!(!forgotten.is_empty(), "those that it ought to hear are silent");
}

/// The silence of one that it ought to hear from some time on counts from then.
#[test]
fn heard_again() {
    let mut membership = Membership::new(card(30), &[], 0);
    membership.merge_members((0..30).map(card).collect(), Vec::new(), 100 * MS);
    // The first two of the zone are gone: the next ones are heard instead.
    let gone = vec![(card(1).name, 7), (card(0).name, 7)];
    membership.merge_members(Vec::new(), gone, LONG * MS);
    let forgotten = membership.forget((LONG + 1) * MS);
    assert!(!forgotten.contains(&card(3).name), "{forgotten:?}");
}
