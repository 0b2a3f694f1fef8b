//! A claim to schedule a zone, and the fencing tokens that follow from it.

use state::name;

use crate::messages::parts;

/// Number of the low bits of an epoch that hold a hash of the claimant's name. They make the epochs
/// of instances that claim in the same millisecond differ: no upstream could tell two owners with
/// the same fencing token from one another.
pub(crate) const OWNER_BITS: u32 = 12;
/// Difference between a fencing token and the next higher one of the same owner.
pub const FENCE_STEP: u64 = 1 << OWNER_BITS;

/// An instance's claim to schedule parts of a zone, mostly all of them.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The availability zone.
    pub zone: name::Name,
    /// The holder's first fencing token: the time of the claim or a later one, in milliseconds
    /// since the Unix epoch, above some low bits from a hash of the holder's name. For each part
    /// the claim with the highest epoch holds.
    pub epoch: u64,
    /// The instance that claims the zone.
    pub holder: name::Name,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// The parts of the zone that it claims.
    pub parts: parts::Parts,
}
