//! Entries and voter sets of a replicated log.

use state::name;

/// One entry of a replicated log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// No content: the first entry of a new leader.
    Empty,
    /// A command for the state machine.
    Command(bytes::Bytes),
    /// The voters that apply from this entry on.
    Voters(Voters),
}

/// A short list of members, stored on the stack.
pub type Members = smallvec::SmallVec<[name::Member; 5]>;

/// The voters of a group. A voter with incarnation 0 is a seat whose instance is not known yet:
/// the seat counts towards the quorum but never votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Voters(pub Members);

impl Voters {
    /// Number of votes needed for a majority.
    pub fn quorum(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether this incarnation of an instance votes.
    pub fn contains(&self, member: &name::Member) -> bool {
        self.0.contains(member)
    }

    /// The voter that holds the seat of an instance, with any incarnation.
    pub fn seat(&self, name: &name::Name) -> Option<&name::Member> {
        self.0.iter().find(|member| member.name == *name)
    }

    /// Returns these voters, with the seat of `member` given to its current incarnation.
    #[must_use]
    pub fn with_incarnation(&self, member: &name::Member) -> Self {
        let replace = |m: &name::Member| {
            if m.name == member.name { member.clone() } else { m.clone() }
        };
        Self(self.0.iter().map(replace).collect())
    }
}
