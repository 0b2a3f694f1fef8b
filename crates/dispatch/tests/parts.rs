//! A zone whose instances are too weak to schedule all of its upstreams: several of them share it.

mod world;

use dispatch::{
    candidates::{Candidate, RANK_DELAY, Vacancy},
    claim::Claim,
    event::{Event, Output},
    leadership::Claims,
    member::{Capacity, Card, Role},
    message::Body,
    parts::Parts,
    time::{MS, Now},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use state::name::Name;
use world::{World, zone_name};

/// The number of upstreams of the zone.
const UPSTREAMS: usize = 60;
/// The number of entries.
const ENTRIES: usize = 6;

fn claim(epoch: u64, holder: &str, parts: Parts) -> Claim {
    Claim { zone: "west".into(), epoch, holder: holder.into(), incarnation: 1, parts }
}

fn card(name: &str, role: Role, cpu: u32) -> Card {
    let capacity = Capacity { cpu, ..Capacity::default() };
    Card { name: name.into(), zone: "west".into(), role, incarnation: 1, capacity }
}

/// Claims merge to the same result in any order, and for each part the highest one holds.
#[test]
fn any_order() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let random = |rng: &mut SmallRng| {
            let (epoch, holder) = (rng.random_range(1..6), rng.random_range(1..4));
            let bits = rng.random_range(0..8_u32) | rng.random_range(0..8_u32) << 29;
            claim(epoch, &format!("10.0.0.{holder}:7"), Parts::from_bits(bits))
        };
        let mut all: Vec<_> = (0..8).map(|_| random(&mut rng)).collect();
        let mut results = Vec::new();
        for _ in 0..4 {
            all.shuffle(&mut rng);
            let mut claims = Claims::default();
            for claim in &all {
                claims.merge(claim, 1);
            }
            results.push(claims.iter().cloned().collect::<Vec<_>>());
            for part in Parts::ALL.iter() {
                let named = all.iter().filter(|claim| claim.parts.covers(part));
                let highest = named.map(|claim| claim.epoch).max();
                let held = claims.of_part(&"west".into(), part).map(|claim| claim.epoch);
                assert_eq!(held, highest, "seed {seed}");
            }
        }
        results.dedup();
        assert_eq!(results.len(), 1, "seed {seed}: {results:?}");
    }
}

#[test]
fn current_claims() {
    let (low, high) = (Parts::from_bits(0xffff), Parts::from_bits(0xffff_0000));
    let mut claims = Claims::default();
    let whole = claim(1, "10.0.0.1:7", Parts::ALL);
    assert!(claims.merge(&whole, 1) && claims.is_current(&whole));
    assert!(!claims.merge(&claim(9, "10.0.0.2:7", Parts::NONE), 1), "it names no part");
    let second = claim(2, "10.0.0.2:7", low);
    assert!(claims.merge(&second, 1) && claims.is_current(&second));
    assert!(!claims.is_current(&whole), "it has lost a part");
    assert_eq!(claims.parts_of(&card("10.0.0.1:7", Role::Entry, 0), &"west".into()), high);
    claims.merge(&claim(3, "10.0.0.3:7", high), 1);
    assert_eq!(claims.iter().count(), 2, "a claim without a part is dropped");
    assert!(!claims.merge(&whole, 1));
}

/// The number of parts that each of these candidates may claim once the zone has been vacant for
/// `age`.
fn shares(cards: &[Card], upstreams: u64, age: u64) -> Vec<u32> {
    let share = |me: &Card| {
        let others = cards.iter().filter(|card| card.name != me.name);
        let others = others.map(|card| Candidate { card, informed: true, holds: false });
        let vacancy = Vacancy { parts: Parts::ALL, upstreams, age };
        vacancy.due(Candidate { card: me, informed: true, holds: false }, others).len()
    };
    cards.iter().map(share).collect()
}

#[test]
fn number_of_holders() {
    let entry = |at: usize, cpu| card(&format!("10.0.0.{at}:7"), Role::Entry, cpu);
    let weak: Vec<_> = (1..5).map(|at| entry(at, 120)).collect();
    assert_eq!(shares(&weak, 60, 0), [32, 0, 0, 0], "one bears it");
    assert_eq!(shares(&weak, 61, 0), [11, 11, 10, 0], "each takes half as much as one alone");
    assert_eq!(shares(&weak, 500, 0), [8, 8, 8, 8], "too many for all of them");
    assert_eq!(shares(&weak, 61, 3 * RANK_DELAY), [32, 32, 32, 32], "each after its turn");
    let unknown: Vec<_> = (1..5).map(|at| entry(at, 0)).collect();
    assert_eq!(shares(&unknown, 5_000, 0), [32, 0, 0, 0], "unknown capacity is enough");
    let mut mixed = weak;
    mixed.push(card("10.0.0.9:7", Role::Keeper, 400));
    assert_eq!(shares(&mixed, 350, 0), [0, 0, 0, 0, 32], "a keeper bears more");
    assert_eq!(shares(&mixed, 1_000, 0), [0, 0, 0, 0, 32], "no entry has a better share");
}

/// Starts a zone with one keeper and entries that each bear a third of it.
fn weak_world(seed: u64) -> World {
    let mut world = World::new(seed, 1, ENTRIES, UPSTREAMS);
    world.cores = UPSTREAMS as u64 * 3 / 2;
    world.states_capacity = true;
    for at in 0..world.instances.len() {
        world.kill(at);
        world.start(at);
    }
    world.run(4_000);
    assert_eq!(world.schedulers(0), [0], "seed {seed}");
    world
}

/// Submits a job every 5 ms for `ms` milliseconds and returns how many were completed by then, or
/// 300 ms later.
fn served(world: &mut World, ms: u64) -> (usize, usize) {
    let mut jobs = Vec::new();
    for _ in 0..ms / 5 {
        let (count, length) = [(1, 60), (2, 150), (1, 100)][jobs.len() % 3];
        jobs.push(world.submit(0, count, 2_000, length));
        world.run(5);
    }
    world.run(300);
    (jobs.iter().filter(|id| world.is_complete(id)).count(), jobs.len())
}

/// All keepers are lost while jobs run. Several entries take the zone over, each a share.
#[test]
fn keepers_lost() {
    for seed in 0..8 {
        let mut world = weak_world(seed);
        served(&mut world, 1_000);
        let lost_at = world.now;
        world.kill(0);
        served(&mut world, 1_700);
        assert_eq!(world.schedulers(0).len(), 3, "seed {seed}");
        let first = world.start_times.values().filter(|at| **at > lost_at).min();
        let first = first.map(|at| (at - lost_at) / MS);
        assert!(first.is_some_and(|first| first < 1_200), "seed {seed}: first start {first:?}");
        let (in_time, all) = served(&mut world, 2_000);
        assert!(in_time * 10 >= all * 8, "seed {seed}: {in_time} of {all}");
        world.run(3_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// Jobs that the lost keeper had go on as soon as the holders have told one another that nothing of
/// them runs at their upstreams.
#[test]
fn former_runs_asked() {
    for seed in 0..8 {
        let mut world = weak_world(seed);
        let submit = |world: &mut World| {
            let id = world.submit(0, 1, 2_000, 700);
            world.run(4);
            id
        };
        let jobs: Vec<Name> = (0..60).map(|_| submit(&mut world)).collect();
        world.kill(0);
        world.run(2_400);
        let complete = jobs.iter().filter(|id| world.is_complete(id)).count();
        assert!(complete >= 58, "seed {seed}: {complete} of 60 jobs completed");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// One of the entries that share a zone is lost. Another one takes its parts; the others keep
/// theirs.
#[test]
fn holder_lost() {
    for seed in 0..8 {
        let mut world = weak_world(seed);
        world.kill(0);
        world.run(2_000);
        let former = world.schedulers(0);
        assert_eq!(former.len(), 3, "seed {seed}");
        let yielded = world.log_counts.get("zone: Yielded to a higher claim.").copied();
        world.kill(former[1]);
        world.run(1_300);
        let now = world.schedulers(0);
        assert_eq!(now.len(), 3, "seed {seed}: {former:?} before, {now:?} after");
        assert!(now.contains(&former[0]) && now.contains(&former[2]), "seed {seed}");
        let after = world.log_counts.get("zone: Yielded to a higher claim.").copied();
        assert_eq!(after, yielded, "seed {seed}");
        let (in_time, all) = served(&mut world, 1_000);
        assert!(in_time * 10 >= all * 9, "seed {seed}: {in_time} of {all}");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// The keeper returns and takes all parts at once, while jobs go on.
#[test]
fn keeper_back() {
    for seed in 0..8 {
        let mut world = weak_world(seed);
        world.kill(0);
        world.run(2_500);
        world.start(0);
        let (in_time, all) = served(&mut world, 3_000);
        assert_eq!(world.schedulers(0), [0], "seed {seed}");
        assert!(in_time * 100 >= all * 95, "seed {seed}: {in_time} of {all}");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// A holder of parts knows nothing of the runs at the upstreams of the others. They end before
/// their tasks start again, although each holder finds runs of jobs that the others have.
#[test]
fn runs_end_first() {
    for seed in 0..8 {
        let mut world = weak_world(seed);
        let submit = |world: &mut World| {
            let id = world.submit(0, 1, 2_000, 5_000);
            world.requests.get_mut(&id).unwrap().job.patience = 14_000;
            world.run(2);
            id
        };
        let jobs: Vec<Name> = (0..100).map(|_| submit(&mut world)).collect();
        world.run(300);
        // Each entry is cut off from a share of the upstreams.
        for up in 0..UPSTREAMS {
            world.block_calls(up, 1 + up % ENTRIES, true);
        }
        world.kill(0);
        world.run(600);
        world.kill(1);
        world.run(1_000);
        world.start(0);
        world.run(14_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let complete = jobs.iter().filter(|id| world.is_complete(id)).count();
        assert!(complete >= 70, "seed {seed}: {complete} of 100 jobs completed");
    }
}

/// A holder of parts loses the link to an upstream after it has found a run there of a job that
/// another holder has. The run ends before its task starts again.
#[test]
fn found_then_cut() {
    for seed in 0..8 {
        let mut world = weak_world(seed);
        for _ in 0..100 {
            let id = world.submit(0, 1, 2_000, 5_000);
            world.requests.get_mut(&id).unwrap().job.patience = 14_000;
            world.run(2);
        }
        world.run(300);
        world.kill(0);
        world.run(500 + 40 * seed);
        for up in 0..UPSTREAMS {
            world.block_calls(up, 1 + up % ENTRIES, true);
        }
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// Claims that cannot hold are refused, and nothing is learned from them.
#[test]
fn refused_claims() {
    let mut world = World::new(3, 2, 2, 4);
    world.run(3_000);
    let foreign = world.instances[4].card.clone();
    let mut refused = 0;
    for parts in [Parts::NONE, Parts::ALL, Parts::from_bits(5)] {
        world.run(200);
        let at = world.now / MS + 200;
        let now = Now::new(at * MS, 1_800_000_000_000 + at);
        let outputs = world.instances[4].core.as_mut().unwrap().handle(Event::Tick, now);
        let ping = outputs.into_iter().find_map(|output| match output {
            Output::Send(_, Body::Ping(ping)) => Some(ping),
            _ => None,
        });
        let mut ping = ping.expect("heartbeats are due");
        let (holder, incarnation) = (foreign.name.clone(), foreign.incarnation);
        let epoch = u64::MAX >> 1;
        ping.claims.push(Claim { zone: zone_name(0), epoch, holder, incarnation, parts });
        let event = Event::Peer(foreign.name.clone(), Body::Ping(ping));
        let outputs = world.instances[1].core.as_mut().unwrap().handle(event, now);
        let is_note = |output: &&Output| format!("{output:?}").contains("A claim was refused");
        refused += outputs.iter().filter(is_note).count();
    }
    assert_eq!(refused, 1, "it is logged once");
    world.run(500);
    assert_eq!(world.schedulers(0), [0]);
}
