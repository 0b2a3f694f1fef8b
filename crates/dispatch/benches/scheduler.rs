//! Measures the time of a scheduler's decisions for one zone of a large site: 117 upstreams, 160
//! jobs and some 570 starts per second; then for three times as many jobs, which exceed the
//! capacity. Prints the time as a share of one core of this machine.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time;

use world::World;

/// The measured virtual time, milliseconds.
const DURATION: u64 = 10_000;
/// The time between two jobs, milliseconds.
const JOB_INTERVAL: u64 = 6;

fn main() {
    measure("usual load", JOB_INTERVAL);
    measure("overload", JOB_INTERVAL / 3);
}

fn measure(label: &str, interval: u64) {
    let mut world = World::new(1, 1, 4, 117);
    world.run(3_000);
    world.handling_time.clear();
    let started = time::Instant::now();
    for at in 0..DURATION / interval {
        // Jobs per second: 34 with 8 tasks, 6 with 4 tasks, 100 with 2 tasks.
        let (count, length) = match at % 23 {
            0..6 => (8, 60),
            6 => (4, 900),
            _ => (2, 200),
        };
        world.submit(0, count, 14_000, length);
        world.run(interval);
    }
    let elapsed = started.elapsed();
    let keeper = world.handling_time.get(&0).copied().unwrap_or_default();
    let share = keeper.as_secs_f64() * 1_000.0 / DURATION as f64 * 100.0;
    println!("{label}: {share:.2}% of a core for decisions ({elapsed:?} for the whole simulation)");
    println!("{label}: complete {}", world.count_complete());
}
