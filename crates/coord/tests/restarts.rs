//! An instance that crashes and restarts repeatedly becomes ready again each time.

mod net;

use net::{Net, SERVICE};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Runs one seed: the first instance crashes at a random point of the admission of a job and
/// restarts after a random time. It has to be ready within 5 s each time.
fn run_seed(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut net = Net::new(&[("west", 3)], 3);
    net.run_until_ready(6_000);
    net.change(0, 1 << 64, None, SERVICE);
    net.run(500);
    for _ in 0..6 {
        let id = net.new_job_id("west");
        net.submit(0, &id, 4, 10_000);
        for _ in 0..rng.random_range(0..40) {
            match rng.random_range(0..4) {
                0 => net.tick(),
                1 => net.sync(rng.random_range(0..3)),
                _ if net.in_transit.is_empty() => {}
                _ => net.deliver(rng.random_range(0..net.in_transit.len())),
            }
        }
        net.crash(0);
        // From 0 to more than the time after which the others expel the instance.
        net.run(rng.random_range(0..100) * rng.random_range(1..40));
        net.submit(1, &id, 4, 10_000);
        net.run(rng.random_range(0..40));
        net.restart(0);
        net.run_until_ready(5_000);
    }
    net.check_invariants();
}

#[test]
fn ready_again() {
    // A fixed range, so that CI results are reproducible; RESTART_SEEDS=A..B selects another one.
    let range = std::env::var("RESTART_SEEDS").unwrap_or_else(|_| "0..60".to_owned());
    let (from, to) = range.split_once("..").expect("RESTART_SEEDS is A..B");
    for seed in from.parse().expect("a number")..to.parse().expect("a number") {
        let result = std::panic::catch_unwind(|| run_seed(seed));
        assert!(result.is_ok(), "seed {seed}");
    }
}
