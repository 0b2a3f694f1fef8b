//! Runs that make no progress: how soon they are stopped, and that nothing else is.

mod sample;

use dispatch::{
    job::{Job, Task},
    order::{Order, Outcome, Running},
    suspect::Suspects,
    time::MS,
};
use sample::CLOCK;

/// Plays a run in progress at an upstream that answers each hold when its wait is over. `row` gives
/// the progress and the usage by the time since the first answer, milliseconds. Returns the number
/// of holds and the time of the order to stop the run, if there is one within a second.
fn play(row: impl Fn(u64) -> (u32, Option<u64>)) -> (usize, Option<u64>) {
    let began = 1_000 * MS;
    let mut sched = sample::scheduler(&["u1"], began);
    let job = Job { resumed: true, ..sample::job("j", 1) };
    sched.submit(job, &"entry".into(), began);
    let (mut now, mut holds) = (began, 0);
    loop {
        sched.run(|_| Some(now), &Suspects::default(), now);
        let calls = sched.take_output().calls;
        let elapsed = (now - began) / MS;
        if calls.iter().any(|call| matches!(call.order, Order::Stop { .. })) {
            return (holds, Some(elapsed));
        }
        if elapsed > 1_000 {
            return (holds, None);
        }
        for call in calls {
            let Order::Hold { wait, .. } = call.order else { panic!("{call:?}") };
            holds += 1;
            now += wait * MS;
            let (percent, usage) = row((now - began) / MS);
            let task = Task { job: "j".into(), step: 0, index: 0 };
            let running = vec![Running { task, attempt: 1, percent, usage }];
            let (clock, ended) = (CLOCK + now / MS, vec![]);
            let outcome = Outcome::Held { started: None, clock, running, ended };
            sched.process_outcome(call.number, call.fence, outcome, now);
        }
    }
}

#[test]
fn hung() {
    for usage in [None, Some(0), Some(14_000)] {
        assert_eq!(play(|_| (10, usage)).1, Some(280), "whatever it uses: {usage:?}");
        assert_eq!(play(|at| (at.min(200) as u32 / 4, usage)).1, Some(480), "{usage:?}");
    }
}

#[test]
fn sound() {
    // The percents of the longest tasks change every 36 ms.
    for usage in [None, Some(0), Some(14_000)] {
        let (holds, stopped) = play(|at| (at as u32 / 36, usage));
        assert_eq!(stopped, None, "{usage:?}");
        assert_eq!(holds, 7, "one at once, then one each 200 ms");
    }
}
