//! Errors of input validation.

use std::fmt;

/// An error from parsing or validating input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    reason: String,
}

impl Error {
    pub(crate) fn new(step: &'static str, reason: impl fmt::Display) -> Self {
        Self { step, reason: reason.to_string() }
    }

    /// Returns the operation that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.reason)
    }
}

impl std::error::Error for Error {}
