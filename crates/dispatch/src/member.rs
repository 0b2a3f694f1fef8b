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
}

impl Card {
    /// Order in which the instances of a zone take over its scheduling: keepers come first, since
    /// they have more CPU time and no clients of their own.
    pub fn rank(&self) -> (Role, &name::Name) {
        (self.role, &self.name)
    }
}
