//! Time as the decisions see it: passed in with each event, never read.

pub use coord::time::{MS, Now};
