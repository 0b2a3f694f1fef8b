//! Operators evacuate zones and take them back while copies of their orders arrive late, answers are
//! lost, and keepers are frozen, cut off and restarted. An order that was acknowledged stays in force
//! until a later one: no copy that was given up undoes it.
//!
//! `SEEDS=N` runs N seeds, starting with `FIRST_SEED`; a failure names its seed.

mod world;

use std::env;

use dispatch::event::Reply;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use world::{World, zone_name};

/// Indices of the three zones' keepers among the simulated instances.
const KEEPERS: [usize; 3] = [0, 2, 4];
/// Interval at which operators look for answers, milliseconds.
const STEP: u64 = 10;
/// Time for which an operator waits for an answer, milliseconds.
const PATIENCE: u64 = 1_000;
/// Time for which an operator sends an order again, milliseconds.
const RESEND_TIME: u64 = 5_000;
/// Longest time for which a copy is on its way, milliseconds.
const MAX_DELAY: u64 = 8_000;
/// Time in which orders are given, milliseconds.
const DURATION: u64 = 40_000;

fn env_number(key: &str, default: u64) -> u64 {
    env::var(key).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A copy of an order on its way to a keeper.
#[derive(Clone, Copy)]
struct Copy {
    zone: usize,
    keeper: usize,
    evacuated: bool,
    challenge: Option<u64>,
    arrives: u64,
    attempt: u64,
}

/// The copy whose answer an operator awaits.
#[derive(Clone, Copy)]
struct Attempt {
    number: u64,
    keeper: usize,
    sent_at: u64,
    ticket: Option<u64>,
    redirects: u32,
}

/// An operator that gives one order after the other for one zone.
struct Operator {
    zone: usize,
    follows_redirects: bool,
    evacuated: bool,
    /// When the present order was first sent, if there is one.
    began: Option<u64>,
    attempt: Option<Attempt>,
    idle_until: u64,
    /// The states that the zone may be in: that of the last acknowledged order, and those of orders
    /// that were given up without an acknowledgement since.
    possible: Vec<bool>,
    acknowledged: u32,
}

struct Scene {
    world: World,
    rng: SmallRng,
    copies: Vec<Copy>,
    frozen: [Option<u64>; 3],
    down: [Option<u64>; 3],
    cut: Option<(usize, u64)>,
    attempts: u64,
}

impl Scene {
    fn now(&self) -> u64 {
        self.world.now / 1_000
    }

    fn send(&mut self, operator: &mut Operator, keeper: usize, challenge: Option<u64>) {
        let late = self.rng.random_range(0..10) < 3;
        let delay = if late { self.rng.random_range(PATIENCE..MAX_DELAY) } else { 1 };
        let (sent_at, redirects) = match operator.attempt {
            Some(attempt) if challenge.is_some() => (self.now(), attempt.redirects + 1),
            _ => (self.now(), 0),
        };
        self.attempts += 1;
        let attempt = self.attempts;
        let (zone, evacuated) = (operator.zone, operator.evacuated);
        let arrives = sent_at + delay;
        self.copies.push(Copy { zone, keeper, evacuated, challenge, arrives, attempt });
        operator.attempt =
            Some(Attempt { number: attempt, keeper, sent_at, ticket: None, redirects });
    }

    /// Delivers the copies that have arrived. Those at a frozen keeper wait for it, and those at one
    /// that is down are lost.
    fn deliver(&mut self, operators: &mut [Operator]) {
        let now = self.now();
        let is_due = |copy: &Copy| copy.arrives <= now && self.frozen[copy.keeper].is_none();
        let (due, later): (Vec<_>, Vec<_>) = self.copies.iter().copied().partition(is_due);
        self.copies = later;
        for copy in due.into_iter().filter(|copy| self.down[copy.keeper].is_none()) {
            let at = KEEPERS[copy.keeper];
            let ticket = self.world.deliver_order(at, copy.zone, copy.evacuated, copy.challenge);
            let attempt = operators[copy.zone].attempt.as_mut();
            if let Some(attempt) = attempt.filter(|attempt| attempt.number == copy.attempt) {
                attempt.ticket = Some(ticket);
            }
        }
    }

    fn change_faults(&mut self, may_start: bool) {
        let now = self.now();
        for (keeper, instance) in KEEPERS.into_iter().enumerate() {
            if self.frozen[keeper].is_some_and(|until| now >= until) {
                self.frozen[keeper] = None;
                self.world.unfreeze(instance);
            }
            if self.down[keeper].is_some_and(|until| now >= until) {
                self.down[keeper] = None;
                self.world.start(instance);
            }
        }
        if let Some((zone, until)) = self.cut
            && now >= until
        {
            self.cut = None;
            self.world.set_zone_cut(zone, false);
        }
        if !may_start || self.rng.random_range(0..200) > 0 {
            return;
        }
        let keeper = self.rng.random_range(0..KEEPERS.len());
        let until = now + self.rng.random_range(300..5_000);
        let is_sound = self.frozen[keeper].is_none() && self.down[keeper].is_none();
        match self.rng.random_range(0..3) {
            0 if is_sound => {
                self.frozen[keeper] = Some(until);
                self.world.freeze(KEEPERS[keeper]);
            }
            1 if is_sound => {
                self.down[keeper] = Some(until);
                self.world.kill(KEEPERS[keeper]);
            }
            _ if self.cut.is_none() => {
                self.cut = Some((keeper, until));
                self.world.set_zone_cut(keeper, true);
            }
            _ => {}
        }
    }
}

impl Operator {
    fn new(zone: usize, follows_redirects: bool) -> Self {
        Self {
            zone,
            follows_redirects,
            evacuated: false,
            began: None,
            attempt: None,
            idle_until: 0,
            possible: vec![false],
            acknowledged: 0,
        }
    }

    fn step(&mut self, scene: &mut Scene, may_begin: bool) {
        let now = scene.now();
        if now < self.idle_until {
            return;
        }
        let Some(began) = self.began else {
            if may_begin {
                // Now and then an order asks for what holds already.
                self.evacuated = scene.rng.random_range(0..5) == 0 || !self.evacuated;
                self.began = Some(now);
                let keeper = scene.rng.random_range(0..KEEPERS.len());
                scene.send(self, keeper, None);
            }
            return;
        };
        let Some(attempt) = self.attempt else {
            if now >= began + RESEND_TIME {
                // The order may or may not take effect from now on.
                self.possible.push(self.evacuated);
                self.end_order(scene);
                return;
            }
            let keeper = scene.rng.random_range(0..KEEPERS.len());
            scene.send(self, keeper, None);
            return;
        };
        let reply = attempt.ticket.and_then(|ticket| scene.world.reply(ticket).cloned());
        let is_lost = reply.is_some() && scene.rng.random_range(0..10) == 0;
        match reply.filter(|_| !is_lost) {
            Some(Reply::Noted) => {
                self.possible = vec![self.evacuated];
                self.acknowledged += 1;
                self.end_order(scene);
            }
            Some(Reply::Challenge(number)) => {
                if self.follows_redirects && attempt.redirects < 2 {
                    scene.send(self, attempt.keeper, Some(number));
                    return;
                }
                if let Some(ticket) = attempt.ticket {
                    scene.world.read_challenge(KEEPERS[attempt.keeper], ticket);
                }
                self.move_on(now);
            }
            Some(_) => self.move_on(now),
            None if is_lost || now >= attempt.sent_at + PATIENCE => {
                // Without an answer the operator waits for as long as it does in any case.
                self.idle_until = (attempt.sent_at + PATIENCE).max(now);
                self.attempt = None;
            }
            None => {}
        }
    }

    fn move_on(&mut self, now: u64) {
        self.attempt = None;
        self.idle_until = now + 50;
    }

    fn end_order(&mut self, scene: &mut Scene) {
        self.began = None;
        self.attempt = None;
        self.idle_until = scene.now() + scene.rng.random_range(100..3_000);
    }
}

/// Plays one seed and returns the number of acknowledged orders.
fn play(seed: u64) -> u32 {
    let mut world = World::new(seed, KEEPERS.len(), 1, 2);
    world.run(3_000);
    let rng = SmallRng::seed_from_u64(seed);
    let mut scene = Scene {
        world,
        rng,
        copies: Vec::new(),
        frozen: [None; 3],
        down: [None; 3],
        cut: None,
        attempts: 0,
    };
    let mut operators: Vec<_> = (0..3).map(|zone| Operator::new(zone, zone != 1)).collect();
    let end = scene.now() + DURATION;
    while scene.now() < end + RESEND_TIME + 2 * MAX_DELAY {
        let goes_on = scene.now() < end;
        scene.change_faults(goes_on);
        scene.deliver(&mut operators);
        for operator in &mut operators {
            operator.step(&mut scene, goes_on);
        }
        scene.world.run(STEP);
    }
    for operator in &operators {
        for keeper in KEEPERS {
            let core = scene.world.instances[keeper].core.as_ref().expect("it runs again");
            let has = core.evacuations().has(&zone_name(operator.zone));
            assert!(
                operator.possible.contains(&has),
                "seed {seed}: zone {} is evacuated at keeper {keeper}: {has}, possible {:?}",
                operator.zone,
                operator.possible
            );
        }
    }
    operators.iter().map(|operator| operator.acknowledged).sum()
}

#[test]
fn seeds() {
    let (first, count) = (env_number("FIRST_SEED", 1), env_number("SEEDS", 12));
    let acknowledged: u32 = (first..first + count).map(play).sum();
    eprintln!("{acknowledged} orders acknowledged in {count} seeds");
    assert!(u64::from(acknowledged) >= 10 * count, "{acknowledged} orders in {count} seeds");
}
