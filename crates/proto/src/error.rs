//! Faults of input at the border.

use std::fmt;

/// Input that was not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    why: String,
}

impl Error {
    pub(crate) fn new(step: &'static str, why: impl fmt::Display) -> Self {
        Self { step, why: why.to_string() }
    }

    /// What was being read.
    pub fn step(&self) -> &'static str {
        self.step
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.why)
    }
}

impl std::error::Error for Error {}
