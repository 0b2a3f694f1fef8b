//! Error type of this crate.

use std::{fmt, io, path};

/// An error from parsing, validating or storing state.
#[derive(Debug)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Debug)]
struct Inner {
    step: &'static str,
    reason: String,
    class: Class,
    location: Option<Location>,
    source: Option<io::Error>,
}

#[derive(Debug)]
struct Location {
    file: path::PathBuf,
    offset: u64,
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The input is malformed or out of range.
    Input,
    /// The operating system reported an error on a file operation.
    Io,
    /// Stored data is corrupt. The error has the file and the offset of the corruption.
    Corrupt,
    /// The data folder belongs to another instance or another process.
    Owner,
}

impl Error {
    pub(crate) fn input(step: &'static str, reason: &str) -> Self {
        Self::with(step, reason.to_owned(), Class::Input)
    }

    pub(crate) fn io(step: &'static str, source: io::Error) -> Self {
        let mut error = Self::with(step, source.to_string(), Class::Io);
        error.inner.source = Some(source);
        error
    }

    pub(crate) fn owner(step: &'static str, reason: String) -> Self {
        Self::with(step, reason, Class::Owner)
    }

    pub(crate) fn corrupt(
        step: &'static str,
        reason: &str,
        file: &path::Path,
        offset: u64,
    ) -> Self {
        let mut error = Self::with(step, reason.to_owned(), Class::Corrupt);
        error.inner.location = Some(Location { file: file.to_owned(), offset });
        error
    }

    fn with(step: &'static str, reason: String, class: Class) -> Self {
        Self { inner: Box::new(Inner { step, reason, class, location: None, source: None }) }
    }

    /// Returns the category of the error.
    pub fn class(&self) -> Class {
        self.inner.class
    }

    /// Returns the operation that failed.
    pub fn step(&self) -> &'static str {
        self.inner.step
    }

    /// Returns the corrupt file and the byte offset in it, for [`Class::Corrupt`].
    pub fn location(&self) -> Option<(&path::Path, u64)> {
        self.inner.location.as_ref().map(|location| (location.file.as_path(), location.offset))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.inner.step, self.inner.reason)?;
        match &self.inner.location {
            Some(location) => {
                write!(f, " ({} at offset {})", location.file.display(), location.offset)
            }
            None => Ok(()),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.inner.source.as_ref().map(|e| e as _)
    }
}
