//! Time as the decisions use it: the caller passes it in with each event, and no clock is read.

pub use coord::time::{MS, Now};

/// Maximum rate by which a monotonic clock may be slower than another, in thousandths: the protocol
/// of upstreams allows 20.
pub(crate) const MAX_DRIFT: u64 = 25;

/// Returns how long a time on another clock takes at most on this one.
pub(crate) const fn on_slowest(duration: u64) -> u64 {
    duration + duration * MAX_DRIFT / 1_000
}
