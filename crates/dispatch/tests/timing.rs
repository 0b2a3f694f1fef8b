//! The breakdown of a task's time into delays and work.

mod world;

use dispatch::{
    time::MS,
    timing::{Breakdown, RunTiming},
};
use world::World;

const PARTS: Breakdown =
    Breakdown { handed: 0, waited: 0, order: 4 * MS, work: 200 * MS, told: 6 * MS };

#[test]
fn by_the_clocks_of_both() {
    let mut timing = RunTiming::new(1_000 * MS);
    timing.confirm(90_000, 1_004 * MS);
    timing.confirm(90_050, 1_054 * MS);
    assert_eq!(timing.end(90_200, 1_210 * MS), PARTS, "the first confirmation counts");
    let whole = PARTS.after(2 * MS, 252 * MS);
    assert_eq!(whole, Breakdown { handed: 2 * MS, waited: 40 * MS, ..PARTS });
    let text = "last task: handed 2 ms, waited 40 ms, order 4 ms, work 200 ms, told 6 ms";
    assert_eq!(whole.to_string(), text);
    assert_eq!(Breakdown::parse(&format!("Complete, {whole}")), Some(whole));
    assert_eq!(Breakdown::parse("Complete"), None);
}

#[test]
fn odd_clocks() {
    // The run was never confirmed: its order or the answer to the order was lost.
    let lost = RunTiming::new(0).end(90_000, 70 * MS);
    assert_eq!(lost, Breakdown { order: 70 * MS, ..Breakdown::default() });
    // If the upstream's clock, which counts milliseconds, runs ahead or goes back, the parts still
    // add up to the elapsed time.
    let mut timing = RunTiming::new(0);
    timing.confirm(90_000, 3 * MS);
    let ahead = timing.end(90_900, 100 * MS);
    assert_eq!((ahead.order, ahead.work, ahead.told), (0, 100 * MS, 0));
    let back = timing.end(80_000, 100 * MS);
    assert_eq!((back.order, back.work, back.told), (3 * MS, 0, 97 * MS));
    // A scheduler that received the job late accounts for less time than its client waited.
    assert_eq!(PARTS.after(20 * MS, 10 * MS), Breakdown { handed: 20 * MS, ..PARTS });
}

#[test]
fn late_answers_are_no_work() {
    // The answers of all upstreams arrive 40 ms late. That time counts as delay, and the work takes
    // as long as without it. Simulated upstreams end their tasks in steps of 20 ms.
    let mut world = World::new(1, 1, 1, 2);
    world.run(3_000);
    for lag in [0, 40] {
        world.answer_lag = lag * MS;
        world.run(1_000);
        world.breakdowns.clear();
        world.submit(0, 1, 1_000, 200);
        world.run(1_000);
        let [parts] = world.breakdowns[..] else { panic!("{:?}", world.breakdowns) };
        assert!((200 * MS..=220 * MS).contains(&parts.work), "{lag}: {parts:?}");
        let delay = parts.order + parts.told;
        assert!((lag * MS..=(lag + 20) * MS).contains(&delay), "{lag}: {parts:?}");
    }
}
