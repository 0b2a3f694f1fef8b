//! What comes of an instance's decisions.

use dispatch::{
    event::{Event, Measure, Output, Reply},
    message::Body,
    order::{Call, Order},
    time::MS,
};
use rand::RngExt as _;

use super::{What, World, zone_name};

impl World {
    pub(super) fn handle(&mut self, at: usize, event: Event) {
        let now = self.clock();
        let Some(core) = &mut self.instances[at].core else { return };
        let began = std::time::Instant::now();
        let outputs = core.handle(event, now);
        *self.spent.entry(at).or_default() += began.elapsed();
        for output in outputs {
            self.put(at, output);
        }
    }

    fn put(&mut self, at: usize, output: Output) {
        if let Some(id) = &self.trace {
            let text = format!("{output:?}");
            if text.contains(id.as_str()) || matches!(output, Output::Note(_)) {
                println!("{:>7} ms {} {text}", self.now / MS, self.instances[at].card.name);
            }
        }
        let life = self.instances[at].life;
        match output {
            Output::Send(to, body) => {
                *self.sent.entry(body.kind()).or_default() += 1;
                if let Some(to) = self.instances.iter().position(|i| i.card.name == to) {
                    self.streams.insert((at, to));
                    let same = self.instances[to].card.zone == self.instances[at].card.zone;
                    let delay = if same { 200 } else { 900 };
                    let due = self.arrival(at, to, self.now + delay + self.busy);
                    let due = self.late(at, to, due);
                    self.count(at, true, &body);
                    if self.silent.contains(&(at, to)) {
                        return;
                    }
                    let stream = self.redialled.get(&(at, to)).copied().unwrap_or(0);
                    if !self.links.is_slow(to) {
                        self.push(due, What::Deliver { to, from: at, stream, body });
                    } else if self.links.add(at, to, stream, body) {
                        self.push(self.now + delay, What::Link { to });
                    }
                }
            }
            Output::Call(call) => {
                *self.calls.entry(at).or_default() += 1;
                let (number, fence) = (call.number, call.fence);
                self.note_start(&call);
                let patience = call.timeout * MS;
                let late = matches!(call.order, Order::Start { .. })
                    && self.late > 0
                    && self.rng.random_range(0..self.late) == 0;
                let delay = if late { 3_000 * MS } else { 300 };
                let lost = matches!(call.order, Order::Hold { .. })
                    && self.mute > 0
                    && self.rng.random_range(0..self.mute) == 0;
                if !lost {
                    self.push(self.now + delay, What::Arrive { call, from: (at, life) });
                }
                let expire = What::Expire { to: (at, life), number, fence };
                self.push(self.now + patience, expire);
            }
            Output::Save(number, save) => {
                if let Some((mirror, _)) = &mut self.instances[at].disk {
                    mirror.apply(save);
                }
                self.push(self.now + 9 * MS, What::Saved { to: (at, life), number });
            }
            Output::Redial(to) => {
                *self.redials.entry(at).or_default() += 1;
                if let Some(to) = self.instances.iter().position(|i| i.card.name == to) {
                    self.silent.remove(&(at, to));
                    if self.lossy {
                        *self.redialled.entry((at, to)).or_default() += 1;
                        self.last.remove(&(at, to));
                    }
                }
            }
            Output::SaveKnown(known) => self.instances[at].known = known,
            Output::Note(note) => *self.notes.entry(note.text).or_default() += 1,
            Output::Measure(Measure::Breakdown(parts)) => self.splits.push(parts),
            Output::Reply(ticket, Reply::Verdict(verdict)) => self.verdict(ticket, verdict),
            Output::Reply(ticket, reply) => self.replies.push((ticket, reply)),
            _ => {}
        }
    }

    /// Notes an order to start a task.
    fn note_start(&mut self, call: &Call) {
        let upstream = self.upstreams.iter().find(|u| u.id == call.upstream.as_str());
        if let (Order::Start { .. }, Some(upstream)) = (&call.order, upstream) {
            self.orders.insert(upstream.zone.clone(), self.now);
        }
    }

    /// When a task was last ordered to start in a zone, microseconds.
    pub fn last_start(&self, zone: usize) -> u64 {
        self.orders.get(zone_name(zone).as_str()).copied().unwrap_or(0)
    }

    pub(super) fn count(&mut self, at: usize, sent: bool, body: &Body) {
        if self.weigh {
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
