//! How an instance stands, in numbers, for those who watch it.

use state::name;

use crate::{core::Core, message, sched, session::Session, time, zone};

/// How an instance stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether it takes clients.
    pub ready: bool,
    /// Jobs that clients wait for here.
    pub open: usize,
    /// How many zones it schedules; what follows up to `silent` is 0 where it schedules none.
    pub scheduling: usize,
    /// Jobs that it schedules.
    pub jobs: usize,
    /// Tasks of these that wait for room.
    pub waiting: u64,
    /// How long the oldest job with such a task has been there, seconds.
    pub oldest: f64,
    /// Tasks that may be running.
    pub running: usize,
    /// Cores that are free at upstreams that take work, less those that are waited for.
    pub free: f64,
    /// All cores of these.
    pub total: f64,
    /// Upstreams of these zones.
    pub upstreams: usize,
    /// Those that are ejected for what they did.
    pub ejected: usize,
    /// Those that do not answer.
    pub silent: usize,
    /// Version of the configuration in force here.
    pub version: u64,
    /// Zones that are evacuated, as far as is known here.
    pub evacuated: usize,
    /// Revision of the set of these zones.
    pub revision: u64,
    /// Whether it leads the group that holds the configuration; what follows up to `behind` is 0
    /// at instances without a disk.
    pub leading: bool,
    /// Term of that group.
    pub term: u64,
    /// Voters of that group.
    pub voters: usize,
    /// Log entries here that are not known to be committed.
    pub behind: u64,
    /// Other instances that are known.
    pub known: usize,
    /// Those that are heard.
    pub heard: usize,
    /// Streams to them that were dialled anew.
    pub redials: u64,
}

/// How full a zone is that this instance schedules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// The zone.
    pub zone: name::Name,
    /// Its cores, less those that are waited for.
    pub load: message::Load,
    /// Tasks that wait.
    pub waiting: u64,
}

impl Core {
    /// How full the zones are that this instance schedules.
    pub fn rooms(&self, now: time::Now) -> Vec<Room> {
        let room = |(name, zone): (&name::Name, &zone::Zone)| {
            let sched = zone.sched.as_ref()?;
            let (zone, load) = (name.clone(), sched.load(now.mono));
            Some(Room { zone, load, waiting: sched.waiting() })
        };
        self.zones.iter().filter_map(room).collect()
    }

    /// How this instance stands.
    pub fn status(&self, now: time::Now) -> Status {
        let mut status = Status {
            ready: self.is_ready(now),
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
        const CORE: f64 = 1_000.0;
        let load = sched.load(now);
        let waiting = || sched.jobs.values().filter(|active| active.waiting() > 0);
        let oldest = waiting().map(|active| now.saturating_sub(active.arrived)).max();
        let oldest = oldest.unwrap_or(0) as f64 / (1_000 * time::MS) as f64;
        let count = |is: &dyn Fn(&&Session) -> bool| sched.sessions.values().filter(is).count();
        status.scheduling += 1;
        status.jobs += sched.jobs();
        status.waiting += sched.waiting();
        status.oldest = status.oldest.max(oldest);
        status.running += sched.sessions.values().map(|session| session.runs.len()).sum::<usize>();
        status.free += load.free as f64 / CORE;
        status.total += load.total as f64 / CORE;
        status.upstreams += sched.sessions.len();
        status.ejected += count(&|session| session.health.is_ejected(now));
        status.silent += count(&|session| session.silent.is_some());
    }
}
