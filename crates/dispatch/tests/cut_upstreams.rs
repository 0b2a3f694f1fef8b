//! Upstreams that lose their connections together for some seconds and recover together.

mod world;

use dispatch::time::Now;
use world::World;

/// Returns the time from the end of a partition of 6 of 24 upstreams until all of them get work
/// again, in milliseconds.
fn recovery_ms(seed: u64) -> u64 {
    let mut world = World::new(seed, 1, 2, 24);
    world.run(3_000);
    let partition = |world: &mut World, cut| {
        for upstream in (0..24).step_by(4) {
            (0..3).for_each(|at| world.block_calls(upstream, at, cut));
        }
    };
    partition(&mut world, true);
    for _ in 0..200 {
        world.submit(0, 2, 14_000, 60);
        world.run(20);
    }
    partition(&mut world, false);
    let silent = |world: &World| -> usize {
        let now = Now::new(world.now, 0);
        let cores = world.instances.iter().filter_map(|instance| instance.core.as_ref());
        cores.map(|core| core.status(now).silent).sum()
    };
    let healed = world.now;
    while silent(&world) > 0 {
        world.run(5);
    }
    (world.now - healed) / 1_000
}

/// Guards against upstreams that recover together becoming usable only one after the other.
///
/// After a partition of a fifth of all upstreams during a burst, their capacity came back over
/// 0.5 s, because the scheduler paused separately for each silent upstream before it queried that
/// upstream again.
#[test]
fn back_together() {
    let times: Vec<_> = (0..10).map(recovery_ms).collect();
    // Recovery takes 505 ms with separate pauses and 105 ms without them.
    assert!(times.iter().all(|ms| *ms <= 250), "{times:?}");
}
