//! A disk in memory that fails, stops its process or loses power at any operation.
//!
//! A loss of power keeps what was synced. Of each later write, any of its sectors may be missing,
//! and each later change of a name may be kept or lost. A sync that fails has written nothing, and
//! the next sync does not write it either.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    collections, ffi, io, path,
    sync::{Arc, Mutex, MutexGuard},
};

use rand::{RngExt as _, SeedableRng as _, rngs};
use state::disk;

const SECTOR_LEN: u64 = 512;
/// The only folder that exists at first.
pub const ROOT: &str = "/mnt";

/// A handle to a disk, which its copies share.
#[derive(Clone, Debug)]
pub struct Disk(Arc<Mutex<Inner>>);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Node {
    Folder,
    File(usize),
}

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct Content {
    visible: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<Change>,
    /// Changes that a failed sync has not written.
    lost: Vec<Change>,
}

#[derive(Debug)]
struct Inner {
    rng: rngs::SmallRng,
    files: Vec<Content>,
    visible: collections::BTreeMap<path::PathBuf, Node>,
    durable: collections::BTreeMap<path::PathBuf, Node>,
    unsynced: Vec<(path::PathBuf, Option<Node>)>,
    lost: Vec<(path::PathBuf, Option<Node>)>,
    /// Share of the changing operations that fail.
    failures: f64,
    /// Number of operations until the process stops.
    remaining: Option<u32>,
    operations: u64,
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Write(offset, new) => {
                let (start, end) = (*offset as usize, *offset as usize + new.len());
                bytes.resize(bytes.len().max(end), 0);
                bytes[start..end].copy_from_slice(new);
            }
            Self::Length(length) => bytes.resize(*length as usize, 0),
        }
    }

    /// Returns the parts of a write that each lie within one sector.
    fn sectors(&self) -> Vec<Self> {
        let Self::Write(mut offset, bytes) = self.clone() else {
            return vec![self.clone()];
        };
        let (mut rest, mut parts) = (bytes.as_slice(), Vec::new());
        while !rest.is_empty() {
            let room = (SECTOR_LEN - offset % SECTOR_LEN) as usize;
            let (part, after) = rest.split_at(room.min(rest.len()));
            parts.push(Self::Write(offset, part.to_vec()));
            (offset, rest) = (offset + part.len() as u64, after);
        }
        parts
    }
}

impl Content {
    fn change(&mut self, change: Change) {
        change.apply(&mut self.visible);
        self.unsynced.push(change);
    }

    fn sync(&mut self) {
        self.lost.clear();
        for change in self.unsynced.drain(..) {
            change.apply(&mut self.durable);
        }
    }

    fn lose_power(&mut self, rng: &mut rngs::SmallRng) {
        let all_lost = rng.random_bool(0.3);
        for change in std::mem::take(&mut self.unsynced) {
            let kept = if all_lost { 0.0 } else { [0.0, 0.5, 0.9, 1.0][rng.random_range(0..4)] };
            let is_prefix = rng.random_bool(0.3);
            for sector in change.sectors() {
                if rng.random_bool(kept) {
                    sector.apply(&mut self.durable);
                } else if is_prefix {
                    break;
                }
            }
            if let Change::Write(offset, bytes) = change
                && kept > 0.0
                && rng.random_bool(0.5)
            {
                let end = offset as usize + bytes.len();
                self.durable.resize(self.durable.len().max(end), 0);
            }
        }
        self.lost.clear();
        self.visible = self.durable.clone();
    }
}

impl Inner {
    /// Counts an operation; fails if the process has stopped.
    fn step(&mut self) -> io::Result<()> {
        self.operations += 1;
        match &mut self.remaining {
            Some(0) => return Err(io::Error::other("the process has stopped")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(())
    }

    fn fails(&mut self) -> bool {
        let failures = self.failures;
        self.rng.random_bool(failures)
    }

    fn set_name(&mut self, path: &path::Path, node: Option<Node>) {
        set(&mut self.visible, path, node);
        self.unsynced.push((path.to_owned(), node));
    }

    fn is_folder(&self, path: &path::Path) -> bool {
        path == path::Path::new(ROOT) || self.visible.get(path) == Some(&Node::Folder)
    }

    fn check_parent(&self, path: &path::Path) -> io::Result<()> {
        let exists = path.parent().is_some_and(|parent| self.is_folder(parent));
        if exists { Ok(()) } else { Err(io::ErrorKind::NotFound.into()) }
    }
}

fn set(
    names: &mut collections::BTreeMap<path::PathBuf, Node>,
    path: &path::Path,
    node: Option<Node>,
) {
    match node {
        Some(node) => drop(names.insert(path.to_owned(), node)),
        None => drop(names.remove(path)),
    }
}

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl Disk {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            rng: rngs::SmallRng::seed_from_u64(seed),
            files: Vec::new(),
            visible: collections::BTreeMap::new(),
            durable: collections::BTreeMap::new(),
            unsynced: Vec::new(),
            lost: Vec::new(),
            failures: 0.0,
            remaining: None,
            operations: 0,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }

    /// Lets this share of the changing operations fail.
    pub fn set_failures(&self, share: f64) {
        self.lock().failures = share;
    }

    /// Stops the process after this number of operations: all later ones fail without effect.
    pub fn stop_after(&self, operations: u32) {
        self.lock().remaining = Some(operations);
    }

    /// Whether the process has stopped.
    pub fn has_stopped(&self) -> bool {
        self.lock().remaining == Some(0)
    }

    /// Number of operations so far.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Lets another process use the disk. The operating system still holds what was not synced.
    pub fn restart(&self) {
        let mut inner = self.lock();
        (inner.remaining, inner.failures) = (None, 0.0);
        let names = std::mem::take(&mut inner.lost);
        inner.unsynced.splice(0..0, names);
        for content in &mut inner.files {
            let lost = std::mem::take(&mut content.lost);
            content.unsynced.splice(0..0, lost);
        }
    }

    /// Loses power and restarts.
    pub fn lose_power(&self) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        (inner.remaining, inner.failures) = (None, 0.0);
        for content in &mut inner.files {
            content.lose_power(&mut inner.rng);
        }
        inner.lost.clear();
        for (path, node) in std::mem::take(&mut inner.unsynced) {
            if inner.rng.random_bool(0.5) {
                set(&mut inner.durable, &path, node);
            }
        }
        // The names in a folder that was lost are lost with it.
        inner.visible.clear();
        for (path, node) in inner.durable.clone() {
            if inner.check_parent(&path).is_ok() {
                inner.visible.insert(path, node);
            }
        }
        inner.durable = inner.visible.clone();
    }
}

impl disk::Disk for Disk {
    fn create_folder(&self, path: &path::Path) -> io::Result<()> {
        let mut inner = self.lock();
        inner.step()?;
        inner.check_parent(path)?;
        if inner.fails() {
            return Err(full());
        }
        if !inner.is_folder(path) {
            inner.set_name(path, Some(Node::Folder));
        }
        Ok(())
    }

    fn open(&self, path: &path::Path) -> io::Result<Box<dyn disk::File>> {
        let mut inner = self.lock();
        inner.step()?;
        inner.check_parent(path)?;
        let id = match inner.visible.get(path).copied() {
            Some(Node::File(id)) => id,
            Some(Node::Folder) => return Err(io::ErrorKind::IsADirectory.into()),
            None if inner.fails() => return Err(full()),
            None => {
                inner.files.push(Content::default());
                let id = inner.files.len() - 1;
                inner.set_name(path, Some(Node::File(id)));
                id
            }
        };
        Ok(Box::new(File { disk: self.clone(), id }))
    }

    fn read(&self, path: &path::Path) -> io::Result<Option<Vec<u8>>> {
        let mut inner = self.lock();
        inner.step()?;
        match inner.visible.get(path) {
            Some(Node::File(id)) => Ok(Some(inner.files[*id].visible.clone())),
            Some(Node::Folder) => Err(io::ErrorKind::IsADirectory.into()),
            None => Ok(None),
        }
    }

    fn list(&self, path: &path::Path) -> io::Result<Vec<ffi::OsString>> {
        let mut inner = self.lock();
        inner.step()?;
        let names = inner.visible.keys().filter(|name| name.parent() == Some(path));
        Ok(names.filter_map(|name| name.file_name().map(ToOwned::to_owned)).collect())
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        let mut inner = self.lock();
        inner.step()?;
        let fails = inner.fails();
        // An operation that reports an error may have taken effect.
        if fails && inner.rng.random_bool(0.5) {
            return Err(full());
        }
        let node = *inner.visible.get(from).ok_or(io::ErrorKind::NotFound)?;
        inner.set_name(to, Some(node));
        inner.set_name(from, None);
        if fails { Err(full()) } else { Ok(()) }
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        let mut inner = self.lock();
        inner.step()?;
        if inner.fails() {
            return Err(full());
        }
        inner.visible.get(path).ok_or(io::ErrorKind::NotFound)?;
        inner.set_name(path, None);
        Ok(())
    }

    fn sync_folder(&self, path: &path::Path) -> io::Result<()> {
        let mut inner = self.lock();
        inner.step()?;
        let fails = inner.fails();
        let is_inside = |change: &mut (path::PathBuf, _)| change.0.parent() == Some(path);
        let changes: Vec<_> = inner.unsynced.extract_if(.., is_inside).collect();
        if fails {
            inner.lost.extend(changes);
            return Err(full());
        }
        inner.lost.retain(|(name, _)| name.parent() != Some(path));
        for (path, node) in changes {
            set(&mut inner.durable, &path, node);
        }
        Ok(())
    }
}

#[derive(Debug)]
struct File {
    disk: Disk,
    id: usize,
}

impl disk::File for File {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut inner = self.disk.lock();
        inner.step()?;
        Ok(inner.files[self.id].visible.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.disk.lock();
        inner.step()?;
        let fails = inner.fails();
        let mut written = bytes.len();
        if fails {
            // A write that fails ends at the end of a sector.
            let end = offset + inner.rng.random_range(0..=written as u64);
            written = (end - end % SECTOR_LEN).saturating_sub(offset) as usize;
        }
        inner.files[self.id].change(Change::Write(offset, bytes[..written].to_vec()));
        if fails { Err(full()) } else { Ok(()) }
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        let mut inner = self.disk.lock();
        inner.step()?;
        if inner.fails() {
            return Err(full());
        }
        inner.files[self.id].change(Change::Length(length));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inner = self.disk.lock();
        inner.step()?;
        let fails = inner.fails();
        let content = &mut inner.files[self.id];
        if fails {
            let unsynced = std::mem::take(&mut content.unsynced);
            content.lost.extend(unsynced);
            return Err(full());
        }
        content.sync();
        Ok(())
    }

    fn try_lock(&mut self) -> io::Result<bool> {
        Ok(true)
    }
}
