//! The operator, who publishes and reads configurations and evacuates zones.

use dispatch::{
    evacuation,
    event::{Event, Reply},
    message::Document,
};

use super::{World, zone_name};

impl World {
    /// Publishes a configuration at a keeper; returns the ticket.
    pub fn publish(&mut self, at: usize, version: u64, text: &str) -> u64 {
        self.sequence += 1;
        let ticket = self.sequence;
        let document = Document { version, body: text.to_owned().into() };
        self.handle(at, Event::Publish(ticket, document));
        ticket
    }

    /// Reads the configuration at a keeper; returns the ticket.
    pub fn read(&mut self, at: usize) -> u64 {
        self.sequence += 1;
        let ticket = self.sequence;
        self.handle(at, Event::Read(ticket));
        ticket
    }

    /// Evacuates a zone, or reverts its evacuation, at a keeper; returns the ticket.
    pub fn evacuate(&mut self, at: usize, zone: usize, evacuated: bool) -> u64 {
        self.sequence += 1;
        let ticket = self.sequence;
        let request = evacuation::Request { zone: zone_name(zone), evacuated, opened: 0 };
        self.handle(at, Event::Evacuate(ticket, request));
        ticket
    }

    /// Returns the reply to a ticket, if there is one yet.
    pub fn reply(&self, ticket: u64) -> Option<&Reply> {
        self.replies.iter().find(|(other, _)| *other == ticket).map(|(_, reply)| reply)
    }
}
