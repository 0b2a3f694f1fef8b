//! A stand-in executor: the calls of PROTOCOL.md, "Running tasks" and "Service discovery", on
//! loopback.
//!
//! A task's `Spec` says how long it takes and how much processor it needs: `ms=400 cpu=14000`.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::Value,
    record::Record,
};

/// `MaxHoldMs`, milliseconds.
const MAX_HOLD: u64 = 1_000;
/// How long a stop takes; `StopMs` is 50.
const STOP_TIME: Duration = Duration::from_millis(20);
/// `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(5);

/// What an executor says of itself.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    /// Addresses of the nodes that serve `control`.
    pub control: Vec<SocketAddr>,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

#[derive(Debug)]
struct Active {
    attempt: u64,
    began: Instant,
    length: Duration,
    cpu: u64,
    stopped: Option<Instant>,
    /// Position in the history.
    at: usize,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Active>,
    /// Highest run of each task that was stopped or ended here.
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    history: Vec<Run>,
}

/// A running executor.
#[derive(Debug)]
pub struct Executor {
    options: Options,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Executor {
    /// Starts an executor on a free port.
    pub fn start(options: Options, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let executor = Arc::new(Self {
            options,
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let server = Arc::clone(&executor);
        http::serve(listener, Arc::new(move |request| server.handle(request)));
        let ticker = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticker.tick();
            }
        });
        let beats = Arc::clone(&executor);
        thread::spawn(move || beats.heartbeats(address));
        executor
    }

    /// Returns all runs so far.
    pub fn history(&self) -> Vec<Run> {
        self.state.lock().unwrap().history.clone()
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    fn heartbeats(&self, address: SocketAddr) {
        for sequence in 1_usize.. {
            let Options { id, service, zone, labels, cpu, control } = &self.options;
            let labels: Vec<_> = labels.iter().map(|label| format!("{label:?}")).collect();
            let body = format!(
                r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Capacity":{{"Cpu":{cpu},"MemMb":65536,"Gpu":0}},"Labels":[{}],"ClockMs":{},"Sequence":{sequence}}}"#,
                labels.join(","),
                self.clock(),
            );
            let path = format!("/apricotroute/instances/{id}");
            let second = Duration::from_secs(1);
            let acknowledged = (0..control.len()).any(|next| {
                let to = control[(sequence + next) % control.len()];
                let call = http::call("PUT", to, &to.to_string(), &path, &[], &body, second);
                (200..300).contains(&call.status())
            });
            // Until it is known it reports more often.
            thread::sleep(if acknowledged { HEARTBEAT } else { HEARTBEAT / 5 });
        }
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let expected = http::header(&request.headers, "apricotroute-expect-instance");
        if expected.is_some_and(|id| id != self.options.id) {
            return (421, "{}".to_owned());
        }
        let Some(order) = Value::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let Some(fence) = order.number("Fence") else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/apricotroute/run-start" => self.run_start(&mut state, &order),
            "/apricotroute/run-stop" => self.run_stop(&mut state, &order),
            "/apricotroute/hold" => {
                drop(state);
                self.hold(&order)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!(r#"{{"ClockMs":{},"Reason":"{reason}"}}"#, self.clock()))
    }

    fn done(&self) -> (u16, String) {
        (200, format!(r#"{{"ClockMs":{}}}"#, self.clock()))
    }

    fn extend(&self, state: &mut State, until: u64) {
        state.lease = state.lease.max(until.min(self.clock() + MAX_HOLD));
    }

    fn run_start(&self, state: &mut State, order: &Value) -> (u16, String) {
        let (Some(task), Some(attempt), Some(until)) =
            (order.text("Task"), order.number("Attempt"), order.number("UntilMs"))
        else {
            return (400, "{}".to_owned());
        };
        let spec = order.text("Spec").unwrap_or_default();
        let number = |key: &str| -> Option<u64> {
            spec.split(' ').find_map(|word| word.strip_prefix(key)?.parse().ok())
        };
        let (Some(length), Some(cpu)) = (number(&format!("{}.ms=", step(task))), number("cpu="))
        else {
            return (400, "{}".to_owned());
        };
        if until <= self.clock() {
            return self.refuse("late");
        }
        self.extend(state, until);
        if let Some(run) = state.running.get(task) {
            return if run.attempt == attempt { self.done() } else { self.refuse("old") };
        }
        if state.highest.get(task).is_some_and(|highest| attempt <= *highest) {
            return self.refuse("old");
        }
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.options.cpu {
            return self.refuse("room");
        }
        let (began, at) = (Instant::now(), state.history.len());
        let length = Duration::from_millis(length);
        let active = Active { attempt, began, length, cpu, stopped: None, at };
        state.running.insert(task.to_owned(), active);
        state.history.push(Run { task: task.to_owned(), began, ended: None });
        self.record.add(format!("{} starts {task}, run {attempt}", self.options.id));
        self.done()
    }

    fn run_stop(&self, state: &mut State, order: &Value) -> (u16, String) {
        let (Some(task), Some(attempt)) = (order.text("Task"), order.number("Attempt")) else {
            return (400, "{}".to_owned());
        };
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(attempt);
        if let Some(run) = state.running.get_mut(task) {
            run.stopped.get_or_insert_with(Instant::now);
        }
        self.done()
    }

    fn hold(&self, order: &Value) -> (u16, String) {
        let seen = order.number("LastSeen").unwrap_or(0);
        let wait = Duration::from_millis(order.number("WaitMs").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if let Some(lease) = order.number("UntilMs") {
            self.extend(&mut state, lease);
        }
        state.ended.retain(|end| end.0 > seen);
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|(task, run)| {
            let done = run.began.elapsed().as_secs_f64() / run.length.as_secs_f64().max(0.001);
            let percent = (done * 100.0).min(99.0) as u64;
            format!(r#"["{task}",{},"",{percent},{}]"#, run.attempt, run.cpu)
        });
        let running: Vec<_> = running.collect();
        let ended = state.ended.iter().take(500).map(|(number, task, attempt, how)| {
            format!(r#"[{number},"{task}",{attempt},"{how}",""]"#)
        });
        let ended: Vec<_> = ended.collect();
        let text = format!(
            r#"{{"ClockMs":{},"Running":[{}],"Ended":[{}]}}"#,
            self.clock(),
            running.join(","),
            ended.join(",")
        );
        (200, text)
    }

    fn tick(&self) {
        let (clock, now) = (self.clock(), Instant::now());
        let mut state = self.state.lock().unwrap();
        let lapsed = clock >= state.lease;
        let result = |run: &Active| {
            if now >= run.began + run.length {
                Some("done")
            } else if run.stopped.is_some_and(|at| now >= at + STOP_TIME) {
                Some("stopped")
            } else {
                lapsed.then_some("lapsed")
            }
        };
        let over =
            state.running.iter().filter_map(|(task, run)| Some((task.clone(), result(run)?)));
        for (task, how) in over.collect::<Vec<_>>() {
            let Some(run) = state.running.remove(&task) else { continue };
            state.last_end += 1;
            let number = state.last_end;
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run.attempt);
            state.ended.push((number, task.clone(), run.attempt, how));
            state.history[run.at].ended = Some((now, how));
            self.record.add(format!("{} ends {task}, run {}: {how}", self.options.id, run.attempt));
            self.changed.notify_all();
        }
    }
}

/// The number of the step in a task's name, ID.K.STEP.INDEX.
fn step(task: &str) -> &str {
    task.split('.').nth(2).unwrap_or_default()
}
