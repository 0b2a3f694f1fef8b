//! Tables of what an instance knows: about other instances, upstreams, jobs and routes.
//!
//! - [`membership`], [`peer`], [`watch_list`] and [`redial`]: the other instances.
//! - [`directory`], [`session`], [`health`], [`speed`], [`lasting`], [`capacity_limit`] and [`call_timeout`]: the
//!   upstreams.
//! - [`active`] and [`routing`]: the jobs that a scheduler has, and where requests go.

pub mod active;
pub mod call_timeout;
pub mod capacity_limit;
pub mod directory;
pub mod fetch;
pub mod health;
pub mod lasting;
pub mod membership;
pub mod peer;
pub mod redial;
mod relay;
pub mod routing;
pub mod session;
pub mod speed;
pub(crate) mod unchecked;
pub mod watch_list;
mod zones;
