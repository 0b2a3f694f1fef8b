//! Placement by the lasting speeds of upstreams: a task waits only for upstreams that may run it.

mod sample;

use std::collections::BTreeMap;

use dispatch::{
    incarnation::Incarnation,
    job::{Job, Step, Task},
    place::{Choice, Limit, Placement},
    session::{Run, Session, Stage},
    speed::{DeclaredBias, PeerRuns, Speed, SpeedLimit},
    suspect::Suspects,
    upstream::Record,
};

/// The time of all placements.
const NOW: u64 = 1_000_000;
/// A task may take this many times as long as declared.
const FACTOR: f64 = 1.6;

/// An upstream that is free and takes `percent` of the declared durations.
fn session(id: &str, service: &str, label: &str, percent: u64) -> Session {
    let labels = smallvec::smallvec![label.into()];
    let record = Record { service: service.into(), labels, ..sample::record(id) };
    let mut session = Session::new(record, 1);
    session.record_answer();
    session.set_clock(sample::CLOCK, NOW);
    let mut bias = DeclaredBias::default();
    for _ in 0..40 {
        let mut peers = PeerRuns::default();
        Speed::default().learn_from_peers(100_000, &mut peers);
        session.speed.learn_from_peers(percent * 1_000, &mut peers);
        session.speed.learn(percent as f64 / 100.0, &mut bias);
    }
    session
}

/// Takes all room of an upstream.
fn fill(session: &mut Session) {
    let run = Run {
        attempt: 1,
        need: session.record.room,
        stage: Stage::Running,
        listed: true,
        since: 0,
        timing: None,
        estimate: 200,
        progress: (0, 0),
        unwanted: None,
    };
    session.runs.insert(Task { job: "other".into(), step: 0, index: 0 }, run);
}

fn place(sessions: Vec<Session>, label: Option<&str>) -> Choice {
    let sessions: BTreeMap<Incarnation, Session> =
        sessions.into_iter().map(|session| (session.record.id.clone(), session)).collect();
    let job = sample::job("j", 1);
    let step = Step { label: label.map(Into::into), ..job.steps[0].clone() };
    let job = Job { steps: vec![step], ..job };
    let task = Task { job: "j".into(), step: 0, index: 0 };
    let speed = SpeedLimit::new(FACTOR, DeclaredBias::default());
    let limit = Limit { known_number: u64::MAX, time_left: 10_000, speed };
    let (suspects, policy) = (Suspects::default(), state::policy::Policy::default());
    Placement::new(&sessions, &suspects, policy, NOW).place(&job, &task, limit)
}

#[test]
fn waits_for_faster() {
    let slow = || session("slow", "board", "b", 240);
    let mut fast = session("fast", "board", "a", 100);
    fill(&mut fast);
    assert_eq!(place(vec![slow(), fast], None), Choice::Full);
    assert_eq!(place(vec![slow()], None), Choice::Placed, "late, but there is no other");
    assert_eq!(place(vec![slow(), session("fast", "board", "a", 100)], None), Choice::Placed);
}

#[test]
fn others_not_awaited() {
    let slow = || session("slow", "board", "b", 240);
    let mut labelled = session("fast", "board", "a", 100);
    fill(&mut labelled);
    assert_eq!(place(vec![slow(), labelled], Some("b")), Choice::Placed, "another label");
    let mut other = session("fast", "other", "b", 100);
    fill(&mut other);
    assert_eq!(place(vec![slow(), other], None), Choice::Placed, "another service");
}

#[test]
fn small_differences_ignored() {
    let mut fast = session("fast", "board", "a", 100);
    fill(&mut fast);
    assert_eq!(place(vec![session("slower", "board", "a", 115), fast], None), Choice::Placed);
}
