//! The one error type of this crate.

use std::fmt;

/// A failure of transport, with the step and the peer at which it arose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    peer: String,
    why: String,
}

impl Error {
    pub(crate) fn new(step: &'static str, peer: impl fmt::Display, why: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string(), why: why.to_string() }
    }

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// The address or name of the other side.
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.step, self.peer, self.why)
    }
}

impl std::error::Error for Error {}
