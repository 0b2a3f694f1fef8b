//! Shared immutable names, and the identity of one incarnation of an instance.

use std::{borrow, fmt, sync};

/// Maximum length of a valid name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// An immutable name that is cheap to clone.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Name(sync::Arc<str>);

impl Name {
    /// Creates a name from `text` without validating it.
    pub fn new(text: &str) -> Self {
        Self(sync::Arc::from(text))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether `text` is a valid name: 1 to [`MAX_NAME_LEN`] bytes of ASCII letters,
    /// digits, `-`, `_` and `.`.
    pub fn is_valid(text: &str) -> bool {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        !text.is_empty() && text.len() <= MAX_NAME_LEN && text.bytes().all(allowed)
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

/// One incarnation of an instance: the name of the instance and an incarnation number.
///
/// An instance that lost its memory (or, in the settings group, its disk) restarts under the same
/// name with another incarnation number, so that it cannot be mistaken for the previous
/// incarnation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation number; 0 means that no incarnation of the instance is known yet.
    pub incarnation: u64,
}

impl Member {
    /// Creates a member with the given incarnation number.
    pub fn new(name: &Name, incarnation: u64) -> Self {
        Self { name: name.clone(), incarnation }
    }
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
