//! Random jobs of one to four steps under random faults, and checks of what the executors and the
//! clients have seen. It found the case `twice`, and is no case itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Attempt, Clients, Job, Step},
    executor::{Executor, Mode, Options, RunRecord},
    http,
    record::Record,
    system::{self, System},
};

const EXECUTORS_PER_ZONE: usize = 5;
const CLIENTS: u64 = 24;
const EXECUTOR_CPU: u64 = 32_000;
/// Bounds of the pages, with some time for messages.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);
const EVACUATE: Duration = Duration::from_millis(5_200);
const DRAIN: Duration = Duration::from_millis(2_100);
const RETRANSMIT: Duration = Duration::from_millis(1_300);

/// What a run plays beside kills, stops and troubles of executors.
#[derive(Clone, Copy, Debug, Default)]
pub struct Modes {
    /// Zones and nodes are cut off.
    pub cuts: bool,
    /// Orders are carried out late.
    pub late: bool,
    /// Zones are evacuated, and executors leave.
    pub operator: bool,
    /// The number of zones, 3 unless the words say otherwise.
    pub zones: usize,
}

impl Modes {
    pub fn parse(words: &[String]) -> Self {
        let has = |word: &str| words.iter().any(|other| other == word);
        let zones = if has("one-zone") { 1 } else { if has("two-zones") { 2 } else { 3 } };
        Self { cuts: has("cuts"), late: has("late"), operator: has("operator"), zones }
    }
}

/// A small generator of random numbers.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mixed = self.0 ^ (self.0 >> 33);
        mixed.wrapping_mul(0xff51_afd7_ed55_8ccd) ^ (mixed >> 29)
    }

    fn below(&mut self, count: u64) -> u64 {
        (self.next() >> 11) % count.max(1)
    }

    fn range(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.range(from, to))
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn pick<'a, T>(&mut self, list: &'a [T]) -> &'a T {
        &list[self.below(list.len() as u64) as usize]
    }
}

fn random_job(rng: &mut Rng) -> Job {
    let id = format!("{:016x}", rng.next());
    let steps = (0..rng.range(1, 4) as usize).map(|at| {
        let after = match at {
            0 => Vec::new(),
            _ if rng.chance(60) => vec![at - 1],
            _ => (0..at).filter(|_| rng.chance(50)).collect(),
        };
        Step {
            count: rng.range(1, 5) as u32,
            cpu: rng.range(4, 20) * 1_000,
            ms: rng.range(30, 700),
            after,
            spread: if rng.chance(35) { rng.range(1, 2) as u32 } else { 0 },
            label: if rng.chance(25) { "x".to_owned() } else { String::new() },
        }
    });
    let steps = steps.collect();
    Job { id, steps, deadline: rng.millis(1_500, 12_000) }
}

type Later = Box<dyn FnOnce(&mut System) + Send>;
type Jobs = Arc<Mutex<BTreeMap<String, Job>>>;
/// Evacuations: zone, acknowledgement, and when it was first taken back.
type Evacuations = Arc<Mutex<Vec<(usize, Instant, Option<Instant>)>>>;

struct Soak {
    seed: u64,
    modes: Modes,
    rng: Rng,
    record: Record,
    system: System,
    runs: Arc<Mutex<Vec<RunRecord>>>,
    executors: Vec<Arc<Executor>>,
    /// Executors that leave or have left.
    leaving: Vec<(Arc<Executor>, Instant)>,
    left: Vec<Arc<Executor>>,
    added: usize,
    pending: Vec<(Instant, Later)>,
    faults: Vec<String>,
}

/// Plays one seed and prints what was broken.
pub fn run(record: &Path, seed: u64, seconds: u64, modes: Modes) -> i32 {
    let record = Record::create(record);
    let system = System::start(
        modes.zones,
        4 - modes.zones,
        2 + 2 / modes.zones,
        modes.cuts,
        record.clone(),
    );
    let mut soak = Soak {
        seed,
        modes,
        rng: Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 77),
        record: record.clone(),
        system,
        runs: Arc::default(),
        executors: Vec::new(),
        leaving: Vec::new(),
        left: Vec::new(),
        added: 0,
        pending: Vec::new(),
        faults: Vec::new(),
    };
    if !soak.system.publish(&system::config(1, soak.enforces()), Duration::from_secs(20)) {
        return 2;
    }
    for zone in 0..modes.zones {
        for _ in 0..EXECUTORS_PER_ZONE {
            soak.add_executor(zone);
        }
    }
    if !soak.system.wait_ready(Duration::from_secs(20)) {
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    let (clients, jobs, stop) = (Clients::new(record.clone()), Jobs::default(), Arc::default());
    let evacuations = Evacuations::default();
    let workers: Vec<_> =
        (0..CLIENTS).map(|at| soak.start_client(at, &clients, &jobs, &stop)).collect();
    if modes.operator {
        soak.start_operator(&evacuations, &stop);
    }
    soak.play(Duration::from_secs(seconds));
    stop.store(true, atomic::Ordering::Relaxed);
    for worker in workers {
        let _ended = worker.join();
    }
    thread::sleep(Duration::from_millis(3_500));
    let runs = soak.runs.lock().unwrap().clone();
    let attempts = clients.attempts.lock().unwrap().clone();
    let jobs = jobs.lock().unwrap().clone();
    check_runs(&runs, &jobs, &record, &mut soak.faults);
    check_answers(&runs, &attempts, &jobs, &record, &mut soak.faults);
    soak.check_operator(&runs, &evacuations.lock().unwrap().clone());
    soak.report(&runs, &attempts, jobs.len())
}

impl Soak {
    /// Whether the executors refuse what does not fit.
    fn enforces(&self) -> bool {
        self.seed % 3 == 0
    }

    fn add_executor(&mut self, zone: usize) {
        self.added += 1;
        let kind = if self.added % 2 == 0 { "x" } else { "y" };
        let options = Options {
            id: format!("i-{}-{}", self.seed, self.added),
            service: system::SERVICE.to_owned(),
            zone: system::zone_name(zone),
            cpu: EXECUTOR_CPU,
            labels: vec![kind.to_owned(), format!("r{zone}-{}", self.added % 3)],
            guards: self.enforces(),
            keepers: self.system.operators(),
        };
        let runs = Arc::clone(&self.runs);
        self.executors.push(Executor::start(options, runs, self.record.clone()));
    }

    fn start_client(
        &self,
        number: u64,
        clients: &Clients,
        jobs: &Jobs,
        stop: &Arc<atomic::AtomicBool>,
    ) -> thread::JoinHandle<()> {
        let (clients, jobs, stop) = (clients.clone(), Arc::clone(jobs), Arc::clone(stop));
        let entries: Vec<_> =
            self.system.entries().into_iter().map(|at| self.system.client(at)).collect();
        let mut rng = Rng(self.seed * 1_000 + number + 5);
        thread::spawn(move || {
            while !stop.load(atomic::Ordering::Relaxed) {
                let job = random_job(&mut rng);
                jobs.lock().unwrap().insert(job.id.clone(), job.clone());
                if rng.chance(15) {
                    let (clients, id) = (clients.clone(), job.id.clone());
                    let (entry, wait) = (*rng.pick(&entries), rng.millis(20, 1_500));
                    thread::spawn(move || {
                        thread::sleep(wait);
                        let is_clear = |answer: Attempt| matches!(answer.status, 200 | 410);
                        while !is_clear(clients.cancel(&id, entry)) {
                            thread::sleep(Duration::from_millis(300));
                        }
                    });
                }
                for _ in 0..3 {
                    let leaves = rng.chance(10).then(|| rng.millis(50, 900));
                    let patience = leaves.unwrap_or(job.deadline).min(job.deadline);
                    let answer = clients.submit_within(&job, *rng.pick(&entries), patience);
                    if !matches!(answer.status, 0 | 502 | 504) {
                        break;
                    }
                    thread::sleep(RETRANSMIT);
                }
                thread::sleep(rng.millis(10, 300));
            }
        })
    }

    /// Evacuates a zone and takes that back, again and again.
    fn start_operator(&self, evacuations: &Evacuations, stop: &Arc<atomic::AtomicBool>) {
        let (evacuations, stop) = (Arc::clone(evacuations), Arc::clone(stop));
        let (keepers, record) = (self.system.operators(), self.record.clone());
        let mut rng = Rng(self.seed * 77 + 1);
        let zones = self.modes.zones as u64;
        thread::spawn(move || {
            while !stop.load(atomic::Ordering::Relaxed) {
                thread::sleep(rng.millis(500, 4_000));
                let zone = rng.below(zones) as usize;
                if send_order(&keepers, "POST", zone, &mut rng) {
                    record.write("evacuate", &format!("{} acknowledged", system::zone_name(zone)));
                    evacuations.lock().unwrap().push((zone, Instant::now(), None));
                    thread::sleep(rng.millis(500, 12_000));
                }
                let sent = Instant::now();
                if let Some(last) = evacuations.lock().unwrap().last_mut() {
                    last.2.get_or_insert(sent);
                }
                while !send_order(&keepers, "DELETE", zone, &mut rng) {}
                record.write("evacuate", &format!("{} taken back", system::zone_name(zone)));
            }
        });
    }

    /// Plays faults for `time` and ends them.
    fn play(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut next = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let due: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, then) in due {
                then(&mut self.system);
            }
            self.restart_ended();
            if self.modes.operator {
                self.move_leavers(now);
            }
            if now >= next {
                next = now + self.rng.millis(200, 3_500);
                self.trouble(now);
                if self.modes.operator && self.rng.chance(25) {
                    next = now + Duration::from_secs(9);
                }
            }
        }
        for (_, then) in std::mem::take(&mut self.pending) {
            then(&mut self.system);
        }
    }

    /// Restarts processes that have ended by themselves, and counts each.
    fn restart_ended(&mut self) {
        for at in 0..self.system.nodes.len() {
            if self.system.has_ended(at) {
                self.faults.push(format!("ENDED {}", self.system.nodes[at].name));
                self.system.kill(at);
                self.system.launch(at);
            }
        }
    }

    fn move_leavers(&mut self, now: Instant) {
        if self.rng.chance(1) && self.leaving.len() < 3 {
            let executor = self.take_executor();
            self.record.write("exec", &format!("{} leaves", executor.options.id));
            executor.leave();
            let end = now + self.rng.millis(5_000, 9_000);
            self.leaving.push((executor, end));
        }
        for (executor, _) in self.leaving.extract_if(.., |(_, at)| *at <= now) {
            executor.crash();
            self.left.push(executor);
        }
    }

    /// Removes an executor, for which a new one comes.
    fn take_executor(&mut self) -> Arc<Executor> {
        let at = self.rng.below(self.executors.len() as u64) as usize;
        let executor = self.executors.remove(at);
        let is_zone = |zone: &usize| system::zone_name(*zone) == executor.options.zone;
        self.add_executor((0..self.modes.zones).find(is_zone).unwrap_or(0));
        executor
    }

    fn trouble(&mut self, now: Instant) {
        let node = self.rng.below(self.system.nodes.len() as u64) as usize;
        match self.rng.below(if self.modes.cuts { 18 } else { 12 }) {
            0..=3 if self.system.is_running(node) => {
                self.system.kill(node);
                self.later(now, (150, 2_500), Box::new(move |system| system.launch(node)));
            }
            4..=6 if self.system.is_running(node) => {
                self.system.signal(node, "-STOP");
                self.later(now, (200, 3_500), Box::new(move |system| system.signal(node, "-CONT")));
            }
            7..=9 => {
                let is_late = self.modes.late && self.rng.chance(70);
                let broken = if self.rng.chance(50) { Mode::Cut } else { Mode::Mute };
                let mode = if is_late { Mode::Late } else { broken };
                for _ in 0..self.rng.range(1, 3) {
                    let executor = Arc::clone(self.rng.pick(&self.executors));
                    executor.set_mode(mode);
                    let (record, id) = (self.record.clone(), executor.options.id.clone());
                    record.write("exec", &format!("{id} {mode:?}"));
                    let end = move |_: &mut System| {
                        executor.set_mode(Mode::Sound);
                        record.write("exec", &format!("{id} sound"));
                    };
                    self.later(now, (60, 3_000), Box::new(end));
                }
            }
            10 => {
                let executor = self.take_executor();
                self.record.write("exec", &format!("{} crashes", executor.options.id));
                executor.crash();
                self.left.push(executor);
            }
            11 => {
                for at in self.system.keepers() {
                    self.system.kill(at);
                    self.later(now, (200, 1_000), Box::new(move |system| system.launch(at)));
                }
            }
            12..=14 => {
                let zone = self.rng.below(self.modes.zones as u64) as usize;
                let (inside, outside) = self.system.split_by_zone(zone);
                let set = move |system: &mut System, is_cut| {
                    inside.iter().for_each(|at| system.set_cut(*at, &outside, is_cut));
                };
                set(&mut self.system, true);
                self.later(now, (200, 5_500), Box::new(move |system| set(system, false)));
            }
            15.. => {
                let all = (0..self.system.nodes.len()).collect();
                let others = if self.rng.chance(50) { all } else { self.system.keepers() };
                self.system.set_cut(node, &others, true);
                let end = move |system: &mut System| system.set_cut(node, &others, false);
                self.later(now, (200, 5_500), Box::new(end));
            }
            _ => {}
        }
    }

    fn later(&mut self, now: Instant, (from, to): (u64, u64), then: Later) {
        self.pending.push((now + self.rng.millis(from, to), then));
    }

    /// Checks evacuations and draining executors, also while machines are not in touch.
    fn check_operator(
        &mut self,
        runs: &[RunRecord],
        evacuations: &[(usize, Instant, Option<Instant>)],
    ) {
        let leaving = self.leaving.iter().map(|(executor, _)| executor);
        let gone: Vec<_> = self.left.iter().chain(leaving).collect();
        let seconds = |at: Instant| self.record.seconds(at);
        for run in runs {
            let mut all = self.executors.iter().chain(gone.iter().copied());
            let Some(executor) = all.find(|other| other.options.id == run.executor) else {
                continue;
            };
            let is_kept = |(zone, acked, back): &&(usize, Instant, Option<Instant>)| {
                system::zone_name(*zone) == executor.options.zone
                    && run.began > *acked + EVACUATE
                    && back.is_none_or(|back| run.began < back)
            };
            if let Some((_, acked, _)) = evacuations.iter().find(is_kept) {
                let (at, acked) = (seconds(run.began), seconds(*acked));
                self.faults.push(format!("EVAC {} {at:.3}, acknowledged {acked:.3}", run.task));
            }
            let acked = executor.leave_acked().filter(|acked| run.began > *acked + DRAIN);
            if let Some(acked) = acked {
                let (at, acked) = (seconds(run.began), seconds(acked));
                self.faults.push(format!("DRAIN {} {at:.3}, acknowledged {acked:.3}", run.task));
            }
        }
    }

    fn report(&self, runs: &[RunRecord], attempts: &[Attempt], jobs: usize) -> i32 {
        let posts = attempts.iter().filter(|attempt| attempt.method == "POST");
        let served = posts.filter(|attempt| attempt.status == 200).count();
        let mut kinds = BTreeMap::<&str, usize>::new();
        for fault in &self.faults {
            self.record.write("FAULT", fault);
            *kinds.entry(fault.split(' ').next().unwrap_or_default()).or_default() += 1;
        }
        let (seed, modes) = (self.seed, self.modes);
        println!(
            "seed {seed}, {modes:?}: {jobs} jobs, {served} served, {} runs; {kinds:?}",
            runs.len()
        );
        i32::from(!self.faults.is_empty())
    }
}

/// Sends an order for a zone, follows redirects twice, and tries other keepers.
fn send_order(keepers: &[SocketAddr], method: &str, zone: usize, rng: &mut Rng) -> bool {
    for _ in 0..6 {
        let mut to = *rng.pick(keepers);
        let mut path = format!("/apricotroute/evacuations/{}", system::zone_name(zone));
        for _ in 0..3 {
            let Ok(answer) = http::call(to, method, &path, &[], "", Duration::from_secs(1)) else {
                break;
            };
            if answer.status == 200 {
                return true;
            }
            let location = answer.header("Location").filter(|_| answer.status == 307);
            let parts = location.and_then(|at| at.strip_prefix("http://")?.split_once('/'));
            let Some((host, rest)) = parts else { break };
            to = host.parse().unwrap_or(to);
            path = format!("/{rest}");
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// The parts of a task's name: job, step and index.
fn parts(task: &str) -> (&str, usize, u32) {
    let mut words = task.split('.');
    let job = words.next().unwrap_or_default();
    let mut numbers = words.skip(1).map(|word| word.parse::<u32>().unwrap_or(0));
    (job, numbers.next().unwrap_or(0) as usize, numbers.next().unwrap_or(0))
}

fn is_done_by(runs: &[RunRecord], task: &str, at: Instant) -> bool {
    let is_done = |run: &RunRecord| run.ended.is_some_and(|(end, how)| how == "done" && end <= at);
    runs.iter().any(|run| run.task == task && is_done(run))
}

/// Checks LIMIT, UNASKED (unknown jobs), ROUTE, ORDER and TWICE.
fn check_runs(
    runs: &[RunRecord],
    jobs: &BTreeMap<String, Job>,
    record: &Record,
    faults: &mut Vec<String>,
) {
    let mut by_task = BTreeMap::<&str, Vec<&RunRecord>>::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
        let (at, task, executor) = (record.seconds(run.began), &run.task, &run.executor);
        if run.over {
            faults.push(format!("LIMIT {at:.3} {task} at {executor}"));
        }
        let (id, step, _) = parts(task);
        let Some(job) = jobs.get(id) else {
            faults.push(format!("UNASKED {at:.3} {task}"));
            continue;
        };
        let asked = &job.steps[step];
        if asked.spread > 0 && run.beside > asked.spread as usize {
            faults.push(format!("ROUTE {at:.3} {task} is one of {} at {executor}", run.beside));
        }
        for before in &asked.after {
            for index in 0..job.steps[*before].count {
                if !is_done_by(runs, &format!("{id}.0.{before}.{index}"), run.began) {
                    faults.push(format!("ORDER {at:.3} {task} before {before}.{index}"));
                }
            }
        }
    }
    for list in by_task.values() {
        for (at, one) in list.iter().enumerate() {
            let end = one.ended.map(|(end, _)| end);
            for other in
                list[at + 1..].iter().filter(|other| end.is_none_or(|end| other.began < end))
            {
                let (from, again) = (record.seconds(one.began), record.seconds(other.began));
                let until = end.map_or(f64::INFINITY, |end| record.seconds(end));
                let (task, first, second) = (&one.task, &one.executor, &other.executor);
                faults.push(format!(
                    "TWICE {task} at {first} {from:.3} to {until:.3} and at {second} {again:.3}"
                ));
            }
        }
    }
}

/// Checks REFUSED, MIXED and UNASKED (cancelled jobs).
fn check_answers(
    runs: &[RunRecord],
    attempts: &[Attempt],
    jobs: &BTreeMap<String, Job>,
    record: &Record,
    faults: &mut Vec<String>,
) {
    for (id, job) in jobs {
        let of_job = attempts.iter().filter(|attempt| attempt.job == *id);
        let (posts, cancels): (Vec<_>, Vec<_>) = of_job.partition(|at| at.method == "POST");
        let mine: Vec<_> = runs.iter().filter(|run| parts(&run.task).0 == id).collect();
        let is_refused = |post: &&Attempt| matches!(post.status, 429 | 503);
        if !mine.is_empty() && !posts.is_empty() && posts.iter().all(is_refused) {
            faults.push(format!("REFUSED {id}"));
        }
        let is_completed = |post: &&&Attempt| post.status == 200 && post.state() == "completed";
        if let Some(post) = posts.iter().find(is_completed) {
            let steps = job.steps.iter().enumerate();
            let tasks = steps.flat_map(|(at, step)| (0..step.count).map(move |index| (at, index)));
            let names: BTreeSet<_> =
                tasks.map(|(step, index)| format!("{id}.0.{step}.{index}")).collect();
            let open = names.iter().filter(|name| !is_done_by(runs, name, post.ended));
            faults.extend(open.map(|name| format!("MIXED {name} is not done")));
        }
        // A try that follows the cancelling, or one that has ended before it, leaves it open what
        // was cancelled.
        let cancel = cancels.iter().find(|cancel| matches!(cancel.status, 200 | 410));
        let Some(cancel) = cancel.filter(|cancel| {
            posts.iter().all(|post| post.sent <= cancel.sent)
                && posts.iter().all(|post| post.ended >= cancel.sent || post.status == 0)
        }) else {
            continue;
        };
        let limit = cancel.ended + CANCEL;
        for run in mine {
            let goes_on = run.ended.is_none_or(|(end, _)| end > limit + STOP);
            if run.began > limit || goes_on {
                let (at, status) = (record.seconds(run.began), cancel.status);
                let answered = record.seconds(cancel.ended);
                faults.push(format!(
                    "CANCEL {} starts {at:.3}, cancelling answered {status} {answered:.3}",
                    run.task
                ));
            }
        }
    }
}
