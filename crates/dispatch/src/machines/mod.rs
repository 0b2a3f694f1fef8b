//! State machines, which turn events into effects by these decisions.
//!
//! - [`core`]: one instance. `announcement`, `peers`, `propagation` and `scheduling` handle its
//!   events, and [`status`] reports on it.
//! - [`sched`]: the scheduler of one zone. `admission`, `start`, `outcome`, `handback`, `rescue`,
//!   `restart`, `slow`, `lasting` and `upkeep` handle its events.
//! - [`submissions`]: the jobs of an entry's clients; `reserving` records which entry has which.
//! - [`control_log`]: the replicated configuration; `control_state` is its state machine.

mod admission;
mod announcement;
mod cancelling;
pub mod control_log;
mod control_state;
pub mod core;
mod handback;
mod lasting;
mod outcome;
mod peers;
mod propagation;
mod rescue;
mod reserving;
mod restart;
pub mod sched;
mod scheduling;
mod slow;
mod start;
pub mod status;
pub mod submissions;
mod upkeep;
pub(crate) mod zone;
