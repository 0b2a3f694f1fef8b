//! The traffic thread: it runs the listeners, the streams to other instances and the calls to
//! upstreams. It makes no scheduling decisions.

use std::{collections, sync, time};

use dispatch::{
    event::Event,
    order::{Answer, Call, Order, Outcome, Reason},
};
use link::{caller, metric, peer};
use state::name;
use tokio::sync::mpsc;

use super::handle;
use crate::refusals;

/// Work for the traffic thread.
#[derive(Debug)]
pub enum Work {
    /// Send messages to an instance.
    Send(name::Name, Vec<bytes::Bytes>),
    /// Close the stream to an instance and open it again.
    Reconnect(name::Name),
    /// Close the stream to an instance.
    Disconnect(name::Name),
    /// Call an upstream.
    Call(Call),
}

/// The sending half of the work queue.
pub type Sender = mpsc::UnboundedSender<Vec<Work>>;
/// The receiving half of the work queue.
pub type Receiver = mpsc::UnboundedReceiver<Vec<Work>>;

/// Creates the work queue. It needs no bound: the core limits how much work is in progress.
pub fn channel() -> (Sender, Receiver) {
    mpsc::unbounded_channel()
}

/// Runs the thread: executes work until the process ends.
pub fn run(
    runtime: &sync::Arc<tokio::runtime::Runtime>,
    mut work: Receiver,
    control: &handle::Control,
    (me, log): (&name::Name, &slog::Logger),
) {
    let mut streams = Streams {
        runtime: sync::Arc::clone(runtime),
        me: me.clone(),
        outbox: peer::Outbox::new().with_observer(sync::Arc::new(control.clone())),
        connected: collections::BTreeSet::new(),
        refusals: refusals::Refusals::new(log.clone()),
    };
    let caller = caller::Caller::new();
    runtime.block_on(async {
        while let Some(batch) = work.recv().await {
            for work in batch {
                match work {
                    Work::Call(call) => start_call(&caller, control, call),
                    other => streams.handle(other),
                }
            }
        }
    });
}

fn start_call(caller: &caller::Caller, control: &handle::Control, call: Call) {
    let caller = caller.clone();
    let pending = PendingCall::new(control, &call);
    tokio::spawn(async move {
        let outcome = platform::upstream::call(&caller, &call).await;
        metric::record_call(
            order_label(&call.order),
            outcome_label(&outcome),
            pending.start.elapsed(),
        );
        pending.answer(outcome);
    });
}

/// A call whose outcome the control thread waits for. It counts as lost if it ends without one.
struct PendingCall {
    control: handle::Control,
    number: u64,
    fence: u64,
    start: time::Instant,
    is_answered: bool,
}

impl PendingCall {
    fn new(control: &handle::Control, call: &Call) -> Self {
        let (number, fence) = (call.number, call.fence);
        let (control, start) = (control.clone(), time::Instant::now());
        Self { control, number, fence, start, is_answered: false }
    }

    fn answer(mut self, outcome: Outcome) {
        self.send(outcome);
    }

    fn send(&mut self, outcome: Outcome) {
        self.is_answered = true;
        let is_done = matches!(outcome, Outcome::Done(_));
        let (number, fence, took) = (self.number, self.fence, self.start.elapsed());
        let took = took.as_micros() as u64;
        let event = Event::Called(Answer { number, fence, took, outcome });
        // The event is dropped only if tens of thousands wait in the mailbox. The lists of the next
        // hold then carry the same information.
        let _sent =
            if is_done { self.control.send_deferred(event) } else { self.control.send(event) };
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.is_answered {
            self.send(Outcome::Lost);
        }
    }
}

/// Returns the label of an order in metrics.
fn order_label(order: &Order) -> &'static str {
    match order {
        Order::Hold { .. } => "hold",
        Order::Start { .. } => "start",
        Order::Stop { .. } => "stop",
    }
}

/// Returns the label of a call's outcome in metrics.
fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done(_) | Outcome::Held { .. } => "done",
        Outcome::Refused(Reason::Fence, _) => "fence",
        Outcome::Refused(Reason::Old, _) => "old",
        Outcome::Refused(Reason::Late, _) => "late",
        Outcome::Refused(Reason::Room, _) => "room",
        Outcome::Refused(Reason::Unhealthy, _) => "unhealthy",
        Outcome::Refused(Reason::Invalid, _) => "invalid",
        Outcome::Replaced => "replaced",
        Outcome::Unsent => "unsent",
        Outcome::Lost => "lost",
    }
}

struct Streams {
    runtime: sync::Arc<tokio::runtime::Runtime>,
    me: name::Name,
    outbox: peer::Outbox,
    connected: collections::BTreeSet<name::Name>,
    refusals: refusals::Refusals,
}

impl Streams {
    fn handle(&mut self, work: Work) {
        match work {
            Work::Send(to, bodies) => {
                self.connect(&to);
                // A full queue means that the stream transmits nothing; the core then detects the
                // silence of the instance.
                let _sent = self.outbox.send(&to, bodies);
            }
            Work::Reconnect(to) => {
                if let Some(why) = self.outbox.closed_reason(&to) {
                    self.refusals.report(&to, &why);
                }
                self.disconnect(&to);
                self.connect(&to);
            }
            Work::Disconnect(to) => self.disconnect(&to),
            Work::Call(_) => {}
        }
    }

    fn connect(&mut self, to: &name::Name) {
        let Ok(address) = to.as_str().parse() else {
            return;
        };
        if self.connected.insert(to.clone()) {
            let outbox = std::mem::take(&mut self.outbox);
            self.outbox = outbox.with_peer(&self.runtime, &self.me, to, address);
        }
    }

    fn disconnect(&mut self, to: &name::Name) {
        self.connected.remove(to);
        self.outbox.drop_peer(to);
    }
}
