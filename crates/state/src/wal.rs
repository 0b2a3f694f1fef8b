//! A write-ahead log: checksummed records in one file, synced after each append.
//!
//! A record consists of a header of three little-endian 32-bit words (length, checksum of the
//! length, checksum of the payload; CRC-32 as in RFC 1952) and the payload. The length has its own
//! checksum, so that a bit flip in it is distinguished from an incomplete write.

use std::{fs, io, io::Read as _, io::Seek as _, io::Write as _, path};

use crate::error;

const HEADER_LEN: usize = 12;
/// Maximum size of the payload of a record, in bytes.
pub const MAX_RECORD_LEN: usize = 64 << 20;

/// An open log file, positioned at its end.
#[derive(Debug)]
pub struct Wal {
    file: fs::File,
    path: path::PathBuf,
}

/// Contents of a log when it was opened.
#[derive(Debug, Default)]
pub struct Replay {
    /// Payloads of the records, in the order of their writes.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of an incomplete write that were truncated from the end.
    pub truncated_bytes: u64,
}

impl Wal {
    /// Opens or creates the log at `path`, truncates an incomplete write at its end and reads all
    /// records.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or written, or if a record before the last one or the
    /// length of any record is corrupt. In the case of corruption, the error has the file and the
    /// offset.
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
        if replay.truncated_bytes > 0 {
            file.set_len(end).map_err(io)?;
            file.sync_all().map_err(io)?;
        }
        file.seek(io::SeekFrom::Start(end)).map_err(io)?;
        Ok((Self { file, path: path.to_owned() }, replay))
    }

    /// Appends records and syncs the file. The records are durable once this returns.
    ///
    /// # Errors
    ///
    /// Fails if a write or the sync fails. The contents of the file are then unknown, and the
    /// caller must not write to the log again.
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

    /// Returns the path of the log file.
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
    let mut offset = 0;
    while offset < bytes.len() {
        match decode(&bytes[offset..]) {
            Decoded::Record(payload) => {
                replay.records.push(payload.to_vec());
                offset += HEADER_LEN + payload.len();
            }
            Decoded::Torn => {
                replay.truncated_bytes = (bytes.len() - offset) as u64;
                break;
            }
            Decoded::Corrupt(reason) => {
                return Err(error::Error::corrupt("read log", reason, path, offset as u64));
            }
        }
    }
    Ok((replay, offset as u64))
}

/// Result of decoding one record.
enum Decoded<'a> {
    /// The payload of a valid record.
    Record(&'a [u8]),
    /// An incomplete write at the end of the log.
    Torn,
    /// A corrupt record, with the reason.
    Corrupt(&'static str),
}

fn decode(rest: &[u8]) -> Decoded<'_> {
    // The file reads as zeros if its size was extended before its data was written.
    if rest.len() < HEADER_LEN || rest.iter().all(|byte| *byte == 0) {
        return Decoded::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    let length = word(0) as usize;
    if crc32fast::hash(&rest[..4]) != word(4) || length > MAX_RECORD_LEN {
        return Decoded::Corrupt("bad checksum of a record's length");
    }
    let Some(payload) = rest.get(HEADER_LEN..HEADER_LEN + length) else {
        return Decoded::Torn;
    };
    if crc32fast::hash(payload) == word(8) {
        return Decoded::Record(payload);
    }
    let is_last = rest.len() == HEADER_LEN + length;
    if is_last { Decoded::Torn } else { Decoded::Corrupt("bad checksum of a record") }
}
