//! All decisions of one instance. Events go in with the time, effects come out.

use coord::group;
use state::name;

use crate::{
    claim, desk,
    event::{Event, Note, Output, Reply, Ticket},
    job::{Refusal, Verdict},
    member,
    message::{Body, Document, Ping},
    roster, sched,
    time::{MS, Now},
    upstream, vault,
};

/// An instance that did nothing for this long has been stopped, microseconds: what it knows of the
/// others is too old to go on by. A client that lost its entry comes back after 1,300 ms, and it
/// takes [`roster::SILENT`] to notice that loss.
const STOPPED: u64 = 600 * MS;

/// What an instance is.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance.
    pub me: member::Card,
    /// Addresses of instances to start from.
    pub seeds: Vec<name::Name>,
    /// Length of upstreams' leases, milliseconds.
    pub lease: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Incarnation of the disk, what it held, and whether the whole system starts for the first
    /// time; nothing for an instance without a disk.
    pub disk: Option<Disk>,
}

/// The disk of a keeper.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Its incarnation.
    pub life: u64,
    /// What it held.
    pub recovered: group::Recovered,
    /// Whether the whole system starts for the first time.
    pub first: bool,
}

/// All decisions of one instance.
#[derive(Debug)]
pub struct Core {
    lease: u64,
    roster: roster::Roster,
    claims: claim::Claims,
    table: upstream::Table,
    sched: Option<sched::Sched>,
    desk: desk::Desk,
    vault: Option<vault::Vault>,
    document: Document,
    draining: bool,
    leads: bool,
    last: Now,
    out: Vec<Output>,
}

impl Core {
    /// An instance that starts at `now`.
    pub fn new(config: Config, now: Now) -> Self {
        let Config { me, seeds, lease, seed, disk } = config;
        let vault = disk.map(|disk| {
            let member = name::Member::new(&me.name, disk.life);
            let founder = disk.first && seeds.contains(&me.name);
            let founders = founder.then_some(seeds.as_slice());
            vault::Vault::new(member, disk.recovered, founders, now.mono, seed)
        });
        let roster = roster::Roster::new(me, &seeds, now.mono);
        let out = roster.names().cloned().map(Output::Connect).collect();
        let mut core = Self {
            lease,
            roster,
            claims: claim::Claims::default(),
            table: upstream::Table::default(),
            sched: None,
            desk: desk::Desk::default(),
            vault,
            document: Document::default(),
            draining: false,
            leads: false,
            last: now,
            out,
        };
        core.adopt_vault();
        core
    }

    /// Takes one event and gives its effects.
    pub fn handle(&mut self, event: Event, now: Now) -> Vec<Output> {
        self.tell(event, now);
        self.settle(now)
    }

    /// Takes one event. Its effects come with the next [`Self::settle`]: placing tasks once for
    /// many events costs little more than once for one.
    pub fn tell(&mut self, event: Event, now: Now) {
        self.notice_stop(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Peer(from, body) => self.on_peer(&from, body, true, now),
            Event::Saved(number) => {
                if let Some(vault) = &mut self.vault {
                    vault.saved(number, now.mono);
                }
            }
            Event::Submit(ticket, job) => {
                let (view, desk) = view(&self.roster, &self.claims, &mut self.desk, now);
                desk.submit(ticket, *job, view);
            }
            Event::Left(ticket) => self.desk.left(ticket),
            Event::Announce(ticket, record) => self.announce(ticket, &record, now),
            Event::Withdraw(ticket, id) => self.withdraw(ticket, &id, now),
            Event::Publish(ticket, document) => match &mut self.vault {
                Some(vault) => vault.publish(ticket, document, now.mono),
                None => self.reply(ticket, Reply::Unavailable),
            },
            Event::Read(ticket) => match &mut self.vault {
                Some(vault) => vault.read(ticket, now.mono),
                None => self.reply(ticket, Reply::Unavailable),
            },
            Event::Called(number, fence, outcome) => {
                if let Some(sched) = &mut self.sched {
                    sched.called(number, fence, outcome, now.mono);
                }
            }
            Event::Seeds(seeds) => {
                self.roster.set_seeds(&seeds, now.mono);
                let names: Vec<_> = self.roster.names().cloned().collect();
                self.out.extend(names.into_iter().map(Output::Connect));
            }
            Event::Drain => self.drain(now),
        }
    }

    /// Gives the effects of what was told.
    pub fn settle(&mut self, now: Now) -> Vec<Output> {
        self.settle_parts(now);
        std::mem::take(&mut self.out)
    }

    /// Trusts nobody after a time in which this instance was stopped. The wall clock shows it
    /// where the monotonic one was stopped as well.
    fn notice_stop(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last, now);
        let wall = now.wall.saturating_sub(last.wall) * MS;
        let gap = now.mono.saturating_sub(last.mono).max(wall);
        if gap < STOPPED {
            return;
        }
        self.roster.distrust(now.mono);
        if let Some(sched) = &mut self.sched {
            sched.drop_all();
        }
        let me = self.roster.me().name.clone();
        self.note("node: Was stopped, trusting nobody until heard again.", &me, gap.to_string());
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self, now: Now) -> bool {
        let reached = |claim: &claim::Claim| self.roster.holds(claim, now.mono);
        !self.draining && self.document.version > 0 && self.claims.iter().any(reached)
    }

    /// Jobs that clients wait for here.
    pub fn open(&self) -> usize {
        self.desk.open()
    }

    /// Whether this instance schedules its zone.
    pub fn is_scheduler(&self) -> bool {
        self.sched.is_some()
    }

    /// Jobs under way here, as their scheduler.
    pub fn jobs(&self) -> usize {
        self.sched.as_ref().map_or(0, sched::Sched::jobs)
    }

    /// The configuration in force here.
    pub fn document(&self) -> &Document {
        &self.document
    }

    fn tick(&mut self, now: Now) {
        self.beat(now);
        for name in self.roster.mute(now.mono) {
            self.note("peer: Nothing comes back, dialling anew.", &name, String::new());
            self.out.push(Output::Redial(name));
        }
        for name in self.roster.forget(now.mono) {
            self.note("peer: Forgotten.", &name, String::new());
            self.out.push(Output::Disconnect(name));
        }
        if !self.draining
            && let Some(claim) = self.claims.contend(&self.roster, now)
        {
            self.lead(&claim, now);
        }
        if let Some(sched) = &mut self.sched {
            let roster = &self.roster;
            sched.tick(|entry| roster.clock(entry, now.mono), now.mono);
        }
        let (view, desk) = view(&self.roster, &self.claims, &mut self.desk, now);
        desk.tick(view);
        let keepers: Vec<_> = self.roster.keepers().cloned().collect();
        if let Some(vault) = &mut self.vault {
            vault.set_others(keepers);
            vault.tick(now);
            let leads = vault.is_leader();
            if std::mem::replace(&mut self.leads, leads) != leads {
                let voters = vault.voters();
                let me = self.roster.me().name.clone();
                let text = if leads { "settings: Leading." } else { "settings: Not leading." };
                self.note(text, &me, voters);
            }
        }
    }

    fn beat(&mut self, now: Now) {
        let zone = self.roster.me().zone.clone();
        let holders: Vec<_> = self.claims.watched(&zone).map(|claim| &claim.holder).collect();
        let due = self.roster.due(|name| holders.contains(&name), now.mono);
        if due.is_empty() {
            return;
        }
        let ping = self.ping(now);
        for to in due {
            let ping = self.address_ping(ping.clone(), &to, now);
            let body = Body::Ping(Box::new(ping));
            if !self.roster.is_direct(&to, now.mono)
                && let Some(relay) = self.roster.relay(&to, now.mono).cloned()
            {
                let me = self.roster.me().name.clone();
                let relayed = Body::Relay(me, to.clone(), Box::new(body.clone()));
                self.out.push(Output::Send(relay, relayed));
            }
            self.out.push(Output::Send(to, body));
        }
    }

    fn ping(&self, now: Now) -> Ping {
        let zone = &self.roster.me().zone;
        Ping {
            card: self.roster.me().clone(),
            clock: now.mono,
            echo: false,
            urgent: false,
            draining: self.draining,
            led: self.claims.is_led(zone, &self.roster, now.mono),
            claims: self.claims.iter().cloned().collect(),
            version: self.document.version,
            members: self.roster.digest(),
            records: None,
            load: self.sched.as_ref().map(|sched| sched.load(now.mono)),
            hears: self.roster.hears(now.mono),
        }
    }

    fn on_peer(&mut self, from: &name::Name, body: Body, direct: bool, now: Now) {
        match body {
            Body::Ping(ping) => self.on_ping(*ping, direct, now),
            Body::Members(cards, gone) => {
                let lost = self.roster.learn(cards, gone, now.mono);
                self.out.extend(lost.into_iter().map(Output::Disconnect));
                let names: Vec<_> = self.roster.names().cloned().collect();
                self.out.extend(names.into_iter().map(Output::Connect));
            }
            Body::Records(records, whole) => self.on_records(from, records, whole, now),
            Body::Fetch(version) => {
                if self.document.version > version {
                    self.send(from, Body::Document(self.document.clone()), now);
                }
            }
            Body::Document(document) => self.adopt(document, now),
            Body::Agree(body) => {
                if let Some(vault) = &mut self.vault {
                    vault.agree(from, *body, now);
                }
            }
            Body::Confirm(number) => {
                if let Some(vault) = &mut self.vault {
                    vault.confirm(from, number, now.mono);
                }
            }
            Body::Confirmed(number, version) => {
                if let Some(vault) = &mut self.vault {
                    vault.confirmed(number, version);
                }
            }
            Body::Submit(job) => self.on_submit(from, *job, now),
            Body::Cancel(id) => {
                if let Some(sched) = &mut self.sched {
                    sched.cancel(&id, from);
                }
            }
            Body::Await(ids, stamp) => {
                let unknown = match &mut self.sched {
                    Some(sched) => sched.awaited(&ids, from, stamp, now.mono),
                    None => ids,
                };
                for id in unknown {
                    self.send(from, Body::Unknown(id), now);
                }
            }
            Body::Unknown(id) => self.desk.unknown(from, &id),
            Body::Verdict(id, verdict) => self.desk.verdict(from, &id, &verdict, now.mono),
            Body::Relay(origin, to, body) if to == self.roster.me().name => {
                if !matches!(*body, Body::Relay(..)) {
                    self.on_peer(&origin, *body, false, now);
                }
            }
            Body::Relay(origin, to, body) => {
                if self.roster.is_direct(&to, now.mono) {
                    self.out.push(Output::Send(to.clone(), Body::Relay(origin, to, body)));
                }
            }
        }
    }

    fn on_submit(&mut self, from: &name::Name, job: crate::job::Job, now: Now) {
        match &mut self.sched {
            Some(sched) => sched.submit(job, from, now.mono),
            None => self.send(from, Body::Unknown(job.id), now),
        }
    }

    fn on_ping(&mut self, ping: Ping, direct: bool, now: Now) {
        let from = ping.card.name.clone();
        if from == self.roster.me().name {
            return;
        }
        for claim in &ping.claims {
            if self.claims.merge(claim) {
                self.note("zone: Claimed.", &claim.holder, claim.zone.to_string());
            }
        }
        if let Some(load) = ping.load {
            self.desk.load(&ping.card.zone, load);
        }
        let (version, members, records) = (ping.version, ping.members, ping.records);
        let known = self.roster.peer(&from).is_some();
        if self.roster.heard(ping, direct, now.mono) {
            self.note("peer: Heard.", &from, String::new());
            // It has just started: what it lacks comes with the answer to this.
            self.beat_now(&from, now);
            if let Some(sched) = &mut self.sched {
                sched.forget_entry(&from);
            }
        }
        if !known {
            self.out.push(Output::Connect(from.clone()));
        }
        if version > self.document.version {
            self.send(&from, Body::Fetch(self.document.version), now);
        }
        let zone = self.roster.me().zone.clone();
        let differs = (
            members != self.roster.digest(),
            records.is_some_and(|digest| digest != self.table.digest(&zone)),
        );
        if differs != (false, false) && self.roster.is_sync_due(&from, now.mono) {
            if differs.0 {
                self.send(&from, Body::Members(self.roster.cards(), self.roster.gone()), now);
            }
            if differs.1 {
                let records = self.table.of_zone(&zone).cloned().collect();
                self.send(&from, Body::Records(records, true), now);
            }
        }
        self.yield_to_higher();
    }

    /// Stops scheduling when another instance has the higher claim.
    fn yield_to_higher(&mut self) {
        let me = self.roster.me();
        let holder = self.claims.of(&me.zone);
        let mine = holder.is_some_and(|claim| claim.holder == me.name && claim.life == me.life);
        if self.sched.is_some() && !mine {
            self.sched = None;
            let holder = holder.map_or_else(|| me.name.clone(), |claim| claim.holder.clone());
            self.note("zone: Yielded to a higher claim.", &holder, String::new());
        }
    }

    fn lead(&mut self, claim: &claim::Claim, now: Now) {
        let mut sched = sched::Sched::new(claim.epoch, self.lease, now.mono);
        for record in self.table.of_zone(&claim.zone) {
            sched.record(record);
        }
        self.sched = Some(sched);
        self.note("zone: Scheduling.", &claim.holder, format!("epoch {}", claim.epoch));
        // The others are told at once, so that entries hand their jobs in again.
        self.beat_all(now);
    }

    fn on_records(
        &mut self,
        from: &name::Name,
        records: Vec<upstream::Record>,
        whole: bool,
        now: Now,
    ) {
        let zone = records.first().map(|record| record.zone.clone());
        let mut news = Vec::new();
        let listed: std::collections::BTreeMap<_, _> = records
            .iter()
            .map(|record| (record.id.clone(), (record.serial, record.phase)))
            .collect();
        for record in records {
            if self.table.merge(record.clone()) {
                news.push(record);
            }
        }
        let zone = zone.unwrap_or_else(|| self.roster.me().zone.clone());
        let newer = self.table.of_zone(&zone).filter(|record| {
            listed.get(&record.id).is_none_or(|held| *held < (record.serial, record.phase))
        });
        let newer: Vec<_> = newer.cloned().collect();
        if whole && !newer.is_empty() {
            self.send(from, Body::Records(newer, false), now);
        }
        for record in news {
            self.tell_sched(&record);
        }
    }

    fn tell_sched(&mut self, record: &upstream::Record) {
        if record.zone == self.roster.me().zone
            && let Some(sched) = &mut self.sched
        {
            sched.record(record);
        }
    }

    fn announce(&mut self, ticket: Ticket, record: &upstream::Record, now: Now) {
        if self.table.merge(record.clone()) {
            let detail = format!("{:?} at {} in {}", record.phase, record.address, record.zone);
            self.note("upstream: Announced.", &record.id, detail);
            self.spread(record, now);
        }
        self.reply(ticket, Reply::Noted);
    }

    fn withdraw(&mut self, ticket: Ticket, id: &name::Name, now: Now) {
        if let Some(record) = self.table.bury(id, true) {
            self.note("upstream: Withdrawn.", id, String::new());
            self.spread(&record, now);
        }
        self.reply(ticket, Reply::Noted);
    }

    /// Tells every instance that may schedule the upstream of its news.
    fn spread(&mut self, record: &upstream::Record, now: Now) {
        self.tell_sched(record);
        let names: Vec<_> = self.roster.names().cloned().collect();
        for to in names {
            let concerned =
                self.roster.peer(&to).and_then(|peer| peer.card.as_ref()).is_some_and(|card| {
                    card.zone == record.zone || card.role == member::Role::Keeper
                });
            if concerned {
                self.send(&to, Body::Records(vec![record.clone()], false), now);
            }
        }
    }

    fn adopt(&mut self, document: Document, now: Now) {
        if document.version <= self.document.version {
            return;
        }
        self.document = document.clone();
        let name = self.roster.me().name.clone();
        self.note("settings: In force.", &name, format!("version {}", document.version));
        self.out.push(Output::Document(document));
        if self.vault.is_some() {
            self.announce_version(now);
        }
    }

    /// Tells the others of a newer configuration without waiting for the next heartbeat.
    fn announce_version(&mut self, now: Now) {
        let near = |card: &member::Card| {
            card.role == member::Role::Entry && card.zone == self.roster.me().zone
        };
        let names = self.roster.names().filter(|name| {
            self.roster.peer(name).and_then(|peer| peer.card.as_ref()).is_some_and(near)
        });
        let names: Vec<_> = names.cloned().collect();
        for to in names {
            self.beat_now(&to, now);
        }
    }

    fn adopt_vault(&mut self) {
        let Some(vault) = &self.vault else { return };
        if vault.document().version > self.document.version {
            let document = vault.document().clone();
            self.adopt(document, Now::default());
        }
    }

    fn drain(&mut self, now: Now) {
        self.draining = true;
        if let Some(vault) = &mut self.vault {
            vault.hand_over(now.mono);
        }
        self.beat_all(now);
    }

    fn beat_all(&mut self, now: Now) {
        let names: Vec<_> = self.roster.names().cloned().collect();
        for to in names {
            self.beat_now(&to, now);
        }
    }

    /// Sends a heartbeat with something new in it.
    fn beat_now(&mut self, to: &name::Name, now: Now) {
        let ping = Ping { urgent: true, ..self.ping(now) };
        let ping = self.address_ping(ping, to, now);
        self.send(to, Body::Ping(Box::new(ping)), now);
    }

    /// Completes a heartbeat with what is meant for its receiver.
    fn address_ping(&mut self, ping: Ping, to: &name::Name, now: Now) -> Ping {
        let card = self.roster.peer(to).and_then(|peer| peer.card.as_ref());
        let me = self.roster.me();
        // Entries hold their own zone's upstreams only.
        let held = |card: &&member::Card| me.role == member::Role::Keeper || card.zone == me.zone;
        let records = card.filter(held).map(|card| self.table.digest(&card.zone));
        Ping { echo: self.roster.echo(to, now.mono), records, ..ping }
    }

    /// Moves the effects of the parts on.
    fn settle_parts(&mut self, now: Now) {
        self.settle_sched(now);
        let desk = self.desk.take();
        for (to, body) in desk.sends {
            self.send(&to, body, now);
        }
        self.out.extend(desk.notes.into_iter().map(Output::Note));
        for (ticket, verdict) in desk.verdicts {
            self.reply(ticket, Reply::Verdict(verdict));
        }
        if let Some(vault) = &mut self.vault {
            let out = vault.take();
            for (to, body) in out.sends {
                self.send(&to, body, now);
            }
            self.out.extend(out.saves.into_iter().map(|(number, save)| Output::Save(number, save)));
            for (ticket, reply) in out.replies {
                self.reply(ticket, reply);
            }
            self.adopt_vault();
        }
    }

    fn settle_sched(&mut self, now: Now) {
        let Some(sched) = &mut self.sched else { return };
        let roster = &self.roster;
        sched.run(|entry| roster.clock(entry, now.mono), now.mono);
        let out = sched.take();
        self.out.extend(out.calls.into_iter().map(Output::Call));
        self.out.extend(out.notes.into_iter().map(Output::Note));
        for (to, id, verdict) in out.verdicts {
            if to == self.roster.me().name {
                let me = to.clone();
                self.desk.verdict(&me, &id, &verdict, now.mono);
            } else {
                self.send(&to, Body::Verdict(id, verdict), now);
            }
        }
        for (id, last) in out.gone {
            if let Some(record) = self.table.bury(&id, last) {
                self.spread(&record, now);
            }
        }
        if !out.outranked.is_empty() {
            self.outranked(&out.outranked, now);
        }
    }

    /// Upstreams have seen a higher token although nobody with a higher claim is heard.
    fn outranked(&mut self, ids: &[name::Name], now: Now) {
        let me = self.roster.me().clone();
        let detail = format!("{} in all", ids.len());
        self.note("zone: Outranked at an upstream.", &ids[0], detail);
        if self.roster.is_cut_off(now.mono) {
            // The larger part of the zone has a scheduler of its own.
            self.claims.bar(now.mono);
            self.sched = None;
            return self.note("zone: Yielded, cut off from most of it.", &me.name, String::new());
        }
        let Some(sched) = &mut self.sched else { return };
        let claim = self.claims.overrule(&me, now.wall);
        sched.overrule(claim.epoch, now.mono);
    }

    fn send(&mut self, to: &name::Name, body: Body, now: Now) {
        let me = self.roster.me().name.clone();
        if *to == me {
            return self.on_peer(&me, body, true, now);
        }
        if !self.roster.is_direct(to, now.mono)
            && let Some(relay) = self.roster.relay(to, now.mono).cloned()
        {
            let body = Body::Relay(me, to.clone(), Box::new(body));
            return self.out.push(Output::Send(relay, body));
        }
        self.out.push(Output::Send(to.clone(), body));
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.out.push(Output::Reply(ticket, reply));
    }

    fn note(&mut self, text: &'static str, subject: &name::Name, detail: String) {
        self.out.push(Output::Note(Note { text, subject: subject.clone(), detail }));
    }
}

/// The answer to a job that comes while the instance shuts down.
pub fn refuse_draining() -> Reply {
    Reply::Verdict(Verdict::NotRun(Refusal::Draining))
}

fn view<'a>(
    roster: &'a roster::Roster,
    claims: &'a claim::Claims,
    desk: &'a mut desk::Desk,
    now: Now,
) -> (desk::View<'a>, &'a mut desk::Desk) {
    (desk::View { roster, claims, now: now.mono }, desk)
}
