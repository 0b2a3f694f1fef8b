//! Tests of one scheduler that answer each of its calls to upstreams.

mod sample;

use dispatch::{
    incarnation::Incarnation,
    job::{Job, Task, Verdict},
    message::Decision,
    order::{Call, End, Ended, Order, Outcome, Reason, Running},
    sched::Sched,
    share::Share,
    suspect::Suspects,
    time::MS,
};
use sample::{CLOCK, job, record};
use state::name::Name;

struct Harness {
    sched: Sched,
    now: u64,
    verdicts: Vec<(Name, Name, Decision)>,
}

fn task(job: &str, index: u32) -> Task {
    Task { job: job.into(), step: 0, index }
}

fn held(running: Vec<Running>, ended: Vec<Ended>, now: u64) -> Outcome {
    Outcome::Held { started: None, clock: CLOCK + now / MS, running, ended }
}

fn running(job: &str, index: u32) -> Running {
    Running { task: task(job, index), attempt: 1, percent: 10, usage: None }
}

fn ended(number: u64, job: &str, index: u32, end: End) -> Ended {
    Ended { number, task: task(job, index), attempt: 1, end }
}

impl Harness {
    /// Creates a scheduler and returns its first hold calls.
    fn new(upstreams: &[&str]) -> (Self, Vec<Call>) {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut harness = Self { sched, now, verdicts: Vec::new() };
        let calls = harness.calls();
        (harness, calls)
    }

    fn calls(&mut self) -> Vec<Call> {
        let awaited = ["j", "first"].map(sample::awaited);
        self.sched.renew_awaited(&awaited, &"entry".into(), self.now, self.now);
        self.sched.tick(|_| Some(self.now), self.now);
        self.sched.run(|_| Some(self.now), &Suspects::default(), self.now);
        let out = self.sched.take_output();
        self.verdicts.extend(out.verdicts);
        out.calls
    }

    fn answer(&mut self, call: &Call, outcome: Outcome) {
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
    }

    fn wait(&mut self, ms: u64) {
        self.now += ms * MS;
    }
}

fn starts(calls: &[Call]) -> Vec<(Incarnation, Task)> {
    let start = |call: &Call| match &call.order {
        Order::Start { task, .. } => Some((call.upstream.clone(), task.clone())),
        _ => None,
    };
    calls.iter().filter_map(start).collect()
}

fn is_stop(call: &Call) -> bool {
    matches!(call.order, Order::Stop { .. })
}

fn is_hold(call: &Call) -> bool {
    matches!(call.order, Order::Hold { .. })
}

#[test]
fn stopping_run() {
    // An entry submits a job again while the scheduler stops a run of this job, unknown until then.
    let (mut harness, holds) = Harness::new(&["u1", "u2"]);
    harness.answer(&holds[0], held(vec![running("j", 0)], vec![], harness.now));
    harness.answer(&holds[1], held(vec![], vec![], harness.now));
    let holds = harness.calls();
    assert_eq!(holds.len(), 2);
    harness.wait(250);
    let calls = harness.calls();
    assert_eq!(
        calls.iter().filter(|call| is_stop(call)).count(),
        1,
        "no entry has submitted the job"
    );
    harness.sched.submit(Job { resumed: true, ..job("j", 1) }, &"entry".into(), harness.now);
    assert_eq!(starts(&harness.calls()), [], "the former run may still continue");
    harness.answer(&holds[0], held(vec![], vec![ended(1, "j", 0, End::Stopped)], harness.now));
    assert_eq!(starts(&harness.calls()).len(), 1);
}

#[test]
fn cancelled_and_back() {
    // A job with the same id is submitted while the cancelled tasks are still being stopped.
    let (mut harness, holds) = Harness::new(&["u1", "u2"]);
    for hold in &holds {
        harness.answer(hold, held(vec![], vec![], harness.now));
    }
    harness.sched.submit(job("j", 1), &"entry".into(), harness.now);
    let calls = harness.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    harness.answer(start, Outcome::Done(CLOCK + harness.now / MS));
    harness.sched.cancel(&"j".into(), &"entry".into());
    harness.sched.submit(job("j", 1), &"entry".into(), harness.now);
    assert_eq!(starts(&harness.calls()), []);
}

#[test]
fn back_from_another() {
    // A job went to another scheduler and came back while it was still waiting at this one. It may
    // have run there, so this scheduler never reports it as not run.
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    harness.sched.submit(job("first", 2), &"entry".into(), harness.now);
    harness.sched.submit(job("j", 2), &"entry".into(), harness.now);
    harness.calls();
    harness.sched.submit(Job { resumed: true, ..job("j", 2) }, &"entry".into(), harness.now);
    for _ in 0..80 {
        harness.wait(40);
        harness.calls();
        let verdicts = &harness.verdicts;
        let misreported = verdicts
            .iter()
            .any(|(_, id, v)| id.as_str() == "j" && matches!(v.verdict, Verdict::NotRun(_)));
        assert!(!misreported, "{verdicts:?}");
    }
}

#[test]
fn client_left() {
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    harness.sched.submit(job("j", 2), &"entry".into(), harness.now);
    let calls = harness.calls();
    for start in calls.iter().filter(|call| matches!(call.order, Order::Start { .. })) {
        harness.answer(start, Outcome::Done(CLOCK + harness.now / MS));
    }
    harness.sched.cancel(&"j".into(), &"entry".into());
    let stops = harness.calls().iter().filter(|call| is_stop(call)).count();
    assert_eq!(stops, 2, "tasks of a cancelled job are stopped immediately");
}

#[test]
fn former_life() {
    // A late heartbeat of a former incarnation at the same address does not affect the current
    // incarnation.
    let (mut harness, holds) = Harness::new(&["new"]);
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    harness.sched.submit(job("j", 1), &"entry".into(), harness.now);
    let calls = harness.calls();
    assert_eq!(starts(&calls), [("new".into(), task("j", 0))]);
    harness.sched.update_upstream(&record("old"));
    let calls = harness.calls();
    let hold = calls.iter().find(|call| call.upstream.name.as_str() == "old").unwrap();
    harness.answer(hold, Outcome::Replaced);
    let gone = harness.sched.take_output().gone;
    assert_eq!(gone, [(Incarnation::from("old"), true)]);
    assert!(
        harness.sched.sessions.contains_key(&"new".into())
            && !harness.sched.sessions.contains_key(&"old".into())
    );
    assert_eq!(starts(&harness.calls()), [], "the task keeps running");
}

#[test]
fn unanswered_start() {
    // The task does not start on another upstream until this upstream has answered a call with a
    // higher fencing token.
    let (mut harness, holds) = Harness::new(&["u1", "u2"]);
    for hold in &holds {
        harness.answer(hold, held(vec![], vec![], harness.now));
    }
    harness.sched.submit(job("j", 1), &"entry".into(), harness.now);
    let calls = harness.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    harness.answer(start, Outcome::Lost);
    let calls = harness.calls();
    assert_eq!(starts(&calls), []);
    let hold = calls.iter().find(|call| call.upstream == start.upstream).unwrap();
    assert!(is_hold(hold) && hold.fence > start.fence);
    harness.wait(2);
    harness.answer(hold, held(vec![], vec![], harness.now));
    let again = starts(&harness.calls());
    assert_eq!(again.len(), 1, "the task never ran, and no late order can start it any more");
}

#[test]
fn silent_upstream() {
    // A task on an upstream that does not answer starts elsewhere after the upstream's lease ends.
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    harness.sched.submit(job("j", 1), &"entry".into(), harness.now);
    let calls = harness.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    let hold = calls.iter().find(|call| is_hold(call)).unwrap();
    harness.answer(start, Outcome::Done(CLOCK + harness.now / MS));
    harness.sched.update_upstream(&record("u2"));
    let holds = harness.calls();
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    harness.wait(300);
    harness.answer(hold, Outcome::Lost);
    for _ in 0..30 {
        harness.wait(20);
        assert_eq!(starts(&harness.calls()), [], "the lease may still be valid");
    }
    harness.wait(200);
    assert_eq!(starts(&harness.calls()), [("u2".into(), task("j", 0))]);
}

#[test]
fn refused_too_soon() {
    // A scheduler that has just started does not know its capacity yet. It does not refuse jobs for
    // lack of capacity that the next answers will report.
    let (mut harness, holds) = Harness::new(&["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"]);
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    for number in 0..20 {
        harness.sched.submit(job(&format!("j{number}"), 1), &"entry".into(), harness.now);
    }
    let refused = harness.sched.take_output().verdicts;
    assert_eq!(refused, []);
}

/// Guards against a job that becomes late while the upstreams of a new scheduler announce themselves
/// and answer, and is refused for want of room.
#[test]
fn late_while_surveying() {
    let (mut harness, _) = Harness::new(&[]);
    harness.sched.submit(Job { objective: 280, ..job("j", 1) }, &"entry".into(), harness.now);
    harness.now += 150 * MS;
    assert_eq!(harness.calls().len(), 0);
    harness.sched.update_upstream(&record("u1"));
    let holds = harness.calls();
    assert_eq!(harness.verdicts, [], "before the upstream has answered");
    harness.now += 20 * MS;
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    let starts = harness.calls();
    assert!(starts.iter().any(|call| matches!(call.order, Order::Start { .. })), "{starts:?}");
    assert_eq!(harness.verdicts, []);
}

#[test]
fn failed_task() {
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], held(vec![], vec![], harness.now));
    harness.sched.submit(Job { attempts: 1, ..job("j", 1) }, &"entry".into(), harness.now);
    let calls = harness.calls();
    let hold = calls.iter().find(|call| is_hold(call)).unwrap();
    harness.answer(hold, held(vec![], vec![ended(1, "j", 0, End::Failed)], harness.now));
    let verdicts = harness.sched.take_output().verdicts;
    let (number, share) = (0, Share::ALL);
    let decision = Decision { number, share, verdict: Verdict::Failed };
    assert_eq!(verdicts, [("entry".into(), "j".into(), decision)]);
}

#[test]
fn outranked() {
    let (mut harness, holds) = Harness::new(&["u1"]);
    harness.answer(&holds[0], Outcome::Refused(Reason::Fence, Some(CLOCK)));
    assert_eq!(harness.sched.take_output().outranked, [Incarnation::from("u1")]);
}
