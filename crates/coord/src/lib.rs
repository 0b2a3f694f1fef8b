//! Coordination logic of an instance, without I/O, clocks or threads.
//!
//! A [`Core`] is a state machine. It takes an event ([`event::Event`]) and the time
//! ([`time::Now`]), and returns the actions to carry out ([`event::Output`]): send a message, start
//! a task, store a change, reply to a ticket. The embedding program provides sockets, disks and
//! threads. The daemon is one such program; a test that simulates a whole zone in one thread is
//! another.
//!
//! The modules, from the bottom up:
//!
//! - [`log`], [`entry`] and [`raft`]: a consensus engine (Ongaro 2014) with leases and learners.
//! - [`form`] and [`group`]: the formation of a replicated group, and one member of it.
//! - [`machine`]: the two replicated state machines, settings and a zone's journal.
//! - [`fleet`], [`share`], [`place`] and [`health`]: the choice of the upstream for a task.
//! - [`queue`] and [`retry`]: the order of waiting tasks, and the retry budget.
//! - [`core`]: the state machine of an instance, and the life cycle of a job.
//!
//! # Embedding
//!
//! This example runs a single instance with one service, one upstream and one job. It simulates
//! the disk and the upstream:
//!
//! ```
//! use coord::{Core, config, core, event, group, member, message, mirror, time};
//! use state::{JobId, Name, boot, tree, upstream};
//!
//! let zone = Name::new("west");
//! let me = member::Instance { name: Name::new("west-1"), zone: zone.clone(), has_disk: true };
//! let config = config::Config {
//!     all: vec![me.clone()],
//!     me,
//!     incarnation: 1,
//!     disk_incarnation: Some(1),
//!     baselines: boot::Baselines::default(),
//!     seed: 7,
//! };
//! let mut clock = time::Now::new(1, 1_800_000_000_000);
//! let mut core = Core::new(config, group::Recovered::default(), clock);
//! let mut disk = mirror::Mirror::default();
//!
//! // Passes one event to the core, simulates the disk, and collects all other outputs.
//! let mut step = |core: &mut Core, event: event::Event, clock: time::Now| {
//!     let mut others = Vec::new();
//!     let mut queue = core.handle(event, clock);
//!     while let Some(output) = queue.pop() {
//!         match output {
//!             event::Output::Save(number, save) => {
//!                 disk.apply(save);
//!                 queue.extend(core.handle(event::Event::Saved(number), clock));
//!             }
//!             other => others.push(other),
//!         }
//!     }
//!     others
//! };
//!
//! while !core.is_ready() {
//!     clock = time::Now::new(clock.mono + core::TICK, clock.wall + core::TICK / time::MS);
//!     step(&mut core, event::Event::Tick, clock);
//! }
//!
//! let service = Name::new("polish-board");
//! let (change, values) = (uuid::Uuid::from_u128(1), "{}".to_owned());
//! let change = tree::Change { change, base: None, path: service.clone(), values };
//! step(&mut core, event::Event::Change(1, change), clock);
//! let upstream = upstream::Upstream {
//!     name: Name::new("u1"),
//!     service: service.clone(),
//!     zone: zone.clone(),
//!     address: Name::new("127.0.0.1:9000"),
//!     slots: 1,
//!     phase: upstream::Phase::Serving,
//!     capacity: None,
//!     sequence: 0,
//!     number: 0,
//! };
//! step(&mut core, event::Event::Announce(2, upstream), clock);
//!
//! let uuid = uuid::Builder::from_unix_timestamp_millis(clock.wall, &[0; 10]).into_uuid();
//! let spec = message::Spec {
//!     job: JobId::new(&zone, uuid),
//!     service,
//!     team: None,
//!     left_ms: 1_000,
//!     idempotent: false,
//!     needs: upstream::Resources::default(),
//!     tasks: vec!["7".into()],
//!     content_type: Name::new("application/json"),
//!     raw: false,
//!     trace: Name::new(""),
//! };
//! let outputs = step(&mut core, event::Event::Submit(3, spec), clock);
//! let start = outputs.into_iter().find_map(|output| match output {
//!     event::Output::Start(start) => Some(start),
//!     _ => None,
//! });
//! let start = start.expect("the only slot is free");
//!
//! // The program has called the upstream and received its answer.
//! let answer = message::Answer { body: "49".into(), content_type: start.content_type.clone() };
//! let done = event::Done {
//!     task: start.task,
//!     attempt: start.attempt,
//!     upstream: start.upstream,
//!     took: 50 * time::MS,
//!     finish: event::Finish::Answer(answer.clone()),
//! };
//! let outputs = step(&mut core, event::Event::Done(done), clock);
//! let verdict = event::Reply::Verdict(message::Verdict::Complete(vec![answer]));
//! assert!(outputs.contains(&event::Output::Reply(3, verdict)));
//! ```

pub mod cache;
mod calls;
mod change;
pub mod config;
mod copies;
pub mod core;
mod delivery;
mod departures;
mod duty;
mod election;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod form;
mod forward;
pub mod group;
mod groups;
pub mod health;
mod job;
mod jobs;
mod joined;
mod limit;
pub mod log;
pub mod machine;
pub mod member;
pub mod message;
pub mod mirror;
mod news;
mod overdue;
pub mod place;
pub mod queue;
pub mod raft;
mod replicate;
pub mod retry;
mod run;
pub mod seats;
pub mod share;
pub mod status;
pub mod time;
mod upkeep;
mod waiter;

pub use core::Core;
