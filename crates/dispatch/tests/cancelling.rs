//! Jobs that are cancelled on request: their tasks are stopped, and no other one starts.

mod world;

use dispatch::{event::Reply, job::Step, member::Role};
use state::name::Name;
use world::World;

/// Time in which all tasks of a cancelled job are stopped, milliseconds.
const STOPPED: u64 = 500;

/// Submits a job of tasks of 900 ms in three steps, and returns it with its entry.
fn submit(world: &mut World, count: u32) -> (Name, usize) {
    let id = world.submit(0, count, 14_000, 900);
    if let Some(request) = world.requests.get_mut(&id) {
        let step = request.job.steps[0].clone();
        for at in 0..2 {
            request.job.steps.push(Step { after: smallvec::smallvec![at], ..step.clone() });
        }
        request.job.patience = 20_000;
    }
    world.run(400);
    let entry = world.requests[&id].at.unwrap();
    (id, entry)
}

fn running(world: &World, id: &Name) -> usize {
    let runs = world.upstreams.iter().flat_map(|upstream| upstream.runs.keys());
    runs.filter(|task| task.job == *id).count()
}

/// Checks that no task of the job runs, now and later.
fn check_stopped(world: &mut World, id: &Name, seed: u64) {
    world.run(STOPPED);
    let starts = |world: &World| {
        let of_job = world.start_counts.iter().filter(|(task, _)| task.job == *id);
        of_job.map(|(_, count)| *count).sum::<u32>()
    };
    let started = starts(world);
    for _ in 0..6 {
        assert_eq!(running(world, id), 0, "seed {seed}");
        world.run(500);
    }
    assert_eq!(starts(world), started, "seed {seed}");
    assert_eq!(world.faults, Vec::<String>::new());
}

fn cancelled(world: &World) -> usize {
    world.replies.iter().filter(|(_, reply)| *reply == Reply::Cancelled).count()
}

#[test]
fn at_its_entry() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 2, 8);
        world.run(3_000);
        // The larger jobs do not fit into one zone.
        let (id, entry) = submit(&mut world, if seed % 2 == 0 { 2 } else { 12 });
        assert!(running(&world, &id) > 0, "seed {seed}");
        let ticket = world.cancel(entry, &id);
        assert_eq!(world.reply(ticket), Some(&Reply::Cancelled), "seed {seed}");
        assert_eq!(cancelled(&world), 2, "seed {seed}: the client of the job is answered as well");
        let again = world.cancel(entry, &id);
        assert_eq!(world.reply(again), Some(&Reply::NotOpen), "seed {seed}");
        check_stopped(&mut world, &id, seed);
    }
}

#[test]
fn at_other_entry() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 2, 8);
        world.run(3_000);
        let (id, entry) = submit(&mut world, if seed % 2 == 0 { 2 } else { 12 });
        assert!(running(&world, &id) > 0, "seed {seed}");
        let is_entry = |at: &usize| world.instances[*at].card.role == Role::Entry && *at != entry;
        let others: Vec<_> = (0..world.instances.len()).filter(is_entry).collect();
        let other = others[seed as usize % others.len()];
        let ticket = world.cancel(other, &id);
        assert_eq!(world.reply(ticket), Some(&Reply::NotOpen), "seed {seed}");
        world.run(100);
        assert_eq!(cancelled(&world), 1, "seed {seed}: the client of the job is answered");
        check_stopped(&mut world, &id, seed);
    }
}
