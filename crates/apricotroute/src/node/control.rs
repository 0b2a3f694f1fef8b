//! The control thread, which alone owns the core. Other threads send it events through a mailbox
//! and read its state from a [`view`](super::view).

use std::{
    collections, io,
    sync::{atomic, mpsc},
    time,
};

use dispatch::{
    core,
    event::{self, Event, Output, Reply},
    job, message, order,
};
use link::{metric, vital};
use state::name;

use super::{
    handle::{Control, Input},
    lines, reader,
    traffic::{self, Work},
};
use crate::store;

/// Interval between ticks. A silent instance, a hanging task or an expired lease is detected up to
/// one interval late; halving the interval costs another 0.1% of a core.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Interval between updates of the status that the metrics show.
const STATUS_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A configuration that has not been decoded after this time counts as unavailable: the routes in
/// effect are then out of date. An entry with 0.12 of a core takes 160 ms for 4,200 routes.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Maximum number of requests that wait until the routes in effect are confirmed.
const MAX_UNSETTLED: usize = 1_024;

/// Everything that the control thread is started with.
#[derive(Debug)]
pub struct Parts {
    /// Configuration of the core.
    pub config: core::Config,
    /// The data folder, if there is one.
    pub store: Option<store::Store>,
    /// Queue of the traffic thread.
    pub traffic: traffic::Sender,
    /// Logger.
    pub log: slog::Logger,
}

impl Control {
    /// Starts the control thread and the threads that it works with, as parts of `owner`.
    pub fn start(&self, owner: &vital::Owner, parts: Parts) -> io::Result<()> {
        let thread = Thread::new(self.clone(), owner, parts)?;
        owner.spawn("control", move || thread.run())
    }
}

/// A request that waits for its reply.
struct Pending {
    reply: platform::ReplyFn,
    since: time::Instant,
    /// Service of the job; `none` for requests other than submissions.
    service: name::Name,
}

struct Thread {
    control: Control,
    core: core::Core,
    replies: collections::HashMap<event::Ticket, Pending>,
    batches: collections::BTreeMap<name::Name, Vec<bytes::Bytes>>,
    work: Vec<Work>,
    saves: store::Saves,
    store: Option<crossbeam_channel::Sender<store::Write>>,
    traffic: traffic::Sender,
    reader: mpsc::Sender<message::Document>,
    /// Since when a received configuration has been waiting for the reader thread.
    unread_since: Option<time::Instant>,
    /// Requests that wait until the routes in effect are confirmed.
    unsettled: Vec<platform::SettledFn>,
    limiter: lines::Limiter,
    log: slog::Logger,
}

impl Thread {
    fn new(control: Control, owner: &vital::Owner, parts: Parts) -> io::Result<Self> {
        let reader = reader::start(owner, control.clone(), parts.log.clone())?;
        let core = core::Core::new(parts.config, control.clock.now());
        let reporter = control.clone();
        // Retries until the mailbox accepts the report: without it the settings group makes no
        // progress until the next save.
        let saved = move |number| while !reporter.send(Event::Saved(number)) {};
        let store = parts.store.map(|store| store.run(owner, parts.log.clone(), saved));
        let store = store.transpose()?;
        Ok(Self {
            control,
            core,
            replies: collections::HashMap::new(),
            batches: collections::BTreeMap::new(),
            work: Vec::new(),
            saves: Vec::new(),
            store,
            traffic: parts.traffic,
            reader,
            unread_since: None,
            unsettled: Vec::new(),
            limiter: lines::Limiter::new(),
            log: parts.log,
        })
    }

    fn run(mut self) {
        let mut tick_due = time::Instant::now();
        let mut status_due = tick_due;
        loop {
            let wait = tick_due.saturating_duration_since(time::Instant::now());
            let inputs = self.control.mailbox.receive(wait);
            self.core.detect_stop(self.control.clock.now());
            for input in inputs {
                self.handle_input(input);
            }
            if time::Instant::now() >= tick_due {
                tick_due = time::Instant::now() + TICK_INTERVAL;
                self.handle_input(Input::Event(Event::Tick));
            }
            if time::Instant::now() >= status_due {
                status_due = time::Instant::now() + STATUS_INTERVAL;
                self.update_status();
            }
            for output in self.core.take_outputs(self.control.clock.now()) {
                self.handle_output(output);
            }
            self.flush();
        }
    }

    fn handle_input(&mut self, input: Input) {
        let event = match input {
            Input::Event(event) => event,
            Input::Request(ticket, event, reply) => {
                let since = time::Instant::now();
                let service = match &event {
                    Event::Submit(_, job) => job.service.clone(),
                    _ => name::Name::new("none"),
                };
                self.replies.insert(ticket, Pending { reply, since, service });
                event
            }
            Input::Unsettled(then) if self.unsettled.len() < MAX_UNSETTLED => {
                return self.unsettled.push(then);
            }
            Input::Unsettled(then) => return then(false),
        };
        if let Event::Disconnected(ticket) = &event {
            self.replies.remove(ticket);
        }
        self.core.apply(event, self.control.clock.now());
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send(to, body) => {
                let bytes = coord::machine::encode(&body);
                metric::count_message(body.kind(), bytes.len());
                self.batches.entry(to).or_default().push(bytes);
            }
            Output::Reconnect(to) => self.work.push(Work::Reconnect(to)),
            Output::Disconnect(to) => self.work.push(Work::Disconnect(to)),
            Output::Save(number, save) => self.saves.push((number, save)),
            Output::SaveKnown(known) => self.store(store::Write::Known(known)),
            Output::Call(call) => {
                if let order::Order::Start { waited, .. } = &call.order {
                    metric::record_start_wait(time::Duration::from_millis(*waited));
                }
                self.work.push(Work::Call(call));
            }
            Output::Reply(ticket, reply) => {
                if let Some(pending) = self.replies.remove(&ticket) {
                    let took = pending.since.elapsed();
                    metric::record_reply(reply_label(&reply), pending.service.as_str(), took);
                    (pending.reply)(reply);
                }
            }
            // The reader thread runs as long as the process does.
            Output::Document(document) => {
                self.unread_since.get_or_insert_with(time::Instant::now);
                drop(self.reader.send(document));
            }
            Output::Note(note) => self.limiter.write(&self.log, &note),
            Output::Measure(measure) => record_measure(measure),
        }
    }

    /// Publishes whether the routes in effect are out of date, and logs each change of that.
    fn publish_outdated(&self, outdated: bool) {
        if self.control.view.outdated.swap(outdated, atomic::Ordering::Relaxed) != outdated {
            let version = self.core.document().version;
            slog::warn!(self.log, "settings: Out of date."; "is" => outdated, "version" => version);
        }
    }

    /// Updates the status for the metrics, and logs the free cores and waiting tasks of each zone
    /// that is scheduled here.
    fn update_status(&self) {
        let status = self.core.status(self.control.clock.now());
        if let Ok(mut current) = self.control.view.status.write() {
            *current = status;
        }
        for zone in self.core.zone_loads(self.control.clock.now()) {
            let message::Load { free, total } = zone.load;
            let detail = format!("{free}m of {total}m cores free, {} tasks wait", zone.waiting);
            slog::info!(self.log, "zone: Room."; "id" => %zone.zone, "detail" => detail);
        }
    }

    fn store(&self, write: store::Write) {
        if let Some(store) = &self.store {
            // The store thread runs as long as the process does.
            drop(store.send(write));
        }
    }

    /// Passes the collected work and saves to their threads, and publishes the current state.
    fn flush(&mut self) {
        let batches = std::mem::take(&mut self.batches);
        self.work.extend(batches.into_iter().map(|(to, bodies)| Work::Send(to, bodies)));
        if !self.work.is_empty() {
            // The traffic thread runs as long as the process does.
            drop(self.traffic.send(std::mem::take(&mut self.work)));
        }
        if !self.saves.is_empty() {
            let saves = std::mem::take(&mut self.saves);
            self.store(store::Write::Saves(saves));
        }
        self.publish();
    }

    /// Publishes readiness, the number of open jobs, whether the routes are out of date and whether
    /// a seat may be taken over.
    fn publish(&mut self) {
        let (view, now) = (&self.control.view, self.control.clock.now());
        let version = view.routing().version;
        let serving = self.core.is_ready(now) && version > 0;
        let ready = serving && !view.draining.load(atomic::Ordering::Relaxed);
        view.ready.store(ready, atomic::Ordering::Relaxed);
        view.open_jobs.store(self.core.open(), atomic::Ordering::Relaxed);
        view.awaits_successor.store(self.core.awaits_successor(now), atomic::Ordering::Relaxed);
        if self.core.document().version <= version {
            self.unread_since = None;
        }
        let overdue = self.unread_since.is_some_and(|since| since.elapsed() >= READ_TIMEOUT);
        self.publish_outdated(overdue || self.core.is_outdated(now));
        // Routes that are newer than those before a stop are in effect once they are read.
        let is_read = self.unread_since.is_none() || overdue;
        let is_settled = self.core.is_settled(now) && (is_read || !view.waits());
        view.set_unsettled(!is_settled, now);
        if is_settled {
            self.unsettled.drain(..).for_each(|then| then(true));
        }
    }
}

fn record_measure(measure: event::Measure) {
    let time = time::Duration::from_micros;
    match measure {
        event::Measure::FirstWait(waited) => metric::record_first_wait(time(waited)),
        event::Measure::IdleRoom(idle) => metric::record_idle_room(time(idle)),
        event::Measure::Breakdown(parts) => {
            metric::record_task_part("order", time(parts.order));
            metric::record_task_part("work", time(parts.work));
            metric::record_task_part("told", time(parts.told));
        }
        event::Measure::LoadAge(age) => metric::record_load_age(time(age)),
    }
}

/// Returns the label of a reply in metrics.
fn reply_label(reply: &Reply) -> &'static str {
    match reply {
        Reply::Verdict(job::Verdict::Complete) => "complete",
        Reply::Verdict(job::Verdict::Failed) => "failed",
        Reply::Verdict(job::Verdict::GaveUp) => "gave_up",
        Reply::Verdict(job::Verdict::NotRun(refusal)) => refusal.name(),
        Reply::Cancelled => "cancelled",
        Reply::NotOpen => "not_open",
        Reply::Noted => "noted",
        Reply::Newest(_) => "newest",
        Reply::Incomplete => "incomplete",
        Reply::Challenge(_) => "challenge",
        Reply::Conflict => "conflict",
        Reply::NoZone => "no_zone",
        Reply::Unavailable => "unavailable",
    }
}
