//! A single-threaded simulation of a whole system in virtual time: instances, upstreams, clients
//! and an operator, with injected faults. While it runs it checks that no task runs twice at a
//! time, that every "not run" verdict is true, and that all tasks of a job reported as complete
//! have finished their work.
#![allow(dead_code, reason = "each test uses only part of the simulation")]

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use coord::mirror::Mirror;
use dispatch::{
    Core,
    event::{Event, Known, Reply},
    job::{Job, Task, Verdict},
    member::{Capacity, Card, Role},
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

/// The wall-clock time at the start of the simulation, milliseconds.
const WALL_CLOCK_MS: u64 = 1_800_000_000_000;
/// The time between two ticks of each instance and upstream, microseconds.
const TICK_INTERVAL: u64 = 20 * MS;
/// The delay before a client retries a job, microseconds.
const RETRY_DELAY: u64 = 1_300 * MS;
/// The delay between the start of a crashing task and the crash of its upstream, microseconds.
const CRASH_DELAY: u64 = 20 * MS;
/// The delay before a stream to an instance that has restarted opens again, microseconds: half of
/// the time between two attempts to connect.
const RECONNECT_DELAY: u64 = 30 * MS;
/// The delay before a crashed upstream restarts, microseconds.
const RESTART_DELAY: u64 = 2_500 * MS;

/// An event of the simulation: a message in transit or a timer.
#[derive(Debug)]
enum Action {
    Tick,
    Deliver { to: usize, from: usize, stream: u64, body: Body },
    LinkTurn { to: usize },
    Opened { to: (usize, u64), name: Name },
    Arrive { call: Call, from: (usize, u64) },
    Answer { to: (usize, u64), number: u64, fence: u64, outcome: Outcome },
    Expire { to: (usize, u64), number: u64, fence: u64 },
    Submit { id: Name },
    Saved { to: (usize, u64), number: u64 },
    Crash { at: usize, id: String },
    Restart { at: usize, id: String },
}

#[derive(Debug)]
struct QueuedAction {
    at: u64,
    sequence: u64,
    action: Action,
}

impl PartialEq for QueuedAction {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for QueuedAction {}
impl PartialOrd for QueuedAction {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedAction {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

pub struct Instance {
    pub card: Card,
    pub core: Option<Core>,
    pub frozen: bool,
    /// Events that arrived while the instance was frozen.
    deferred: Vec<Action>,
    /// Counts the processes of this instance, so that answers to former ones are dropped.
    generation: u64,
    /// The content and the incarnation of its disk, if it has one.
    disk: Option<(Mirror, u64)>,
    /// The upstreams and peers that are stored on its disk.
    pub known: Known,
    /// Whether it has never been started.
    first_start: bool,
}

/// The queueing delay of messages on a stream, microseconds.
#[derive(Clone, Copy, Debug)]
pub struct StreamDelay {
    /// The maximum delay.
    max: u64,
    /// When the queue started to fill, if the delay grows over time. The delay grows slowly enough
    /// for each heartbeat to arrive within 250 ms of the previous one.
    since: Option<u64>,
}

/// A job that a client has submitted.
#[derive(Debug)]
pub struct Request {
    pub job: Job,
    zone: Name,
    /// The entry that the request is open at.
    pub at: Option<usize>,
    /// When the client first submitted it, microseconds.
    pub first_sent: u64,
    /// When the client last submitted it, microseconds.
    pub last_sent: u64,
    pub verdict: Option<(Verdict, u64)>,
}

/// The number of messages and their total encoded size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    pub count: u64,
    pub bytes: u64,
}

pub struct World {
    /// The virtual time, microseconds.
    pub now: u64,
    pub rng: SmallRng,
    pub instances: Vec<Instance>,
    pub upstreams: Vec<Upstream>,
    pub requests: BTreeMap<Name, Request>,
    /// Pairs of a sender and a receiver whose messages are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Pairs of an upstream and an instance that cannot reach each other.
    pub blocked_calls: BTreeSet<(usize, usize)>,
    /// If set, the only keeper to which upstreams announce themselves.
    pub announce_target: Option<usize>,
    /// The wall-clock error of instances that start from now on, milliseconds.
    pub clock_skew: i64,
    /// The extra delay of messages between instances because their receivers are busy,
    /// microseconds.
    pub message_delay: u64,
    /// Time that a write to a disk takes, microseconds.
    pub save_time: u64,
    /// Streams that delay their messages without reordering them, because the link or a queue on
    /// the path is full.
    pub stream_delays: BTreeMap<(usize, usize), StreamDelay>,
    /// Whether a redial loses the messages that are in transit on the old stream.
    pub redial_loss: bool,
    /// One start order in this many is carried out 3 s late, and its caller gets no answer in time;
    /// 0 for none.
    pub late_orders: u32,
    /// The longest lease that instances which start from now on ask for, milliseconds.
    pub longest_lease: u64,
    /// The number of answers of upstreams that each instance reads in a tick, if it is limited.
    pub answers_per_tick: Option<usize>,
    /// The number of answers that each instance has read in this tick.
    answers_read: BTreeMap<usize, usize>,
    /// The extra delay of answers from upstreams, microseconds.
    pub answer_lag: u64,
    /// The time breakdowns of finished tasks.
    pub breakdowns: Vec<Breakdown>,
    /// One hold call in this many, which asks for running and ended tasks, is lost; 0 for none.
    pub hold_loss: u32,
    /// Violations of the checked invariants.
    pub faults: Vec<String>,
    /// One job in this many is submitted as a crashing one; 0 for none.
    pub crash_odds: u32,
    /// Jobs whose tasks crash the upstream that starts them.
    pub crashing: BTreeSet<Name>,
    /// The number of starts of each task.
    pub start_counts: BTreeMap<Task, u32>,
    /// The number of each run of each task, in the order of their starts.
    pub attempts: BTreeMap<Task, Vec<u32>>,
    /// When each task was last started at an upstream, microseconds.
    pub start_times: BTreeMap<Task, u64>,
    /// When an instance last ordered a task to start at an upstream of each zone, microseconds.
    order_times: BTreeMap<String, u64>,
    /// Tasks that have finished their work.
    pub done: BTreeSet<Task>,
    pub replies: Vec<(u64, Reply)>,
    /// The real time that each instance spent on handling events, on the machine that runs the
    /// test.
    pub handling_time: BTreeMap<usize, std::time::Duration>,
    /// Links with a limited bandwidth; by default no link has a limit.
    pub links: link::Links,
    /// Streams that were opened, as sender and receiver.
    pub streams: BTreeSet<(usize, usize)>,
    /// The number of messages between instances, by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// The number of log lines, by text.
    pub log_counts: BTreeMap<&'static str, u64>,
    /// Whether `flows` counts messages and their encoded size.
    pub count_flows: bool,
    /// The messages that each instance sent (`true`) and received (`false`), by kind.
    pub flows: BTreeMap<(usize, bool, &'static str), Flow>,
    /// The number of calls that each instance made to upstreams.
    pub calls: BTreeMap<usize, u64>,
    /// The number of streams that each instance redialled.
    pub redials: BTreeMap<usize, u64>,
    /// The range of the random delay of each message, microseconds; the messages of one stream stay
    /// in order.
    pub jitter: (u64, u64),
    last_jittered: BTreeMap<(usize, usize), u64>,
    /// Streams that drop all messages until they are redialled.
    pub stalled: BTreeSet<(usize, usize)>,
    /// The processor capacity of entries that start from now on, thousandths of a core; keepers
    /// have 5 times as much.
    pub cores: u64,
    /// Whether instances that start from now on state their processor capacity.
    pub states_capacity: bool,
    /// The scheduling policy of instances that start from now on.
    pub policy: Policy,
    /// The job of each open client request, by ticket.
    tickets: BTreeMap<u64, Name>,
    queue: BinaryHeap<QueuedAction>,
    sequence: u64,
    /// The number of redials of each stream, which identifies its current connection.
    redial_counts: BTreeMap<(usize, usize), u64>,
    /// When the last message on a delayed stream arrives.
    last_arrival: BTreeMap<(usize, usize), u64>,
    seeds: Vec<Name>,
    /// The job from the environment variable `TRACE=ID`, whose outputs are printed.
    trace: Option<String>,
}

impl World {
    /// Creates zones with one keeper, `entries` entries and `upstreams` upstreams each.
    pub fn new(seed: u64, zones: usize, entries: usize, upstreams: usize) -> Self {
        Self::with_keepers(seed, zones, 1, entries, upstreams)
    }

    /// Creates zones with `keepers` keepers, `entries` entries and `upstreams` upstreams each.
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
            blocked_calls: BTreeSet::new(),
            announce_target: None,
            clock_skew: 0,
            message_delay: 0,
            save_time: 9 * MS,
            stream_delays: BTreeMap::new(),
            redial_loss: false,
            late_orders: 0,
            longest_lease: upstream::LONGEST_LEASE,
            answers_per_tick: None,
            answers_read: BTreeMap::new(),
            answer_lag: 0,
            breakdowns: Vec::new(),
            hold_loss: 0,
            faults: Vec::new(),
            crash_odds: 0,
            crashing: BTreeSet::new(),
            start_counts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            start_times: BTreeMap::new(),
            order_times: BTreeMap::new(),
            done: BTreeSet::new(),
            replies: Vec::new(),
            handling_time: BTreeMap::new(),
            links: link::Links::default(),
            streams: BTreeSet::new(),
            sent: BTreeMap::new(),
            log_counts: BTreeMap::new(),
            count_flows: false,
            flows: BTreeMap::new(),
            calls: BTreeMap::new(),
            redials: BTreeMap::new(),
            jitter: (0, 0),
            last_jittered: BTreeMap::new(),
            stalled: BTreeSet::new(),
            cores: 1_000,
            states_capacity: false,
            policy: Policy::default(),
            tickets: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            redial_counts: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            seeds: (0..zones).map(|z| Name::new(&format!("10.{z}.0.1:7"))).collect(),
            trace: std::env::var("TRACE").ok(),
        };
        for zone in 0..zones {
            for at in 0..keepers + entries {
                let role = if at < keepers { Role::Keeper } else { Role::Entry };
                let name = Name::new(&format!("10.{zone}.0.{}:7", at + 1));
                let capacity = Capacity::default();
                let card = Card { name, zone: zone_name(zone), role, incarnation: 0, capacity };
                let disk = (role == Role::Keeper).then(|| (Mirror::default(), 1));
                let instance = Instance {
                    card,
                    core: None,
                    frozen: false,
                    deferred: Vec::new(),
                    generation: 0,
                    disk,
                    known: Known::default(),
                    first_start: true,
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
        world.push(TICK_INTERVAL, Action::Tick);
        world
    }

    /// Returns the instances that schedule a zone.
    pub fn schedulers(&self, zone: usize) -> Vec<usize> {
        let zone = zone_name(zone);
        let schedules = |i: &Instance| i.core.as_ref().is_some_and(|core| core.schedules(&zone));
        let found = self.instances.iter().enumerate().filter(|(_, i)| schedules(i));
        found.map(|(at, _)| at).collect()
    }

    /// Runs the simulation for `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.queue.peek().is_some_and(|due| due.at <= end) {
            let Some(due) = self.queue.pop() else { break };
            self.now = self.now.max(due.at);
            self.step(due.action);
        }
        self.now = end;
    }

    /// Runs the simulation until an instance has logged a line with this text.
    pub fn run_until_logged(&mut self, text: &str) {
        while !self.log_counts.contains_key(text) {
            let Some(due) = self.queue.pop() else { return };
            self.now = self.now.max(due.at);
            self.step(due.action);
        }
    }

    fn step(&mut self, action: Action) {
        let target = match &action {
            Action::Deliver { to, .. } => Some(*to),
            Action::Answer { to, .. } | Action::Expire { to, .. } | Action::Saved { to, .. } => {
                Some(to.0)
            }
            Action::Opened { to, .. } => Some(to.0),
            _ => None,
        };
        if let Some(to) = target
            && self.instances[to].frozen
        {
            return self.instances[to].deferred.push(action);
        }
        match action {
            Action::Tick => self.tick(),
            Action::Deliver { to, from, stream, body } => {
                let broken = self.redial_counts.get(&(from, to)).is_some_and(|now| *now != stream);
                if !self.cuts.contains(&(from, to)) && !broken {
                    self.count_message(to, false, &body);
                    let name = self.instances[from].card.name.clone();
                    self.handle(to, Event::Peer(name, body));
                }
            }
            Action::LinkTurn { to } => {
                if let Some((duration, arrived)) = self.links.run_turn(to) {
                    let end = self.now + duration;
                    if let Some((from, stream, body)) = arrived {
                        self.push(
                            end + self.message_delay,
                            Action::Deliver { to, from, stream, body },
                        );
                    }
                    self.push(end, Action::LinkTurn { to });
                }
            }
            Action::Arrive { call, from } => self.arrive(call, from),
            Action::Answer { to, number, fence, outcome } => {
                let read = self.answers_read.entry(to.0).or_default();
                if self.answers_per_tick.is_some_and(|limit| *read >= limit) {
                    let action = Action::Answer { to, number, fence, outcome };
                    return self.push(self.now + TICK_INTERVAL, action);
                }
                *read += 1;
                if self.instances[to.0].generation == to.1 {
                    let took = 600;
                    let answer = Answer { number, fence, took, outcome };
                    self.handle(to.0, Event::Called(answer));
                }
            }
            Action::Expire { to, number, fence } => {
                if self.instances[to.0].generation == to.1 {
                    let (took, outcome) = (50 * MS, Outcome::Lost);
                    let answer = Answer { number, fence, took, outcome };
                    self.handle(to.0, Event::Called(answer));
                }
            }
            Action::Submit { id } => self.send_job(&id),
            Action::Crash { at, id } => self.crash_upstream(at, &id),
            Action::Restart { at, id } => {
                if self.upstreams[at].id == id {
                    self.upstreams[at].restart_as(&format!("{id}+"));
                    self.announce(at, Phase::Serving);
                }
            }
            Action::Opened { to, name } => {
                if self.instances[to.0].generation == to.1 {
                    self.handle(to.0, Event::Opened(name));
                }
            }
            Action::Saved { to, number } => {
                if self.instances[to.0].generation == to.1 {
                    self.handle(to.0, Event::Saved(number));
                }
            }
        }
    }

    fn tick(&mut self) {
        self.push(self.now + TICK_INTERVAL, Action::Tick);
        self.answers_read.clear();
        for at in 0..self.instances.len() {
            if !self.instances[at].frozen {
                self.handle(at, Event::Tick);
            }
        }
        for at in 0..self.upstreams.len() {
            if self.upstreams[at].is_up {
                let due = self.upstreams[at].tick(self.now);
                self.done.extend(self.upstreams[at].done.drain(..));
                for waiting in due {
                    let outcome = self.upstreams[at].list_tasks(self.now);
                    self.answer(at, waiting.call.number, waiting.call.fence, waiting.from, outcome);
                }
            }
        }
        self.check_duplicates();
        if (self.now / TICK_INTERVAL).is_multiple_of(50) {
            for at in 0..self.upstreams.len() {
                self.announce(at, Phase::Serving);
            }
        }
    }

    /// Records a fault for each task that runs more than once at the same time.
    fn check_duplicates(&mut self) {
        let mut running: BTreeMap<&Task, usize> = BTreeMap::new();
        for upstream in self.upstreams.iter().filter(|upstream| upstream.is_up) {
            for task in upstream.runs.keys() {
                *running.entry(task).or_default() += 1;
            }
        }
        let twice = running.into_iter().filter(|(_, count)| *count > 1);
        let twice: Vec<_> =
            twice.map(|(task, _)| format!("{} ms: two runs of {task:?}", self.now / MS)).collect();
        self.faults.extend(twice);
    }

    pub fn clock(&self) -> Now {
        Now::new(self.now, WALL_CLOCK_MS + self.now / MS)
    }

    fn push(&mut self, at: u64, action: Action) {
        self.sequence += 1;
        self.queue.push(QueuedAction { at, sequence: self.sequence, action });
    }
}

pub fn zone_name(zone: usize) -> Name {
    Name::new(&format!("zone-{zone}"))
}

/// Returns a random text of `bytes` bytes, which compresses hardly at all.
pub fn random_text(bytes: usize, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..bytes).map(|_| char::from(rng.random_range(b'!'..=b'~'))).collect()
}
