//! Tasks that bring down each upstream that starts them.

mod sample;
mod world;

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{
    job::{Job, Task, Verdict},
    order::{Call, Order, Outcome, Running},
    sched::Sched,
    suspect::{Loss, Suspects},
    time::MS,
};
use sample::CLOCK;
use state::name::Name;
use world::World;

/// Hands in a job whose tasks crash, for a client that waits for long.
fn submit_crashing(world: &mut World, zone: usize, count: u32) -> Name {
    let id = world.submit(zone, count, 14_000, 400);
    world.requests.get_mut(&id).unwrap().job.patience = 60_000;
    world.crashing.insert(id.clone());
    id
}

/// How often the task of a job was started that was started most.
fn starts(world: &World, id: &Name) -> u32 {
    let of_job = world.begun.iter().filter(|(task, _)| task.job == *id);
    of_job.map(|(_, count)| *count).max().unwrap_or(0)
}

fn verdict(world: &World, id: &Name) -> Option<Verdict> {
    world.requests[id].verdict.as_ref().map(|(verdict, _)| verdict.clone())
}

/// A task is given up after three upstreams at most, and its client is told.
///
/// Story: a task ended the life of each upstream that started it. Its runs neither failed nor ended, so
/// that nothing counted them: it was started anew each second, until its client gave up, 61 times in 60
/// s, and took what ran beside it along each time.
#[test]
fn given_up() {
    for seed in 0..5 {
        let mut world = World::new(seed, 1, 2, 12);
        world.run(3_000);
        let id = submit_crashing(&mut world, 0, 1);
        world.run(20_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "seed {seed}");
        assert!(starts(&world, &id) <= 3, "seed {seed}: {} starts", starts(&world, &id));
    }
}

/// The next scheduler knows what the former one saw.
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
        assert!(starts(&world, &id) <= 4, "seed {seed}: {} starts", starts(&world, &id));
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// The client loses its entry and hands the job in once more, also in another zone.
#[test]
fn sent_again() {
    for zone in [0, 1] {
        let mut world = World::new(zone as u64, 2, 2, 8);
        world.run(3_000);
        let id = submit_crashing(&mut world, 0, 1);
        world.run(12_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "zone {zone}");
        let before = starts(&world, &id);
        world.resubmit(&id, zone);
        world.run(10_000);
        assert_eq!(verdict(&world, &id), Some(Verdict::Failed), "zone {zone}");
        assert_eq!(starts(&world, &id), before, "zone {zone}: started again");
    }
}

/// Others are served beside it: two such jobs a second take no more than what they bring down, and no
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
        let most = world.crashing.iter().map(|id| starts(&world, id)).max();
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
    assert_eq!(suspects.add(&loss("u2", false, &["a"]), 0), [], "it may be cut off");
    assert_eq!(suspects.add(&loss("u2", true, &["a"]), 0), [task("a")], "now it is proved");
    assert!(suspects.is_given_up(&"a".into()));
    assert!(!suspects.is_given_up(&"b".into()));

    let mut suspects = Suspects::default();
    suspects.add(&loss("u1", true, &["a", "b"]), 0);
    assert_eq!(suspects.add(&loss("u2", true, &["a", "b"]), 0), [], "either may be at fault");
    assert_eq!(suspects.add(&loss("u3", true, &["b"]), 0), [task("b")]);
    suspects.remove_task(&task("a"));
    assert!(!suspects.has(&task("a")));

    let mut suspects = Suspects::default();
    for upstream in ["u1", "u2", "u3"] {
        suspects.add(&loss(upstream, false, &["a"]), 0);
        suspects.clear_upstream(&upstream.into());
    }
    assert!(!suspects.has(&task("a")), "they were only silent");
}

struct Play {
    sched: Sched,
    suspects: Suspects,
    now: u64,
    /// The last hold of each upstream.
    holds: BTreeMap<Name, Call>,
}

impl Play {
    /// A scheduler whose upstreams have answered.
    fn new(upstreams: &[&str]) -> Self {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut play = Self { sched, suspects: Suspects::default(), now, holds: BTreeMap::new() };
        for call in play.calls() {
            play.answer(&call, vec![]);
        }
        play
    }

    fn calls(&mut self) -> Vec<Call> {
        let findings = self.sched.take_findings();
        self.suspects.apply_findings(&findings);
        for loss in &findings.losses {
            let given_up = self.suspects.add(loss, self.now);
            self.sched.give_up(&given_up, self.now);
        }
        self.sched.run(|_| Some(self.now), &self.suspects, self.now);
        let calls = self.sched.take().calls;
        let holds = calls.iter().filter(|call| matches!(call.order, Order::Hold { .. }));
        self.holds.extend(holds.map(|call| (call.upstream.clone(), call.clone())));
        calls
    }

    fn answer(&mut self, call: &Call, running: Vec<Running>) {
        let clock = CLOCK + self.now / MS;
        let outcome = match call.order {
            Order::Hold { .. } => Outcome::Held { clock, running, ended: vec![] },
            _ => Outcome::Done(clock),
        };
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
    }

    /// Hands a job of one task in; gives the start of it.
    fn submit(&mut self, id: &str) -> Call {
        let job = Job { entry_clock: self.now, ..sample::job(id, 1) };
        self.sched.submit(job, &"e".into(), self.now);
        let start = self.starts().into_iter().find(|(job, _)| job.as_str() == id);
        start.unwrap().1
    }

    /// What is started now, by job.
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
    // Two tasks run where the upstream was lost: they are started again apart from each other, each
    // where nothing else runs, and others go elsewhere while there is room.
    let mut play = Play::new(&["u1", "u2", "u3", "u4"]);
    let first = play.submit("a");
    let second = play.submit("b");
    assert_eq!(first.upstream, second.upstream, "as tight as it goes");
    let other = play.submit("c");
    assert_ne!(first.upstream, other.upstream);
    play.sched.process_outcome(
        play.holds[&first.upstream].number,
        first.fence,
        Outcome::Replaced,
        play.now,
    );
    let again = play.starts();
    let places: BTreeSet<_> = again.iter().map(|(_, c)| &c.upstream).collect();
    assert_eq!(again.len(), 2);
    assert_eq!(places.len(), 2, "{again:?}");
    assert!(!places.contains(&other.upstream), "what runs there would be lost, too");
    let next = play.submit("d");
    assert_eq!(next.upstream, other.upstream);
}
