//! A running instance: its listeners, streams and control thread, and its shutdown.

use std::{collections, sync, thread, time};

use coord::{event::Event, member};
use error_stack::ResultExt as _;
use link::{http, metric, peer, pool, span, vital};
use state::boot;

use crate::{client, clock, control, error, operator, parts, refusals, status, store};

/// Threads of the runtime that runs the listeners and streams.
const RUNTIME_THREADS: usize = 2;
/// Maximum number of threads that parse and serialize JSON.
const MAX_JSON_THREADS: usize = 32;

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    runtime: tokio::runtime::Runtime,
    control: control::Control,
    client: http::Listener,
    operator: http::Listener,
    spans: span::Spans,
    owner: vital::Owner,
    log: slog::Logger,
    drain_limit: time::Duration,
}

impl Instance {
    /// Starts an instance.
    pub fn start(boot: &boot::Boot, log: slog::Logger) -> error::Result<Self> {
        let context = |step| move || error::Error::new(step, &boot.instance);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .thread_name("traffic")
            .enable_all()
            .build()
            .change_context_lazy(context("start runtime of"))?;
        let spans = open_spans(boot, &runtime).change_context_lazy(context("open spans of"))?;
        let owner = parts::owner(&log);
        let control = start_control(boot, &runtime, &spans, (&owner, &log))?;
        if let Ok(metrics) = metric::Metrics::new() {
            status::watch(metric::install(metrics), &control);
        }
        let pool = sync::Arc::new(pool::Pool::new("reader", MAX_JSON_THREADS));
        let client = client::ClientHandler {
            instance: boot.instance.clone(),
            zone: boot.zone.clone(),
            control: control.clone(),
            pool: sync::Arc::clone(&pool),
            spans: spans.clone(),
        };
        let instance = boot.instance.clone();
        let operator = operator::OperatorHandler { instance, control: control.clone(), pool };
        let client = http::Listener::open(&runtime, boot.client, sync::Arc::new(client))
            .change_context_lazy(context("start"))?
            .with_owner(&runtime, &owner, "client listener");
        let operator = http::Listener::open(&runtime, boot.operator, sync::Arc::new(operator))
            .change_context_lazy(context("start"))?
            .with_owner(&runtime, &owner, "operator listener");
        slog::info!(log, "instance: Started.";
            "client" => %client.address(), "operator" => %operator.address());
        owner.watch();
        let drain_limit = time::Duration::from_millis(boot.drain_ms);
        Ok(Self { runtime, control, client, operator, spans, owner, log, drain_limit })
    }

    /// Returns the address of the interface for clients and upstreams.
    pub fn client_address(&self) -> std::net::SocketAddr {
        self.client.address()
    }

    /// Returns the address of the interface for operators.
    pub fn operator_address(&self) -> std::net::SocketAddr {
        self.operator.address()
    }

    /// Shuts down gracefully: finishes and answers all work in progress first, within the drain
    /// limit.
    pub fn stop(self) {
        const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
        const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
        slog::info!(self.log, "instance: Draining.");
        self.control.send(Event::Drain);
        let deadline = time::Instant::now() + self.drain_limit;
        while !self.control.view().is_drained() && time::Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
        if !self.control.view().is_drained() {
            let unfinished = self.control.inspect(|core, _| core.in_progress()).unwrap_or_default();
            slog::warn!(self.log, "instance: Drain bound reached."; "cut" => unfinished.join(" "));
        }
        self.owner.release();
        self.client.close();
        self.operator.close();
        let deadline = time::Instant::now() + CLOSE_TIMEOUT;
        while self.client.connections() > 0 && time::Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
        // Gives the last messages to the other instances time to be sent.
        thread::sleep(POLL_INTERVAL * 5);
        self.spans.flush();
        slog::info!(self.log, "instance: Stopped.");
        self.runtime.shutdown_background();
    }
}

fn open_spans(
    boot: &boot::Boot,
    runtime: &tokio::runtime::Runtime,
) -> Result<span::Spans, link::Error> {
    let _guard = runtime.enter();
    let (file, otlp) = (boot.traces.file.as_deref(), boot.traces.otlp.as_deref());
    span::Spans::open(file, otlp, boot.instance.as_str())
}

/// Opens the data folder and the streams to the other instances, and starts the control thread.
fn start_control(
    boot: &boot::Boot,
    runtime: &tokio::runtime::Runtime,
    spans: &span::Spans,
    (owner, log): (&vital::Owner, &slog::Logger),
) -> error::Result<control::Control> {
    let context = || error::Error::new("start", &boot.instance);
    let incarnation = u64::from(rand::random::<u32>().max(1));
    let store = open_store(boot, incarnation, log)?;
    let (control, channel) = control::Control::new(clock::Clock::new());
    let peers = boot.peers.iter().map(|peer| peer.instance.clone()).collect();
    let refusals = refusals::Refusals::new(log.clone());
    let inbox = sync::Arc::new(control::Inbox { control: control.clone(), peers, refusals });
    peer::Server::open(runtime, boot.peer, &boot.instance, inbox)
        .change_context_lazy(context)?
        .own(runtime, owner, "peer listener");
    let mut outbox = peer::Outbox::new();
    for peer in &boot.peers {
        outbox = outbox.with_peer(runtime, &boot.instance, &peer.instance, peer.peer);
    }
    let parts = control::Parts {
        config: config(boot, incarnation, store.as_ref()),
        recovered: store.as_ref().map(store::Store::recovered).unwrap_or_default(),
        outbox,
        store,
        pool: sync::Arc::new(pool::Pool::new("task", control::MAX_CALLS)),
        spans: spans.clone(),
        log: log.clone(),
    };
    control.start(owner, channel, parts).change_context_lazy(context)?;
    Ok(control)
}

fn open_store(
    boot: &boot::Boot,
    incarnation: u64,
    log: &slog::Logger,
) -> error::Result<Option<store::Store>> {
    let Some(folder) = &boot.folder else {
        return Ok(None);
    };
    let store = store::Store::open(folder, &boot.instance, incarnation)?;
    if store.truncated > 0 {
        slog::warn!(log, "store: Cut an unfinished write."; "bytes" => store.truncated);
    }
    slog::info!(log, "store: Opened.";
        "life" => store.incarnation, "entries" => store.entry_count());
    Ok(Some(store))
}

fn config(
    boot: &boot::Boot,
    incarnation: u64,
    store: Option<&store::Store>,
) -> coord::config::Config {
    let me = member::Instance {
        name: boot.instance.clone(),
        zone: boot.zone.clone(),
        has_disk: boot.folder.is_some(),
    };
    let peers = boot.peers.iter().map(|peer| member::Instance {
        name: peer.instance.clone(),
        zone: peer.zone.clone(),
        has_disk: peer.has_disk,
    });
    let all: collections::BTreeSet<_> = peers.chain([me.clone()]).collect();
    let disk_incarnation = store.map(|store| store.incarnation);
    let (all, baselines, seed) = (all.into_iter().collect(), boot.baselines, rand::random());
    coord::config::Config { me, incarnation, disk_incarnation, all, baselines, seed }
}
