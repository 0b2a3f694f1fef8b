//! Status of an instance, for monitoring.

use state::name;

use crate::{
    machines::{core::Core, sched, zone},
    messages::{member, message, time},
    tables::session::Session,
};

/// Status of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether it is ready to take requests of clients.
    pub ready: bool,
    /// What it can bear, as the other instances know it.
    pub capacity: member::Capacity,
    /// Number of open jobs, for which clients wait at this instance.
    pub open: usize,
    /// Number of zones that it schedules; the fields from here to `silent` are 0 if there are none.
    pub scheduling: usize,
    /// Number of jobs that it schedules.
    pub jobs: usize,
    /// Number of their tasks that wait for capacity.
    pub waiting: u64,
    /// Time since the arrival of the oldest job with a waiting task, in seconds.
    pub oldest: f64,
    /// Number of tasks that may be running.
    pub running: usize,
    /// Free cores of upstreams that accept tasks, less the demand of waiting tasks.
    pub free: f64,
    /// Total cores of these upstreams.
    pub total: f64,
    /// Number of upstreams in the zones that it schedules.
    pub upstreams: usize,
    /// Number of these upstreams that are ejected for failed or hanging runs.
    pub ejected: usize,
    /// Number of these upstreams that do not answer.
    pub silent: usize,
    /// Number of these upstreams that are consistently far slower than others.
    pub slower: usize,
    /// Version of the active configuration.
    pub version: u64,
    /// Number of evacuated zones that this instance knows.
    pub evacuated: usize,
    /// Revision of the set of evacuated zones.
    pub revision: u64,
    /// Whether it leads the consensus group of the configuration; the fields from here to `behind`
    /// are 0 at instances without a disk.
    pub leading: bool,
    /// Current term of that group.
    pub term: u64,
    /// Number of voters in that group.
    pub voters: usize,
    /// Number of local log entries that are not known to be committed.
    pub behind: u64,
    /// Number of other instances that this one knows.
    pub known: usize,
    /// Number of these instances that are alive.
    pub heard: usize,
    /// Number of reconnects of streams to them.
    pub redials: u64,
}

/// Load of a zone that this instance schedules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: name::Name,
    /// Capacity of its upstreams, less the demand of waiting tasks.
    pub load: message::Load,
    /// Number of waiting tasks.
    pub waiting: u64,
}

impl Core {
    /// Returns the load of the zones that this instance schedules.
    pub fn zone_loads(&self, now: time::Now) -> Vec<ZoneLoad> {
        let zone_load = |(name, zone): (&name::Name, &zone::Zone)| {
            let sched = zone.sched.as_ref()?;
            let (zone, load) = (name.clone(), sched.load(now.mono));
            Some(ZoneLoad { zone, load, waiting: sched.waiting() })
        };
        self.zones.iter().filter_map(zone_load).collect()
    }

    /// Returns the status of this instance.
    pub fn status(&self, now: time::Now) -> Status {
        let mut status = Status {
            ready: self.is_ready(now),
            capacity: self.membership.me().capacity,
            open: self.open(),
            version: self.document.version,
            evacuated: self.evacuations.zones.len(),
            revision: self.evacuations.revision,
            known: self.membership.names().count(),
            heard: self
                .membership
                .names()
                .filter(|name| self.membership.is_alive(name, now.mono))
                .count(),
            redials: self.membership.redials(),
            ..Status::default()
        };
        for sched in self.scheds() {
            Self::add_zone(&mut status, sched, now.mono);
        }
        if let Some(raft) = self.control_log.as_ref().and_then(|control_log| control_log.raft()) {
            status.leading = self.leads;
            status.term = raft.term();
            status.voters = raft.voters().0.len();
            status.behind = raft.log().last().saturating_sub(raft.commit());
        }
        status
    }

    fn add_zone(status: &mut Status, sched: &sched::Sched, now: u64) {
        const CORE_UNITS: f64 = 1_000.0;
        let load = sched.load(now);
        let waiting_jobs = || sched.jobs.values().filter(|active| active.waiting() > 0);
        let oldest = waiting_jobs().map(|active| now.saturating_sub(active.arrived)).max();
        let oldest = oldest.unwrap_or(0) as f64 / (1_000 * time::MS) as f64;
        let count =
            |matches: &dyn Fn(&&Session) -> bool| sched.sessions.values().filter(matches).count();
        status.scheduling += 1;
        status.jobs += sched.jobs();
        status.waiting += sched.waiting();
        status.oldest = status.oldest.max(oldest);
        status.running += sched.sessions.values().map(|session| session.runs.len()).sum::<usize>();
        status.free += load.free as f64 / CORE_UNITS;
        status.total += load.total as f64 / CORE_UNITS;
        status.upstreams += sched.sessions.len();
        status.ejected += count(&|session| session.health.is_ejected(now));
        status.slower += count(&|session| session.lasting.pace().is_some());
        status.silent += count(&|session| session.silent_since.is_some());
    }
}
