//! Propagation of the configuration: an instance learns of a newer version, fetches it, puts it in
//! force, and announces it to other instances.

use state::name;

use crate::{
    machines::{control_log, core::Core},
    messages::{
        evacuation,
        event::{Output, Reply, Ticket},
        member,
        message::{Body, Document, Part, PartRequest},
        time::{MS, Now},
    },
    tables::fetch,
};

/// An instance answers no requests by its configuration once it has known a newer version for this
/// long, microseconds: a route may be gone or lead elsewhere. Operators count on a change after
/// 2,000 ms. Of these, the news may take 450 ms if its heartbeat is lost twice, and reading the
/// newer configuration 300 ms. An instance that receives heartbeats from no instance with a newer
/// one, as it is cut off or keepers have lost power, goes on with the last that it has.
const OUTDATED_AFTER: u64 = 1_100 * MS;

/// A keeper that has just started announces the configuration on its disk, which may be older than
/// the last acknowledged one, for this long, microseconds. After that it announces none until it has
/// learned what is committed: the settings group has elected a leader by then, unless most of it is
/// lost.
const UNCONFIRMED_TIME: u64 = 2_000 * MS;
/// An entry that has just started answers by a configuration that no keeper has confirmed for this
/// long, microseconds. Operators count on their changes 3,000 ms after a start.
const UNCONFIRMED_LIMIT: u64 = 2_500 * MS;

/// An entry that has resumed after a stop and hears of no keeper goes on with the configuration that
/// it has after this long, microseconds: three heartbeats.
const SETTLE_LIMIT: u64 = 500 * MS;

/// Maximum size of a configuration that is sent without a request, bytes: several keepers may send
/// it, and each copy takes 1.3 ms of a link of 25 Mbit/s.
const MAX_UNREQUESTED: usize = 4_096;

impl Core {
    /// Records the version that another instance has, and fetches it if it is newer.
    pub(crate) fn record_version(&mut self, version: u64, now: Now) {
        if version > self.document.version {
            self.newer_versions.entry(version).or_insert(now.mono);
            self.fetch_newer(now);
        }
    }

    /// Whether this instance has known a newer version for too long to answer requests by
    /// the one in force, and a live instance has that newer one; or whether no keeper has confirmed
    /// the one in force since this instance started.
    pub fn is_outdated(&self, now: Now) -> bool {
        if self.is_unconfirmed(now) {
            return true;
        }
        let Some((version, since)) = self.newer_versions.first_key_value() else { return false };
        now.mono >= since + OUTDATED_AFTER
            && !self.membership.sources(*version, now.mono).is_empty()
    }

    /// Whether this entry has just started and acts by a configuration that a keeper announced when
    /// that had just started itself, and does not confirm now.
    fn is_unconfirmed(&self, now: Now) -> bool {
        !self.confirmed
            && self.control_log.is_none()
            && now.mono >= self.membership.start() + UNCONFIRMED_LIMIT
            && self.membership.is_unannounced(self.document.version, now.mono)
    }

    /// Checks whether a keeper has confirmed the configuration in force. This is needed once after
    /// a start: only confirmed configurations replace it from then on.
    pub(crate) fn check_confirmed(&mut self, now: Now) {
        let version = self.document.version;
        if !self.confirmed && self.control_log.is_none() && version > 0 {
            self.confirmed =
                self.membership.is_announced_after(version, UNCONFIRMED_TIME, now.mono);
        }
    }

    /// Whether this instance may answer requests by the configuration in force. It may not after a
    /// stop until a keeper has answered that it has no newer one: routes may have changed in the
    /// meantime.
    pub fn is_settled(&self, now: Now) -> bool {
        self.resumed_at.is_none_or(|since| {
            now.mono >= since + SETTLE_LIMIT
                && (self.newer_versions.is_empty() || self.is_outdated(now))
        })
    }

    /// Checks whether a keeper has confirmed the configuration in force since the last stop.
    pub(crate) fn check_settled(&mut self) {
        let version = self.document.version;
        self.resumed_at =
            self.resumed_at.filter(|since| !self.membership.is_confirmed_since(version, *since));
    }

    /// The version that heartbeats announce; 0 for none.
    pub(crate) fn announced_version(&self, now: Now) -> u64 {
        let is_confirmed =
            self.control_log.as_ref().is_none_or(control_log::ControlLog::is_confirmed);
        let is_fresh = now.mono < self.membership.start() + UNCONFIRMED_TIME;
        if is_confirmed || is_fresh { self.document.version } else { 0 }
    }

    /// Requests the newest known configuration if that is due.
    pub(crate) fn fetch_newer(&mut self, now: Now) {
        let Some(newest) = self.newer_versions.last_key_value().map(|(version, _)| *version) else {
            return;
        };
        if !self.fetch.is_due(newest, now.mono) {
            return;
        }
        let sources = self.membership.sources(newest, now.mono);
        if let Some((source, request)) = self.fetch.begin(newest, &sources, now.mono) {
            let detail = format!(
                "version {newest} from byte {}, held {}",
                request.offset, self.document.version
            );
            self.note("settings: Fetching.", &source, detail);
            self.send(&source, Body::Fetch(request), now);
        }
    }

    /// Sends the configuration without a request to an instance that has none, if this instance is
    /// a keeper and the configuration is short: a request of that instance may be lost, as its
    /// stream to this one is not up yet.
    pub(crate) fn push_document(&mut self, to: &name::Name, now: Now) {
        let held = self.control_log.is_some() && self.document.version > 0;
        if held && self.document.body.len() <= MAX_UNREQUESTED {
            let request = PartRequest { version: self.document.version, offset: 0 };
            if let Some(part) = fetch::part(&self.document, request) {
                self.send(to, Body::Part(part), now);
            }
        }
    }

    /// Handles a part of a configuration.
    pub(crate) fn on_part(&mut self, from: &name::Name, part: &Part, now: Now) {
        match self.fetch.add_part(from, part, now.mono) {
            fetch::Progress::More(request) => self.send(from, Body::Fetch(request), now),
            fetch::Progress::Complete(document) => self.adopt(document, now),
            fetch::Progress::Ignored => {
                let detail = format!(
                    "version {} from byte {}, held {}",
                    part.version, part.offset, self.document.version
                );
                self.note("settings: Ignored a part that is not needed.", from, detail);
            }
        }
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub(crate) fn adopt(&mut self, document: Document, now: Now) {
        if document.version <= self.document.version {
            return;
        }
        let newer = self.newer_versions.split_off(&(document.version + 1));
        let replaced = std::mem::replace(&mut self.newer_versions, newer);
        let since = replaced.into_values().min().unwrap_or(now.mono);
        let waited = now.mono.saturating_sub(since) / MS;
        self.fetch.drop_older(document.version);
        self.document = document.clone();
        let name = self.membership.me().name.clone();
        self.note(
            "settings: In force.",
            &name,
            format!("version {}, known for {waited} ms", document.version),
        );
        self.out.push(Output::Document(document));
        self.check_settled();
        if self.control_log.is_some() {
            self.announce_version(now);
        }
        // An even newer version may have been announced while this one was on its way.
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

    /// Handles an order of the operator to evacuate a zone or to revert its evacuation.
    pub(crate) fn order_evacuation(
        &mut self,
        ticket: Ticket,
        request: evacuation::Request,
        now: Now,
    ) {
        if !self.has_zone(&request.zone) {
            return self.reply(ticket, Reply::NoZone);
        }
        match &mut self.control_log {
            Some(control_log) => control_log.evacuate(ticket, request, now.mono),
            None => self.reply(ticket, Reply::Unavailable),
        }
    }

    /// Whether the settings name a zone, or this instance knows an instance or upstream of it.
    fn has_zone(&self, zone: &name::Name) -> bool {
        let me = self.membership.me();
        let named = self.named_zones.contains(zone) || me.zone == *zone;
        named
            || !self.membership.zone_members(zone).is_empty()
            || self.table.of_zone(zone).next().is_some()
    }

    /// Puts a set of evacuated zones in force if it is newer than the present one.
    pub(crate) fn adopt_evacuations(&mut self, newer: &evacuation::Evacuations, now: Now) {
        if newer.revision <= self.evacuations.revision {
            return;
        }
        self.evacuations = newer.clone();
        let me = self.membership.me().name.clone();
        let detail = format!("revision {}: {}", newer.revision, newer.names());
        self.note("settings: Evacuated zones changed.", &me, detail);
        if self.control_log.is_some() {
            self.announce_version(now);
        }
    }

    /// Announces a newer configuration or set of evacuated zones to the entries of this zone at
    /// once, without waiting for the next heartbeat.
    pub(crate) fn announce_version(&mut self, now: Now) {
        let near = |card: &member::Card| {
            card.role == member::Role::Entry && card.zone == self.membership.me().zone
        };
        let names = self.membership.names().filter(|name| {
            self.membership.peer(name).and_then(|peer| peer.card.as_ref()).is_some_and(near)
        });
        let names: Vec<_> = names.cloned().collect();
        for to in names {
            self.send_heartbeat(&to, now);
        }
    }
}
