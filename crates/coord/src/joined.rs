//! A member's part in one formation of its group, and when it may forget it.

use crate::{
    message::Formation,
    raft::{self, Raft},
};

#[derive(Debug)]
pub(crate) struct Joined {
    pub(crate) formation: Formation,
    /// Whether this process has founded the formation. It is the only leader of the first term.
    pub(crate) is_founder: bool,
    pub(crate) raft: Raft,
    pub(crate) applied: u64,
    pub(crate) next_probe: u64,
}

impl Joined {
    pub(crate) fn new(formation: Formation, raft: Raft) -> Self {
        Self { formation, is_founder: false, raft, applied: 0, next_probe: 0 }
    }

    /// Whether a member that knows of no committed entry may forget this formation.
    ///
    /// A durable member must keep what a leader may have counted: the entries that it acknowledged
    /// may be committed although it was not told so, and its vote may have elected a leader. The
    /// founder knows better: nobody else commits entries in the first term.
    pub(crate) fn can_leave(&self, durable: bool) -> bool {
        let raft = &self.raft;
        let is_unused = raft.log().last() == 0 && raft.vote().is_none();
        raft.commit() == 0 && (!durable || is_unused || self.is_founder && self.is_first_term())
    }

    /// Whether this member has acknowledged entries to nobody but the founder, and has voted for
    /// nobody else.
    pub(crate) fn is_first_term(&self) -> bool {
        self.raft.term() <= raft::FIRST_TERM
    }
}
