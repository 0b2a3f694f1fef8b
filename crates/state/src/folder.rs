//! The data folder of one instance: identity, lock, snapshot and write-ahead log.
//!
//! Compaction is atomic: it writes a new log file first, then renames the snapshot that refers to
//! that log into place. After a crash between the two steps, the old snapshot and log are used.

use std::{ffi, io, path, sync};

use crate::{disk, error, name, wal};

/// Version of the on-disk format.
pub const VERSION: u32 = 1;

const IDENTITY: &str = "identity.json";
const LOCK: &str = "lock";
const SNAPSHOT: &str = "snapshot";
const HINTS: &str = "hints";
const LOG_PREFIX: &str = "log-";

#[derive(serde::Serialize, serde::Deserialize)]
struct Identity {
    version: u32,
    instance: name::Name,
    #[serde(rename = "life")]
    incarnation: u64,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Snapshot {
    generation: u64,
    state: Vec<u8>,
}

/// An open data folder. Its lock file keeps other processes from opening it.
#[derive(Debug)]
pub struct Folder {
    disk: sync::Arc<dyn disk::Disk>,
    path: path::PathBuf,
    wal: wal::Wal,
    /// Generation of the snapshot and the log in use.
    generation: u64,
    /// Highest generation of which a log may exist.
    last_generation: u64,
    /// A compaction of which it is unknown whether its snapshot is in place.
    unsettled: Option<Compacted>,
    _lock: Box<dyn disk::File>,
}

/// The new log of a compaction, and the generation of the snapshot that refers to it.
#[derive(Debug)]
struct Compacted {
    generation: u64,
    wal: wal::Wal,
}

/// Contents of a data folder when it was opened.
#[derive(Debug, Default)]
pub struct Loaded {
    /// Incarnation number stored in the folder.
    pub incarnation: u64,
    /// The last snapshot, if one was written.
    pub snapshot: Option<Vec<u8>>,
    /// Log records written after the snapshot.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of an incomplete write that were truncated from the log.
    pub truncated_bytes: u64,
    /// The last hints, if the folder has valid ones.
    pub hints: Option<Vec<u8>>,
    /// Error on reading the hints file, if it exists but cannot be read.
    pub hints_error: Option<error::Error>,
}

impl Folder {
    /// Opens the data folder of `instance`. A folder without an identity is initialized with
    /// incarnation number `incarnation`.
    ///
    /// # Errors
    ///
    /// Fails if the folder belongs to another instance or has another format version, another
    /// process has locked it, a file is corrupt, or the operating system reports an error.
    ///
    /// ```
    /// let dir = tempfile::tempdir().unwrap();
    /// let (folder, loaded) = state::folder::Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    /// assert_eq!(loaded.incarnation, 7);
    /// drop(folder);
    /// assert!(state::folder::Folder::open(dir.path(), &"west-2".into(), 8).is_err());
    /// ```
    pub fn open(
        path: &path::Path,
        instance: &name::Name,
        incarnation: u64,
    ) -> Result<(Self, Loaded), error::Error> {
        Self::open_on(sync::Arc::new(disk::Native), path, instance, incarnation)
    }

    /// Opens a data folder on a disk, as [`Self::open`] does.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::open`] does.
    pub fn open_on(
        disk: sync::Arc<dyn disk::Disk>,
        path: &path::Path,
        instance: &name::Name,
        incarnation: u64,
    ) -> Result<(Self, Loaded), error::Error> {
        create_folder(&*disk, path)?;
        let files = Files { disk: &*disk, path };
        let lock = files.acquire_lock()?;
        let identity = files.load_identity(instance, incarnation)?;
        let snapshot = files.read_snapshot()?;
        let generation = snapshot.as_ref().map_or(0, |snapshot| snapshot.generation);
        let last_generation = files.last_generation(generation)?;
        let (wal, replay) = wal::Wal::open_on(&*disk, &files.log_path(generation))?;
        files.sync()?;
        let (hints, hints_error) = match files.read_checksummed(HINTS) {
            Ok(hints) => (hints, None),
            Err(e) => (None, Some(e)),
        };
        let loaded = Loaded {
            incarnation: identity.incarnation,
            snapshot: snapshot.map(|snapshot| snapshot.state),
            records: replay.records,
            truncated_bytes: replay.truncated_bytes,
            hints,
            hints_error,
        };
        let (path, unsettled) = (path.to_owned(), None);
        let folder = Self { disk, path, wal, generation, last_generation, unsettled, _lock: lock };
        Ok((folder, loaded))
    }

    fn files(&self) -> Files<'_> {
        Files { disk: &*self.disk, path: &self.path }
    }

    /// Replaces the hints. Hints are optional data that helps after a start; they may be lost or
    /// outdated.
    ///
    /// # Errors
    ///
    /// Fails if the operating system reports an error on a write. The previous hints are then still
    /// in place.
    ///
    /// ```
    /// # let dir = tempfile::tempdir().unwrap();
    /// # let (folder, _) = state::folder::Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    /// folder.set_hints(b"known peers").unwrap();
    /// ```
    pub fn set_hints(&self, hints: &[u8]) -> Result<(), error::Error> {
        self.files().replace(HINTS, &add_checksum(hints))
    }

    /// Appends records to the log and syncs the log file.
    ///
    /// # Errors
    ///
    /// Fails as [`wal::Wal::append`] does, or if a failed compaction cannot be settled. The
    /// records are then not stored; the caller may try again.
    ///
    /// ```
    /// # let dir = tempfile::tempdir().unwrap();
    /// # let (mut folder, _) = state::folder::Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    /// folder.append([b"record".as_slice()]).unwrap();
    /// ```
    pub fn append<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), error::Error> {
        self.settle()?;
        self.wal.append(records)
    }

    /// Replaces the snapshot with `state` and the log with `records`.
    ///
    /// # Errors
    ///
    /// Fails if the operating system reports an error on a write. Either the previous or the new
    /// snapshot and log are then in use; the caller may try again.
    ///
    /// ```
    /// # let dir = tempfile::tempdir().unwrap();
    /// # let (mut folder, _) = state::folder::Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    /// folder.compact(b"state", [b"record".as_slice()]).unwrap();
    /// ```
    pub fn compact<'a>(
        &mut self,
        state: &[u8],
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), error::Error> {
        self.settle()?;
        // A failed attempt may have left a log that takes up the room that this one needs.
        self.remove_stale_logs()?;
        self.last_generation += 1;
        let generation = self.last_generation;
        let wal = wal::Wal::create(&*self.disk, &self.files().log_path(generation), records)?;
        self.files().sync()?;
        let snapshot = Snapshot { generation, state: state.to_vec() };
        self.unsettled = Some(Compacted { generation, wal });
        self.files().write_snapshot(&snapshot)?;
        self.adopt();
        // A log that cannot be removed is tried again by the next compaction, which then fails.
        drop(self.remove_stale_logs());
        Ok(())
    }

    /// Finds out which snapshot a failed compaction has left in place and makes it durable. The
    /// snapshot is written again, because a second sync of the folder may succeed without having
    /// written the new name.
    fn settle(&mut self) -> Result<(), error::Error> {
        let Some(compacted) = &self.unsettled else {
            return Ok(());
        };
        match self.files().read_snapshot()? {
            Some(snapshot) if snapshot.generation == compacted.generation => {
                self.files().write_snapshot(&snapshot)?;
                self.adopt();
            }
            _ => self.unsettled = None,
        }
        Ok(())
    }

    /// Uses the log of the last compaction from now on.
    fn adopt(&mut self) {
        if let Some(Compacted { generation, wal }) = self.unsettled.take() {
            (self.generation, self.wal) = (generation, wal);
        }
    }

    fn remove_stale_logs(&self) -> Result<(), error::Error> {
        let files = self.files();
        for generation in files.log_generations()? {
            if generation != self.generation {
                let removed = self.disk.remove(&files.log_path(generation));
                removed.map_err(|e| error::Error::io("remove stale log", e))?;
            }
        }
        Ok(())
    }
}

/// Creates a folder and its missing ancestors.
fn create_folder(disk: &dyn disk::Disk, path: &path::Path) -> Result<(), error::Error> {
    let io = |e| error::Error::io("create data folder", e);
    match (disk.create_folder(path), path.parent()) {
        (Err(e), Some(parent)) if e.kind() == io::ErrorKind::NotFound => {
            create_folder(disk, parent)?;
            disk.create_folder(path).map_err(io)
        }
        (result, _) => result.map_err(io),
    }
}

/// Makes the name of a folder and of its ancestors durable.
fn sync_ancestors(disk: &dyn disk::Disk, path: &path::Path) -> Result<(), error::Error> {
    for folder in path.ancestors().skip(1) {
        let current = path::Path::new(".");
        let folder = if folder.as_os_str().is_empty() { current } else { folder };
        match disk.sync_folder(folder) {
            // This process has not created the names in a folder that it may not read or write, and
            // some file systems do not sync folders.
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::PermissionDenied
                        | io::ErrorKind::ReadOnlyFilesystem
                        | io::ErrorKind::InvalidInput
                        | io::ErrorKind::Unsupported
                ) => {}
            result => result.map_err(|e| error::Error::io("sync parent of data folder", e))?,
        }
    }
    Ok(())
}

/// The files of a data folder.
#[derive(Clone, Copy)]
struct Files<'a> {
    disk: &'a dyn disk::Disk,
    path: &'a path::Path,
}

impl Files<'_> {
    fn log_path(self, generation: u64) -> path::PathBuf {
        self.path.join(format!("{LOG_PREFIX}{generation}"))
    }

    /// Returns the generations of all logs.
    fn log_generations(self) -> Result<Vec<u64>, error::Error> {
        let names = self.disk.list(self.path).map_err(|e| error::Error::io("list logs", e))?;
        let generation = |name: &ffi::OsString| {
            name.to_str().and_then(|name| name.strip_prefix(LOG_PREFIX)?.parse().ok())
        };
        Ok(names.iter().filter_map(generation).collect())
    }

    /// Returns the highest generation of a log; fails if logs exist, but not the one of the snapshot.
    fn last_generation(self, current: u64) -> Result<u64, error::Error> {
        let generations = self.log_generations()?;
        let is_new = current == 0 && generations.is_empty();
        if !is_new && !generations.contains(&current) {
            let (reason, path) = ("the log of the snapshot is missing", self.log_path(current));
            return Err(error::Error::corrupt("open log", reason, &path, 0));
        }
        Ok(generations.into_iter().fold(current, u64::max))
    }

    fn acquire_lock(self) -> Result<Box<dyn disk::File>, error::Error> {
        const STEP: &str = "lock data folder";
        let io = |e| error::Error::io(STEP, e);
        let mut file = self.disk.open(&self.path.join(LOCK)).map_err(io)?;
        if file.try_lock().map_err(io)? {
            return Ok(file);
        }
        let reason = format!("another process uses {}", self.path.display());
        Err(error::Error::owner(STEP, reason))
    }

    fn load_identity(
        self,
        instance: &name::Name,
        incarnation: u64,
    ) -> Result<Identity, error::Error> {
        const STEP: &str = "read identity";
        let path = self.path.join(IDENTITY);
        let text = self.disk.read(&path).map_err(|e| error::Error::io(STEP, e))?;
        let Some(text) = text else {
            sync_ancestors(self.disk, self.path)?;
            let fresh = Identity { version: VERSION, instance: instance.clone(), incarnation };
            self.replace(IDENTITY, &serde_json::to_vec(&fresh).unwrap_or_default())?;
            return Ok(fresh);
        };
        let found: Identity = serde_json::from_slice(&text)
            .map_err(|e| error::Error::corrupt(STEP, &e.to_string(), &path, e.column() as u64))?;
        if found.instance != *instance {
            let reason = format!("{} belongs to instance {}", self.path.display(), found.instance);
            return Err(error::Error::owner(STEP, reason));
        }
        if found.version != VERSION {
            let reason = format!("{} has format version {}", self.path.display(), found.version);
            return Err(error::Error::owner(STEP, reason));
        }
        Ok(found)
    }

    fn read_snapshot(self) -> Result<Option<Snapshot>, error::Error> {
        let Some(payload) = self.read_checksummed(SNAPSHOT)? else {
            return Ok(None);
        };
        let snapshot = postcard::from_bytes(&payload).map_err(|e| {
            let path = self.path.join(SNAPSHOT);
            error::Error::corrupt("read snapshot", &e.to_string(), &path, 0)
        })?;
        Ok(Some(snapshot))
    }

    /// Reads a file that starts with the checksum of its payload and returns the payload.
    fn read_checksummed(self, name: &str) -> Result<Option<Vec<u8>>, error::Error> {
        const STEP: &str = "read snapshot or hints";
        let path = self.path.join(name);
        let bytes = self.disk.read(&path).map_err(|e| error::Error::io(STEP, e))?;
        let Some(mut bytes) = bytes else {
            return Ok(None);
        };
        let corrupt = |reason: &str| error::Error::corrupt(STEP, reason, &path, 0);
        let (sum, payload) = bytes
            .split_at_checked(4)
            .ok_or_else(|| corrupt("the file is shorter than its checksum"))?;
        if crc32fast::hash(payload).to_le_bytes() != sum {
            return Err(corrupt("bad checksum"));
        }
        bytes.drain(..4);
        Ok(Some(bytes))
    }

    fn write_snapshot(self, snapshot: &Snapshot) -> Result<(), error::Error> {
        let payload = postcard::to_stdvec(snapshot)
            .map_err(|e| error::Error::input("encode snapshot", &e.to_string()))?;
        self.replace(SNAPSHOT, &add_checksum(&payload))
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    fn replace(self, name: &str, bytes: &[u8]) -> Result<(), error::Error> {
        let io = |e| error::Error::io("replace file", e);
        let draft = self.path.join(format!("{name}.draft"));
        let mut file = self.disk.open(&draft).map_err(io)?;
        file.set_len(0).map_err(io)?;
        file.write_at(0, bytes).map_err(io)?;
        file.sync().map_err(io)?;
        self.disk.rename(&draft, &self.path.join(name)).map_err(io)?;
        self.sync()
    }

    fn sync(self) -> Result<(), error::Error> {
        let synced = self.disk.sync_folder(self.path);
        synced.map_err(|e| error::Error::io("sync data folder", e))
    }
}

/// Returns the payload with its checksum in front.
fn add_checksum(payload: &[u8]) -> Vec<u8> {
    let mut bytes = crc32fast::hash(payload).to_le_bytes().to_vec();
    bytes.extend_from_slice(payload);
    bytes
}
