//! A stand-in executor: it carries out orders, holds leases on its own clock, guards its capacity
//! and records every run.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{proxy::Cut, record::Record, wire};

/// Longest lease, `MaxHoldMs`.
const MAX_HOLD_MS: u64 = 1_000;
/// Interval between heartbeats. It is shorter than `HeartbeatMs`, so that the system is ready sooner.
const BEAT: Duration = Duration::from_millis(500);

/// One run of a task, as the executor saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub executor: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

#[derive(Debug)]
struct Active {
    attempt: u64,
    cpu: u64,
    done_at: Instant,
    length: Duration,
    at: usize,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    until: u64,
    active: BTreeMap<String, Active>,
    last: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    sequence: u64,
    leaving: bool,
    runs: Vec<Run>,
}

/// What an executor announces.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub zone: String,
    /// Address that it announces.
    pub address: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub cpu: u64,
}

/// Processor of each task, in thousandths of a core, unless its specification says otherwise.
pub const TASK_CPU: u64 = 14_000;
/// How long an executor serves on after a keeper has acknowledged that it drains: `DrainMs`, and a
/// little longer.
const DRAIN: Duration = Duration::from_millis(2_100);

#[derive(Debug)]
pub struct Executor {
    identity: Identity,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    cut: Arc<Cut>,
}

impl Executor {
    /// Starts an executor that listens on `listen` and reports to `keepers`.
    pub fn start(
        identity: Identity,
        listen: SocketAddr,
        keepers: Vec<SocketAddr>,
        cut: Arc<Cut>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let (state, changed, start) = (Mutex::default(), Condvar::new(), Instant::now());
        let executor = Arc::new(Self { identity, start, state, changed, record, cut });
        let server = Arc::clone(&executor);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        let clock = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                clock.advance(&mut clock.lock());
            }
        });
        let reporter = Arc::clone(&executor);
        thread::spawn(move || reporter.report(&keepers));
        Ok(executor)
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Empties the executor, withdraws it and ends it.
    pub fn leave(&self, keeper: SocketAddr) -> io::Result<()> {
        self.lock().leaving = true;
        let id = &self.identity.id;
        let path = format!("/apricotroute/instances/{id}");
        let timeout = Duration::from_secs(1);
        let answer = wire::call(keeper, "PUT", &path, &[], &self.heartbeat(), timeout)?;
        self.record.line(&format!("{id} says that it drains, and gets {}", answer.status()));
        thread::sleep(DRAIN);
        let answer = wire::call(keeper, "DELETE", &path, &[], "", timeout)?;
        self.record.line(&format!("{id} withdraws, gets {}, and ends", answer.status()));
        self.cut.set(true);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Ends the runs whose time or lease is over.
    fn advance(&self, state: &mut State) {
        let (now, lapsed) = (Instant::now(), self.clock() >= state.until);
        let over = |run: &Active| lapsed || now >= run.done_at;
        let over: Vec<_> =
            state.active.iter().filter(|(_, run)| over(run)).map(|(task, _)| task.clone()).collect();
        for task in over {
            let is_done = now >= state.active[&task].done_at;
            self.end(state, &task, if is_done { "done" } else { "lapsed" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.active.remove(task) else { return };
        state.count += 1;
        state.ended.push((state.count, task.to_owned(), run.attempt, how));
        state.runs[run.at].ended = Some((Instant::now(), how));
        self.record.line(&format!("{} run {} of {task} ended: {how}", self.identity.id, run.attempt));
        self.changed.notify_all();
    }

    /// Returns the body of the next heartbeat.
    fn heartbeat(&self) -> String {
        let mut state = self.lock();
        state.sequence += 1;
        let (sequence, clock) = (state.sequence, self.clock());
        let Identity { zone, address, cpu, .. } = &self.identity;
        let (phase, left) =
            if state.leaving { ("draining", ",\"RemainingMs\":2000") } else { ("ready", "") };
        format!(
            "{{\"Service\":\"board\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":8,\"State\":\"{phase}\",\"ColdLeftMs\":0,\
             \"Capacity\":{{\"Cpu\":{cpu},\"MemMb\":65536,\"Gpu\":0}},\
             \"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":{clock},\"Sequence\":{sequence}{left}}}"
        )
    }

    fn report(&self, keepers: &[SocketAddr]) {
        loop {
            let (id, body) = (&self.identity.id, self.heartbeat());
            let path = format!("/apricotroute/instances/{id}");
            for keeper in keepers {
                if self.cut.is_on() {
                    break;
                }
                let timeout = Duration::from_secs(1);
                let answer = wire::call(*keeper, "PUT", &path, &[], &body, timeout);
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
            thread::sleep(BEAT);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = wire::read(&mut stream, &mut buffer)? {
            let expected = request.header("Apricotroute-Expect-Instance");
            if expected.is_some_and(|id| id != self.identity.id) {
                wire::respond(&mut stream, 421, &format!("{{\"ClockMs\":{}}}", self.clock()))?;
                continue;
            }
            let path = request.first.split(' ').nth(1).unwrap_or_default();
            let (status, body) = match path {
                "/apricotroute/run-start" => self.run_start(&request.body),
                "/apricotroute/run-stop" => self.run_stop(&request.body),
                "/apricotroute/hold" => self.hold(&request.body),
                "/health" => (200, self.plain()),
                _ => (404, self.plain()),
            };
            wire::respond(&mut stream, status, &body)?;
        }
        Ok(())
    }

    fn plain(&self) -> String {
        format!("{{\"ClockMs\":{}}}", self.clock())
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"ClockMs\":{},\"Reason\":\"{reason}\"}}", self.clock()))
    }

    /// Takes the fencing token of an order; returns false if it is a lower one.
    fn is_allowed(&self, state: &mut State, body: &str) -> bool {
        let fence = wire::number(body, "Fence").unwrap_or(0);
        state.fence = state.fence.max(fence);
        fence == state.fence
    }

    fn renew(&self, state: &mut State, body: &str) {
        if let Some(until) = wire::number(body, "UntilMs") {
            state.until = state.until.max(until.min(self.clock() + MAX_HOLD_MS));
        }
    }

    fn run_start(&self, body: &str) -> (u16, String) {
        let mut state = self.lock();
        self.advance(&mut state);
        let task = wire::member(body, "Task").unwrap_or_default().to_owned();
        let attempt = wire::number(body, "Attempt").unwrap_or(0);
        if !self.is_allowed(&mut state, body) {
            return self.refusal("fence");
        }
        if wire::number(body, "UntilMs").is_none_or(|until| until <= self.clock()) {
            return self.refusal("late");
        }
        self.renew(&mut state, body);
        if state.active.get(&task).is_some_and(|run| run.attempt == attempt) {
            return (200, self.plain());
        }
        let is_old = state.last.get(&task).is_some_and(|last| attempt <= *last);
        if is_old || state.active.contains_key(&task) {
            return self.refusal("old");
        }
        // The specification is the length of the work in milliseconds, and for each step after a
        // space the processor of its tasks.
        let mut words = wire::member(body, "Spec").unwrap_or_default().split(' ');
        let length = words.next().and_then(|word| word.parse().ok()).unwrap_or(100);
        let step = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        let cpu = words.nth(step).and_then(|word| word.parse().ok()).unwrap_or(TASK_CPU);
        let taken: u64 = state.active.values().map(|run| run.cpu).sum();
        if taken + cpu > self.identity.cpu {
            return self.refusal("room");
        }
        let (began, at) = (Instant::now(), state.runs.len());
        let length = Duration::from_millis(length);
        state.last.insert(task.clone(), attempt);
        state.active.insert(task.clone(), Active { attempt, cpu, done_at: began + length, length, at });
        let executor = self.identity.id.clone();
        self.record.line(&format!("{executor} run {attempt} of {task} begins"));
        state.runs.push(Run { executor, began, ended: None });
        (200, self.plain())
    }

    fn run_stop(&self, body: &str) -> (u16, String) {
        let mut state = self.lock();
        self.advance(&mut state);
        if !self.is_allowed(&mut state, body) {
            return self.refusal("fence");
        }
        let task = wire::member(body, "Task").unwrap_or_default().to_owned();
        let attempt = wire::number(body, "Attempt").unwrap_or(0);
        let last = state.last.entry(task.clone()).or_default();
        *last = (*last).max(attempt);
        if state.active.get(&task).is_some_and(|run| run.attempt <= attempt) {
            self.end(&mut state, &task, "stopped");
        }
        (200, self.plain())
    }

    fn hold(&self, body: &str) -> (u16, String) {
        let mut state = self.lock();
        self.advance(&mut state);
        if !self.is_allowed(&mut state, body) {
            return self.refusal("fence");
        }
        self.renew(&mut state, body);
        let seen = wire::number(body, "LastSeen").unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(wire::number(body, "WaitMs").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        while state.ended.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        self.advance(&mut state);
        let now = Instant::now();
        let row = |(task, run): (&String, &Active)| {
            let left = run.done_at.saturating_duration_since(now).as_secs_f64();
            let percent = 100.0 - 100.0 * left / run.length.as_secs_f64().max(1e-3);
            format!("[\"{task}\",{},\"\",{},{}]", run.attempt, percent as u64, run.cpu)
        };
        let running: Vec<_> = state.active.iter().map(row).collect();
        let row = |(number, task, attempt, how): &(u64, String, u64, &str)| {
            format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
        };
        let ended: Vec<_> = state.ended.iter().take(500).map(row).collect();
        let (running, ended) = (running.join(","), ended.join(","));
        let clock = self.clock();
        (200, format!("{{\"ClockMs\":{clock},\"Running\":[{running}],\"Ended\":[{ended}]}}"))
    }
}
