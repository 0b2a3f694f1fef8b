//! What a durable member has stored, rebuilt from its records.

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

/// What the folder holds, as the group sees it.
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
    /// What a snapshot and the records after it hold; nothing if they cannot be read.
    pub fn load(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Option<Self> {
        let mut mirror = Self::default();
        if let Some(bytes) = snapshot {
            let snapshot: Snapshot = postcard::from_bytes(bytes).ok()?;
            mirror.formation = Some(snapshot.formation);
            mirror.replace(snapshot.index, snapshot.term, snapshot.voters, snapshot.state);
        }
        for record in records {
            mirror.apply(postcard::from_bytes(record).ok()?);
        }
        Some(mirror)
    }

    /// Takes one stored change.
    pub fn apply(&mut self, save: raft::Save) {
        match save {
            raft::Save::Hard(term, vote) => (self.term, self.vote) = (term, vote),
            raft::Save::Entry(entry) => self.push(entry),
            raft::Save::Commit(index) => self.commit = self.commit.max(index),
            raft::Save::Formed(formation, voters) => {
                *self = Self { formation: Some(formation), voters, ..Self::default() };
            }
            raft::Save::Reset => *self = Self::default(),
            raft::Save::Snapshot { index, term, voters, state } => {
                self.replace(index, term, voters, state);
            }
        }
    }

    fn push(&mut self, entry: Entry) {
        if entry.index <= self.log.base() {
            return;
        }
        self.log.truncate(entry.index);
        if entry.index == self.log.last() + 1 {
            self.log.push(entry);
        }
    }

    fn replace(&mut self, index: u64, term: u64, voters: Voters, state: bytes::Bytes) {
        if self.log.term(index) == Some(term) {
            self.log.compact(index);
        } else {
            self.log = log::Log::new(index, term);
        }
        self.voters = voters;
        self.commit = self.commit.max(index);
        self.state = Some(state);
    }

    /// The snapshot and the records that together hold the same.
    pub fn compacted(&self) -> Option<(Vec<u8>, Vec<Vec<u8>>)> {
        let snapshot = Snapshot {
            formation: self.formation?,
            index: self.log.base(),
            term: self.log.base_term(),
            voters: self.voters.clone(),
            state: self.state.clone()?,
        };
        let head =
            [raft::Save::Hard(self.term, self.vote.clone()), raft::Save::Commit(self.commit)];
        let entries = self.log.iter().cloned().map(raft::Save::Entry);
        let records = head.into_iter().chain(entries);
        let records = records.map(|save| postcard::to_stdvec(&save).unwrap_or_default()).collect();
        Some((postcard::to_stdvec(&snapshot).ok()?, records))
    }

    /// What the group starts from.
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

    /// Entries of the log that follow the snapshot.
    pub fn entries(&self) -> usize {
        self.log.iter().count()
    }
}
