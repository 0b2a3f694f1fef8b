//! The control thread: it alone owns the core. Everybody else talks to it through a channel and
//! hears of state through a [`view`](super::view).

use std::{
    collections, sync,
    sync::{atomic, mpsc},
    thread, time,
};

use dispatch::{
    core,
    event::{self, Event, Output, Reply},
    job, message, order,
};
use link::metric;
use state::name;

use super::{
    handle::{Control, Input},
    lines, reader,
    traffic::{self, Work},
};
use crate::store;

/// Between two ticks: the time in which a silence, a hanging task or a lapsed lease is noticed
/// late, against 0.1% of a core for each halving.
const TICK: time::Duration = time::Duration::from_millis(40);
/// Between two looks at how the instance stands, for its metrics.
const LOOK: time::Duration = time::Duration::from_millis(500);

/// A configuration that is not read after this counts as out of reach: its routes are not in force.
/// An entry with 0.12 of a core was seen to take 160 ms for 4,200 routes.
const READ: time::Duration = time::Duration::from_millis(600);

/// What the control thread works with.
#[derive(Debug)]
pub struct Parts {
    /// What the instance is.
    pub config: core::Config,
    /// The data folder, if there is one.
    pub store: Option<store::Store>,
    /// The traffic thread.
    pub traffic: traffic::Sender,
    /// Where logs go.
    pub log: slog::Logger,
}

impl Control {
    /// Starts the thread.
    pub fn start(&self, parts: Parts) {
        let control = self.clone();
        let run = move || Thread::new(control, parts).run();
        if let Err(e) = thread::Builder::new().name("control".to_owned()).spawn(run) {
            eprintln!("control: no thread: {e}");
        }
    }
}

/// Somebody who waits for a reply.
struct Waiting {
    reply: platform::ReplyFn,
    since: time::Instant,
    /// Service of the job; none for other questions.
    service: name::Name,
}

struct Thread {
    control: Control,
    core: core::Core,
    replies: collections::HashMap<event::Ticket, Waiting>,
    batches: collections::BTreeMap<name::Name, Vec<bytes::Bytes>>,
    work: Vec<Work>,
    saves: store::Saves,
    store: Option<crossbeam_channel::Sender<store::Write>>,
    traffic: traffic::Sender,
    reader: mpsc::Sender<message::Document>,
    /// Since when a configuration waits to be read.
    unread: Option<time::Instant>,
    lines: lines::Lines,
    log: slog::Logger,
}

impl Thread {
    fn new(control: Control, parts: Parts) -> Self {
        let reader = reader::start(sync::Arc::clone(&control.view), parts.log.clone());
        let core = core::Core::new(parts.config, control.clock.now());
        let report = control.clone();
        // Without this report the group stands still until the next store.
        let saved = move |number| while !report.tell(Event::Saved(number)) {};
        let store = parts.store.map(|store| store.run(parts.log.clone(), saved));
        Self {
            control,
            core,
            replies: collections::HashMap::new(),
            batches: collections::BTreeMap::new(),
            work: Vec::new(),
            saves: Vec::new(),
            store,
            traffic: parts.traffic,
            reader,
            unread: None,
            lines: lines::Lines::new(),
            log: parts.log,
        }
    }

    fn run(mut self) {
        let mut tick = time::Instant::now();
        let mut look = tick;
        loop {
            let wait = tick.saturating_duration_since(time::Instant::now());
            for input in self.control.mailbox.take(wait) {
                self.take(input);
            }
            if time::Instant::now() >= tick {
                tick = time::Instant::now() + TICK;
                self.take(Input::Event(Event::Tick));
            }
            if time::Instant::now() >= look {
                look = time::Instant::now() + LOOK;
                self.look();
            }
            for output in self.core.settle(self.control.clock.now()) {
                self.put(output);
            }
            self.flush();
        }
    }

    fn take(&mut self, input: Input) {
        let event = match input {
            Input::Event(event) => event,
            Input::Ask(ticket, event, reply) => {
                let since = time::Instant::now();
                let service = match &event {
                    Event::Submit(_, job) => job.service.clone(),
                    _ => name::Name::new("none"),
                };
                self.replies.insert(ticket, Waiting { reply, since, service });
                event
            }
        };
        if let Event::Left(ticket) = &event {
            self.replies.remove(ticket);
        }
        self.core.tell(event, self.control.clock.now());
    }

    fn put(&mut self, output: Output) {
        match output {
            Output::Send(to, body) => {
                let bytes = coord::machine::encode(&body);
                metric::count_message(body.kind(), bytes.len());
                self.batches.entry(to).or_default().push(bytes);
            }
            Output::Redial(to) => self.work.push(Work::Redial(to)),
            Output::Disconnect(to) => self.work.push(Work::Disconnect(to)),
            Output::Save(number, save) => self.saves.push((number, save)),
            Output::Remember(known) => self.store(store::Write::Known(known)),
            Output::Call(call) => {
                if let order::Order::Start { waited, .. } = &call.order {
                    metric::note_start(time::Duration::from_millis(*waited));
                }
                self.work.push(Work::Call(call));
            }
            Output::Reply(ticket, reply) => {
                if let Some(waiting) = self.replies.remove(&ticket) {
                    let took = waiting.since.elapsed();
                    metric::note_reply(outcome(&reply), waiting.service.as_str(), took);
                    (waiting.reply)(reply);
                }
            }
            // The reader runs as long as the process does.
            Output::Document(document) => {
                self.unread.get_or_insert_with(time::Instant::now);
                drop(self.reader.send(document));
            }
            Output::Note(note) => self.lines.write(&self.log, &note),
            Output::Measure(measure) => note_measure(measure),
        }
    }

    /// Tells the listeners whether the routes in force may still be gone by.
    fn note_outdated(&self, outdated: bool) {
        if self.control.view.outdated.swap(outdated, atomic::Ordering::Relaxed) != outdated {
            let version = self.core.document().version;
            slog::warn!(self.log, "settings: Out of date."; "is" => outdated, "version" => version);
        }
    }

    /// Takes down how the instance stands.
    fn look(&self) {
        let status = self.core.status(self.control.clock.now());
        if let Ok(mut held) = self.control.view.status.write() {
            *held = status;
        }
        for room in self.core.rooms(self.control.clock.now()) {
            let message::Load { free, total } = room.load;
            let detail = format!("{free}m of {total}m cores free, {} tasks wait", room.waiting);
            slog::info!(self.log, "zone: Room."; "id" => %room.zone, "detail" => detail);
        }
    }

    fn store(&self, write: store::Write) {
        if let Some(store) = &self.store {
            // A store that stopped is never heard of again, which is what its voter needs.
            drop(store.send(write));
        }
    }

    /// Passes on what was decided, and shows how the instance stands now.
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
        self.show();
    }

    /// Tells the listeners whether clients may be sent here.
    fn show(&mut self) {
        let (view, now) = (&self.control.view, self.control.clock.now());
        let routed = view.routing().version;
        let able = self.core.is_ready(now) && routed > 0;
        let ready = able && !view.draining.load(atomic::Ordering::Relaxed);
        view.ready.store(ready, atomic::Ordering::Relaxed);
        view.open.store(self.core.open(), atomic::Ordering::Relaxed);
        if self.core.document().version <= routed {
            self.unread = None;
        }
        let unread = self.unread.is_some_and(|since| since.elapsed() >= READ);
        self.note_outdated(unread || self.core.is_outdated(now));
    }
}

fn note_measure(measure: event::Measure) {
    let time = time::Duration::from_micros;
    match measure {
        event::Measure::FirstWait(waited) => metric::note_first_start(time(waited)),
        event::Measure::IdleRoom(idle) => metric::note_idle_room(time(idle)),
        event::Measure::Breakdown(parts) => {
            metric::note_part("order", time(parts.order));
            metric::note_part("work", time(parts.work));
            metric::note_part("told", time(parts.told));
        }
        event::Measure::LoadAge(age) => metric::note_load_age(time(age)),
    }
}

/// Short name of a reply, for counting.
fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Verdict(job::Verdict::Complete) => "complete",
        Reply::Verdict(job::Verdict::Failed) => "failed",
        Reply::Verdict(job::Verdict::GaveUp) => "gave_up",
        Reply::Verdict(job::Verdict::NotRun(refusal)) => refusal.name(),
        Reply::Noted => "noted",
        Reply::Newest(_) => "newest",
        Reply::Conflict => "conflict",
        Reply::NoZone => "no_zone",
        Reply::Unavailable => "unavailable",
    }
}
