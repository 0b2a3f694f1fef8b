//! The thread that owns the data folder. It writes the saves of the settings group, so that a slow
//! disk never blocks the control thread.
//!
//! A failed write is tried again until it succeeds, together with the writes that have arrived in
//! the meantime. Until then nothing is confirmed, so that the other voters commit without this one.

use std::{io, path, thread, time};

use coord::{group, mirror::Mirror, raft};
use dispatch::event::Known;
use error_stack::ResultExt as _;
use link::{metric, vital};
use state::{folder, name};

use crate::error;

/// Interval between two attempts to write to a folder that cannot be written to.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

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

    /// Starts the store thread, a part of `owner`; it calls `confirm` with the last number of each
    /// stored batch.
    pub fn run(
        self,
        owner: &vital::Owner,
        log: slog::Logger,
        confirm: impl Fn(u64) + Send + 'static,
    ) -> io::Result<crossbeam_channel::Sender<Write>> {
        let (sender, receiver) = crossbeam_channel::unbounded::<Write>();
        let writer = Writer { store: self, batch: Batch::default(), failing: None, log };
        owner.spawn("store", move || writer.run(&receiver, confirm))?;
        Ok(sender)
    }

    /// Writes the records of a batch.
    fn write(&mut self, batch: &Batch) -> Result<(), state::Error> {
        if batch.compacts
            && let Some((snapshot, records)) = self.mirror.compacted()
        {
            return self.folder.compact(&snapshot, records.iter().map(Vec::as_slice));
        }
        self.folder.append(batch.records.iter().map(Vec::as_slice))
    }
}

/// Writes that have not been stored yet.
#[derive(Debug, Default)]
struct Batch {
    records: Vec<Vec<u8>>,
    /// Whether the mirror, which contains all records, is written instead of the records.
    compacts: bool,
    /// Number that confirms the last save.
    last: Option<u64>,
    known: Option<Known>,
}

impl Batch {
    /// Adds a write and applies its saves to the mirror.
    fn add(&mut self, write: Write, mirror: &mut Mirror) {
        match write {
            Write::Saves(saves) => {
                for (number, save) in saves {
                    self.last = Some(number);
                    self.add_save(save, mirror);
                }
            }
            Write::Known(known) => self.known = Some(known),
        }
    }

    fn add_save(&mut self, save: raft::Save, mirror: &mut Mirror) {
        let record = postcard::to_stdvec(&save).unwrap_or_default();
        let is_snapshot = matches!(save, raft::Save::Snapshot { .. });
        let is_restart = matches!(save, raft::Save::Formed(..) | raft::Save::Reset);
        mirror.apply(save);
        if is_restart {
            // The saves before this one have no effect any more.
            self.records.clear();
            self.compacts = false;
        } else if is_snapshot {
            self.compacts |= mirror.compacted().is_some();
        }
        if self.compacts {
            self.records.clear();
        } else {
            self.records.push(record);
        }
    }
}

/// The store thread.
#[derive(Debug)]
struct Writer {
    store: Store,
    batch: Batch,
    /// Since when writing has failed.
    failing: Option<time::Instant>,
    log: slog::Logger,
}

impl Writer {
    fn run(mut self, receiver: &crossbeam_channel::Receiver<Write>, confirm: impl Fn(u64)) {
        metric::record_store_failure(time::Duration::ZERO);
        while let Ok(first) = receiver.recv() {
            self.add(std::iter::once(first).chain(receiver.try_iter()));
            while !self.store_saves(&confirm) {
                thread::sleep(RETRY_INTERVAL);
                self.add(receiver.try_iter());
            }
            if let Some(known) = self.batch.known.take() {
                self.save_known(&known);
            }
        }
    }

    fn add(&mut self, writes: impl Iterator<Item = Write>) {
        for write in writes {
            self.batch.add(write, &mut self.store.mirror);
        }
    }

    /// Stores and confirms the saves of the batch; returns `false` if they could not be stored.
    fn store_saves(&mut self, confirm: impl Fn(u64)) -> bool {
        let Some(last) = self.batch.last else {
            return true;
        };
        let start = time::Instant::now();
        let stored = self.store.write(&self.batch);
        metric::record_disk_sync(start.elapsed());
        match stored {
            Ok(()) => {
                let known = self.batch.known.take();
                self.batch = Batch { known, ..Batch::default() };
                self.report_success();
                confirm(last);
                true
            }
            Err(e) => {
                self.report_failure(start, &e);
                false
            }
        }
    }

    fn report_failure(&mut self, start: time::Instant, error: &state::Error) {
        if self.failing.is_none() {
            slog::error!(self.log, "store: Writing fails, this voter confirms nothing.";
                "error" => %error);
        }
        let since = *self.failing.get_or_insert(start);
        metric::record_store_failure(since.elapsed());
    }

    fn report_success(&mut self) {
        if let Some(since) = self.failing.take() {
            let ms = since.elapsed().as_millis() as u64;
            slog::info!(self.log, "store: Writing works again."; "ms" => ms);
            metric::record_store_failure(time::Duration::ZERO);
        }
    }

    /// Saves the known instances and upstreams. Without them a restart only takes longer.
    fn save_known(&self, known: &Known) {
        let hints = postcard::to_stdvec(known).unwrap_or_default();
        if let Err(e) = self.store.folder.set_hints(&hints) {
            slog::warn!(self.log, "store: The known instances and upstreams cannot be saved.";
                "error" => %e);
        }
    }
}
