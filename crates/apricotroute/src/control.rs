//! The control thread, which alone owns the core. Other threads send it inputs through a bounded
//! channel and read its state from a [`View`].

use std::{collections, io, sync, sync::atomic, time};

use coord::{
    config, core,
    event::{self, Event, Output, Reply},
    group, message, queue,
    time::Now,
};
use link::{metric, peer, pool, span, task, trace, vital};
use state::{name, tree};

use crate::{changes, clock, refusals, store};

/// Maximum number of inputs that wait for the control thread.
const QUEUE_CAPACITY: usize = 65_536;
/// Maximum number of further inputs that are handled before outputs are sent.
const MAX_BATCH: usize = 512;
/// Minimum interval between checks for state changes to log.
const LOG_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Interval between log lines of an instance that is not ready.
const WAIT_LOG_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Minimum delay of a tick that is logged: the process was stopped, or got no processor time.
const MIN_STOP: time::Duration = time::Duration::from_millis(500);
/// Maximum number of concurrent calls to upstreams.
pub const MAX_CALLS: usize = 2_048;

/// A callback for the reply to a ticket. It runs on the control thread and must not block.
pub type ReplyFn = Box<dyn FnOnce(Reply) + Send>;
type Inspect = Box<dyn FnOnce(&core::Core, Now) + Send>;

enum Input {
    Event(Event),
    Request(event::Ticket, Event, ReplyFn),
    Inspect(Inspect),
}

/// State that the control thread publishes for other threads.
#[derive(Debug, Default)]
pub struct View {
    tree: sync::RwLock<sync::Arc<tree::Tree>>,
    ready: atomic::AtomicBool,
    drained: atomic::AtomicBool,
}

impl View {
    /// Returns the settings tree in effect at this instance.
    pub fn tree(&self) -> sync::Arc<tree::Tree> {
        match self.tree.read() {
            Ok(tree) => sync::Arc::clone(&tree),
            Err(poisoned) => sync::Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Returns whether the instance can serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether the instance drains and all work in progress has ended.
    pub fn is_drained(&self) -> bool {
        self.drained.load(atomic::Ordering::Relaxed)
    }

    fn set_tree(&self, tree: &tree::Tree) {
        if let Ok(mut current) = self.tree.write() {
            *current = sync::Arc::new(tree.clone());
        }
    }
}

/// A handle to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    sender: crossbeam_channel::Sender<Input>,
    tickets: sync::Arc<atomic::AtomicU64>,
    view: sync::Arc<View>,
    clock: clock::Clock,
}

/// Everything that the control thread is started with.
#[derive(Debug)]
pub struct Parts {
    /// Configuration of the core.
    pub config: config::Config,
    /// State of the settings group that was recovered from disk.
    pub recovered: group::Recovered,
    /// Streams to the other instances.
    pub outbox: peer::Outbox,
    /// The data folder, if there is one.
    pub store: Option<store::Store>,
    /// Threads for calls to upstreams.
    pub pool: sync::Arc<pool::Pool>,
    /// Recorder of spans.
    pub spans: span::Spans,
    /// Logger.
    pub log: slog::Logger,
}

/// The receiving half of the channel to a control thread that has not been started.
#[derive(Debug)]
pub struct Channel {
    receiver: crossbeam_channel::Receiver<Input>,
}

impl Control {
    /// Creates a handle and the channel with which [`Control::start`] starts the thread.
    pub fn new(clock: clock::Clock) -> (Self, Channel) {
        let (sender, receiver) = crossbeam_channel::bounded(QUEUE_CAPACITY);
        let (tickets, view) = (sync::Arc::default(), sync::Arc::default());
        (Self { sender, tickets, view, clock }, Channel { receiver })
    }

    /// Starts the control thread and the thread that writes to the disk, as parts of `owner`.
    pub fn start(&self, owner: &vital::Owner, channel: Channel, parts: Parts) -> io::Result<()> {
        let thread = Thread::new(self.clone(), owner, channel, parts)?;
        owner.spawn("control", move || thread.run())
    }

    /// Returns the state that other threads read without a request to the control thread.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Sends a request; returns the reply function if the queue of the control thread is full.
    pub fn request(
        &self,
        event: impl FnOnce(event::Ticket) -> Event,
        reply: ReplyFn,
    ) -> Result<(), ReplyFn> {
        let ticket = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        match self.sender.try_send(Input::Request(ticket, event(ticket), reply)) {
            Ok(()) => Ok(()),
            Err(e) => match e.into_inner() {
                Input::Request(_, _, reply) => Err(reply),
                Input::Event(_) | Input::Inspect(_) => Ok(()),
            },
        }
    }

    /// Sends an event; returns `false` if the queue of the control thread is full.
    pub fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(Input::Event(event)).is_ok()
    }

    /// Sends an event that must not be lost; blocks while the queue of the control thread is full.
    pub fn send(&self, event: Event) {
        // The channel is open as long as the process runs.
        drop(self.sender.send(Input::Event(event)));
    }

    /// Runs `read` with the core on the control thread and waits for its result. Returns `None` if
    /// the queue is full or the result does not arrive in time.
    pub fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&core::Core, Now) -> T + Send + 'static,
    ) -> Option<T> {
        const TIMEOUT: time::Duration = time::Duration::from_secs(2);
        let (sender, receiver) = crossbeam_channel::bounded(1);
        let inspect: Inspect = Box::new(move |core, now| drop(sender.send(read(core, now))));
        self.sender.try_send(Input::Inspect(inspect)).ok()?;
        receiver.recv_timeout(TIMEOUT).ok()
    }
}

impl peer::Inbox for Inbox {
    fn deliver(&self, from: &name::Name, body: bytes::Bytes) -> bool {
        let Ok(body) = postcard::from_bytes::<message::Body>(&body) else {
            return false;
        };
        self.control.try_send(Event::Peer(from.clone(), body));
        true
    }

    fn allows_peer(&self, name: &name::Name) -> bool {
        self.peers.contains(name)
    }

    fn report_refusal(&self, from: &name::Name, why: &str) {
        self.refusals.report(from, why);
    }
}

/// Forwards messages from other instances to the control thread.
#[derive(Debug)]
pub struct Inbox {
    /// Handle to the control thread.
    pub control: Control,
    /// Names of the other instances.
    pub peers: collections::BTreeSet<name::Name>,
    /// Log of refused streams and bodies.
    pub refusals: refusals::Refusals,
}

struct Thread {
    control: Control,
    receiver: crossbeam_channel::Receiver<Input>,
    core: core::Core,
    replies: collections::HashMap<event::Ticket, ReplyFn>,
    batches: collections::BTreeMap<name::Name, Vec<bytes::Bytes>>,
    saves: store::Saves,
    outbox: peer::Outbox,
    store: Option<crossbeam_channel::Sender<store::Write>>,
    pool: sync::Arc<pool::Pool>,
    client: task::Client,
    spans: span::Spans,
    forward_spans: collections::HashMap<(name::Name, u64), span::Span>,
    log: slog::Logger,
    logged: changes::Logged,
    checked_at: time::Instant,
    /// Since when the instance has not been ready, or when this was last logged.
    waiting_since: time::Instant,
}

impl Thread {
    fn new(
        control: Control,
        owner: &vital::Owner,
        channel: Channel,
        parts: Parts,
    ) -> io::Result<Self> {
        let now = control.clock.now();
        let core = core::Core::new(parts.config, parts.recovered, now);
        control.view.set_tree(core.tree());
        let reporter = control.clone();
        let saved = move |number| reporter.send(Event::Saved(number));
        let store = parts.store.map(|store| store.run(owner, parts.log.clone(), saved));
        let store = store.transpose()?;
        Ok(Self {
            control,
            receiver: channel.receiver,
            core,
            replies: collections::HashMap::new(),
            batches: collections::BTreeMap::new(),
            saves: Vec::new(),
            outbox: parts.outbox,
            store,
            pool: parts.pool,
            client: task::Client::new(),
            spans: parts.spans,
            forward_spans: collections::HashMap::new(),
            log: parts.log,
            logged: changes::Logged::default(),
            checked_at: time::Instant::now(),
            waiting_since: time::Instant::now(),
        })
    }

    fn run(mut self) {
        const TICK: time::Duration = time::Duration::from_micros(core::TICK);
        let mut tick_due = time::Instant::now();
        loop {
            let wait = tick_due.saturating_duration_since(time::Instant::now());
            match self.receiver.recv_timeout(wait) {
                Ok(input) => {
                    self.handle_input(input);
                    for _ in 0..MAX_BATCH {
                        let Ok(input) = self.receiver.try_recv() else {
                            break;
                        };
                        self.handle_input(input);
                    }
                }
                Err(crossbeam_channel::RecvTimeoutError::Timeout) => {}
                Err(crossbeam_channel::RecvTimeoutError::Disconnected) => return,
            }
            let now = time::Instant::now();
            if now >= tick_due {
                self.log_stop(now.duration_since(tick_due));
                tick_due = now + TICK;
                self.handle_input(Input::Event(Event::Tick));
                self.publish();
            }
            self.flush();
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.control.clock.now();
        let event = match input {
            Input::Event(mut event) => {
                if let Event::Peer(from, message::Body::Job(message::Job::Forward { call, spec })) =
                    &mut event
                {
                    self.start_forward_span(&from.clone(), *call, spec);
                }
                event
            }
            Input::Request(ticket, event, reply) => {
                self.replies.insert(ticket, reply);
                event
            }
            Input::Inspect(inspect) => return inspect(&self.core, now),
        };
        for output in self.core.handle(event, now) {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send(to, body) => self.send(to, &body),
            Output::Save(number, save) => self.saves.push((number, save)),
            Output::Start(start) => self.start(start),
            Output::Stop(stop) => self.stop(stop),
            Output::Reply(ticket, reply) => {
                if let Some(reply_fn) = self.replies.remove(&ticket) {
                    reply_fn(reply);
                }
            }
            Output::Settings => self.control.view.set_tree(self.core.tree()),
            Output::ExcessLatency(service, over) => {
                metric::record_over_ideal(service.as_str(), over as f64 / 1_000.0);
            }
            Output::Drained => self.control.view.drained.store(true, atomic::Ordering::Relaxed),
        }
    }

    /// Starts a span for a submission that another instance forwarded to this one.
    fn start_forward_span(&mut self, from: &name::Name, call: u64, spec: &mut message::Spec) {
        let parent = spec.trace.as_str().parse::<trace::Context>().ok();
        let context = parent.map_or_else(trace::Context::new, |parent| parent.child());
        spec.trace = name::Name::new(&context.to_string());
        let span = span::Span {
            context,
            parent,
            name: "forward",
            side: span::Side::Server,
            start: time::SystemTime::now(),
            attributes: vec![("job", spec.job.to_string()), ("from", from.to_string())],
        };
        self.forward_spans.insert((from.clone(), call), span);
    }

    fn send(&mut self, to: name::Name, body: &message::Body) {
        if let message::Body::Job(message::Job::Verdict { call, .. }) = body
            && let Some(span) = self.forward_spans.remove(&(to.clone(), *call))
        {
            self.spans.record(span);
        }
        let bytes = coord::machine::encode(body);
        metric::count_message(body.kind(), bytes.len());
        self.batches.entry(to).or_default().push(bytes);
    }

    fn flush(&mut self) {
        for (to, bodies) in std::mem::take(&mut self.batches) {
            self.outbox.send(&to, bodies);
        }
        if !self.saves.is_empty() {
            let saves = std::mem::take(&mut self.saves);
            if let Some(store) = &self.store {
                // The store thread runs as long as the process does.
                drop(store.send(store::Write::Saves(saves)));
            }
        }
    }

    fn start(&mut self, start: event::Start) {
        let (control, client) = (self.control.clone(), self.client.clone());
        let spans = self.spans.clone();
        self.pool.run(move || {
            let done = call(&client, &spans, control.clock, start);
            control.send(Event::Done(done));
        });
    }

    fn stop(&self, stop: event::Stop) {
        let client = self.client.clone();
        self.pool.run(move || client.stop(stop.address.as_str(), &task_id(&stop.task)));
    }

    /// Logs a tick that is late by `delay`, if it is late by much.
    fn log_stop(&self, delay: time::Duration) {
        if delay >= MIN_STOP {
            let ms = delay.as_millis() as u64;
            slog::warn!(self.log, "control: Resumed after a stop."; "ms" => ms);
        }
    }

    /// Logs at intervals what an instance that is not ready waits for.
    fn log_waiting(&mut self, ready: bool) {
        if ready || self.core.is_draining() {
            self.waiting_since = time::Instant::now();
        } else if self.waiting_since.elapsed() >= WAIT_LOG_INTERVAL {
            self.waiting_since = time::Instant::now();
            slog::info!(self.log, "control: Not ready.";
                "waiting" => self.core.waits_for(self.control.clock.now()),
                "closed" => self.closed_streams());
        }
    }

    /// Returns the instances to which no stream is open, each with the reason.
    fn closed_streams(&self) -> String {
        let closed = self.outbox.closed_streams().into_iter();
        closed.map(|(to, why)| format!("{to}: {why}")).collect::<Vec<_>>().join(", ")
    }

    /// Publishes readiness and logs changes of the state.
    fn publish(&mut self) {
        let ready = self.core.is_ready();
        self.control.view.ready.store(ready, atomic::Ordering::Relaxed);
        self.log_waiting(ready);
        if self.checked_at.elapsed() < LOG_INTERVAL {
            return;
        }
        self.checked_at = time::Instant::now();
        let current = changes::Logged::new(&self.core, self.closed_streams());
        current.write_changes(&self.logged, &self.log);
        self.logged = current;
    }
}

/// Calls an upstream, unless the lease or the deadline of the task has passed.
fn call(
    client: &task::Client,
    spans: &span::Spans,
    clock: clock::Clock,
    start: event::Start,
) -> event::Done {
    let began = time::SystemTime::now();
    let parent = start.trace.as_str().parse::<trace::Context>().ok();
    let context = parent.map_or_else(trace::Context::new, |parent| parent.child());
    let now = clock.micros();
    let timeout = time::Duration::from_micros(start.deadline.saturating_sub(now));
    let finish = if now >= start.lease || timeout.is_zero() {
        event::Finish::Unsent
    } else {
        let task = task::Task {
            address: start.address.to_string(),
            id: task_id(&start.task),
            body: start.body,
            content_type: start.content_type.to_string(),
            timeout,
            lease: lease_end(start.lease, now),
            context,
        };
        convert_end(client.start(&task))
    };
    spans.record(span::Span {
        context,
        parent,
        name: "task",
        side: span::Side::Client,
        start: began,
        attributes: vec![
            ("task", task_id(&start.task)),
            ("upstream", start.upstream.to_string()),
            ("end", finish_label(&finish).to_owned()),
        ],
    });
    let took = clock.micros() - now;
    let (task, attempt, upstream) = (start.task, start.attempt, start.upstream);
    event::Done { task, attempt, upstream, took, finish }
}

/// Returns the end of a lease that is still valid at `now`; `None` for a task that needs no lease,
/// whose end is too far in the future to represent.
fn lease_end(lease: u64, now: u64) -> Option<time::Instant> {
    time::Instant::now().checked_add(time::Duration::from_micros(lease - now))
}

fn convert_end(end: task::End) -> event::Finish {
    match end {
        task::End::Answer(body, content) => {
            let content_type = name::Name::new(&content);
            event::Finish::Answer(message::Answer { body, content_type })
        }
        task::End::NotRun => event::Finish::Full,
        task::End::Unsent => event::Finish::Unsent,
        task::End::Unreached(_) => event::Finish::Unreached,
        task::End::Failed(why) => event::Finish::Failed(why),
    }
}

fn finish_label(finish: &event::Finish) -> &'static str {
    match finish {
        event::Finish::Answer(_) => "answer",
        event::Finish::Full => "full",
        event::Finish::Unreached => "unreached",
        event::Finish::Unsent => "unsent",
        event::Finish::Failed(_) => "failed",
    }
}

/// Returns the id of a task on the wire, `JOB/INDEX`.
pub fn task_id(task: &queue::Task) -> String {
    format!("{}/{}", task.job, task.index)
}
