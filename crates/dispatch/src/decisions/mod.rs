//! Decisions, one in each file. They read tables and change nothing but their own state.
//!
//! - [`leadership`] and [`candidates`]: which instances schedule a zone; `startup`: how soon an
//!   instance that starts may.
//! - [`view`] and `assignment`: which scheduler gets a task.
//! - [`queue`] and [`place`]: which job goes first, and which upstream gets its tasks.
//! - `registrar`: which instance records the entry of a job.
//! - [`forecast`]: when a job ends, by the lasting speeds of upstreams.

pub(crate) mod assignment;
pub mod candidates;
pub mod forecast;
pub mod leadership;
pub mod place;
pub mod queue;
pub(crate) mod registrar;
pub(crate) mod startup;
pub mod view;
