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

    /// Evacuates a zone, or reverts its evacuation, at a keeper, as an operator that follows a
    /// redirect; returns the ticket.
    pub fn evacuate(&mut self, at: usize, zone: usize, evacuated: bool) -> u64 {
        let ticket = self.deliver_order(at, zone, evacuated, None);
        match self.reply(ticket) {
            Some(Reply::Challenge(number)) => {
                let number = *number;
                self.deliver_order(at, zone, evacuated, Some(number))
            }
            _ => ticket,
        }
    }

    /// Delivers one copy of an evacuation order, with the number of a challenge if there is one;
    /// returns the ticket.
    pub fn deliver_order(
        &mut self,
        at: usize,
        zone: usize,
        evacuated: bool,
        challenge: Option<u64>,
    ) -> u64 {
        self.sequence += 1;
        let ticket = self.sequence;
        let zone = zone_name(zone);
        let request = evacuation::Request { zone, evacuated, challenge, opened: 0 };
        self.handle(at, Event::Evacuate(ticket, request));
        ticket
    }

    /// Tells a keeper that the sender of an order has read the challenge in the reply to `ticket`.
    pub fn read_challenge(&mut self, at: usize, ticket: u64) {
        if let Some(Reply::Challenge(number)) = self.reply(ticket) {
            let number = *number;
            self.handle(at, Event::ChallengeRead(number));
        }
    }

    /// Returns the reply to a ticket, if there is one yet.
    pub fn reply(&self, ticket: u64) -> Option<&Reply> {
        self.replies.iter().find(|(other, _)| *other == ticket).map(|(_, reply)| reply)
    }
}
