//! What clients get under load: a play of arrivals on the pure core.

mod world;

use dispatch::job::Verdict;
use world::World;

/// Jobs that were answered as complete within their objective, and all.
fn in_time(world: &World) -> (usize, usize) {
    let good = world.requests.values().filter(|request| {
        let limit = request.first + request.job.objective * 1_000;
        matches!(&request.verdict, Some((Verdict::Complete, at)) if *at <= limit)
    });
    (good.count(), world.requests.len())
}

#[test]
fn burst_in_one_zone() {
    // Zone 0 gets five times what each of the others gets, at 93% of the room of all three. Jobs go
    // next door where the last heartbeat tells of more room: 436 of 500 are in time. Passing on
    // what waits as well, by the same heartbeats, leaves 344.
    let mut world = World::new(5, 3, 2, 8);
    world.run(3_000);
    for at in 0..500_u64 {
        let zone = if at % 5 < 4 { 0 } else { 1 + at as usize % 2 };
        world.submit(zone, 2, 14_000, 200);
        world.run(8);
    }
    world.run(4_000);
    let (good, all) = in_time(&world);
    assert_eq!(world.faults, Vec::<String>::new());
    assert!(good >= 430, "{good} of {all} in time");
}
