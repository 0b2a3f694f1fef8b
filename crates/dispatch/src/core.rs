//! All decisions of one instance. Events go in with the time, effects come out.

use std::collections;

use coord::group;
use state::{name, policy};

use crate::{
    claim, control_log, evacuation,
    event::{Event, Known, Note, Output, Reply, Ticket},
    fetch,
    job::{Refusal, Verdict},
    leadership, member, membership,
    message::{Body, Document},
    order, sched, submissions, suspect,
    time::{MS, Now},
    upstream, view, zone,
};

/// An instance that did nothing for this long has been stopped, microseconds: what it knows of the
/// others is too old to go on by. A client that lost its entry comes back after 1,300 ms, and it
/// takes [`peer::SILENT`] to notice that loss.
const STOPPED: u64 = 600 * MS;

/// Where the time of day goes on this much further than the steady clock, microseconds, the latter
/// has stood still: it does so while a machine is suspended. The time of day counts milliseconds.
const PAUSE: u64 = 20 * MS;

/// Who changed is kept so soon after the last time, microseconds. Who reads what was kept
/// has been without power for longer than that, so that it may be wrong about a few of them anyway.
/// The list of a zone of a thousand is 150 KB.
const KEEP: u64 = 1_000 * MS;

/// Line for an announcement that was not taken.
const REFUSED: &str = "upstream: Announcement refused.";

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
    /// Processor time that it has, thousandths of a core.
    pub cores: u64,
    /// Which ways of deciding are in use.
    pub policy: policy::Policy,
    /// Zones that the settings name.
    pub zones: Vec<name::Name>,
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
    /// Who was known last.
    pub known: Known,
}

/// All decisions of one instance.
#[derive(Debug)]
pub struct Core {
    pub(crate) lease: u64,
    /// Processor time, thousandths of a core.
    pub(crate) cores: u64,
    pub(crate) policy: policy::Policy,
    pub(crate) membership: membership::Membership,
    pub(crate) claims: leadership::Claims,
    pub(crate) table: upstream::Table,
    /// The zones whose upstreams it knows, its own among them.
    pub(crate) zones: collections::BTreeMap<name::Name, zone::Zone>,
    /// Entries of other zones that it hears, as of the last tick.
    pub(crate) backed: Vec<name::Name>,
    /// Tasks that ran at upstreams that were lost.
    pub(crate) suspects: suspect::Suspects,
    pub(crate) submissions: submissions::Submissions,
    pub(crate) control_log: Option<control_log::ControlLog>,
    pub(crate) document: Document,
    pub(crate) evacuations: evacuation::Evacuations,
    pub(crate) named_zones: Vec<name::Name>,
    pub(crate) draining: bool,
    pub(crate) leads: bool,
    /// Newer configurations than the one in force, and since when they are known of.
    pub(crate) told: collections::BTreeMap<u64, u64>,
    pub(crate) fetch: fetch::Fetch,
    /// What was last given out to be remembered, and when.
    pub(crate) kept: (u64, u64),
    pub(crate) last: Now,
    pub(crate) out: Vec<Output>,
}

impl Core {
    /// An instance that starts at `now`.
    pub fn new(config: Config, now: Now) -> Self {
        let Config { me, seeds, lease, seed, cores, policy, zones, mut disk } = config;
        let known = disk.as_mut().map(|disk| std::mem::take(&mut disk.known)).unwrap_or_default();
        let control_log = disk.map(|disk| {
            let member = name::Member::new(&me.name, disk.life);
            let founder = disk.first && seeds.contains(&me.name);
            let founders = founder.then_some(seeds.as_slice());
            control_log::ControlLog::new(member, disk.recovered, founders, now.mono, seed)
        });
        let mut membership = membership::Membership::new(me, &seeds, now.mono);
        membership.add_known(&known.instances, now.mono);
        let mut core = Self {
            lease,
            cores,
            policy,
            membership,
            claims: leadership::Claims::default(),
            table: upstream::Table::default(),
            zones: collections::BTreeMap::new(),
            backed: Vec::new(),
            suspects: suspect::Suspects::default(),
            submissions: submissions::Submissions::default().with_policy(policy),
            control_log,
            document: Document::default(),
            evacuations: evacuation::Evacuations::default(),
            named_zones: zones,
            draining: false,
            leads: false,
            told: collections::BTreeMap::new(),
            fetch: fetch::Fetch::default(),
            kept: (0, now.mono),
            last: now,
            out: Vec::new(),
        };
        core.adopt_log(now);
        core.on_records(known.upstreams);
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
                if let Some(control_log) = &mut self.control_log {
                    control_log.saved(number, now.mono);
                }
            }
            Event::Submit(ticket, job) => {
                let (view, submissions) = self.view(now);
                submissions.submit(ticket, *job, view);
            }
            Event::Left(ticket) => self.submissions.left(ticket),
            Event::Announce(ticket, record) => self.announce(ticket, &record, now),
            Event::Unlisted(ticket, record) => self.unlisted(ticket, &record, now),
            Event::Unread(id, why) => self.note(REFUSED, &id, why),
            Event::Withdraw(ticket, id) => self.withdraw(ticket, &id, now),
            Event::Publish(ticket, document) => match &mut self.control_log {
                Some(control_log) => control_log.publish(ticket, document, now.mono),
                None => self.reply(ticket, Reply::Unavailable),
            },
            Event::Evacuate(ticket, zone, evacuated) => {
                self.order_evacuation(ticket, zone, evacuated, now);
            }
            Event::Read(ticket) => match &mut self.control_log {
                Some(control_log) => control_log.read(ticket, now.mono),
                None => self.reply(ticket, Reply::Unavailable),
            },
            Event::Called(order::Answer { number, fence, took, outcome }) => {
                let asker = self.scheds_mut().find(|sched| sched.expects(number));
                if let Some(sched) = asker {
                    sched.timed(number, took, &outcome, now.mono);
                    sched.called(number, fence, outcome, now.mono);
                }
            }
            Event::Seeds(seeds) => {
                self.membership.set_seeds(&seeds, now.mono);
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
    pub(crate) fn notice_stop(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last, now);
        let wall = now.wall.saturating_sub(last.wall) * MS;
        let steady = now.mono.saturating_sub(last.mono);
        if wall > steady + PAUSE {
            self.membership.stood_still(now.mono);
        }
        let gap = steady.max(wall);
        if gap < STOPPED {
            return;
        }
        self.membership.suspect_all(now.mono);
        self.scheds_mut().for_each(sched::Sched::drop_all);
        let me = self.membership.me().name.clone();
        self.note("node: Was stopped, trusting nobody until heard again.", &me, gap.to_string());
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self, now: Now) -> bool {
        let reached = |claim: &claim::Claim| self.membership.holds(claim, now.mono);
        let settled = self.document.version > 0 && !self.is_outdated(now);
        !self.draining && settled && self.claims.iter().any(reached)
    }

    /// Jobs that clients wait for here.
    pub fn open(&self) -> usize {
        self.submissions.open()
    }

    /// Digest of the upstreams of its own zone that it knows.
    pub(crate) fn digest(&self) -> u64 {
        self.zones.get(&self.membership.me().zone).map_or(0, |zone| zone.directory.digest())
    }

    /// The clients' jobs, and what is known for deciding about them.
    pub(crate) fn view(&mut self, now: Now) -> (view::View<'_>, &mut submissions::Submissions) {
        let upstreams = self.digest();
        let view = view::View {
            membership: &self.membership,
            claims: &self.claims,
            evacuations: &self.evacuations,
            upstreams,
            now: now.mono,
        };
        (view, &mut self.submissions)
    }

    /// Jobs under way here, as a scheduler.
    pub fn jobs(&self) -> usize {
        self.scheds().map(sched::Sched::jobs).sum()
    }

    /// The zones that are evacuated, as far as is known here.
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.evacuations
    }

    /// The configuration in force here.
    pub fn document(&self) -> &Document {
        &self.document
    }

    pub(crate) fn tick(&mut self, now: Now) {
        self.backed = self.work_out_backed(now);
        self.beat(now);
        self.fetch_newer(now);
        let table = &self.table;
        let gone =
            |id: &name::Name| table.get(id).is_none_or(|held| held.phase == upstream::Phase::Gone);
        self.zones.values_mut().for_each(|zone| zone.drop_lingering(gone));
        self.remember(now);
        for name in self.membership.unresponsive(now.mono) {
            self.note("peer: Nothing comes back, dialling anew.", &name, String::new());
            self.out.push(Output::Redial(name));
        }
        for name in self.membership.forget(now.mono) {
            self.note("peer: Forgotten.", &name, String::new());
            self.out.push(Output::Disconnect(name));
        }
        if !self.draining {
            self.campaign(now);
        }
        self.suspects.expire(now.mono);
        let membership = &self.membership;
        for sched in self.zones.values_mut().filter_map(|zone| zone.sched.as_mut()) {
            sched.tick(|entry| membership.clock(entry, now.mono), now.mono);
        }
        let (view, submissions) = self.view(now);
        submissions.tick(view);
        let keepers: Vec<_> = self.membership.keepers().cloned().collect();
        if let Some(control_log) = &mut self.control_log {
            control_log.set_others(keepers);
            control_log.tick(now);
            let leads = control_log.is_leader();
            if std::mem::replace(&mut self.leads, leads) != leads {
                let voters = control_log.voters();
                let me = self.membership.me().name.clone();
                let text = if leads { "settings: Leading." } else { "settings: Not leading." };
                self.note(text, &me, voters);
            }
        }
    }

    /// Keeps who is known, on an instance with a disk.
    fn remember(&mut self, now: Now) {
        let (former, at) = self.kept;
        let state = self.table.changes() ^ self.membership.digest();
        if self.control_log.is_some() && now.mono >= at + KEEP && state != former {
            self.kept = (state, now.mono);
            let upstreams = self.table.all_present().cloned().collect();
            let instances = self.membership.neighbours();
            self.out.push(Output::Remember(Known { upstreams, instances }));
        }
    }

    pub(crate) fn announce(&mut self, ticket: Ticket, record: &upstream::Record, now: Now) {
        if let Some(held) = self.table.take(record.clone()) {
            let detail = format!("{:?} at {} in {}", record.phase, record.address, record.zone);
            self.note("upstream: Announced.", &record.id, detail);
            self.spread(&held, now);
        }
        self.reply(ticket, Reply::Noted);
    }

    /// Takes the word of an upstream that is known to be of this service, which a change may have
    /// dropped: it may be leaving. Any other may be of another writer; if it is one of a service to
    /// come, its next announcement is taken.
    pub(crate) fn unlisted(&mut self, ticket: Ticket, record: &upstream::Record, now: Now) {
        if self.table.get(&record.id).is_some_and(|held| held.service == record.service) {
            return self.announce(ticket, record, now);
        }
        self.note(REFUSED, &record.id, format!("no service {}", record.service));
        self.reply(ticket, Reply::Unavailable);
    }

    pub(crate) fn withdraw(&mut self, ticket: Ticket, id: &name::Name, now: Now) {
        if let Some(record) = self.table.bury(id, true) {
            self.note("upstream: Withdrawn.", id, String::new());
            self.spread(&record, now);
        }
        self.reply(ticket, Reply::Noted);
    }

    /// Tells every instance that may schedule the upstream of its news.
    pub(crate) fn spread(&mut self, record: &upstream::Record, now: Now) {
        self.tell_sched(record);
        let names: Vec<_> = self.membership.names().cloned().collect();
        for to in names {
            let concerned = self
                .membership
                .peer(&to)
                .and_then(|peer| peer.card.as_ref())
                .is_some_and(|card| self.is_told(card, &record.zone));
            if concerned {
                self.send(&to, Body::Records(vec![record.clone()]), now);
            }
        }
    }

    pub(crate) fn drain(&mut self, now: Now) {
        self.draining = true;
        if let Some(control_log) = &mut self.control_log {
            control_log.hand_over(now.mono);
        }
        self.beat_all(now);
    }

    /// Moves the effects of the parts on.
    pub(crate) fn settle_parts(&mut self, now: Now) {
        for zone in self.scheduled_zones() {
            self.settle_findings(&zone, now);
            self.settle_sched(&zone, now);
        }
        let submissions = self.submissions.take();
        for (to, body) in submissions.sends {
            if let Body::Submit(_, job, _) = &body {
                self.tell_former(&to, &job.id, now);
            }
            self.send(&to, body, now);
        }
        self.out.extend(submissions.notes.into_iter().map(Output::Note));
        self.out.extend(submissions.measures.into_iter().map(Output::Measure));
        for (ticket, verdict) in submissions.verdicts {
            self.reply(ticket, Reply::Verdict(verdict));
        }
        if let Some(control_log) = &mut self.control_log {
            let out = control_log.take();
            for (to, body) in out.sends {
                self.send(&to, body, now);
            }
            self.out.extend(out.saves.into_iter().map(|(number, save)| Output::Save(number, save)));
            for (ticket, reply) in out.replies {
                self.reply(ticket, reply);
            }
            self.adopt_log(now);
        }
    }

    pub(crate) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.out.push(Output::Reply(ticket, reply));
    }

    pub(crate) fn note(&mut self, text: &'static str, subject: &name::Name, detail: String) {
        self.out.push(Output::Note(Note { text, subject: subject.clone(), detail }));
    }
}

/// The answer to a job that comes while the instance shuts down.
pub fn refuse_draining() -> Reply {
    Reply::Verdict(Verdict::NotRun(Refusal::Draining))
}
