//! A client that has lost its attempt submits its job again, at an entry of another zone. No task
//! runs twice at the same time, and the client gets its answer.

mod world;

use state::name::Name;
use world::World;

/// Time between the loss of an attempt and the next one, milliseconds.
const RETRY_DELAY: u64 = 1_300;
const SEEDS: std::ops::Range<u64> = 0..10;

/// Starts three zones with a keeper (0, 2, 4), an entry (1, 3, 5) and four upstreams each.
fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 1, 4);
    world.run(3_000);
    world
}

/// Runs `case`, which submits jobs, once for each seed. Returns the faults and the jobs that were
/// not completed.
fn check(case: impl Fn(&mut World) -> Vec<Name>) -> Vec<String> {
    let mut faults = Vec::new();
    for seed in SEEDS {
        let mut world = started_world(seed);
        let ids = case(&mut world);
        world.run(4_500);
        faults.extend(world.faults.first().map(|fault| format!("seed {seed}: {fault}")));
        let open = ids.iter().find(|id| !world.is_complete(id));
        faults.extend(open.map(|id| format!("seed {seed}: {id} was not completed")));
    }
    faults
}

/// Guards against a second copy of a job that runs beside the first one, whose entry did not learn
/// that its client has lost the connection.
#[test]
fn silent_connection() {
    for length in [500, 900, 1_600] {
        let faults = check(|world| {
            let id = world.submit(0, 4, 14_000, length);
            world.run(100);
            world.lose_connection(&id);
            world.run(RETRY_DELAY);
            world.resubmit(&id, 1);
            vec![id]
        });
        assert_eq!(faults, Vec::<String>::new(), "tasks of {length} ms");
    }
}

/// Guards against two copies that run because neither entry knew of the other's when it handed its
/// own copy over.
#[test]
fn same_moment() {
    for gap in [0, 1, 3, 30] {
        let faults = check(|world| {
            let id = world.submit(0, 4, 14_000, 600);
            world.run(1);
            world.lose_connection(&id);
            world.run(gap);
            world.resubmit(&id, 2);
            vec![id]
        });
        assert_eq!(faults, Vec::<String>::new(), "{gap} ms between the copies");
    }
}

/// Guards against an entry that resumes after a stop and hands its job over again, while another
/// entry has the second copy.
#[test]
fn stopped_entry() {
    for stop in [400, 700, 1_200, 1_500] {
        let faults = check(|world| {
            let id = world.submit(0, 4, 14_000, 1_600);
            world.run(100);
            world.freeze(1);
            world.lose_connection(&id);
            world.run(stop);
            if stop < RETRY_DELAY {
                world.unfreeze(1);
                world.run(RETRY_DELAY - stop);
            }
            world.resubmit(&id, 1);
            world.run(200);
            world.unfreeze(1);
            vec![id]
        });
        assert_eq!(faults, Vec::<String>::new(), "a stop of {stop} ms");
    }
}

/// Guards against a second copy that runs beside tasks whose stop was ordered too late.
#[test]
fn late_disconnect() {
    for late in [1_290, 1_300, 1_310, 1_400] {
        let faults = check(|world| {
            let id = world.submit(0, 4, 14_000, 1_600);
            let ticket = world.ticket(&id);
            world.lose_connection(&id);
            world.run(late.min(RETRY_DELAY));
            if late < RETRY_DELAY {
                world.end_connection(1, ticket);
                world.run(RETRY_DELAY - late);
            }
            world.resubmit(&id, 2);
            if late >= RETRY_DELAY {
                world.run(late - RETRY_DELAY + 1);
                world.end_connection(1, ticket);
            }
            vec![id]
        });
        assert_eq!(faults, Vec::<String>::new(), "a close {late} ms late");
    }
}

/// Guards against a second copy that runs beside the first one although the instance that should
/// have known of both was lost between them.
#[test]
fn registrar_lost() {
    for keeper in [0, 2, 4] {
        let faults = check(|world| {
            let ids: Vec<_> = (0..3).map(|_| world.submit(0, 2, 14_000, 1_600)).collect();
            world.run(500);
            world.kill(keeper);
            world.run(RETRY_DELAY - 500);
            for id in &ids {
                world.lose_connection(id);
                world.resubmit(id, 1);
            }
            ids
        });
        let doubled: Vec<_> =
            faults.into_iter().filter(|fault| fault.contains("two runs")).collect();
        assert_eq!(doubled, Vec::<String>::new(), "keeper {keeper}");
    }
}

/// The client of a second copy is answered when the entry of the first one is lost.
#[test]
fn entry_lost() {
    let faults = check(|world| {
        let id = world.submit(0, 4, 14_000, 1_600);
        world.run(200);
        // The client submits the job again by itself.
        world.kill(1);
        world.lose_connection(&id);
        vec![id]
    });
    assert_eq!(faults, Vec::<String>::new());
}

/// Guards against a client that waits for the answer of a zone that is cut off and has no task of
/// its job.
#[test]
fn other_zone_cut() {
    let faults = check(|world| {
        world.set_zone_cut(1, true);
        world.run(1_000);
        let id = world.submit(0, 2, 14_000, 200);
        let ticket = world.ticket(&id);
        world.lose_connection(&id);
        world.end_connection(1, ticket);
        world.run(RETRY_DELAY);
        world.resubmit(&id, 2);
        world.run(400);
        assert!(world.is_complete(&id), "{id} is answered without that zone");
        vec![id]
    });
    assert_eq!(faults, Vec::<String>::new());
}
