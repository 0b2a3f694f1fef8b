//! Job ids. A job id consists of the home availability zone of the job and a version 7 UUID
//! (RFC 9562, section 5.7).

use std::{fmt, str};

use crate::{error, name};

/// Id of a job: `<availability zone>-<uuid v7>`.
///
/// The UUID contains its creation time, so the age of a job follows from its id. Old jobs can be
/// pruned safely because a job whose id is older than the retention period is never run.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct JobId {
    zone: name::Name,
    uuid: uuid::Uuid,
}

impl JobId {
    /// Creates an id from a zone and a UUID.
    pub fn new(zone: &name::Name, uuid: uuid::Uuid) -> Self {
        Self { zone: zone.clone(), uuid }
    }

    /// Generates a new id for `zone` with the current wall clock time.
    pub fn generate(zone: &name::Name) -> Self {
        Self::new(zone, uuid::Uuid::now_v7())
    }

    /// Returns the home availability zone.
    pub fn zone(&self) -> &name::Name {
        &self.zone
    }

    /// Returns the creation time of the id, in milliseconds since the Unix epoch.
    pub fn created_ms(&self) -> u64 {
        self.uuid.as_u128().wrapping_shr(80) as u64
    }
}

impl str::FromStr for JobId {
    type Err = error::Error;

    /// Parses `<zone>-<uuid v7>`.
    ///
    /// # Errors
    ///
    /// Fails if the text lacks a zone or a UUID, or if the UUID has another version than 7.
    ///
    /// ```
    /// assert!("west-0190b6c4-7e2a-7c3e-8a54-000000000001".parse::<state::JobId>().is_ok());
    /// assert!("0190b6c4-7e2a-7c3e-8a54-000000000001".parse::<state::JobId>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const UUID_LEN: usize = 36;
        let invalid = |reason: &str| error::Error::input("job id", reason);
        let split = text.len().checked_sub(UUID_LEN + 1).filter(|split| *split > 0);
        let split = split.ok_or_else(|| invalid("expected <availability zone>-<uuid v7>"))?;
        let (Some(zone), Some(rest)) = (text.get(..split), text.get(split..)) else {
            return Err(invalid("expected ASCII text"));
        };
        let rest = rest.strip_prefix('-').ok_or_else(|| invalid("expected '-' before the UUID"))?;
        if !name::Name::is_valid(zone) {
            return Err(invalid("the availability zone is not a valid name"));
        }
        let uuid = uuid::Uuid::try_parse(rest).map_err(|e| invalid(&e.to_string()))?;
        if uuid.get_version_num() != 7 {
            return Err(invalid("the UUID is not a version 7 UUID"));
        }
        Ok(Self { zone: name::Name::new(zone), uuid })
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.zone, self.uuid.hyphenated())
    }
}

/// Returns the digest of the content of a submission: the first 128 bits of its SHA-256 (FIPS
/// 180-4).
pub fn digest(content: &[u8]) -> u128 {
    use sha2::Digest as _;
    let sum = sha2::Sha256::digest(content);
    sum.iter().take(16).fold(0, |word, byte| (word << 8) | u128::from(*byte))
}

/// Returns a 32-bit XXH3 hash of a name, for messages that repeat the name often.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
