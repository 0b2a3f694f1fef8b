//! Decisions, one in each file. They read tables and change nothing but their own state.
//!
//! - [`leadership`]: which instance schedules a zone; [`startup`]: how soon one that starts may.
//! - [`view`] and `assignment`: which scheduler gets a task.
//! - [`queue`] and [`place`]: which job goes first, and which upstream gets its tasks.

pub(crate) mod assignment;
pub mod leadership;
pub mod place;
pub mod queue;
pub(crate) mod startup;
pub mod view;
