//! Which keepers hold the seats of a group with named voters.

mod keepers;

use keepers::Keepers;
use rand::{RngExt as _, SeedableRng as _, rngs};

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

/// Lets a keeper leave as planned, and ends it once it has no seat.
fn leave(keepers: &mut Keepers, at: usize) {
    keepers.act(at, |group, now| group.leave(now.mono));
    keepers.run(900);
    assert!(!keepers.group(at).unwrap().has_seat(), "keeper {at} still has its seat");
    keepers.lose_power(at, 0);
    keepers.set_isolated(at, true);
}

/// Asserts that the keepers that are left commit a number although one of them loses its disk now.
fn check_lost_disk(keepers: &mut Keepers, gone: &[usize], lost: usize, is_power_cut: bool) {
    let left: Vec<_> = (0..keepers.all.len()).filter(|at| !gone.contains(at)).collect();
    if is_power_cut {
        for at in &left {
            keepers.lose_power(*at, 0);
        }
    }
    keepers.lose_disk(lost);
    keepers.run(500);
    for at in left {
        keepers.start(at);
    }
    keepers.run(8_000);
    let count = keepers.committed.len();
    let leader = keepers.leader().expect("the group has a leader");
    keepers.propose(leader, 1_000);
    keepers.run(1_000);
    assert!(keepers.committed.len() > count, "{gone:?} gone, disk {lost} lost");
}

/// Guards against a voter that ends as planned and keeps its seat although another member could
/// have taken it: one lost disk then leaves no majority.
#[test]
fn planned_end() {
    for leaving in 0..3 {
        for lost in (0..4).filter(|at| *at != leaving) {
            for is_power_cut in [false, true] {
                let (mut keepers, _) = group_with_spare(6);
                leave(&mut keepers, leaving);
                check_lost_disk(&mut keepers, &[leaving], lost, is_power_cut);
            }
        }
    }
}

/// Guards against a voter that ends after its successor was added and before it is removed itself:
/// there are four voters then, and three of them have to answer.
#[test]
fn end_while_moving() {
    for leaving in 0..3 {
        for stalled_at in 0..10 {
            let (mut keepers, _) = group_with_spare(9);
            let others: Vec<_> = (0..4).filter(|at| *at != leaving).collect();
            let names = others.iter().map(|at| keepers.group(*at).unwrap().me().name.clone());
            let names: Vec<_> = names.collect();
            keepers.act(leaving, |group, now| group.leave(now.mono));
            keepers.run(20 * stalled_at);
            // No change is committed for a while, and the leader does not hear of the others.
            for at in &others {
                keepers.set_isolated(*at, true);
            }
            keepers.run(300);
            keepers.heal();
            let mut ticks = 0;
            while keepers.group(leaving).unwrap().awaits_successor(names.iter()) {
                keepers.run(20);
                ticks += 1;
                assert!(ticks < 300, "keeper {leaving} waits for good");
            }
            keepers.lose_power(leaving, 0);
            keepers.set_isolated(leaving, true);
            check_lost_disk(&mut keepers, &[leaving], others[1], false);
        }
    }
}

/// The seats of all first voters move when one after the other leaves and a new one comes.
#[test]
fn all_replaced() {
    for seed in 0..4 {
        let (mut keepers, _) = group_with_spare(seed);
        for leaving in 0..3 {
            leave(&mut keepers, leaving);
            assert_eq!(keepers.seats(), 3);
            if leaving < 2 {
                keepers.lose_disk(leaving);
                keepers.heal();
                keepers.start(leaving);
                keepers.run(1_500);
            }
        }
        check_lost_disk(&mut keepers, &[2], 1, true);
    }
}

/// Two keepers that leave at once get one seat less between them if one other member is left, and
/// the group goes on.
#[test]
fn two_leave() {
    for pair in [[0, 1], [0, 2], [1, 2]] {
        let (mut keepers, _) = group_with_spare(7);
        for at in pair {
            keepers.act(at, |group, now| group.leave(now.mono));
        }
        keepers.run(900);
        assert!(keepers.has_seat(3) && keepers.seats() == 3, "{pair:?}");
        for at in pair {
            keepers.lose_power(at, 0);
        }
        keepers.run(3_000);
        let leader = keepers.leader().expect("the group has a leader");
        keepers.propose(leader, 2);
        keepers.run(1_000);
        assert_eq!(keepers.committed.last(), Some(&2), "{pair:?}");
    }
}

/// A keeper that leaves and comes back with its disk is an ordinary member again, and a member that
/// leaves gets no seat.
#[test]
fn back_again() {
    let (mut keepers, leader) = group_with_spare(8);
    let left = (leader + 1) % 3;
    leave(&mut keepers, left);
    keepers.heal();
    keepers.start(left);
    keepers.run(1_000);
    keepers.act(left, |group, now| group.leave(now.mono));
    let down = (leader + 2) % 3;
    keepers.lose_power(down, 0);
    keepers.run(4_000);
    assert!(!keepers.has_seat(left), "a seat went to a member that leaves");
    keepers.lose_power(left, 0);
    keepers.start(left);
    keepers.run(5_000);
    assert!(keepers.has_seat(left) && !keepers.has_seat(down));
    keepers.recover(2);
}

/// Replaces keepers as planned in a random order, at times two at once, each time followed at a
/// random moment by the loss of one disk, at times with the power of all.
#[test]
fn random_replacements() {
    let range = std::env::var("SEAT_SEEDS").ok();
    let range = range.and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    for seed in range.unwrap_or(0..30) {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let count = rng.random_range(4..8);
        let mut keepers = Keepers::new(count, 3, seed);
        for number in 1..7 {
            keepers.run(4_000);
            let leader = keepers.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
            keepers.propose(leader, number);
            keepers.run(rng.random_range(100..1_000));
            assert_eq!(keepers.committed.last(), Some(&number), "seed {seed}");
            let first = rng.random_range(0..count);
            let second = (first + rng.random_range(1..count)) % count;
            let leaving = if rng.random_bool(0.3) { vec![first, second] } else { vec![first] };
            for at in &leaving {
                keepers.act(*at, |group, now| group.leave(now.mono));
                keepers.run(rng.random_range(1..100));
            }
            keepers.run(3_000);
            for at in &leaving {
                keepers.lose_disk(*at);
            }
            keepers.run(rng.random_range(20..3_500));
            // With two gone at once, no other one may be lost.
            if leaving.len() == 1 {
                let lost = (first + rng.random_range(1..count)) % count;
                if rng.random_bool(0.3) {
                    (0..count).for_each(|at| keepers.lose_power(at, 0));
                }
                keepers.lose_disk(lost);
                keepers.run(rng.random_range(20..1_000));
            }
            (0..count).for_each(|at| keepers.start(at));
        }
        keepers.recover(100);
    }
}
