//! Deterministic simulation of several cores and the messages between them, without a network or
//! a real clock.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections;

use coord::{
    config::Config,
    core::Core,
    event::{Done, Event, Finish, Output, Reply, Start},
    member::Instance,
    message::{Answer, Body, Spec, Verdict},
    mirror::Mirror,
    raft::Save,
    time::Now,
};
use state::{boot, id, name, tree, upstream};

/// The wall-clock time at the start, milliseconds.
pub const EPOCH: u64 = 1_800_000_000_000;
/// The service of all jobs.
pub const SERVICE: &str = "polish-board";
/// The time by which one tick advances the clocks of all instances, microseconds.
const STEP: u64 = 20_000;

/// The host of one instance: the core while it runs, and the disk.
#[derive(Debug)]
pub struct Host {
    pub core: Option<Core>,
    pub disk: Mirror,
    pub disk_id: u64,
    /// Numbered writes that are not on the disk yet.
    unsynced: Vec<(u64, Save)>,
    /// The last version of the settings.
    version: u64,
    frozen: bool,
}

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub body: Body,
}

/// The simulated instances, the messages in transit and the results so far.
#[derive(Debug)]
pub struct Net {
    pub instances: Vec<Instance>,
    pub hosts: Vec<Host>,
    pub in_transit: Vec<Envelope>,
    /// Running tasks: the owning instance, the attempt and the start.
    pub running: Vec<(usize, u64, Start)>,
    /// Stopped tasks, until the next tick ends them.
    stopped: Vec<(usize, u64, Start)>,
    /// The names of the instances that started each task.
    pub starts: collections::BTreeMap<String, Vec<String>>,
    pub verdicts: Vec<(String, Verdict)>,
    /// The version of each accepted change.
    pub accepted: collections::BTreeMap<uuid::Uuid, u64>,
    pub conflicts: collections::BTreeSet<uuid::Uuid>,
    pub log: Vec<String>,
    tickets: collections::BTreeMap<u64, Ticket>,
    /// Pairs of a sender and a receiver whose messages are dropped.
    cuts: collections::BTreeSet<(usize, usize)>,
    /// The monotonic time, microseconds.
    now: u64,
    incarnations: u64,
    /// The number of the last ticket or job id.
    last_number: u64,
}

#[derive(Clone, Debug)]
enum Ticket {
    Job(String),
    Change(uuid::Uuid),
    Other,
}

impl Net {
    /// Creates the given number of instances in each zone; the first `disks` of all have disks.
    pub fn new(zones: &[(&str, usize)], disks: usize) -> Self {
        let mut instances = Vec::new();
        for (zone, count) in zones {
            for number in 1..=*count {
                let name = name::Name::new(&format!("{zone}-{number}"));
                let has_disk = instances.len() < disks;
                instances.push(Instance { name, zone: name::Name::new(zone), has_disk });
            }
        }
        let mut net = Self {
            hosts: Vec::new(),
            in_transit: Vec::new(),
            running: Vec::new(),
            stopped: Vec::new(),
            starts: collections::BTreeMap::new(),
            verdicts: Vec::new(),
            accepted: collections::BTreeMap::new(),
            conflicts: collections::BTreeSet::new(),
            log: Vec::new(),
            tickets: collections::BTreeMap::new(),
            cuts: collections::BTreeSet::new(),
            now: 1,
            incarnations: 0,
            last_number: 0,
            instances,
        };
        for _ in 0..net.instances.len() {
            net.incarnations += 1;
            let disk_id = net.incarnations;
            net.hosts.push(Host {
                core: None,
                disk: Mirror::default(),
                disk_id,
                unsynced: Vec::new(),
                version: 0,
                frozen: false,
            });
        }
        for at in 0..net.hosts.len() {
            net.restart(at);
        }
        net
    }

    /// Returns the monotonic and the wall clock time.
    pub fn now(&self) -> Now {
        Now::new(self.now, EPOCH + self.now / 1_000)
    }

    /// Starts an instance from its disk, without its former state in memory.
    pub fn restart(&mut self, at: usize) {
        if self.hosts[at].core.is_some() {
            return;
        }
        self.incarnations += 1;
        let host = &self.hosts[at];
        let config = Config {
            me: self.instances[at].clone(),
            incarnation: self.incarnations,
            disk_incarnation: self.instances[at].has_disk.then_some(host.disk_id),
            all: self.instances.clone(),
            baselines: boot::Baselines::default(),
            seed: self.incarnations,
        };
        let core = Core::new(config, host.disk.recovered(), self.now());
        self.hosts[at].version = core.tree().version();
        self.hosts[at].core = Some(core);
        self.record(format!("{} starts", self.instances[at].name));
    }

    /// Crashes an instance. Its unsynced writes and its running tasks are lost.
    pub fn crash(&mut self, at: usize) {
        if self.hosts[at].core.take().is_some() {
            self.hosts[at].unsynced.clear();
            self.hosts[at].frozen = false;
            self.running.retain(|(owner, ..)| *owner != at);
            self.stopped.retain(|(owner, ..)| *owner != at);
            self.record(format!("{} dies", self.instances[at].name));
        }
    }

    /// Freezes an instance, as a long scheduling pause does, or unfreezes it.
    pub fn set_frozen(&mut self, at: usize, frozen: bool) {
        self.hosts[at].frozen = frozen;
        let verb = if frozen { "freezes" } else { "wakes" };
        self.record(format!("{} {verb}", self.instances[at].name));
    }

    /// Crashes an instance and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, at: usize) {
        self.crash(at);
        self.incarnations += 1;
        self.hosts[at].disk = Mirror::default();
        self.hosts[at].disk_id = self.incarnations;
        self.record(format!("{} loses its disk", self.instances[at].name));
    }

    /// Cuts or heals one direction of the link between two instances.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Cuts or heals both directions of the links between an instance and all others.
    pub fn set_isolated(&mut self, at: usize, cut: bool) {
        for other in (0..self.hosts.len()).filter(|other| *other != at) {
            self.set_cut(at, other, cut);
            self.set_cut(other, at, cut);
        }
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Passes an event to an instance and processes its outputs.
    pub fn handle(&mut self, at: usize, event: Event) {
        let now = self.now();
        if self.hosts[at].frozen {
            return;
        }
        let Some(core) = self.hosts[at].core.as_mut() else {
            return;
        };
        let outputs = core.handle(event, now);
        for output in outputs {
            self.apply(at, output);
        }
    }

    fn apply(&mut self, at: usize, output: Output) {
        match output {
            Output::Send(to, body) => {
                let to = self.instances.iter().position(|i| i.name == to).unwrap();
                self.in_transit.push(Envelope { from: at, to, body });
            }
            Output::Save(number, save) => self.hosts[at].unsynced.push((number, save)),
            Output::Start(start) => {
                assert!(start.lease > self.now, "a start without a lease");
                let task = format!("{}/{}", start.task.job, start.task.index);
                let owner = self.instances[at].name.to_string();
                self.starts.entry(task).or_default().push(owner);
                self.record(format!(
                    "{} starts task {}",
                    self.instances[at].name, start.task.index
                ));
                self.running.push((at, start.attempt, start));
            }
            Output::Stop(stop) => {
                let stopped = |(owner, attempt, _): &(usize, u64, Start)| {
                    *owner == at && *attempt == stop.attempt
                };
                if let Some(found) = self.running.iter().position(stopped) {
                    self.stopped.push(self.running.swap_remove(found));
                }
            }
            Output::Reply(ticket, reply) => self.record_reply(at, ticket, reply),
            Output::Settings => {
                let version = self.hosts[at].core.as_ref().map_or(0, |core| core.tree().version());
                assert!(version >= self.hosts[at].version, "the settings version decreased");
                self.hosts[at].version = version;
            }
            Output::ExcessLatency(..) => {}
            Output::Drained => self.record(format!("{} is drained", self.instances[at].name)),
        }
    }

    fn record_reply(&mut self, at: usize, ticket: u64, reply: Reply) {
        let request = self.tickets.remove(&ticket);
        let name = self.instances[at].name.clone();
        match (request, reply) {
            (Some(Ticket::Job(job)), Reply::Verdict(verdict)) => {
                self.record(format!("{name} answers: {}", summary(&verdict)));
                self.verdicts.push((job, verdict));
            }
            (Some(Ticket::Change(change)), Reply::Changed(outcome)) => {
                self.record(format!("{name} answers change: {outcome:?}"));
                self.record_outcome(change, outcome);
            }
            (Some(Ticket::Change(_)), Reply::Unknown(_)) => {
                self.record(format!("{name} answers change: unknown"));
            }
            _ => {}
        }
    }

    fn record_outcome(&mut self, change: uuid::Uuid, outcome: tree::Outcome) {
        match outcome {
            tree::Outcome::Accepted(version) => {
                assert!(!self.conflicts.contains(&change), "a change has two outcomes");
                let first = *self.accepted.entry(change).or_insert(version);
                assert_eq!(first, version, "a change was accepted with two versions");
            }
            tree::Outcome::Conflict(_) => {
                assert!(!self.accepted.contains_key(&change), "a change has two outcomes");
                self.conflicts.insert(change);
            }
        }
    }

    fn add_ticket(&mut self, ticket: Ticket) -> u64 {
        self.last_number += 1;
        self.tickets.insert(self.last_number, ticket);
        self.last_number
    }

    /// Submits a job of `tasks` tasks whose deadline is in `left_ms` milliseconds.
    pub fn submit(&mut self, at: usize, job: &id::JobId, tasks: usize, left_ms: u64) {
        let ticket = self.add_ticket(Ticket::Job(job.to_string()));
        self.handle(at, Event::Submit(ticket, spec(job, tasks, left_ms)));
    }

    /// Submits a change of the settings at `path`, for the version `base` if there is one.
    pub fn change(&mut self, at: usize, number: u128, base: Option<u64>, path: &str) {
        let change = uuid::Uuid::from_u128(number);
        let ticket = self.add_ticket(Ticket::Change(change));
        let values = format!("{{\"max_queue\": {}}}", number % 1_000);
        let path = name::Name::new(path);
        self.handle(at, Event::Change(ticket, tree::Change { change, base, path, values }));
    }

    /// Announces an upstream at an instance.
    pub fn announce(&mut self, at: usize, upstream: &str, slots: u32) {
        let ticket = self.add_ticket(Ticket::Other);
        let info = upstream::Upstream {
            name: name::Name::new(upstream),
            service: name::Name::new(SERVICE),
            zone: self.instances[at].zone.clone(),
            address: name::Name::new("127.0.0.1:1"),
            slots,
            phase: upstream::Phase::Serving,
            capacity: None,
            sequence: 0,
            number: 0,
        };
        self.handle(at, Event::Announce(ticket, info));
    }

    /// Ends a running task, selected by `at` modulo the number of running tasks.
    pub fn finish(&mut self, at: usize, ok: bool) {
        if self.running.is_empty() {
            return;
        }
        // A frozen instance processes the answers of its tasks only after it is unfrozen.
        if self.hosts[self.running[at % self.running.len()].0].frozen {
            return;
        }
        let run = self.running.swap_remove(at % self.running.len());
        self.end_run(run, ok);
    }

    /// Ends all running tasks with an answer, including those that start as a result.
    pub fn finish_all(&mut self) {
        while !self.running.is_empty() {
            self.finish(0, true);
        }
    }

    /// Crashes all instances at the same time and restarts them.
    pub fn restart_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.crash(at);
        }
        for at in 0..self.hosts.len() {
            self.restart(at);
        }
    }

    fn end_run(&mut self, run: (usize, u64, Start), ok: bool) {
        let (owner, _, start) = run;
        let body = format!("{}", start.task.index).into();
        let content_type = name::Name::new("application/json");
        let finish = if ok {
            Finish::Answer(Answer { body, content_type })
        } else {
            Finish::Failed("broken".to_owned())
        };
        let (task, attempt, upstream) = (start.task, start.attempt, start.upstream);
        let done = Done { task, attempt, upstream, took: 50_000, finish };
        self.handle(owner, Event::Done(done));
    }

    /// Delivers one message, or drops it if the link is cut. The message is selected by `at` modulo
    /// the number of messages in transit.
    pub fn deliver(&mut self, at: usize) {
        let envelope = self.in_transit.remove(at % self.in_transit.len());
        if !self.cuts.contains(&(envelope.from, envelope.to)) {
            let from = self.instances[envelope.from].name.clone();
            self.handle(envelope.to, Event::Peer(from, envelope.body));
        }
    }

    /// Syncs the disk of an instance.
    pub fn sync(&mut self, at: usize) {
        if self.hosts[at].frozen {
            return;
        }
        let unsynced = std::mem::take(&mut self.hosts[at].unsynced);
        let Some((last, _)) = unsynced.last() else {
            return;
        };
        let last = *last;
        for (_, save) in unsynced {
            self.hosts[at].disk.apply(save);
        }
        self.handle(at, Event::Saved(last));
    }

    /// Advances the time by one tick without delivering messages, and ends stopped tasks.
    pub fn tick(&mut self) {
        self.now += STEP;
        for at in 0..self.hosts.len() {
            self.handle(at, Event::Tick);
        }
        for run in std::mem::take(&mut self.stopped) {
            if self.hosts[run.0].frozen {
                self.stopped.push(run);
            } else {
                self.end_run(run, false);
            }
        }
    }

    /// Advances the time by `ms` milliseconds, delivers messages in order and syncs disks.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms * 1_000;
        while self.now < until {
            self.tick();
            self.settle();
        }
    }

    /// Delivers messages and syncs disks until no message is in transit.
    pub fn settle(&mut self) {
        const LIMIT: usize = 20_000;
        let mut count = 0;
        loop {
            for at in 0..self.hosts.len() {
                self.sync(at);
            }
            if self.in_transit.is_empty() {
                return;
            }
            while !self.in_transit.is_empty() {
                count += 1;
                assert!(
                    count < LIMIT,
                    "at least {LIMIT} messages, such as {:?}",
                    self.in_transit.last()
                );
                self.deliver(0);
            }
        }
    }

    /// Runs until all instances are ready, for at most `ms` milliseconds.
    pub fn run_until_ready(&mut self, ms: u64) {
        let until = self.now + ms * 1_000;
        let ready = |host: &Host| host.core.as_ref().is_none_or(Core::is_ready);
        while self.now < until && !self.hosts.iter().all(ready) {
            self.run(20);
        }
        for core in self.hosts.iter().filter_map(|host| host.core.as_ref()) {
            assert!(core.is_ready(), "not ready within {ms} ms: {}", self.groups());
        }
    }

    /// Returns the state of each group as reported by each instance.
    pub fn groups(&self) -> String {
        let now = self.now();
        let cores = self.hosts.iter().filter_map(|host| host.core.as_ref());
        let line = |core: &Core| {
            let status = core.status(now);
            let group = |g: &coord::status::Group| {
                let leader = g.leader.as_deref().unwrap_or("no leader");
                format!("  {} t{} c{} {leader} {}\n", g.group, g.term, g.commit, g.voters.join(" "))
            };
            let groups: String = status.groups.iter().map(group).collect();
            format!("{} members {}\n{groups}", status.instance, status.members.join(" "))
        };
        cores.map(line).collect()
    }

    /// Returns a new job id.
    pub fn new_job_id(&mut self, zone: &str) -> id::JobId {
        self.last_number += 1;
        new_job_id(zone, self.now().wall, self.last_number)
    }

    /// Asserts the invariants that must hold at any time.
    pub fn check_invariants(&self) {
        let duplicates: Vec<_> =
            self.starts.iter().filter(|(_, owners)| owners.len() > 1).collect();
        assert!(duplicates.is_empty(), "started twice: {duplicates:?}");
        let mut states = collections::BTreeMap::<_, collections::BTreeSet<_>>::new();
        for (job, verdict) in &self.verdicts {
            states.entry(job).or_default().insert(state(verdict));
            if let Verdict::Complete(answers) = verdict {
                for (index, answer) in answers.iter().enumerate() {
                    assert_eq!(
                        answer.body,
                        index.to_string(),
                        "the answer belongs to another task"
                    );
                }
            }
        }
        for (job, states) in states {
            let contradictory = states.contains("complete") && states.contains("failed");
            assert!(
                !contradictory,
                "{job} was reported as both complete and failed: {:#?}",
                self.log
            );
            let ran = self.starts.keys().any(|task| task.starts_with(&format!("{job}/")));
            // "Not run" refers to one submission. Another submission of the same job may be in
            // progress at another instance, or may have been lost with its instance.
            let open = |ticket: &Ticket| matches!(ticket, Ticket::Job(other) if other == job);
            let all_ended = !self.tickets.values().any(open);
            let misreported = ran && all_ended && states.len() == 1 && states.contains("not run");
            assert!(!misreported, "{job} was reported as not run, but it ran");
        }
    }

    /// Asserts that no accepted change is lost, once all links are healed and no message is in
    /// transit.
    pub fn check_changes(&self) {
        for (change, version) in &self.accepted {
            for host in self.hosts.iter().filter_map(|host| host.core.as_ref()) {
                let outcome = host.tree().outcome(*change);
                assert_eq!(
                    outcome,
                    Some(tree::Outcome::Accepted(*version)),
                    "an accepted change is lost"
                );
            }
        }
    }

    fn record(&mut self, line: impl std::fmt::Display) {
        let ms = self.now / 1_000;
        self.log.push(format!("{ms:>6} {line}"));
    }
}

/// Creates a submission.
pub fn spec(job: &id::JobId, tasks: usize, left_ms: u64) -> Spec {
    Spec {
        job: job.clone(),
        service: name::Name::new(SERVICE),
        team: None,
        left_ms,
        idempotent: false,
        needs: upstream::Resources::default(),
        tasks: (0..tasks).map(|index| index.to_string().into()).collect(),
        content_type: name::Name::new("application/json"),
        raw: false,
        trace: name::Name::new(""),
    }
}

/// Creates a job id with the creation time `wall`.
pub fn new_job_id(zone: &str, wall: u64, number: u64) -> id::JobId {
    let value = (u128::from(wall) << 80) | (7 << 76) | (2 << 62) | u128::from(number);
    id::JobId::new(&name::Name::new(zone), uuid::Uuid::from_u128(value))
}

/// Returns the job state that a verdict reports.
pub fn state(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Complete(_) => "complete",
        Verdict::Failed { .. } => "failed",
        Verdict::NotRun { .. } => "not run",
        Verdict::Unknown { .. } => "unknown",
        Verdict::Running => "running",
    }
}

fn summary(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Complete(answers) => format!("complete, {} answers", answers.len()),
        Verdict::Failed { why, .. } => format!("failed: {why}"),
        Verdict::NotRun { why, .. } => format!("not run: {why}"),
        Verdict::Unknown { why } => format!("unknown: {why}"),
        Verdict::Running => "running".to_owned(),
    }
}
