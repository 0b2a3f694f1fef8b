//! Applies the outputs of an instance to the simulation.

use dispatch::{
    event::{Event, Measure, Output, Reply},
    message::Body,
    order::{Call, Order},
    time::MS,
};
use rand::RngExt as _;

use super::{Action, World, zone_name};

impl World {
    /// Passes an event to an instance and applies its outputs.
    pub(super) fn handle(&mut self, at: usize, event: Event) {
        let now = self.clock();
        let Some(core) = &mut self.instances[at].core else { return };
        let began = std::time::Instant::now();
        let outputs = core.handle(event, now);
        *self.handling_time.entry(at).or_default() += began.elapsed();
        for output in outputs {
            self.apply(at, output);
        }
    }

    fn apply(&mut self, at: usize, output: Output) {
        if let Some(id) = &self.trace {
            let text = format!("{output:?}");
            if text.contains(id.as_str()) || matches!(output, Output::Note(_)) {
                println!("{:>7} ms {} {text}", self.now / MS, self.instances[at].card.name);
            }
        }
        let generation = self.instances[at].generation;
        match output {
            Output::Send(to, body) => {
                *self.sent.entry(body.kind()).or_default() += 1;
                if let Some(to) = self.instances.iter().position(|i| i.card.name == to) {
                    self.streams.insert((at, to));
                    let same_zone = self.instances[to].card.zone == self.instances[at].card.zone;
                    let delay = if same_zone { 200 } else { 900 };
                    let due = self.arrival_time(at, to, self.now + delay + self.message_delay);
                    let due = self.add_jitter(at, to, due);
                    self.count_message(at, true, &body);
                    if self.stalled.contains(&(at, to)) {
                        return;
                    }
                    let stream = self.redial_counts.get(&(at, to)).copied().unwrap_or(0);
                    if !self.links.is_limited(to) {
                        self.push(due, Action::Deliver { to, from: at, stream, body });
                    } else if self.links.add(at, to, stream, body) {
                        self.push(self.now + delay, Action::LinkTurn { to });
                    }
                }
            }
            Output::Call(call) => {
                *self.calls.entry(at).or_default() += 1;
                let (number, fence) = (call.number, call.fence);
                self.record_start(&call);
                let timeout = call.timeout * MS;
                let late = matches!(call.order, Order::Start { .. })
                    && self.late_orders > 0
                    && self.rng.random_range(0..self.late_orders) == 0;
                let delay = if late { 3_000 * MS } else { 300 };
                let lost = matches!(call.order, Order::Hold { .. })
                    && self.hold_loss > 0
                    && self.rng.random_range(0..self.hold_loss) == 0;
                if !lost {
                    self.push(self.now + delay, Action::Arrive { call, from: (at, generation) });
                }
                let expire = Action::Expire { to: (at, generation), number, fence };
                self.push(self.now + timeout, expire);
            }
            Output::Save(number, save) => {
                if let Some((mirror, _)) = &mut self.instances[at].disk {
                    mirror.apply(save);
                }
                self.push(
                    self.now + self.save_time,
                    Action::Saved { to: (at, generation), number },
                );
            }
            Output::Reconnect(to) => {
                *self.redials.entry(at).or_default() += 1;
                if let Some(to) = self.instances.iter().position(|i| i.card.name == to) {
                    self.stalled.remove(&(at, to));
                    if self.redial_loss {
                        *self.redial_counts.entry((at, to)).or_default() += 1;
                        self.last_arrival.remove(&(at, to));
                    }
                }
            }
            Output::SaveKnown(known) => self.instances[at].known = known,
            Output::Note(note) => *self.log_counts.entry(note.text).or_default() += 1,
            Output::Measure(Measure::Breakdown(parts)) => self.breakdowns.push(parts),
            Output::Reply(ticket, Reply::Verdict(verdict)) => self.record_verdict(ticket, verdict),
            Output::Reply(ticket, reply) => self.replies.push((ticket, reply)),
            _ => {}
        }
    }

    /// Records the time of an order to start a task.
    fn record_start(&mut self, call: &Call) {
        let upstream = self.upstreams.iter().find(|u| u.id == call.upstream.name.as_str());
        if let (Order::Start { .. }, Some(upstream)) = (&call.order, upstream) {
            self.order_times.insert(upstream.zone.clone(), self.now);
        }
    }

    /// Returns when an instance last ordered a task to start in a zone, microseconds.
    pub fn last_start(&self, zone: usize) -> u64 {
        self.order_times.get(zone_name(zone).as_str()).copied().unwrap_or(0)
    }

    /// Counts a message and its size if `count_flows` is set.
    pub(super) fn count_message(&mut self, at: usize, sent: bool, body: &Body) {
        if self.count_flows {
            let kind = match body {
                Body::Relay(_, _, inner) if inner.kind() == "ping" => "relayed ping",
                Body::Relay(_, _, inner) if inner.kind() == "records" => "relayed records",
                _ => body.kind(),
            };
            let flow = self.flows.entry((at, sent, kind)).or_default();
            flow.count += 1;
            flow.bytes += coord::machine::encode(body).len() as u64;
        }
    }
}
