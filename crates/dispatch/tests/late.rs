//! Messages between instances that are late, though not for ever later: work goes on.

mod world;

use world::World;

#[test]
fn late_both_ways() {
    // Messages between instances that all take the same time, as entries with 0.12 of a core were
    // seen to read them 300 ms late.
    let mut table = Vec::new();
    for busy in [0, 100, 150, 200, 250, 280, 300, 350] {
        let mut world = World::new(3, 1, 2, 4);
        world.busy = busy * 1_000;
        world.run(6_000);
        for _ in 0..40 {
            world.submit(0, 1, 14_000, 100);
            world.run(100);
        }
        world.run(6_000);
        let dropped = world.notes.get("job: Dropped, its entry is not heard.").copied();
        table.push((busy, world.complete(), dropped.unwrap_or(0)));
    }
    assert!(table.iter().all(|(_, complete, _)| *complete > 20), "{table:?}");
}

#[test]
fn late_for_long() {
    // The same after a calm time. The bound of an entry's clock gets wider by 25 ms a second.
    let mut table = Vec::new();
    for busy in [250, 300, 350] {
        let mut world = World::with_keepers(3, 1, 2, 2, 4);
        world.run(6_000);
        world.busy = busy * 1_000;
        for _ in 0..4 {
            let before = world.complete();
            for _ in 0..60 {
                world.submit(0, 1, 14_000, 100);
                world.run(100);
            }
            table.push((busy, world.now / 1_000_000 - 6, world.complete() - before));
        }
    }
    assert!(table.iter().all(|(.., complete)| *complete > 30), "{table:?}");
}
