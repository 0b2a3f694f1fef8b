//! Entries and voter sets of a replicated log.

use state::name;

/// One entry of a replicated log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// What it holds.
    pub load: Load,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Load {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command for the state machine.
    Command(bytes::Bytes),
    /// The voters from this entry on.
    Voters(Voters),
}

/// A short list of members on the stack.
pub type Members = smallvec::SmallVec<[name::Member; 5]>;

/// The voters of a group. A voter with incarnation 0 is a seat whose instance is not known yet:
/// it counts for the quorum and never votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Voters(pub Members);

impl Voters {
    /// Votes needed for a majority.
    pub fn quorum(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether this life of an instance votes.
    pub fn holds(&self, member: &name::Member) -> bool {
        self.0.contains(member)
    }

    /// The seat of an instance, whatever its incarnation.
    pub fn seat(&self, name: &name::Name) -> Option<&name::Member> {
        self.0.iter().find(|member| member.name == *name)
    }

    /// These voters with the seat of `member` taken over by its present life.
    #[must_use]
    pub fn with_life(&self, member: &name::Member) -> Self {
        let swap = |m: &name::Member| {
            if m.name == member.name { member.clone() } else { m.clone() }
        };
        Self(self.0.iter().map(swap).collect())
    }
}
