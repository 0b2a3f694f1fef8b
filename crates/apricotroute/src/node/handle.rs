//! The handle through which all other threads reach the control thread.

use std::{sync, sync::atomic};

use dispatch::{
    core,
    event::{self, Event, Reply},
    message, routing,
};
use link::{metric, peer};
use state::name;

use super::{mailbox, view::View};
use crate::{clock, refusals};

/// An input of the control thread.
pub(super) enum Input {
    Event(Event),
    Request(event::Ticket, Event, platform::ReplyFn),
    /// A request that waits until the routes in effect are confirmed.
    Unsettled(platform::SettledFn),
}

/// A handle to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    pub(super) mailbox: sync::Arc<mailbox::Mailbox<Input>>,
    tickets: sync::Arc<atomic::AtomicU64>,
    pub(super) view: sync::Arc<View>,
    pub(super) clock: clock::Clock,
}

impl Control {
    /// Creates a handle; [`Control::start`] starts the thread.
    pub fn new(clock: clock::Clock) -> Self {
        let mailbox = sync::Arc::new(mailbox::Mailbox::new());
        let (tickets, view) = (sync::Arc::default(), sync::Arc::default());
        Self { mailbox, tickets, view, clock }
    }

    /// Returns the clock that scheduling decisions use.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// Returns the state that other threads read without a request to the control thread.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Sends an event; returns `false` if the mailbox is full.
    pub fn send(&self, event: Event) -> bool {
        self.mailbox.push(Input::Event(event)).is_ok()
    }

    /// Sends an event without waking the control thread, which takes it after one tick at most:
    /// waking the thread for each heartbeat and each successful start takes a third of its time.
    /// Returns `false` if the mailbox is full.
    pub fn send_deferred(&self, event: Event) -> bool {
        self.mailbox.push_deferred(Input::Event(event)).is_ok()
    }

    /// Starts draining: work in progress is finished, and readiness checks fail from now on.
    pub fn drain(&self) {
        self.view.draining.store(true, atomic::Ordering::Relaxed);
        self.view.ready.store(false, atomic::Ordering::Relaxed);
        while !self.send(Event::Drain) {}
    }

    /// Answers all open jobs now.
    pub fn finish(&self) {
        while !self.send(Event::Finish) {}
    }

    /// Refuses new jobs from now on.
    pub fn close(&self) {
        self.view.closed.store(true, atomic::Ordering::Relaxed);
    }
}

impl peer::Observer for Control {
    fn opened(&self, to: &name::Name) {
        // Without this event the instance hears this one with its next heartbeat.
        let _sent = self.send(Event::Opened(to.clone()));
    }
}

/// Passes the events of the listeners to the control thread.
#[derive(Debug)]
pub struct Backend {
    control: Control,
    log: slog::Logger,
}

impl Backend {
    /// Creates a backend that forwards all events to `control`.
    pub fn new(control: Control, log: slog::Logger) -> Self {
        Self { control, log }
    }
}

impl platform::Backend for Backend {
    fn submit(
        &self,
        event: Box<dyn FnOnce(event::Ticket) -> Event + Send>,
        reply: platform::ReplyFn,
    ) -> event::Ticket {
        let ticket = self.control.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        let event = event(ticket);
        let is_closed = self.control.view.closed.load(atomic::Ordering::Relaxed);
        if is_closed && matches!(event, Event::Submit(..)) {
            reply(core::refuse_draining());
            return ticket;
        }
        if let Err(Input::Request(_, _, reply)) =
            self.control.mailbox.push(Input::Request(ticket, event, reply))
        {
            slog::warn!(self.log, "control: Mailbox is full, a request is refused.");
            reply(Reply::Unavailable);
        }
        ticket
    }

    fn notify(&self, event: Event) {
        if !self.control.send(event) {
            slog::warn!(self.log, "control: Mailbox is full, an event is dropped.");
        }
    }

    fn routing(&self) -> sync::Arc<routing::Routing> {
        self.control.view.routing()
    }

    fn is_outdated(&self) -> bool {
        self.control.view.outdated.load(atomic::Ordering::Relaxed)
    }

    fn is_unsettled(&self) -> bool {
        self.control.view.is_unsettled(self.control.clock.now())
    }

    fn when_settled(&self, then: platform::SettledFn) {
        if let Err(Input::Unsettled(then)) = self.control.mailbox.push(Input::Unsettled(then)) {
            slog::warn!(self.log, "control: Mailbox is full, a request is refused.");
            then(false);
        }
    }

    fn is_ready(&self) -> bool {
        self.control.view.ready.load(atomic::Ordering::Relaxed)
    }

    fn is_draining(&self) -> bool {
        self.control.view.draining.load(atomic::Ordering::Relaxed)
    }

    fn log_submitted(&self, request: &str, id: &str, waited: u64) {
        slog::info!(self.log, "request: Taken."; "request" => request, "id" => id,
            "waited_ms" => waited);
    }

    fn log_abandoned(&self, request: &str, id: &str, waited: u64) {
        metric::count_abandoned_request();
        slog::info!(self.log, "request: Its client has left."; "request" => request, "id" => id,
            "waited_ms" => waited);
    }

    fn log_refused(&self, request: &str, path: &str, status: u16, why: &str) {
        slog::info!(self.log, "request: Answered at once."; "request" => request, "id" => path,
            "status" => status, "why" => why);
    }
}

/// Forwards messages from other instances to the control thread.
#[derive(Debug)]
pub struct Inbox {
    control: Control,
    refusals: refusals::Refusals,
}

impl Inbox {
    /// Creates an inbox that forwards messages to `control`.
    pub fn new(control: Control, log: slog::Logger) -> Self {
        Self { control, refusals: refusals::Refusals::new(log) }
    }
}

impl peer::Inbox for Inbox {
    fn deliver(&self, from: &name::Name, body: bytes::Bytes) -> bool {
        let Ok(body) = postcard::from_bytes::<message::Body>(&body) else {
            return false;
        };
        let is_urgent = !matches!(&body, message::Body::Ping(ping) if !ping.urgent);
        let event = Event::Peer(from.clone(), body);
        if is_urgent { self.control.send(event) } else { self.control.send_deferred(event) }
    }

    /// Accepts every sender: instances join and leave, and heartbeats show which ones exist.
    fn allows_peer(&self, _name: &name::Name) -> bool {
        true
    }

    fn report_refusal(&self, from: &name::Name, why: &str) {
        self.refusals.report(from, why);
    }
}
