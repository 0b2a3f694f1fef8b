//! Errors of the command, with the step and the peer at which they arose.

use std::fmt;

/// A failure of the command. Causes are attached by `error-stack`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    peer: String,
}

impl Error {
    /// A failure of `step` at `peer`: an instance, an address or a file.
    pub fn new(step: &'static str, peer: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.step, self.peer)
    }
}

impl std::error::Error for Error {}

/// A result with a report of its causes.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// One line for the standard error: the failure and its innermost cause.
pub fn line(report: &error_stack::Report<Error>) -> String {
    let cause = report.frames().filter_map(|frame| match frame.kind() {
        error_stack::FrameKind::Context(context) => Some(context.to_string()),
        error_stack::FrameKind::Attachment(_) => None,
    });
    cause.collect::<Vec<_>>().join(": ").replace('\n', " ")
}
