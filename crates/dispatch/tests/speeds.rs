//! Lasting speeds of upstreams: what is learned of them, and which tasks wait for faster ones.

mod sample;

use std::collections::BTreeMap;

use dispatch::{
    forecast::Paces,
    incarnation::Incarnation,
    job::{Job, Step, Task},
    lasting::{Lasting, Sample, Scatter},
    place::{Choice, Limit, Placement},
    session::{Run, Session, Stage},
    suspect::Suspects,
    upstream::{Record, Room},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// The time of all placements.
const NOW: u64 = 1_000_000;

/// The upstreams of a zone: some that are busy, with a label and of a size, each with the
/// percentage of the declared durations that its tasks take.
fn zone(kinds: &[(u64, &str, u64)]) -> BTreeMap<Incarnation, Session> {
    let mut sessions = BTreeMap::new();
    for (at, (percent, label, cpu)) in kinds.iter().enumerate() {
        let labels = smallvec::smallvec![(*label).into()];
        let room = Room { cpu: *cpu, memory: 64_000, accelerators: 0 };
        let record = Record { labels, room, most: room, ..sample::record(&format!("up-{at}")) };
        let mut session = Session::new(record, 1);
        session.record_answer();
        session.set_clock(sample::CLOCK, NOW);
        if *percent < 100 {
            fill(&mut session);
        }
        sessions.insert(session.record.id.clone(), session);
    }
    let mut scatter = Scatter::default();
    for _ in 0..20 {
        let runs: Vec<_> = sessions.keys().cloned().zip(kinds).collect();
        let run =
            |(id, kind): (Incarnation, &(u64, &str, u64))| Sample::new(0, id, kind.0 * 9_000, 900);
        let samples: Vec<_> = runs.into_iter().map(run).collect();
        let speeds: Vec<_> = sessions.values().map(|session| session.lasting).collect();
        let learned = scatter.learn(&samples, &speeds, NOW);
        for (session, lasting) in sessions.values_mut().zip(learned) {
            session.lasting = lasting;
        }
    }
    sessions
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
        orphan: false,
    };
    session.runs.insert(Task { job: "other".into(), step: 0, index: 0 }, run);
}

/// Places a task of 900 ms that has `left` milliseconds.
fn place(mut sessions: BTreeMap<Incarnation, Session>, label: Option<&str>, left: u64) -> Choice {
    let mut paces = Paces::default();
    paces.compare(&mut sessions, NOW);
    let job = sample::job("j", 1);
    let step = Step { label: label.map(Into::into), estimate: 900, ..job.steps[0].clone() };
    let job = Job { steps: vec![step], ..job };
    let task = Task { job: "j".into(), step: 0, index: 0 };
    let limit = Limit { known_number: u64::MAX, time_left: 10_000, left: Some(left) };
    let (suspects, policy) = (Suspects::default(), state::policy::Policy::default());
    let placement = Placement::new(&sessions, &suspects, policy, NOW);
    placement.with_paces(&paces).place(&job, &task, limit)
}

const FAST: (u64, &str, u64) = (70, "a", 16_000);
const SLOW: (u64, &str, u64) = (170, "b", 16_000);

#[test]
fn waits_for_faster() {
    let kinds = [FAST, FAST, SLOW];
    assert_eq!(place(zone(&kinds), None, 1_500), Choice::Full);
    assert_eq!(place(zone(&kinds), None, 1_700), Choice::Placed, "in time there as well");
    assert_eq!(place(zone(&kinds), None, 500), Choice::Placed, "late everywhere");
}

#[test]
fn others_not_awaited() {
    let kinds = [FAST, FAST, SLOW];
    assert_eq!(place(zone(&kinds), Some("b"), 1_500), Choice::Placed, "another label");
    let small = (70, "a", 8_000);
    assert_eq!(place(zone(&[small, small, SLOW]), None, 1_500), Choice::Placed, "too small");
}

#[test]
fn small_differences_ignored() {
    let kinds = [(90, "a", 16_000), (90, "a", 16_000), (120, "b", 16_000)];
    assert_eq!(place(zone(&kinds), None, 1_000), Choice::Placed);
}

/// Over thousands of jobs with uneven tasks, none of which run long, equal upstreams stay equal.
#[test]
fn equals_stay_equal() {
    let mut rng = SmallRng::seed_from_u64(7);
    let names: Vec<Incarnation> =
        (0..30).map(|at| sample::record(&format!("up-{at}")).id).collect();
    let mut speeds = vec![Lasting::default(); names.len()];
    let mut scatter = Scatter::default();
    for job in 0..10_000_u64 {
        let wrong = (rng.random::<f64>() - 0.5) * 1.4;
        let first = rng.random_range(0..names.len());
        let at: Vec<_> = (0..=job % 8).map(|i| (first + i as usize * 7) % names.len()).collect();
        let work =
            |rng: &mut SmallRng| 60_000.0 * (wrong + (rng.random::<f64>() - 0.5) * 0.6).exp();
        let samples: Vec<_> = at
            .iter()
            .map(|at| Sample::new(0, names[*at].clone(), work(&mut rng) as u64, 60))
            .collect();
        let before: Vec<_> = at.iter().map(|at| speeds[*at]).collect();
        for (at, learned) in at.iter().zip(scatter.learn(&samples, &before, NOW)) {
            speeds[*at] = learned;
        }
        if job > 500 {
            let mut known: Vec<_> = speeds.iter().filter_map(|speed| speed.known(NOW)).collect();
            known.sort_by(f32::total_cmp);
            let middle = known[known.len() / 2];
            assert!(speeds.iter_mut().all(|speed| !speed.compare(Some(middle), NOW)), "job {job}");
            assert!(known.iter().all(|log| log.abs() < 0.35), "job {job}: {known:.2?}");
        }
    }
}
