//! Messages between instances are delayed by seconds while calls to upstreams are not. No task runs
//! twice at the same time.

mod world;

use dispatch::upstream::Phase;
use world::{World, upstream::Upstream};

/// Starts a zone with two keepers (0 and 1) and two entries (2 and 3).
fn started_world(seed: u64) -> World {
    let mut world = World::with_keepers(seed, 1, 2, 2, 4);
    world.run(3_000);
    assert_eq!(world.schedulers(0), [0]);
    world
}

/// Adds an upstream to the first zone. It announces itself only to `keeper`.
fn add_upstream(world: &mut World, keeper: usize) {
    let at = world.upstreams.len();
    let mut upstream = Upstream::new(&format!("i-0-{at}-0"), "zone-0", 32_000, 77);
    upstream.address = format!("10.0.9.{at}:80");
    world.upstreams.push(upstream);
    world.announce_target = Some(keeper);
    world.announce(at, Phase::Serving);
}

#[test]
fn unknown_upstream() {
    // Guards against a scheduler that assumes that it knows all upstreams of its zone. One task ran
    // on two upstreams of a zone at the same time. Both keepers of the zone had started it as the
    // first attempt.
    //
    // Sequence: the first keeper's link filled up, and all of its messages were delayed by seconds.
    // An upstream had just announced itself to that keeper, and the announcement waited in the same
    // queue. The first keeper started the task on this upstream. The second keeper received nothing
    // for 500 ms and claimed the zone, and the entry handed the job to it. All upstreams known to
    // the new scheduler answered within milliseconds. None of them ran the task, so the scheduler
    // started it again.
    //
    // The two starts carried the tokens of both keepers, and the second keeper called the first
    // keeper's upstream only after its own start.
    let mut faults = Vec::new();
    for seed in 0..10 {
        let mut world = started_world(seed);
        for other in 1..4 {
            world.delay_stream(0, other, 2_500);
        }
        world.delay_stream(1, 0, 2_500);
        add_upstream(&mut world, 0);
        // These tasks occupy the upstreams that both keepers know, so that the next tasks go to the
        // new upstream.
        world.submit(0, 9, 14_000, 200);
        world.run(20);
        for _ in 0..2 {
            world.submit(0, 1, 14_000, 900);
        }
        world.run(4_000);
        faults.extend(world.faults.first().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert_eq!(faults, Vec::<String>::new());
}

#[test]
fn old_news() {
    // Guards against a scheduler that acts on old heartbeats of an entry as if they were new. One
    // task ran in two zones at the same time.
    //
    // Sequence: an entry's own zone had no free capacity, so the entry handed a job to the
    // scheduler of another zone. That scheduler's incoming queue had grown until messages waited in
    // it for seconds. The entry lost contact with that scheduler, waited for the 2,000 ms in which
    // the scheduler had to drop the job, and handed the job to its own zone. The former scheduler
    // still read the entry's earlier messages and, because of them, started or kept the task.
    //
    // The scheduler decided from the entry's last heartbeat that it had read whether the entry was
    // still waiting, without regard to the age of that heartbeat. All messages of the entry have
    // the same delay, so none of them reveals the delay.
    //
    // The start in the other zone came as long after the hand-over as messages waited (1,500 ms and
    // more), with an age of 0 ms.
    let mut faults = Vec::new();
    for delay in (500..4_000).step_by(250) {
        let mut world = World::with_keepers(delay, 2, 1, 2, 4);
        world.run(3_000);
        let (entries, scheduler) = ([4, 5], 0);
        for other in 1..world.instances.len() {
            world.grow_delay(other, scheduler, delay);
        }
        world.run(delay * 3 + 500);
        world.submit(1, 10, 14_000, 1_000);
        world.run(200);
        world.submit(1, 2, 14_000, 1_000);
        world.run(100);
        for entry in entries {
            world.set_cut(scheduler, entry, true);
        }
        world.run(6_000);
        faults.extend(world.faults.first().map(|fault| format!("{delay} ms: {fault}")));
    }
    assert_eq!(faults, Vec::<String>::new());
}

#[test]
fn late_hand_over() {
    // Guards against counting the time in which a former scheduler's runs may continue (1,550 ms)
    // from the claim, as if entries stopped using the former scheduler at that moment. One task ran
    // on two upstreams of a zone at the same time.
    //
    // Sequence: a zone's second keeper was cut off and claimed the zone. The entries did not
    // receive the claim and stayed with the first keeper. The partition healed 2,800 ms later, and
    // the entry handed its job over while a task of the job ran on an upstream that the second
    // keeper could not reach.
    //
    // The new scheduler started the task when it received the job, and its hold calls to the first
    // upstream had no answer.
    let mut faults = Vec::new();
    for seed in 0..10 {
        let mut world = started_world(seed);
        let upstreams = 0..world.upstreams.len();
        for other in [0, 2, 3] {
            world.set_cut(1, other, true);
            world.set_cut(other, 1, true);
        }
        for upstream in upstreams.clone() {
            world.block_calls(upstream, 1, true);
        }
        world.run(4_000);
        assert_eq!(world.schedulers(0), [0, 1]);
        // These are more tasks than fit on the other upstreams.
        world.submit(0, 9, 14_000, 900);
        world.run(150);
        for other in [0, 2, 3] {
            world.set_cut(1, other, false);
            world.set_cut(other, 1, false);
        }
        for upstream in upstreams.skip(1) {
            world.block_calls(upstream, 1, false);
        }
        world.run(4_000);
        faults.extend(world.faults.first().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert_eq!(faults, Vec::<String>::new());
}

#[test]
fn soon_used() {
    // A new upstream gets tasks as soon as the scheduler knows that the entry knows the upstream:
    // after the scheduler's next heartbeat, which the entry answers immediately.
    let mut longest = 0;
    for seed in 0..20 {
        let mut world = started_world(seed);
        world.submit(0, 12, 14_000, 1_500);
        world.run(100 + seed * 10);
        add_upstream(&mut world, 0);
        let (started, at) = (world.now, world.upstreams.len() - 1);
        while world.upstreams[at].runs.is_empty() && world.now < started + 1_000_000 {
            world.run(5);
        }
        longest = longest.max((world.now - started) / 1_000);
    }
    println!("at most {longest} ms");
    assert!(longest <= 190, "{longest} ms: a heartbeat of 150 ms and two ticks of 20 ms");
}

#[test]
fn gone_but_running() {
    // Guards against a task running twice after an upstream was wrongly removed from the directory.
    //
    // Sequence: the zone's only keeper cannot reach one upstream for 12 s and gives it up. This
    // update waits in the keeper's full queue, and the keeper is killed. An entry claims the zone,
    // reaches the upstream and starts a task there. The late update removes the upstream from the
    // entry's directory, but not from its sessions. The next scheduler covers the set of upstreams
    // that it receives then.
    let mut faults = Vec::new();
    for seed in 0..10 {
        let mut world = World::new(seed, 1, 4, 4);
        world.run(3_000);
        world.block_calls(0, 0, true);
        while !world.log_counts.contains_key("upstream: No answer.") {
            world.run(5);
        }
        world.run(11_900);
        for other in 1..5 {
            world.delay_stream(0, other, 2_500);
        }
        while !world.log_counts.contains_key("upstream: Given up, it does not answer.") {
            world.run(5);
        }
        world.run(5);
        world.kill(0);
        world.run(1_500);
        let schedulers = world.schedulers(0);
        world.submit(0, 8, 14_000, 6_000);
        world.run(1_300);
        for at in schedulers {
            world.kill(at);
        }
        world.run(3_000);
        faults.extend(world.faults.first().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert_eq!(faults, Vec::<String>::new());
}

#[test]
fn stops_refused() {
    // Guards against a scheduler that renews the lease of a task that its upstream refuses to stop.
    // The scheduler has dropped the job, but the renewed lease lets the task run beyond
    // `FORMER_RUN_TIMEOUT`, after which the entry hands the job to its own zone.
    let mut faults = Vec::new();
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 2, 4);
        world.run(3_000);
        for upstream in &mut world.upstreams {
            upstream.refuses_stops = true;
        }
        // Zone 1 is full, so its entries hand the next job to zone 0.
        world.submit(1, 10, 14_000, 1_500);
        world.run(200);
        world.submit(1, 2, 14_000, 3_600);
        world.run(200);
        world.set_zone_cut(0, true);
        world.run(4_500);
        faults.extend(world.faults.first().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert_eq!(faults, Vec::<String>::new());
}
