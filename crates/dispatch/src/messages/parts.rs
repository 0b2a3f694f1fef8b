//! Parts of a zone: shares of its upstreams that different instances may schedule.

use state::name;

use crate::messages::incarnation;

/// Number of parts of a zone. An upstream stays in its part for good, on all instances alike.
pub const PART_COUNT: u32 = u32::BITS;

/// A set of parts of a zone.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(from = "u32", into = "u32")]
pub struct Parts(u32);

impl Parts {
    /// All parts of a zone.
    pub const ALL: Self = Self(u32::MAX);
    /// No part.
    pub const NONE: Self = Self(0);

    /// The set with one bit for each part.
    pub const fn from_bits(bits: u32) -> Self {
        Self(bits)
    }

    /// The part of an upstream, by a hash of its name.
    pub fn of(id: &incarnation::Incarnation) -> Self {
        Self::of_name(&id.name)
    }

    /// The part that a hash of a name falls into.
    pub(crate) fn of_name(name: &name::Name) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes());
        Self(1 << (hash % u64::from(PART_COUNT)))
    }

    /// Whether these are all parts.
    pub fn is_all(self) -> bool {
        self == Self::ALL
    }

    /// Whether there is no part.
    pub fn is_empty(self) -> bool {
        self == Self::NONE
    }

    /// Number of parts.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Whether all parts of `other` are among these.
    pub fn covers(self, other: Self) -> bool {
        other.minus(self).is_empty()
    }

    /// Whether a part is in both sets.
    pub fn overlaps(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// The parts of both sets.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// The parts that are not in `other`.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// The single parts.
    pub fn iter(self) -> impl Iterator<Item = Self> {
        (0..PART_COUNT).map(|bit| Self(1 << bit)).filter(move |part| self.covers(*part))
    }
}

impl FromIterator<Self> for Parts {
    fn from_iter<I: IntoIterator<Item = Self>>(iter: I) -> Self {
        iter.into_iter().fold(Self::NONE, Self::plus)
    }
}

impl Default for Parts {
    fn default() -> Self {
        Self::ALL
    }
}

/// Messages hold the parts that are missing, so that the set of all parts takes one byte.
impl From<u32> for Parts {
    fn from(missing: u32) -> Self {
        Self(!missing)
    }
}

impl From<Parts> for u32 {
    fn from(parts: Parts) -> Self {
        !parts.0
    }
}
