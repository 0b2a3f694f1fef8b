//! A whole system in one thread and virtual time: instances, upstreams, clients and an operator,
//! with faults between them. It checks, as it goes on, that no task runs twice at a time, that "not
//! run" is true, and that all tasks of a complete job have done their work.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use coord::mirror::Mirror;
use dispatch::{
    Core,
    event::{Event, Known, Reply},
    job::{Job, Task, Verdict},
    member::{Card, Role},
    message::Body,
    order::{Answer, Call, Outcome},
    time::Now,
    timing::Breakdown,
    upstream::Phase,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use state::{name::Name, policy::Policy};

mod call;
mod client;
mod effect;
mod fault;
pub mod link;
mod operator;
mod stream;
pub mod upstream;

use upstream::{MS, Upstream};

const WALL: u64 = 1_800_000_000_000;
const TICK: u64 = 20 * MS;
const RESEND: u64 = 1_300 * MS;
/// A task that brings its upstream down does so after this.
const CRASH: u64 = 20 * MS;
/// An upstream is back after this.
const REVIVAL: u64 = 2_500 * MS;

/// What travels or is due.
#[derive(Debug)]
enum What {
    Tick,
    Deliver { to: usize, from: usize, stream: u64, body: Body },
    Link { to: usize },
    Arrive { call: Call, from: (usize, u64) },
    Answer { to: (usize, u64), number: u64, fence: u64, outcome: Outcome },
    Expire { to: (usize, u64), number: u64, fence: u64 },
    Submit { id: Name },
    Saved { to: (usize, u64), number: u64 },
    Crash { at: usize, id: String },
    Revive { at: usize, id: String },
}

#[derive(Debug)]
struct Due {
    at: u64,
    order: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

pub struct Instance {
    pub card: Card,
    pub core: Option<Core>,
    pub frozen: bool,
    held: Vec<What>,
    life: u64,
    disk: Option<(Mirror, u64)>,
    /// Whom its disk remembers.
    pub known: Known,
    first: bool,
}

/// How long messages wait on a stream, microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Slow {
    /// The longest wait.
    most: u64,
    /// Since when the queue fills up, if it does: each heartbeat still comes within 250 ms of the
    /// one before.
    since: Option<u64>,
}

/// A client's job.
#[derive(Debug)]
pub struct Request {
    pub job: Job,
    zone: Name,
    pub at: Option<usize>,
    /// When the client first handed it in.
    pub first: u64,
    pub sent: u64,
    pub verdict: Option<(Verdict, u64)>,
}

/// Messages and their size when encoded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    pub count: u64,
    pub bytes: u64,
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub instances: Vec<Instance>,
    pub upstreams: Vec<Upstream>,
    pub requests: BTreeMap<Name, Request>,
    pub cuts: BTreeSet<(usize, usize)>,
    /// Upstream and instance that do not reach each other.
    pub walls: BTreeSet<(usize, usize)>,
    /// The only keeper that upstreams tell of themselves.
    pub ear: Option<usize>,
    /// How far the time of day is off at instances that start from now on, milliseconds.
    pub skew: i64,
    /// Messages between instances wait this much longer, microseconds: their receivers are busy.
    pub busy: u64,
    /// Streams on which messages wait, and none overtakes another: the link or a queue on the way
    /// is full.
    pub slow: BTreeMap<(usize, usize), Slow>,
    /// Whether what is under way on a stream is lost when the stream is dialled anew.
    pub lossy: bool,
    /// One order in so many is carried out late and never answered; 0 for none.
    pub late: u32,
    /// Answers of upstreams come this much later, microseconds.
    pub answer_lag: u64,
    /// Where the time of tasks went that have done their work.
    pub splits: Vec<Breakdown>,
    /// One question for what runs and has ended in so many is lost; 0 for none.
    pub mute: u32,
    pub faults: Vec<String>,
    /// One job in so many brings upstreams down; 0 for none.
    pub fatal: u32,
    /// Jobs whose tasks bring down the upstream that starts them.
    pub crashing: BTreeSet<Name>,
    /// How often tasks were started.
    pub begun: BTreeMap<Task, u32>,
    /// When each task was last told to start.
    pub starts: BTreeMap<Task, u64>,
    /// When a task was last ordered to start at an upstream of each zone.
    orders: BTreeMap<String, u64>,
    /// Tasks that have done their work.
    pub done: BTreeSet<Task>,
    pub replies: Vec<(u64, Reply)>,
    /// Time that each instance's decisions took, on this machine.
    pub spent: BTreeMap<usize, std::time::Duration>,
    /// Links that take time for each byte; none of them does by default.
    pub links: link::Links,
    /// Streams that were opened: from and to.
    pub streams: BTreeSet<(usize, usize)>,
    /// Messages between instances, by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// Decisions that were noted, by their text.
    pub notes: BTreeMap<&'static str, u64>,
    /// Whether messages are weighed, and counted in `flows`.
    pub weigh: bool,
    /// What each instance sent (`true`) and got, by kind.
    pub flows: BTreeMap<(usize, bool, &'static str), Flow>,
    /// Calls to upstreams that each instance made.
    pub calls: BTreeMap<usize, u64>,
    /// Streams that each instance dialled anew.
    pub redials: BTreeMap<usize, u64>,
    /// Each message is late by something in this range, microseconds; those of a stream stay in
    /// their order.
    pub lag: (u64, u64),
    lagged: BTreeMap<(usize, usize), u64>,
    /// Streams that carry nothing until they are dialled anew.
    pub silent: BTreeSet<(usize, usize)>,
    /// Processor time of entries that start from now on, thousandths of a core; keepers have five
    /// times as much.
    pub cores: u64,
    /// How instances that start from now on decide.
    pub policy: Policy,
    tickets: BTreeMap<u64, Name>,
    queue: BinaryHeap<Due>,
    order: u64,
    /// Streams that were dialled anew: how often.
    redialled: BTreeMap<(usize, usize), u64>,
    /// When the last message on a slow stream arrives.
    last: BTreeMap<(usize, usize), u64>,
    seeds: Vec<Name>,
    /// `TRACE=ID` prints what is done about a job.
    trace: Option<String>,
}

impl World {
    /// Zones with `entries` entries and one keeper each, and `upstreams` upstreams.
    pub fn new(seed: u64, zones: usize, entries: usize, upstreams: usize) -> Self {
        Self::with_keepers(seed, zones, 1, entries, upstreams)
    }

    /// Zones with `keepers` keepers and `entries` entries each, and `upstreams` upstreams.
    pub fn with_keepers(
        seed: u64,
        zones: usize,
        keepers: usize,
        entries: usize,
        upstreams: usize,
    ) -> Self {
        let mut world = Self {
            now: 1,
            rng: SmallRng::seed_from_u64(seed),
            instances: Vec::new(),
            upstreams: Vec::new(),
            requests: BTreeMap::new(),
            cuts: BTreeSet::new(),
            walls: BTreeSet::new(),
            ear: None,
            skew: 0,
            busy: 0,
            slow: BTreeMap::new(),
            lossy: false,
            late: 0,
            answer_lag: 0,
            splits: Vec::new(),
            mute: 0,
            faults: Vec::new(),
            fatal: 0,
            crashing: BTreeSet::new(),
            begun: BTreeMap::new(),
            starts: BTreeMap::new(),
            orders: BTreeMap::new(),
            done: BTreeSet::new(),
            replies: Vec::new(),
            spent: BTreeMap::new(),
            links: link::Links::default(),
            streams: BTreeSet::new(),
            sent: BTreeMap::new(),
            notes: BTreeMap::new(),
            weigh: false,
            flows: BTreeMap::new(),
            calls: BTreeMap::new(),
            redials: BTreeMap::new(),
            lag: (0, 0),
            lagged: BTreeMap::new(),
            silent: BTreeSet::new(),
            cores: 1_000,
            policy: Policy::default(),
            tickets: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            redialled: BTreeMap::new(),
            last: BTreeMap::new(),
            seeds: (0..zones).map(|z| Name::new(&format!("10.{z}.0.1:7"))).collect(),
            trace: std::env::var("TRACE").ok(),
        };
        for zone in 0..zones {
            for at in 0..keepers + entries {
                let role = if at < keepers { Role::Keeper } else { Role::Entry };
                let name = Name::new(&format!("10.{zone}.0.{}:7", at + 1));
                let card = Card { name, zone: zone_name(zone), role, incarnation: 0 };
                let disk = (role == Role::Keeper).then(|| (Mirror::default(), 1));
                let first = true;
                let instance = Instance {
                    card,
                    core: None,
                    frozen: false,
                    held: Vec::new(),
                    life: 0,
                    disk,
                    known: Known::default(),
                    first,
                };
                world.instances.push(instance);
            }
            for at in 0..upstreams {
                let offset = world.rng.random_range(0..1_000_000);
                let cpu = if at % 3 == 2 { 48_000 } else { 32_000 };
                let id = format!("i-{zone}-{at}-0");
                let mut upstream = Upstream::new(&id, zone_name(zone).as_str(), cpu, offset);
                upstream.address = format!("10.{zone}.9.{at}:80");
                world.upstreams.push(upstream);
            }
        }
        for at in 0..world.instances.len() {
            world.start(at);
        }
        world.push(TICK, What::Tick);
        world
    }

    /// The instances that schedule a zone.
    pub fn schedulers(&self, zone: usize) -> Vec<usize> {
        let zone = zone_name(zone);
        let schedules = |i: &Instance| i.core.as_ref().is_some_and(|core| core.schedules(&zone));
        let found = self.instances.iter().enumerate().filter(|(_, i)| schedules(i));
        found.map(|(at, _)| at).collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.queue.peek().is_some_and(|due| due.at <= end) {
            let Some(due) = self.queue.pop() else { break };
            self.now = self.now.max(due.at);
            self.step(due.what);
        }
        self.now = end;
    }

    fn step(&mut self, what: What) {
        let target = match &what {
            What::Deliver { to, .. } => Some(*to),
            What::Answer { to, .. } | What::Expire { to, .. } | What::Saved { to, .. } => {
                Some(to.0)
            }
            _ => None,
        };
        if let Some(to) = target
            && self.instances[to].frozen
        {
            return self.instances[to].held.push(what);
        }
        match what {
            What::Tick => self.tick(),
            What::Deliver { to, from, stream, body } => {
                let broken = self.redialled.get(&(from, to)).is_some_and(|now| *now != stream);
                if !self.cuts.contains(&(from, to)) && !broken {
                    self.count(to, false, &body);
                    let name = self.instances[from].card.name.clone();
                    self.handle(to, Event::Peer(name, body));
                }
            }
            What::Link { to } => {
                if let Some((took, arrived)) = self.links.turn(to) {
                    let end = self.now + took;
                    if let Some((from, stream, body)) = arrived {
                        self.push(end + self.busy, What::Deliver { to, from, stream, body });
                    }
                    self.push(end, What::Link { to });
                }
            }
            What::Arrive { call, from } => self.arrive(call, from),
            What::Answer { to, number, fence, outcome } => {
                if self.instances[to.0].life == to.1 {
                    let took = 600;
                    let answer = Answer { number, fence, took, outcome };
                    self.handle(to.0, Event::Called(answer));
                }
            }
            What::Expire { to, number, fence } => {
                if self.instances[to.0].life == to.1 {
                    let (took, outcome) = (50 * MS, Outcome::Lost);
                    let answer = Answer { number, fence, took, outcome };
                    self.handle(to.0, Event::Called(answer));
                }
            }
            What::Submit { id } => self.hand_in(&id),
            What::Crash { at, id } => self.crash(at, &id),
            What::Revive { at, id } => {
                if self.upstreams[at].id == id {
                    self.upstreams[at].crash(&format!("{id}+"));
                    self.announce(at, Phase::Serving);
                }
            }
            What::Saved { to, number } => {
                if self.instances[to.0].life == to.1 {
                    self.handle(to.0, Event::Saved(number));
                }
            }
        }
    }

    fn tick(&mut self) {
        self.push(self.now + TICK, What::Tick);
        for at in 0..self.instances.len() {
            if !self.instances[at].frozen {
                self.handle(at, Event::Tick);
            }
        }
        for at in 0..self.upstreams.len() {
            if self.upstreams[at].up {
                let due = self.upstreams[at].tick(self.now);
                self.done.extend(self.upstreams[at].done.drain(..));
                for waiting in due {
                    let outcome = self.upstreams[at].lists(self.now);
                    self.answer(at, waiting.call.number, waiting.call.fence, waiting.from, outcome);
                }
            }
        }
        self.check();
        if (self.now / TICK).is_multiple_of(50) {
            for at in 0..self.upstreams.len() {
                self.announce(at, Phase::Serving);
            }
        }
    }

    fn check(&mut self) {
        let mut running: BTreeMap<&Task, usize> = BTreeMap::new();
        for upstream in self.upstreams.iter().filter(|upstream| upstream.up) {
            for task in upstream.runs.keys() {
                *running.entry(task).or_default() += 1;
            }
        }
        let twice = running.into_iter().filter(|(_, count)| *count > 1);
        let twice: Vec<_> =
            twice.map(|(task, _)| format!("{} ms: two runs of {task:?}", self.now / MS)).collect();
        self.faults.extend(twice);
    }

    fn clock(&self) -> Now {
        Now::new(self.now, WALL + self.now / MS)
    }

    fn push(&mut self, at: u64, what: What) {
        self.order += 1;
        self.queue.push(Due { at, order: self.order, what });
    }
}

pub fn zone_name(zone: usize) -> Name {
    Name::new(&format!("zone-{zone}"))
}

/// A text of `bytes` that hardly any packing makes smaller.
pub fn text(bytes: usize, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..bytes).map(|_| char::from(rng.random_range(b'!'..=b'~'))).collect()
}
