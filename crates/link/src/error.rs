//! The error type of this crate.

use std::fmt;

/// A transport error with the step that failed and the remote or local address concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    peer: String,
    reason: String,
}

impl Error {
    pub(crate) fn new(
        step: &'static str,
        peer: impl fmt::Display,
        reason: impl fmt::Display,
    ) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }

    /// Returns the name of the step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Returns the address or name of the peer, file or component concerned.
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.step, self.peer, self.reason)
    }
}

impl std::error::Error for Error {}
