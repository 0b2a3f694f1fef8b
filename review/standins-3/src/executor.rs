//! A stand-in executor: leases, fencing tokens, lists of running and ended tasks, heartbeats.
//!
//! A task's need and duration stand in its `Spec`, one part a step, `CPU:MS;CPU:MS`, since orders
//! don't say them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::{Json, quote},
    record::Record,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 1_000;
/// A stop is complete after this.
const STOP_TIME: Duration = Duration::from_millis(40);

#[derive(Clone, Debug)]
struct Run {
    attempt: u64,
    began: Instant,
    time: Duration,
    cpu: u64,
    stop_at: Option<Instant>,
    record: usize,
}

/// One run of a task, for the checks.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub attempt: u64,
    pub executor: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

#[derive(Debug)]
struct State {
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub labels: Vec<String>,
    pub keepers: Vec<SocketAddr>,
}

#[derive(Debug)]
pub struct Executor {
    pub options: Options,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    runs: Arc<Mutex<Vec<RunRecord>>>,
    record: Record,
}

impl Executor {
    /// Starts an executor; all executors of a system share `runs`.
    pub fn start(options: Options, runs: Arc<Mutex<Vec<RunRecord>>>, record: Record) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = State {
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        };
        let executor = Arc::new(Self {
            options,
            start: Instant::now(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            runs,
            record,
        });
        let served = Arc::clone(&executor);
        http::serve(listener, Arc::new(move |request| served.handle(&request)));
        let ticked = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                ticked.tick();
                thread::sleep(Duration::from_millis(2));
            }
        });
        thread::spawn(move || executor.send_heartbeats(address));
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    fn handle(&self, request: &Request) -> Answer {
        let mut state = self.state.lock().unwrap();
        let expected = request.header("Apricotroute-Expect-Instance");
        if expected.is_some_and(|id| id != self.options.id) {
            return Answer { status: 421, body: "{}".to_owned() };
        }
        let Some(body) = Json::parse(&request.body) else {
            return Answer { status: 400, body: "{}".to_owned() };
        };
        let fence = body.get("Fence").u64().unwrap_or(0);
        let answer = if fence < state.fence {
            self.refuse("fence")
        } else {
            state.fence = fence;
            match request.path.as_str() {
                "/apricotroute/run-start" => self.run_start(&mut state, &body),
                "/apricotroute/run-stop" => self.run_stop(&mut state, &body),
                "/apricotroute/hold" => {
                    self.extend(&mut state, body.get("UntilMs").u64());
                    let seen = body.get("LastSeen").u64().unwrap_or(0);
                    state.ended.retain(|end| end.0 > seen);
                    let wait = body.get("WaitMs").u64().unwrap_or(0).min(2_000);
                    let end = Instant::now() + Duration::from_millis(wait);
                    loop {
                        let now = Instant::now();
                        if !state.ended.is_empty() || now >= end {
                            break;
                        }
                        state = self.changed.wait_timeout(state, end - now).unwrap().0;
                    }
                    (200, self.lists(&state))
                }
                _ => (404, "{}".to_owned()),
            }
        };
        drop(state);
        Answer { status: answer.0, body: answer.1 }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"ClockMs\":{},\"Reason\":{}}}", self.clock(), quote(reason)))
    }

    fn extend(&self, state: &mut State, until: Option<u64>) {
        let until = until.unwrap_or(0).min(self.clock() + MAX_HOLD_MS);
        state.lease_end = state.lease_end.max(until);
    }

    fn run_start(&self, state: &mut State, body: &Json) -> (u16, String) {
        let (task, spec) = (body.get("Task").text(), body.get("Spec").text());
        let attempt = body.get("Attempt").u64().unwrap_or(0);
        let until = body.get("UntilMs").u64().unwrap_or(0);
        if until <= self.clock() {
            return self.refuse("late");
        }
        self.extend(state, Some(until));
        let done = (200, format!("{{\"ClockMs\":{}}}", self.clock()));
        match state.runs.get(task) {
            Some(run) if run.attempt == attempt => return done,
            Some(_) => return self.refuse("old"),
            None => {}
        }
        if state.highest.get(task).is_some_and(|last| attempt <= *last) {
            return self.refuse("old");
        }
        let mut parts = task.rsplit('.');
        let _index = parts.next();
        let step: usize = parts.next().and_then(|step| step.parse().ok()).unwrap_or(0);
        let part = spec.split(';').nth(step).unwrap_or(spec);
        let (cpu, time) = part.split_once(':').unwrap_or(("1000", "100"));
        let (cpu, time): (u64, u64) = (cpu.parse().unwrap_or(1_000), time.parse().unwrap_or(100));
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if used + cpu > self.options.cpu {
            return self.refuse("room");
        }
        let began = Instant::now();
        let mut records = self.runs.lock().unwrap();
        let record = records.len();
        records.push(RunRecord {
            task: task.to_owned(),
            attempt,
            executor: self.options.id.clone(),
            began,
            ended: None,
        });
        drop(records);
        self.record.write("start", &format!("{task} run {attempt} at {}", self.options.id));
        let time = Duration::from_millis(time);
        let run = Run { attempt, began, time, cpu, stop_at: None, record };
        state.runs.insert(task.to_owned(), run);
        done
    }

    fn run_stop(&self, state: &mut State, body: &Json) -> (u16, String) {
        let (task, attempt) = (body.get("Task").text(), body.get("Attempt").u64().unwrap_or(0));
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(attempt);
        if let Some(run) = state.runs.get_mut(task).filter(|run| run.attempt <= attempt) {
            run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        (200, format!("{{\"ClockMs\":{}}}", self.clock()))
    }

    /// Ends what is due.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let (now, lapsed) = (Instant::now(), self.clock() >= state.lease_end);
        let how = |run: &Run| {
            if now >= run.began + run.time {
                Some("done")
            } else if run.stop_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if lapsed {
                Some("lapsed")
            } else {
                None
            }
        };
        let due: Vec<_> = state
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.attempt, run.record, how(run)?)))
            .collect();
        for (task, attempt, record, how) in &due {
            state.runs.remove(task);
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(*attempt);
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.clone(), *attempt, how));
            self.runs.lock().unwrap()[*record].ended = Some((now, how));
            self.record.write("end", &format!("{task} run {attempt} {how} at {}", self.options.id));
        }
        if !due.is_empty() {
            self.changed.notify_all();
        }
    }

    fn lists(&self, state: &State) -> String {
        let running: Vec<_> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let share = run.began.elapsed().as_secs_f64() / run.time.as_secs_f64();
                let percent = (share * 100.0).min(99.0) as u64;
                format!("[{},{},\"\",{percent},{}]", quote(task), run.attempt, run.cpu)
            })
            .collect();
        let ended: Vec<_> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, attempt, how)| {
                format!("[{number},{},{attempt},{},\"\"]", quote(task), quote(how))
            })
            .collect();
        format!(
            "{{\"ClockMs\":{},\"Running\":[{}],\"Ended\":[{}]}}",
            self.clock(),
            running.join(","),
            ended.join(",")
        )
    }

    fn send_heartbeats(&self, address: SocketAddr) {
        let options = &self.options;
        for sequence in 1.. {
            let labels: Vec<_> = options.labels.iter().map(|label| quote(label)).collect();
            let body = format!(
                "{{\"Service\":{},\"Address\":\"{address}\",\"Zone\":{},\"Version\":\"v1\",\
                 \"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\
                 \"MemMb\":65536,\"Gpu\":0}},\"Labels\":[{}],\"ClockMs\":{},\"Sequence\":{sequence}}}",
                quote(&options.service),
                quote(&options.zone),
                options.cpu,
                labels.join(","),
                self.clock(),
            );
            let path = format!("/apricotroute/instances/{}", options.id);
            for at in 0..options.keepers.len() {
                let to = options.keepers[(sequence + at) % options.keepers.len()];
                let timeout = Duration::from_secs(1);
                let sent = http::call(to, "PUT", &path, &[], &body, timeout);
                if sent.is_ok_and(|response| response.status == 200) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}
