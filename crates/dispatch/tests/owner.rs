//! A scheduler and its upstreams, call by call.

mod sample;

use dispatch::{
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

struct Play {
    sched: Sched,
    now: u64,
    verdicts: Vec<(Name, Name, Decision)>,
}

fn task(job: &str, index: u32) -> Task {
    Task { job: job.into(), step: 0, index }
}

fn held(running: Vec<Running>, ended: Vec<Ended>, now: u64) -> Outcome {
    Outcome::Held { clock: CLOCK + now / MS, running, ended }
}

fn running(job: &str, index: u32) -> Running {
    Running { task: task(job, index), attempt: 1, percent: 10 }
}

fn ended(number: u64, job: &str, index: u32, end: End) -> Ended {
    Ended { number, task: task(job, index), attempt: 1, end }
}

impl Play {
    /// A scheduler that has asked its upstreams for the first time.
    fn new(upstreams: &[&str]) -> (Self, Vec<Call>) {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut play = Self { sched, now, verdicts: Vec::new() };
        let calls = play.calls();
        (play, calls)
    }

    fn calls(&mut self) -> Vec<Call> {
        let awaited = ["j", "first"].map(sample::awaited);
        self.sched.renew_awaited(&awaited, &"entry".into(), self.now, self.now);
        self.sched.tick(|_| Some(self.now), self.now);
        self.sched.run(|_| Some(self.now), &Suspects::default(), self.now);
        let out = self.sched.take();
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

fn starts(calls: &[Call]) -> Vec<(Name, Task)> {
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
    // A run of an unknown job is being stopped when an entry hands the job in again.
    let (mut play, holds) = Play::new(&["u1", "u2"]);
    play.answer(&holds[0], held(vec![running("j", 0)], vec![], play.now));
    play.answer(&holds[1], held(vec![], vec![], play.now));
    let holds = play.calls();
    assert_eq!(holds.len(), 2);
    play.wait(250);
    let calls = play.calls();
    assert_eq!(calls.iter().filter(|call| is_stop(call)).count(), 1, "nobody has asked for it");
    play.sched.submit(Job { resumed: true, ..job("j", 1) }, &"entry".into(), play.now);
    assert_eq!(starts(&play.calls()), [], "the former run may still go on");
    play.answer(&holds[0], held(vec![], vec![ended(1, "j", 0, End::Stopped)], play.now));
    assert_eq!(starts(&play.calls()).len(), 1);
}

#[test]
fn cancelled_and_back() {
    // The same id comes again while its cancelled tasks are still being stopped.
    let (mut play, holds) = Play::new(&["u1", "u2"]);
    for hold in &holds {
        play.answer(hold, held(vec![], vec![], play.now));
    }
    play.sched.submit(job("j", 1), &"entry".into(), play.now);
    let calls = play.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    play.answer(start, Outcome::Done(CLOCK + play.now / MS));
    play.sched.cancel(&"j".into(), &"entry".into());
    play.sched.submit(job("j", 1), &"entry".into(), play.now);
    assert_eq!(starts(&play.calls()), []);
}

#[test]
fn back_from_another() {
    // A job went to another scheduler and came back while this one still had it waiting: it may
    // have run there, so it is never called not run here.
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], held(vec![], vec![], play.now));
    play.sched.submit(job("first", 2), &"entry".into(), play.now);
    play.sched.submit(job("j", 2), &"entry".into(), play.now);
    play.calls();
    play.sched.submit(Job { resumed: true, ..job("j", 2) }, &"entry".into(), play.now);
    for _ in 0..80 {
        play.wait(40);
        play.calls();
        let verdicts = &play.verdicts;
        let untrue = verdicts
            .iter()
            .any(|(_, id, v)| id.as_str() == "j" && matches!(v.verdict, Verdict::NotRun(_)));
        assert!(!untrue, "{verdicts:?}");
    }
}

#[test]
fn client_left() {
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], held(vec![], vec![], play.now));
    play.sched.submit(job("j", 2), &"entry".into(), play.now);
    let calls = play.calls();
    for start in calls.iter().filter(|call| matches!(call.order, Order::Start { .. })) {
        play.answer(start, Outcome::Done(CLOCK + play.now / MS));
    }
    play.sched.cancel(&"j".into(), &"entry".into());
    let stops = play.calls().iter().filter(|call| is_stop(call)).count();
    assert_eq!(stops, 2, "what nobody waits for is stopped at once");
}

#[test]
fn former_life() {
    // A late heartbeat of a former life at the same address changes nothing for the present one.
    let (mut play, holds) = Play::new(&["new"]);
    play.answer(&holds[0], held(vec![], vec![], play.now));
    play.sched.submit(job("j", 1), &"entry".into(), play.now);
    let calls = play.calls();
    assert_eq!(starts(&calls), [("new".into(), task("j", 0))]);
    play.sched.update_upstream(&record("old"));
    let calls = play.calls();
    let hold = calls.iter().find(|call| call.upstream.as_str() == "old").unwrap();
    play.answer(hold, Outcome::Replaced);
    let gone = play.sched.take().gone;
    assert_eq!(gone, [(Name::new("old"), true)]);
    assert!(play.sched.sessions.contains_key("new") && !play.sched.sessions.contains_key("old"));
    assert_eq!(starts(&play.calls()), [], "the task runs on");
}

#[test]
fn unanswered_start() {
    // Until the upstream has answered under a higher token, the task starts nowhere else.
    let (mut play, holds) = Play::new(&["u1", "u2"]);
    for hold in &holds {
        play.answer(hold, held(vec![], vec![], play.now));
    }
    play.sched.submit(job("j", 1), &"entry".into(), play.now);
    let calls = play.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    play.answer(start, Outcome::Lost);
    let calls = play.calls();
    assert_eq!(starts(&calls), []);
    let hold = calls.iter().find(|call| call.upstream == start.upstream).unwrap();
    assert!(is_hold(hold) && hold.fence > start.fence);
    play.wait(2);
    play.answer(hold, held(vec![], vec![], play.now));
    let again = starts(&play.calls());
    assert_eq!(again.len(), 1, "it never ran, and no late order can start it now");
}

#[test]
fn silent_upstream() {
    // What ran on an upstream that does not answer is started elsewhere after its lease.
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], held(vec![], vec![], play.now));
    play.sched.submit(job("j", 1), &"entry".into(), play.now);
    let calls = play.calls();
    let start = calls.iter().find(|call| matches!(call.order, Order::Start { .. })).unwrap();
    let hold = calls.iter().find(|call| is_hold(call)).unwrap();
    play.answer(start, Outcome::Done(CLOCK + play.now / MS));
    play.sched.update_upstream(&record("u2"));
    let take = play.calls();
    play.answer(&take[0], held(vec![], vec![], play.now));
    play.wait(300);
    play.answer(hold, Outcome::Lost);
    for _ in 0..30 {
        play.wait(20);
        assert_eq!(starts(&play.calls()), [], "the lease may not be over");
    }
    play.wait(200);
    assert_eq!(starts(&play.calls()), [("u2".into(), task("j", 0))]);
}

#[test]
fn refused_too_soon() {
    // A scheduler that has just begun does not know its room yet: nothing is refused for want of
    // what the next answers will tell of.
    let (mut play, holds) = Play::new(&["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"]);
    play.answer(&holds[0], held(vec![], vec![], play.now));
    for number in 0..20 {
        play.sched.submit(job(&format!("j{number}"), 1), &"entry".into(), play.now);
    }
    let refused = play.sched.take().verdicts;
    assert_eq!(refused, []);
}

#[test]
fn failed_task() {
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], held(vec![], vec![], play.now));
    play.sched.submit(Job { attempts: 1, ..job("j", 1) }, &"entry".into(), play.now);
    let calls = play.calls();
    let hold = calls.iter().find(|call| is_hold(call)).unwrap();
    play.answer(hold, held(vec![], vec![ended(1, "j", 0, End::Failed)], play.now));
    let verdicts = play.sched.take().verdicts;
    let (number, share) = (0, Share::ALL);
    let decision = Decision { number, share, verdict: Verdict::Failed };
    assert_eq!(verdicts, [("entry".into(), "j".into(), decision)]);
}

#[test]
fn outranked() {
    let (mut play, holds) = Play::new(&["u1"]);
    play.answer(&holds[0], Outcome::Refused(Reason::Fence, Some(CLOCK)));
    assert_eq!(play.sched.take().outranked, [Name::new("u1")]);
}
