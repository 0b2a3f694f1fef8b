//! The state machine of one instance: each event, with the current time, gives a list of outputs.

use std::collections;

use rand::{SeedableRng as _, rngs};
use state::{id, name, table, tree};

use crate::{
    cache, calls,
    config::Config,
    event::{Counts, Event, Output, Ticket},
    fleet, group, groups,
    job::Job,
    machine, member,
    message::{self, Body, Refusal},
    queue, retry,
    time::{self, Now},
    waiter::Waiter,
};

/// Time without a message after which the journal leader expels an instance of its zone,
/// microseconds. It must exceed the lease by more than the transit time of a message.
pub const EXPEL_TIMEOUT: u64 = 1_500 * time::MS;
/// Interval between two [`Event::Tick`] events, microseconds.
pub const TICK: u64 = 20 * time::MS;
/// Interval between two batches of upstream lease renewals, microseconds.
pub(crate) const RENEWAL_INTERVAL: u64 = 250 * time::MS;
/// Time without a journal lease after which an instance gives up a running job, microseconds.
pub(crate) const CONTACT_TIMEOUT: u64 = 5_000 * time::MS;
/// Time that a starting instance waits for the settings group before it asks the other instances
/// of its zone for the settings, microseconds.
const SETTINGS_WAIT: u64 = 3_000 * time::MS;

/// A settings change that waits for its outcome.
#[derive(Debug)]
pub(crate) struct PendingChange {
    pub(crate) tickets: Vec<Ticket>,
    pub(crate) command: bytes::Bytes,
    /// When to repeat the proposal, microseconds.
    pub(crate) retry_at: u64,
    /// When the change expires without an outcome, microseconds.
    pub(crate) until: u64,
}

/// State of one service: its queue, observed service times, retry budget, and requests for idle
/// slots of the zone peers.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) queue: queue::Queue,
    pub(crate) times: crate::health::Times,
    pub(crate) budget: retry::Budget,
    /// When this instance last requested slots, microseconds.
    pub(crate) requested_at: u64,
    /// Zone peer whose answer to the last request is outstanding.
    pub(crate) lender: Option<name::Name>,
    pub(crate) next_peer: usize,
    /// When the next request may be sent, microseconds.
    pub(crate) backoff_until: u64,
    /// Duration of the last backoff, microseconds.
    pub(crate) backoff: u64,
}

/// The state machine of one instance.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Debug)]
pub struct Core {
    pub(crate) config: Config,
    pub(crate) settings: group::Group<machine::Settings>,
    pub(crate) journal: group::Group<machine::Journal>,
    /// Journals of other zones in which this instance votes.
    pub(crate) witness_journals: collections::BTreeMap<name::Name, group::Group<machine::Journal>>,
    pub(crate) jobs: collections::HashMap<id::JobId, Job>,
    /// Jobs in the order of their deadlines, microseconds.
    pub(crate) deadlines: collections::BTreeSet<(u64, id::JobId)>,
    pub(crate) services: collections::BTreeMap<name::Name, Service>,
    /// Services whose queues are to be dispatched.
    pub(crate) dispatch_pending: collections::BTreeSet<name::Name>,
    pub(crate) fleet: fleet::Fleet,
    pub(crate) answers: cache::Answers,
    /// Quota usage of the idempotent requests at this instance, by account.
    pub(crate) usage: collections::BTreeMap<name::Name, table::Usage>,
    pub(crate) calls: calls::Calls,
    /// When each instance last sent a message, microseconds.
    pub(crate) last_heard: collections::HashMap<name::Name, u64>,
    pub(crate) rng: rngs::SmallRng,
    /// Number of the latest attempt.
    pub(crate) last_attempt: u64,
    pub(crate) counts: Counts,
    pub(crate) out: Vec<Output>,
    pub(crate) draining: bool,
    pub(crate) changes: collections::BTreeMap<uuid::Uuid, PendingChange>,
    /// Lease renewals to send to the zone peers: name hash and sequence number of each upstream.
    pub(crate) renewals: collections::BTreeMap<u32, u64>,
    pub(crate) renew_at: u64,
    pub(crate) prune_at: u64,
    pub(crate) membership_at: u64,
    pub(crate) fetch_at: u64,
    pub(crate) return_at: u64,
    pub(crate) ping_at: u64,
    /// Whether this instance has requested the upstreams from its zone peers.
    pub(crate) upstreams_requested: bool,
    /// Instances that announced their shutdown.
    pub(crate) leaving: collections::BTreeSet<name::Member>,
    /// Live members of this zone's journal, as of their last change.
    pub(crate) members: collections::BTreeSet<name::Member>,
    /// When this instance gave up its membership, microseconds.
    pub(crate) left_at: Option<u64>,
    /// Whether the journal has removed this instance after it gave up its membership.
    pub(crate) has_left: bool,
    /// Whether [`Output::Drained`] was sent.
    pub(crate) drain_reported: bool,
    pub(crate) ready: bool,
    /// When this instance last held a lease, microseconds.
    pub(crate) last_leased: u64,
}

impl Core {
    /// Starts an instance at `now` from its recovered state.
    pub fn new(config: Config, recovered: group::Recovered, now: Now) -> Self {
        let settings = groups::settings(&config).with_recovered(recovered, now.mono);
        let journal = groups::journal(&config, &config.me.zone);
        let witnessed = groups::witnessed(&config);
        let witness_journals = witnessed.into_iter().map(|zone| {
            let group = groups::journal(&config, &zone);
            (zone, group)
        });
        Self {
            settings,
            journal,
            witness_journals: witness_journals.collect(),
            jobs: collections::HashMap::new(),
            deadlines: collections::BTreeSet::new(),
            services: collections::BTreeMap::new(),
            dispatch_pending: collections::BTreeSet::new(),
            fleet: fleet::Fleet::new(config.baselines, config.seed),
            answers: cache::Answers::default(),
            usage: collections::BTreeMap::new(),
            calls: calls::Calls::new(config.incarnation),
            last_heard: collections::HashMap::new(),
            rng: rngs::SmallRng::seed_from_u64(config.seed),
            last_attempt: 0,
            counts: Counts::default(),
            out: Vec::new(),
            draining: false,
            changes: collections::BTreeMap::new(),
            renewals: collections::BTreeMap::new(),
            renew_at: 0,
            prune_at: 0,
            membership_at: 0,
            return_at: 0,
            ping_at: 0,
            fetch_at: now.mono + SETTINGS_WAIT,
            upstreams_requested: false,
            leaving: collections::BTreeSet::new(),
            members: collections::BTreeSet::new(),
            left_at: None,
            has_left: false,
            drain_reported: false,
            ready: false,
            last_leased: now.mono,
            config,
        }
    }

    /// Handles one event and returns the resulting outputs.
    pub fn handle(&mut self, event: Event, now: Now) -> Vec<Output> {
        match event {
            Event::Tick => self.tick(now),
            Event::Peer(from, body) => self.on_peer(&from, body, now),
            Event::Saved(number) => self.settings.on_saved(number, now.mono),
            Event::Submit(ticket, spec) => self.on_submit(ticket, spec, now),
            Event::Show(ticket, job) => self.show(Waiter::Query(ticket), &job, false, now),
            Event::Cancel(ticket, job) => self.cancel(Waiter::Query(ticket), &job, now),
            Event::Announce(ticket, info) => self.announce(ticket, info, now),
            Event::Withdraw(ticket, name) => self.withdraw(ticket, &name, now),
            Event::Done(done) => self.on_done(done, now),
            Event::Change(ticket, change) => self.change(ticket, &change, now),
            Event::Drain => self.draining = true,
        }
        self.process_groups(now);
        std::mem::take(&mut self.out)
    }

    /// The settings tree as last replicated to this instance.
    pub fn tree(&self) -> &tree::Tree {
        &self.settings.machine().tree
    }

    /// Whether the instance can serve: it is a member of its zone's journal, holds the settings,
    /// and is not draining.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.draining
    }

    /// Whether the instance shuts down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Ids of the jobs in progress at this instance.
    pub fn in_progress(&self) -> Vec<String> {
        self.jobs.keys().map(ToString::to_string).collect()
    }

    /// Counters since the start of the instance.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The upstreams known to this instance, with their load and health.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    pub(crate) fn table(&self) -> &table::Table {
        &self.journal.machine().table
    }

    pub(crate) fn zone(&self) -> &name::Name {
        &self.config.me.zone
    }

    pub(crate) fn send(&mut self, to: &name::Name, body: Body) {
        self.out.push(Output::Send(to.clone(), body));
    }

    /// Whether this instance holds a lease and may therefore start tasks of journaled jobs.
    pub(crate) fn has_lease(&self, now: u64) -> bool {
        self.journal.lease_end(now) > now && self.table().is_live(self.journal.me())
    }

    /// Time since this instance last held a lease, microseconds.
    pub(crate) fn time_without_lease(&self, now: u64) -> u64 {
        now.saturating_sub(self.last_leased)
    }

    /// The zone peers: the other live members of this zone's journal.
    pub(crate) fn zone_peers(&self) -> Vec<name::Name> {
        let others = self.table().live().filter(|member| member.name != self.config.me.name);
        others.map(|member| member.name.clone()).collect()
    }

    pub(crate) fn propose(&mut self, command: &table::Command, now: Now) {
        self.journal.propose(&machine::encode(command), now.mono);
    }

    pub(crate) fn count_refusal(&mut self, kind: Refusal) {
        *self.counts.refused.entry(kind.name()).or_default() += 1;
    }

    fn tick(&mut self, now: Now) {
        self.settings.tick(now);
        self.journal.tick(now);
        for group in self.witness_journals.values_mut() {
            group.tick(now);
        }
        if self.has_lease(now.mono) {
            self.last_leased = now.mono;
        }
        self.fetch_settings(now);
        self.update_ready(now);
        self.manage_membership(now);
        self.tick_jobs(now);
        self.tick_calls(now);
        self.tick_changes(now);
        self.tick_upstreams(now);
        self.tick_drain(now);
        self.prune(now);
        let waiting = self.services.iter().filter(|(_, service)| !service.queue.is_empty());
        self.dispatch_pending.extend(waiting.map(|(name, _)| name.clone()));
    }

    fn update_ready(&mut self, now: Now) {
        let formed = self.journal.formation().is_some_and(|formation| now.wall >= formation.at);
        if self.ready || !formed {
            return;
        }
        let no_voters = member::settings_seats(&self.config.all).is_empty();
        let agreed = self.settings.raft().is_some_and(|raft| raft.commit() > 0);
        let has_settings = no_voters || agreed || self.tree().version() > 0;
        self.ready = has_settings && self.has_lease(now.mono);
    }

    fn on_peer(&mut self, from: &name::Name, body: Body, now: Now) {
        if !self.config.all.iter().any(|instance| instance.name == *from) {
            self.counts.rejected += 1;
            return;
        }
        self.last_heard.insert(from.clone(), now.mono);
        match body {
            Body::Form(group, incarnation, form) => {
                self.on_form(from, &group, incarnation, &form, now);
            }
            Body::Raft(group, route, raft) => self.on_raft(from, &group, route, raft, now),
            Body::Propose(group, route, command) => {
                self.on_propose(from, &group, route, command, now);
            }
            Body::Job(job) => self.on_job(from, job, now),
            Body::Table(news) => self.on_table(from, news, now),
            Body::Loan(loan) => self.on_loan(from, loan, now),
            Body::Ping(true) => self.send(from, Body::Ping(false)),
            Body::Ping(false) => {}
        }
    }

    fn on_form(
        &mut self,
        from: &name::Name,
        group: &message::Group,
        incarnation: u64,
        form: &message::FormMessage,
        now: Now,
    ) {
        let from = name::Member::new(from, incarnation);
        match group {
            message::Group::Settings => self.settings.on_form(&from, form, now),
            message::Group::Journal(zone) => match self.journal_of(zone) {
                Some(journal) => journal.on_form(&from, form, now),
                None => self.counts.rejected += 1,
            },
        }
    }

    fn on_raft(
        &mut self,
        from: &name::Name,
        group: &message::Group,
        route: message::Route,
        raft: message::Raft,
        now: Now,
    ) {
        let accepted = match group {
            message::Group::Settings => self.settings.on_raft(from, route, raft, now.mono),
            message::Group::Journal(zone) => match self.journal_of(zone) {
                Some(journal) => journal.on_raft(from, route, raft, now.mono),
                None => false,
            },
        };
        self.counts.rejected += u64::from(!accepted);
    }

    fn on_propose(
        &mut self,
        from: &name::Name,
        group: &message::Group,
        route: message::Route,
        command: bytes::Bytes,
        now: Now,
    ) {
        match group {
            message::Group::Settings => {
                self.settings.on_propose(from, route, command, now.mono);
            }
            message::Group::Journal(zone) => {
                if let Some(journal) = self.journal_of(zone) {
                    journal.on_propose(from, route, command, now.mono);
                }
            }
        }
    }

    fn journal_of(&mut self, zone: &name::Name) -> Option<&mut group::Group<machine::Journal>> {
        if *zone == self.config.me.zone {
            return Some(&mut self.journal);
        }
        self.witness_journals.get_mut(zone)
    }

    /// Processes the outputs of the groups until no further effects result from them.
    fn process_groups(&mut self, now: Now) {
        loop {
            let settings = self.settings.take_output();
            let journal = self.journal.take_output();
            let idle = settings.effects.is_empty() && journal.effects.is_empty();
            let replaced = settings.restored || journal.restored || journal.left_formation;
            self.process_settings(settings, now);
            self.process_journal(journal, now);
            self.dispatch_pending(now);
            if idle && !replaced {
                break;
            }
        }
        // The last round may have produced further messages and saves.
        let settings = self.settings.take_output();
        self.process_settings(settings, now);
        let journal = self.journal.take_output();
        self.process_journal(journal, now);
        for group in self.witness_journals.values_mut() {
            let sends = group.take_output().sends;
            self.out.extend(sends.into_iter().map(|(to, body)| Output::Send(to, body)));
        }
    }

    fn process_settings(&mut self, out: group::Output<machine::Changed>, now: Now) {
        self.out.extend(out.saves.into_iter().map(|(number, save)| Output::Save(number, save)));
        self.out.extend(out.sends.into_iter().map(|(to, body)| Output::Send(to, body)));
        if !out.effects.is_empty() || out.restored {
            self.out.push(Output::Settings);
        }
        for effect in out.effects {
            self.reply_change(effect.change, effect.outcome);
        }
        if out.restored {
            let pending: Vec<_> = self.changes.keys().copied().collect();
            for change in pending {
                if let Some(outcome) = self.tree().outcome(change) {
                    self.reply_change(change, outcome);
                }
            }
            self.tick_changes(now);
        }
    }

    fn process_journal(&mut self, out: group::Output<table::Effect>, now: Now) {
        self.out.extend(out.sends.into_iter().map(|(to, body)| Output::Send(to, body)));
        if out.left_formation {
            self.end_journaled_jobs();
            self.ready = false;
        }
        if out.restored || out.left_formation {
            self.on_members_changed(now);
            self.reconcile_jobs(now);
        }
        for effect in out.effects {
            match effect {
                table::Effect::Members => self.on_members_changed(now),
                table::Effect::Admitted(job, owner) => self.on_admitted(&job, &owner, now),
                table::Effect::Duplicate(job, owner) => {
                    self.on_duplicate_admission(&job, &owner, now);
                }
                table::Effect::QuotaExceeded(job, owner, retry) => {
                    self.on_quota_exceeded(&job, &owner, retry);
                }
                table::Effect::Ended(job, outcome) => self.on_ended(&job, outcome, now),
                // The owner repeats the proposal once it is a live member.
                table::Effect::Refused(..) => {}
            }
        }
    }

    fn on_members_changed(&mut self, now: Now) {
        let me = self.journal.me().clone();
        let live: Vec<_> = self.table().live().cloned().collect();
        let rank = live.iter().position(|member| *member == me);
        self.fleet.set_rank(rank.map(|rank| (rank as u32, live.len() as u32)));
        // A loan ends when either the lender or the borrower restarts, even if the next
        // incarnation of that instance is already live.
        let unchanged: collections::BTreeSet<_> =
            live.iter().filter(|m| self.members.contains(*m)).map(|m| m.name.clone()).collect();
        self.fleet.retain_loans(|name| unchanged.contains(name));
        self.members = live.into_iter().collect();
        if rank.is_some() && !self.upstreams_requested {
            self.upstreams_requested = true;
            for to in self.zone_peers() {
                self.send(&to, Body::Table(message::Table::Ask));
            }
        }
        if self.left_at.is_some() && rank.is_none() {
            self.has_left = true;
        }
        self.dispatch_pending.extend(self.services.keys().cloned());
        if self.has_lease(now.mono) {
            self.last_leased = now.mono;
        }
    }

    /// Completes a drain: once no job or call is in progress, gives up membership and its slot
    /// shares, transfers leadership, and reports [`Output::Drained`].
    fn tick_drain(&mut self, now: Now) {
        const EXPEL_WAIT: u64 = 1_000 * time::MS;
        if !self.draining {
            return;
        }
        // Without contact with the journal, the outcome of a job can no longer be determined. A job
        // without waiters then does not delay the exit.
        let lost_contact = self.time_without_lease(now.mono) > CONTACT_TIMEOUT;
        let busy = self.jobs.values().any(|job| !lost_contact || !job.waiters.is_empty());
        if busy || !self.calls.is_empty() {
            return;
        }
        match self.left_at {
            None => {
                self.left_at = Some(now.mono);
                let me = self.journal.me().clone();
                for to in self.zone_peers() {
                    let leaving = message::Job::Leaving { incarnation: me.incarnation };
                    self.send(&to, Body::Job(leaving));
                }
                self.propose(&table::Command::Expel(me), now);
            }
            Some(since) if self.has_left || now.mono > since + EXPEL_WAIT => {
                self.journal.transfer_leadership(now.mono);
                self.settings.transfer_leadership(now.mono);
                if !self.drain_reported {
                    self.drain_reported = true;
                    self.out.push(Output::Drained);
                }
            }
            Some(_) => {}
        }
    }
}
