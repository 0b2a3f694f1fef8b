//! The one error type of this crate.

use std::{fmt, io, path};

/// A failure of parsing, checking or storing state.
#[derive(Debug)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Debug)]
struct Inner {
    step: &'static str,
    why: String,
    class: Class,
    place: Option<Place>,
    source: Option<io::Error>,
}

#[derive(Debug)]
struct Place {
    file: path::PathBuf,
    offset: u64,
}

/// What kind of failure an [`Error`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The input is malformed or out of range.
    Input,
    /// The operating system refused a read or write.
    Io,
    /// Stored data is damaged; the error names file and offset.
    Damage,
    /// The data folder belongs to another instance or another process.
    Owner,
}

impl Error {
    pub(crate) fn input(step: &'static str, why: &str) -> Self {
        Self::with(step, why.to_owned(), Class::Input)
    }

    pub(crate) fn io(step: &'static str, source: io::Error) -> Self {
        let mut error = Self::with(step, source.to_string(), Class::Io);
        error.inner.source = Some(source);
        error
    }

    pub(crate) fn owner(step: &'static str, why: String) -> Self {
        Self::with(step, why, Class::Owner)
    }

    pub(crate) fn damage(step: &'static str, why: &str, file: &path::Path, offset: u64) -> Self {
        let mut error = Self::with(step, why.to_owned(), Class::Damage);
        error.inner.place = Some(Place { file: file.to_owned(), offset });
        error
    }

    fn with(step: &'static str, why: String, class: Class) -> Self {
        Self { inner: Box::new(Inner { step, why, class, place: None, source: None }) }
    }

    /// The kind of failure.
    pub fn classify(&self) -> Class {
        self.inner.class
    }

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.inner.step
    }

    /// The damaged file and the byte offset in it, for [`Class::Damage`].
    pub fn place(&self) -> Option<(&path::Path, u64)> {
        self.inner.place.as_ref().map(|place| (place.file.as_path(), place.offset))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.inner.step, self.inner.why)?;
        match &self.inner.place {
            Some(place) => write!(f, " ({} at offset {})", place.file.display(), place.offset),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.inner.source.as_ref().map(|e| e as _)
    }
}
