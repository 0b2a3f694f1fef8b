//! The data folder of one instance: identity, lock, snapshot and write-ahead log.
//!
//! Compaction is atomic: it writes a new log file first, then renames the snapshot that refers to
//! that log into place. After a crash between the two steps, the old snapshot and log are used.

use std::{fs, io::Write as _, path};

use crate::{error, name, wal};

/// Version of the on-disk format.
pub const VERSION: u32 = 1;

const IDENTITY: &str = "identity.json";
const LOCK: &str = "lock";
const SNAPSHOT: &str = "snapshot";
const HINTS: &str = "hints";

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
    path: path::PathBuf,
    wal: wal::Wal,
    generation: u64,
    _lock: fs::File,
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
        fs::create_dir_all(path).map_err(|e| error::Error::io("create data folder", e))?;
        let lock = acquire_lock(path)?;
        let identity = load_identity(path, instance, incarnation)?;
        let snapshot = read_snapshot(&path.join(SNAPSHOT))?;
        let generation = snapshot.as_ref().map_or(0, |snapshot| snapshot.generation);
        let (wal, replay) = wal::Wal::open(&log_path(path, generation))?;
        sync_folder(path)?;
        let (hints, hints_error) = match read_checksummed(&path.join(HINTS)) {
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
        Ok((Self { path: path.to_owned(), wal, generation, _lock: lock }, loaded))
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
        write_atomic(&self.path, HINTS, &add_checksum(hints))
    }

    /// Appends records to the log and syncs the log file.
    ///
    /// # Errors
    ///
    /// Fails as [`wal::Wal::append`] does.
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
        self.wal.append(records)
    }

    /// Replaces the snapshot with `state` and the log with `records`.
    ///
    /// # Errors
    ///
    /// Fails if the operating system reports an error on a write. The previous snapshot and log are
    /// then still in use.
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
        let generation = self.generation + 1;
        let next = log_path(&self.path, generation);
        if next.exists() {
            fs::remove_file(&next).map_err(|e| error::Error::io("remove stale log", e))?;
        }
        let (mut wal, _) = wal::Wal::open(&next)?;
        wal.append(records)?;
        let snapshot = Snapshot { generation, state: state.to_vec() };
        write_snapshot(&self.path, &snapshot)?;
        let previous = std::mem::replace(&mut self.wal, wal);
        self.generation = generation;
        fs::remove_file(previous.path()).map_err(|e| error::Error::io("remove previous log", e))
    }
}

fn log_path(folder: &path::Path, generation: u64) -> path::PathBuf {
    folder.join(format!("log-{generation}"))
}

fn acquire_lock(folder: &path::Path) -> Result<fs::File, error::Error> {
    let io = |e| error::Error::io("lock data folder", e);
    let file = fs::File::create(folder.join(LOCK)).map_err(io)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => {
            let reason = format!("another process uses {}", folder.display());
            Err(error::Error::owner("lock data folder", reason))
        }
        Err(fs::TryLockError::Error(e)) => Err(io(e)),
    }
}

fn load_identity(
    folder: &path::Path,
    instance: &name::Name,
    incarnation: u64,
) -> Result<Identity, error::Error> {
    const STEP: &str = "read identity";
    let path = folder.join(IDENTITY);
    let fresh = Identity { version: VERSION, instance: instance.clone(), incarnation };
    if !path.exists() {
        let text = serde_json::to_vec(&fresh).unwrap_or_default();
        write_atomic(folder, IDENTITY, &text)?;
        return Ok(fresh);
    }
    let text = fs::read(&path).map_err(|e| error::Error::io(STEP, e))?;
    let found: Identity = serde_json::from_slice(&text)
        .map_err(|e| error::Error::corrupt(STEP, &e.to_string(), &path, e.column() as u64))?;
    if found.instance != *instance {
        let reason = format!("{} belongs to instance {}", folder.display(), found.instance);
        return Err(error::Error::owner(STEP, reason));
    }
    if found.version != VERSION {
        let reason = format!("{} has format version {}", folder.display(), found.version);
        return Err(error::Error::owner(STEP, reason));
    }
    Ok(found)
}

fn read_snapshot(path: &path::Path) -> Result<Option<Snapshot>, error::Error> {
    let Some(payload) = read_checksummed(path)? else { return Ok(None) };
    let snapshot = postcard::from_bytes(&payload)
        .map_err(|e| error::Error::corrupt("read snapshot", &e.to_string(), path, 0))?;
    Ok(Some(snapshot))
}

/// Reads a file that starts with the checksum of its payload and returns the payload.
fn read_checksummed(path: &path::Path) -> Result<Option<Vec<u8>>, error::Error> {
    const STEP: &str = "read snapshot or hints";
    if !path.exists() {
        return Ok(None);
    }
    let mut bytes = fs::read(path).map_err(|e| error::Error::io(STEP, e))?;
    let corrupt = |reason: &str| error::Error::corrupt(STEP, reason, path, 0);
    let (sum, payload) = bytes
        .split_at_checked(4)
        .ok_or_else(|| corrupt("the file is shorter than its checksum"))?;
    if crc32fast::hash(payload).to_le_bytes() != sum {
        return Err(corrupt("bad checksum"));
    }
    bytes.drain(..4);
    Ok(Some(bytes))
}

/// Returns the payload with its checksum in front.
fn add_checksum(payload: &[u8]) -> Vec<u8> {
    let mut bytes = crc32fast::hash(payload).to_le_bytes().to_vec();
    bytes.extend_from_slice(payload);
    bytes
}

fn write_snapshot(folder: &path::Path, snapshot: &Snapshot) -> Result<(), error::Error> {
    let payload = postcard::to_stdvec(snapshot)
        .map_err(|e| error::Error::input("encode snapshot", &e.to_string()))?;
    write_atomic(folder, SNAPSHOT, &add_checksum(&payload))
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
fn write_atomic(folder: &path::Path, name: &str, bytes: &[u8]) -> Result<(), error::Error> {
    let io = |e| error::Error::io("replace file", e);
    let temp = folder.join(format!("{name}.draft"));
    let mut file = fs::File::create(&temp).map_err(io)?;
    file.write_all(bytes).map_err(io)?;
    file.sync_all().map_err(io)?;
    fs::rename(&temp, folder.join(name)).map_err(io)?;
    sync_folder(folder)
}

fn sync_folder(folder: &path::Path) -> Result<(), error::Error> {
    let synced = fs::File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|e| error::Error::io("sync data folder", e))
}
