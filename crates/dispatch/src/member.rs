//! What the instances know of one another.

use state::name;

/// What an instance does in the system.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Holds the configuration on its disk and hears of upstreams.
    Keeper,
    /// Takes clients' jobs.
    Entry,
}

/// One life of an instance, as it introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Card {
    /// Address of its streams, `IP:PORT`; it names the instance.
    pub name: name::Name,
    /// Availability zone it is in.
    pub zone: name::Name,
    /// What it does.
    pub role: Role,
    /// Incarnation: the wall clock when the process started, in milliseconds.
    pub life: u64,
}

impl Card {
    /// Order in which the instances of a zone take its scheduler over: keepers have more
    /// processor time and no clients of their own.
    pub fn rank(&self) -> (Role, &name::Name) {
        (self.role, &self.name)
    }
}
