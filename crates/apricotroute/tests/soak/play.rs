//! Applies the plan of one seed to a system of real processes.

use std::{
    fs,
    io::Write as _,
    net, sync, thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use platform::standin;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde_json::json;

use super::{
    judge,
    load::{self, Observations},
    plan::{self, Fault, Size},
};
use crate::system::{self, System, TASK_CPU, UPSTREAM_CPU, agent, call, job};

/// A process has ended this long after SIGTERM: its grace period of 6 s and a margin for a busy
/// machine.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// The system has recovered this long after the last fault: a wiped disk is repaired, and
/// instances that had been disconnected have connected again.
const RECOVERY_TIME: Duration = Duration::from_secs(9);
/// How long the test observes the recovered system.
const OBSERVE_TIME: Duration = Duration::from_secs(3);
/// Number of clients in each zone.
const CLIENTS: usize = 4;
/// Mean pause between two requests of one client.
const CLIENT_PAUSE: Duration = Duration::from_millis(120);

/// A later step of a fault, such as its end.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    Restart(usize, Instant),
    Resume(usize),
    Unblock(usize, usize),
    EndDelay(usize),
    ResetBehavior(usize),
    RestoreRoom(usize),
    Replace(usize),
    EndLeave(usize),
}

struct Runner {
    system: System,
    size: Size,
    observed: sync::Arc<Observations>,
    rng: SmallRng,
    scheduled: Vec<(Instant, Step)>,
    threads: Vec<thread::JoinHandle<()>>,
    /// For each instance, the number of its current process; `None` while it is down.
    launches: sync::Arc<sync::Mutex<Vec<Option<u32>>>>,
    operators: Vec<net::SocketAddr>,
    /// For each upstream, the index of its current process in the system, and how many processes
    /// it had before.
    upstreams: Vec<(usize, u32)>,
    /// Whether upstreams keep their ids when they restart.
    keeps_ids: bool,
    /// The faults applied so far, with their times.
    timeline: Vec<String>,
    /// Start and end of each time in which instances or the connections between them were
    /// disturbed.
    disturbed: Vec<(Instant, Instant)>,
    began: Instant,
}

/// Runs the plan of a seed and checks the invariants.
///
/// # Panics
///
/// If an invariant is violated.
pub fn run(subnet: u8, seed: u64, size: Size, duration: Duration) {
    let mut runner = Runner::new(subnet, seed, size);
    runner.prepare();
    runner.start_load(seed);
    let start = Instant::now();
    for (at, fault) in plan::plan(seed, size, duration) {
        runner.wait(start + at);
        runner.apply(fault);
    }
    runner.wait(start + duration);
    runner.heal();
    let recovered = Instant::now();
    runner.apply(Fault::Leave(0));
    runner.wait(recovered + OBSERVE_TIME);
    runner.finish(seed, recovered);
}

impl Runner {
    fn new(subnet: u8, seed: u64, size: Size) -> Self {
        let zones = vec![(size.keepers, size.entries); size.zones];
        let layout = system::Layout { subnet, zones, has_relays: true };
        let system = System::with_sizes(layout, plan::sizes(seed));
        let operators = system.keepers().map(|at| system.operator(at)).collect();
        let launches = system.instances.iter().map(|instance| Some(instance.launches)).collect();
        Self {
            system,
            size,
            observed: sync::Arc::default(),
            rng: SmallRng::seed_from_u64(seed ^ 0x50a6),
            scheduled: Vec::new(),
            threads: Vec::new(),
            launches: sync::Arc::new(sync::Mutex::new(launches)),
            operators,
            upstreams: Vec::new(),
            keeps_ids: seed >= plan::SAME_ID_SEED,
            timeline: Vec::new(),
            disturbed: Vec::new(),
            began: Instant::now(),
        }
    }

    fn prepare(&mut self) {
        for zone in 0..self.size.zones {
            for _ in 0..self.size.upstreams {
                let upstream = self.upstreams.len();
                self.upstreams.push((upstream, 0));
                self.add_upstream(upstream, 0, zone, None);
            }
        }
        let first = load::config(self.observed.next_version(1), 0);
        load::publish(&self.observed, &self.operators, &first, &mut self.rng);
        self.system.wait_ready();
    }

    /// Adds an upstream that replaces `earlier` ones.
    fn add_upstream(
        &mut self,
        upstream: usize,
        earlier: u32,
        zone: usize,
        address: Option<net::SocketAddr>,
    ) {
        /// The wall clock of every other incarnation is set back by this time, milliseconds.
        const SET_BACK: u64 = 60_000;
        if !self.keeps_ids {
            return self.system.add_upstream(&format!("i-{upstream}-{earlier}"), zone, address);
        }
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = wall.as_millis() as u64 - u64::from(earlier % 2) * SET_BACK;
        self.system.add_incarnation(&format!("i-{upstream}"), zone, address, Some(born));
    }

    /// Starts the clients, the reader and the prober.
    fn start_load(&mut self, seed: u64) {
        for zone in 0..self.size.zones {
            let in_zone = |at: &usize| self.system.instances[*at].zone == zone;
            let entries = self.system.entries().filter(in_zone);
            let entries: Vec<_> = entries.map(|at| self.system.client(at)).collect();
            for number in 0..CLIENTS {
                let (observed, entries) = (sync::Arc::clone(&self.observed), entries.clone());
                let seed = seed * 1_000 + (zone * CLIENTS + number) as u64;
                let client = move || load::run_client(&observed, seed, &entries, CLIENT_PAUSE);
                self.threads.push(thread::spawn(client));
            }
        }
        let (observed, operators) = (sync::Arc::clone(&self.observed), self.operators.clone());
        self.threads.push(thread::spawn(move || load::run_reader(&observed, seed, &operators)));
        let entries = self.system.entries().map(|at| (at, self.system.client(at)));
        let entries: Vec<_> = entries.collect();
        let (observed, launches) =
            (sync::Arc::clone(&self.observed), sync::Arc::clone(&self.launches));
        self.threads.push(thread::spawn(move || {
            load::run_prober(&observed, &entries, &|at| launches.lock().unwrap()[at]);
        }));
    }

    fn record(&mut self, text: &str) {
        self.timeline.push(format!("{:>6} ms {text}", self.began.elapsed().as_millis()));
    }

    /// Waits until a given time, and runs the scheduled steps that become due meanwhile.
    fn wait(&mut self, until: Instant) {
        const INTERVAL: Duration = Duration::from_millis(10);
        loop {
            let now = Instant::now();
            let (due, later) = self.scheduled.drain(..).partition(|(at, _)| *at <= now);
            self.scheduled = later;
            for (_, step) in Vec::from_iter::<Vec<(Instant, Step)>>(due) {
                self.run_step(step);
            }
            self.check_exits();
            self.replace_crashed();
            if now >= until {
                return;
            }
            thread::sleep(INTERVAL);
        }
    }

    /// Reports and restarts instances whose process ended unexpectedly.
    fn check_exits(&mut self) {
        for at in 0..self.system.instances.len() {
            let stopping =
                |(_, step): &(Instant, Step)| matches!(step, Step::Restart(a, _) if *a == at);
            let expected = self.scheduled.iter().any(stopping);
            let Some(child) = &mut self.system.instances[at].child else { continue };
            if !expected && let Ok(Some(status)) = child.try_wait() {
                self.observed.record_violation(format!(
                    "the process of instance {at} ended unexpectedly: {status}"
                ));
                self.system.instances[at].child = None;
                self.scheduled.push((Instant::now(), Step::Start(at)));
            }
        }
    }

    /// Replaces the upstreams that a task has crashed.
    fn replace_crashed(&mut self) {
        for upstream in 0..self.upstreams.len() {
            let (at, _) = self.upstreams[upstream];
            if self.system.upstreams[at].has_crashed() {
                self.crash(upstream, Duration::from_millis(400));
            }
        }
    }

    /// Submits a job whose task crashes upstreams; the test does not check the answer.
    fn submit_fatal(&mut self, zone: usize) {
        let entries = self.system.entries().filter(|at| self.system.instances[*at].zone == zone);
        let entries: Vec<_> = entries.collect();
        let entry = entries[self.rng.random_range(0..entries.len())];
        let id = self.rng.random::<u64>();
        let url = format!("http://{}/board/{id:016x}", self.system.client(entry));
        let mut job = job(1);
        job["Spec"] = json!(standin::FATAL);
        self.threads.push(thread::spawn(move || {
            let _answer = call(&agent(), "POST", &url, job.to_string().as_bytes());
        }));
    }

    /// Whether an instance runs, is not suspended and has received no SIGTERM.
    fn is_up(&self, at: usize) -> bool {
        let pending = |(_, step): &(Instant, Step)| match step {
            Step::Start(other) | Step::Restart(other, _) | Step::Resume(other) => *other == at,
            _ => false,
        };
        self.system.instances[at].child.is_some() && !self.scheduled.iter().any(pending)
    }

    fn start(&mut self, at: usize) {
        self.system.start(at);
        self.launches.lock().unwrap()[at] = Some(self.system.instances[at].launches);
    }

    fn kill_each(&mut self, all: &[usize], down: Duration) {
        for at in all {
            let _killed = self.kill(*at, down);
        }
    }

    /// Kills an instance and schedules its restart after `down`; returns false if it is not up.
    fn kill(&mut self, at: usize, down: Duration) -> bool {
        if !self.is_up(at) {
            return false;
        }
        self.launches.lock().unwrap()[at] = None;
        self.system.kill(at);
        self.system.write_boot_file(at, false, &json!({}));
        self.scheduled.push((Instant::now() + down, Step::Start(at)));
        true
    }

    fn apply(&mut self, fault: Fault) {
        self.record(&format!("{fault:?}"));
        if let Some(time) = fault.disturbance() {
            let now = Instant::now();
            self.disturbed.push((now, now + time));
        }
        let all: Vec<_> = (0..self.system.instances.len()).collect();
        match fault {
            Fault::Kill(at, down) => self.kill_each(&[at], down),
            Fault::KillKeepers(down) => {
                let keepers: Vec<_> = self.system.keepers().collect();
                self.kill_each(&keepers, down);
            }
            Fault::KillAll => self.kill_each(&all, Duration::from_millis(200)),
            Fault::Term(at) if self.is_up(at) => {
                self.system.signal(at, "-TERM");
                self.scheduled
                    .push((Instant::now(), Step::Restart(at, Instant::now() + STOP_LIMIT)));
            }
            Fault::Suspend(at, time) if self.is_up(at) => {
                self.system.signal(at, "-STOP");
                self.scheduled.push((Instant::now() + time, Step::Resume(at)));
            }
            Fault::Hup(at, times) if self.is_up(at) => {
                for _ in 0..times {
                    self.system.signal(at, "-HUP");
                }
            }
            Fault::Term(_) | Fault::Suspend(..) | Fault::Hup(..) => {}
            Fault::Wipe(at) => {
                if self.kill(at, Duration::from_millis(500)) {
                    fs::remove_dir_all(self.system.data_folder(at)).unwrap();
                }
            }
            Fault::TornWrite(at) => {
                if self.kill(at, Duration::from_millis(300)) {
                    self.tear_log(at);
                }
            }
            Fault::ClockSkew(at, offset) => {
                if self.kill(at, Duration::from_millis(100)) {
                    self.system.write_boot_file(at, false, &json!({"clock_offset_ms": offset}));
                }
            }
            Fault::BlockOneWay(from, to, time) => self.block(&[from], &[to], time),
            Fault::Isolate(at, time) => self.isolate(&[at], time),
            Fault::IsolateZone(zone, time) => {
                let inside: Vec<_> =
                    all.into_iter().filter(|at| self.system.instances[*at].zone == zone).collect();
                self.isolate(&inside, time);
            }
            Fault::Delay(at, latency, time) => {
                for to in all {
                    self.system.faults.set_delay(at, to, latency);
                }
                self.scheduled.push((Instant::now() + time, Step::EndDelay(at)));
            }
            Fault::Reset(at) => self.system.faults.reset(at),
            Fault::Blackhole(at) => self.system.faults.blackhole(at),
            Fault::Crash(upstream) => self.crash(upstream, Duration::from_millis(400)),
            Fault::Leave(upstream) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].leave();
                self.scheduled
                    .push((Instant::now() + Duration::from_secs(3), Step::EndLeave(upstream)));
            }
            Fault::Fail(upstream, time) => {
                self.set_behavior(upstream, standin::Behavior::Failing, time);
            }
            Fault::Hang(upstream, time) => {
                self.set_behavior(upstream, standin::Behavior::Hanging, time);
            }
            Fault::Unresponsive(upstream, time) => {
                self.set_behavior(upstream, standin::Behavior::Unresponsive, time);
            }
            Fault::Shrink(upstream, time) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].set_capacity(TASK_CPU);
                self.scheduled.push((Instant::now() + time, Step::RestoreRoom(upstream)));
            }
            Fault::Fatal(zone) => self.submit_fatal(zone),
            Fault::Publish => self.publish(1),
            Fault::Race => self.publish(2),
            Fault::Invalid => {
                let to = self.operators[self.rng.random_range(0..self.operators.len())];
                let observed = sync::Arc::clone(&self.observed);
                self.threads.push(thread::spawn(move || load::publish_invalid(&observed, to)));
            }
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Start(at) => self.start(at),
            Step::Restart(at, until) => self.restart(at, until),
            Step::Resume(at) => self.system.signal(at, "-CONT"),
            Step::Unblock(from, to) => self.system.faults.set_blocked(from, to, false),
            Step::EndDelay(at) => {
                for to in 0..self.system.instances.len() {
                    self.system.faults.set_delay(at, to, Duration::ZERO);
                }
            }
            Step::ResetBehavior(upstream) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].set_behavior(standin::Behavior::Healthy);
            }
            Step::RestoreRoom(upstream) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].set_capacity(UPSTREAM_CPU);
            }
            Step::EndLeave(upstream) => self.crash(upstream, Duration::from_millis(400)),
            Step::Replace(upstream) => {
                let (at, earlier) = self.upstreams[upstream];
                let address = self.system.upstreams[at].address();
                self.upstreams[upstream] = (self.system.upstreams.len(), earlier + 1);
                let zone = upstream / self.size.upstreams;
                self.add_upstream(upstream, earlier + 1, zone, Some(address));
            }
        }
    }

    /// Starts an instance again once its process has ended after SIGTERM.
    fn restart(&mut self, at: usize, until: Instant) {
        let child = self.system.instances[at].child.as_mut().unwrap();
        match child.try_wait().unwrap() {
            Some(status) => {
                if !status.success() {
                    self.observed.record_violation(format!(
                        "instance {at} ended after SIGTERM with {status}"
                    ));
                }
                self.launches.lock().unwrap()[at] = None;
                self.system.write_boot_file(at, false, &json!({}));
                self.start(at);
            }
            None if Instant::now() > until => {
                self.observed
                    .record_violation(format!("instance {at} did not end in time after SIGTERM"));
                self.system.kill(at);
                self.start(at);
            }
            None => {
                let next = Instant::now() + Duration::from_millis(20);
                self.scheduled.push((next, Step::Restart(at, until)));
            }
        }
    }

    /// Appends random bytes to the newest file of a keeper's log, as after an unfinished write.
    fn tear_log(&mut self, at: usize) {
        let files =
            fs::read_dir(self.system.data_folder(at)).unwrap().map(|entry| entry.unwrap().path());
        let logs = files.filter(|path| path.extension().is_some_and(|end| end == "log"));
        let Some(newest) = logs.max() else { return };
        let mut file = fs::OpenOptions::new().append(true).open(newest).unwrap();
        let bytes: Vec<u8> = (0..self.rng.random_range(1..60)).map(|_| self.rng.random()).collect();
        file.write_all(&bytes).unwrap();
    }

    fn isolate(&mut self, inside: &[usize], time: Duration) {
        let all = 0..self.system.instances.len();
        let outside: Vec<_> = all.filter(|at| !inside.contains(at)).collect();
        self.block(inside, &outside, time);
        self.block(&outside, inside, time);
    }

    fn block(&mut self, from: &[usize], to: &[usize], time: Duration) {
        for a in from {
            for b in to.iter().filter(|b| *b != a) {
                self.system.faults.set_blocked(*a, *b, true);
                self.scheduled.push((Instant::now() + time, Step::Unblock(*a, *b)));
            }
        }
    }

    fn crash(&mut self, upstream: usize, down: Duration) {
        let replaced =
            |(_, step): &(Instant, Step)| matches!(step, Step::Replace(p) if *p == upstream);
        if self.scheduled.iter().any(replaced) {
            return;
        }
        let (at, _) = self.upstreams[upstream];
        self.system.upstreams[at].crash();
        self.scheduled.push((Instant::now() + down, Step::Replace(upstream)));
    }

    fn set_behavior(&mut self, upstream: usize, behavior: standin::Behavior, time: Duration) {
        let (at, _) = self.upstreams[upstream];
        self.system.upstreams[at].set_behavior(behavior);
        self.scheduled.push((Instant::now() + time, Step::ResetBehavior(upstream)));
    }

    /// Lets this many operators send different configurations under the next version.
    fn publish(&mut self, operators: u64) {
        let version = self.observed.next_version(self.rng.random_range(1..5));
        for mark in 0..operators {
            let (observed, to) = (sync::Arc::clone(&self.observed), self.operators.clone());
            let mut rng = SmallRng::seed_from_u64(self.rng.random());
            let config = load::config(version, mark);
            self.threads
                .push(thread::spawn(move || load::publish(&observed, &to, &config, &mut rng)));
        }
    }

    /// Ends all faults and waits until the system has recovered.
    fn heal(&mut self) {
        while !self.scheduled.is_empty() {
            let next = self.scheduled.iter().map(|(at, _)| *at).min().unwrap_or_else(Instant::now);
            self.wait(next);
        }
        self.system.faults.heal();
        self.record("all faults have ended");
        self.publish(1);
        self.wait(Instant::now() + RECOVERY_TIME);
    }

    fn finish(mut self, seed: u64, recovered: Instant) {
        let newest = self.observed.acknowledged_version(Instant::now());
        for at in self.system.keepers().collect::<Vec<_>>() {
            let (status, config) = self.system.read_config(at);
            if status != 200 || config["Version"].as_u64() < Some(newest) {
                self.observed.record_violation(format!(
                    "keeper {at} answered {status} {config}, expected version {newest} or later"
                ));
            }
        }
        self.observed.stopped.store(true, sync::atomic::Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        let runs: Vec<_> = self.system.upstreams.iter().map(standin::Standin::history).collect();
        for (at, upstream) in self.system.upstreams.iter().enumerate() {
            if let Some(leave) = upstream.leave_acked() {
                let id = format!("upstream {at}");
                judge::check_drained(&self.observed, &id, leave, &runs[at], &self.disturbed);
            }
        }
        let runs = judge::group_runs(runs.into_iter().flatten());
        judge::check_runs(&self.observed, &runs);
        judge::check_answers(&self.observed, &runs);
        judge::check_reads(&self.observed);
        let requests = self.observed.requests.lock().unwrap().clone();
        let (complete, all) = judge::count_complete(&requests, recovered);
        if complete * 100 < all * 95 || all == 0 {
            self.observed.record_violation(format!(
                "{complete} of {all} requests were complete after the recovery"
            ));
        }
        let violations = self.observed.violations.lock().unwrap().clone();
        if violations.is_empty() {
            eprintln!(
                "seed {seed}: {} requests, {complete} of {all} complete after the recovery",
                requests.len()
            );
            return;
        }
        let kept = self.system.folder.path().with_extension(format!("soak-{seed}"));
        let copied = fs::rename(self.system.folder.path(), &kept);
        panic!(
            "seed {seed}, logs in {} ({copied:?}):\n{}\n{}",
            kept.display(),
            self.timeline.join("\n"),
            violations.join("\n")
        );
    }
}
