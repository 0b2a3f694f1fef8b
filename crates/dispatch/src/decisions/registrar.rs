//! Which instances record the entry of a job: schedulers, in an order that depends on the job and
//! is the same at all entries that know the same claims.

use state::name;

use crate::{
    decisions::leadership,
    messages::{parts, time},
};

/// How long the holder of a new claim may lack records of jobs, microseconds: entries renew them
/// several times within it.
const SETTLING_TIME: u64 = 1_000 * time::MS;

/// An instance that records the entry of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Registrar {
    pub(crate) name: name::Name,
    /// Whether it may lack the record because its claim is new.
    pub(crate) is_new: bool,
}

/// The registrars of a job in order. There are none if a single zone has schedulers: these know
/// which entry has the job.
pub(crate) fn order(
    job: &name::Name,
    claims: &leadership::Claims,
    now: u64,
) -> smallvec::SmallVec<[Registrar; 8]> {
    let mut ranked: smallvec::SmallVec<[_; 8]> = claims.zone_names().collect();
    if ranked.len() < 2 {
        return smallvec::SmallVec::new();
    }
    let part = parts::Parts::of_name(job);
    let seed = xxhash_rust::xxh3::xxh3_64(job.as_str().as_bytes());
    ranked.sort_unstable_by_key(|zone| {
        xxhash_rust::xxh3::xxh3_64_with_seed(zone.as_str().as_bytes(), seed)
    });
    let mut found: smallvec::SmallVec<[Registrar; 8]> = smallvec::SmallVec::new();
    for (name, received) in ranked.into_iter().filter_map(|zone| claims.holder_of(zone, part)) {
        if found.iter().all(|other| other.name != *name) {
            let is_new = now < received + SETTLING_TIME;
            found.push(Registrar { name: name.clone(), is_new });
        }
    }
    found
}
