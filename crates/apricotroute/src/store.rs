//! The thread that owns the data folder: it stores what the settings group saves, so that a slow
//! disk never holds up the control thread.

use std::{path, thread, time};

use coord::{group, mirror::Mirror, raft};
use error_stack::ResultExt as _;
use link::metric;
use state::{folder, name};

use crate::error;

/// Saved changes with the numbers to report.
pub type Saves = Vec<(u64, raft::Save)>;

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
        let mirror = Mirror::load(loaded.snapshot.as_deref(), &loaded.records);
        let mirror = mirror.ok_or_else(|| error_stack::Report::new(fault()))?;
        Ok(Self { folder, mirror, life: loaded.life, torn: loaded.torn })
    }

    /// What the group starts from.
    pub fn recovered(&self) -> group::Recovered {
        self.mirror.recovered()
    }

    /// Entries of the log that follow the snapshot.
    pub fn entries(&self) -> usize {
        self.mirror.entries()
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
                let began = time::Instant::now();
                let stored = self.store(batch);
                metric::note_sync(began.elapsed());
                if let Err(e) = stored {
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
            return self.folder.compact(&snapshot, records.iter().map(Vec::as_slice));
        }
        self.folder.append(records.iter().map(Vec::as_slice))
    }
}
