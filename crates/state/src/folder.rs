//! The data folder of one instance: identity, lock, snapshot and log.
//!
//! Replacing the log is atomic: a new log file is written first, then the snapshot that names it
//! is renamed into place. A crash between the two leaves the old pair in force.

use std::{fs, io::Write as _, path};

use crate::{error, name, wal};

/// Version of the files' layout.
pub const VERSION: u32 = 1;

const IDENTITY: &str = "identity.json";
const LOCK: &str = "lock";
const SNAPSHOT: &str = "snapshot";
const HINTS: &str = "hints";

#[derive(serde::Serialize, serde::Deserialize)]
struct Identity {
    version: u32,
    instance: name::Name,
    life: u64,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Stored {
    generation: u64,
    state: Vec<u8>,
}

/// An open data folder; no other process can open it meanwhile.
#[derive(Debug)]
pub struct Folder {
    path: path::PathBuf,
    wal: wal::Wal,
    generation: u64,
    _lock: fs::File,
}

/// What a folder held when it was opened.
#[derive(Debug, Default)]
pub struct Loaded {
    /// Incarnation of this disk.
    pub life: u64,
    /// The last snapshot, if one was written.
    pub snapshot: Option<Vec<u8>>,
    /// Records since then.
    pub records: Vec<Vec<u8>>,
    /// Bytes of an unfinished write that were cut.
    pub torn: u64,
    /// The last hints, if there are some.
    pub hints: Option<Vec<u8>>,
    /// Why there are none although some were written.
    pub fault: Option<error::Error>,
}

impl Folder {
    /// Opens the folder of `instance`, creating it with incarnation `life` if it is empty.
    ///
    /// # Errors
    ///
    /// The folder belongs to another instance, another process holds it, a file is damaged, or
    /// the operating system refuses.
    ///
    /// ```
    /// let dir = tempfile::tempdir().unwrap();
    /// let (folder, loaded) = state::folder::Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    /// assert_eq!(loaded.life, 7);
    /// drop(folder);
    /// assert!(state::folder::Folder::open(dir.path(), &"west-2".into(), 8).is_err());
    /// ```
    pub fn open(
        path: &path::Path,
        instance: &name::Name,
        life: u64,
    ) -> Result<(Self, Loaded), error::Error> {
        fs::create_dir_all(path).map_err(|e| error::Error::io("create data folder", e))?;
        let lock = take_lock(path)?;
        let identity = identify(path, instance, life)?;
        let stored = read_snapshot(&path.join(SNAPSHOT))?;
        let generation = stored.as_ref().map_or(0, |stored| stored.generation);
        let (wal, replay) = wal::Wal::open(&log_path(path, generation))?;
        sync_folder(path)?;
        let (hints, fault) = match read_sealed(&path.join(HINTS)) {
            Ok(hints) => (hints, None),
            Err(fault) => (None, Some(fault)),
        };
        let loaded = Loaded {
            life: identity.life,
            snapshot: stored.map(|stored| stored.state),
            records: replay.records,
            torn: replay.torn,
            hints,
            fault,
        };
        Ok((Self { path: path.to_owned(), wal, generation, _lock: lock }, loaded))
    }

    /// Replaces the hints: what helps after a start and may be lost or old.
    ///
    /// # Errors
    ///
    /// The operating system refuses a write; the former hints are still there then.
    ///
    /// ```
    /// # let dir = tempfile::tempdir().unwrap();
    /// # let (folder, _) = state::folder::Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    /// folder.set_hints(b"who was there").unwrap();
    /// ```
    pub fn set_hints(&self, hints: &[u8]) -> Result<(), error::Error> {
        replace(&self.path, HINTS, &sealed(hints))
    }

    /// Appends records to the log and syncs them.
    ///
    /// # Errors
    ///
    /// As [`wal::Wal::append`].
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

    /// Replaces snapshot and log by `state` and `records`.
    ///
    /// # Errors
    ///
    /// The operating system refuses a write; the former pair is then still in force.
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
        let stored = Stored { generation, state: state.to_vec() };
        write_snapshot(&self.path, &stored)?;
        let former = std::mem::replace(&mut self.wal, wal);
        self.generation = generation;
        fs::remove_file(former.path()).map_err(|e| error::Error::io("remove former log", e))
    }
}

fn log_path(folder: &path::Path, generation: u64) -> path::PathBuf {
    folder.join(format!("log-{generation}"))
}

fn take_lock(folder: &path::Path) -> Result<fs::File, error::Error> {
    let io = |e| error::Error::io("lock data folder", e);
    let file = fs::File::create(folder.join(LOCK)).map_err(io)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => {
            let why = format!("another process uses {}", folder.display());
            Err(error::Error::owner("lock data folder", why))
        }
        Err(fs::TryLockError::Error(e)) => Err(io(e)),
    }
}

fn identify(
    folder: &path::Path,
    instance: &name::Name,
    life: u64,
) -> Result<Identity, error::Error> {
    const STEP: &str = "read identity";
    let path = folder.join(IDENTITY);
    let fresh = Identity { version: VERSION, instance: instance.clone(), life };
    if !path.exists() {
        let text = serde_json::to_vec(&fresh).unwrap_or_default();
        replace(folder, IDENTITY, &text)?;
        return Ok(fresh);
    }
    let text = fs::read(&path).map_err(|e| error::Error::io(STEP, e))?;
    let found: Identity = serde_json::from_slice(&text)
        .map_err(|e| error::Error::damage(STEP, &e.to_string(), &path, e.column() as u64))?;
    if found.instance != *instance {
        let why = format!("{} belongs to instance {}", folder.display(), found.instance);
        return Err(error::Error::owner(STEP, why));
    }
    if found.version != VERSION {
        let why = format!("{} has layout version {}", folder.display(), found.version);
        return Err(error::Error::owner(STEP, why));
    }
    Ok(found)
}

fn read_snapshot(path: &path::Path) -> Result<Option<Stored>, error::Error> {
    let Some(payload) = read_sealed(path)? else { return Ok(None) };
    let stored = postcard::from_bytes(&payload)
        .map_err(|e| error::Error::damage("read snapshot", &e.to_string(), path, 0))?;
    Ok(Some(stored))
}

/// Reads a file that begins with the checksum of the rest.
fn read_sealed(path: &path::Path) -> Result<Option<Vec<u8>>, error::Error> {
    const STEP: &str = "read snapshot or hints";
    if !path.exists() {
        return Ok(None);
    }
    let mut bytes = fs::read(path).map_err(|e| error::Error::io(STEP, e))?;
    let damage = |why: &str| error::Error::damage(STEP, why, path, 0);
    let (sum, payload) = bytes.split_at_checked(4).ok_or_else(|| damage("too short"))?;
    if crc32fast::hash(payload).to_le_bytes() != sum {
        return Err(damage("bad checksum"));
    }
    bytes.drain(..4);
    Ok(Some(bytes))
}

/// The content of a file that begins with the checksum of the rest.
fn sealed(payload: &[u8]) -> Vec<u8> {
    let mut bytes = crc32fast::hash(payload).to_le_bytes().to_vec();
    bytes.extend_from_slice(payload);
    bytes
}

fn write_snapshot(folder: &path::Path, stored: &Stored) -> Result<(), error::Error> {
    let payload = postcard::to_stdvec(stored)
        .map_err(|e| error::Error::input("encode snapshot", &e.to_string()))?;
    replace(folder, SNAPSHOT, &sealed(&payload))
}

/// Writes a file so that after a crash either the former or the new content is there.
fn replace(folder: &path::Path, name: &str, bytes: &[u8]) -> Result<(), error::Error> {
    let io = |e| error::Error::io("replace file", e);
    let draft = folder.join(format!("{name}.draft"));
    let mut file = fs::File::create(&draft).map_err(io)?;
    file.write_all(bytes).map_err(io)?;
    file.sync_all().map_err(io)?;
    fs::rename(&draft, folder.join(name)).map_err(io)?;
    sync_folder(folder)
}

fn sync_folder(folder: &path::Path) -> Result<(), error::Error> {
    let open = fs::File::open(folder).and_then(|file| file.sync_all());
    open.map_err(|e| error::Error::io("sync data folder", e))
}
