//! Decisions, one in each file. They read tables and change nothing but their own state.
//!
//! - [`leadership`]: which instance schedules a zone.
//! - [`view`] and `assignment`: which scheduler gets a task.
//! - [`queue`] and [`place`]: which job goes first, and which upstream gets its tasks.
//! - [`forecast`]: when a job ends, by the lasting speeds of upstreams.

pub(crate) mod assignment;
pub mod forecast;
pub mod leadership;
pub mod place;
pub mod queue;
pub mod view;
