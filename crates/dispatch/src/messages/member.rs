//! Identity of an instance, as the instances exchange it.

use state::name;

/// Role of an instance in the system.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Stores the configuration on its disk and receives the records of upstreams.
    Keeper,
    /// Accepts jobs of clients.
    Entry,
}

/// What an instance can bear, from its settings. A field of 0 is unknown.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Capacity {
    /// CPU allowance, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Maximum number of open files, and thus of connections.
    pub descriptors: u32,
    /// Bandwidth of its network link, in megabits a second.
    pub link: u32,
}

/// Identity of one incarnation of an instance, as the instance reports it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Card {
    /// Address of its streams, `IP:PORT`, which is also the name of the instance.
    pub name: name::Name,
    /// Its availability zone.
    pub zone: name::Name,
    /// Its role.
    pub role: Role,
    /// Incarnation: the wall clock when the process started, in milliseconds.
    pub incarnation: u64,
    /// What it can bear.
    pub capacity: Capacity,
}

impl Card {
    /// Order in which the instances of a zone take over its scheduling: keepers come first, since
    /// they have more CPU time and no clients of their own.
    pub fn rank(&self) -> (Role, &name::Name) {
        (self.role, &self.name)
    }
}
