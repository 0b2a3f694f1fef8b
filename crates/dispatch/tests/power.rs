//! The return of power after all instances have lost it at once.

mod world;

use world::World;

/// Instances of a zone: its keepers come first.
const KEEPERS: usize = 2;
const ENTRIES: usize = 8;
const ZONE: usize = KEEPERS + ENTRIES;
/// Longest time from the start of an entry that starts after a keeper until it has the
/// configuration, milliseconds: the stream opens within 30 ms.
const CONFIGURED_LIMIT: u64 = 40;

/// All instances are without power for 1 s, then start 10 ms apart from one another: the second
/// keeper of each zone first, the first one last, which is the only seed of its zone. `each` is
/// called for each instance and each millisecond from its start on.
fn return_power(seed: u64, mut each: impl FnMut(&World, usize, u64)) -> World {
    let mut world = World::with_keepers(seed, 3, KEEPERS, ENTRIES, 16);
    world.run(3_000);
    world.publish(0, 1, "text");
    world.run(2_000);
    (0..3 * ZONE).for_each(|at| world.kill(at));
    world.run(1_000);
    let turn = |at: usize| (at % ZONE + ZONE - 1) % ZONE * 3 + at / ZONE;
    let starts: Vec<_> = (0..3 * ZONE).map(|at| turn(at) as u64 * 10).collect();
    for ms in 0..600 {
        (0..3 * ZONE).filter(|at| starts[*at] == ms).for_each(|at| world.start(at));
        for at in (0..3 * ZONE).filter(|at| starts[*at] <= ms) {
            each(&world, at, ms - starts[at]);
        }
        world.run(1);
    }
    world
}

#[test]
fn configured_soon() {
    for seed in 0..5 {
        return_power(seed, |world, at, ms| {
            let version =
                world.instances[at].core.as_ref().map_or(0, |core| core.document().version);
            assert!(version == 1 || ms < CONFIGURED_LIMIT, "seed {seed}, {at} after {ms} ms");
        });
    }
}

#[test]
fn scheduled_soon() {
    // Each zone has a scheduler 120 ms after its first keeper, and the same one 400 ms later.
    for seed in 0..5 {
        let mut first = vec![Vec::new(); 3];
        let world = return_power(seed, |world, at, ms| {
            if at % ZONE == 1 && ms == 120 {
                first[at / ZONE] = world.schedulers(at / ZONE);
            }
        });
        for (zone, first) in first.into_iter().enumerate() {
            assert_eq!(first.len(), 1, "seed {seed}, zone {zone}");
            assert_eq!(first, world.schedulers(zone), "seed {seed}, zone {zone}");
        }
    }
}
