//! Identity of an instance, as the instances exchange it.

use std::cmp;

use state::name;

/// CPU time that an instance can use for each megabyte of its memory, thousandths of a core.
const CPU_PER_MEGABYTE: u32 = 2;
/// CPU time that it can use for each megabit a second of its link, thousandths of a core.
const CPU_PER_MEGABIT: u32 = 10;
/// Number of connections that it has for each thousandth of a core that it uses.
const DESCRIPTORS_PER_CPU: u32 = 14;

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
///
/// The order of capacities is total, but says nothing about which instance can bear more:
/// [`Card::rank`] does.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
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

/// Position of an instance in the order of [`Card::rank`]; the first instance is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank<'a> {
    role: Role,
    strength: cmp::Reverse<Strength>,
    name: &'a name::Name,
}

/// What an instance can bear, in steps of a factor of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Strength {
    usable: u32,
    cpu: u32,
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

impl Capacity {
    /// CPU time that the instance can use before its memory, its connections or its link bind,
    /// thousandths of a core. It is 0 if one of them is unknown.
    pub fn usable_cpu(self) -> u32 {
        let memory = self.memory.saturating_mul(CPU_PER_MEGABYTE);
        let link = self.link.saturating_mul(CPU_PER_MEGABIT);
        self.cpu.min(memory).min(link).min(self.descriptors / DESCRIPTORS_PER_CPU)
    }

    /// Instances of nearly the same size are equal, so that small differences do not decide which
    /// of them have the work of a zone.
    fn strength(self) -> Strength {
        let step = |amount: u32| u32::BITS - amount.leading_zeros();
        Strength { usable: step(self.usable_cpu()), cpu: step(self.cpu) }
    }

    /// The fields as bytes, for digests.
    pub(crate) fn to_bytes(self) -> [u8; 16] {
        let fields = [self.cpu, self.memory, self.descriptors, self.link];
        let mut bytes = [0; 16];
        for (part, field) in bytes.chunks_exact_mut(4).zip(fields) {
            part.copy_from_slice(&field.to_le_bytes());
        }
        bytes
    }
}

impl Card {
    /// Order in which the instances of a zone take over its scheduling: keepers come first, since
    /// they have no clients of their own, then the instances that can bear more. The name decides
    /// between equals. An instance of which something is unknown comes after those of which
    /// everything is known.
    pub fn rank(&self) -> Rank<'_> {
        let strength = cmp::Reverse(self.capacity.strength());
        Rank { role: self.role, strength, name: &self.name }
    }

    /// Whether this identity replaces another one of the same name: it belongs to a later
    /// incarnation, or to the same one and states less. Only two processes with one name state
    /// different capacities for one incarnation; all instances then believe the least.
    pub fn supersedes(&self, held: &Self) -> bool {
        let key = |card: &Self| (card.incarnation, cmp::Reverse(card.capacity));
        key(self) > key(held)
    }
}
