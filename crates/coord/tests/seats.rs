//! Which keepers hold the seats of a group with named voters.

mod keepers;

use keepers::Keepers;

/// Returns a group with one spare keeper, and its leader.
fn group_with_spare(seed: u64) -> (Keepers, usize) {
    let mut keepers = Keepers::new(4, 3, seed);
    let leader = keepers.leader().unwrap();
    keepers.propose(leader, 1);
    keepers.run(1_000);
    (keepers, leader)
}

/// Guards against two remaining voters that both must keep their disks while the seat of a third
/// one moves.
#[test]
fn seat_in_transit() {
    let (mut keepers, leader) = group_with_spare(1);
    let [other, down] = [(leader + 1) % 3, (leader + 2) % 3];
    keepers.lose_power(down, 0);
    keepers.run(2_800);
    keepers.all[other].stalled = true;
    keepers.run(1_000);
    keepers.lose_all(other, 0);
    keepers.recover(2);
}

#[test]
fn seat_moves() {
    let (mut keepers, leader) = group_with_spare(2);
    let down = (leader + 1) % 3;
    keepers.lose_power(down, 0);
    keepers.run(5_000);
    assert!(keepers.has_seat(3) && !keepers.has_seat(down));
    assert_eq!(keepers.seats(), 3);
    keepers.lose_all((leader + 2) % 3, 0);
    keepers.recover(2);
}
