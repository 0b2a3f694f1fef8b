//! Dispatch over upstreams that are owned: who schedules a zone, which upstreams it has, and
//! which task runs where. Everything is decided without I/O, clocks or threads.
//!
//! An instance is a [`Core`]. It is told what happens ([`event::Event`]) and when
//! ([`time::Now`]), and says what to do ([`event::Output`]).
//!
//! - [`membership`], [`peer`], [`watch_list`], [`redial`] and [`leadership`]: which instances are heard, which
//!   ought to be, when streams are dialled anew, and who schedules a zone.
//! - [`upstream`], [`directory`] and [`session`]: the table of upstreams, who knows which of them, and
//!   one of them as its owner sees it.
//! - [`sched`], [`active`], [`queue`], [`place`] and [`health`]: jobs, their order, and where
//!   their tasks run.
//! - [`submissions`] and [`share`]: the entry's side of a job, and which of its tasks are with whom.
//! - [`status`]: how an instance stands, in numbers.
//! - [`control_log`], [`fetch`], [`compression`] and [`routing`]: the replicated configuration, how it reaches
//!   everybody, and what it says of a request.
//! - [`evacuation`]: the zones where nothing is started until they are taken back.
//!
//! # Decisions about queueing, refusing and placing
//!
//! | decision | load that it answers | where |
//! | --- | --- | --- |
//! | which zone gets a task | one zone is full while others are not | [`submissions`], [`share`] |
//! | which job goes first, which late ones are refused | arrivals near the room and beyond | [`queue`] |
//! | what is refused when it arrives | queues longer than any objective | [`queue::refuse`] |
//! | which upstream gets a task | more jobs than fit, tasks of 10 to 20 cores | [`place`] |
//! | what an upstream holds that refused a task | room that shrinks without a word | [`capacity_limit`] |
//! | which upstreams are ejected, which tasks stopped | ones that fail or hang | [`health`] |
//! | which upstreams are slow | ones that do what they are told, several times slower | [`speed`] |
//! | which task brings upstreams down | tasks that crash each upstream that starts them | [`suspect`] |
//! | when an order is given up | orders that get lost | [`call_timeout`] |
//! | who schedules a zone, and when another does | losses, cuts, restarts of everything | [`leadership`] |
//!
//! ```
//! use dispatch::{Core, core, event, member, time};
//!
//! let me = member::Card {
//!     name: "10.0.0.1:7000".into(),
//!     zone: "west".into(),
//!     role: member::Role::Entry,
//!     life: 1_800_000_000_000,
//! };
//! let policy = state::policy::Policy::default();
//! let (seeds, zones, cores) = (Vec::new(), Vec::new(), 1_000);
//! let config = core::Config { me, seeds, lease: 950, seed: 7, cores, policy, zones, disk: None };
//! let mut clock = time::Now::new(1, 1_800_000_000_000);
//! let mut core = Core::new(config, clock);
//! for _ in 0..100 {
//!     clock = time::Now::new(clock.mono + 20 * time::MS, clock.wall + 20);
//!     core.handle(event::Event::Tick, clock);
//! }
//! assert!(core.is_scheduler(), "nobody else is there");
//! ```

pub mod active;
mod admission;
mod assignment;
pub mod call_timeout;
pub mod capacity_limit;
pub mod claim;
pub mod compression;
pub mod control_log;
pub mod core;
pub mod directory;
pub mod evacuation;
pub mod event;
pub mod fetch;
mod handback;
pub mod health;
pub mod job;
pub mod leadership;
pub mod member;
pub mod membership;
pub mod message;
pub mod order;
mod outcome;
pub mod peer;
mod peers;
pub mod place;
mod propagation;
pub mod queue;
pub mod redial;
mod relay;
pub mod routing;
pub mod sched;
mod scheduling;
pub mod session;
pub mod share;
mod slow;
pub mod speed;
mod start;
pub mod status;
pub mod submissions;
pub mod suspect;
pub mod time;
pub mod timing;
mod upkeep;
pub mod upstream;
pub mod view;
pub mod watch_list;
mod zone;
mod zones;

pub use core::Core;
