//! The receivers of a verdict.

use state::name;

use crate::event::Ticket;

/// The receiver of a verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    Ticket(Ticket),
    /// A client that queries or cancels a job; its reply does not count as a submission's outcome.
    Query(Ticket),
    /// A peer, with the number of its call.
    Peer(name::Name, u64),
    /// Nothing receives the verdict.
    Discard,
}
