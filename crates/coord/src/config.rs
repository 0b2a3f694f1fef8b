//! Configuration with which an instance starts.

use state::boot;

use crate::member::Instance;

/// Configuration of an instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance.
    pub me: Instance,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Incarnation of the data folder, if there is one.
    pub disk_incarnation: Option<u64>,
    /// All instances, this one included.
    pub all: Vec<Instance>,
    /// Algorithms that a benchmark replaces by baselines.
    pub baselines: boot::Baselines,
    /// Seed of the random number generators.
    pub seed: u64,
}
