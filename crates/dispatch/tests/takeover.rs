//! The loss of schedulers, entries and links: no task runs twice at a time, and jobs still
//! complete.

mod world;

use dispatch::{event, job::Verdict, time::MS, upstream::Phase};
use rand::RngExt as _;
use world::World;

/// Submits a job every `interval` milliseconds for `ms` milliseconds, to the zones in turn.
fn submit_load(world: &mut World, zones: usize, ms: u64, interval: u64) {
    for at in 0..ms / interval {
        let zone = at as usize % zones;
        let (count, length) = [(8, 60), (2, 200), (4, 900)][at as usize % 3];
        world.submit(zone, count, 14_000, length);
        world.run(interval);
    }
}

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 2, 8);
    world.run(3_000);
    world
}

#[test]
fn calm() {
    let mut world = started_world(1);
    for zone in 0..3 {
        assert_eq!(world.schedulers(zone), [zone * 3], "the keeper schedules its zone");
    }
    submit_load(&mut world, 3, 3_000, 40);
    world.run(3_000);
    assert_eq!(world.faults, Vec::<String>::new());
    assert_eq!(world.count_complete(), 75);
}

#[test]
fn quiet_lists() {
    // Heartbeats carry digests, so instances send no lists while nothing changes.
    let mut world = started_world(1);
    let mut check = |label: &str| {
        world.run(40_000);
        world.sent.clear();
        world.run(5_000);
        let kinds: Vec<_> = world.sent.keys().copied().collect();
        assert_eq!(kinds, ["agree", "ping"], "{label}: {:?}", world.sent);
        world.kill(8);
    };
    check("all instances are up");
    check("one instance is lost for good");
}

#[test]
fn few_streams() {
    // Of 45 instances an entry opens streams only to the keepers, to three deputies of its zone and
    // to two schedulers; streams to all instances would be 44 for each.
    let mut world = World::new(3, 3, 14, 8);
    world.run(3_000);
    submit_load(&mut world, 3, 2_000, 40);
    let of = |at: usize| world.streams.iter().filter(|(from, _)| *from == at).count();
    let mut counts: Vec<_> = (0..45).filter(|at| at % 15 > 0).map(of).collect();
    counts.sort_unstable();
    // Deputies open streams to all instances of their zone.
    let (entries, deputies) = counts.split_at(42 - 9);
    assert!(entries.iter().all(|count| *count <= 9), "{entries:?}");
    assert!(deputies.iter().all(|count| *count <= 20), "{deputies:?}");
    world.run(3_000);
    assert_eq!(world.count_complete(), 50);
}

#[test]
fn lists_end() {
    // Two instances that each lack upstreams that the other knows send their lists once instead of
    // repeatedly.
    let mut world = started_world(2);
    for other in 1..9 {
        world.set_cut(0, other, true);
        world.set_cut(other, 0, true);
    }
    for at in 0..8 {
        world.upstreams[at].restart_as(&format!("i-0-{at}-1"));
    }
    world.run(3_000);
    for other in 1..9 {
        world.set_cut(0, other, false);
        world.set_cut(other, 0, false);
    }
    world.run(2_000);
    world.sent.clear();
    world.run(2_000);
    assert_eq!(world.sent.get("records"), None, "{:?}", world.sent);
}

#[test]
fn keeper_killed() {
    for seed in 0..10 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 600, 25);
        world.kill(0);
        submit_load(&mut world, 3, 3_000, 25);
        assert_eq!(world.schedulers(0).len(), 1, "seed {seed}");
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        assert!(world.count_complete() >= 125, "seed {seed}: {}", world.count_complete());
    }
}

#[test]
fn entry_restarts() {
    // The client's retry may reach another zone, while its first entry is back after 200 ms.
    for seed in 0..20 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 600, 15);
        for at in [1, 2] {
            world.kill(at);
        }
        world.run(200);
        submit_load(&mut world, 3, 600, 15);
        for at in [1, 2] {
            world.start(at);
        }
        submit_load(&mut world, 3, 1_500, 15);
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn handed_in_late() {
    // An entry submits its jobs again just as the new scheduler stops their runs.
    for delay in (700..1_100).step_by(10) {
        let mut world = started_world(delay);
        submit_load(&mut world, 1, 300, 10);
        world.kill(0);
        world.freeze(2);
        submit_load(&mut world, 1, delay, 25);
        world.unfreeze(2);
        submit_load(&mut world, 1, 500, 25);
        world.run(3_000);
        assert_eq!(world.faults, Vec::<String>::new(), "after {delay} ms");
    }
}

#[test]
fn all_restart() {
    for seed in 0..20 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 600, 15);
        for at in 0..9 {
            world.kill(at);
        }
        let gap = 200 + seed * 50;
        world.run(gap);
        for at in 0..9 {
            world.start(at);
        }
        submit_load(&mut world, 3, 3_000, 15);
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        assert!(world.count_complete() > 60, "seed {seed}: {}", world.count_complete());
    }
}

#[test]
fn scheduled_soon() {
    // When all instances restart after a loss, the zones have schedulers again within 400 ms.
    let mut world = started_world(4);
    for at in 0..9 {
        world.kill(at);
    }
    world.run(1_000);
    for at in 0..9 {
        world.start(at);
    }
    world.run(400);
    for zone in 0..3 {
        assert_eq!(world.schedulers(zone).len(), 1, "zone {zone}");
    }
}

#[test]
fn restart_beside_scheduler() {
    // An instance that starts while its zone has a scheduler does not claim the zone.
    let mut world = started_world(4);
    world.kill(0);
    world.run(2_000);
    let holder = world.schedulers(0);
    // A keeper does take the zone back from an entry, but only later (see `handed_back`).
    world.start(0);
    world.run(900);
    assert_eq!(world.schedulers(0), holder);
    let mut world = started_world(4);
    world.kill(0);
    world.kill(1);
    world.run(2_000);
    assert_eq!(world.schedulers(0), [2]);
    world.start(1);
    world.run(2_000);
    assert_eq!(world.schedulers(0), [2]);
}

#[test]
fn handed_back() {
    // Entries have little processor time and serve clients of their own, so an entry that schedules
    // its zone in place of a lost keeper does so no longer than necessary.
    for seed in 0..10 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 600, 40);
        world.kill(0);
        submit_load(&mut world, 3, 3_000, 40);
        assert_ne!(world.schedulers(0), [0], "seed {seed}");
        world.start(0);
        submit_load(&mut world, 3, 2_000, 40);
        assert_eq!(world.schedulers(0), [0], "seed {seed}: the keeper schedules again");
        world.run(3_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        // The entry that scheduled the zone hands its jobs over, and the handover loses none.
        let (complete, all) = (world.count_complete(), world.requests.len());
        assert!(complete * 100 >= all * 97, "seed {seed}: {complete} of {all}");
    }
}

#[test]
fn both_claim() {
    // Messages are late, so the entry learns from the upstreams that another instance has a higher
    // claim before it receives the keeper's claim. If the two outranked each other in turn, the
    // jobs of the zone would make no progress.
    for seed in 0..10 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 600, 40);
        world.kill(0);
        submit_load(&mut world, 3, 2_600, 40);
        world.message_delay = 120_000;
        world.log_counts.clear();
        world.start(0);
        submit_load(&mut world, 3, 4_000, 40);
        let claims = world.log_counts["zone: Scheduling."];
        let repeated = world.log_counts.get("zone: Claimed again above a higher token.");
        assert_eq!((claims, repeated), (1, None), "seed {seed}");
        assert_eq!(world.schedulers(0), [0], "seed {seed}");
        world.run(3_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let (complete, all) = (world.count_complete(), world.requests.len());
        assert!(complete * 100 >= all * 97, "seed {seed}: {complete} of {all}");
    }
}

#[test]
fn empty_table() {
    // A scheduler that knows no upstream of its zone learns of them from the instance of another
    // zone to which they announce themselves.
    for seed in 0..10 {
        let mut world = started_world(seed);
        world.announce_target = Some(0);
        for at in [3, 4, 5] {
            world.kill(at);
        }
        world.run(2_000);
        for at in [3, 4, 5] {
            world.start(at);
        }
        world.run(2_000);
        let ids: Vec<_> = (0..12).map(|_| world.submit(1, 2, 14_000, 60)).collect();
        world.run(1_500);
        let started = |id: &&_| world.start_times.keys().any(|task| task.job == **id);
        assert_eq!(ids.iter().filter(started).count(), 12, "seed {seed}");
        let ran_locally =
            |id: &&_| world.upstreams.iter().any(|u| u.zone == "zone-1" && u.has_run(id));
        assert!(ids.iter().any(|id| ran_locally(&id)), "seed {seed}: none ran in its own zone");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn clock_back() {
    // Other instances accept the messages of an instance that restarts with its wall clock set
    // back.
    for seed in 0..10 {
        let mut world = started_world(seed);
        for at in [0, 1] {
            world.kill(at);
        }
        world.clock_skew = -60_000;
        for at in [0, 1] {
            world.start(at);
        }
        world.run(2_500);
        assert_eq!(world.schedulers(0), [0], "seed {seed}: the keeper has its zone again");
        submit_load(&mut world, 3, 1_000, 40);
        world.run(3_000);
        assert_eq!(world.count_complete(), 25, "seed {seed}");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn zone_cut() {
    for seed in 0..10 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 900, 15);
        world.set_zone_cut(1, true);
        submit_load(&mut world, 3, 2_500, 15);
        world.set_zone_cut(1, false);
        submit_load(&mut world, 3, 900, 15);
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn scheduler_freezes() {
    for seed in 0..10 {
        let mut world = started_world(seed);
        submit_load(&mut world, 3, 600, 15);
        world.freeze(3);
        submit_load(&mut world, 3, 2_000, 15);
        world.unfreeze(3);
        submit_load(&mut world, 3, 900, 15);
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn late_orders() {
    for seed in 0..10 {
        let mut world = started_world(seed);
        world.late_orders = 20;
        submit_load(&mut world, 3, 3_000, 20);
        world.late_orders = 0;
        world.run(5_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn successor_just_started() {
    // All keepers are down and the entries have restarted without them, so that no instance knows
    // any upstream. The keepers restart while the entry that schedules the zone drains, and this
    // entry learns of upstreams before the keeper that takes the zone over from it does.
    for seed in 0..400 {
        let mut world = started_world(seed);
        for at in [0, 3, 6] {
            world.kill(at);
        }
        for at in [1, 2, 4, 5, 7, 8] {
            world.kill(at);
            world.start(at);
        }
        world.run(1_500);
        let former = world.schedulers(0)[seed as usize % 2];
        world.drain(former);
        world.announce_target = Some(6);
        world.message_delay = world.rng.random_range(0..30) * MS;
        for at in [6, 0, 3] {
            world.start(at);
            let gap = world.rng.random_range(0..30);
            world.run(gap);
            let announced = world.rng.random_range(0..8);
            world.announce(announced, Phase::Serving);
        }
        for _ in 0..50 {
            if world.rng.random_range(0..6) == 0 {
                world.submit(0, 3, 14_000, 200);
            }
            for at in 0..8 {
                if world.rng.random_range(0..10) == 0 {
                    world.announce(at, Phase::Serving);
                }
            }
            world.run(10);
        }
        world.run(3_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn claim_of_nobody() {
    // An instance that yields its zone must not leave its claim behind. An instance was cut off
    // from its zone, claimed it, found that the scheduler on the other side owned the upstreams,
    // and yielded, but its claim stayed valid. After the partition healed, that claim outranked the
    // scheduler's claim, and the scheduler yielded too: the zone had no scheduler permanently, and
    // its jobs were handed again and again to an instance that did not accept them
    // (`random_faults`, shared seed 111: no scheduler in zone 2 from 18.3 s on, 7,888 handovers of
    // 50 jobs in 5 s).
    let mut world = World::with_keepers(1, 1, 2, 3, 6);
    world.run(3_000);
    assert_eq!(world.schedulers(0), [0]);
    let isolate = |world: &mut World, cut: bool| {
        for other in (0..world.instances.len()).filter(|other| *other != 1) {
            world.set_cut(1, other, cut);
            world.set_cut(other, 1, cut);
        }
    };
    // During the first cut the scheduler claims the zone with a token above that of the instance
    // that is cut off, so that tokens are ahead of the wall clock. Then orders are lost, each of
    // which raises a token.
    isolate(&mut world, true);
    world.run(4_000);
    isolate(&mut world, false);
    world.run(11_000);
    world.late_orders = 2;
    submit_load(&mut world, 1, 2_000, 100);
    world.late_orders = 0;
    world.run(5_000);
    world.log_counts.clear();
    isolate(&mut world, true);
    world.run(4_000);
    assert!(world.log_counts.contains_key("zone: Yielded, cut off from most of its instances."));
    isolate(&mut world, false);
    world.run(3_000);
    assert_eq!(world.schedulers(0).len(), 1, "one instance schedules the zone");
    let before = world.count_complete();
    submit_load(&mut world, 1, 1_000, 100);
    world.run(3_000);
    assert_eq!(world.faults, Vec::<String>::new());
    assert_eq!(world.count_complete(), before + 10);
}

/// Returns the number of jobs that completed in time and of all jobs among those that clients first
/// submitted in the 800 ms after a power loss of all instances. `stored` is whether the instances
/// keep the peers and upstreams on their disks.
fn in_time_after_power_loss(stored: bool) -> (usize, usize) {
    let mut world = started_world(1);
    submit_load(&mut world, 3, 1_100, 50);
    let all = 0..world.instances.len();
    all.clone().for_each(|at| world.kill(at));
    if !stored {
        world.instances.iter_mut().for_each(|instance| instance.known = event::Known::default());
    }
    world.run(1_000);
    all.for_each(|at| world.start(at));
    let restart = world.now;
    submit_load(&mut world, 3, 800, 20);
    world.run(4_000);
    assert_eq!(world.faults, Vec::<String>::new());
    let submitted = || world.requests.values().filter(|request| request.first_sent >= restart);
    let in_time = submitted().filter(|request| {
        let limit = request.first_sent + request.job.objective * MS;
        matches!(&request.verdict, Some((Verdict::Complete, at)) if *at <= limit)
    });
    (in_time.count(), submitted().count())
}

#[test]
fn known_again() {
    // After a power loss of all instances, clients were refused for lack of capacity for 0.7 s,
    // because upstreams announce themselves only every 1.5 s and the schedulers knew few of them.
    // Keepers therefore store the peers and upstreams that they know. In this test the next
    // announcements come after 0.9 s: 29 of 40 jobs are in time, and 6 without the stored data.
    let (with, all) = in_time_after_power_loss(true);
    let (without, _) = in_time_after_power_loss(false);
    assert!(
        with >= 26 && with > without + 15,
        "{with} in time of {all}, {without} without the stored data"
    );
}
