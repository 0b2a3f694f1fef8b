//! Receivers of verdicts.

use state::name;

use crate::event::Ticket;

/// The receiver of a verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A client that submitted a job or a request.
    Submission(Ticket),
    /// A client that queries or cancels a job; the reply does not count as an outcome of a
    /// submission.
    Query(Ticket),
    /// A peer, with the number of its call.
    Peer(name::Name, u64),
    /// No receiver; the verdict is discarded.
    Discard,
}
