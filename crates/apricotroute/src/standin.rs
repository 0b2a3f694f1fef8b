//! A stand-in upstream for trials and tests: slots, service times, failure modes, a start log.

use std::{collections, fs, io::Write as _, net, path, sync, thread, time};

use error_stack::ResultExt as _;
use link::http::{self, Request, Responder, Response};
use rand::RngExt as _;
use serde_json::json;

use crate::{error, remote};

/// How a stand-in treats its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers each one.
    #[default]
    Answer,
    /// Fails each one at once.
    Fail,
    /// Never answers.
    Hang,
    /// Refuses each one as not run.
    Refuse,
}

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name.
    pub name: String,
    /// Path of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Where it listens.
    pub listen: net::SocketAddr,
    /// Instances that it announces itself to, one after the other.
    pub to: Vec<String>,
    /// Tasks it runs at a time.
    pub slots: u32,
    /// Service time.
    pub time: time::Duration,
    /// One in so many tasks takes ten times as long; 0 = none.
    pub tail: u32,
    /// How it treats its tasks.
    pub mode: Mode,
    /// File that each start is appended to before the task runs.
    pub log: Option<path::PathBuf>,
    /// Cores, memory and accelerators that it declares.
    pub room: (Option<f64>, Option<u64>, Option<u64>),
}

#[derive(Debug, Default)]
struct Book {
    running: collections::HashMap<String, Option<Responder>>,
    starts: u64,
}

#[derive(Debug)]
struct Handler {
    options: Options,
    runtime: tokio::runtime::Handle,
    book: sync::Arc<sync::Mutex<Book>>,
    log: Option<sync::Mutex<fs::File>>,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    options: Options,
    address: net::SocketAddr,
    book: sync::Arc<sync::Mutex<Book>>,
    _runtime: sync::Arc<tokio::runtime::Runtime>,
    _listener: http::Listener,
}

/// A runtime that stand-ins run on.
pub fn runtime() -> error::Result<sync::Arc<tokio::runtime::Runtime>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .change_context_lazy(|| error::Error::new("start runtime of", "the upstream"))?;
    Ok(sync::Arc::new(runtime))
}

impl Standin {
    /// Starts a stand-in; it does not announce itself yet.
    pub fn start(
        options: Options,
        runtime: &sync::Arc<tokio::runtime::Runtime>,
    ) -> error::Result<Self> {
        let fault = || error::Error::new("start upstream", &options.name);
        let log = match &options.log {
            Some(path) => {
                let open = fs::OpenOptions::new().create(true).append(true).open(path);
                Some(sync::Mutex::new(open.change_context_lazy(fault)?))
            }
            None => None,
        };
        let book = sync::Arc::default();
        let handler = Handler {
            options: options.clone(),
            runtime: runtime.handle().clone(),
            book: sync::Arc::clone(&book),
            log,
        };
        let listener = http::Listener::open(runtime, options.listen, sync::Arc::new(handler))
            .change_context_lazy(fault)?;
        let (address, runtime) = (listener.address(), sync::Arc::clone(runtime));
        Ok(Self { options, address, book, _runtime: runtime, _listener: listener })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Announces itself until `over` says so, then says that it is leaving.
    pub fn announce(&self, over: impl Fn() -> bool) {
        const PAUSE: time::Duration = time::Duration::from_millis(100);
        let remotes: Vec<_> = self.options.to.iter().map(|to| remote::Remote::new(to)).collect();
        let mut turn = 0;
        let mut next = time::Instant::now();
        while !over() {
            if time::Instant::now() >= next && !remotes.is_empty() {
                let lease = self.tell(&remotes[turn % remotes.len()], "serving");
                let wait = lease.map_or(PAUSE, |lease| lease / 3);
                // A refused or lost announcement goes to the next instance.
                turn += usize::from(lease.is_none());
                next = time::Instant::now() + wait;
            }
            thread::sleep(PAUSE.min(next.saturating_duration_since(time::Instant::now())));
        }
        if let Some(remote) = remotes.get(turn % remotes.len().max(1)) {
            self.tell(remote, "leaving");
        }
    }

    fn tell(&self, remote: &remote::Remote, phase: &str) -> Option<time::Duration> {
        let options = &self.options;
        let (cores, memory, accelerators) = options.room;
        let body = json!({
            "upstream": options.name,
            "service": options.service,
            "availability_zone": options.zone,
            "address": self.address.to_string(),
            "slots": options.slots,
            "state": phase,
            "cores": cores,
            "memory_mb": memory,
            "accelerators": accelerators,
        });
        let answer = remote.post("/v1/upstreams", body.to_string().as_bytes()).ok()?;
        let lease = serde_json::from_str::<proto::json::Lease>(&answer.body).ok()?;
        Some(time::Duration::from_millis(lease.lease_ms))
    }

    /// Waits until nothing runs any more.
    pub fn drain(&self) {
        const PAUSE: time::Duration = time::Duration::from_millis(20);
        const LONGEST: time::Duration = time::Duration::from_mins(1);
        let until = time::Instant::now() + LONGEST;
        let busy = || self.book.lock().is_ok_and(|book| !book.running.is_empty());
        while busy() && time::Instant::now() < until {
            thread::sleep(PAUSE);
        }
        thread::sleep(PAUSE);
    }
}

impl http::Handler for Handler {
    fn handle(&self, request: Request, responder: Responder) {
        match (request.method.as_str(), request.path.strip_prefix("/v1/tasks")) {
            ("POST", Some("")) => self.start(&request, responder),
            ("DELETE", Some(task)) => self.stop(task.trim_start_matches('/'), responder),
            ("GET", None) if request.path == "/v1/starts" => {
                let starts = self.book.lock().map_or(0, |book| book.starts);
                responder.send(Response::json(200, json!({"starts": starts}).to_string()));
            }
            _ => responder.send(Response::text(404, "no such path\n")),
        }
    }

    fn fault(&self, _: http::Fault) -> Response {
        Response::text(400, "the request broke off\n")
    }
}

impl Handler {
    fn start(&self, request: &Request, responder: Responder) {
        let task = request.header("Task-Id").unwrap_or_default().to_owned();
        let Ok(mut book) = self.book.lock() else {
            return;
        };
        let full = book.running.len() >= self.options.slots as usize;
        if full || self.options.mode == Mode::Refuse {
            let refusal = Response::text(503, "no slot is free\n").with_header("Not-Run", "true");
            return responder.send(refusal);
        }
        book.starts += 1;
        self.note(&task);
        if self.options.mode == Mode::Fail {
            return responder.send(Response::text(500, "failed\n"));
        }
        book.running.insert(task.clone(), Some(responder));
        drop(book);
        if self.options.mode == Mode::Hang {
            return;
        }
        let answer = self.answer(&task, request);
        let (book, length) = (sync::Arc::clone(&self.book), self.length());
        self.runtime.spawn(async move {
            tokio::time::sleep(length).await;
            let responder = book.lock().ok().and_then(|mut book| book.running.remove(&task));
            if let Some(responder) = responder.flatten() {
                responder.send(answer);
            }
        });
    }

    fn answer(&self, task: &str, request: &Request) -> Response {
        let content = request.header("Content-Type").unwrap_or_default();
        if content.starts_with("application/json") {
            let payload: serde_json::Value =
                serde_json::from_slice(&request.body).unwrap_or_default();
            let body = json!({"task": task, "upstream": self.options.name, "payload": payload});
            return Response::json(200, body.to_string());
        }
        let (content, headers) = (content.to_owned(), Vec::new());
        Response { status: 200, content, headers, body: request.body.clone() }
    }

    fn length(&self) -> time::Duration {
        const SLOWER: u32 = 10;
        let slow = self.options.tail > 0 && rand::rng().random_range(0..self.options.tail) == 0;
        if slow { self.options.time * SLOWER } else { self.options.time }
    }

    /// Notes a start before the task runs.
    fn note(&self, task: &str) {
        let Some(Ok(mut file)) = self.log.as_ref().map(sync::Mutex::lock) else {
            return;
        };
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let at = wall.map_or(0, |wall| wall.as_millis() as u64);
        let line = json!({"task": task, "upstream": self.options.name, "at_ms": at});
        if let Err(e) = file.write_all(format!("{line}\n").as_bytes()) {
            eprintln!("upstream: start log: {e}");
        }
    }

    fn stop(&self, task: &str, responder: Responder) {
        let running = self.book.lock().ok().and_then(|mut book| book.running.remove(task));
        if let Some(waiting) = running.flatten() {
            waiting.send(Response::text(500, "stopped\n"));
        }
        responder.send(Response::json(200, "{}"));
    }
}
