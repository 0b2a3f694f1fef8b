//! Announcements of upstreams, and their checks against the services of the configuration.

use std::collections;

use state::name;

use crate::{
    machines::core::Core,
    messages::{
        event::{Reply, Ticket},
        incarnation::Incarnation,
        message::Body,
        time::Now,
        upstream::Record,
    },
};

/// Log line for a rejected announcement.
const REFUSED: &str = "upstream: Announcement refused.";

impl Core {
    pub(crate) fn announce(&mut self, ticket: Ticket, record: &Record, now: Now) {
        if self.refuse_undated(record) {
            return self.reply(ticket, Reply::Incomplete);
        }
        if let Some(merged) = self.merge_announced(record) {
            self.send_record(&merged, now);
        }
        self.reply(ticket, Reply::Noted);
    }

    /// Handles an announcement for a service that the active configuration does not name. Accepts
    /// it if the upstream is already known to belong to that service: a change may have removed the
    /// service, and the upstream may be leaving. Rejects it otherwise, since the announcement may
    /// come from another writer. If the service is added later, the next announcement is accepted.
    pub(crate) fn announce_unlisted(&mut self, ticket: Ticket, record: &Record, now: Now) {
        if self.is_known(record) {
            return self.announce(ticket, record, now);
        }
        self.note_unlisted(record);
        self.reply(ticket, Reply::Unavailable);
    }

    /// Handles an announcement that arrived before this instance had read a configuration. It is
    /// checked once a configuration is read, unless the upstream is known already.
    pub(crate) fn announce_unchecked(&mut self, ticket: Ticket, record: Record, now: Now) {
        // The configuration may have been read since the announcement arrived.
        match self.unchecked.is_listed(&record.service) {
            Some(true) => return self.announce(ticket, &record, now),
            Some(false) => return self.announce_unlisted(ticket, &record, now),
            None if self.is_known(&record) => return self.announce(ticket, &record, now),
            None => {}
        }
        let reply = if self.unchecked.insert(record) { Reply::Noted } else { Reply::Unavailable };
        self.reply(ticket, reply);
    }

    /// Checks the announcements that arrived before the services of the configuration were known.
    pub(crate) fn check_announcements(
        &mut self,
        services: collections::BTreeSet<name::Name>,
        now: Now,
    ) {
        let mut merged = Vec::new();
        for record in self.unchecked.take(services) {
            if self.unchecked.is_listed(&record.service) != Some(true) {
                self.note_unlisted(&record);
            } else if !self.refuse_undated(&record) {
                merged.extend(self.merge_announced(&record));
            }
        }
        if !merged.is_empty() {
            self.send_records(&merged, now);
        }
    }

    pub(crate) fn withdraw(&mut self, ticket: Ticket, id: &Incarnation, now: Now) {
        self.unchecked.remove(id);
        let withdrawn = self.table.withdrawn(id);
        if let Some(record) = withdrawn.and_then(|id| self.table.mark_gone(&id, true)) {
            self.note("upstream: Withdrawn.", &id.name, record.id.to_string());
            self.send_record(&record, now);
        } else {
            self.note("upstream: Ignored a withdrawal.", &id.name, id.to_string());
        }
        self.reply(ticket, Reply::Noted);
    }

    pub(crate) fn note_refused(&mut self, id: &name::Name, why: String) {
        self.note(REFUSED, id, why);
    }

    fn note_unlisted(&mut self, record: &Record) {
        self.note_refused(&record.id.name, format!("no service {}", record.service));
    }

    /// Whether an announcement lacks the start time that others of its service state; logs it if it
    /// does.
    fn refuse_undated(&mut self, record: &Record) -> bool {
        let is_undated = self.table.is_undated(record);
        if is_undated {
            self.note_refused(&record.id.name, "no start time".to_owned());
        }
        is_undated
    }

    /// Whether the table holds the upstream of an announcement under the same service.
    fn is_known(&self, record: &Record) -> bool {
        self.table.get(&record.id).is_some_and(|held| held.service == record.service)
    }

    /// Merges an announcement; returns the record now known if it has changed.
    fn merge_announced(&mut self, record: &Record) -> Option<Record> {
        let merged = self.table.merge(record.clone())?;
        let Record { id, phase, address, zone, .. } = record;
        let detail = format!("{phase:?} at {address} in {zone}, incarnation {}", id.started);
        self.note("upstream: Announced.", &id.name, detail);
        Some(merged)
    }

    /// Sends the record of an upstream to every instance that may schedule this upstream.
    pub(crate) fn send_record(&mut self, record: &Record, now: Now) {
        self.send_records(std::slice::from_ref(record), now);
    }

    /// Sends records of upstreams, one message to each instance that may schedule some of them.
    fn send_records(&mut self, records: &[Record], now: Now) {
        for record in records {
            self.forward_record(record);
        }
        let names: Vec<_> = self.membership.names().cloned().collect();
        for to in names {
            let card = self.membership.peer(&to).and_then(|peer| peer.card.as_ref());
            let Some(card) = card else { continue };
            let is_wanted = |record: &&Record| self.receives_records(card, &record.zone);
            let wanted: Vec<_> = records.iter().filter(is_wanted).cloned().collect();
            if !wanted.is_empty() {
                self.send(&to, Body::Records(wanted), now);
            }
        }
    }
}
