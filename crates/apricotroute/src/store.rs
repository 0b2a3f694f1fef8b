//! The thread that owns the data folder: it stores what the settings group saves, so that a slow
//! disk never holds up the control thread.

use std::{path, thread};

use coord::{
    entry::{Entry, Load, Voters},
    group, log, message, raft,
};
use error_stack::ResultExt as _;
use state::{folder, name};

use crate::error;

/// Saved changes with the numbers to report.
pub type Saves = Vec<(u64, raft::Save)>;

#[derive(serde::Serialize, serde::Deserialize)]
struct Snapshot {
    formation: message::Formation,
    index: u64,
    term: u64,
    voters: Voters,
    state: bytes::Bytes,
}

/// What the folder holds, as the group sees it.
#[derive(Debug, Default)]
struct Mirror {
    formation: Option<message::Formation>,
    voters: Voters,
    term: u64,
    vote: Option<name::Member>,
    log: log::Log,
    commit: u64,
    state: Option<bytes::Bytes>,
}

impl Mirror {
    fn load(loaded: &folder::Loaded) -> Option<Self> {
        let mut mirror = Self::default();
        if let Some(bytes) = &loaded.snapshot {
            let snapshot: Snapshot = postcard::from_bytes(bytes).ok()?;
            mirror.formation = Some(snapshot.formation);
            mirror.replace(
                snapshot.index,
                snapshot.term,
                snapshot.voters,
                snapshot.state,
            );
        }
        for record in &loaded.records {
            mirror.apply(postcard::from_bytes(record).ok()?);
        }
        Some(mirror)
    }

    fn apply(&mut self, save: raft::Save) {
        match save {
            raft::Save::Hard(term, vote) => (self.term, self.vote) = (term, vote),
            raft::Save::Entry(entry) => self.push(entry),
            raft::Save::Commit(index) => self.commit = self.commit.max(index),
            raft::Save::Formed(formation, voters) => {
                *self = Self {
                    formation: Some(formation),
                    voters,
                    ..Self::default()
                };
            }
            raft::Save::Reset => *self = Self::default(),
            raft::Save::Snapshot {
                index,
                term,
                voters,
                state,
            } => {
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
    fn compacted(&self) -> Option<(Vec<u8>, Vec<Vec<u8>>)> {
        let snapshot = Snapshot {
            formation: self.formation?,
            index: self.log.base(),
            term: self.log.base_term(),
            voters: self.voters.clone(),
            state: self.state.clone()?,
        };
        let head = [
            raft::Save::Hard(self.term, self.vote.clone()),
            raft::Save::Commit(self.commit),
        ];
        let entries = self.log.iter().cloned().map(raft::Save::Entry);
        let records = head.into_iter().chain(entries);
        let records = records
            .map(|save| postcard::to_stdvec(&save).unwrap_or_default())
            .collect();
        Some((postcard::to_stdvec(&snapshot).ok()?, records))
    }

    fn recovered(&self) -> group::Recovered {
        let stored = raft::Stored {
            term: self.term,
            vote: self.vote.clone(),
            log: self.log.clone(),
            voters: self.voters.clone(),
        };
        let (formation, commit, state) = (self.formation, self.commit, self.state.clone());
        group::Recovered {
            formation,
            stored,
            commit,
            state,
        }
    }
}

/// An open data folder with what it holds.
#[derive(Debug)]
pub struct Store {
    folder: folder::Folder,
    mirror: Mirror,
    /// Incarnation of the disk.
    pub life: u64,
    /// Bytes cut from the end of the log.
    pub torn: u64,
}

impl Store {
    /// Opens the data folder of an instance.
    pub fn open(path: &path::Path, instance: &name::Name, life: u64) -> error::Result<Self> {
        let fault = || error::Error::new("open data folder", path.display());
        let (folder, loaded) =
            folder::Folder::open(path, instance, life).change_context_lazy(fault)?;
        let mirror = Mirror::load(&loaded);
        let mirror = mirror.ok_or_else(|| error_stack::Report::new(fault()))?;
        Ok(Self {
            folder,
            mirror,
            life: loaded.life,
            torn: loaded.torn,
        })
    }

    /// What the group starts from.
    pub fn recovered(&self) -> group::Recovered {
        self.mirror.recovered()
    }

    /// Whether any entry is a command.
    pub fn entries(&self) -> usize {
        let command = |entry: &&Entry| matches!(entry.load, Load::Command(_));
        self.mirror.log.iter().filter(command).count()
    }

    /// Stores on a thread of its own; `done` is told the last number of each batch.
    pub fn run(
        mut self,
        log: slog::Logger,
        done: impl Fn(u64) + Send + 'static,
    ) -> crossbeam_channel::Sender<Saves> {
        let (sender, receiver) = crossbeam_channel::unbounded::<Saves>();
        let work = move || {
            while let Ok(mut batch) = receiver.recv() {
                batch.extend(receiver.try_iter().flatten());
                let Some(last) = batch.last().map(|(number, _)| *number) else {
                    continue;
                };
                if let Err(e) = self.store(batch) {
                    // What the file holds is unknown now: never confirm anything again.
                    slog::crit!(log, "store: Writing failed, this voter stops."; "error" => %e);
                    return;
                }
                done(last);
            }
        };
        if let Err(e) = thread::Builder::new().name("store".to_owned()).spawn(work) {
            // Without the thread the channel is closed, and nothing is ever confirmed.
            eprintln!("store: no thread: {e}");
        }
        sender
    }

    fn store(&mut self, batch: Saves) -> Result<(), state::Error> {
        let compacts = |save: &raft::Save| matches!(save, raft::Save::Snapshot { .. });
        let compact = batch.iter().any(|(_, save)| compacts(save));
        let encode = |(_, save): &(u64, raft::Save)| postcard::to_stdvec(save).unwrap_or_default();
        let records: Vec<_> = batch.iter().map(encode).collect();
        for (_, save) in batch {
            self.mirror.apply(save);
        }
        if compact && let Some((snapshot, records)) = self.mirror.compacted() {
            return self
                .folder
                .compact(&snapshot, records.iter().map(Vec::as_slice));
        }
        self.folder.append(records.iter().map(Vec::as_slice))
    }
}
