//! Work continues while messages between instances are delayed by a bounded time.

mod world;

use world::World;

#[test]
fn late_both_ways() {
    // All messages between instances have the same delay. Entries with 0.12 of a core read messages
    // 300 ms late.
    let mut results = Vec::new();
    for delay in [0, 100, 150, 200, 250, 280, 300, 350] {
        let mut world = World::new(3, 1, 2, 4);
        world.message_delay = delay * 1_000;
        world.run(6_000);
        for _ in 0..40 {
            world.submit(0, 1, 14_000, 100);
            world.run(100);
        }
        world.run(6_000);
        let dropped =
            world.log_counts.get("job: Dropped, no recent query from its entry.").copied();
        results.push((delay, world.count_complete(), dropped.unwrap_or(0)));
    }
    assert!(results.iter().all(|(_, complete, _)| *complete > 20), "{results:?}");
}

#[test]
fn late_for_long() {
    // The delay begins after a period without delays. The bound of an entry's clock widens by 25 ms
    // per second.
    let mut results = Vec::new();
    for delay in [250, 300, 350] {
        let mut world = World::with_keepers(3, 1, 2, 2, 4);
        world.run(6_000);
        world.message_delay = delay * 1_000;
        for _ in 0..4 {
            let before = world.count_complete();
            for _ in 0..60 {
                world.submit(0, 1, 14_000, 100);
                world.run(100);
            }
            results.push((delay, world.now / 1_000_000 - 6, world.count_complete() - before));
        }
    }
    assert!(results.iter().all(|(.., complete)| *complete > 30), "{results:?}");
}
