//! Random faults, several at a time: nothing runs twice at a time, every "not run" is true, an
//! acknowledged configuration is never lost, and work goes on once the faults are over.
//!
//! `SEEDS=N` plays N seeds from `FIRST_SEED` on; a fault names its seed.

mod world;

use std::env;

use dispatch::{event::Reply, upstream::Phase};
use rand::RngExt as _;
use world::World;

const ZONES: usize = 3;
const ENTRIES: usize = 2;
const UPSTREAMS: usize = 6;
const INSTANCES: usize = ZONES * (ENTRIES + 1);

fn number(key: &str, default: u64) -> u64 {
    env::var(key).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Entries of a zone, so many that not everybody hears all keepers.
const WEAK_ENTRIES: usize = 6;
/// A task that brings upstreams down is started no more than twice after three were lost under it.
const MOST_STARTS: u32 = 5;

/// The step that ends a fault.
type End = Box<dyn FnOnce(&mut World)>;

/// One fault now, and the step that ends it.
fn fault(world: &mut World) -> End {
    let all = world.instances.len();
    let size = all / ZONES;
    let at = world.rng.random_range(0..all);
    let up = world.rng.random_range(0..world.upstreams.len());
    match world.rng.random_range(0..17) {
        0 | 1 => {
            world.kill(at);
            Box::new(move |world| world.start(at))
        }
        2 | 3 => {
            world.freeze(at);
            Box::new(move |world| world.thaw(at))
        }
        14 => {
            // It starts again with its time of day off.
            world.skew = world.rng.random_range(-5_000..5_000);
            world.kill(at);
            Box::new(move |world| {
                world.start(at);
                world.skew = 0;
            })
        }
        15 => {
            world.busy = world.rng.random_range(0..200) * 1_000;
            Box::new(|world| world.busy = 0)
        }
        16 => {
            // The keepers come first in their zones.
            world.ear = Some(at - at % size);
            Box::new(|world| world.ear = None)
        }
        4 => {
            let zone = at % ZONES;
            world.cut_zone(zone, true);
            Box::new(move |world| world.cut_zone(zone, false))
        }
        5 => {
            let other = world.rng.random_range(0..all);
            world.cut(at, other, true);
            Box::new(move |world| world.cut(at, other, false))
        }
        6 => {
            for other in 0..all {
                world.cut(at, other, true);
                world.cut(other, at, true);
            }
            Box::new(move |world| {
                for other in 0..all {
                    world.cut(at, other, false);
                    world.cut(other, at, false);
                }
            })
        }
        7 | 8 => {
            for instance in 0..all {
                world.wall(up, instance, true);
            }
            Box::new(move |world| {
                for instance in 0..all {
                    world.wall(up, instance, false);
                }
            })
        }
        9 => {
            world.wall(up, at, true);
            Box::new(move |world| world.wall(up, at, false))
        }
        10 => {
            let life: u32 = world.rng.random();
            world.upstreams[up].crash(&format!("i-{up}-{life}"));
            Box::new(|_| {})
        }
        11 => {
            world.upstreams[up].hangs = true;
            Box::new(move |world| world.upstreams[up].hangs = false)
        }
        12 => {
            world.late = 15;
            Box::new(|world| world.late = 0)
        }
        _ => {
            world.announce(up, Phase::Leaving);
            Box::new(|_| {})
        }
    }
}

/// One fault of an upstream or an entry now, and the step that ends it. Schedulers live on: what one of
/// them started just before it was lost is known to nobody.
fn fatal_fault(world: &mut World) -> End {
    let up = world.rng.random_range(0..world.upstreams.len());
    match world.rng.random_range(0..6) {
        0..3 => {
            let (room, now) = (world.upstreams[up].room.cpu, world.now);
            let least = world.rng.random_range(0..room);
            world.upstreams[up].resize(least, now);
            Box::new(move |world| world.upstreams[up].resize(room, world.now))
        }
        3 => {
            let zone = world.rng.random_range(0..ZONES);
            let entry = zone * (ENTRIES + 1) + world.rng.random_range(1..=ENTRIES);
            world.kill(entry);
            Box::new(move |world| world.start(entry))
        }
        4 => {
            for instance in 0..INSTANCES {
                world.wall(up, instance, true);
            }
            Box::new(move |world| {
                for instance in 0..INSTANCES {
                    world.wall(up, instance, false);
                }
            })
        }
        _ => {
            world.announce(up, Phase::Leaving);
            Box::new(|_| {})
        }
    }
}

/// Some fault, or a zone that is evacuated, and the step that ends it.
fn evacuation_fault(world: &mut World) -> End {
    if world.rng.random_range(0..3) > 0 {
        return fault(world);
    }
    let zone = world.rng.random_range(0..ZONES);
    let keeper = world.rng.random_range(0..ZONES) * (ENTRIES + 1);
    world.evacuate(keeper, zone, true);
    Box::new(move |world| {
        world.evacuate(keeper, zone, false);
    })
}

/// Takes all zones back, now that an order can be carried out.
fn take_back(world: &mut World) {
    world.run(3_000);
    for zone in 0..ZONES {
        let ticket = world.evacuate(0, zone, false);
        world.run(500);
        assert_eq!(world.reply(ticket), Some(&Reply::Noted), "zone {zone}");
    }
}

/// A zone with two keepers and two entries, as the tests of slow streams have it.
const SLOW_KEEPERS: usize = 2;
const SLOW_SIZE: usize = SLOW_KEEPERS + ENTRIES;

/// One fault now, among them streams on which messages wait for seconds, and the step that ends
/// it.
fn slow_fault(world: &mut World) -> End {
    let all = world.instances.len();
    let at = world.rng.random_range(0..all);
    let other = world.rng.random_range(0..all);
    let up = world.rng.random_range(0..world.upstreams.len());
    let ms = world.rng.random_range(500..4_000);
    let pairs: Vec<(usize, usize)> = match world.rng.random_range(0..14) {
        0 => vec![(at, other)],
        1 => vec![(at, other), (other, at)],
        2 | 3 => (0..all).map(|other| (at, other)).collect(),
        4 | 5 => (0..all).map(|other| (other, at)).collect(),
        6 => {
            let zone = at / SLOW_SIZE * SLOW_SIZE;
            (0..all).flat_map(|from| (zone..zone + SLOW_SIZE).map(move |to| (from, to))).collect()
        }
        7 => {
            world.kill(at);
            return Box::new(move |world| world.start(at));
        }
        8 => {
            world.freeze(at);
            return Box::new(move |world| world.thaw(at));
        }
        9 => {
            world.cut(at, other, true);
            return Box::new(move |world| world.cut(at, other, false));
        }
        10 => {
            world.wall(up, at, true);
            return Box::new(move |world| world.wall(up, at, false));
        }
        11 | 12 => {
            // Upstreams are replaced, and their news waits at the keeper that they told.
            let zone = at / SLOW_SIZE;
            let ear = zone * SLOW_SIZE + at % SLOW_KEEPERS;
            world.ear = Some(ear);
            for up in zone * UPSTREAMS..zone * UPSTREAMS + UPSTREAMS / 2 {
                let life: u32 = world.rng.random();
                world.upstreams[up].crash(&format!("i-{up}-{life}"));
                world.announce(up, Phase::Serving);
            }
            (0..all).map(|other| (ear, other)).collect()
        }
        _ => {
            world.late = 15;
            return Box::new(|world| world.late = 0);
        }
    };
    let fills = world.rng.random_range(0..2) == 0;
    for (from, to) in &pairs {
        if fills {
            world.fill_up(*from, *to, ms);
        } else {
            world.slow(*from, *to, ms);
        }
    }
    Box::new(move |world| {
        for (from, to) in pairs {
            world.slow(from, to, 0);
        }
        world.ear = None;
    })
}

/// A job each 20 ms for `ms` milliseconds, the three kinds (tasks and their length) in turn.
fn load(world: &mut World, kinds: Kinds, ms: u64) {
    const GAP: u64 = 20;
    for at in 0..ms / GAP {
        let zone = world.rng.random_range(0..ZONES);
        let (count, length) = kinds[at as usize % 3];
        let cpu = world.rng.random_range(10_000..20_000);
        let id = world.submit(zone, count, cpu, length);
        let fatal = world.fatal > 0 && world.rng.random_range(0..world.fatal) == 0;
        if fatal && let Some(request) = world.requests.get_mut(&id) {
            // Its client waits for long.
            request.job.patience = 30_000;
            world.crashing.insert(id.clone());
        }
        world.run(GAP);
        if world.rng.random_range(0..20) == 0 {
            world.leave(&id);
        }
    }
}

/// Kinds of jobs: how many tasks, and their length, milliseconds.
type Kinds = [(u32, u64); 3];

struct Plan {
    /// Instances of a zone.
    size: usize,
    fault: fn(&mut World) -> End,
    kinds: Kinds,
    /// Faults last this many times longer.
    pace: u64,
    /// What is done once the faults are over.
    calm: fn(&mut World),
}

fn play(seed: u64) {
    let world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
    let kinds = [(8, 60), (2, 200), (4, 900)];
    play_with(world, seed, &Plan { size: ENTRIES + 1, fault, kinds, pace: 1, calm: |_| {} });
}

fn play_slow(seed: u64, kinds: Kinds) {
    let mut world = World::with_keepers(seed, ZONES, SLOW_KEEPERS, ENTRIES, UPSTREAMS);
    world.lossy = true;
    play_with(
        world,
        seed,
        &Plan { size: SLOW_SIZE, fault: slow_fault, kinds, pace: 2, calm: |_| {} },
    );
}

/// Upstreams that guard nothing shrink and grow, and one job in a hundred brings down each upstream
/// that starts it.
fn play_fatal(seed: u64) {
    let mut world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
    world.fatal = 100;
    for upstream in &mut world.upstreams {
        upstream.guards = false;
    }
    let kinds = [(8, 60), (2, 200), (4, 900)];
    let plan = Plan { size: ENTRIES + 1, fault: fatal_fault, kinds, pace: 3, calm: |_| {} };
    let world = play_with(world, seed, &plan);
    let over: u32 = world.upstreams.iter().map(|upstream| upstream.over).sum();
    assert_eq!(over, 0, "seed {seed}: starts over a room that had shrunk");
    let fatal = world.begun.iter().filter(|(task, _)| world.crashing.contains(&task.job));
    for (task, starts) in fatal {
        assert!(*starts <= MOST_STARTS, "seed {seed}: {starts} starts of {task:?}");
    }
}

fn play_with(mut world: World, seed: u64, plan: &Plan) -> World {
    let Plan { size, fault, kinds, pace, calm } = *plan;
    world.run(3_000);
    let mut version = 0;
    let mut held = 0;
    for _ in 0..4 {
        let count = world.rng.random_range(1..4);
        let mut ends = Vec::new();
        for _ in 0..count {
            ends.push(fault(&mut world));
            let time = world.rng.random_range(50..600);
            load(&mut world, kinds, time);
        }
        version += 1;
        let keeper = world.rng.random_range(0..ZONES) * size;
        let ticket = world.publish(keeper, version, "text");
        let time = world.rng.random_range(300..2_500) * pace;
        load(&mut world, kinds, time);
        if world.reply(ticket) == Some(&Reply::Noted) {
            held = version;
        }
        for end in ends {
            end(&mut world);
        }
        let time = world.rng.random_range(100..1_500);
        load(&mut world, kinds, time);
    }
    for at in 0..world.instances.len() {
        if world.instances[at].core.is_none() {
            world.start(at);
        }
    }
    world.fatal = 0;
    calm(&mut world);
    world.run(6_000);
    let before = world.complete();
    load(&mut world, kinds, 1_000);
    world.run(4_000);
    assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    let more = world.complete() - before;
    assert!(more > 20, "seed {seed}: work goes on after the faults, {more} more complete");
    for instance in &world.instances {
        let core = instance.core.as_ref().unwrap();
        assert!(core.document().version >= held, "seed {seed}: {} is behind", instance.card.name);
    }
    world
}

#[test]
fn seeds() {
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 12) {
        play(seed);
    }
}

#[test]
fn evacuated_seeds() {
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 12) {
        let world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
        let kinds = [(8, 60), (2, 200), (4, 900)];
        let (size, fault, calm) =
            (ENTRIES + 1, evacuation_fault as fn(&mut World) -> End, take_back);
        let world = play_with(world, seed, &Plan { size, fault, kinds, pace: 1, calm });
        for instance in &world.instances {
            let held = instance.core.as_ref().map(|core| core.evacuations().zones.len());
            assert_eq!(held, Some(0), "seed {seed}: {}", instance.card.name);
        }
    }
}

#[test]
fn fatal_seeds() {
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 12) {
        play_fatal(seed);
    }
}

/// Entries too weak to schedule their zones, which keepers of other zones adopt.
fn play_weak(seed: u64) {
    let mut world = World::with_keepers(seed, ZONES, 1, WEAK_ENTRIES, UPSTREAMS);
    world.cores = UPSTREAMS as u64;
    for at in 0..world.instances.len() {
        world.kill(at);
        world.start(at);
    }
    let kinds = [(8, 60), (2, 200), (4, 900)];
    play_with(
        world,
        seed,
        &Plan { size: WEAK_ENTRIES + 1, fault: weak_fault, kinds, pace: 2, calm: |_| {} },
    );
}

/// A fault that keepers have more often than others.
fn weak_fault(world: &mut World) -> End {
    let keeper = world.rng.random_range(0..ZONES) * (WEAK_ENTRIES + 1);
    match world.rng.random_range(0..4) {
        0 => {
            world.kill(keeper);
            Box::new(move |world| world.start(keeper))
        }
        1 => {
            world.freeze(keeper);
            Box::new(move |world| world.thaw(keeper))
        }
        _ => fault(world),
    }
}

#[test]
fn weak_seeds() {
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 12) {
        play_weak(seed);
    }
}

#[test]
fn slow_seeds() {
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 12) {
        play_slow(seed, [(1, 100), (1, 300), (1, 900)]);
    }
}

#[test]
fn regressions() {
    // 111: a claim that nobody stood by (`takeover::claim_of_nobody`).
    play_slow(111, [(12, 60), (5, 200), (6, 900)]);
    // 286: a task that was given back ran there still, left over from the submission before, whose
    // entry was lost; when that run ended the task started again beside the one elsewhere.
    play(286);
}

#[test]
fn slow_shared_seeds() {
    // Jobs too wide for what is free in one zone: their tasks are with several schedulers, each of
    // which may be lost, frozen, cut off or late.
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 12) {
        play_slow(seed, [(12, 60), (5, 200), (3, 900)]);
    }
}
