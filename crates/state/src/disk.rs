//! The file operations of a data folder. Each of them fails if the operating system reports an
//! error.
#![expect(clippy::missing_errors_doc, reason = "the errors of all operations are alike")]

use std::{ffi, fmt, fs, io, io::Read as _, io::Seek as _, io::Write as _, path};

/// A file system.
pub trait Disk: fmt::Debug + Send + Sync {
    /// Creates a folder unless it exists. Its parent must exist.
    fn create_folder(&self, path: &path::Path) -> io::Result<()>;

    /// Opens a file for reading and writing, and creates it if it does not exist.
    fn open(&self, path: &path::Path) -> io::Result<Box<dyn File>>;

    /// Returns the contents of a file; `None` if it does not exist.
    fn read(&self, path: &path::Path) -> io::Result<Option<Vec<u8>>>;

    /// Returns the names in a folder.
    fn list(&self, path: &path::Path) -> io::Result<Vec<ffi::OsString>>;

    /// Gives a file another name in the same folder and replaces a file of that name.
    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &path::Path) -> io::Result<()>;

    /// Makes the names in a folder durable.
    fn sync_folder(&self, path: &path::Path) -> io::Result<()>;
}

/// An open file.
pub trait File: fmt::Debug + Send {
    /// Returns the whole contents.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Writes all bytes at an offset in bytes.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes, or extends it with zeros.
    fn set_len(&mut self, length: u64) -> io::Result<()>;

    /// Makes the contents durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Locks the file until it is closed; returns `false` if another process has locked it.
    fn try_lock(&mut self) -> io::Result<bool>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Disk for Native {
    fn create_folder(&self, path: &path::Path) -> io::Result<()> {
        match fs::create_dir(path) {
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => Ok(()),
            result => result,
        }
    }

    fn open(&self, path: &path::Path) -> io::Result<Box<dyn File>> {
        let mut options = fs::OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        Ok(Box::new(options.open(path)?))
    }

    fn read(&self, path: &path::Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn list(&self, path: &path::Path) -> io::Result<Vec<ffi::OsString>> {
        fs::read_dir(path)?.map(|entry| entry.map(|entry| entry.file_name())).collect()
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &path::Path) -> io::Result<()> {
        fs::File::open(path)?.sync_all()
    }
}

impl File for fs::File {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.seek(io::SeekFrom::Start(0))?;
        self.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(io::SeekFrom::Start(offset))?;
        self.write_all(bytes)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        Self::set_len(self, length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }

    fn try_lock(&mut self) -> io::Result<bool> {
        match Self::try_lock(self) {
            Ok(()) => Ok(true),
            Err(fs::TryLockError::WouldBlock) => Ok(false),
            Err(fs::TryLockError::Error(e)) => Err(e),
        }
    }
}
