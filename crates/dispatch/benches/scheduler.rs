//! Time that a scheduler's decisions take at the size of one zone of a large site: 117 upstreams,
//! 160 jobs and some 570 starts a second; then three times as many jobs, which is more than fits.
//! Prints the share of one core of this machine.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time;

use world::World;

/// Virtual time that is measured.
const SPAN: u64 = 10_000;
/// Between two jobs, milliseconds.
const GAP: u64 = 6;

fn main() {
    measure("usual load", GAP);
    measure("overload", GAP / 3);
}

fn measure(what: &str, gap: u64) {
    let mut world = World::new(1, 1, 4, 117);
    world.run(3_000);
    world.spent.clear();
    let began = time::Instant::now();
    for at in 0..SPAN / gap {
        // Jobs a second: 34 of 8 tasks, 6 of 4 tasks, 100 of 2 tasks.
        let (count, length) = match at % 23 {
            0..6 => (8, 60),
            6 => (4, 900),
            _ => (2, 200),
        };
        world.submit(0, count, 14_000, length);
        world.run(gap);
    }
    let all = began.elapsed();
    let keeper = world.spent.get(&0).copied().unwrap_or_default();
    let share = keeper.as_secs_f64() * 1_000.0 / SPAN as f64 * 100.0;
    println!("{what}: {share:.2}% of a core for decisions ({all:?} for the whole world)");
    println!("{what}: complete {}", world.complete());
}
