//! Upstreams that lose their connections together for some seconds and recover together.

mod world;

use dispatch::{
    job::Verdict,
    suspect::{Loss, Suspects},
    time::{MS, Now},
};
use state::name::Name;
use world::World;

/// Returns the position of the upstream that runs a task of a job.
fn find_run(world: &World, id: &Name) -> Option<usize> {
    let runs = |at: &usize| world.upstreams[*at].runs.keys().any(|task| task.job == *id);
    (0..world.upstreams.len()).filter(|at| world.upstreams[*at].is_up).find(runs)
}

/// Cuts an upstream off from all instances, or heals the partition.
fn set_cut(world: &mut World, upstream: usize, cut: bool) {
    (0..world.instances.len()).for_each(|at| world.block_calls(upstream, at, cut));
}

/// Cuts off each of the next `count` upstreams that start a job, for `duration` milliseconds, and
/// returns the verdict after a minute.
fn run_cut(seed: u64, count: usize, duration: u64, patience: u64) -> Option<Verdict> {
    let mut world = World::new(seed, 1, 2, 12);
    world.run(3_000);
    let id = world.submit(0, 1, 14_000, 2_000);
    world.requests.get_mut(&id).unwrap().job.patience = patience;
    let mut cuts: Vec<(usize, u64)> = Vec::new();
    for _ in 0..600 {
        world.run(100);
        let found = find_run(&world, &id).filter(|at| cuts.iter().all(|(cut, _)| cut != at));
        if let Some(at) = found.filter(|_| cuts.len() < count) {
            set_cut(&mut world, at, true);
            cuts.push((at, world.now + duration * MS));
        }
        for (at, end) in cuts.clone() {
            if world.now >= end {
                set_cut(&mut world, at, false);
            }
        }
    }
    assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    world.requests[&id].verdict.as_ref().map(|(verdict, _)| verdict.clone())
}

/// Guards against a job that is answered as failed because upstreams that it ran on were cut off.
#[test]
fn three_cut() {
    for seed in 0..5 {
        assert_eq!(run_cut(seed, 3, 5_500, 15_000), Some(Verdict::Complete), "seed {seed}");
    }
}

#[test]
fn all_cut_for_good() {
    // A task that may have crashed them starts ever more rarely, and its client gets no false
    // verdict.
    for seed in 0..3 {
        let mut world = World::new(seed, 1, 2, 12);
        world.run(3_000);
        let id = world.submit(0, 1, 14_000, 2_000);
        world.requests.get_mut(&id).unwrap().job.patience = 60_000;
        let mut lost = std::collections::BTreeSet::new();
        for _ in 0..700 {
            world.run(100);
            if let Some(at) = find_run(&world, &id) {
                world.upstreams[at].is_up = false;
                lost.insert(at);
            }
        }
        let verdict = world.requests[&id].verdict.as_ref().map(|(verdict, _)| verdict.clone());
        assert_eq!(verdict, Some(Verdict::GaveUp), "seed {seed}");
        assert!((3..=6).contains(&lost.len()), "seed {seed}: {} lost", lost.len());
    }
}

/// Guards against silence that counts as a proof, and against a task that waits although the
/// upstreams that it ran on have answered.
#[test]
fn held() {
    let task = dispatch::job::Task { job: "a".into(), step: 0, index: 0 };
    let loss = |upstream: &str, proved| {
        let tasks = vec![task.clone()];
        Loss { upstream: upstream.into(), proved, tasks }
    };
    let mut suspects = Suspects::default();
    for upstream in ["u1", "u2", "u3", "u4"] {
        assert!(!suspects.is_held(&task, 0) || upstream == "u4");
        assert_eq!(suspects.add(&loss(upstream, false), 0), []);
    }
    assert!(suspects.is_held(&task, 9_999 * MS) && !suspects.is_held(&task, 10_000 * MS));
    suspects.clear_upstream(&"u1".into());
    assert!(suspects.is_held(&task, 4_999 * MS) && !suspects.is_held(&task, 5_000 * MS));
    suspects.clear_upstream(&"u2".into());
    assert!(!suspects.is_held(&task, 0));
    assert_eq!(suspects.add(&loss("u3", true), 0), []);
    assert_eq!(suspects.add(&loss("u4", true), 0), vec![task.clone()]);
}

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
