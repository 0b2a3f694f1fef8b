//! Errors of the command, with the step and the peer at which they occurred.

use std::fmt;

/// A failure of the command. An [`error_stack::Report`] carries its causes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    peer: String,
}

impl Error {
    /// Creates an error of `step` at `peer`, which is an instance, an address or a file.
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

/// A result whose error is a report with its causes.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// Formats a report as one line for the standard error: the failure and all its causes.
pub fn line(report: &error_stack::Report<Error>) -> String {
    let causes = report.frames().filter_map(|frame| match frame.kind() {
        error_stack::FrameKind::Context(context) => Some(context.to_string()),
        error_stack::FrameKind::Attachment(_) => None,
    });
    causes.collect::<Vec<_>>().join(": ").replace('\n', " ")
}
