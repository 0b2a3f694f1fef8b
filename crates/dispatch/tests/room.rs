//! Upstreams whose room shrinks and grows while they run.

mod sample;
mod world;

use dispatch::{
    job::{Refusal, Verdict},
    order::{Call, Order, Outcome, Reason},
    sched::Sched,
    suspect::Suspects,
    time::MS,
    upstream::{Phase, Record, Room},
};
use sample::{CLOCK, job, record};
use world::World;

/// Nothing is started over the room that an upstream has told of, although the news of it was lost
/// on its way to the scheduler.
///
/// Story: an upstream that takes whatever it is told to start said that it had shrunk from 32 cores
/// to 16. Keeper 1 took note of that; its message to keeper 0, which scheduled the zone, was lost in
/// a cut of some milliseconds. Later announcements said nothing new and were not passed on, and the
/// digests that mend lost news left the room out, so that two tasks of 14 cores were started there
/// for as long as it lived.
#[test]
fn lost_news() {
    let mut world = World::with_keepers(1, 1, 2, 2, 1);
    world.upstreams[0].guards = false;
    world.ear = Some(1);
    world.run(3_000);
    assert_eq!(world.schedulers(0), [0]);
    world.cut(1, 0, true);
    world.upstreams[0].room.cpu = 16_000;
    world.announce(0, Phase::Serving);
    world.run(5);
    world.cut(1, 0, false);
    world.run(2_000);
    world.submit(0, 2, 14_000, 200);
    world.run(2_000);
    assert_eq!(world.upstreams[0].excess, 0, "starts over its room");
    assert_eq!(world.complete(), 1, "one task after the other");
}

#[test]
fn shrinks_under_load() {
    // Every upstream shrinks to half while its tasks run; what runs goes on, and what is told to stop
    // counts until it has ended. An upstream that guards nothing is over its room only by what had
    // been started when it told of the change.
    for seed in 0..5 {
        let mut world = World::new(seed, 1, 2, 6);
        for upstream in &mut world.upstreams {
            upstream.guards = false;
        }
        world.run(3_000);
        for round in 0..4_u64 {
            for at in 0..6 {
                world.upstreams[at].room.cpu = if round % 2 == 0 { 16_000 } else { 32_000 };
                world.announce(at, Phase::Serving);
            }
            // Orders that were on their way may still arrive.
            world.run(20);
            let before: Vec<_> = world.upstreams.iter().map(|u| u.excess).collect();
            for _ in 0..40 {
                world.submit(0, 2, 14_000, 120);
                world.run(25);
            }
            let after: Vec<_> = world.upstreams.iter().map(|u| u.excess).collect();
            assert_eq!(before, after, "seed {seed}, round {round}");
        }
        world.run(4_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// A job that fits as soon as an upstream has grown again is not failed by a scheduler that has known the
/// upstreams only since they shrank.
///
/// Story: all upstreams of a zone said that they had shrunk from 32 cores to 8, and its keeper was lost.
/// The next scheduler took what they hold now for the most that they ever held, and a job of 14 cores
/// that would have fitted half a second later ended as too large for ever.
#[test]
fn successor_of_shrunk() {
    for (keepers, restart) in [(2, false), (1, true)] {
        let mut world = World::with_keepers(1, 1, keepers, 2, 4);
        world.run(3_000);
        for at in 0..4 {
            world.upstreams[at].room.cpu = 8_000;
            world.announce(at, Phase::Serving);
        }
        world.run(1_500);
        let first = world.schedulers(0)[0];
        world.kill(first);
        if restart {
            world.run(300);
            world.start(first);
        }
        world.run(4_000);
        let next = world.schedulers(0);
        assert_eq!(next.len(), 1, "{keepers} keepers");
        assert_eq!(next[0] == first, restart, "{keepers} keepers");
        world.submit(0, 1, 14_000, 100);
        world.run(300);
        for at in 0..4 {
            world.upstreams[at].room.cpu = 32_000;
            world.announce(at, Phase::Serving);
        }
        world.run(2_000);
        assert_eq!(world.complete(), 1, "{keepers} keepers, restart {restart}");
    }
}

struct Play {
    sched: Sched,
    now: u64,
    calls: Vec<Call>,
    verdicts: Vec<Verdict>,
}

impl Play {
    /// A scheduler whose upstreams have answered.
    fn new(upstreams: &[&str]) -> Self {
        let now = 1_000 * MS;
        let sched = sample::scheduler(upstreams, now);
        let mut play = Self { sched, now, calls: Vec::new(), verdicts: Vec::new() };
        play.wait(20);
        play.answer_holds();
        play
    }

    fn wait(&mut self, ms: u64) {
        self.now += ms * MS;
        self.sched.tick(|_| Some(self.now), self.now);
        self.sched.run(|_| Some(self.now), &Suspects::default(), self.now);
        let out = self.sched.take();
        self.calls.extend(out.calls);
        self.verdicts.extend(out.verdicts.into_iter().map(|(_, _, decision)| decision.verdict));
    }

    fn answer(&mut self, call: &Call, outcome: Outcome) {
        self.sched.process_outcome(call.number, call.fence, outcome, self.now);
        self.wait(0);
    }

    fn answer_holds(&mut self) {
        let clock = CLOCK + self.now / MS;
        for call in std::mem::take(&mut self.calls) {
            if matches!(call.order, Order::Hold { .. }) {
                self.answer(&call, Outcome::Held { clock, running: vec![], ended: vec![] });
            } else {
                self.calls.push(call);
            }
        }
    }

    /// Refuses the starts that were ordered, for want of room; gives where they were.
    fn refuse_starts(&mut self) -> Vec<String> {
        let mut refused = Vec::new();
        for call in std::mem::take(&mut self.calls) {
            if matches!(call.order, Order::Start { .. }) {
                refused.push(call.upstream.to_string());
                self.answer(&call, Outcome::Refused(Reason::Room, Some(CLOCK + self.now / MS)));
            }
        }
        refused
    }

    fn submit(&mut self, id: &str) {
        let job = sample::job(id, 1);
        self.sched.submit(
            dispatch::job::Job { entry_clock: self.now, ..job },
            &"e".into(),
            self.now,
        );
        self.wait(0);
    }

    /// Its entry goes on waiting.
    fn await_job(&mut self, id: &str) {
        self.sched.renew_awaited(&[sample::awaited(id)], &"e".into(), self.now, self.now);
    }
}

#[test]
fn refused_again_and_again() {
    // An upstream that has shrunk without a word refuses what should fit. It was asked again each 30
    // ms: 33 refused starts a second.
    let mut play = Play::new(&["u1"]);
    play.submit("j");
    let mut refused = play.refuse_starts().len();
    for _ in 0..50 {
        play.wait(20);
        play.answer_holds();
        play.await_job("j");
        refused += play.refuse_starts().len();
    }
    assert!((2..=6).contains(&refused), "{refused} refused in a second");
}

#[test]
fn refused_here_placed_there() {
    let mut play = Play::new(&["u1", "u2"]);
    play.submit("j");
    let first = play.refuse_starts();
    let second = play.refuse_starts();
    assert_eq!(first.len(), 1);
    assert_eq!(second.len(), 1, "the other one is asked at once");
    assert_ne!(first, second);
}

#[test]
fn told_of_more_room() {
    // Its next word of its room ends the wait after a refusal.
    let mut play = Play::new(&["u1"]);
    play.submit("j");
    for _ in 0..30 {
        play.refuse_starts();
        play.wait(20);
        play.answer_holds();
        play.await_job("j");
    }
    play.refuse_starts();
    let room = Room { cpu: 48_000, memory: 64_000, accelerators: 0 };
    play.sched.update_upstream(&Record { room, serial: 2, ..record("u1") });
    play.wait(0);
    let starts = play.calls.iter().filter(|call| matches!(call.order, Order::Start { .. }));
    assert_eq!(starts.count(), 1);
}

#[test]
fn shrunk_is_not_too_small() {
    // What fits no upstream as they are now may fit once they have grown again: it is not said to be
    // too large for ever.
    let mut play = Play::new(&["u1"]);
    let room = Room { cpu: 8_000, memory: 64_000, accelerators: 0 };
    play.sched.update_upstream(&Record { room, serial: 2, ..record("u1") });
    play.submit("j");
    assert_eq!(play.verdicts, []);
    play.sched.update_upstream(&Record { serial: 3, ..record("u1") });
    play.wait(20);
    let starts = play.calls.iter().filter(|call| matches!(call.order, Order::Start { .. }));
    assert_eq!(starts.count(), 1);
    // One that was too large at any time is refused as before.
    let mut large = job("large", 1);
    large.steps[0].need.cpu = 33_000;
    play.sched.submit(large, &"e".into(), play.now);
    play.wait(0);
    assert_eq!(play.verdicts, [Verdict::NotRun(Refusal::TooLarge)]);
}
