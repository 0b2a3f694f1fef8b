//! What an instance tells operators about itself.

use state::{name, upstream};

use crate::{core::Core, group, time::Now};

/// One replicated group as a member sees it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Group {
    /// `settings`, or `journal` and the zone.
    pub group: String,
    /// Whether the member belongs to a formation.
    pub joined: bool,
    /// The leader it knows.
    pub leader: Option<String>,
    /// Term.
    pub term: u64,
    /// Commit index.
    pub commit: u64,
    /// Voters with their incarnations.
    pub voters: Vec<String>,
    /// Messages refused: wrong formation or incarnation.
    pub refused: u64,
}

/// One upstream as an instance sees it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Upstream {
    /// Name.
    pub upstream: name::Name,
    /// Service.
    pub service: name::Name,
    /// Address.
    pub address: name::Name,
    /// Slots in all.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: upstream::Phase,
    /// What is left of its lease, milliseconds.
    pub lease_ms: u64,
    /// Tasks that this instance has there.
    pub outstanding: u32,
    /// Whether it is ejected.
    pub ejected: bool,
}

/// One service as an instance sees it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Service {
    /// Path.
    pub service: name::Name,
    /// Tasks waiting.
    pub queue: usize,
    /// Slots that this instance may use.
    pub share: u32,
    /// Free ones of them.
    pub free: u32,
    /// Slots of all open upstreams.
    pub total: u32,
}

/// Everything.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: name::Name,
    /// Its availability zone.
    pub availability_zone: name::Name,
    /// Whether it can serve.
    pub ready: bool,
    /// Whether it shuts down.
    pub draining: bool,
    /// Version of the settings tree.
    pub version: u64,
    /// What is left of its lease, milliseconds.
    pub lease_ms: u64,
    /// Groups that it belongs to.
    pub groups: Vec<Group>,
    /// Instances of the zone that may own jobs.
    pub members: Vec<String>,
    /// Jobs that it works on.
    pub jobs: usize,
    /// Jobs that the zone's journal remembers.
    pub remembered: usize,
    /// Bytes of kept answers.
    pub answers: usize,
    /// Slots borrowed at present.
    pub borrowed: u32,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Services with work or upstreams.
    pub services: Vec<Service>,
    /// What was counted since the start.
    pub counts: crate::event::Counts,
}

impl Core {
    /// What this instance tells operators about itself.
    pub fn status(&self, now: Now) -> Status {
        let left = |until: u64| until.saturating_sub(now.mono) / crate::time::MS;
        let upstreams = self.fleet.table().iter().map(|leased| Upstream {
            upstream: leased.info.name.clone(),
            service: leased.info.service.clone(),
            address: leased.info.address.clone(),
            slots: leased.info.slots,
            phase: leased.info.phase,
            lease_ms: left(leased.until),
            outstanding: self.fleet.outstanding(leased.info.name.as_str()),
            ejected: self.fleet.is_ejected(leased.info.name.as_str(), now.mono),
        });
        Status {
            instance: self.config.me.name.clone(),
            availability_zone: self.config.me.zone.clone(),
            ready: self.is_ready(),
            draining: self.draining,
            version: self.tree().version(),
            lease_ms: left(self.journal.lease(now.mono)),
            groups: self.groups(now.mono),
            members: self.members(),
            jobs: self.jobs.len(),
            remembered: self.table().len(),
            answers: self.answers.bytes(),
            borrowed: self.fleet.loans().total(),
            upstreams: upstreams.collect(),
            services: self.service_states(now.mono),
            counts: self.counts.clone(),
        }
    }

    /// Instances of the zone that may own jobs.
    pub fn members(&self) -> Vec<String> {
        self.table().live().map(ToString::to_string).collect()
    }

    /// Name of the journal's leader, or nothing.
    pub fn journal_leader(&self) -> String {
        leader(&self.journal)
    }

    /// Name of the settings group's leader, or nothing.
    pub fn settings_leader(&self) -> String {
        leader(&self.settings)
    }

    fn groups(&self, now: u64) -> Vec<Group> {
        let journal = |zone: &name::Name| format!("journal {zone}");
        let mut groups = vec![
            describe("settings".to_owned(), &self.settings, now),
            describe(journal(self.zone()), &self.journal, now),
        ];
        let witness = self.witness.iter();
        groups.extend(witness.map(|(zone, group)| describe(journal(zone), group, now)));
        groups
    }

    fn service_states(&self, now: u64) -> Vec<Service> {
        let known = self.fleet.table().iter().map(|leased| leased.info.service.clone());
        let names: std::collections::BTreeSet<_> =
            known.chain(self.services.keys().cloned()).collect();
        let state = |service: name::Name| {
            let room = self.fleet.room(&service, now);
            let queue = self.services.get(&service).map_or(0, |s| s.queue.len());
            Service { queue, share: room.allowed, free: room.free, total: room.total, service }
        };
        names.into_iter().map(state).collect()
    }
}

fn leader<M: group::Machine>(group: &group::Group<M>) -> String {
    group.raft().and_then(|raft| raft.leader()).map(ToString::to_string).unwrap_or_default()
}

fn describe<M: group::Machine>(name: String, group: &group::Group<M>, now: u64) -> Group {
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
