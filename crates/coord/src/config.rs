//! Configuration that an instance starts with.

use state::boot;

use crate::member::Instance;

/// Configuration of an instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance.
    pub me: Instance,
    /// Incarnation of the process.
    pub life: u64,
    /// Incarnation of the data folder, if there is one.
    pub disk: Option<u64>,
    /// All instances, this one included.
    pub all: Vec<Instance>,
    /// Decisions that a trial replaces by their baselines.
    pub trial: boot::Trial,
    /// Seed of the random number generators.
    pub seed: u64,
}
