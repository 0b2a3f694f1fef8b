//! Jobs with tasks that not every zone can hold.

mod sample;
mod world;

use dispatch::{
    job::{Job, Refusal, Step, Verdict},
    sched::Sched,
    suspect::Suspects,
    time::MS,
    upstream::{Phase, Record, Room},
};
use state::name::Name;
use world::World;

/// Upstreams of each zone.
const UPSTREAMS: usize = 4;

/// Creates three zones, each with a keeper, two entries and upstreams of 32 cores, of which the
/// first one of the zones `large` has 48.
fn unequal_zones(seed: u64, large: &[usize]) -> World {
    let mut world = World::new(seed, 3, 2, UPSTREAMS);
    for upstream in &mut world.upstreams {
        upstream.room.cpu = 32_000;
    }
    for zone in large {
        world.upstreams[zone * UPSTREAMS].room.cpu = 48_000;
    }
    world.run(3_000);
    world
}

/// Submits a job of two steps from a client in zone 0: one task of 14 cores, and then one of `cpu`.
fn submit_steps(world: &mut World, cpu: u64) -> Name {
    let id = world.submit(0, 1, 14_000, 100);
    let job = &mut world.requests.get_mut(&id).unwrap().job;
    let mut next = Step { after: smallvec::smallvec![0], ..job.steps[0].clone() };
    next.need.cpu = cpu;
    job.steps.push(next);
    job.objective = 1_000;
    id
}

fn verdict(world: &World, id: &Name) -> Option<Verdict> {
    world.requests[id].verdict.as_ref().map(|(verdict, _)| verdict.clone())
}

/// Guards against a job that is answered as failed because its entry's zone cannot hold it.
#[test]
fn held_elsewhere() {
    for (seed, large) in [(0, vec![1, 2]), (1, vec![1]), (2, vec![2])] {
        let mut world = unequal_zones(seed, &large);
        let id = submit_steps(&mut world, 40_000);
        world.run(600);
        assert_eq!(verdict(&world, &id), Some(Verdict::Complete), "large upstreams in {large:?}");
        assert_eq!(world.faults, Vec::<String>::new());
    }
}

/// Guards against a failed answer for a job of one step while the upstreams that can hold it are
/// busy, and against tasks of such a job that wait in a zone that cannot hold them.
#[test]
fn large_busy() {
    for (seed, count) in [(0, 1), (1, 2), (2, 3)] {
        let mut world = unequal_zones(seed, &[1, 2]);
        let first = world.submit(0, 2, 40_000, 400);
        world.run(20);
        let next = world.submit(0, count, 40_000, 400);
        world.run(2_000);
        assert_eq!(verdict(&world, &first), Some(Verdict::Complete), "{count} tasks");
        assert_eq!(verdict(&world, &next), Some(Verdict::Complete), "{count} tasks");
        assert_eq!(world.faults, Vec::<String>::new());
    }
}

/// Guards against a job that waits in a zone without the label that it asks for.
#[test]
fn label_elsewhere() {
    for zone in [1, 2] {
        let mut world = unequal_zones(0, &[]);
        world.upstreams[zone * UPSTREAMS].label = Some("ssd".into());
        world.run(1_500);
        let id = submit_steps(&mut world, 14_000);
        let job = &mut world.requests.get_mut(&id).unwrap().job;
        job.steps[1].label = Some("ssd".into());
        world.run(600);
        assert_eq!(verdict(&world, &id), Some(Verdict::Complete), "label in zone {zone}");
    }
}

#[test]
fn held_nowhere() {
    // Each zone is asked, and the answer is final and comes at once.
    let mut world = unequal_zones(0, &[]);
    let steps = submit_steps(&mut world, 40_000);
    let single = world.submit(0, 2, 40_000, 100);
    world.run(40);
    assert_eq!(verdict(&world, &steps), Some(Verdict::NotRun(Refusal::TooLarge)));
    assert_eq!(verdict(&world, &single), Some(Verdict::NotRun(Refusal::TooLarge)));
}

/// Guards against a failed answer for a job whose steps fit in different zones only.
#[test]
fn steps_apart() {
    let mut world = unequal_zones(0, &[1]);
    world.upstreams[2 * UPSTREAMS].room.accelerators = 1;
    world.run(1_500);
    let id = submit_steps(&mut world, 40_000);
    world.requests.get_mut(&id).unwrap().job.steps[0].need.accelerators = 1;
    world.run(40);
    assert_eq!(verdict(&world, &id), Some(Verdict::NotRun(Refusal::NoZone)));
}

/// Guards against a failed answer where a zone that may hold the job cannot be asked.
#[test]
fn zone_unknown() {
    let mut world = unequal_zones(0, &[2]);
    world.set_zone_cut(2, true);
    world.run(1_000);
    let id = submit_steps(&mut world, 40_000);
    world.run(40);
    assert_eq!(verdict(&world, &id), Some(Verdict::NotRun(Refusal::NoZone)), "the zone is cut off");

    let mut world = unequal_zones(0, &[2]);
    let keeper = world.schedulers(0)[0];
    world.evacuate(keeper, 2, true);
    world.run(1_000);
    let id = submit_steps(&mut world, 40_000);
    world.run(40);
    assert_eq!(
        verdict(&world, &id),
        Some(Verdict::NotRun(Refusal::NoZone)),
        "the zone is evacuated"
    );
}

/// Guards against a failed answer while the upstreams that can hold a job are only away.
#[test]
fn large_away() {
    let mut world = unequal_zones(0, &[0]);
    world.announce(0, Phase::Leaving);
    world.run(100);
    let id = submit_steps(&mut world, 40_000);
    world.run(40);
    assert_eq!(verdict(&world, &id), Some(Verdict::NotRun(Refusal::NoZone)));
}

/// Guards against jobs that wait until their deadline since the upstream that could hold them left.
#[test]
fn large_left() {
    let now = 1_000 * MS;
    let mut sched = sample::scheduler(&["u1"], now);
    let room = Room { cpu: 48_000, memory: 64_000, accelerators: 0 };
    let large = Record { room, most: room, ..sample::record("u2") };
    sched.update_upstream(&large);
    let mut job = Job { entry_clock: now, ..sample::job("j", 1) };
    job.steps[0].need.cpu = 40_000;
    sched.submit(job, &"e".into(), now);
    let step = |sched: &mut Sched, now| {
        sched.tick(|_| Some(now), now);
        sched.run(|_| Some(now), &Suspects::default(), now);
        let verdicts = sched.take_output().verdicts.into_iter();
        verdicts.map(|(_, _, decision)| decision.verdict).collect::<Vec<_>>()
    };
    assert_eq!(step(&mut sched, now), []);
    sched.update_upstream(&Record { phase: Phase::Leaving, serial: 2, ..large });
    let verdicts = step(&mut sched, now + 20 * MS);
    assert_eq!(verdicts, [Verdict::NotRun(Refusal::TooLarge)]);
}
