//! The state machine of one instance: it takes events with their time and returns effects.

use std::collections;

use coord::{group, seats};
use state::{name, policy};

use crate::{
    decisions::{leadership, view},
    machines::{control_log, sched, submissions, zone},
    messages::{
        claim, evacuation,
        event::{Event, Known, Note, Output, Reply, Ticket},
        incarnation,
        job::{Refusal, Verdict},
        member,
        message::{Body, Document},
        order, parts, suspect,
        time::{MS, Now},
        upstream,
    },
    tables::{fetch, membership, registry, unchecked},
};

/// An instance that handled no event for this long, in microseconds, counts as suspended: its
/// knowledge of the other instances is too old to act on. A client that lost its entry submits its
/// job again after 1,300 ms, and noticing that loss takes [`crate::tables::peer::SILENCE_TIMEOUT`].
pub const STALL_LIMIT: u64 = 600 * MS;

/// When the wall clock advances this much more than the monotonic clock, in microseconds, the
/// monotonic clock was stopped, as it is while a machine is suspended. The resolution of the wall
/// clock is one millisecond.
const CLOCK_GAP: u64 = 20 * MS;

/// Shortest time between two saves of the known upstreams and instances, in microseconds. An
/// instance that reads a save was without power for longer than this, so a few entries of the save
/// may be out of date in any case. The list of a zone of a thousand upstreams takes 150 KB.
const SAVE_INTERVAL: u64 = 1_000 * MS;

/// Configuration of one instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this instance.
    pub me: member::Card,
    /// Addresses of the instances to contact first.
    pub seeds: Vec<name::Name>,
    /// Longest lease that upstreams grant, in milliseconds.
    pub longest_lease: u64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// CPU capacity of this instance, in thousandths of a core.
    pub cores: u64,
    /// Enabled scheduling policies.
    pub policy: policy::Policy,
    /// Zones named in the settings.
    pub zones: Vec<name::Name>,
    /// State recovered from the disk; `None` for an instance without a disk.
    pub disk: Option<Disk>,
}

/// State that a keeper recovered from its disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Incarnation of the disk.
    pub incarnation: u64,
    /// Recovered state of the consensus group.
    pub recovered: group::Recovered,
    /// Whether this is the first start of the whole system.
    pub first: bool,
    /// Upstreams and instances known before the restart.
    pub known: Known,
}

/// The state machine of one instance; it makes all decisions and does no I/O.
#[derive(Debug)]
pub struct Core {
    pub(crate) longest_lease: u64,
    /// CPU capacity of this instance, in thousandths of a core.
    pub(crate) cores: u64,
    pub(crate) policy: policy::Policy,
    pub(crate) membership: membership::Membership,
    pub(crate) claims: leadership::Claims,
    pub(crate) table: upstream::Table,
    pub(crate) unchecked: unchecked::Unchecked,
    /// The zones whose upstreams this instance knows, including its own zone.
    pub(crate) zones: collections::BTreeMap<name::Name, zone::Zone>,
    /// Entries of other zones that this keeper watches, as of the last tick.
    pub(crate) watched_entries: Vec<name::Name>,
    /// Tasks that ran at lost upstreams.
    pub(crate) suspects: suspect::Suspects,
    pub(crate) submissions: submissions::Submissions,
    /// Which entries have reserved which jobs here.
    pub(crate) registry: registry::Registry,
    pub(crate) control_log: Option<control_log::ControlLog>,
    pub(crate) document: Document,
    /// Whether a keeper has confirmed the configuration in force since this entry started.
    pub(crate) confirmed: bool,
    /// When this entry resumed after a stop, unless a keeper has confirmed its configuration since.
    pub(crate) resumed_at: Option<u64>,
    pub(crate) evacuations: evacuation::Evacuations,
    pub(crate) named_zones: Vec<name::Name>,
    pub(crate) draining: bool,
    pub(crate) leads: bool,
    /// Parts of its zone that had a live scheduler at the last tick.
    pub(crate) led: parts::Parts,
    /// Versions newer than the active configuration, and when this instance learned of each.
    pub(crate) newer_versions: collections::BTreeMap<u64, u64>,
    pub(crate) fetch: fetch::Fetch,
    /// Digest of the last saved [`Known`], and the time of that save.
    pub(crate) last_save: (u64, u64),
    pub(crate) last: Now,
    pub(crate) out: Vec<Output>,
}

impl Core {
    /// Creates an instance that starts at `now`.
    pub fn new(config: Config, now: Now) -> Self {
        let Config { me, seeds, longest_lease, seed, cores, policy, zones, mut disk } = config;
        let known = disk.as_mut().map(|disk| std::mem::take(&mut disk.known)).unwrap_or_default();
        let control_log = disk.map(|disk| {
            let member = name::Member::new(&me.name, disk.incarnation);
            let founder = disk.first && seeds.contains(&me.name);
            let founders = founder.then_some(seeds.as_slice());
            control_log::ControlLog::new(member, disk.recovered, founders, now.mono, seed)
        });
        let mut membership = membership::Membership::new(me, &seeds, now.mono);
        membership.add_known(&known.instances, now.mono);
        let mut core = Self {
            longest_lease,
            cores,
            policy,
            membership,
            claims: leadership::Claims::default(),
            table: upstream::Table::default(),
            unchecked: unchecked::Unchecked::default(),
            zones: collections::BTreeMap::new(),
            watched_entries: Vec::new(),
            suspects: suspect::Suspects::default(),
            submissions: submissions::Submissions::default().with_policy(policy),
            registry: registry::Registry::default(),
            control_log,
            document: Document::default(),
            confirmed: false,
            resumed_at: None,
            evacuations: evacuation::Evacuations::default(),
            named_zones: zones,
            draining: false,
            leads: false,
            led: parts::Parts::NONE,
            newer_versions: collections::BTreeMap::new(),
            fetch: fetch::Fetch::default(),
            last_save: (0, now.mono),
            last: now,
            out: Vec::new(),
        };
        core.adopt_log(now);
        core.on_records(known.upstreams);
        core
    }

    /// Handles one event and returns its effects.
    pub fn handle(&mut self, event: Event, now: Now) -> Vec<Output> {
        self.apply(event, now);
        self.take_outputs(now)
    }

    /// Handles one event. The next [`Self::take_outputs`] returns its effects: placing tasks once
    /// for many events costs little more than placing them for one event.
    pub fn apply(&mut self, event: Event, now: Now) {
        self.detect_stop(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Peer(from, body) => self.on_peer(&from, body, true, now),
            Event::Opened(to) => self.greet_opened(&to, now),
            Event::Saved(number) => {
                if let Some(control_log) = &mut self.control_log {
                    control_log.on_saved(number, now.mono);
                }
            }
            Event::Submit(ticket, job) => {
                let (view, submissions) = self.view(now);
                submissions.submit(ticket, *job, view);
            }
            Event::Disconnected(ticket) => self.submissions.disconnect(ticket),
            Event::Cancel(ticket, id) => self.cancel(ticket, &id, now),
            Event::Announce(ticket, record) => self.announce(ticket, &record, now),
            Event::UnknownService(ticket, record) => self.announce_unlisted(ticket, &record, now),
            Event::Unchecked(ticket, record) => self.announce_unchecked(ticket, record, now),
            Event::Services(services) => self.check_announcements(services, now),
            Event::RejectedAnnouncement(id, why) => self.note_refused(&id, why),
            Event::Withdraw(ticket, id) => self.withdraw(ticket, &id, now),
            Event::Publish(ticket, document) => match &mut self.control_log {
                Some(control_log) => control_log.publish(ticket, document, now.mono),
                None => self.reply(ticket, Reply::Unavailable),
            },
            Event::Evacuate(ticket, request) => self.order_evacuation(ticket, request, now),
            Event::ChallengeRead(number) => {
                if let Some(control_log) = &mut self.control_log {
                    control_log.on_challenge_read(number, now.mono);
                }
            }
            Event::Read(ticket) => match &mut self.control_log {
                Some(control_log) => control_log.query_newest(ticket, now.mono),
                None => self.reply(ticket, Reply::Unavailable),
            },
            Event::Called(order::Answer { number, fence, took, outcome }) => {
                let sched = self.scheds_mut().find(|sched| sched.expects(number));
                if let Some(sched) = sched {
                    sched.record_latency(number, took, &outcome, now.mono);
                    sched.process_outcome(number, fence, outcome, now.mono);
                }
            }
            Event::Seeds(seeds) => {
                self.membership.set_seeds(&seeds, now.mono);
            }
            Event::Drain => self.drain(now),
            Event::Finish => self.submissions.finish(now.mono),
        }
    }

    /// Returns the effects of all events since the last call.
    pub fn take_outputs(&mut self, now: Now) -> Vec<Output> {
        self.settle_parts(now);
        std::mem::take(&mut self.out)
    }

    /// Counts all other instances as silent after this instance was stopped. The wall clock reveals
    /// the stop if the monotonic clock was stopped as well.
    pub fn detect_stop(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last, now);
        let wall = now.wall.saturating_sub(last.wall) * MS;
        let mono = now.mono.saturating_sub(last.mono);
        if wall > mono + CLOCK_GAP {
            self.membership.reset_clocks(now.mono);
        }
        let elapsed = mono.max(wall);
        if elapsed < STALL_LIMIT {
            return;
        }
        self.membership.suspect_all(now.mono);
        self.scheds_mut().for_each(sched::Sched::drop_all);
        self.submissions.expire_reservations();
        if self.control_log.is_none() {
            self.resumed_at = Some(now.mono);
        }
        let me = self.membership.me().name.clone();
        self.note(
            "node: Resumed after a stop, treating all other instances as silent.",
            &me,
            elapsed.to_string(),
        );
    }

    /// Whether this instance is ready to take requests of clients.
    pub fn is_ready(&self, now: Now) -> bool {
        let reachable = |claim: &claim::Claim| self.membership.is_holder_alive(claim, now.mono);
        let configured = self.document.version > 0 && !self.is_outdated(now);
        !self.draining && configured && self.claims.iter().any(reachable)
    }

    /// Number of open jobs, for which clients wait at this instance.
    pub fn open(&self) -> usize {
        self.submissions.open()
    }

    /// Digest of the known upstreams of this instance's zone.
    pub(crate) fn digest(&self) -> u64 {
        self.zones.get(&self.membership.me().zone).map_or(0, |zone| zone.directory.digest())
    }

    /// The submissions of clients, and the view of the system that decisions about them use.
    pub(crate) fn view(&mut self, now: Now) -> (view::View<'_>, &mut submissions::Submissions) {
        let upstreams = self.digest();
        let view = view::View {
            membership: &self.membership,
            claims: &self.claims,
            evacuations: &self.evacuations,
            table: &self.table,
            upstreams,
            now: now.mono,
        };
        (view, &mut self.submissions)
    }

    /// Number of jobs that this instance schedules.
    pub fn jobs(&self) -> usize {
        self.scheds().map(sched::Sched::jobs).sum()
    }

    /// The evacuated zones that this instance knows.
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.evacuations
    }

    /// The active configuration of this instance.
    pub fn document(&self) -> &Document {
        &self.document
    }

    pub(crate) fn tick(&mut self, now: Now) {
        self.watched_entries = self.find_watched_entries(now);
        self.send_heartbeats(now);
        self.fetch_newer(now);
        self.check_confirmed(now);
        let table = &self.table;
        let is_gone = |id: &incarnation::Incarnation| {
            table.get(id).is_none_or(|known| known.phase == upstream::Phase::Gone)
        };
        self.zones.values_mut().for_each(|zone| zone.drop_lingering(is_gone));
        self.save_known(now);
        for name in self.membership.streams_to_reconnect(now.mono) {
            self.note("peer: No answer on the stream, reconnecting.", &name, String::new());
            self.out.push(Output::Reconnect(name));
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
        self.seek_runs(now);
        self.registry.sweep(now.mono);
        let (view, submissions) = self.view(now);
        submissions.tick(view);
        let keepers: Vec<_> = self.membership.keepers().cloned().collect();
        if let Some(control_log) = &mut self.control_log {
            control_log.set_others(keepers);
            let heard = self.membership.heard_within(seats::LOST_VOTER_TIMEOUT, now.mono);
            control_log.set_heard(heard);
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

    /// Saves the known upstreams and instances, on an instance with a disk.
    fn save_known(&mut self, now: Now) {
        let (former, at) = self.last_save;
        let digest = self.table.changes() ^ self.membership.digest();
        if self.control_log.is_some() && now.mono >= at + SAVE_INTERVAL && digest != former {
            self.last_save = (digest, now.mono);
            let upstreams = self.table.all_present().cloned().collect();
            let instances = self.membership.recall_list();
            self.out.push(Output::SaveKnown(Known { upstreams, instances }));
        }
    }

    pub(crate) fn drain(&mut self, now: Now) {
        self.draining = true;
        if let Some(control_log) = &mut self.control_log {
            control_log.leave(now.mono);
        }
        self.send_heartbeats_to_all(now);
    }

    /// Whether this instance drains and has a seat in the control log's group that a live keeper
    /// without one may take over.
    pub fn awaits_successor(&self, now: Now) -> bool {
        let control_log = self.control_log.as_ref().filter(|_| self.draining);
        control_log.is_some_and(|control_log| {
            control_log.awaits_successor(self.membership.lasting_keepers(now.mono))
        })
    }

    /// Collects the effects of the schedulers, the submissions and the control log.
    pub(crate) fn settle_parts(&mut self, now: Now) {
        for zone in self.scheduled_zones() {
            self.apply_findings(&zone, now);
            self.apply_output(&zone, now);
        }
        self.settle_submissions(now);
        if let Some(control_log) = &mut self.control_log {
            let out = control_log.take_output();
            for (to, body) in out.sends {
                self.send(&to, body, now);
            }
            self.out.extend(out.saves.into_iter().map(|(number, save)| Output::Save(number, save)));
            for (ticket, reply) in out.replies {
                self.reply(ticket, reply);
            }
            let me = self.membership.me().name.clone();
            for (text, detail) in out.notes {
                self.note(text, &me, detail);
            }
            self.adopt_log(now);
        }
    }

    /// Collects the effects of the submissions. Messages to this instance itself have further
    /// effects.
    fn settle_submissions(&mut self, now: Now) {
        let incarnation = self.membership.me().incarnation;
        loop {
            let submissions = self.submissions.take_output(incarnation);
            self.out.extend(submissions.notes.into_iter().map(Output::Note));
            self.out.extend(submissions.measures.into_iter().map(Output::Measure));
            for (ticket, reply) in submissions.replies {
                self.reply(ticket, reply);
            }
            if submissions.sends.is_empty() {
                return;
            }
            for (to, body) in submissions.sends {
                if let Body::Submit(_, job, _) = &body {
                    self.send_former_losses(&to, &job.id, now);
                }
                self.send(&to, body, now);
            }
        }
    }

    pub(crate) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.out.push(Output::Reply(ticket, reply));
    }

    pub(crate) fn note(&mut self, text: &'static str, subject: &name::Name, detail: String) {
        self.out.push(Output::Note(Note { text, subject: subject.clone(), detail }));
    }
}

/// The reply to a job that arrives while the instance shuts down.
pub fn refuse_draining() -> Reply {
    Reply::Verdict(Verdict::NotRun(Refusal::Draining))
}
