//! Upstreams that restart under their names.

mod sample;
mod world;

use std::collections::BTreeSet;

use dispatch::{
    incarnation::Incarnation,
    job::Task,
    order::{Call, End, Ended, Order, Outcome, Running},
    sched::Sched,
    suspect::Suspects,
    time::MS,
    upstream::{Phase, Record, Room, Table},
};
use sample::CLOCK;
use state::name::Name;
use world::World;

/// The start of the first incarnation in the tests, milliseconds since 1970.
const BORN: u64 = 1_800_000_000_000;

fn record(id: Incarnation) -> Record {
    Record { id, ..sample::record("u") }
}

fn incarnation(started: u64) -> Incarnation {
    Incarnation::new(&"u1".into(), started)
}

fn task(index: u32) -> Task {
    Task { job: "j".into(), step: 0, index }
}

fn running(index: u32) -> Running {
    Running { task: task(index), attempt: 1, percent: 10, usage: None }
}

fn held(started: u64, running: Vec<Running>, ended: Vec<Ended>) -> Outcome {
    Outcome::Held { started: Some(started), clock: CLOCK, running, ended }
}

/// A scheduler whose calls the test answers.
struct Harness {
    sched: Sched,
    now: u64,
    found: Vec<Record>,
    gone: Vec<(Incarnation, bool)>,
}

impl Harness {
    /// Creates a scheduler of the first incarnation of `u1`, which has answered, and returns the
    /// hold that is pending there.
    fn new() -> (Self, Call) {
        let now = 1_000 * MS;
        let sched = sample::scheduler(&[], now);
        let mut harness = Self { sched, now, found: Vec::new(), gone: Vec::new() };
        harness.sched.update_upstream(&record(incarnation(BORN)));
        let hold = harness.calls().remove(0);
        harness.answer(&hold, held(BORN, vec![], vec![]));
        let hold = harness.calls().remove(0);
        (harness, hold)
    }

    fn calls(&mut self) -> Vec<Call> {
        let awaited = [sample::awaited("j")];
        self.sched.renew_awaited(&awaited, &"entry".into(), self.now, self.now);
        self.sched.tick(|_| Some(self.now), self.now);
        self.sched.run(|_| Some(self.now), &Suspects::default(), self.now);
        let out = self.sched.take_output();
        self.found.extend(out.found);
        self.gone.extend(out.gone);
        out.calls
    }

    /// Returns the calls to one incarnation.
    fn calls_to(&mut self, id: &Incarnation) -> Vec<Call> {
        self.calls().into_iter().filter(|call| call.upstream == *id).collect()
    }

    fn answer(&mut self, call: &Call, outcome: Outcome) {
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
    }

    fn submit(&mut self, count: u32) -> Vec<Call> {
        self.sched.submit(sample::job("j", count), &"entry".into(), self.now);
        let calls = self.calls();
        calls.into_iter().filter(is_start).collect()
    }

    /// Adds another upstream that has answered.
    fn add(&mut self, id: &Incarnation) {
        self.sched.update_upstream(&record(id.clone()));
        let hold = self.calls_to(id).remove(0);
        self.answer(&hold, held(id.started, vec![], vec![]));
    }
}

fn is_start(call: &Call) -> bool {
    matches!(call.order, Order::Start { .. })
}

fn starts(calls: &[Call]) -> Vec<(Incarnation, u32)> {
    let start = |call: &Call| match &call.order {
        Order::Start { task, .. } => Some((call.upstream.clone(), task.index)),
        _ => None,
    };
    calls.iter().filter_map(start).collect()
}

/// The tasks that a list of the former incarnation has shown are lost with it, and start elsewhere
/// at once. The next one gets no task before it has announced itself.
#[test]
fn listed_runs_lost() {
    let (mut harness, hold) = Harness::new();
    let start = harness.submit(1).remove(0);
    harness.answer(&start, Outcome::Done(CLOCK));
    harness.answer(&hold, held(BORN, vec![running(0)], vec![]));
    let hold = harness.calls_to(&incarnation(BORN)).remove(0);
    let other = Incarnation::new(&"u2".into(), BORN);
    harness.add(&other);
    harness.answer(&hold, held(BORN + 500, vec![], vec![]));
    assert_eq!(starts(&harness.calls()), [(other, 0)]);
    assert_eq!(harness.gone, [(incarnation(BORN), true)]);
    let found = harness.found.remove(0);
    assert_eq!((&found.id, found.phase), (&incarnation(BORN + 500), Phase::Leaving));
}

/// An order to start a task may have reached the next incarnation, which has seen no fencing token.
/// The task starts nowhere else until that incarnation has answered under a higher token.
#[test]
fn unlisted_run_kept() {
    let (mut harness, hold) = Harness::new();
    let start = harness.submit(1).remove(0);
    harness.answer(&start, Outcome::Lost);
    harness.answer(&hold, Outcome::Lost);
    let hold = harness.calls_to(&incarnation(BORN)).remove(0);
    harness.add(&Incarnation::new(&"u2".into(), BORN));
    let next = incarnation(BORN + 500);
    harness.answer(&hold, held(next.started, vec![], vec![]));
    let calls = harness.calls();
    assert_eq!(starts(&calls), [], "the order may still take effect");
    let hold = calls.into_iter().find(|call| call.upstream == next).unwrap();
    assert!(hold.fence > start.fence, "an order with the former token must not take effect");
    harness.answer(&hold, held(next.started, vec![running(0)], vec![]));
    let hold = harness.calls_to(&next).remove(0);
    let end = Ended { number: 1, task: task(0), attempt: 1, end: End::Done };
    harness.answer(&hold, held(next.started, vec![], vec![end]));
    assert_eq!(starts(&harness.calls()), [], "the task is done");
    assert_eq!(harness.sched.jobs(), 0);
}

/// As [`unlisted_run_kept`], where the order had no effect: the task starts elsewhere.
#[test]
fn unlisted_run_missing() {
    let (mut harness, hold) = Harness::new();
    let start = harness.submit(1).remove(0);
    harness.answer(&start, Outcome::Done(CLOCK));
    let other = Incarnation::new(&"u2".into(), BORN);
    harness.add(&other);
    let next = incarnation(BORN + 500);
    harness.answer(&hold, held(next.started, vec![], vec![]));
    let hold = harness.calls_to(&next).remove(0);
    harness.answer(&hold, held(next.started, vec![], vec![]));
    assert_eq!(starts(&harness.calls()), [(other, 0)]);
}

/// The numbers of ends begin anew: the next incarnation must not forget ends that nobody has read,
/// and its first ones count although their numbers are lower than those of the former one.
#[test]
fn ends_begin_anew() {
    let (mut harness, hold) = Harness::new();
    let end = Ended { number: 57, task: task(9), attempt: 1, end: End::Done };
    harness.answer(&hold, held(BORN, vec![], vec![end]));
    let hold = harness.calls_to(&incarnation(BORN)).remove(0);
    assert!(matches!(hold.order, Order::Hold { seen: 57, .. }), "{hold:?}");
    harness.answer(&hold, Outcome::Lost);
    let retry = harness.calls_to(&incarnation(BORN)).remove(0);
    assert!(matches!(retry.order, Order::Hold { seen: 0, .. }), "{retry:?}");
    let next = incarnation(BORN + 500);
    harness.answer(&retry, held(next.started, vec![], vec![]));
    harness.sched.update_upstream(&record(next.clone()));
    let hold = harness.calls_to(&next).remove(0);
    assert!(matches!(hold.order, Order::Hold { seen: 0, .. }), "{hold:?}");
    harness.answer(&hold, held(next.started, vec![], vec![]));
    let hold = harness.calls_to(&next).remove(0);
    let start = harness.submit(1).remove(0);
    harness.answer(&start, Outcome::Done(CLOCK));
    let end = Ended { number: 1, task: task(0), attempt: 1, end: End::Done };
    harness.answer(&hold, held(next.started, vec![], vec![end]));
    assert_eq!(harness.sched.jobs(), 0, "the first end of the new incarnation counts");
}

/// Answers, ends and refusals of the former incarnation that arrive after it was replaced change
/// nothing.
#[test]
fn former_answers_ignored() {
    let (mut harness, hold) = Harness::new();
    let start = harness.submit(2);
    harness.answer(&start[0], Outcome::Done(CLOCK));
    let next = incarnation(BORN + 500);
    harness.sched.update_upstream(&record(next.clone()));
    let probe = harness.calls_to(&next).remove(0);
    harness.answer(&probe, held(next.started, vec![], vec![]));
    let end = Ended { number: 1, task: task(0), attempt: 1, end: End::Done };
    harness.answer(&hold, held(BORN, vec![], vec![end]));
    harness.answer(&start[1], Outcome::Done(CLOCK));
    assert_eq!(harness.sched.jobs(), 1, "an end of the former incarnation is no end");
    let hold = harness.calls_to(&next).remove(0);
    harness.answer(&hold, held(next.started, vec![], vec![]));
    let tasks: BTreeSet<_> = starts(&harness.calls()).into_iter().collect();
    assert_eq!(tasks, BTreeSet::from([(next.clone(), 0), (next, 1)]));
}

/// The wall clock of an upstream is set back between two incarnations, or the announcement of the
/// former one arrives last: what answers decides, not the order of start times.
#[test]
fn clock_set_back() {
    let (mut harness, hold) = Harness::new();
    let next = incarnation(BORN - 60_000);
    harness.sched.update_upstream(&record(next.clone()));
    let probe = harness.calls_to(&next).remove(0);
    harness.answer(&probe, held(next.started, vec![], vec![]));
    assert_eq!(harness.calls_to(&next).len(), 1, "under a higher token");
    assert_eq!(harness.gone, [(incarnation(BORN), true)]);
    harness.answer(&hold, Outcome::Lost);
    assert_eq!(harness.gone.len(), 1);
}

/// A late announcement of the former incarnation names an upstream that never answers as such.
#[test]
fn late_announcement() {
    let (mut harness, _) = Harness::new();
    let former = incarnation(BORN - 60_000);
    harness.sched.update_upstream(&record(former.clone()));
    let probe = harness.calls_to(&former).remove(0);
    harness.answer(&probe, held(BORN, vec![], vec![]));
    harness.calls();
    assert_eq!(harness.gone, [(former, true)]);
    assert_eq!(harness.found, [], "the one that answers is known");
}

/// An upstream restarts twice behind a cut, and the announcement of the incarnation between arrives
/// last.
#[test]
fn twice_behind_cut() {
    let (mut harness, hold) = Harness::new();
    let (between, last) = (incarnation(BORN + 500), incarnation(BORN + 900));
    harness.answer(&hold, Outcome::Lost);
    let hold = harness.calls_to(&incarnation(BORN)).remove(0);
    harness.answer(&hold, held(last.started, vec![], vec![]));
    let probe = harness.calls_to(&last).remove(0);
    harness.answer(&probe, held(last.started, vec![], vec![]));
    harness.sched.update_upstream(&record(between.clone()));
    let probe = harness.calls_to(&between).remove(0);
    harness.answer(&probe, held(last.started, vec![], vec![]));
    harness.calls();
    assert_eq!(harness.gone, [(incarnation(BORN), true), (between, true)]);
    assert_eq!(harness.sched.sessions.keys().collect::<Vec<_>>(), [&last]);
}

/// The next incarnation is at another address, with other room and another label, while the former
/// one drained: it is used as it announces itself, and what ran before is lost at once.
#[test]
fn other_address_and_room() {
    let (mut harness, hold) = Harness::new();
    let start = harness.submit(1).remove(0);
    harness.answer(&start, Outcome::Done(CLOCK));
    harness.answer(&hold, held(BORN, vec![running(0)], vec![]));
    let leaving = Record { phase: Phase::Leaving, serial: 2, ..record(incarnation(BORN)) };
    harness.sched.update_upstream(&leaving);
    let next = incarnation(BORN + 500);
    let room = Room { cpu: 16_000, ..record(next.clone()).room };
    let announced = Record { address: "10.0.0.8:80".into(), room, ..record(next.clone()) };
    harness.sched.update_upstream(&announced);
    let probe = harness.calls_to(&next).remove(0);
    assert_eq!(probe.address.as_str(), "10.0.0.8:80");
    harness.answer(&probe, held(next.started, vec![], vec![]));
    let hold = harness.calls_to(&next).remove(0);
    harness.answer(&hold, held(next.started, vec![], vec![]));
    assert_eq!(starts(&harness.calls()), [(next.clone(), 0)]);
    assert_eq!(harness.gone, [(incarnation(BORN), true)]);
    assert_eq!(harness.sched.sessions[&next].record.room, room);
}

/// An answer proves nothing about an incarnation that announced itself after the call was sent.
#[test]
fn answer_before_announcement() {
    let (mut harness, hold) = Harness::new();
    let next = incarnation(BORN + 500);
    harness.sched.update_upstream(&record(next.clone()));
    harness.answer(&hold, held(BORN, vec![], vec![]));
    harness.calls();
    assert_eq!(harness.gone, [], "the hold was sent before the announcement");
}

/// An answer without a start time does not tell which incarnation it is from.
#[test]
fn answer_undated() {
    let (mut harness, hold) = Harness::new();
    let start = harness.submit(1).remove(0);
    harness.answer(&start, Outcome::Done(CLOCK));
    let end = Ended { number: 1, task: task(0), attempt: 1, end: End::Done };
    let lists = Outcome::Held { started: None, clock: CLOCK, running: vec![], ended: vec![end] };
    harness.answer(&hold, lists);
    assert_eq!(harness.sched.jobs(), 1);
}

#[test]
fn text_form() {
    for id in [incarnation(BORN), incarnation(0), Incarnation::new(&"a.b".into(), 1)] {
        let bytes = postcard::to_stdvec(&id).unwrap();
        assert_eq!(postcard::from_bytes::<Incarnation>(&bytes).unwrap(), id);
        assert_eq!(Incarnation::from(id.to_string().as_str()), id);
    }
    let plain = postcard::to_stdvec(&incarnation(0)).unwrap();
    assert_eq!(plain, postcard::to_stdvec(&Name::new("u1")).unwrap(), "as earlier versions wrote");
}

#[test]
fn table() {
    let mut table = Table::default();
    table.merge(record(incarnation(BORN)));
    assert!(table.merge(Record { serial: 1, ..record(incarnation(BORN + 500)) }).is_some());
    assert_eq!(table.present(&"west".into()).count(), 2, "until one of them is known to be over");
    table.mark_gone(&incarnation(BORN), true);
    assert_eq!(table.merge(Record { serial: 99, ..record(incarnation(BORN)) }), None);
    assert_eq!(table.present(&"west".into()).count(), 1);
    // Only an announcement that states its start time names an upstream of this service.
    assert!(table.is_undated(&record(incarnation(0))));
    let other = Record { service: "other".into(), ..record(incarnation(0)) };
    assert!(!table.is_undated(&other));
    // A withdrawal without a start time may be that of the former incarnation.
    assert_eq!(table.withdrawn(&incarnation(0)), None);
    table.merge(Record { phase: Phase::Leaving, serial: 2, ..record(incarnation(BORN + 500)) });
    assert_eq!(table.withdrawn(&incarnation(0)), Some(incarnation(BORN + 500)));
}

/// Submits jobs for `ms` milliseconds and restarts an upstream under its id every 150 ms.
fn run_restarts(world: &mut World, ms: u64, mut started: impl FnMut(u64) -> u64) {
    for step in 0..ms / 50 {
        world.submit(0, 2, 14_000, 200);
        world.run(50);
        if step % 3 == 0 {
            let at = (step / 3) as usize % world.upstreams.len();
            world.restart_upstream(at, started(step));
        }
    }
}

/// Upstreams restart within the interval of their announcements, with start times that rise or
/// fall. The jobs complete, no task runs twice at a time, and no upstream stays unused.
#[test]
fn restarts_under_load() {
    let rising = |step: u64| BORN + step * 50;
    let falling = |step: u64| BORN - step * 50;
    for started in [rising as fn(u64) -> u64, falling] {
        for seed in 0..4 {
            let mut world = World::new(seed, 1, 2, 8);
            for at in 0..world.upstreams.len() {
                world.upstreams[at].started = BORN - 1_000_000 + at as u64;
            }
            world.run(3_000);
            run_restarts(&mut world, 6_000, started);
            world.run(5_000);
            assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
            let (complete, all) = (world.count_complete(), world.requests.len());
            assert!(complete * 100 >= all * 95, "seed {seed}: {complete} of {all}");
            let before = world.count_complete();
            for _ in 0..8 {
                world.submit(0, 2, 14_000, 200);
            }
            world.run(260);
            let more = world.count_complete() - before;
            assert!(more >= 8, "seed {seed}: {more} of 8 jobs, for which all upstreams have room");
        }
    }
}

/// The scheduler is lost between two incarnations of upstreams; its successor has only what other
/// instances know of them.
#[test]
fn scheduler_lost_between() {
    for seed in 0..20 {
        let mut world = World::new(seed, 1, 3, 8);
        for upstream in &mut world.upstreams {
            upstream.started = BORN;
        }
        world.run(3_000);
        for _ in 0..8 {
            world.submit(0, 2, 14_000, 400);
        }
        world.run(10 + seed * 10);
        for at in 0..4 {
            world.restart_upstream(at, BORN + 10_000);
        }
        world.run(seed * 7 % 60);
        world.kill(0);
        world.run(8_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}
