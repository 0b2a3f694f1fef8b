//! The identity of an upstream: its name, and which of its processes is meant.

use std::fmt;

use serde::de;
use state::name;

/// Separates the name from the start time in the text form. Names of upstreams contain none.
const SEPARATOR: char = '/';

/// One incarnation of an upstream: one process from its start to its end.
///
/// An upstream may restart under its name. The new process holds nothing of the former one: no run,
/// no fencing token, no end of a run, and its clock, its sequence of announcements and the numbers
/// of ends begin anew. Everything that an instance knows of an upstream is therefore known of one
/// incarnation.
///
/// The order of start times does not tell which incarnation is the newer one, because the wall
/// clock of an upstream may be set back: an incarnation has ended once another one answers a call
/// that was sent after the former was announced ([`crate::machines::sched`]).
///
/// The text form, which is also the serialized one, is the name alone for an upstream that states
/// no start time.
///
/// ```
/// let id = dispatch::incarnation::Incarnation::new(&"u1".into(), 1_800_000_000_000);
/// assert_eq!(id.to_string(), "u1/1800000000000");
/// assert_eq!(dispatch::incarnation::Incarnation::from("u1/1800000000000"), id);
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Name of the upstream.
    pub name: name::Name,
    /// Start of its process by its wall clock, milliseconds since 1970; 0 if it states none.
    pub started: u64,
}

/// Whether the process that answered a call is the one that the call was meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    /// The incarnation that was called.
    Same,
    /// Another incarnation, which started at this time, milliseconds since 1970.
    Other(u64),
    /// The answer states no start time although the upstream has one.
    Unknown,
}

impl Incarnation {
    /// Creates an identity.
    pub fn new(name: &name::Name, started: u64) -> Self {
        Self { name: name.clone(), started }
    }

    /// Compares this incarnation with the start time in an answer.
    pub fn compare(&self, started: Option<u64>) -> Match {
        match started {
            Some(started) if started != self.started => Match::Other(started),
            None if self.started != 0 => Match::Unknown,
            _ => Match::Same,
        }
    }

    /// The range of all incarnations of an upstream.
    pub(crate) fn all_of(name: &name::Name) -> std::ops::RangeInclusive<Self> {
        Self::new(name, 0)..=Self::new(name, u64::MAX)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            0 => write!(f, "{}", self.name),
            started => write!(f, "{}{SEPARATOR}{started}", self.name),
        }
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<&str> for Incarnation {
    fn from(text: &str) -> Self {
        let parts = text.rsplit_once(SEPARATOR);
        let parsed = parts.and_then(|(name, started)| Some((name, started.parse().ok()?)));
        let (name, started) = parsed.unwrap_or((text, 0));
        Self { name: name.into(), started }
    }
}

impl serde::Serialize for Incarnation {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.started == 0 {
            return self.name.serialize(serializer);
        }
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Incarnation {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        Ok(Self::from(text.as_ref()))
    }
}
