//! Instances form their groups while messages between them are lost and delayed, and while they
//! start at different times or crash.
//!
//! This guards against two formations of the settings group that both commit changes, and against
//! an instance that never joins: a member had left a formation whose entries it had acknowledged,
//! because it had not been told that they were committed.

mod net;

use net::{Net, SERVICE};
use rand::{RngExt as _, SeedableRng as _, rngs};

/// Time within which all instances must be ready once no message is lost any more, milliseconds.
const READY_LIMIT: u64 = 5_000;

/// How the links and instances fail, in ticks and percentages.
#[derive(Debug)]
struct Plan {
    length: u64,
    loss: u32,
    delay: u32,
    crashes: bool,
    /// When each instance starts.
    starts: Vec<u64>,
    /// Until when each link is cut.
    cuts: Vec<Vec<u64>>,
}

impl Plan {
    fn new(count: usize, crashes: bool, rng: &mut rngs::SmallRng) -> Self {
        let start = |rng: &mut rngs::SmallRng| {
            let limit = if rng.random_ratio(1, 3) { 150 } else { 10 };
            rng.random_range(0..limit)
        };
        let cut = |rng: &mut rngs::SmallRng| {
            if rng.random_ratio(1, 3) { rng.random_range(0..200) } else { 0 }
        };
        Self {
            length: rng.random_range(20..220),
            loss: rng.random_range(0..60),
            delay: rng.random_range(0..90),
            crashes,
            starts: (0..count).map(|_| start(rng)).collect(),
            cuts: (0..count).map(|_| (0..count).map(|_| cut(rng)).collect()).collect(),
        }
    }
}

/// Plays one seed and asserts that all instances get ready and agree on all accepted changes.
fn play(count: usize, crashes: bool, seed: u64) {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut plan = Plan::new(count, crashes, &mut rng);
    let mut net = Net::new(&[("west", count)], count);
    (0..count).for_each(|at| net.crash(at));
    for tick in 0..plan.length {
        play_tick(&mut net, &mut plan, tick, &mut rng);
    }
    net.heal();
    (0..count).for_each(|at| net.restart(at));
    net.run_until_ready(READY_LIMIT);
    // The last changes still have to reach all instances.
    net.run(READY_LIMIT);
    net.check_changes();
}

fn play_tick(net: &mut Net, plan: &mut Plan, tick: u64, rng: &mut rngs::SmallRng) {
    let count = plan.starts.len();
    for at in (0..count).filter(|at| plan.starts[*at] == tick) {
        net.restart(at);
    }
    for from in 0..count {
        for to in (0..count).filter(|to| *to != from) {
            net.set_cut(from, to, tick < plan.cuts[from][to]);
        }
    }
    net.tick();
    for _ in 0..net.in_transit.len() * 3 {
        if net.in_transit.is_empty() {
            break;
        }
        if rng.random_ratio(plan.delay, 100) {
            continue;
        }
        if rng.random_ratio(plan.loss, 100) {
            net.in_transit.remove(0);
        } else {
            let at = if rng.random_ratio(1, 4) { rng.random_range(0..1_000) } else { 0 };
            net.deliver(at);
        }
    }
    for at in 0..count {
        if rng.random_ratio(2, 3) {
            net.sync(at);
        }
    }
    let at = rng.random_range(0..count);
    if rng.random_ratio(1, 5) && net.hosts[at].core.is_some() {
        net.change(at, rng.random_range(1..9), None, SERVICE);
    }
    if plan.crashes && rng.random_ratio(1, 60) {
        net.crash(at);
        plan.starts[at] = tick + rng.random_range(1..30);
    }
}

/// Plays seeds from 0 on; `FORMATION_SEEDS` changes their number.
fn play_seeds(count: usize, crashes: bool) {
    let seeds = std::env::var("FORMATION_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(1_000) {
        let play = std::panic::AssertUnwindSafe(|| play(count, crashes, seed));
        assert!(std::panic::catch_unwind(play).is_ok(), "seed {seed}");
    }
}

#[test]
fn messages_lost() {
    play_seeds(3, false);
}

#[test]
fn instances_crash() {
    play_seeds(3, true);
}

#[test]
fn five_seats() {
    play_seeds(5, true);
}
