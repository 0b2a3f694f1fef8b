//! Injects several random faults at a time and checks that no task runs twice at a time, that every
//! "not run" verdict is true, that an acknowledged configuration is never lost, and that jobs
//! complete again once the faults are over.
//!
//! `SEEDS=N` runs N seeds, starting with `FIRST_SEED`; a failure names its seed.

mod world;

use std::env;

use dispatch::{event::Reply, upstream::Phase};
use rand::RngExt as _;
use world::World;

const ZONES: usize = 3;
const ENTRIES: usize = 2;
const UPSTREAMS: usize = 6;
const INSTANCES: usize = ZONES * (ENTRIES + 1);

fn env_number(key: &str, default: u64) -> u64 {
    env::var(key).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The number of entries of a zone in the tests of weak entries: enough that not every instance
/// receives messages from all keepers.
const WEAK_ENTRIES: usize = 6;
/// The earliest start of an upstream that states one, milliseconds since 1970.
const FIRST_START: u64 = 1_800_000_000_000;
/// The highest number of starts of a task that crashes its upstreams: no more than two after it has
/// crashed three.
const MAX_STARTS: u32 = 5;

/// A function that ends a fault.
type FaultEnd = Box<dyn FnOnce(&mut World)>;

/// Starts a random fault and returns the function that ends it.
fn start_fault(world: &mut World) -> FaultEnd {
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
            Box::new(move |world| world.unfreeze(at))
        }
        14 => {
            // The instance restarts with a wrong wall clock.
            world.clock_skew = world.rng.random_range(-5_000..5_000);
            world.kill(at);
            Box::new(move |world| {
                world.start(at);
                world.clock_skew = 0;
            })
        }
        15 => {
            world.message_delay = world.rng.random_range(0..200) * 1_000;
            Box::new(|world| world.message_delay = 0)
        }
        16 => {
            // The keeper is the first instance of its zone.
            world.announce_target = Some(at - at % size);
            Box::new(|world| world.announce_target = None)
        }
        4 => {
            let zone = at % ZONES;
            world.set_zone_cut(zone, true);
            Box::new(move |world| world.set_zone_cut(zone, false))
        }
        5 => {
            let other = world.rng.random_range(0..all);
            world.set_cut(at, other, true);
            Box::new(move |world| world.set_cut(at, other, false))
        }
        6 => {
            for other in 0..all {
                world.set_cut(at, other, true);
                world.set_cut(other, at, true);
            }
            Box::new(move |world| {
                for other in 0..all {
                    world.set_cut(at, other, false);
                    world.set_cut(other, at, false);
                }
            })
        }
        7 | 8 => {
            for instance in 0..all {
                world.block_calls(up, instance, true);
            }
            Box::new(move |world| {
                for instance in 0..all {
                    world.block_calls(up, instance, false);
                }
            })
        }
        9 => {
            world.block_calls(up, at, true);
            Box::new(move |world| world.block_calls(up, at, false))
        }
        10 => {
            let suffix: u32 = world.rng.random();
            world.upstreams[up].restart_as(&format!("i-{up}-{suffix}"));
            Box::new(|_| {})
        }
        11 => {
            world.upstreams[up].hangs = true;
            Box::new(move |world| world.upstreams[up].hangs = false)
        }
        12 => {
            world.late_orders = 15;
            Box::new(|world| world.late_orders = 0)
        }
        _ => {
            world.announce(up, Phase::Leaving);
            Box::new(|_| {})
        }
    }
}

/// Starts a random fault of an upstream or an entry and returns the function that ends it. No
/// scheduler is lost, since no other instance knows the tasks that a scheduler started just before
/// its loss.
fn fault_sparing_schedulers(world: &mut World) -> FaultEnd {
    let up = world.rng.random_range(0..world.upstreams.len());
    match world.rng.random_range(0..6) {
        0..3 => {
            let (room, now) = (world.upstreams[up].room.cpu, world.now);
            let reduced = world.rng.random_range(0..room);
            world.upstreams[up].resize(reduced, now);
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
                world.block_calls(up, instance, true);
            }
            Box::new(move |world| {
                for instance in 0..INSTANCES {
                    world.block_calls(up, instance, false);
                }
            })
        }
        _ => {
            world.announce(up, Phase::Leaving);
            Box::new(|_| {})
        }
    }
}

/// Starts a random fault or evacuates a zone, and returns the function that ends it.
fn evacuation_fault(world: &mut World) -> FaultEnd {
    if world.rng.random_range(0..3) > 0 {
        return start_fault(world);
    }
    let zone = world.rng.random_range(0..ZONES);
    let keeper = world.rng.random_range(0..ZONES) * (ENTRIES + 1);
    world.evacuate(keeper, zone, true);
    Box::new(move |world| {
        world.evacuate(keeper, zone, false);
    })
}

/// Starts a random fault or restarts an upstream under its id, and returns the function that ends
/// it. The wall clock of the upstream may have been set back.
fn restart_fault(world: &mut World) -> FaultEnd {
    if world.rng.random_range(0..2) > 0 {
        return start_fault(world);
    }
    for _ in 0..world.rng.random_range(1..4) {
        let up = world.rng.random_range(0..world.upstreams.len());
        let started = FIRST_START + world.rng.random_range(0..100_000);
        world.restart_upstream(up, started);
    }
    Box::new(|_| {})
}

/// Reverts the evacuation of all zones, once the faults are over and such an order can be carried
/// out.
fn revert_evacuations(world: &mut World) {
    world.run(3_000);
    for zone in 0..ZONES {
        let ticket = world.evacuate(0, zone, false);
        world.run(500);
        assert_eq!(world.reply(ticket), Some(&Reply::Noted), "zone {zone}");
    }
}

/// The number of keepers of a zone in the tests of slow streams.
const SLOW_KEEPERS: usize = 2;
/// The number of instances of a zone in the tests of slow streams: two keepers and two entries.
const SLOW_SIZE: usize = SLOW_KEEPERS + ENTRIES;

/// Starts a random fault, which may delay the messages of streams by seconds, and returns the
/// function that ends it.
fn slow_fault(world: &mut World) -> FaultEnd {
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
            return Box::new(move |world| world.unfreeze(at));
        }
        9 => {
            world.set_cut(at, other, true);
            return Box::new(move |world| world.set_cut(at, other, false));
        }
        10 => {
            world.block_calls(up, at, true);
            return Box::new(move |world| world.block_calls(up, at, false));
        }
        11 | 12 => {
            // Upstreams are replaced, and the streams of the keeper that has received their
            // announcements delay the messages that pass the announcements on.
            let zone = at / SLOW_SIZE;
            let keeper = zone * SLOW_SIZE + at % SLOW_KEEPERS;
            world.announce_target = Some(keeper);
            for up in zone * UPSTREAMS..zone * UPSTREAMS + UPSTREAMS / 2 {
                let suffix: u32 = world.rng.random();
                world.upstreams[up].restart_as(&format!("i-{up}-{suffix}"));
                world.announce(up, Phase::Serving);
            }
            (0..all).map(|other| (keeper, other)).collect()
        }
        _ => {
            world.late_orders = 15;
            return Box::new(|world| world.late_orders = 0);
        }
    };
    let growing = world.rng.random_range(0..2) == 0;
    for (from, to) in &pairs {
        if growing {
            world.grow_delay(*from, *to, ms);
        } else {
            world.delay_stream(*from, *to, ms);
        }
    }
    Box::new(move |world| {
        for (from, to) in pairs {
            world.delay_stream(from, to, 0);
        }
        world.announce_target = None;
    })
}

/// Submits a job every 20 ms for `ms` milliseconds, with the three kinds of jobs in turn.
fn submit_load(world: &mut World, kinds: Kinds, ms: u64) {
    /// The time between two jobs, milliseconds.
    const INTERVAL: u64 = 20;
    for at in 0..ms / INTERVAL {
        let zone = world.rng.random_range(0..ZONES);
        let (count, length) = kinds[at as usize % 3];
        let cpu = world.rng.random_range(10_000..20_000);
        let id = world.submit(zone, count, cpu, length);
        let crashing = world.crash_odds > 0 && world.rng.random_range(0..world.crash_odds) == 0;
        if crashing && let Some(request) = world.requests.get_mut(&id) {
            // The client waits for 30 s.
            request.job.patience = 30_000;
            world.crashing.insert(id.clone());
        }
        world.run(INTERVAL);
        if world.rng.random_range(0..20) == 0 {
            world.disconnect(&id);
        }
    }
}

/// Kinds of jobs: the number of tasks, and their length in milliseconds.
type Kinds = [(u32, u64); 3];

/// The parameters of a run with random faults.
struct Plan {
    /// The number of instances of a zone.
    size: usize,
    fault: fn(&mut World) -> FaultEnd,
    kinds: Kinds,
    /// The factor by which faults last longer.
    duration_factor: u64,
    /// The function to call once the faults are over.
    recover: fn(&mut World),
}

fn run_seed(seed: u64) {
    let world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
    let kinds = [(8, 60), (2, 200), (4, 900)];
    run_plan(
        world,
        seed,
        &Plan { size: ENTRIES + 1, fault: start_fault, kinds, duration_factor: 1, recover: |_| {} },
    );
}

fn run_slow(seed: u64, kinds: Kinds) {
    let mut world = World::with_keepers(seed, ZONES, SLOW_KEEPERS, ENTRIES, UPSTREAMS);
    world.redial_loss = true;
    run_plan(
        world,
        seed,
        &Plan { size: SLOW_SIZE, fault: slow_fault, kinds, duration_factor: 2, recover: |_| {} },
    );
}

/// Runs a seed with upstreams whose capacity shrinks and grows and which refuse no task for lack of
/// capacity, and with one job in 100 that crashes each upstream that starts it.
fn run_crashing(seed: u64) {
    let mut world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
    world.crash_odds = 100;
    for upstream in &mut world.upstreams {
        upstream.enforces_room = false;
    }
    let kinds = [(8, 60), (2, 200), (4, 900)];
    let plan = Plan {
        size: ENTRIES + 1,
        fault: fault_sparing_schedulers,
        kinds,
        duration_factor: 3,
        recover: |_| {},
    };
    let world = run_plan(world, seed, &plan);
    let overcommits: u32 = world.upstreams.iter().map(|upstream| upstream.overcommits).sum();
    assert_eq!(
        overcommits, 0,
        "seed {seed}: an upstream started tasks beyond its shrunken capacity"
    );
    let crashing = world.start_counts.iter().filter(|(task, _)| world.crashing.contains(&task.job));
    for (task, starts) in crashing {
        assert!(*starts <= MAX_STARTS, "seed {seed}: {starts} starts of {task:?}");
    }
}

fn run_plan(mut world: World, seed: u64, plan: &Plan) -> World {
    let Plan { size, fault, kinds, duration_factor, recover } = *plan;
    world.run(3_000);
    let mut version = 0;
    let mut acknowledged = 0;
    for _ in 0..4 {
        let count = world.rng.random_range(1..4);
        let mut ends = Vec::new();
        for _ in 0..count {
            ends.push(fault(&mut world));
            let time = world.rng.random_range(50..600);
            submit_load(&mut world, kinds, time);
        }
        version += 1;
        let keeper = world.rng.random_range(0..ZONES) * size;
        let ticket = world.publish(keeper, version, "text");
        let time = world.rng.random_range(300..2_500) * duration_factor;
        submit_load(&mut world, kinds, time);
        if world.reply(ticket) == Some(&Reply::Noted) {
            acknowledged = version;
        }
        for end in ends {
            end(&mut world);
        }
        let time = world.rng.random_range(100..1_500);
        submit_load(&mut world, kinds, time);
    }
    for at in 0..world.instances.len() {
        if world.instances[at].core.is_none() {
            world.start(at);
        }
    }
    world.crash_odds = 0;
    recover(&mut world);
    world.run(6_000);
    let before = world.count_complete();
    submit_load(&mut world, kinds, 1_000);
    world.run(4_000);
    assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    let more = world.count_complete() - before;
    assert!(more > 20, "seed {seed}: only {more} jobs completed after the faults");
    for instance in &world.instances {
        let core = instance.core.as_ref().unwrap();
        assert!(
            core.document().version >= acknowledged,
            "seed {seed}: {} has an older configuration",
            instance.card.name
        );
    }
    world
}

#[test]
fn seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        run_seed(seed);
    }
}

#[test]
fn evacuated_seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        let world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
        let kinds = [(8, 60), (2, 200), (4, 900)];
        let (size, fault, recover) =
            (ENTRIES + 1, evacuation_fault as fn(&mut World) -> FaultEnd, revert_evacuations);
        let world =
            run_plan(world, seed, &Plan { size, fault, kinds, duration_factor: 1, recover });
        for instance in &world.instances {
            let evacuated = instance.core.as_ref().map(|core| core.evacuations().zones.len());
            assert_eq!(evacuated, Some(0), "seed {seed}: {}", instance.card.name);
        }
    }
}

#[test]
fn restarted_seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        let mut world = World::new(seed, ZONES, ENTRIES, UPSTREAMS);
        for upstream in &mut world.upstreams {
            upstream.started = FIRST_START + 50_000;
        }
        let kinds = [(8, 60), (2, 200), (4, 900)];
        let (size, fault) = (ENTRIES + 1, restart_fault as fn(&mut World) -> FaultEnd);
        run_plan(world, seed, &Plan { size, fault, kinds, duration_factor: 1, recover: |_| {} });
    }
}

#[test]
fn fatal_seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        run_crashing(seed);
    }
}

/// Runs a seed with entries that are too weak to schedule their zones, so that keepers of other
/// zones schedule these.
fn run_weak(seed: u64) {
    run_weak_world(World::with_keepers(seed, ZONES, 1, WEAK_ENTRIES, UPSTREAMS), seed, weak_fault);
}

/// Runs a seed with such entries that state their capacity, so that two or three of them share a
/// zone whose keepers are lost.
fn run_parted(seed: u64) {
    let mut world = World::with_keepers(seed, ZONES, 1, WEAK_ENTRIES, UPSTREAMS);
    world.states_capacity = true;
    run_weak_world(world, seed, parting_fault);
}

fn run_weak_world(mut world: World, seed: u64, fault: fn(&mut World) -> FaultEnd) {
    world.cores = UPSTREAMS as u64;
    for at in 0..world.instances.len() {
        world.kill(at);
        world.start(at);
    }
    let kinds = [(8, 60), (2, 200), (4, 900)];
    run_plan(
        world,
        seed,
        &Plan { size: WEAK_ENTRIES + 1, fault, kinds, duration_factor: 2, recover: |_| {} },
    );
}

/// Starts a random fault, more often of a keeper than of another instance, and returns the function
/// that ends it.
fn weak_fault(world: &mut World) -> FaultEnd {
    let keeper = world.rng.random_range(0..ZONES) * (WEAK_ENTRIES + 1);
    match world.rng.random_range(0..4) {
        0 => {
            world.kill(keeper);
            Box::new(move |world| world.start(keeper))
        }
        1 => {
            world.freeze(keeper);
            Box::new(move |world| world.unfreeze(keeper))
        }
        _ => start_fault(world),
    }
}

/// Starts the loss of all keepers, or another random fault.
fn parting_fault(world: &mut World) -> FaultEnd {
    if world.rng.random_range(0..3) > 0 {
        return start_fault(world);
    }
    let keepers = || (0..ZONES).map(|zone| zone * (WEAK_ENTRIES + 1));
    keepers().for_each(|at| world.kill(at));
    Box::new(move |world| keepers().for_each(|at| world.start(at)))
}

#[test]
fn parted_seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        run_parted(seed);
    }
}

#[test]
fn weak_seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        run_weak(seed);
    }
}

#[test]
fn slow_seeds() {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        run_slow(seed, [(1, 100), (1, 300), (1, 900)]);
    }
}

#[test]
fn regressions() {
    // 111: a claim whose holder did not schedule the zone (`takeover::claim_of_nobody`).
    run_slow(111, [(12, 60), (5, 200), (6, 900)]);
    // 286: a scheduler gave a task back while the task still ran there, left over from the previous
    // submission, whose entry was lost. When that run ended, the task started again beside its run
    // in another place.
    run_seed(286);
}

#[test]
fn slow_shared_seeds() {
    // These jobs have more tasks than fit into the free capacity of one zone, so several schedulers
    // share them, each of which may be lost, frozen, cut off or late.
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SEEDS", 12) {
        run_slow(seed, [(12, 60), (5, 200), (3, 900)]);
    }
}
