//! Systems of many instances: the traffic of each role, and the effects of late answers.
//!
//! `cargo test --test many -- --ignored --nocapture table` prints the figures for
//! docs/design/scale.md.

mod world;

use std::collections::BTreeMap;

use dispatch::{member::Role, time::Now};
use world::{Flow, World};

const ZONES: usize = 3;
const KEEPERS: usize = 2;
/// The number of upstreams for each instance, as in the users' parameter sweep.
const UPSTREAMS: usize = 10;
/// One second, microseconds.
const SECOND: f64 = 1e6;

/// Builds a system of `all` instances, keepers first in each zone, with `upstreams` upstreams for
/// each instance.
fn build_system(seed: u64, all: usize, upstreams: usize) -> World {
    let entries = all / ZONES - KEEPERS;
    let mut world = World::with_keepers(seed, ZONES, KEEPERS, entries, all * upstreams / ZONES);
    world.count_flows = true;
    world
}

/// The messages and bytes per second of one instance.
#[derive(Clone, Debug, Default)]
struct Rate {
    sent: (f64, f64),
    received: (f64, f64),
    kinds: BTreeMap<&'static str, (f64, f64)>,
}

impl Rate {
    /// Returns the messages per second, sent and received.
    fn messages(&self) -> f64 {
        self.sent.0 + self.received.0
    }

    /// Returns the bytes per second, sent and received.
    fn bytes(&self) -> f64 {
        self.sent.1 + self.received.1
    }
}

/// Returns the rates of the instances of a role since `since`, in ascending order of bytes.
fn rates(world: &mut World, role: Role, since: u64) -> Vec<Rate> {
    let time = (world.now - since) as f64 / SECOND;
    let each = |flow: &Flow| (flow.count as f64 / time, flow.bytes as f64 / time);
    let mut rates = vec![Rate::default(); world.instances.len()];
    for ((at, sent, kind), flow) in &world.flows {
        let rate = &mut rates[*at];
        let (count, bytes) = each(flow);
        let sum = if *sent { &mut rate.sent } else { &mut rate.received };
        *sum = (sum.0 + count, sum.1 + bytes);
        let sum = rate.kinds.entry(kind).or_default();
        *sum = (sum.0 + count, sum.1 + bytes);
    }
    let selected = rates.into_iter().zip(&world.instances).filter(|(_, i)| i.card.role == role);
    let mut selected: Vec<_> = selected.map(|(rate, _)| rate).collect();
    selected.sort_by(|a, b| a.bytes().total_cmp(&b.bytes()));
    selected
}

/// Runs the simulation for `ms` milliseconds and returns the rates of entries and of keepers in
/// that time.
fn measure(world: &mut World, ms: u64) -> (Vec<Rate>, Vec<Rate>) {
    world.flows.clear();
    world.redials.clear();
    let since = world.now;
    world.run(ms);
    (rates(world, Role::Entry, since), rates(world, Role::Keeper, since))
}

/// Prints the rates of the median and the busiest instances, and the number of redials.
fn print_rates(label: &str, all: usize, ms: u64, world: &World, rates: &(Vec<Rate>, Vec<Rate>)) {
    let (entries, keepers) = rates;
    let rows = [
        ("entry, middle", &entries[entries.len() / 2]),
        ("entry, busiest", &entries[entries.len() - 1]),
        ("keeper, busiest", &keepers[keepers.len() - 1]),
    ];
    for (role, rate) in rows {
        let kinds = rate
            .kinds
            .iter()
            .map(|(kind, (count, bytes))| format!("{kind} {count:.0}/{:.1}", bytes / 1e3));
        let kinds: Vec<_> = kinds.collect();
        println!(
            "| {label} | {all} | {role} | {:.0} | {:.1} | {:.0} | {:.1} | {} |",
            rate.sent.0,
            rate.sent.1 / 1e3,
            rate.received.0,
            rate.received.1 / 1e3,
            kinds.join(", ")
        );
    }
    let most = world.redials.values().max().copied().unwrap_or(0);
    let sum: u64 = world.redials.values().sum();
    let time = ms as f64 / 1e3;
    let log_count = |text: &str| world.log_counts.get(text).copied().unwrap_or(0);
    println!("| {label} | {all} | schedulers started so far: {} |", log_count("zone: Scheduling."));
    println!(
        "| {label} | {all} | redials/s: all {:.0}, most of one {:.1} |",
        sum as f64 / time,
        most as f64 / time
    );
}

/// Asserts that an instance sends and receives no more than `messages` messages and `kb` KB per
/// second.
fn assert_rate(label: &str, rate: &Rate, messages: f64, kb: f64) {
    let (count, bytes) = (rate.messages(), rate.bytes() / 1e3);
    assert!(
        count <= messages && bytes <= kb,
        "{label}: {count:.0} messages and {bytes:.1} KB per second, {:?}",
        rate.kinds
    );
}

#[test]
fn start_of_many() {
    // All instances start and all upstreams announce themselves. With a link of 25 Mbit/s and 0.12
    // of a core, an entry must have processor time left for its clients.
    let mut world = build_system(1, 300, 2);
    let (entries, keepers) = measure(&mut world, 3_000);
    assert_rate("entry, middle", &entries[entries.len() / 2], 60.0, 30.0);
    assert_rate("entry, busiest", &entries[entries.len() - 1], 400.0, 100.0);
    assert_rate("keeper, busiest", &keepers[keepers.len() - 1], 4_000.0, 1_500.0);
}

#[test]
fn calm_of_many() {
    // An entry exchanges 6.7 heartbeats per second in each direction with two keepers and one or
    // two schedulers; a keeper exchanges them with its zone and all keepers.
    let mut world = build_system(1, 300, 2);
    world.run(6_000);
    let (entries, keepers) = measure(&mut world, 2_000);
    assert_rate("entry, middle", &entries[entries.len() / 2], 40.0, 8.0);
    assert_rate("entry, busiest", &entries[entries.len() - 1], 60.0, 12.0);
    assert_rate("keeper, busiest", &keepers[keepers.len() - 1], 1_500.0, 300.0);
}

#[test]
fn late_heartbeats() {
    // An instance whose heartbeats are late does not count as lost. A redial of its streams would
    // only lose the messages in transit.
    let mut world = build_system(1, 300, 2);
    world.run(6_000);
    world.log_counts.clear();
    world.redials.clear();
    world.jitter = (400_000, 1_000_000);
    world.run(5_000);
    let most = world.redials.values().max().copied().unwrap_or(0);
    let all: u64 = world.redials.values().sum();
    assert!(most <= 10, "{most} redials of one instance in 5 s");
    assert!(all <= 300, "{all} redials of 300 instances in 5 s");
    assert_eq!(world.log_counts.get("zone: Scheduling."), None, "no instance was lost");
}

#[test]
fn silent_streams() {
    // All streams stop delivering messages until they are redialled.
    let mut world = build_system(1, 99, 2);
    world.run(2_000);
    world.publish(0, 1, "a");
    world.run(4_000);
    let count = world.instances.len();
    world.stalled = (0..count).flat_map(|from| (0..count).map(move |to| (from, to))).collect();
    world.run(4_000);
    let now = world.now;
    let ready = |i: &&world::Instance| {
        i.core.as_ref().is_some_and(|core| core.is_ready(Now::new(now, 1_800_000_000_000)))
    };
    assert_eq!(world.instances.iter().filter(ready).count(), count);
    for zone in 0..ZONES {
        assert_eq!(world.schedulers(zone).len(), 1, "zone {zone}");
    }
    let ids: Vec<_> = (0..30).map(|at| world.submit(at % ZONES, 2, 14_000, 200)).collect();
    world.run(2_000);
    assert_eq!(world.count_complete(), ids.len());
}

#[test]
fn keepers_of_a_zone_lost() {
    // Entries that exchange no heartbeats in normal operation agree on a scheduler for their zone,
    // and hand the zone back to its keeper.
    for seed in 0..3 {
        let mut world = build_system(seed, 99, 2);
        world.run(4_000);
        for at in 0..KEEPERS {
            world.kill(at);
        }
        world.run(2_000);
        assert_eq!(world.schedulers(0).len(), 1, "seed {seed}");
        // The next candidates by rank are lost as well, all at once.
        let next = world.schedulers(0)[0];
        for at in KEEPERS..KEEPERS + 6 {
            world.kill(at);
        }
        world.kill(next);
        world.run(4_000);
        assert_eq!(world.schedulers(0).len(), 1, "seed {seed}");
        let ids: Vec<_> = (0..30).map(|_| world.submit(0, 2, 14_000, 200)).collect();
        world.run(3_000);
        assert!(world.count_complete() >= ids.len() - 1, "seed {seed}: {}", world.count_complete());
        world.start(0);
        world.run(3_000);
        assert_eq!(world.schedulers(0), [0], "seed {seed}");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn scheduler_of_many_lost() {
    // The other keeper schedules the zone after 500 ms and a tick, and all entries know the new
    // scheduler.
    for seed in 0..3 {
        let mut world = build_system(seed, 99, 2);
        world.run(4_000);
        world.kill(0);
        world.run(600);
        assert_eq!(world.schedulers(0), [1], "seed {seed}");
        let ids: Vec<_> = (0..60).map(|_| world.submit(0, 1, 14_000, 100)).collect();
        world.run(400);
        let started = |id: &&_| world.start_times.keys().any(|task| task.job == **id);
        assert_eq!(ids.iter().filter(started).count(), 60, "seed {seed}");
    }
}

#[test]
fn zone_of_many_cut() {
    for seed in 0..2 {
        let mut world = build_system(seed, 60, 2);
        world.run(4_000);
        world.set_zone_cut(1, true);
        world.run(1_500);
        world.log_counts.clear();
        for _ in 0..40 {
            for zone in 0..ZONES {
                world.submit(zone, 1, 14_000, 100);
            }
            world.run(50);
        }
        world.set_zone_cut(1, false);
        world.run(3_000);
        assert_eq!(world.count_complete(), 120, "seed {seed}: {:?}", world.log_counts);
        assert_eq!(world.log_counts.get("zone: Scheduling."), None, "seed {seed}");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn keepers_of_many_replaced() {
    // The keepers of a zone move to other machines, one after the other.
    let mut world = build_system(2, 60, 2);
    world.run(4_000);
    for (at, name) in [(0, "10.0.5.1:7"), (1, "10.0.5.2:7")] {
        world.replace_keeper(at, name);
        world.run(3_000);
    }
    assert_eq!(world.schedulers(0).len(), 1);
    assert!(world.schedulers(0)[0] < KEEPERS, "a keeper schedules");
    let ids: Vec<_> = (0..40).map(|_| world.submit(0, 1, 14_000, 100)).collect();
    world.run(2_000);
    assert_eq!(world.count_complete(), ids.len());
    assert_eq!(world.faults, Vec::<String>::new());
}

#[test]
fn one_way_cut_of_many() {
    // Messages from an entry to the scheduler of its zone are lost, or those in the other
    // direction.
    for (from, to) in [(10, 0), (0, 10)] {
        let mut world = build_system(1, 99, 2);
        world.run(4_000);
        world.set_cut(from, to, true);
        world.run(1_000);
        world.log_counts.clear();
        let ids: Vec<_> = (0..200).map(|_| world.submit(0, 1, 14_000, 100)).collect();
        world.run(4_000);
        assert_eq!(world.count_complete(), ids.len(), "{from} to {to}: {:?}", world.log_counts);
        assert_eq!(world.faults, Vec::<String>::new());
    }
}

#[test]
fn nobody_forgotten() {
    // In normal operation an instance does not forget the peers that send it no heartbeats.
    let mut world = build_system(1, 60, 2);
    world.run(45_000);
    assert_eq!(world.log_counts.get("peer: Forgotten."), None);
    // All instances forget one that has stopped for good, and then send no lists because of its
    // loss.
    world.kill(30);
    world.run(33_000);
    let known = |i: &world::Instance| i.core.as_ref().map(|core| core.status(Now::new(1, 1)).known);
    let counts: Vec<_> = world.instances.iter().filter_map(known).collect();
    assert_eq!(counts, vec![58; 59]);
    world.sent.clear();
    world.run(2_000);
    let kinds: Vec<_> = world.sent.keys().copied().collect();
    assert_eq!(kinds, ["agree", "ping"], "{:?}", world.sent);
}

#[test]
fn forgotten_and_back() {
    // All instances know an instance again that was frozen for longer than they remember peers.
    for all in [9, 60] {
        let mut world = build_system(1, all, 2);
        world.run(4_000);
        let at = all - 1;
        world.freeze(at);
        world.run(36_000);
        assert!(world.log_counts.contains_key("peer: Forgotten."), "of {all}");
        world.unfreeze(at);
        world.run(5_000);
        let known =
            |i: &world::Instance| i.core.as_ref().map(|core| core.status(Now::new(1, 1)).known);
        let counts: Vec<_> = world.instances.iter().filter_map(known).collect();
        assert_eq!(counts, vec![all - 1; all]);
        world.sent.clear();
        world.run(2_000);
        let kinds: Vec<_> = world.sent.keys().copied().collect();
        assert_eq!(kinds, ["agree", "ping"], "of {all}: {:?}", world.sent);
    }
}

#[test]
fn silent_upstreams() {
    // Each call to an upstream that does not answer costs a connection, so a scheduler that calls
    // all silent upstreams again and again makes itself late.
    let mut world = build_system(1, 9, 60);
    world.run(3_000);
    for at in 0..world.upstreams.len() {
        world.block_calls(at, 0, true);
    }
    world.run(1_000);
    world.calls.clear();
    world.run(2_000);
    let calls = world.calls[&0] / 2;
    assert!(calls <= 400, "{calls} calls per second to 180 silent upstreams");
    for at in 0..world.upstreams.len() {
        world.block_calls(at, 0, false);
    }
    world.run(1_000);
    let ids: Vec<_> = (0..100).map(|_| world.submit(0, 1, 14_000, 100)).collect();
    world.run(500);
    assert_eq!(world.count_complete(), ids.len());
}

#[test]
fn busy_upstreams() {
    // One hold call per 200 ms to each of a thousand busy upstreams would take all of a keeper's
    // processor time.
    let mut world = build_system(1, 9, 300);
    world.run(3_000);
    for _ in 0..60 {
        world.submit_as(0, 30, 14_000, 3_500, 3_500, 0);
    }
    world.run(500);
    world.calls.clear();
    world.run(2_000);
    let calls = world.calls[&0] / 2;
    assert!(calls <= 900 * 5 / 2, "{calls} calls per second to 900 busy upstreams");
    world.run(4_000);
    assert_eq!(world.count_complete(), 60);
    assert_eq!(world.faults, Vec::<String>::new());
}

#[test]
#[ignore = "prints figures"]
fn table() {
    println!(
        "| state | instances | role | sent/s | KB/s | got/s | KB/s | kinds: messages/KB a second |"
    );
    let sizes = std::env::var("SIZES").unwrap_or_else(|_| "30,100,300".to_owned());
    for all in sizes.split(',').filter_map(|size| size.parse().ok()) {
        let began = std::time::Instant::now();
        let mut world = build_system(1, all, UPSTREAMS);
        let first = measure(&mut world, 3_000);
        print_rates("first 3 s", all, 3_000, &world, &first);
        world.run(12_000);
        let calm = measure(&mut world, 4_000);
        print_rates("calm", all, 4_000, &world, &calm);
        world.jitter = (400_000, 1_000_000);
        let late = measure(&mut world, 5_000);
        print_rates("late 0.4 to 1 s", all, 5_000, &world, &late);
        world.jitter = (0, 0);
        world.run(3_000);
        for at in 0..world.instances.len() {
            world.kill(at);
        }
        world.run(1_000);
        for at in 0..world.instances.len() {
            world.start(at);
        }
        let again = measure(&mut world, 3_000);
        print_rates("all started again, 3 s", all, 3_000, &world, &again);
        println!("{all}: {:.0} s", began.elapsed().as_secs_f64());
    }
}

/// After a power loss of the whole system, the first keeper to restart must send the configuration
/// to the entries of all zones, not only to those of its own. The entries and one keeper
/// restarted 30 to 400 ms before the keepers of the entries' zones. This keeper remembered only its
/// own zone and the other keepers. 475 of the 759 requests that reached an entry without a
/// configuration reached entries of the other zones while this keeper could have sent it to them.
#[test]
fn first_keeper_back() {
    let mut world = build_system(1, 60, 2);
    world.run(4_000);
    world.publish(0, 5, "text");
    world.run(2_000);
    let all = 0..world.instances.len();
    all.clone().for_each(|at| world.kill(at));
    world.run(1_000);
    let is_entry = |at: &usize| world.instances[*at].card.role == Role::Entry;
    let (entries, keepers): (Vec<_>, Vec<_>) = all.clone().partition(is_entry);
    // This keeper is not a seed, so that no entry contacts it first.
    let first = 1;
    entries.iter().chain([&first]).for_each(|at| world.start(*at));
    world.run(200);
    let version = |world: &World, at: usize| {
        let core = world.instances[at].core.as_ref()?;
        Some(core.document().version)
    };
    let without = all.filter(|at| version(&world, *at) == Some(0)).count();
    assert_eq!(without, 0, "entries without a configuration");
    // No entry claims a zone whose keepers are about to restart.
    keepers.iter().filter(|at| **at != first).for_each(|at| world.start(*at));
    world.run(2_000);
    for zone in 0..ZONES {
        let [scheduler] = world.schedulers(zone)[..] else { panic!("zone {zone}") };
        assert_eq!(world.instances[scheduler].card.role, Role::Keeper, "zone {zone}");
    }
}
