//! Communication with other instances: heartbeats and their handling, and the other messages.

use std::collections;

use state::name;

use crate::{
    machines::{core::Core, sched, zone},
    messages::{
        claim,
        event::Output,
        job, member,
        message::{Adopted, AdoptedZone, Body, Handover, HeartbeatAck, Ping},
        time::Now,
        upstream,
    },
    tables::fetch,
};

impl Core {
    /// Sends the heartbeats that are due, and copies of them through a third instance where the
    /// direct path is silent.
    pub(crate) fn send_heartbeats(&mut self, now: Now) {
        let zone = self.membership.me().zone.clone();
        let led = self.claims.is_led(&zone, &self.membership, now.mono);
        let shares = self.membership.is_front() && self.has_low_capacity();
        self.membership.update_window(self.is_scheduler() || shares, led, now.mono);
        if self.has_low_capacity() {
            self.report_vacancy(now);
        }
        let partners = self.partners(led);
        let due = self.membership.due(|name| partners.contains(name), now.mono);
        if due.is_empty() {
            return;
        }
        let ping = self.ping(now);
        for to in due {
            let watching = self.membership.is_chosen(&to, partners.contains(&to));
            let ping = self.complete_heartbeat(Ping { watching, ..ping.clone() }, &to, now);
            let body = Body::Ping(Box::new(ping));
            if let Some(relay) = self.membership.relay(&to, now.mono).cloned() {
                let me = self.membership.me().name.clone();
                let relayed = Body::Relay(me, to.clone(), Box::new(body.clone()));
                self.out.push(Output::Send(relay, relayed));
            }
            self.out.push(Output::Send(to, body));
        }
    }

    /// Sends heartbeats at once when a scheduler of the zone falls silent: to the first instances
    /// of the zone, which wait for one another's word before one claims it, and to the schedulers
    /// of the other zones, which answer if they could schedule this zone, too.
    fn report_vacancy(&mut self, now: Now) {
        let zone = self.membership.me().zone.clone();
        let led = self.claims.led_parts(&zone, &self.membership, now.mono);
        let former = std::mem::replace(&mut self.led, led);
        if led.covers(former) || !self.membership.is_front() {
            return;
        }
        let peers = self.membership.zone_peers(now.mono);
        let peers = peers.filter(|card| self.membership.is_watched(card));
        let peers = peers.map(|card| card.name.clone());
        let others = self.claims.iter().filter(|claim| claim.zone != zone);
        let others = others.map(|claim| claim.holder.clone());
        let names: collections::BTreeSet<_> = peers.chain(others).collect();
        for to in names {
            self.send_heartbeat(&to, now);
        }
    }

    /// The instances that this one works with: the scheduler of its zone, the schedulers that have
    /// jobs of its clients, the scheduler of the next zone if it might need room there, and the
    /// entries of the zones that it may have to schedule.
    fn partners(&self, led: bool) -> Vec<name::Name> {
        let zone = &self.membership.me().zone;
        let next = self.membership.is_small()
            || !led
            || self.is_scheduler()
            || self.submissions.is_short(self.claims.of_zone(zone));
        let watched = self
            .claims
            .watched(zone, &self.evacuations)
            .filter(|claim| next || claim.zone == *zone);
        let watched = watched.map(|claim| claim.holder.clone());
        let entries = self.watched_entries.iter().cloned();
        watched.chain(self.submissions.schedulers().cloned()).chain(entries).collect()
    }

    /// Entries of other zones that a keeper watches because it may have to schedule their zones:
    /// zones without a scheduler, and zones where this keeper comes first if their keepers are
    /// lost.
    pub(crate) fn find_watched_entries(&self, now: Now) -> Vec<name::Name> {
        let me = self.membership.me();
        if me.role != member::Role::Keeper || self.membership.is_small() {
            return Vec::new();
        }
        let others = self.zones.keys().filter(|name| **name != me.zone);
        let wanted = others.filter(|zone| {
            self.membership.is_next(zone, now.mono)
                || !self.claims.is_led(zone, &self.membership, now.mono)
        });
        wanted.flat_map(|zone| self.membership.hubs(zone)).collect()
    }

    /// Builds a heartbeat without the fields that depend on its receiver.
    pub(crate) fn ping(&self, now: Now) -> Ping {
        let zone = &self.membership.me().zone;
        Ping {
            card: self.membership.me().clone(),
            clock: now.mono,
            echo: false,
            ack: None,
            upstreams: self.digest(),
            // The receiver informs an instance without a configuration at once.
            urgent: self.document.version == 0,
            draining: self.draining,
            led: self.claims.led_parts(zone, &self.membership, now.mono),
            claims: self.claims.iter().cloned().collect(),
            version: self.announced_version(now),
            evacuations: self.evacuations.clone(),
            members: self.membership.digest(),
            records: None,
            load: self.zones.get(zone).and_then(|zone| zone.load(now.mono)),
            adopted: self.adopted(now),
            low_capacity: self.has_low_capacity(),
            watching: false,
            silent_peers: self.membership.silent_peers(now.mono),
        }
    }

    /// The zones other than its own that this instance schedules.
    fn adopted(&self, now: Now) -> Adopted {
        let home = &self.membership.me().zone;
        let others = self.zones.iter().filter(|(name, _)| *name != home);
        let adopted_zone = |(name, zone): (&name::Name, &zone::Zone)| {
            let (load, upstreams) = (zone.load(now.mono)?, zone.directory.digest());
            Some(AdoptedZone { zone: name.clone(), upstreams, load })
        };
        others.filter_map(adopted_zone).collect()
    }

    /// Handles a message; `direct` says that it came from its sender without a relay.
    pub(crate) fn on_peer(&mut self, from: &name::Name, body: Body, direct: bool, now: Now) {
        match body {
            Body::Ping(ping) => self.on_ping(*ping, direct, now),
            Body::Members(cards, gone) => {
                if self.membership.raise_incarnation(&cards, &gone, now.mono) {
                    let incarnation = self.membership.me().incarnation.to_string();
                    self.note(
                        "node: Incarnation raised above the one that others know.",
                        from,
                        incarnation,
                    );
                    self.yield_to_higher(now);
                }
                if self.membership.lower_capacity(&cards, now.mono) {
                    let capacity = format!("{:?}", self.membership.me().capacity);
                    self.note("node: Another process of its name states less.", from, capacity);
                }
                let lost = self.membership.merge_members(cards, gone, now.mono);
                self.out.extend(lost.into_iter().map(Output::Disconnect));
            }
            Body::Records(records) => self.on_records(records),
            Body::Listing(zone, records) => self.on_listing(from, &zone, records, now),
            Body::Fetch(request) => {
                if let Some(part) = fetch::part(&self.document, request) {
                    self.send(from, Body::Part(part), now);
                }
            }
            Body::Part(part) => self.on_part(from, &part, now),
            Body::Agree(body) => {
                if let Some(control_log) = &mut self.control_log {
                    control_log.on_group_message(from, *body, now);
                }
            }
            Body::Confirm(number) => {
                if let Some(control_log) = &mut self.control_log {
                    control_log.on_query(from, number, now.mono);
                }
            }
            Body::Confirmed(number, version) => {
                if let Some(control_log) = &mut self.control_log {
                    control_log.on_query_answer(number, version);
                }
            }
            Body::Challenged(order) => {
                if let Some(control_log) = &mut self.control_log {
                    control_log.on_challenge_read_elsewhere(order, now.mono);
                }
            }
            Body::Submit(zone, job, handover) => self.on_submit(from, &zone, *job, handover, now),
            Body::Cancel(id) => {
                self.scheds_mut().for_each(|sched| sched.cancel(&id, from));
            }
            Body::Revoke(id) => self.on_revoke(from, &id, now),
            Body::Await(zone, handovers, entry_clock) => {
                let unknown = match self.sched_of(&zone) {
                    Some(sched) => sched.renew_awaited(&handovers, from, entry_clock, now.mono),
                    None => handovers,
                };
                for awaited in unknown {
                    self.send(from, Body::Unknown(awaited.job, awaited.number), now);
                }
            }
            Body::Unknown(id, number) => self.submissions.handle_unknown(from, &id, number),
            Body::Verdict(id, decision) => {
                let (view, submissions) = self.view(now);
                submissions.handle_verdict(from, &id, &decision, view);
            }
            Body::Spare(id, returned) => {
                let (view, submissions) = self.view(now);
                submissions.handle_returned(from, &id, &returned, view);
            }
            Body::Reservation(message) => self.on_reservation(from, message, now),
            Body::Seek(zone, sought) => self.on_seek(from, &zone, sought, now),
            Body::Clear(zone, parts, clear) => {
                if let Some(sched) = self.sched_of(&zone) {
                    sched.record_clear(parts, &clear);
                }
            }
            Body::Lost(losses) => self.record_losses(&losses, now),
            Body::Relay(origin, to, body) if to == self.membership.me().name => {
                if !matches!(*body, Body::Relay(..)) {
                    self.membership.record_relay(&origin, from, now.mono);
                    self.on_peer(&origin, *body, false, now);
                }
            }
            Body::Relay(origin, to, body) => {
                if self.membership.is_direct(&to, now.mono) {
                    self.out.push(Output::Send(to.clone(), Body::Relay(origin, to, body)));
                }
            }
        }
    }

    pub(crate) fn sched_of(&mut self, zone: &name::Name) -> Option<&mut sched::Sched> {
        self.zones.get_mut(zone)?.sched.as_mut()
    }

    /// Takes a job, if this instance schedules the zone of the job.
    pub(crate) fn on_submit(
        &mut self,
        from: &name::Name,
        zone: &name::Name,
        job: job::Job,
        handover: Handover,
        now: Now,
    ) {
        let held = self.zones.get_mut(zone);
        let Some((sched, directory)) =
            held.and_then(|zone| Some((zone.sched.as_mut()?, &zone.directory)))
        else {
            return self.send(from, Body::Unknown(job.id, handover.number), now);
        };
        // An entry that does not know of parts that this scheduler has would not tell the next one
        // that its tasks may run there. One that means a former claim may have left it since.
        let older = !sched.parts.is_all() && handover.epoch < sched.epoch;
        if older || !handover.parts.covers(sched.parts) {
            return self.send(from, Body::Unknown(job.id, handover.number), now);
        }
        if self.suspects.is_given_up(&job.id) {
            return sched.refuse_given_up(&job.id, from, handover, now.mono);
        }
        if let Some(number) = directory.find(handover.upstreams) {
            sched.record_known(from, number);
        }
        sched.hand_over(job, from, handover, now.mono);
    }

    /// Records the upstreams that another instance knows from a heartbeat of this one: `ack`
    /// acknowledges that heartbeat.
    fn record_known_sets(&mut self, from: &name::Name, ack: &HeartbeatAck) {
        let home = self.membership.me().zone.clone();
        for (name, zone) in &mut self.zones {
            let Some(sched) = &mut zone.sched else { continue };
            let known = ack.digest_of(name, &home).and_then(|digest| zone.directory.find(digest));
            if let Some(number) = known {
                sched.record_known(from, number);
            }
        }
    }

    /// Handles a heartbeat, and asks for what the sender has in a newer version.
    pub(crate) fn on_ping(&mut self, ping: Ping, direct: bool, now: Now) {
        let from = ping.card.name.clone();
        if from == self.membership.me().name {
            return;
        }
        for claim in &ping.claims {
            if self.is_credible(claim, &from) && self.claims.merge(claim, now.mono) {
                self.note("zone: Claimed.", &claim.holder, claim.zone.to_string());
                self.greet_holder(&claim.holder, now);
            }
        }
        self.adopt_evacuations(&ping.evacuations, now);
        if let Some(load) = ping.load {
            self.submissions.record_load(&ping.card.zone, &from, load, now.mono);
        }
        for adopted_zone in &ping.adopted {
            let AdoptedZone { zone, load, .. } = adopted_zone;
            self.submissions.record_load(zone, &from, *load, now.mono);
        }
        let ack = ping.ack.clone();
        let (version, members, records) = (ping.version, ping.members, ping.records);
        let elsewhere = ping.card.zone != self.membership.me().zone;
        let (urgent, low_capacity, led) = (ping.urgent, ping.low_capacity, ping.led);
        let former = self.membership.last_heartbeat(&from).map(|ack| (ack.upstreams, ack.adopted));
        if self.membership.record_heartbeat(ping, direct, now.mono) {
            self.note("peer: First heartbeat received.", &from, String::new());
            // The sender has just started; the answer to its heartbeat brings what it lacks.
            self.send_heartbeat(&from, now);
            if version == 0 {
                self.push_document(&from, now);
            }
            self.scheds_mut().for_each(|sched| sched.forget_entry(&from));
        }
        if let Some(ack) = ack {
            self.record_known_sets(&from, &ack);
        }
        // A scheduler waits until it learns that this instance knows its new upstreams. A heartbeat
        // at once makes that 165 ms at most instead of 325 (`doubled::soon_used`).
        let is_scheduler = self.claims.iter().any(|claim| claim.holder == from);
        let latest = self.membership.last_heartbeat(&from).map(|ack| (ack.upstreams, ack.adopted));
        if is_scheduler && former.is_some() && former != latest {
            self.send_heartbeat(&from, now);
        }
        let vacant = urgent && low_capacity && !led.is_all() && elsewhere;
        if vacant && self.membership.me().role == member::Role::Keeper {
            self.send_heartbeat(&from, now);
        }
        self.record_version(version, now);
        self.check_settled();
        let zone = self.membership.me().zone.clone();
        let sync_needed =
            members != self.membership.digest() || self.membership.is_forgotten(&from);
        if sync_needed && self.membership.is_sync_due(&from, now.mono) {
            self.send(
                &from,
                Body::Members(self.membership.cards(), self.membership.tombstones()),
                now,
            );
        }
        let differs = records.is_some_and(|digest| digest != self.table.digest(&zone));
        if differs && self.membership.is_listing_due(&from, now.mono) {
            let records = self.table.present(&zone).cloned().collect();
            self.send(&from, Body::Listing(zone, records), now);
        }
        self.yield_to_higher(now);
    }

    /// Whether a claim that another instance reports may hold: it names a part, and its holder is
    /// an instance of the zone or a keeper, as far as this instance knows.
    fn is_credible(&mut self, claim: &claim::Claim, from: &name::Name) -> bool {
        let peer = self.membership.peer(&claim.holder);
        let card = peer.and_then(|peer| peer.card.as_ref());
        let may_hold =
            card.is_none_or(|card| card.zone == claim.zone || card.role == member::Role::Keeper);
        if may_hold && !claim.parts.is_empty() {
            return true;
        }
        if self.claims.count_refused() == 1 {
            let detail = format!("{} by {}", claim.zone, claim.holder);
            self.note("zone: A claim was refused, it cannot hold.", from, detail);
        }
        false
    }

    /// Sends a heartbeat to a scheduler that this instance knows only by its claim: after a restart
    /// of the whole system lists of instances come 500 ms later, and jobs wait for a scheduler
    /// whose heartbeats arrive.
    fn greet_holder(&mut self, holder: &name::Name, now: Now) {
        let me = &self.membership.me().name;
        if holder != me && self.membership.peer(holder).is_none() {
            self.membership.add_known(std::slice::from_ref(holder), now.mono);
            self.send_heartbeat(&holder.clone(), now);
        }
    }

    /// Sends a heartbeat to an instance to which the stream has just opened, unless heartbeats go
    /// to and fro between the two already. What was sent while the stream was not open is lost:
    /// after a loss of all power an instance would wait for the next heartbeat, 150 ms, before it
    /// could ask for the configuration.
    pub(crate) fn greet_opened(&mut self, to: &name::Name, now: Now) {
        if !self.membership.is_direct(to, now.mono) && self.membership.peer(to).is_some() {
            self.send_heartbeat(to, now);
        }
    }

    /// Merges records of upstreams.
    pub(crate) fn on_records(&mut self, records: Vec<upstream::Record>) {
        for record in records {
            if let Some(held) = self.table.merge(record) {
                self.forward_record(&held);
            }
        }
    }

    /// Merges another instance's list of the upstreams that are present in a zone, and answers with
    /// the records that it lacks.
    pub(crate) fn on_listing(
        &mut self,
        from: &name::Name,
        zone: &name::Name,
        records: Vec<upstream::Record>,
        now: Now,
    ) {
        let known = |record: &upstream::Record| (record.serial, record.phase);
        let listed: std::collections::BTreeMap<_, _> =
            records.iter().map(|record| (record.id.clone(), known(record))).collect();
        self.on_records(records);
        // The record of an upstream that is gone goes only to instances that still list it.
        let lacks = |record: &&upstream::Record| match listed.get(&record.id) {
            Some(held) => *held < known(record),
            None => record.phase != upstream::Phase::Gone,
        };
        let lacking: Vec<_> = self.table.of_zone(zone).filter(lacks).cloned().collect();
        if !lacking.is_empty() {
            self.send(from, Body::Records(lacking), now);
        }
    }

    /// Sends heartbeats with news to the instances of its zone and to all keepers at once; the
    /// other instances read the news in the heartbeats of these.
    pub(crate) fn send_heartbeats_to_all(&mut self, now: Now) {
        let zone = &self.membership.me().zone;
        let near = |card: &member::Card| card.zone == *zone || card.role == member::Role::Keeper;
        let receives = |name: &&name::Name| {
            let card = self.membership.peer(name).and_then(|peer| peer.card.as_ref());
            self.membership.is_small() || card.is_none_or(near)
        };
        let names: Vec<_> = self.membership.names().filter(receives).cloned().collect();
        for to in names {
            self.send_heartbeat(&to, now);
        }
    }

    /// Sends heartbeats with news to the instances of another zone at once.
    pub(crate) fn send_heartbeats_to_zone(&mut self, zone: &name::Name, now: Now) {
        if *zone == self.membership.me().zone {
            return;
        }
        for to in self.membership.zone_members(zone) {
            self.send_heartbeat(&to, now);
        }
    }

    /// Sends an urgent heartbeat, which carries news, at once.
    pub(crate) fn send_heartbeat(&mut self, to: &name::Name, now: Now) {
        let led = self.claims.is_led(&self.membership.me().zone, &self.membership, now.mono);
        let watching = self.membership.is_chosen(to, self.partners(led).contains(to));
        let ping = Ping { urgent: true, watching, ..self.ping(now) };
        let ping = self.complete_heartbeat(ping, to, now);
        self.send(to, Body::Ping(Box::new(ping)), now);
    }

    /// Fills in the fields of a heartbeat that depend on its receiver.
    pub(crate) fn complete_heartbeat(&mut self, ping: Ping, to: &name::Name, now: Now) -> Ping {
        let card = self.membership.peer(to).and_then(|peer| peer.card.as_ref());
        let me = self.membership.me();
        let held = |card: &&member::Card| {
            self.receives_records(me, &card.zone) && self.receives_records(card, &card.zone)
        };
        let records = card.filter(held).map(|card| self.table.digest(&card.zone));
        let (echo, ack) = (self.membership.echo(to, now.mono), self.membership.last_heartbeat(to));
        Ping { echo, ack, records, ..ping }
    }

    /// Whether an instance receives news of the upstreams of a zone.
    pub(crate) fn receives_records(&self, card: &member::Card, zone: &name::Name) -> bool {
        self.claims.has_holder(zone, &card.name) || self.membership.receives_records(card, zone)
    }

    pub(crate) fn send(&mut self, to: &name::Name, body: Body, now: Now) {
        let me = self.membership.me().name.clone();
        if *to == me {
            return self.on_peer(&me, body, true, now);
        }
        if let Some(relay) = self.membership.detour(to, now.mono).cloned() {
            let body = Body::Relay(me, to.clone(), Box::new(body));
            return self.out.push(Output::Send(relay, body));
        }
        self.out.push(Output::Send(to.clone(), body));
    }
}
