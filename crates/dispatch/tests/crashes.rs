//! Tasks that crash each upstream that starts them.

mod sample;
mod world;

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{
    incarnation::Incarnation,
    job::{Job, Task, Verdict},
    order::{Call, Order, Outcome, Running},
    sched::Sched,
    suspect::{Loss, Suspects},
    time::MS,
};
use sample::CLOCK;
use state::name::Name;
use world::World;

/// Submits a job whose tasks crash their upstreams, for a client that waits for 60 s.
fn submit_crashing(world: &mut World, zone: usize, count: u32) -> Name {
    let id = world.submit(zone, count, 14_000, 400);
    world.requests.get_mut(&id).unwrap().job.patience = 60_000;
    world.crashing.insert(id.clone());
    id
}

/// Returns the highest number of starts of any task of a job.
fn max_starts(world: &World, id: &Name) -> u32 {
    let of_job = world.start_counts.iter().filter(|(task, _)| task.job == *id);
    of_job.map(|(_, count)| *count).max().unwrap_or(0)
}

fn verdict(world: &World, id: &Name) -> Option<Verdict> {
    world.requests[id].verdict.as_ref().map(|(verdict, _)| verdict.clone())
}

/// The scheduler gives a task up after it has crashed at most three upstreams, and the client gets
/// the verdict. The runs of such a task neither failed nor ended, so no count of attempts included
/// them: a task was restarted each second until its client gave up, 61 times in 60 s, and each time
/// the other tasks at its upstream were lost too.
#[test]
fn given_up() {
    for seed in 0..5 {
        let mut world = World::new(seed, 1, 2, 12);
        world.run(3_000);
        let id = submit_crashing(&mut world, 0, 1);
        world.run(20_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "seed {seed}");
        assert!(max_starts(&world, &id) <= 3, "seed {seed}: {} starts", max_starts(&world, &id));
    }
}

/// A new scheduler knows the crashes that its predecessor has seen.
#[test]
fn scheduler_lost() {
    for seed in 0..5 {
        let mut world = World::new(seed, 1, 3, 12);
        world.run(3_000);
        let id = submit_crashing(&mut world, 0, 1);
        world.run(2_500);
        world.kill(0);
        world.run(20_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "seed {seed}");
        assert!(max_starts(&world, &id) <= 4, "seed {seed}: {} starts", max_starts(&world, &id));
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// A task that was given up is not started again when the client loses its entry and submits the
/// job once more, in the same or in another zone.
#[test]
fn sent_again() {
    for zone in [0, 1] {
        let mut world = World::new(zone as u64, 2, 2, 8);
        world.run(3_000);
        let id = submit_crashing(&mut world, 0, 1);
        world.run(12_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "zone {zone}");
        let before = max_starts(&world, &id);
        world.resubmit(&id, zone);
        world.run(10_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "zone {zone}");
        assert_eq!(max_starts(&world, &id), before, "zone {zone}: started again");
    }
}

/// Two crashing jobs per second do no more harm than the loss of the upstreams that they crash: no
/// other job fails.
#[test]
fn others_served() {
    for seed in 0..3 {
        let mut world = World::new(seed, 2, 2, 24);
        world.run(3_000);
        for at in 0..200 {
            if at % 25 == 0 {
                submit_crashing(&mut world, at % 2, 1);
            }
            world.submit(at % 2, 2, 14_000, 200);
            world.run(20);
        }
        world.run(12_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let innocent = |id: &&Name| !world.crashing.contains(*id);
        let failed = world.requests.keys().filter(innocent);
        let failed = failed.filter(|id| verdict(&world, id) != Some(Verdict::Complete)).count();
        assert_eq!(failed, 0, "seed {seed}");
        let most = world.crashing.iter().map(|id| max_starts(&world, id)).max();
        assert!(most <= Some(3), "seed {seed}: {most:?} starts");
    }
}

fn task(job: &str) -> Task {
    Task { job: job.into(), step: 0, index: 0 }
}

fn loss(upstream: &str, proved: bool, jobs: &[&str]) -> Loss {
    let tasks = jobs.iter().map(|job| task(job)).collect();
    Loss { upstream: upstream.into(), proved, tasks }
}

#[test]
fn weights() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.add(&loss("u1", true, &["a", "b"]), 0), []);
    assert_eq!(suspects.add(&loss("u1", true, &["a", "b"]), 0), [], "each loss counts once");
    assert_eq!(suspects.add(&loss("u2", false, &["a"]), 0), [], "the upstream may only be cut off");
    assert_eq!(suspects.add(&loss("u2", true, &["a"]), 0), [task("a")], "the crash is now proved");
    assert!(suspects.is_given_up(&"a".into()));
    assert!(!suspects.is_given_up(&"b".into()));

    let mut suspects = Suspects::default();
    suspects.add(&loss("u1", true, &["a", "b"]), 0);
    assert_eq!(suspects.add(&loss("u2", true, &["a", "b"]), 0), [], "either task may be at fault");
    assert_eq!(suspects.add(&loss("u3", true, &["b"]), 0), [task("b")]);
    suspects.remove_task(&task("a"));
    assert!(!suspects.has(&task("a")));

    let mut suspects = Suspects::default();
    for upstream in ["u1", "u2", "u3"] {
        suspects.add(&loss(upstream, false, &["a"]), 0);
        suspects.clear_upstream(&upstream.into());
    }
    assert!(!suspects.has(&task("a")), "the upstreams were only silent");
}

/// A scheduler, with upstreams that the test itself answers for.
struct Harness {
    sched: Sched,
    suspects: Suspects,
    now: u64,
    /// The last hold call to each upstream.
    holds: BTreeMap<Incarnation, Call>,
}

impl Harness {
    /// Creates a scheduler whose upstreams have all answered.
    fn new(upstreams: &[&str]) -> Self {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut harness =
            Self { sched, suspects: Suspects::default(), now, holds: BTreeMap::new() };
        for call in harness.calls() {
            harness.answer(&call, vec![]);
        }
        harness
    }

    /// Runs the scheduler and returns the calls that it makes.
    fn calls(&mut self) -> Vec<Call> {
        let findings = self.sched.take_findings();
        self.suspects.apply_findings(&findings);
        for loss in &findings.losses {
            let given_up = self.suspects.add(loss, self.now);
            self.sched.give_up(&given_up, self.now);
        }
        self.sched.run(|_| Some(self.now), &self.suspects, self.now);
        let calls = self.sched.take_output().calls;
        let holds = calls.iter().filter(|call| matches!(call.order, Order::Hold { .. }));
        self.holds.extend(holds.map(|call| (call.upstream.clone(), call.clone())));
        calls
    }

    /// Answers a call with success.
    fn answer(&mut self, call: &Call, running: Vec<Running>) {
        let clock = CLOCK + self.now / MS;
        let outcome = match call.order {
            Order::Hold { .. } => Outcome::Held { started: None, clock, running, ended: vec![] },
            _ => Outcome::Done(clock),
        };
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
    }

    /// Submits a job of one task and returns the call that starts it.
    fn submit(&mut self, id: &str) -> Call {
        let job = Job { entry_clock: self.now, ..sample::job(id, 1) };
        self.sched.submit(job, &"e".into(), self.now);
        let start = self.starts().into_iter().find(|(job, _)| job.as_str() == id);
        start.unwrap().1
    }

    /// Runs the scheduler, answers its start calls and returns them with their jobs.
    fn starts(&mut self) -> Vec<(Name, Call)> {
        let mut starts = Vec::new();
        for call in self.calls() {
            if let Order::Start { task, .. } = &call.order {
                starts.push((task.job.clone(), call.clone()));
                self.answer(&call, vec![]);
            }
        }
        starts
    }
}

#[test]
fn apart() {
    // Two tasks ran at an upstream that was lost. They restart at different upstreams where no
    // other task runs, and other tasks start elsewhere as long as there is room.
    let mut harness = Harness::new(&["u1", "u2", "u3", "u4"]);
    let first = harness.submit("a");
    let second = harness.submit("b");
    assert_eq!(first.upstream, second.upstream, "the scheduler packs tasks tightly");
    let other = harness.submit("c");
    assert_ne!(first.upstream, other.upstream);
    harness.sched.process_outcome(
        harness.holds[&first.upstream].number,
        first.fence,
        Outcome::Replaced,
        harness.now,
    );
    let again = harness.starts();
    let places: BTreeSet<_> = again.iter().map(|(_, c)| &c.upstream).collect();
    assert_eq!(again.len(), 2);
    assert_eq!(places.len(), 2, "{again:?}");
    assert!(!places.contains(&other.upstream), "the task that runs there would be lost, too");
    let next = harness.submit("d");
    assert_eq!(next.upstream, other.upstream);
}
