//! Dispatch of tasks to upstreams, each owned by one scheduler: which instance schedules a zone,
//! which upstreams the zone has, and which task runs where. All decisions are made without I/O,
//! clocks or threads.
//!
//! An instance is a [`Core`]. It takes events ([`event::Event`]) with their time ([`time::Now`])
//! and returns effects ([`event::Output`]).
//!
//! The modules are in four layers, each of which uses only the layers before it: messages, tables
//! of what an instance knows, decisions, and state machines.
//!
//! - [`membership`], [`peer`], [`watch_list`], [`redial`], [`leadership`] and [`candidates`]: which
//!   instances are alive, which of them exchange heartbeats, when streams are reconnected, and
//!   which instances schedule a zone, in [`parts`] where one cannot bear it.
//! - [`incarnation`], [`upstream`], [`directory`] and [`session`]: the identity of an upstream, the
//!   table of upstreams, which instance knows which of them, and the state of one upstream at its
//!   owner.
//! - [`sched`], [`active`], [`queue`], [`place`] and [`health`]: jobs, their order, and where
//!   their tasks run.
//! - [`submissions`], [`share`] and [`reservation`]: the entry's side of a job, which scheduler has
//!   which of its tasks, and which entry has the job.
//! - [`status`]: the status of an instance for monitoring.
//! - [`control_log`], [`fetch`], [`compression`] and [`routing`]: the replicated configuration, its
//!   distribution to all instances, and the routing of requests by it.
//! - [`evacuation`]: the zones where no task starts until the operator ends the evacuation.
//!
//! # Decisions about queueing, load shedding and placement
//!
//! | decision | load that it handles | where |
//! | --- | --- | --- |
//! | which zone gets a task | one zone is full, others are not | [`submissions`], [`share`] |
//! | job order, refusal of late jobs | arrivals near capacity and above | [`queue`] |
//! | which job is refused on arrival | queues longer than any objective | [`queue::refusal_delay`] |
//! | which upstream gets a task | more jobs than fit, tasks of 10 to 20 cores | [`place`] |
//! | capacity after a refused task | capacity that shrinks without notice | [`capacity_limit`] |
//! | which upstreams are ejected, which tasks stopped | upstreams that fail or hang | [`health`] |
//! | which upstreams are slow | correct upstreams that are several times slower | [`speed`] |
//! | which upstreams make a task late | upstreams of lasting, different speeds | [`lasting`], [`forecast`] |
//! | which task crashes upstreams | tasks that crash each upstream that starts them | [`suspect`] |
//! | when a call to an upstream times out | calls that are lost | [`call_timeout`] |
//! | zone scheduler, takeover | losses, partitions, restarts of the whole system | [`leadership`] |
//!
//! ```
//! use dispatch::{Core, core, event, member, time};
//!
//! let me = member::Card {
//!     name: "10.0.0.1:7000".into(),
//!     zone: "west".into(),
//!     role: member::Role::Entry,
//!     incarnation: 1_800_000_000_000,
//!     capacity: member::Capacity { cpu: 1_000, ..member::Capacity::default() },
//! };
//! let policy = state::policy::Policy::default();
//! let (seeds, zones, cores) = (Vec::new(), Vec::new(), 1_000);
//! let (longest_lease, seed, disk) = (1_000, 7, None);
//! let config = core::Config { me, seeds, longest_lease, seed, cores, policy, zones, disk };
//! let mut clock = time::Now::new(1, 1_800_000_000_000);
//! let mut core = Core::new(config, clock);
//! for _ in 0..100 {
//!     clock = time::Now::new(clock.mono + 20 * time::MS, clock.wall + 20);
//!     core.handle(event::Event::Tick, clock);
//! }
//! assert!(core.is_scheduler(), "it is the only instance");
//! ```

mod decisions;
mod machines;
mod messages;
mod tables;

pub use decisions::{candidates, forecast, leadership, place, queue, view};
pub use machines::{
    control_log,
    core::{self, Core},
    sched, status, submissions,
};
pub use messages::{
    claim, compression, evacuation, event, incarnation, job, member, message, order, parts,
    reservation, share, suspect, time, timing, upstream,
};
pub use tables::{
    active, call_timeout, capacity_limit, directory, fetch, health, lasting, membership, peer,
    redial, routing, session, speed, watch_list,
};
