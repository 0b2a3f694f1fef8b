//! What a keeper acknowledges is on its disk and matches the log of the present leader.

mod keepers;

use coord::{
    entry::{Entry, Payload},
    message::{Body, Group, Raft, Route},
    raft::Save,
};
use keepers::{Envelope, Keepers};
use rand::{RngExt as _, SeedableRng as _, rngs};

/// Returns the two keepers other than `at`, of three.
fn others(at: usize) -> [usize; 2] {
    [(at + 1) % 3, (at + 2) % 3]
}

/// Guards against a keeper that acknowledges entries of a former term to a leader whose log does
/// not hold them.
#[test]
fn former_entries() {
    let mut keepers = Keepers::new(3, 3, 1);
    let former = keepers.leader().unwrap();
    keepers.propose(former, 1);
    keepers.run(500);
    // The leader appends two entries that reach neither another keeper nor its own disk.
    keepers.set_isolated(former, true);
    keepers.all[former].stalled = true;
    keepers.propose(former, 2);
    keepers.propose(former, 3);
    keepers.run(3_000);
    let leader = keepers.leader().unwrap();
    let third = others(former).into_iter().find(|at| *at != leader).unwrap();
    // The former leader refuses the present leader's messages, and its answers are lost.
    keepers.set_cut(leader, former, false);
    keepers.all[third].stalled = true;
    keepers.propose(leader, 4);
    keepers.run(300);
    keepers.set_cut(leader, former, true);
    keepers.set_cut(former, leader, false);
    keepers.all[former].stalled = false;
    keepers.settle();
    assert_eq!(keepers.committed, [1], "no other disk holds the last entry");
    keepers.lose_all(leader, 0);
    keepers.recover(5);
}

/// Takes the copies of messages in transit that `is_wanted` accepts, and drops all others.
fn take_copies(keepers: &mut Keepers, is_wanted: impl Fn(&Raft) -> bool) -> Vec<Envelope> {
    let all = std::mem::take(&mut keepers.in_transit).into_iter();
    all.filter(|(.., body)| matches!(body, Body::Raft(_, _, raft) if is_wanted(raft))).collect()
}

/// Guards against a snapshot that removes later entries which the keeper has acknowledged.
#[test]
fn late_snapshot() {
    let mut keepers = Keepers::new(3, 3, 2);
    let leader = keepers.leader().unwrap();
    let [behind, third] = others(leader);
    keepers.set_isolated(behind, true);
    for number in 1..=12 {
        keepers.propose(leader, number);
        keepers.run(40);
    }
    // The refusal that calls for the snapshot arrives twice, the second time long afterwards.
    keepers.heal();
    keepers.act(leader, |group, now| group.send_heartbeat(now.mono));
    while let Some(at) = keepers.in_transit.iter().position(|(_, to, _)| *to == behind) {
        keepers.deliver(at);
    }
    let refusals =
        take_copies(&mut keepers, |body| matches!(body, Raft::Appended { success: false, .. }));
    assert!(!refusals.is_empty());
    keepers.in_transit.extend(refusals.clone());
    keepers.run(500);
    assert_eq!(keepers.group(behind).unwrap().machine().0.len(), 12);
    // One of two further entries is committed without the knowledge of the keeper that holds both.
    keepers.propose(leader, 13);
    keepers.propose(leader, 14);
    while let Some(at) = keepers.in_transit.iter().position(|(from, ..)| *from == leader) {
        keepers.deliver(at);
    }
    keepers.sync(behind, usize::MAX);
    let acknowledgements = take_copies(&mut keepers, |_| true);
    keepers.set_cut(leader, behind, true);
    keepers.sync(leader, usize::MAX);
    keepers.sync(third, 1);
    keepers.all[third].stalled = true;
    keepers.run(1_100);
    assert_eq!(keepers.committed.len(), 13);
    keepers.heal();
    keepers.in_transit = refusals;
    while keepers.in_transit.iter().any(|(_, to, _)| *to == leader) {
        keepers.deliver(0);
    }
    keepers.in_transit = take_copies(&mut keepers, |body| matches!(body, Raft::Snapshot { .. }));
    assert!(!keepers.in_transit.is_empty());
    while !keepers.in_transit.is_empty() {
        keepers.deliver(0);
        keepers.in_transit.retain(|(_, to, _)| *to == behind);
    }
    keepers.sync(behind, usize::MAX);
    keepers.in_transit = acknowledgements;
    while keepers.in_transit.iter().any(|(_, to, _)| *to == leader) {
        keepers.deliver(0);
        keepers.in_transit.retain(|(_, to, _)| *to == leader);
    }
    assert_eq!(keepers.committed.len(), 14, "two disks hold the last entry");
    keepers.lose_disk(leader);
    keepers.lose_power(third, 0);
    keepers.recover(15);
}

/// Guards against an entry that counts as stored because an earlier write of it has ended, although
/// later writes removed it and wrote it again.
#[test]
fn written_again() {
    let entry = |index, term| Entry { index, term, payload: Payload::Empty };
    let append = |term, prev, commit, entries| Raft::Append {
        term,
        prev,
        prev_term: term,
        commit,
        entries,
        sent: 1,
        echo: 0,
    };
    let mut keepers = Keepers::new(3, 3, 4);
    keepers.lose_disk(2);
    keepers.start(2);
    keepers.in_transit.clear();
    keepers.all[2].unsynced.clear();
    let send = |keepers: &mut Keepers, from: usize, body: Raft| {
        let route = Route { formation: keepers::FORMATION, from: 1, to: 2 };
        let body = Body::Raft(Group::Settings, route, body);
        keepers.in_transit.insert(0, (from, 2, body));
        keepers.deliver(0);
    };
    // The keeper joins the group at the first message, which it refuses.
    send(&mut keepers, 0, append(2, 9, 9, vec![]));
    send(&mut keepers, 0, append(2, 0, 0, vec![entry(1, 2)]));
    send(&mut keepers, 1, append(3, 0, 0, vec![entry(1, 3)]));
    send(&mut keepers, 0, append(4, 0, 0, vec![entry(1, 2), entry(2, 4)]));
    let acknowledged = |keepers: &Keepers| {
        let index = |body: &Body| match body {
            Body::Raft(_, _, Raft::Appended { success: true, index, .. }) => *index,
            _ => 0,
        };
        keepers.in_transit.iter().map(|(.., body)| index(body)).max()
    };
    let is_entry = |(_, save): &(u64, Save)| matches!(save, Save::Entry(_));
    let first = keepers.all[2].unsynced.iter().position(is_entry).unwrap();
    keepers.sync(2, first + 1);
    assert_eq!(acknowledged(&keepers), Some(0), "two writes of the entry are to come");
    keepers.sync(2, usize::MAX);
    assert_eq!(acknowledged(&keepers), Some(2));
}

/// Guards against a keeper that takes a seat with a snapshot that is not on its disk.
#[test]
fn unsaved_snapshot() {
    let mut keepers = Keepers::new(3, 3, 3);
    let leader = keepers.leader().unwrap();
    let [lagging, lost] = others(leader);
    // Only two disks hold the entries, one of which is lost.
    keepers.all[lagging].stalled = true;
    for number in 1..=12 {
        keepers.propose(leader, number);
        keepers.run(40);
    }
    keepers.lose_disk(lost);
    keepers.start(lost);
    keepers.all[lost].stalled = true;
    keepers.run(2_000);
    if !keepers.has_seat(lost) {
        keepers.all[lost].stalled = false;
        keepers.run(4_000);
        assert!(keepers.has_seat(lost), "the disk holds everything");
    }
    let count = keepers.committed.len();
    assert_eq!(count, 12);
    keepers.lose_all(leader, 0);
    keepers.recover(13);
}

/// Guards against entries that never count as stored because the log was compacted before their
/// write ended.
#[test]
fn lagging_disk() {
    let mut keepers = Keepers::new(3, 3, 5);
    let leader = keepers.leader().unwrap();
    let [slow, _] = others(leader);
    keepers.all[slow].stalled = true;
    let stored = |keepers: &Keepers| {
        let raft = keepers.group(leader).unwrap().raft().unwrap();
        let mut peers = raft.peers();
        peers.find(|(peer, _)| peer.name.as_str() == format!("k{slow}")).unwrap().1.match_index
    };
    let before = stored(&keepers);
    for number in 1..=4 {
        keepers.propose(leader, number);
        keepers.run(40);
    }
    let batch = keepers.all[slow].unsynced.len();
    for number in 5..=12 {
        keepers.propose(leader, number);
        keepers.run(40);
    }
    keepers.sync(slow, batch);
    keepers.settle();
    assert_eq!(stored(&keepers), before + 4);
}

/// Loses one disk, and the power of all keepers, at a random moment of a random course of messages
/// and writes.
fn play(seed: u64) {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let count = [3, 4, 5][rng.random_range(0..3)];
    let founders = if count == 4 { 3 } else { count };
    let mut keepers = Keepers::new(count, founders, seed);
    let mut number = 0;
    for _ in 0..rng.random_range(1..400) {
        let (at, other) = (rng.random_range(0..count), rng.random_range(0..count));
        match rng.random_range(0..100) {
            0..25 => keepers.tick(),
            25..60 => {
                for _ in 0..rng.random_range(1..20) {
                    if !keepers.in_transit.is_empty() {
                        // Mostly in order, as on a stream.
                        let late = rng.random_range(0..keepers.in_transit.len());
                        keepers.deliver(if rng.random_bool(0.9) { 0 } else { late });
                    }
                }
            }
            60..66 if !keepers.in_transit.is_empty() => {
                let index = rng.random_range(0..keepers.in_transit.len());
                keepers.in_transit.remove(index);
            }
            66..69 if !keepers.in_transit.is_empty() => {
                let copy =
                    keepers.in_transit[rng.random_range(0..keepers.in_transit.len())].clone();
                keepers.in_transit.push(copy);
            }
            69..79 => keepers.sync(at, rng.random_range(1..4)),
            79..81 => keepers.all[at].stalled = rng.random_bool(0.5),
            81..83 => keepers.set_cut(at, other, rng.random_bool(0.6)),
            83..84 => keepers.set_isolated(at, rng.random_bool(0.6)),
            84..85 => keepers.heal(),
            85..86 => keepers.lose_power(at, rng.random_range(0..4)),
            86..88 => keepers.start(at),
            88..97 => {
                number += 1;
                keepers.propose(at, number);
            }
            97..100 => keepers.run(rng.random_range(1..900)),
            _ => {}
        }
    }
    let lost = rng.random_range(0..count);
    let kept = rng.random_range(0..3);
    keepers.lose_all(lost, kept);
    keepers.recover(number + 1);
}

#[test]
fn all_without_power() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FAULT_SEED").unwrap_or(1);
    for seed in first..first + number("FAULT_CASES").unwrap_or(200) {
        println!("seed {seed}");
        play(seed);
    }
}
