//! A stand-in upstream for trials and tests, with configurable slots, service times and failure
//! modes, and a log of task starts.

use std::{collections, fs, io::Write as _, net, path, sync, thread, time};

use error_stack::ResultExt as _;
use link::{
    http::{self, Request, Responder, Response},
    task,
};
use rand::RngExt as _;
use serde_json::json;

use crate::{error, remote};

/// How a stand-in responds to its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Completes each task.
    #[default]
    Answer,
    /// Fails each task immediately.
    Fail,
    /// Starts each task and never responds.
    Hang,
    /// Refuses each task without running it.
    Refuse,
}

/// Configuration of a stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the upstream.
    pub name: String,
    /// Path of the service.
    pub service: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Address to listen on for tasks.
    pub listen: net::SocketAddr,
    /// Client addresses of the instances; announcements go to one of them at a time.
    pub instances: Vec<String>,
    /// Number of tasks that run concurrently.
    pub slots: u32,
    /// Service time of a task.
    pub service_time: time::Duration,
    /// One in `tail` tasks, at random, takes ten times as long; 0 disables this.
    pub tail: u32,
    /// How the stand-in responds to its tasks.
    pub mode: Mode,
    /// File to which each task start is appended before the task runs.
    pub log: Option<path::PathBuf>,
    /// Declared cores, memory in MB and accelerators of one slot.
    pub capacity: (Option<f64>, Option<u64>, Option<u64>),
}

#[derive(Debug, Default)]
struct TaskTable {
    /// Running tasks by id, each with the responder of its request.
    running: collections::HashMap<String, Option<Responder>>,
    /// Number of tasks started so far.
    starts: u64,
}

#[derive(Debug)]
struct TaskHandler {
    options: Options,
    runtime: tokio::runtime::Handle,
    table: sync::Arc<sync::Mutex<TaskTable>>,
    log: Option<sync::Mutex<fs::File>>,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    options: Options,
    address: net::SocketAddr,
    table: sync::Arc<sync::Mutex<TaskTable>>,
    _runtime: sync::Arc<tokio::runtime::Runtime>,
    _listener: http::Listener,
}

/// Creates a runtime that several stand-ins can share.
pub fn runtime() -> error::Result<sync::Arc<tokio::runtime::Runtime>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .change_context_lazy(|| error::Error::new("start runtime of", "the upstream"))?;
    Ok(sync::Arc::new(runtime))
}

impl Standin {
    /// Starts a stand-in that listens for tasks but does not announce itself yet.
    pub fn start(
        options: Options,
        runtime: &sync::Arc<tokio::runtime::Runtime>,
    ) -> error::Result<Self> {
        let context = || error::Error::new("start upstream", &options.name);
        let log = match &options.log {
            Some(path) => {
                let open = fs::OpenOptions::new().create(true).append(true).open(path);
                Some(sync::Mutex::new(open.change_context_lazy(context)?))
            }
            None => None,
        };
        let table = sync::Arc::default();
        let handler = TaskHandler {
            options: options.clone(),
            runtime: runtime.handle().clone(),
            table: sync::Arc::clone(&table),
            log,
        };
        let listener = http::Listener::open(runtime, options.listen, sync::Arc::new(handler))
            .change_context_lazy(context)?;
        let (address, runtime) = (listener.address(), sync::Arc::clone(runtime));
        Ok(Self { options, address, table, _runtime: runtime, _listener: listener })
    }

    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Announces the stand-in repeatedly until `is_stopped` returns true, then announces that it is
    /// leaving.
    pub fn announce(&self, is_stopped: impl Fn() -> bool) {
        const PAUSE: time::Duration = time::Duration::from_millis(100);
        let remotes: Vec<_> =
            self.options.instances.iter().map(|to| remote::Remote::new(to)).collect();
        let mut target = 0;
        let mut next = time::Instant::now();
        while !is_stopped() {
            if time::Instant::now() >= next && !remotes.is_empty() {
                let lease = self.send_announcement(&remotes[target % remotes.len()], "serving");
                let wait = lease.map_or(PAUSE, |lease| lease / 3);
                // After a refused or lost announcement, the next one goes to the next instance.
                target += usize::from(lease.is_none());
                next = time::Instant::now() + wait;
            }
            thread::sleep(PAUSE.min(next.saturating_duration_since(time::Instant::now())));
        }
        if let Some(remote) = remotes.get(target % remotes.len().max(1)) {
            self.send_announcement(remote, "leaving");
        }
    }

    /// Announces `state` to one instance and returns the lease that it granted.
    fn send_announcement(&self, remote: &remote::Remote, state: &str) -> Option<time::Duration> {
        let options = &self.options;
        let (cores, memory, accelerators) = options.capacity;
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let body = json!({
            "upstream": options.name,
            "service": options.service,
            "availability_zone": options.zone,
            "address": self.address.to_string(),
            "slots": options.slots,
            "state": state,
            "cores": cores,
            "memory_mb": memory,
            "accelerators": accelerators,
            "number": wall.as_micros() as u64,
        });
        let answer = remote.post("/v1/upstreams", body.to_string().as_bytes()).ok()?;
        let lease = serde_json::from_str::<proto::json::Lease>(&answer.body).ok()?;
        Some(time::Duration::from_millis(lease.lease_ms))
    }

    /// Waits until no task is running, for a minute at most.
    pub fn drain(&self) {
        const PAUSE: time::Duration = time::Duration::from_millis(20);
        const MAX_WAIT: time::Duration = time::Duration::from_mins(1);
        let until = time::Instant::now() + MAX_WAIT;
        let is_busy = || self.table.lock().is_ok_and(|table| !table.running.is_empty());
        while is_busy() && time::Instant::now() < until {
            thread::sleep(PAUSE);
        }
        thread::sleep(PAUSE);
    }
}

impl http::Handler for TaskHandler {
    fn handle(&self, request: Request, responder: Responder) {
        match (request.method.as_str(), request.path.strip_prefix("/v1/tasks")) {
            ("POST", Some("")) => self.start(&request, responder),
            ("DELETE", Some(task)) => self.stop(task.trim_start_matches('/'), responder),
            ("GET", None) if request.path == "/v1/starts" => {
                let starts = self.table.lock().map_or(0, |table| table.starts);
                responder.send(Response::json(200, json!({"starts": starts}).to_string()));
            }
            _ => responder.send(Response::text(404, "no such path\n")),
        }
    }

    fn reject(&self, _: http::RequestError) -> Response {
        Response::text(400, "the request ended early\n")
    }
}

impl TaskHandler {
    fn start(&self, request: &Request, responder: Responder) {
        let id = request.header(task::ID_HEADER).unwrap_or_default().to_owned();
        let attempt = request.header(task::ATTEMPT_HEADER).unwrap_or_default().to_owned();
        let repeat = |response: Response| {
            let response = response.with_header(task::ID_HEADER, &id);
            response.with_header(task::ATTEMPT_HEADER, &attempt)
        };
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        let is_full = table.running.len() >= self.options.slots as usize;
        if is_full || self.options.mode == Mode::Refuse {
            let refusal = Response::text(503, "no slot is free\n").with_header("Not-Run", "true");
            return responder.send(repeat(refusal));
        }
        table.starts += 1;
        self.log_start(&id);
        if self.options.mode == Mode::Fail {
            return responder.send(repeat(Response::text(500, "failed\n")));
        }
        table.running.insert(id.clone(), Some(responder));
        drop(table);
        if self.options.mode == Mode::Hang {
            return;
        }
        let answer = repeat(self.answer(&id, request));
        let (table, service_time) = (sync::Arc::clone(&self.table), self.service_time());
        self.runtime.spawn(async move {
            tokio::time::sleep(service_time).await;
            let responder = table.lock().ok().and_then(|mut table| table.running.remove(&id));
            if let Some(responder) = responder.flatten() {
                responder.send(answer);
            }
        });
    }

    fn answer(&self, task: &str, request: &Request) -> Response {
        let content_type = request.header("Content-Type").unwrap_or_default();
        if content_type.starts_with("application/json") {
            let payload: serde_json::Value =
                serde_json::from_slice(&request.body).unwrap_or_default();
            let body = json!({"task": task, "upstream": self.options.name, "payload": payload});
            return Response::json(200, body.to_string());
        }
        let (content_type, headers) = (content_type.to_owned(), Vec::new());
        Response { status: 200, content_type, headers, body: request.body.clone() }
    }

    /// Draws the service time of a task.
    fn service_time(&self) -> time::Duration {
        const TAIL_FACTOR: u32 = 10;
        let is_slow = self.options.tail > 0 && rand::rng().random_range(0..self.options.tail) == 0;
        if is_slow { self.options.service_time * TAIL_FACTOR } else { self.options.service_time }
    }

    /// Appends a task start to the start log before the task runs.
    fn log_start(&self, task: &str) {
        let Some(Ok(mut file)) = self.log.as_ref().map(sync::Mutex::lock) else {
            return;
        };
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let at = wall.map_or(0, |wall| wall.as_millis() as u64);
        let line = json!({"task": task, "upstream": self.options.name, "at_ms": at});
        if let Err(e) = file.write_all(format!("{line}\n").as_bytes()) {
            eprintln!("upstream: cannot write to the start log: {e}");
        }
    }

    /// Stops a running task: its pending request fails, and the stop request succeeds.
    fn stop(&self, task: &str, responder: Responder) {
        let running = self.table.lock().ok().and_then(|mut table| table.running.remove(task));
        if let Some(stopped) = running.flatten() {
            stopped.send(Response::text(500, "stopped\n"));
        }
        responder.send(Response::json(200, "{}"));
    }
}
