//! The scheduler stops runs that no entry waits for, whatever caused them.

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

struct Harness {
    sched: Sched,
    now: u64,
}

/// Creates a job of one task that another scheduler may have started.
fn job(id: &str) -> Job {
    Job { resumed: true, ..sample::job(id, 1) }
}

fn task() -> Task {
    Task { job: "j".into(), step: 0, index: 0 }
}

fn running(attempt: u32, percent: u32) -> Vec<Running> {
    vec![Running { task: task(), attempt, percent, usage: None }]
}

fn ended(attempt: u32, end: End) -> Vec<Ended> {
    vec![Ended { number: 1, task: task(), attempt, end }]
}

impl Harness {
    /// Creates a scheduler that has just taken over, and returns its first hold calls.
    fn new(upstreams: &[&str]) -> (Self, Vec<Call>) {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut harness = Self { sched, now };
        let calls = harness.calls();
        (harness, calls)
    }

    fn calls(&mut self) -> Vec<Call> {
        self.sched.tick(|_| Some(self.now), self.now);
        self.sched.run(|_| Some(self.now), &Suspects::default(), self.now);
        self.sched.take_output().calls
    }

    fn answer(&mut self, call: &Call, running: Vec<Running>, ended: Vec<Ended>) {
        let outcome = Outcome::Held { started: None, clock: CLOCK + self.now / MS, running, ended };
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
    }

    fn wait(&mut self, ms: u64) {
        self.now += ms * MS;
    }
}

fn call_to<'a>(calls: &'a [Call], id: &str) -> &'a Call {
    calls.iter().find(|call| call.upstream.name.as_str() == id).unwrap()
}

fn stops(calls: &[Call]) -> Vec<Name> {
    let stops = calls.iter().filter(|call| matches!(call.order, Order::Stop { .. }));
    stops.map(|call| call.upstream.name.clone()).collect()
}

/// Lets the scheduler find two runs of one task of an unknown job, as after a start that was
/// carried out late, and then ends the run at `u2` with `end`.
fn one_of_two_ends(end: End) {
    let (mut harness, holds) = Harness::new(&["u1", "u2"]);
    harness.answer(call_to(&holds, "u1"), running(1, 10), vec![]);
    harness.answer(call_to(&holds, "u2"), running(2, 10), vec![]);
    let holds = harness.calls();
    harness.wait(50);
    harness.answer(call_to(&holds, "u2"), vec![], ended(2, end));
    harness.calls();
    harness.wait(160);
    assert_eq!(stops(&harness.calls()), ["u1".into()], "{end:?}: no entry waits for the other run");
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
    // The upstream with the second run leaves permanently.
    let (mut harness, holds) = Harness::new(&["u1", "u2"]);
    harness.answer(call_to(&holds, "u1"), running(1, 10), vec![]);
    harness.answer(call_to(&holds, "u2"), running(2, 10), vec![]);
    harness.calls();
    harness.wait(50);
    harness.sched.update_upstream(&Record { phase: Phase::Gone, serial: u64::MAX, ..record("u2") });
    harness.wait(160);
    assert_eq!(stops(&harness.calls()), ["u1".into()]);
}

#[test]
fn two_runs_adopted() {
    // The job is submitted again while both runs continue. The scheduler keeps one of them.
    let (mut harness, holds) = Harness::new(&["u1", "u2"]);
    harness.answer(call_to(&holds, "u1"), running(1, 10), vec![]);
    harness.answer(call_to(&holds, "u2"), running(2, 10), vec![]);
    harness.calls();
    harness.wait(50);
    harness.sched.submit(
        Job { entry_clock: harness.now, ..job("j") },
        &"entry".into(),
        harness.now,
    );
    assert_eq!(stops(&harness.calls()).len(), 1, "one of two runs of a task is stopped");
}

#[test]
fn found_after_cancel() {
    // A start gets no answer, its job is cancelled, and the upstream carries the start out late.
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], vec![], vec![]);
    let fresh = Job { resumed: false, entry_clock: harness.now, ..job("j") };
    harness.sched.submit(fresh, &"entry".into(), harness.now);
    let calls = harness.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    let lost = Outcome::Lost;
    harness.wait(50);
    harness.sched.process_outcome(start.number, start.fence, lost, harness.now);
    harness.sched.cancel(&"j".into(), &"entry".into());
    let calls = harness.calls();
    let hold = calls.iter().find(|call| matches!(call.order, Order::Hold { .. })).unwrap();
    harness.wait(2);
    harness.answer(hold, vec![], vec![]);
    let calls = harness.calls();
    harness.wait(2_000);
    let hold = calls.iter().find(|call| matches!(call.order, Order::Hold { .. })).unwrap();
    harness.answer(hold, running(1, 0), vec![]);
    harness.calls();
    harness.wait(200);
    assert_eq!(stops(&harness.calls()), ["u1".into()]);
}

#[test]
fn starter_removed() {
    // The scheduler that started the task is gone, and no entry submits the job again.
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], running(1, 10), vec![]);
    let calls = harness.calls();
    assert!(stops(&calls).is_empty(), "an entry may submit it again");
    harness.wait(200);
    harness.answer(&calls[0], running(1, 40), vec![]);
    let calls = harness.calls();
    assert_eq!(stops(&calls), ["u1".into()]);
    // The stop gets no answer and the run continues, so the scheduler sends the stop again.
    let stop = calls.iter().find(|call| matches!(call.order, Order::Stop { .. })).unwrap();
    harness.wait(50);
    harness.sched.process_outcome(stop.number, stop.fence, Outcome::Lost, harness.now);
    let calls = harness.calls();
    harness.wait(2);
    harness.answer(&calls[0], running(1, 60), vec![]);
    harness.wait(150);
    assert_eq!(stops(&harness.calls()), ["u1".into()]);
}
