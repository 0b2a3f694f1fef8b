//! What a scheduler has started goes on no longer than a successor waits: upstreams that would
//! grant far longer leases, a successor that is slow to read their answers, stop orders that have
//! no effect.

mod world;

use std::collections::BTreeSet;

use state::name::Name;
use world::World;

/// The longest lease that the upstreams grant, milliseconds.
const LONGEST_LEASE: u64 = 15_000;
/// The number of upstreams of the zone.
const UPSTREAMS: usize = 500;
/// The length of a task, milliseconds: longer than any lease that a successor may count on.
const LENGTH: u64 = 4_000;

/// Creates a zone with one keeper, which schedules it, and two entries.
fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 1, 2, UPSTREAMS);
    world.longest_lease = LONGEST_LEASE;
    for upstream in &mut world.upstreams {
        upstream.longest_lease = LONGEST_LEASE;
    }
    for at in 0..world.instances.len() {
        world.kill(at);
        world.start(at);
    }
    world.run(3_000);
    world
}

/// Submits jobs of one long task each, whose clients wait for 12 s.
fn submit_long(world: &mut World, count: usize) -> Vec<Name> {
    let submit = |_| {
        let id = world.submit(0, 1, 14_000, LENGTH);
        world.requests.get_mut(&id).unwrap().job.patience = 12_000;
        world.run(2);
        id
    };
    (0..count).map(submit).collect()
}

/// A scheduler is lost while a part of its upstreams cannot be reached by its successor, which
/// reads 10 answers a tick. What runs there may go on until its lease ends, and starts nowhere else
/// before that.
#[test]
fn successor_reads_slowly() {
    for seed in 0..2 {
        let mut world = started_world(seed);
        let jobs = submit_long(&mut world, 150);
        world.run(300);
        for up in (0..UPSTREAMS).step_by(10) {
            world.block_calls(up, 1, true);
            world.block_calls(up, 2, true);
        }
        world.answers_per_tick = Some(10);
        world.kill(0);
        world.run(12_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let complete = jobs.iter().filter(|id| world.is_complete(id)).count();
        assert!(complete >= 100, "seed {seed}: {complete} of 150 jobs completed");
    }
}

/// A successor that does not know the runs of a task uses numbers that none of them has.
#[test]
fn numbers_not_reused() {
    for seed in 0..2 {
        let mut world = started_world(seed);
        let jobs = submit_long(&mut world, 150);
        world.run(300);
        for up in (0..UPSTREAMS).step_by(2) {
            world.block_calls(up, 1, true);
            world.block_calls(up, 2, true);
        }
        world.kill(0);
        world.run(12_000);
        let mut repeated = 0;
        let of_jobs = world.attempts.iter().filter(|(task, _)| jobs.contains(&task.job));
        for (task, attempts) in of_jobs {
            let distinct: BTreeSet<_> = attempts.iter().collect();
            assert_eq!(
                distinct.len(),
                attempts.len(),
                "seed {seed}: runs {attempts:?} of {task:?}"
            );
            repeated += usize::from(attempts.len() > 1);
        }
        assert!(repeated > 10, "seed {seed}: {repeated} tasks were started again");
    }
}

/// The upstreams where a task of a job runs.
fn upstreams_of(world: &World, job: &Name) -> Vec<usize> {
    let runs = |at: &usize| world.upstreams[*at].runs.keys().any(|task| task.job == *job);
    (0..world.upstreams.len()).filter(runs).collect()
}

/// An upstream refuses to stop the run of a job that a scheduler has dropped, while another run
/// there is wanted. The lease that both share is not renewed for the other one.
#[test]
fn stop_refused() {
    let mut shared = 0;
    for seed in 0..40 {
        let mut world = World::new(seed, 1, 4, 4);
        world.run(3_000);
        let jobs = submit_long(&mut world, 4);
        world.run(200);
        let entry = |id: &Name| world.requests[id].at.unwrap_or(0);
        // Entry 2 stays with the scheduler, and the others are cut off from both.
        let pair = jobs.iter().find_map(|cut_off| {
            let at = *upstreams_of(&world, cut_off).first().filter(|_| entry(cut_off) != 2)?;
            let stays = |other: &&Name| entry(other) == 2 && upstreams_of(&world, other) == [at];
            jobs.iter().find(stays).map(|_| at)
        });
        let Some(up) = pair else { continue };
        shared += 1;
        world.upstreams[up].refuses_stops = true;
        for far in [1, 3, 4] {
            for near in [0, 2] {
                world.set_cut(near, far, true);
                world.set_cut(far, near, true);
            }
            world.block_calls(up, far, true);
        }
        for other in (0..4).filter(|other| *other != up) {
            world.block_calls(other, 0, true);
        }
        world.run(8_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
    assert!(shared >= 5, "{shared} seeds place two such jobs on one upstream");
}
