//! State of a durable member, rebuilt from its stored records.

use state::name;

use crate::{
    entry::{Entry, Voters},
    group, log, message, raft,
};

#[derive(serde::Serialize, serde::Deserialize)]
struct Snapshot {
    formation: message::Formation,
    index: u64,
    term: u64,
    voters: Voters,
    state: bytes::Bytes,
}

/// In-memory copy of the group state that the data folder holds.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    formation: Option<message::Formation>,
    voters: Voters,
    term: u64,
    vote: Option<name::Member>,
    log: log::Log,
    commit: u64,
    state: Option<bytes::Bytes>,
}

impl Mirror {
    /// Rebuilds the state from a snapshot and the records after it; returns `None` if any of them
    /// cannot be decoded.
    pub fn load(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Option<Self> {
        let mut mirror = Self::default();
        if let Some(bytes) = snapshot {
            let snapshot: Snapshot = postcard::from_bytes(bytes).ok()?;
            mirror.formation = Some(snapshot.formation);
            mirror.install_snapshot(snapshot.index, snapshot.term, snapshot.voters, snapshot.state);
        }
        for record in records {
            mirror.apply(postcard::from_bytes(record).ok()?);
        }
        Some(mirror)
    }

    /// Applies one stored change.
    pub fn apply(&mut self, save: raft::Save) {
        match save {
            raft::Save::HardState(term, vote) => (self.term, self.vote) = (term, vote),
            raft::Save::Entry(entry) => self.push_entry(entry),
            raft::Save::Commit(index) => self.commit = self.commit.max(index),
            raft::Save::Formed(formation, voters) => {
                *self = Self { formation: Some(formation), voters, ..Self::default() };
            }
            raft::Save::Reset => *self = Self::default(),
            raft::Save::Snapshot { index, term, voters, state } => {
                self.install_snapshot(index, term, voters, state);
            }
        }
    }

    fn push_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base() {
            return;
        }
        self.log.truncate(entry.index);
        if entry.index == self.log.last() + 1 {
            self.log.push(entry);
        }
    }

    fn install_snapshot(&mut self, index: u64, term: u64, voters: Voters, state: bytes::Bytes) {
        if self.log.term(index) == Some(term) {
            self.log.compact(index);
        } else {
            self.log = log::Log::new(index, term);
        }
        self.voters = voters;
        self.commit = self.commit.max(index);
        self.state = Some(state);
    }

    /// Returns a snapshot and the records after it that together hold the same state; `None` if
    /// there is no formation or no snapshot yet.
    pub fn compacted(&self) -> Option<(Vec<u8>, Vec<Vec<u8>>)> {
        let snapshot = Snapshot {
            formation: self.formation?,
            index: self.log.base(),
            term: self.log.base_term(),
            voters: self.voters.clone(),
            state: self.state.clone()?,
        };
        let header =
            [raft::Save::HardState(self.term, self.vote.clone()), raft::Save::Commit(self.commit)];
        let entries = self.log.iter().cloned().map(raft::Save::Entry);
        let records = header.into_iter().chain(entries);
        let records = records.map(|save| postcard::to_stdvec(&save).unwrap_or_default()).collect();
        Some((postcard::to_stdvec(&snapshot).ok()?, records))
    }

    /// Returns the state that the group starts from.
    pub fn recovered(&self) -> group::Recovered {
        let stored = raft::Stored {
            term: self.term,
            vote: self.vote.clone(),
            log: self.log.clone(),
            voters: self.voters.clone(),
        };
        let (formation, commit, state) = (self.formation, self.commit, self.state.clone());
        group::Recovered { formation, stored, commit, state }
    }

    /// Number of log entries after the snapshot.
    pub fn entry_count(&self) -> usize {
        self.log.iter().count()
    }
}
