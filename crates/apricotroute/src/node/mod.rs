//! An instance that discovers the others through seeds and schedules upstreams: its listeners,
//! streams and control thread, and its shutdown.

mod control;
mod handle;
pub mod lines;
mod mailbox;
mod measure;
mod reader;
mod reload;
mod traffic;
mod view;

use std::{path, sync, thread, time};

use dispatch::{core, event::Event, member};
use error_stack::ResultExt as _;
use link::{http, peer, vital};
use signal_hook::{consts, iterator};
use state::node;

use crate::{clock, error, parts, store};

/// How long an entry still accepts clients during shutdown: the load balancer sends them elsewhere
/// only after two failed readiness checks, at one check per second.
const ENTRY_DELAY: time::Duration = time::Duration::from_millis(2_600);
/// How long a keeper stays up during shutdown, so that its successor has taken over.
const KEEPER_DELAY: time::Duration = time::Duration::from_millis(900);
/// How long a keeper stays up during shutdown at most until another one has taken over its seat among
/// the voters: the time in which these elect a leader twice. If it kept the seat, they would bear the
/// loss of one disk less.
const SEAT_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Part of the grace period that is reserved for the last responses: jobs that are still open are
/// answered when it begins.
const GRACE_RESERVE: time::Duration = time::Duration::from_millis(500);
/// Part of that reserve in which no response is awaited any more, for the last log lines.
const EXIT_RESERVE: time::Duration = time::Duration::from_millis(100);
/// Interval at which a shutdown checks its progress.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Starts to listen for the signals of an instance. Until then each of them ends the process.
pub fn signals() -> error::Result<iterator::Signals> {
    let signals = [consts::SIGTERM, consts::SIGINT, consts::SIGHUP];
    iterator::Signals::new(signals)
        .change_context_lazy(|| error::Error::new("listen for", "signals"))
}

/// Runs an instance until SIGTERM or SIGINT arrives; SIGHUP reloads the settings file.
pub fn run(
    file: &path::Path,
    settings: &node::Node,
    mut signals: iterator::Signals,
    log: &slog::Logger,
) -> error::Result<()> {
    let node = Node::start(settings, log)?;
    reload::watch(&node.runtime, &node.owner, file, settings, &node.control, log);
    for signal in signals.forever() {
        if signal != consts::SIGHUP {
            break;
        }
        reload::reload(file, settings, &node.control, log);
    }
    node.stop();
    Ok(())
}

/// A running instance.
#[derive(Debug)]
pub struct Node {
    settings: node::Node,
    runtime: sync::Arc<tokio::runtime::Runtime>,
    control: handle::Control,
    /// Kept open until the end: the load balancer still sends clients for a while after the
    /// instance has ceased to be ready.
    listeners: Vec<http::Listener>,
    owner: vital::Owner,
    log: slog::Logger,
}

impl Node {
    /// Starts an instance.
    pub fn start(settings: &node::Node, log: &slog::Logger) -> error::Result<Self> {
        let context = |step| move || error::Error::new(step, &settings.instance);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context_lazy(context("start runtime of"))?;
        let runtime = sync::Arc::new(runtime);
        let (traffic, work) = traffic::channel();
        let clock = clock::Clock::new().with_offset(settings.clock_offset);
        let control = handle::Control::new(clock);
        let owner = parts::owner(log);
        let listeners = open_listeners(settings, &runtime, &control, (&owner, log))?;
        let incarnation = control.clock().now().wall;
        control
            .start(&owner, control_parts(settings, incarnation, traffic, log)?)
            .change_context_lazy(context("start control of"))?;
        owner
            .spawn("traffic", {
                let (runtime, control) = (sync::Arc::clone(&runtime), control.clone());
                let (me, log) = (peer_name(settings), log.clone());
                move || traffic::run(&runtime, work, &control, (&me, &log))
            })
            .change_context_lazy(context("start traffic of"))?;
        slog::info!(log, "node: Started."; "role" => ?settings.role, "peer" => %settings.peer,
            "seeds" => ?settings.seeds, "first" => settings.first_start,
            "cpu_share" => settings.millicores as f64 / 1e3, "memory_mb" => settings.memory,
            "descriptors" => settings.descriptors, "link_mbps" => settings.link);
        owner.watch();
        let (settings, log) = (settings.clone(), log.clone());
        Ok(Self { settings, runtime, control, listeners, owner, log })
    }

    /// Shuts down gracefully: finishes work in progress first, within the grace period of the
    /// settings. What cannot be finished in time is answered before the end.
    pub fn stop(self) {
        let (control, start) = (&self.control, time::Instant::now());
        slog::info!(self.log, "node: Draining."; "open" => control.view().open_jobs());
        control.drain();
        let grace = time::Duration::from_millis(self.settings.grace_ms);
        let work_end = grace.saturating_sub(GRACE_RESERVE);
        let delay = match self.settings.role {
            node::Role::Entry => ENTRY_DELAY,
            node::Role::Keeper => KEEPER_DELAY,
        };
        thread::sleep(delay.min(work_end));
        let seat_end = SEAT_LIMIT.min(work_end);
        while start.elapsed() < seat_end && control.view().awaits_successor() {
            thread::sleep(POLL_INTERVAL);
        }
        let keeps_seat = control.view().awaits_successor();
        control.close();
        while start.elapsed() < work_end && control.view().open_jobs() > 0 {
            thread::sleep(POLL_INTERVAL);
        }
        let unfinished = control.view().open_jobs();
        self.answer_all(start + grace.saturating_sub(EXIT_RESERVE));
        // Gives the last messages to other instances time to be sent.
        thread::sleep(POLL_INTERVAL);
        slog::info!(self.log, "node: Stopped."; "open" => unfinished,
            "unanswered" => self.connections(), "seat_kept" => keeps_seat);
    }

    /// Answers what is open, and waits until the responses are written, at most until `deadline`.
    fn answer_all(&self, deadline: time::Instant) {
        self.owner.release();
        self.listeners.iter().for_each(http::Listener::close);
        loop {
            // A job that was read while the entry closed may be submitted after the others.
            self.control.finish();
            thread::sleep(POLL_INTERVAL);
            if self.connections() == 0 || time::Instant::now() >= deadline {
                return;
            }
        }
    }

    /// Number of connections of clients, upstreams and operators.
    fn connections(&self) -> usize {
        self.listeners.iter().map(http::Listener::connections).sum()
    }
}

fn peer_name(node: &node::Node) -> state::Name {
    state::Name::new(&node.peer.to_string())
}

/// What the settings say that the instance can bear.
fn capacity(node: &node::Node) -> member::Capacity {
    member::Capacity {
        cpu: u32::try_from(node.millicores).unwrap_or(u32::MAX),
        memory: node.memory.unwrap_or(0),
        descriptors: node.descriptors.unwrap_or(0),
        link: node.link.unwrap_or(0),
    }
}

fn open_listeners(
    node: &node::Node,
    runtime: &tokio::runtime::Runtime,
    control: &handle::Control,
    (owner, log): (&vital::Owner, &slog::Logger),
) -> error::Result<Vec<http::Listener>> {
    let context = || error::Error::new("start", &node.instance);
    let backend = sync::Arc::new(handle::Backend::new(control.clone(), log.clone()));
    let inbox = sync::Arc::new(handle::Inbox::new(control.clone(), log.clone()));
    let peer = node.peer_listen.unwrap_or(node.peer);
    peer::Server::open(runtime, peer, &peer_name(node), inbox).change_context_lazy(context)?.own(
        runtime,
        owner,
        "peer listener",
    );
    let mut listeners = Vec::new();
    let mut listen = |address, handler, name| {
        let listener = http::Listener::open(runtime, address, handler);
        let listener = listener.change_context_lazy(context)?;
        listeners.push(listener.with_owner(runtime, owner, name));
        Ok::<_, error_stack::Report<error::Error>>(())
    };
    if let Some(address) = node.client {
        listen(
            address,
            sync::Arc::new(platform::front::ClientHandler::new(sync::Arc::clone(&backend))),
            "client listener",
        )?;
    }
    if let Some(address) = node.ready {
        listen(
            address,
            sync::Arc::new(platform::front::ReadyHandler::new(sync::Arc::clone(&backend))),
            "readiness listener",
        )?;
    }
    if let Some(address) = node.metrics {
        let metrics = measure::MetricsHandler::new(control).change_context_lazy(context)?;
        listen(address, sync::Arc::new(metrics), "metrics listener")?;
    }
    if let Some(address) = node.operator {
        let handler = platform::control::ControlHandler::new(backend, owner);
        let handler = handler.change_context_lazy(context)?;
        listen(address, sync::Arc::new(handler), "operator listener")?;
    }
    Ok(listeners)
}

fn control_parts(
    node: &node::Node,
    incarnation: u64,
    traffic: traffic::Sender,
    log: &slog::Logger,
) -> error::Result<control::Parts> {
    let role = match node.role {
        node::Role::Entry => member::Role::Entry,
        node::Role::Keeper => member::Role::Keeper,
    };
    let name = peer_name(node);
    let (zone, capacity) = (node.zone.clone(), capacity(node));
    let me = member::Card { name: name.clone(), zone, role, incarnation, capacity };
    let seeds = node.seed_peers();
    let store = match &node.folder {
        Some(folder) => Some(open_store(node, folder, seeds.contains(&name), log)?),
        None => None,
    };
    let disk = store.as_ref().map(|store| core::Disk {
        incarnation: store.incarnation,
        recovered: store.recovered(),
        first: node.first_start,
        known: store.known.clone(),
    });
    let longest_lease = node.lease_ms;
    let (seed, cores, policy, zones) =
        (rand::random(), node.millicores, node.policy, node.zones.clone());
    let config = core::Config { me, seeds, longest_lease, seed, cores, policy, zones, disk };
    Ok(control::Parts { config, store, traffic, log: log.clone() })
}

fn open_store(
    node: &node::Node,
    folder: &path::Path,
    is_seed: bool,
    log: &slog::Logger,
) -> error::Result<store::Store> {
    let random = u64::from(rand::random::<u32>()) + dispatch::control_log::FIRST_INCARNATION + 1;
    let incarnation =
        if node.first_start && is_seed { dispatch::control_log::FIRST_INCARNATION } else { random };
    let store = store::Store::open(folder, &peer_name(node), incarnation)?;
    if store.truncated > 0 {
        slog::warn!(log, "store: Cut an unfinished write."; "bytes" => store.truncated);
    }
    if let Some(error) = &store.hints_error {
        slog::warn!(log, "store: The saved instances and upstreams cannot be read.";
            "error" => error);
    }
    slog::info!(log, "store: Opened."; "life" => store.incarnation,
        "entries" => store.entry_count(), "upstreams" => store.known.upstreams.len());
    Ok(store)
}

/// Sends the seeds of the settings to the control thread.
fn send_seeds(node: &node::Node, control: &handle::Control) {
    let _sent = control.send(Event::Seeds(node.seed_peers()));
}
