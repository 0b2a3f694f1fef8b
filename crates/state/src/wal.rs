//! A write-ahead log: checksummed records in one file, synced on request.
//!
//! A record is a header of three little-endian 32-bit words (length, checksum of the length,
//! checksum of the payload; CRC-32 as in RFC 1952) and the payload. The length has a checksum of
//! its own, so that a flipped bit in it is told apart from a write that was cut off.

use std::{fs, io, io::Read as _, io::Seek as _, io::Write as _, path};

use crate::error;

const HEADER: usize = 12;
/// Largest payload of one record, in bytes.
pub const MAX_RECORD: usize = 64 << 20;

/// An open log file, positioned at its end.
#[derive(Debug)]
pub struct Wal {
    file: fs::File,
    path: path::PathBuf,
}

/// What a log held when it was opened.
#[derive(Debug, Default)]
pub struct Replay {
    /// Payloads, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
    /// Bytes of an unfinished write that were cut from the end.
    pub torn: u64,
}

impl Wal {
    /// Opens or creates the log at `path`, cuts a torn tail and reads all records.
    ///
    /// # Errors
    ///
    /// The file cannot be read or written, or a record before the last one is damaged; the error
    /// then names the file and the offset.
    ///
    /// ```
    /// let folder = tempfile::tempdir().unwrap();
    /// let path = folder.path().join("log");
    /// let (mut wal, _) = state::wal::Wal::open(&path).unwrap();
    /// wal.append([b"one".as_slice()]).unwrap();
    /// assert_eq!(state::wal::Wal::open(&path).unwrap().1.records, [b"one"]);
    /// ```
    pub fn open(path: &path::Path) -> Result<(Self, Replay), error::Error> {
        let io = |e| error::Error::io("open log", e);
        let mut options = fs::OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(path).map_err(io)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io)?;
        let (replay, end) = scan(&bytes, path)?;
        if replay.torn > 0 {
            file.set_len(end).map_err(io)?;
            file.sync_all().map_err(io)?;
        }
        file.seek(io::SeekFrom::Start(end)).map_err(io)?;
        Ok((Self { file, path: path.to_owned() }, replay))
    }

    /// Appends records and syncs the file; they last once this returns.
    ///
    /// # Errors
    ///
    /// A write or the sync failed. What the file holds is then unknown, and the log must not be
    /// written again.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// # let (mut wal, _) = state::wal::Wal::open(&folder.path().join("log")).unwrap();
    /// assert!(wal.append([b"one".as_slice(), b"two"]).is_ok());
    /// ```
    pub fn append<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), error::Error> {
        let mut buffer = Vec::new();
        for record in records {
            encode(record, &mut buffer);
        }
        let io = |e| error::Error::io("append to log", e);
        self.file.write_all(&buffer).map_err(io)?;
        self.file.sync_data().map_err(io)
    }

    /// The file.
    pub fn path(&self) -> &path::Path {
        &self.path
    }
}

fn encode(record: &[u8], buffer: &mut Vec<u8>) {
    let length = (record.len() as u32).to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(record).to_le_bytes());
    buffer.extend_from_slice(record);
}

fn scan(bytes: &[u8], path: &path::Path) -> Result<(Replay, u64), error::Error> {
    let mut replay = Replay::default();
    let mut at = 0;
    while at < bytes.len() {
        match decode(&bytes[at..]) {
            Step::Record(payload) => {
                replay.records.push(payload.to_vec());
                at += HEADER + payload.len();
            }
            Step::Torn => {
                replay.torn = (bytes.len() - at) as u64;
                break;
            }
            Step::Damaged(why) => {
                return Err(error::Error::damage("read log", why, path, at as u64));
            }
        }
    }
    Ok((replay, at as u64))
}

enum Step<'a> {
    Record(&'a [u8]),
    Torn,
    Damaged(&'static str),
}

fn decode(rest: &[u8]) -> Step<'_> {
    // A file that grew before its data was written reads as zeros.
    if rest.len() < HEADER || rest.iter().all(|byte| *byte == 0) {
        return Step::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    let length = word(0) as usize;
    if crc32fast::hash(&rest[..4]) != word(4) || length > MAX_RECORD {
        return Step::Damaged("bad checksum of a record's length");
    }
    let Some(payload) = rest.get(HEADER..HEADER + length) else {
        return Step::Torn;
    };
    if crc32fast::hash(payload) == word(8) {
        return Step::Record(payload);
    }
    let is_last = rest.len() == HEADER + length;
    if is_last { Step::Torn } else { Step::Damaged("bad checksum of a record") }
}
