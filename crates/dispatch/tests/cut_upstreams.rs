//! Upstreams that are cut off together for some seconds and come back together.

mod world;

use dispatch::time::Now;
use world::World;

/// Time from the end of a cut of six upstreams in 24 until all of them have work again, milliseconds.
fn back_after(seed: u64) -> u64 {
    let mut world = World::new(seed, 1, 2, 24);
    world.run(3_000);
    let wall = |world: &mut World, up| {
        for upstream in (0..24).step_by(4) {
            (0..3).for_each(|at| world.wall(upstream, at, up));
        }
    };
    wall(&mut world, true);
    for _ in 0..200 {
        world.submit(0, 2, 14_000, 60);
        world.run(20);
    }
    wall(&mut world, false);
    let silent = |world: &World| -> usize {
        let now = Now::new(world.now, 0);
        let cores = world.instances.iter().filter_map(|instance| instance.core.as_ref());
        cores.map(|core| core.status(now).silent).sum()
    };
    let lifted = world.now;
    while silent(&world) > 0 {
        world.run(5);
    }
    (world.now - lifted) / 1_000
}

/// Story: after a cut of a fifth of all upstreams, beside a burst, room came back in the course of 0.5 s, as each
/// silent upstream was asked again only when its own pause was over.
#[test]
fn back_together() {
    let times: Vec<_> = (0..10).map(back_after).collect();
    // 505 ms with pauses of their own, 105 now.
    assert!(times.iter().all(|ms| *ms <= 250), "{times:?}");
}
