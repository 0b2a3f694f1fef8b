//! Job ids: the home availability zone and a version 7 UUID (RFC 9562, section 5.7).

use std::{fmt, str};

use crate::{error, name};

/// Identity of a job: `<availability zone>-<uuid v7>`.
///
/// The time in the UUID tells how old an id is, which is what makes forgetting safe: an id older
/// than the retention is never run.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct JobId {
    zone: name::Name,
    uuid: uuid::Uuid,
}

impl JobId {
    /// Builds an id for `zone` from its parts.
    pub fn new(zone: &name::Name, uuid: uuid::Uuid) -> Self {
        Self { zone: zone.clone(), uuid }
    }

    /// Mints a fresh id for `zone` from the wall clock.
    pub fn mint(zone: &name::Name) -> Self {
        Self::new(zone, uuid::Uuid::now_v7())
    }

    /// The home availability zone.
    pub fn zone(&self) -> &name::Name {
        &self.zone
    }

    /// When the id was minted, in milliseconds since the Unix epoch.
    pub fn minted(&self) -> u64 {
        self.uuid.as_u128().wrapping_shr(80) as u64
    }
}

impl str::FromStr for JobId {
    type Err = error::Error;

    /// Parses `<zone>-<uuid v7>`.
    ///
    /// # Errors
    ///
    /// The text has no zone, no UUID, or a UUID of another version.
    ///
    /// ```
    /// assert!("west-0190b6c4-7e2a-7c3e-8a54-000000000001".parse::<state::JobId>().is_ok());
    /// assert!("0190b6c4-7e2a-7c3e-8a54-000000000001".parse::<state::JobId>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const UUID_LEN: usize = 36;
        let fault = |why: &str| error::Error::input("job id", why);
        let cut = text.len().checked_sub(UUID_LEN + 1).filter(|cut| *cut > 0);
        let cut = cut.ok_or_else(|| fault("expected <availability zone>-<uuid v7>"))?;
        let (Some(zone), Some(tail)) = (text.get(..cut), text.get(cut..)) else {
            return Err(fault("expected ASCII text"));
        };
        let tail = tail.strip_prefix('-').ok_or_else(|| fault("no '-' before the uuid"))?;
        if !name::Name::is_valid(zone) {
            return Err(fault("the availability zone is not a name"));
        }
        let uuid = uuid::Uuid::try_parse(tail).map_err(|e| fault(&e.to_string()))?;
        if uuid.get_version_num() != 7 {
            return Err(fault("the uuid is not of version 7"));
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

/// Digest of a submission's content: the first 128 bits of its SHA-256 (FIPS 180-4).
pub fn digest(content: &[u8]) -> u128 {
    use sha2::Digest as _;
    let sum = sha2::Sha256::digest(content);
    sum.iter().take(16).fold(0, |word, byte| (word << 8) | u128::from(*byte))
}

/// Short digest of a name, for messages that repeat it often (XXH3).
pub fn short(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
