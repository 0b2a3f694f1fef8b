//! The thread that owns the data folder. It writes the saves of the settings group, so that a slow
//! disk never blocks the control thread.

use std::{path, thread, time};

use coord::{group, mirror::Mirror, raft};
use dispatch::event::Known;
use error_stack::ResultExt as _;
use link::metric;
use state::{folder, name};

use crate::error;

/// Changes to store, each with the number that confirms it.
pub type Saves = Vec<(u64, raft::Save)>;

/// A write to the data folder.
#[derive(Debug)]
pub enum Write {
    /// Changes of the settings group.
    Saves(Saves),
    /// The known instances and upstreams.
    Known(Known),
}

/// An open data folder and its contents.
#[derive(Debug)]
pub struct Store {
    folder: folder::Folder,
    mirror: Mirror,
    /// Incarnation of the disk.
    pub incarnation: u64,
    /// Bytes of an unfinished write that were truncated from the end of the log.
    pub truncated: u64,
    /// The instances and upstreams that were known last.
    pub known: Known,
    /// Why `known` could not be read, if it could not.
    pub hints_error: Option<String>,
}

impl Store {
    /// Opens the data folder of an instance.
    pub fn open(path: &path::Path, instance: &name::Name, incarnation: u64) -> error::Result<Self> {
        let context = || error::Error::new("open data folder", path.display());
        let (folder, loaded) =
            folder::Folder::open(path, instance, incarnation).change_context_lazy(context)?;
        let mirror = Mirror::load(loaded.snapshot.as_deref(), &loaded.records);
        let mirror = mirror.ok_or_else(|| error_stack::Report::new(context()))?;
        let mut hints_error = loaded.hints_error.map(|error| error.to_string());
        let mut known = Known::default();
        if let Some(hints) = &loaded.hints {
            match postcard::from_bytes(hints) {
                Ok(decoded) => known = decoded,
                Err(e) => hints_error = Some(e.to_string()),
            }
        }
        Ok(Self {
            folder,
            mirror,
            incarnation: loaded.incarnation,
            truncated: loaded.truncated_bytes,
            known,
            hints_error,
        })
    }

    /// Returns the state from which the settings group starts.
    pub fn recovered(&self) -> group::Recovered {
        self.mirror.recovered()
    }

    /// Returns the number of log entries after the snapshot.
    pub fn entry_count(&self) -> usize {
        self.mirror.entry_count()
    }

    /// Starts the store thread; it calls `confirm` with the last number of each stored batch.
    pub fn run(
        mut self,
        log: slog::Logger,
        confirm: impl Fn(u64) + Send + 'static,
    ) -> crossbeam_channel::Sender<Write> {
        let (sender, receiver) = crossbeam_channel::unbounded::<Write>();
        let run = move || {
            while let Ok(first) = receiver.recv() {
                let (batch, known) = merge(std::iter::once(first).chain(receiver.try_iter()));
                if let Some(last) = batch.last().map(|(number, _)| *number) {
                    let start = time::Instant::now();
                    let stored = self.store(batch);
                    metric::record_disk_sync(start.elapsed());
                    if let Err(e) = stored {
                        // After a failed write the contents of the file are unknown, so this
                        // thread must never confirm anything again.
                        slog::crit!(log, "store: Writing failed, this voter stops."; "error" => %e);
                        return;
                    }
                    confirm(last);
                }
                if let Some(known) = known {
                    self.save_known(&known, &log);
                }
            }
        };
        if let Err(e) = thread::Builder::new().name("store".to_owned()).spawn(run) {
            // Without the thread the channel is closed, so nothing is ever confirmed.
            eprintln!("store: cannot start the thread: {e}");
        }
        sender
    }

    /// Saves the known instances and upstreams. Without them a restart only takes longer.
    fn save_known(&self, known: &Known, log: &slog::Logger) {
        let hints = postcard::to_stdvec(known).unwrap_or_default();
        if let Err(e) = self.folder.set_hints(&hints) {
            slog::warn!(log, "store: The known instances and upstreams cannot be saved.";
                "error" => %e);
        }
    }

    fn store(&mut self, batch: Saves) -> Result<(), state::Error> {
        let is_snapshot = |save: &raft::Save| matches!(save, raft::Save::Snapshot { .. });
        let has_snapshot = batch.iter().any(|(_, save)| is_snapshot(save));
        let encode = |(_, save): &(u64, raft::Save)| postcard::to_stdvec(save).unwrap_or_default();
        let records: Vec<_> = batch.iter().map(encode).collect();
        for (_, save) in batch {
            self.mirror.apply(save);
        }
        if has_snapshot && let Some((snapshot, records)) = self.mirror.compacted() {
            return self.folder.compact(&snapshot, records.iter().map(Vec::as_slice));
        }
        self.folder.append(records.iter().map(Vec::as_slice))
    }
}

/// Merges writes into all their saves and the last of the known instances and upstreams.
fn merge(writes: impl Iterator<Item = Write>) -> (Saves, Option<Known>) {
    let (mut saves, mut last) = (Saves::new(), None);
    for write in writes {
        match write {
            Write::Saves(more) => saves.extend(more),
            Write::Known(known) => last = Some(known),
        }
    }
    (saves, last)
}
