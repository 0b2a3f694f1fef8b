//! An instance that finds the others through seeds and owns upstreams: listeners, streams, the
//! control thread and their end.

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
use link::{http, peer};
use signal_hook::{consts, iterator};
use state::node;

use crate::{clock, error, store};

/// A lease is this share of the longest that upstreams grant, per cent: what is left covers the
/// way there.
const LEASE_SHARE: u64 = 95;
/// An entry that shuts down takes clients this long: the balancer needs two misses of its
/// question, one a second, to send them elsewhere.
const LINGER: time::Duration = time::Duration::from_millis(2_600);
/// A keeper stays this long, so that its successor has taken over.
const HAND_OVER: time::Duration = time::Duration::from_millis(900);
/// Time kept back from the grace for the last responses and log lines.
const RESERVE: time::Duration = time::Duration::from_millis(500);

/// Runs an instance until it is told to end.
pub fn run(file: &path::Path, settings: &node::Node, log: &slog::Logger) -> error::Result<()> {
    let signals = [consts::SIGTERM, consts::SIGINT, consts::SIGHUP];
    let mut signals = iterator::Signals::new(signals)
        .change_context_lazy(|| error::Error::new("listen for signals of", &settings.instance))?;
    let node = Node::start(settings, log)?;
    reload::watch(&node.runtime, file, settings, &node.control, log);
    for signal in signals.forever() {
        if signal != consts::SIGHUP {
            break;
        }
        reload::again(file, settings, &node.control, log);
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
    /// Open until the end: the balancer sends clients for a while after it was told not to.
    _listeners: Vec<http::Listener>,
    log: slog::Logger,
}

impl Node {
    /// Starts an instance.
    pub fn start(settings: &node::Node, log: &slog::Logger) -> error::Result<Self> {
        let fault = |step| move || error::Error::new(step, &settings.instance);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context_lazy(fault("start runtime of"))?;
        let runtime = sync::Arc::new(runtime);
        let (traffic, work) = traffic::channel();
        let clock = clock::Clock::new().with_offset(settings.clock_offset);
        let control = handle::Control::new(clock);
        let listeners = open(settings, &runtime, &control, log)?;
        let life = control.clock().now().wall;
        control.start(parts(settings, life, traffic, log)?);
        thread::Builder::new()
            .name("traffic".to_owned())
            .spawn({
                let (runtime, control) = (sync::Arc::clone(&runtime), control.clone());
                let me = peer_name(settings);
                move || traffic::run(&runtime, work, &control, &me)
            })
            .change_context_lazy(fault("start traffic of"))?;
        slog::info!(log, "node: Started."; "role" => ?settings.role, "peer" => %settings.peer,
            "seeds" => ?settings.seeds, "first" => settings.first);
        let (settings, log) = (settings.clone(), log.clone());
        Ok(Self { settings, runtime, control, _listeners: listeners, log })
    }

    /// Ends gracefully: what is in progress is finished first, within the grace of the settings.
    pub fn stop(self) {
        const STEP: time::Duration = time::Duration::from_millis(50);
        let (control, start) = (&self.control, time::Instant::now());
        slog::info!(self.log, "node: Draining."; "open" => control.view().open());
        control.drain();
        let grace = time::Duration::from_millis(self.settings.grace_ms).saturating_sub(RESERVE);
        let least = match self.settings.role {
            node::Role::Entry => LINGER,
            node::Role::Keeper => HAND_OVER,
        };
        thread::sleep(least.min(grace));
        control.close();
        while start.elapsed() < grace && control.view().open() > 0 {
            thread::sleep(STEP);
        }
        // Let the last responses and messages leave.
        thread::sleep(STEP * 2);
        slog::info!(self.log, "node: Stopped."; "open" => control.view().open());
    }
}

fn peer_name(node: &node::Node) -> state::Name {
    state::Name::new(&node.peer.to_string())
}

fn open(
    node: &node::Node,
    runtime: &tokio::runtime::Runtime,
    control: &handle::Control,
    log: &slog::Logger,
) -> error::Result<Vec<http::Listener>> {
    let fault = || error::Error::new("start", &node.instance);
    let backend = sync::Arc::new(handle::Backend::new(control.clone(), log.clone()));
    let inbox = sync::Arc::new(handle::Inbox::new(control.clone()));
    let peer = node.peer_listen.unwrap_or(node.peer);
    peer::Server::open(runtime, peer, &peer_name(node), inbox).change_context_lazy(fault)?;
    let mut listeners = Vec::new();
    let mut listen = |address, handler| {
        let listener = http::Listener::open(runtime, address, handler);
        listener.change_context_lazy(fault).map(|listener| listeners.push(listener))
    };
    if let Some(address) = node.client {
        listen(address, sync::Arc::new(platform::front::Front::new(sync::Arc::clone(&backend))))?;
    }
    if let Some(address) = node.ready {
        listen(address, sync::Arc::new(platform::front::Ready::new(sync::Arc::clone(&backend))))?;
    }
    if let Some(address) = node.metrics {
        let measures = measure::Measures::new(control).change_context_lazy(fault)?;
        listen(address, sync::Arc::new(measures))?;
    }
    if let Some(address) = node.operator {
        let control = platform::control::Control::new(backend).change_context_lazy(fault)?;
        listen(address, sync::Arc::new(control))?;
    }
    Ok(listeners)
}

fn parts(
    node: &node::Node,
    life: u64,
    traffic: traffic::Sender,
    log: &slog::Logger,
) -> error::Result<control::Parts> {
    let role = match node.role {
        node::Role::Entry => member::Role::Entry,
        node::Role::Keeper => member::Role::Keeper,
    };
    let name = peer_name(node);
    let me = member::Card { name: name.clone(), zone: node.zone.clone(), role, life };
    let seeds = node.seed_peers();
    let store = match &node.folder {
        Some(folder) => Some(open_store(node, folder, seeds.contains(&name), log)?),
        None => None,
    };
    let disk = store.as_ref().map(|store| core::Disk {
        life: store.life,
        recovered: store.recovered(),
        first: node.first,
        known: store.known.clone(),
    });
    let lease = node.lease_ms * LEASE_SHARE / 100;
    let (seed, cores, policy, zones) =
        (rand::random(), node.cores, node.policy, node.zones.clone());
    let config = core::Config { me, seeds, lease, seed, cores, policy, zones, disk };
    Ok(control::Parts { config, store, traffic, log: log.clone() })
}

fn open_store(
    node: &node::Node,
    folder: &path::Path,
    founder: bool,
    log: &slog::Logger,
) -> error::Result<store::Store> {
    let fresh = u64::from(rand::random::<u32>()) + dispatch::control_log::FIRST_LIFE + 1;
    let life = if node.first && founder { dispatch::control_log::FIRST_LIFE } else { fresh };
    let store = store::Store::open(folder, &peer_name(node), life)?;
    if store.torn > 0 {
        slog::warn!(log, "store: Cut an unfinished write."; "bytes" => store.torn);
    }
    if let Some(fault) = &store.fault {
        slog::warn!(log, "store: Who was known cannot be read."; "error" => fault);
    }
    slog::info!(log, "store: Opened."; "life" => store.life, "entries" => store.entries(),
        "upstreams" => store.known.upstreams.len());
    Ok(store)
}

/// Tells the control thread of other seeds.
fn tell_seeds(node: &node::Node, control: &handle::Control) {
    let _told = control.tell(Event::Seeds(node.seed_peers()));
}
