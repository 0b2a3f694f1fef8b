//! What an instance does about the configuration: hears of a newer one, fetches it, puts it in
//! force, and tells the others.

use state::name;

use crate::{
    core::Core,
    evacuation,
    event::{Output, Reply, Ticket},
    fetch, member,
    message::{Ask, Body, Document, Part},
    time::{MS, Now},
};

/// Requests are not answered by a configuration that is known to be older than another one for this
/// long, microseconds: a route may be gone or lead elsewhere. Operators count on a change after
/// 2,000 ms, of which its news may take a heartbeat that was lost twice (450 ms), and reading the newer
/// one 300 ms. An instance that
/// hears nobody who has a newer one, as it is cut off or keepers have lost power, goes on by the last
/// that it has.
const OUTDATED: u64 = 1_100 * MS;

/// A configuration up to this size is given unasked, bytes: several keepers may do so, and each takes
/// 1.3 ms of a link of 25 Mbit/s.
const UNASKED: usize = 4_096;

impl Core {
    /// Takes the version that another instance has.
    pub(crate) fn hear_version(&mut self, version: u64, now: Now) {
        if version > self.document.version {
            self.told.entry(version).or_insert(now.mono);
            self.fetch_newer(now);
        }
    }

    /// Whether a newer configuration has been known of for too long for requests to be answered by
    /// the one in force, and somebody who has it is heard.
    pub fn is_outdated(&self, now: Now) -> bool {
        let Some((version, since)) = self.told.first_key_value() else { return false };
        now.mono >= since + OUTDATED && !self.membership.holders(*version, now.mono).is_empty()
    }

    /// Asks for the newest configuration that is known of, if that is due.
    pub(crate) fn fetch_newer(&mut self, now: Now) {
        let Some(newest) = self.told.last_key_value().map(|(version, _)| *version) else { return };
        if !self.fetch.is_due(newest, now.mono) {
            return;
        }
        let sources = self.membership.holders(newest, now.mono);
        if let Some((source, ask)) = self.fetch.begin(newest, &sources, now.mono) {
            let detail = format!(
                "version {newest} from byte {}, held {}",
                ask.offset, self.document.version
            );
            self.note("settings: Fetching.", &source, detail);
            self.send(&source, Body::Fetch(ask), now);
        }
    }

    /// Gives the configuration to an instance that has none, unasked if it is short: its question may
    /// be lost, as its stream to here is not up yet.
    pub(crate) fn give_document(&mut self, to: &name::Name, now: Now) {
        let held = self.control_log.is_some() && self.document.version > 0;
        if held && self.document.body.len() <= UNASKED {
            let ask = Ask { version: self.document.version, offset: 0 };
            if let Some(part) = fetch::part(&self.document, ask) {
                self.send(to, Body::Part(part), now);
            }
        }
    }

    /// Takes a part of a configuration.
    pub(crate) fn on_part(&mut self, from: &name::Name, part: &Part, now: Now) {
        match self.fetch.take(from, part, now.mono) {
            fetch::Taken::More(ask) => self.send(from, Body::Fetch(ask), now),
            fetch::Taken::Whole(document) => self.adopt(document, now),
            fetch::Taken::Unneeded => {
                let detail = format!(
                    "version {} from byte {}, held {}",
                    part.version, part.offset, self.document.version
                );
                self.note("settings: A part that is not needed.", from, detail);
            }
        }
    }

    /// Puts a configuration in force if it is newer.
    pub(crate) fn adopt(&mut self, document: Document, now: Now) {
        if document.version <= self.document.version {
            return;
        }
        let newer = self.told.split_off(&(document.version + 1));
        let told = std::mem::replace(&mut self.told, newer);
        let since = told.into_values().min().unwrap_or(now.mono);
        let waited = now.mono.saturating_sub(since) / MS;
        self.fetch.drop_older(document.version);
        self.document = document.clone();
        let name = self.membership.me().name.clone();
        self.note(
            "settings: In force.",
            &name,
            format!("version {}, known of for {waited} ms", document.version),
        );
        self.out.push(Output::Document(document));
        if self.control_log.is_some() {
            self.announce_version(now);
        }
        // What is newer still was told of while this one was on its way.
        self.fetch_newer(now);
    }

    pub(crate) fn adopt_log(&mut self, now: Now) {
        let Some(control_log) = &self.control_log else { return };
        let newer = control_log.document().version > self.document.version;
        let document = newer.then(|| control_log.document().clone());
        let evacuations = control_log.evacuations();
        if evacuations.revision > self.evacuations.revision {
            let evacuations = evacuations.clone();
            self.adopt_evacuations(&evacuations, now);
        }
        if let Some(document) = document {
            self.adopt(document, now);
        }
    }

    /// Takes an order of the operator to evacuate a zone or to take it back.
    pub(crate) fn order_evacuation(
        &mut self,
        ticket: Ticket,
        zone: name::Name,
        evacuated: bool,
        now: Now,
    ) {
        if !self.has_zone(&zone) {
            return self.reply(ticket, Reply::NoZone);
        }
        match &mut self.control_log {
            Some(control_log) => control_log.evacuate(ticket, zone, evacuated, now.mono),
            None => self.reply(ticket, Reply::Unavailable),
        }
    }

    /// Whether a zone is named by the settings, or an instance or upstream of it is known.
    fn has_zone(&self, zone: &name::Name) -> bool {
        let me = self.membership.me();
        let named = self.named_zones.contains(zone) || me.zone == *zone;
        named
            || !self.membership.of_zone(zone).is_empty()
            || self.table.of_zone(zone).next().is_some()
    }

    /// Puts a newer set of evacuated zones in force.
    pub(crate) fn adopt_evacuations(&mut self, heard: &evacuation::Evacuations, now: Now) {
        if heard.revision <= self.evacuations.revision {
            return;
        }
        self.evacuations = heard.clone();
        let me = self.membership.me().name.clone();
        let detail = format!("revision {}: {}", heard.revision, heard.names());
        self.note("settings: Evacuated zones changed.", &me, detail);
        if self.control_log.is_some() {
            self.announce_version(now);
        }
    }

    /// Tells the others of a newer configuration without waiting for the next heartbeat.
    pub(crate) fn announce_version(&mut self, now: Now) {
        let near = |card: &member::Card| {
            card.role == member::Role::Entry && card.zone == self.membership.me().zone
        };
        let names = self.membership.names().filter(|name| {
            self.membership.peer(name).and_then(|peer| peer.card.as_ref()).is_some_and(near)
        });
        let names: Vec<_> = names.cloned().collect();
        for to in names {
            self.beat_now(&to, now);
        }
    }
}
