//! The queue of a service, retry budgets, the answer cache, and the seats of consensus groups.

use std::collections;

use coord::{
    cache::Answers,
    member::{self, Instance},
    message::Answer,
    queue::{Queue, Task},
    retry::Budget,
};
use proptest::prelude::*;
use state::{JobId, Name};

fn task(number: u128) -> Task {
    let uuid = uuid::Uuid::from_u128(number << 80 | 7 << 76);
    Task { job: JobId::new(&Name::new("west"), uuid), index: 0 }
}

#[test]
fn flooding_team() {
    let mut queue = Queue::new();
    let (flood, quiet) = (Name::new("t0"), Name::new("t1"));
    for number in 0..1_000 {
        queue.push(Some(&flood), 10, task(number));
    }
    for _ in 0..50 {
        queue.pop();
    }
    for number in 2_000..2_010 {
        queue.push(Some(&quiet), 99, task(number));
    }
    // The quiet team's ten tasks are among the next twenty or so.
    let next: Vec<_> = (0..21).filter_map(|_| queue.pop()).collect();
    let served = next.iter().filter(|t| t.job.created_ms() >= 2_000).count();
    assert_eq!(served, 10);
}

#[test]
fn earliest_first() {
    let mut queue = Queue::new();
    for (deadline, number) in [(30, 3), (10, 1), (20, 2), (10, 4)] {
        queue.push(None, deadline, task(number));
    }
    assert!(queue.remove(&task(2)) && !queue.remove(&task(2)));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|t| t.job.created_ms()).collect();
    assert_eq!(order, [1, 4, 3]);
}

#[test]
fn bounded_retries() {
    let mut budget = Budget::default();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(0.1);
        retries += u32::from(budget.spend());
    }
    assert!((95..=100).contains(&retries), "{retries}");
}

#[test]
fn bounded_answers() {
    let mut answers = Answers::new(10_000);
    let body = |size: usize| {
        vec![Answer { body: vec![0; size].into(), content_type: Name::new("text/plain") }]
    };
    for number in 0..100 {
        answers.put(&task(number).job, body(1_000));
        assert!(answers.bytes() <= 10_000);
    }
    assert!(answers.get(&task(99).job).is_some() && answers.get(&task(0).job).is_none());
    answers.prune(1_000_000);
    assert_eq!(answers.bytes(), 0);
}

fn instances(zones: &[(&str, usize)], disks: usize) -> Vec<Instance> {
    let in_zone = |(zone, count): &(&str, usize)| {
        let instance = |number: usize| Instance {
            name: Name::new(&format!("{zone}-{number}")),
            zone: Name::new(zone),
            has_disk: number < disks,
        };
        (0..*count).map(instance).collect::<Vec<_>>()
    };
    zones.iter().flat_map(in_zone).collect()
}

#[test]
fn journal_seats() {
    let cases: &[(&[(&str, usize)], usize)] = &[
        (&[("a", 1)], 1),
        (&[("a", 2)], 1),
        (&[("a", 3)], 3),
        (&[("a", 4)], 3),
        (&[("a", 5)], 5),
        (&[("a", 2), ("b", 2)], 3),
        (&[("a", 1), ("b", 1)], 1),
        (&[("a", 1), ("b", 2)], 3),
        (&[("a", 2), ("b", 2), ("c", 3)], 3),
    ];
    for (zones, expected) in cases {
        let seats = member::journal_seats(&instances(zones, 1), &Name::new("a"));
        assert_eq!(seats.len(), *expected, "{zones:?}: {seats:?}");
    }
    let seats = member::journal_seats(&instances(&[("a", 2), ("b", 2)], 1), &Name::new("a"));
    assert_eq!(seats, [Name::new("a-0"), Name::new("a-1"), Name::new("b-0")]);
}

#[test]
fn settings_seats() {
    let spread = member::settings_seats(&instances(&[("a", 3), ("b", 3), ("c", 3)], 2));
    let zones: collections::BTreeSet<_> = spread.iter().map(|n| n.as_str().split_at(1).0).collect();
    assert_eq!((spread.len(), zones.len()), (5, 3), "{spread:?}");
    assert_eq!(member::settings_seats(&instances(&[("a", 3)], 0)), [] as [Name; 0]);
    assert_eq!(member::settings_seats(&instances(&[("a", 3)], 2)).len(), 2, "all disks vote");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(256)
    })]

    /// Among teams that always have work, the numbers of started tasks differ by at most one.
    #[test]
    fn fair_shares(counts in prop::collection::vec(20..60_usize, 2..6), pops in 10..80_usize) {
        let mut queue = Queue::new();
        let mut number = 0;
        for (team, count) in counts.iter().enumerate() {
            for _ in 0..*count {
                number += 1;
                let team = Name::new(&format!("t{team}"));
                queue.push(Some(&team), number as u64, task(team_number(&team, number)));
            }
        }
        let mut served = vec![0_usize; counts.len()];
        for _ in 0..pops.min(20 * counts.len()) {
            let task = queue.pop().unwrap();
            served[(task.job.created_ms() >> 20) as usize] += 1;
        }
        let (least, most) = (served.iter().min().unwrap(), served.iter().max().unwrap());
        prop_assert!(most - least <= 1, "{served:?}");
    }
}

fn team_number(team: &Name, number: u128) -> u128 {
    let team: u128 = team.as_str()[1..].parse().unwrap();
    team << 20 | number
}
