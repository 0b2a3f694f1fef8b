//! Shared immutable names, and the identity of one life of an instance.

use std::{borrow, fmt, sync};

/// Longest accepted name, in bytes.
pub const MAX_NAME: usize = 64;

/// An immutable name that is cheap to clone.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Name(sync::Arc<str>);

impl Name {
    /// Wraps `text` as it is.
    pub fn new(text: &str) -> Self {
        Self(sync::Arc::from(text))
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether `text` is a well-formed name: 1 to [`MAX_NAME`] bytes of ASCII letters, digits,
    /// `-`, `_` and `.`.
    pub fn is_valid(text: &str) -> bool {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        !text.is_empty() && text.len() <= MAX_NAME && text.bytes().all(plain)
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

/// One life of an instance: its name and its incarnation.
///
/// An instance that lost its memory (or, for the settings group, its disk) comes back under the
/// same name with another incarnation, so that it can never be taken for its former self.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation; 0 stands for "no life of it is known yet".
    pub life: u64,
}

impl Member {
    /// A member with the given incarnation.
    pub fn new(name: &Name, life: u64) -> Self {
        Self { name: name.clone(), life }
    }
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.life)
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.life)
    }
}
