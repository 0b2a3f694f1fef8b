//! Tables of what an instance knows: about other instances, upstreams, jobs and routes.
//!
//! - [`membership`], [`peer`], [`watch_list`] and [`redial`]: the other instances.
//! - [`directory`], [`session`], [`health`], [`speed`], [`lasting`], [`capacity_limit`] and
//!   [`call_timeout`]: the upstreams.
//! - [`active`], `loads` and [`routing`]: the jobs that a scheduler has, the room of the zones, and
//!   where requests go.
//! - `registry` and `requests`: which entry has which job, at the instance that records it and at
//!   the entries that ask it.

pub mod active;
pub mod call_timeout;
pub mod capacity_limit;
pub(crate) mod challenges;
pub mod directory;
pub mod fetch;
pub mod health;
pub mod lasting;
pub(crate) mod loads;
pub mod membership;
pub mod peer;
pub mod redial;
pub(crate) mod registry;
mod relay;
pub(crate) mod requests;
mod roster;
pub mod routing;
pub mod session;
pub mod speed;
pub(crate) mod unchecked;
pub mod watch_list;
mod zones;
