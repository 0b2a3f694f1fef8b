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

/// Proposes numbers at the present leader for `ms` milliseconds.
fn propose_for(keepers: &mut Keepers, ms: u64, first: u64) {
    for at in 0..ms / 100 {
        if let Some(leader) = keepers.leader() {
            keepers.propose(leader, first + at);
        }
        keepers.run(100);
    }
}

/// Guards against a voter that answers, but whose disk stores nothing any more.
#[test]
fn stuck_disk() {
    let (mut keepers, leader) = group_with_spare(3);
    let [other, stuck] = [(leader + 1) % 3, (leader + 2) % 3];
    keepers.all[stuck].stalled = true;
    propose_for(&mut keepers, 5_000, 10);
    assert!(keepers.has_seat(3) && !keepers.has_seat(stuck));
    keepers.lose_disk(other);
    keepers.run(4_000);
    let count = keepers.committed.len();
    propose_for(&mut keepers, 1_000, 100);
    assert!(keepers.committed.len() > count, "two of three disks store");
    keepers.recover(1_000);
}

#[test]
fn stuck_leader() {
    let (mut keepers, leader) = group_with_spare(4);
    keepers.all[leader].stalled = true;
    propose_for(&mut keepers, 10_000, 10);
    assert_ne!(keepers.leader(), Some(leader));
    assert!(keepers.has_seat(3) && !keepers.has_seat(leader));
    keepers.lose_disk((leader + 1) % 3);
    keepers.run(4_000);
    let count = keepers.committed.len();
    propose_for(&mut keepers, 1_000, 200);
    assert!(keepers.committed.len() > count, "two of three disks store");
    keepers.recover(1_000);
}

/// Guards against a voter that counts as lost after a time without changes, or because its disk
/// takes over a second for each batch of writes.
#[test]
fn slow_disk() {
    let (mut keepers, leader) = group_with_spare(5);
    let slow = (leader + 1) % 3;
    keepers.run(10_000);
    keepers.all[slow].stalled = true;
    for number in 10..30 {
        let batch = keepers.all[slow].unsynced.len();
        for part in 0..3 {
            keepers.propose(leader, 10 * number + part);
            keepers.run(400);
        }
        keepers.sync(slow, batch);
    }
    assert!(keepers.has_seat(slow) && keepers.seats() == 3);
    keepers.recover(1_000);
}
