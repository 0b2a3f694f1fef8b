//! Slot shares, loans, placement and ejection.

use std::collections;

use coord::{
    fleet::{Availability, End, Fleet},
    share,
};
use proptest::prelude::*;
use state::{Name, boot, upstream};

/// One second, microseconds.
const SECOND: u64 = 1_000_000;

fn upstream(name: &str, slots: u32) -> upstream::Upstream {
    upstream::Upstream {
        name: Name::new(name),
        service: Name::new("a"),
        zone: Name::new("west"),
        address: Name::new("127.0.0.1:1"),
        slots,
        phase: upstream::Phase::Serving,
        capacity: None,
        sequence: 1,
        number: 0,
    }
}

fn fleet(rank: u32, count: u32, upstreams: usize, slots: u32) -> Fleet {
    let mut fleet = Fleet::new(boot::Baselines::default(), 1);
    for number in 0..upstreams {
        fleet.put(upstream(&format!("u{number}"), slots), 100 * SECOND);
    }
    fleet.set_rank(Some((rank, count)));
    fleet
}

fn pick(fleet: &mut Fleet, now: u64) -> Option<Name> {
    let picked = fleet.pick(&Name::new("a"), &upstream::Resources::default(), None, now)?;
    fleet.start(&picked);
    Some(picked)
}

#[test]
fn black_hole() {
    // An upstream that fails every task immediately looks idle and fast. It is ejected, gets one
    // task at a time afterwards, and does not cause the ejection of the others.
    let mut fleet = fleet(0, 1, 4, 8);
    let mut picks = 0;
    for step in 0..1_000_u64 {
        let now = SECOND + step * 1_000;
        let Some(picked) = pick(&mut fleet, now) else {
            continue;
        };
        let bad = picked.as_str() == "u0";
        picks += u32::from(bad);
        fleet.finish(&picked, if bad { End::Failed } else { End::Answered(50_000) }, now);
    }
    assert!(picks <= 8, "{picks} of 1000 tasks went to the failing upstream");
    assert!(fleet.is_ejected("u0", 2 * SECOND - 1));
}

#[test]
fn never_emptied() {
    let mut fleet = fleet(0, 1, 4, 8);
    for step in 0..400_u64 {
        let now = SECOND + step;
        if let Some(picked) = pick(&mut fleet, now) {
            fleet.finish(&picked, End::Failed, now);
        }
    }
    let ejected = (0..4).filter(|n| fleet.is_ejected(&format!("u{n}"), SECOND + 400)).count();
    assert_eq!(ejected, 2, "at most half of the upstreams of a service are ejected");
    assert!(pick(&mut fleet, SECOND + 400).is_some());
}

#[test]
fn slow_ones_last() {
    let mut fleet = fleet(0, 1, 2, 8);
    for (name, took) in [("u0", 500_000), ("u1", 50_000)] {
        let name = Name::new(name);
        for _ in 0..10 {
            fleet.start(&name);
            fleet.finish(&name, End::Answered(took), SECOND);
        }
    }
    let picked: Vec<_> = (0..6).filter_map(|_| pick(&mut fleet, SECOND)).collect();
    assert!(picked.iter().all(|name| name.as_str() == "u1"), "{picked:?}");
}

#[test]
fn reach_ranks() {
    let needs = |cores| upstream::Resources { cores, ..upstream::Resources::default() };
    let room = upstream::Resources { cores: 2.0, memory_mb: 100, accelerators: 0 };
    let mut fleet = Fleet::new(boot::Baselines::default(), 1);
    let service = Name::new("a");
    assert_eq!(fleet.availability(&service, &needs(1.0), 0), Availability::NoUpstream);
    let small = upstream::Upstream { capacity: Some(room), ..upstream("u0", 1) };
    fleet.put(small, SECOND);
    let cases = [
        (1.0, 0, Availability::Open),
        (1.0, 2 * SECOND, Availability::Closed),
        (4.0, 0, Availability::Unfit),
    ];
    for (cores, now, expected) in cases {
        assert_eq!(fleet.availability(&service, &needs(cores), now), expected, "{cores} {now}");
    }
}

#[test]
fn older_news() {
    let mut fleet = fleet(0, 1, 1, 8);
    let gone =
        upstream::Upstream { phase: upstream::Phase::Gone, sequence: 9, ..upstream("u0", 8) };
    assert!(fleet.put(gone, 200 * SECOND));
    assert!(!fleet.put(upstream::Upstream { sequence: 8, ..upstream("u0", 8) }, 300 * SECOND));
    assert_eq!(pick(&mut fleet, SECOND), None);
}

/// Guards against a copy of an announcement that its upstream has given up and followed by another
/// one, whichever instance reads it last.
#[test]
fn late_announcement() {
    let numbered = |phase, sequence, number| upstream::Upstream {
        phase,
        sequence,
        number,
        ..upstream("u0", 8)
    };
    for last in [upstream::Phase::Leaving, upstream::Phase::Gone] {
        let mut fleet = fleet(0, 1, 1, 8);
        fleet.put(numbered(upstream::Phase::Serving, 2, 5), 200 * SECOND);
        assert!(fleet.put(numbered(last, 3, 6), 200 * SECOND));
        for number in [4, 5] {
            let late = numbered(upstream::Phase::Serving, 9, number);
            assert!(!fleet.put(late, 300 * SECOND), "{last:?}, {number}");
        }
        assert_eq!(pick(&mut fleet, SECOND), None, "{last:?}");
        // The newer one counts although the clock of the instance that read it is behind.
        assert!(fleet.put(numbered(upstream::Phase::Serving, 1, 7), 300 * SECOND), "{last:?}");
        assert!(pick(&mut fleet, SECOND).is_some(), "{last:?}");
    }
    let mut fleet = fleet(0, 1, 1, 8);
    fleet.put(numbered(upstream::Phase::Gone, 2, 5), 200 * SECOND);
    assert!(!fleet.put(numbered(upstream::Phase::Serving, 9, 5), 300 * SECOND));
    assert_eq!(pick(&mut fleet, SECOND), None, "a copy of the last one before the withdrawal");
}

/// A step of a simulation of instances that share one upstream.
#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Finish(usize),
    Ask(usize, usize, u32),
    Return(usize),
    Wait(u64),
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3_usize).prop_map(Step::Start),
        4 => (0..3_usize).prop_map(Step::Finish),
        4 => (0..3_usize, 0..3_usize, 1..9_u32).prop_map(|(a, b, n)| Step::Ask(a, b, n)),
        2 => (0..3_usize).prop_map(Step::Return),
        2 => (1..7_u64).prop_map(|s| Step::Wait(s * SECOND)),
        1 => (0..3_usize).prop_map(Step::Leave),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(256)
    })]

    /// For a fixed membership, the shares add up to exactly the slots.
    #[test]
    fn shares_add_up(slots in 1..300_u32, count in 1..12_u32, number in 0..1000_u32) {
        let name = format!("u{number}");
        let sum: u32 = (0..count).map(|rank| share::share(&name, slots, rank, count)).sum();
        prop_assert_eq!(sum, slots);
    }

    /// No slot is used twice, whichever loans are made, returned or expire.
    #[test]
    fn used_once(slots in 3..12_u32, steps in prop::collection::vec(step(), 1..80)) {
        let names = [Name::new("i0"), Name::new("i1"), Name::new("i2")];
        let mut fleets: Vec<_> = (0..3).map(|rank| fleet(rank, 3, 1, slots)).collect();
        let mut now = SECOND;
        let mut running = [0_u32; 3];
        let service = Name::new("a");
        let mut may_exceed = false;
        for step in steps {
            match step {
                Step::Start(at) => running[at] += u32::from(pick(&mut fleets[at], now).is_some()),
                Step::Finish(at) if running[at] > 0 => {
                    running[at] -= 1;
                    fleets[at].finish(&Name::new("u0"), End::Neutral, now);
                }
                Step::Finish(_) => {}
                Step::Ask(a, b, _) if a == b => {}
                Step::Ask(to, by, count) => {
                    let held = fleets[to].borrowed_from(&names[by], &service);
                    fleets[by].reconcile_loans(&names[to], &service, held);
                    let lent = fleets[by].lend(&names[to], &service, count, now);
                    fleets[to].borrow(&names[by], &lent, now);
                }
                Step::Return(at) => {
                    for (to, list) in fleets[at].return_idle() {
                        let to = names.iter().position(|name| *name == to).unwrap();
                        fleets[to].take_back(&names[at], &list);
                    }
                }
                Step::Wait(time) => {
                    now += time;
                    // A task that runs longer than its loan still occupies the slot. The upstream
                    // itself refuses a task in excess of its slots.
                    may_exceed |= running.iter().sum::<u32>() > 0;
                    for fleet in &mut fleets {
                        fleet.prune(now);
                    }
                }
                Step::Leave(at) => {
                    for (other, fleet) in fleets.iter_mut().enumerate() {
                        let gone = if other == at { None } else { Some(&names[at]) };
                        fleet.retain_loans(|name| gone.is_some_and(|gone| gone != name));
                    }
                    may_exceed |= running.iter().sum::<u32>() > 0;
                }
            }
            let used = running.iter().sum::<u32>();
            prop_assert!(may_exceed || used <= slots, "{running:?} of {slots}");
        }
    }
}

/// Upstreams of the same speed get the same load.
#[test]
fn even_load() {
    let mut fleet = fleet(0, 1, 10, 8);
    let mut counts = collections::BTreeMap::<Name, u32>::new();
    for _ in 0..40 {
        *counts.entry(pick(&mut fleet, SECOND).unwrap()).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}
