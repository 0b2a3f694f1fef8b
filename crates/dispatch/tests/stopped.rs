//! Runs that nobody wants are told to stop, however they came about.

mod sample;

use dispatch::{
    job::{Job, Task},
    order::{Call, End, Ended, Order, Outcome, Running},
    sched::Sched,
    suspect::Suspects,
    time::MS,
    upstream::{Phase, Record},
};
use sample::{CLOCK, record};
use state::name::Name;

struct Play {
    sched: Sched,
    now: u64,
}

/// A job of one task that another scheduler may have started.
fn job(id: &str) -> Job {
    Job { resumed: true, ..sample::job(id, 1) }
}

fn task() -> Task {
    Task { job: "j".into(), step: 0, index: 0 }
}

fn running(attempt: u32, percent: u32) -> Vec<Running> {
    vec![Running { task: task(), attempt, percent }]
}

fn ended(attempt: u32, end: End) -> Vec<Ended> {
    vec![Ended { number: 1, task: task(), attempt, end }]
}

impl Play {
    /// A scheduler that has just taken over, and its first questions.
    fn new(upstreams: &[&str]) -> (Self, Vec<Call>) {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut play = Self { sched, now };
        let calls = play.calls();
        (play, calls)
    }

    fn calls(&mut self) -> Vec<Call> {
        self.sched.tick(|_| Some(self.now), self.now);
        self.sched.run(|_| Some(self.now), &Suspects::default(), self.now);
        self.sched.take().calls
    }

    fn answer(&mut self, call: &Call, running: Vec<Running>, ended: Vec<Ended>) {
        let outcome = Outcome::Held { clock: CLOCK + self.now / MS, running, ended };
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
    }

    fn wait(&mut self, ms: u64) {
        self.now += ms * MS;
    }
}

fn at<'a>(calls: &'a [Call], id: &str) -> &'a Call {
    calls.iter().find(|call| call.upstream.as_str() == id).unwrap()
}

fn stops(calls: &[Call]) -> Vec<Name> {
    let stops = calls.iter().filter(|call| matches!(call.order, Order::Stop { .. }));
    stops.map(|call| call.upstream.clone()).collect()
}

/// Two runs of one task of a job that nobody knows are found, as after a start that was carried
/// out late; then the run at `u2` ends like that.
fn one_of_two_ends(end: End) {
    let (mut play, holds) = Play::new(&["u1", "u2"]);
    play.answer(at(&holds, "u1"), running(1, 10), vec![]);
    play.answer(at(&holds, "u2"), running(2, 10), vec![]);
    let holds = play.calls();
    play.wait(50);
    play.answer(at(&holds, "u2"), vec![], ended(2, end));
    play.calls();
    play.wait(160);
    assert_eq!(stops(&play.calls()), ["u1".into()], "{end:?}: nobody wants the other one");
}

#[test]
fn other_run_stopped() {
    one_of_two_ends(End::Stopped);
}

#[test]
fn other_run_done() {
    one_of_two_ends(End::Done);
}

#[test]
fn other_run_buried() {
    // The upstream with the second run leaves for good.
    let (mut play, holds) = Play::new(&["u1", "u2"]);
    play.answer(at(&holds, "u1"), running(1, 10), vec![]);
    play.answer(at(&holds, "u2"), running(2, 10), vec![]);
    play.calls();
    play.wait(50);
    play.sched.update_upstream(&Record { phase: Phase::Gone, serial: u64::MAX, ..record("u2") });
    play.wait(160);
    assert_eq!(stops(&play.calls()), ["u1".into()]);
}

#[test]
fn two_runs_adopted() {
    // The job is handed in again while both run: one of them is enough.
    let (mut play, holds) = Play::new(&["u1", "u2"]);
    play.answer(at(&holds, "u1"), running(1, 10), vec![]);
    play.answer(at(&holds, "u2"), running(2, 10), vec![]);
    play.calls();
    play.wait(50);
    play.sched.submit(Job { entry_clock: play.now, ..job("j") }, &"entry".into(), play.now);
    assert_eq!(stops(&play.calls()).len(), 1, "one of two runs of a task is stopped");
}

#[test]
fn found_after_cancel() {
    // A start without an answer, whose job is cancelled, is carried out late.
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], vec![], vec![]);
    let fresh = Job { resumed: false, entry_clock: play.now, ..job("j") };
    play.sched.submit(fresh, &"entry".into(), play.now);
    let calls = play.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    let lost = Outcome::Lost;
    play.wait(50);
    play.sched.process_outcome(start.number, start.fence, lost, play.now);
    play.sched.cancel(&"j".into(), &"entry".into());
    let calls = play.calls();
    let hold = calls.iter().find(|call| matches!(call.order, Order::Hold { .. })).unwrap();
    play.wait(2);
    play.answer(hold, vec![], vec![]);
    let calls = play.calls();
    play.wait(2_000);
    let hold = calls.iter().find(|call| matches!(call.order, Order::Hold { .. })).unwrap();
    play.answer(hold, running(1, 0), vec![]);
    play.calls();
    play.wait(200);
    assert_eq!(stops(&play.calls()), ["u1".into()]);
}

#[test]
fn starter_removed() {
    // Whoever started it is gone, and nobody hands its job in again.
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], running(1, 10), vec![]);
    let calls = play.calls();
    assert!(stops(&calls).is_empty(), "an entry may hand it in again");
    play.wait(200);
    play.answer(&calls[0], running(1, 40), vec![]);
    let calls = play.calls();
    assert_eq!(stops(&calls), ["u1".into()]);
    // The stop has no answer, and the run goes on: it is told again.
    let stop = calls.iter().find(|call| matches!(call.order, Order::Stop { .. })).unwrap();
    play.wait(50);
    play.sched.process_outcome(stop.number, stop.fence, Outcome::Lost, play.now);
    let calls = play.calls();
    play.wait(2);
    play.answer(&calls[0], running(1, 60), vec![]);
    play.wait(150);
    assert_eq!(stops(&play.calls()), ["u1".into()]);
}
