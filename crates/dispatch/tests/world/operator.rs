//! The operator: configurations handed in and read back.

use dispatch::{
    event::{Event, Reply},
    message::Document,
};

use super::{World, zone_name};

impl World {
    /// The operator hands a configuration to a keeper; gives the ticket.
    pub fn publish(&mut self, at: usize, version: u64, text: &str) -> u64 {
        self.order += 1;
        let ticket = self.order;
        let document = Document { version, body: text.to_owned().into() };
        self.handle(at, Event::Publish(ticket, document));
        ticket
    }

    /// The operator reads at a keeper; gives the ticket.
    pub fn read(&mut self, at: usize) -> u64 {
        self.order += 1;
        let ticket = self.order;
        self.handle(at, Event::Read(ticket));
        ticket
    }

    /// The operator evacuates a zone, or takes it back, at a keeper; gives the ticket.
    pub fn evacuate(&mut self, at: usize, zone: usize, evacuated: bool) -> u64 {
        self.order += 1;
        let ticket = self.order;
        self.handle(at, Event::Evacuate(ticket, zone_name(zone), evacuated));
        ticket
    }

    pub fn reply(&self, ticket: u64) -> Option<&Reply> {
        self.replies.iter().find(|(other, _)| *other == ticket).map(|(_, reply)| reply)
    }
}
