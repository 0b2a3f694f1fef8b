//! The status report of an instance for operators.

use state::{name, upstream};

use crate::{core::Core, group, time::Now};

/// State of one replicated group at this member.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Group {
    /// `settings`, or `journal` and the zone.
    pub group: String,
    /// Whether the member has joined a formation of the group.
    pub joined: bool,
    /// Leader known to the member.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Commit index.
    pub commit: u64,
    /// Voters with their incarnations.
    pub voters: Vec<String>,
    /// Number of messages refused because of a wrong formation or incarnation.
    pub refused: u64,
}

/// State of one upstream at this instance.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Upstream {
    /// Name.
    pub upstream: name::Name,
    /// Service.
    pub service: name::Name,
    /// Address.
    pub address: name::Name,
    /// Total number of slots.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: upstream::Phase,
    /// Remaining time of the upstream's lease, milliseconds.
    pub lease_ms: u64,
    /// Number of tasks that this instance has in flight at the upstream.
    pub outstanding: u32,
    /// Whether the upstream is ejected.
    pub ejected: bool,
}

/// State of one service at this instance.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Service {
    /// Path.
    pub service: name::Name,
    /// Number of waiting tasks.
    pub queue: usize,
    /// Number of slots that this instance may use.
    pub share: u32,
    /// Number of those slots that are free.
    pub free: u32,
    /// Number of slots of all open upstreams.
    pub total: u32,
}

/// Status report of an instance.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: name::Name,
    /// Its availability zone.
    pub availability_zone: name::Name,
    /// Whether the instance can serve.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// Version of the settings tree.
    pub version: u64,
    /// Remaining time of the instance's lease, milliseconds.
    pub lease_ms: u64,
    /// Replicated groups of the instance.
    pub groups: Vec<Group>,
    /// Live instances of the zone, which may own jobs.
    pub members: Vec<String>,
    /// Number of jobs in progress at the instance.
    pub jobs: usize,
    /// Number of jobs in the zone's journal.
    pub remembered: usize,
    /// Size of the cached answers, bytes.
    pub answers: usize,
    /// Number of borrowed slots.
    pub borrowed: u32,
    /// Upstreams known to the instance.
    pub upstreams: Vec<Upstream>,
    /// Services known to the instance.
    pub services: Vec<Service>,
    /// Counters since the start of the instance.
    pub counts: crate::event::Counts,
}

impl Core {
    /// The status report of this instance.
    pub fn status(&self, now: Now) -> Status {
        let remaining = |until: u64| until.saturating_sub(now.mono) / crate::time::MS;
        let upstreams = self.fleet.upstreams().iter().map(|leased| Upstream {
            upstream: leased.info.name.clone(),
            service: leased.info.service.clone(),
            address: leased.info.address.clone(),
            slots: leased.info.slots,
            phase: leased.info.phase,
            lease_ms: remaining(leased.expires),
            outstanding: self.fleet.outstanding(leased.info.name.as_str()),
            ejected: self.fleet.is_ejected(leased.info.name.as_str(), now.mono),
        });
        Status {
            instance: self.config.me.name.clone(),
            availability_zone: self.config.me.zone.clone(),
            ready: self.is_ready(),
            draining: self.draining,
            version: self.tree().version(),
            lease_ms: remaining(self.journal.lease_end(now.mono)),
            groups: self.groups(now.mono),
            members: self.members(),
            jobs: self.jobs.len(),
            remembered: self.table().len(),
            answers: self.answers.bytes(),
            borrowed: self.fleet.loans().total_borrowed(),
            upstreams: upstreams.collect(),
            services: self.describe_services(now.mono),
            counts: self.counts.clone(),
        }
    }

    /// Live instances of the zone, which may own jobs.
    pub fn members(&self) -> Vec<String> {
        self.table().live().map(ToString::to_string).collect()
    }

    /// Name of the journal's leader; empty if none is known.
    pub fn journal_leader(&self) -> String {
        leader_name(&self.journal)
    }

    /// Name of the settings group's leader; empty if none is known.
    pub fn settings_leader(&self) -> String {
        leader_name(&self.settings)
    }

    /// What an instance that is not ready waits for: a formation or a leader of the settings group
    /// and of the zone's journal, or the time from which the journal accepts jobs.
    pub fn waits_for(&self, now: Now) -> String {
        let settings = self.settings.waits_for(now.mono).map(|what| format!("settings: {what}"));
        let journal = self.journal.waits_for(now.mono).map(|what| format!("journal: {what}"));
        let from = self.journal.formation().map_or(0, |formation| formation.at);
        let clock = (from > now.wall)
            .then(|| format!("journal: accepts jobs in {} ms by this clock", from - now.wall));
        settings.into_iter().chain(journal).chain(clock).collect::<Vec<_>>().join("; ")
    }

    fn groups(&self, now: u64) -> Vec<Group> {
        let journal = |zone: &name::Name| format!("journal {zone}");
        let mut groups = vec![
            describe_group("settings".to_owned(), &self.settings, now),
            describe_group(journal(self.zone()), &self.journal, now),
        ];
        let witnessed = self.witness_journals.iter();
        groups.extend(witnessed.map(|(zone, group)| describe_group(journal(zone), group, now)));
        groups
    }

    fn describe_services(&self, now: u64) -> Vec<Service> {
        let known = self.fleet.upstreams().iter().map(|leased| leased.info.service.clone());
        let names: std::collections::BTreeSet<_> =
            known.chain(self.services.keys().cloned()).collect();
        let state = |service: name::Name| {
            let counts = self.fleet.slot_counts(&service, now);
            let queue = self.services.get(&service).map_or(0, |s| s.queue.len());
            Service {
                queue,
                share: counts.allowed,
                free: counts.free,
                total: counts.total,
                service,
            }
        };
        names.into_iter().map(state).collect()
    }
}

fn leader_name<M: group::Machine>(group: &group::Group<M>) -> String {
    group.raft().and_then(|raft| raft.leader()).map(ToString::to_string).unwrap_or_default()
}

fn describe_group<M: group::Machine>(name: String, group: &group::Group<M>, now: u64) -> Group {
    let raft = group.raft();
    let known = raft.filter(|raft| raft.has_leader(now)).and_then(|raft| raft.leader());
    let voters = raft.map(|raft| raft.voters().0.iter().map(ToString::to_string).collect());
    Group {
        group: name,
        joined: raft.is_some(),
        leader: known.map(ToString::to_string),
        term: raft.map_or(0, crate::raft::Raft::term),
        commit: raft.map_or(0, crate::raft::Raft::commit),
        voters: voters.unwrap_or_default(),
        refused: group.refused(),
    }
}
