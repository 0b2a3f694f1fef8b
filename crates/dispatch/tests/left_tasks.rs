//! Tasks that an entry has handed over and cancelled since may still run when the entry starts
//! their job again. No task runs twice at the same time, and the client gets its answer.

mod world;

use state::name::Name;
use world::World;

/// Time between the loss of an attempt and the next one, milliseconds.
const RETRY_DELAY: u64 = 1_300;
const SEEDS: std::ops::Range<u64> = 0..10;

/// Runs `case` once for each seed, with a keeper (0, 2, 4), an entry (1, 3, 5) and four upstreams in
/// each of three zones. `case` returns a job, which has to be completed.
fn check(case: impl Fn(&mut World) -> Name) -> Vec<String> {
    let mut faults = Vec::new();
    for seed in SEEDS {
        let mut world = World::new(seed, 3, 1, 4);
        world.run(3_000);
        let id = case(&mut world);
        world.run(6_000);
        faults.extend(world.faults.first().map(|fault| format!("seed {seed}: {fault}")));
        if !world.is_complete(&id) {
            let verdict = world.requests.get(&id).and_then(|request| request.verdict.clone());
            faults.push(format!("seed {seed}: {id} was not completed, but {verdict:?}"));
        }
    }
    faults
}

/// Submits a job that fills a zone at the entry of the zone `first`. Its client leaves and is gone
/// until shortly before it submits the job again.
fn leave(world: &mut World, first: usize, length: u64, gone: u64) -> Name {
    let id = world.submit(first, 9, 16_000, length);
    let ticket = world.ticket(&id);
    world.run(700);
    world.lose_connection(&id);
    world.end_connection(2 * first + 1, ticket);
    world.run(gone);
    id
}

/// Guards against an entry that starts a job in another zone before the tasks that it has started
/// behind a cut are stopped, once it learns that another entry had the job before.
#[test]
fn healed_cut() {
    for (first, cut) in [(0, 2), (0, 1), (2, 0), (1, 2)] {
        for (length, healed) in [(900, 300), (900, 150), (900, 450), (1_600, 700)] {
            let faults = check(|world| {
                let id = leave(world, first, length, RETRY_DELAY - 300);
                world.set_zone_cut(cut, true);
                world.run(300);
                world.resubmit(&id, cut);
                world.run(healed);
                world.set_zone_cut(cut, false);
                id
            });
            let case = format!("first entry in {first}, {cut} cut, healed after {healed} ms");
            assert_eq!(faults, Vec::<String>::new(), "{case}");
        }
    }
}

/// Guards against the same where nothing is cut off: the instances that know of the earlier entry
/// are asked only after the start, because the others were lost or stopped.
#[test]
fn late_registrar() {
    for lost in [[0, 2], [0, 4], [2, 4]] {
        for (is_killed, away) in
            [(true, 200), (true, 600), (false, 300), (false, 450), (false, 600), (false, 1_000)]
        {
            let faults = check(|world| {
                let id = leave(world, 0, 900, RETRY_DELAY - 100);
                for keeper in lost {
                    if is_killed { world.kill(keeper) } else { world.freeze(keeper) }
                }
                world.run(100);
                world.resubmit(&id, 2);
                world.run(away - 100);
                for keeper in lost {
                    if is_killed { world.start(keeper) } else { world.unfreeze(keeper) }
                }
                id
            });
            assert_eq!(faults, Vec::<String>::new(), "{lost:?}, killed {is_killed}, {away} ms");
        }
    }
}

/// Guards against an entry that relies on the scheduler of its own zone to know the tasks of an
/// earlier submission, although that scheduler is a new one.
#[test]
fn new_scheduler() {
    for gone in [1, 50, 300, 600, 900] {
        let faults = check(|world| {
            let id = world.submit(0, 9, 16_000, 2_000);
            let ticket = world.ticket(&id);
            world.run(400);
            world.kill(0);
            world.lose_connection(&id);
            world.end_connection(1, ticket);
            world.run(gone);
            world.resubmit(&id, 0);
            id
        });
        assert_eq!(faults, Vec::<String>::new(), "again after {gone} ms");
    }
}

/// Guards against an entry that takes a job over from one that has started nothing itself, but
/// has waited for the tasks of a third one.
#[test]
fn third_entry() {
    for left in [85, 90, 100, 120] {
        let faults = check(|world| {
            let id = world.submit(0, 9, 16_000, 2_000);
            world.run(500);
            world.freeze(1);
            world.lose_connection(&id);
            world.run(320);
            world.kill(0);
            world.run(680);
            world.resubmit(&id, 1);
            let ticket = world.ticket(&id);
            world.run(left);
            world.lose_connection(&id);
            world.end_connection(3, ticket);
            world.run(10);
            world.resubmit(&id, 2);
            id
        });
        assert_eq!(faults, Vec::<String>::new(), "the second client leaves after {left} ms");
    }
}
