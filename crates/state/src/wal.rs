//! A write-ahead log: checksummed records in one file, synced after each append.
//!
//! A record consists of a header of three little-endian 32-bit words (length, checksum of the
//! length, checksum of the payload; CRC-32 as in RFC 1952) and the payload. The length has its own
//! checksum, so that a bit flip in it is distinguished from an incomplete write.
//!
//! A loss of power may keep any sectors of a write that was not synced; the others read as zeros or
//! lie beyond the end of the file. Several records are therefore written with zeros in place of the
//! first header, which is written once the rest is durable: until then the log ends before them. A
//! single record is written at once, because it is the last one until it is durable.

use std::path;

use crate::{disk, error};

const HEADER_LEN: usize = 12;
/// Size of the part of a header that states the length of the payload, with its checksum.
const LENGTH_LEN: usize = 8;
/// Number of bytes that a disk writes entirely or not at all, at offsets that are multiples of it.
const SECTOR_LEN: u64 = 512;
/// Maximum size of the payload of a record, in bytes.
pub const MAX_RECORD_LEN: usize = 64 << 20;

/// An open log file.
#[derive(Debug)]
pub struct Wal {
    file: Box<dyn disk::File>,
    /// Length of the records that are durable, in bytes.
    synced: u64,
    /// Whether the file may have bytes after the durable records, because an append has failed.
    has_remains: bool,
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
        Self::open_on(&disk::Native, path)
    }

    /// Opens the log at `path` on a disk, as [`Self::open`] does.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::open`] does.
    pub fn open_on(
        disk: &dyn disk::Disk,
        path: &path::Path,
    ) -> Result<(Self, Replay), error::Error> {
        let io = |e| error::Error::io("open log", e);
        let mut file = disk.open(path).map_err(io)?;
        let bytes = file.read().map_err(io)?;
        let (replay, end) = scan(&bytes, path)?;
        if replay.truncated_bytes > 0 {
            file.set_len(end).map_err(io)?;
        }
        // The last process may have ended between a write and its sync.
        file.sync().map_err(io)?;
        Ok((Self { file, synced: end, has_remains: false }, replay))
    }

    /// Creates the log at `path` with these records and syncs it. The caller must sync its folder.
    ///
    /// # Errors
    ///
    /// Fails if the operating system reports an error on a write or a sync. The file may then
    /// exist, and the caller must not use it.
    pub fn create<'a>(
        disk: &dyn disk::Disk,
        path: &path::Path,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<Self, error::Error> {
        let io = |e| error::Error::io("create log", e);
        let mut file = disk.open(path).map_err(io)?;
        file.set_len(0).map_err(io)?;
        let buffer = encode_all(records);
        file.write_at(0, &buffer).map_err(io)?;
        file.sync().map_err(io)?;
        Ok(Self { file, synced: buffer.len() as u64, has_remains: false })
    }

    /// Appends records and syncs the file. The records are durable once this returns.
    ///
    /// # Errors
    ///
    /// Fails if a write or the sync fails. The log then holds the records before them, and what
    /// this append has left in the file is removed before the next one.
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
        self.remove_remains()?;
        let start = self.synced;
        let appended = self.append_all(records);
        if appended.is_err() {
            self.synced = start;
        }
        self.has_remains = appended.is_err();
        appended
    }

    fn append_all<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), error::Error> {
        let mut records = records.into_iter().peekable();
        while let Some(first) = records.next() {
            let mut buffer = Vec::new();
            encode(first, &mut buffer);
            // A header that spans two sectors is not written atomically.
            let spans_sectors = self.synced % SECTOR_LEN + HEADER_LEN as u64 > SECTOR_LEN;
            let is_single = spans_sectors || records.peek().is_none();
            if !is_single {
                records.by_ref().for_each(|record| encode(record, &mut buffer));
            }
            self.write(&buffer, is_single)?;
        }
        Ok(())
    }

    /// Writes encoded records at the end of the log and syncs them.
    fn write(&mut self, records: &[u8], is_single: bool) -> Result<(), error::Error> {
        let io = |e| error::Error::io("append to log", e);
        if is_single {
            self.file.write_at(self.synced, records).map_err(io)?;
        } else {
            let (header, rest) = records.split_at(HEADER_LEN);
            self.file.write_at(self.synced + HEADER_LEN as u64, rest).map_err(io)?;
            self.file.sync().map_err(io)?;
            self.file.write_at(self.synced, header).map_err(io)?;
        }
        self.file.sync().map_err(io)?;
        self.synced += records.len() as u64;
        Ok(())
    }

    /// Truncates the file to its durable records after a failed append. After a failed sync, a
    /// further sync may succeed without having written anything, so the records must be written
    /// again to a file that does not hold them.
    fn remove_remains(&mut self) -> Result<(), error::Error> {
        let io = |e| error::Error::io("truncate log", e);
        if self.has_remains {
            self.file.set_len(self.synced).map_err(io)?;
            self.file.sync().map_err(io)?;
            self.has_remains = false;
        }
        Ok(())
    }
}

fn encode_all<'a>(records: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut buffer = Vec::new();
    for record in records {
        encode(record, &mut buffer);
    }
    buffer
}

/// Encodes the length of a payload with its checksum.
fn encode_length(length: usize) -> [u8; LENGTH_LEN] {
    let length = (length as u32).to_le_bytes();
    let mut bytes = [0; LENGTH_LEN];
    bytes[..4].copy_from_slice(&length);
    bytes[4..].copy_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes
}

fn encode(record: &[u8], buffer: &mut Vec<u8>) {
    buffer.extend_from_slice(&encode_length(record.len()));
    buffer.extend_from_slice(&crc32fast::hash(record).to_le_bytes());
    buffer.extend_from_slice(record);
}

fn scan(bytes: &[u8], path: &path::Path) -> Result<(Replay, u64), error::Error> {
    let mut replay = Replay::default();
    let mut offset = 0;
    while offset < bytes.len() {
        match decode(&bytes[offset..], offset as u64) {
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

/// Decodes the record at `offset` in the log, with which `rest` starts.
fn decode(rest: &[u8], offset: u64) -> Decoded<'_> {
    // No valid header consists of zeros.
    if rest.len() < HEADER_LEN || is_zero(&rest[..HEADER_LEN]) {
        return Decoded::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    let length = word(0) as usize;
    if crc32fast::hash(&rest[..4]) != word(4) || length > MAX_RECORD_LEN {
        return if is_torn_header(rest, offset) {
            Decoded::Torn
        } else {
            Decoded::Corrupt("bad checksum of a record's length")
        };
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

/// Whether an invalid header spans two sectors, one of which was not written, and belongs to the
/// last record.
fn is_torn_header(rest: &[u8], offset: u64) -> bool {
    let split = (SECTOR_LEN - offset % SECTOR_LEN) as usize;
    if split >= HEADER_LEN {
        return false;
    }
    let (before, after) = rest[..HEADER_LEN].split_at(split);
    if split < LENGTH_LEN && is_zero(after) {
        return true;
    }
    // The rest of the length and its checksum must fit a record that reaches the end of the file.
    let fits = |length: usize| {
        let start = split.min(LENGTH_LEN);
        encode_length(length)[start..] == rest[start..LENGTH_LEN]
    };
    is_zero(before) && (rest.len() - HEADER_LEN..=MAX_RECORD_LEN).any(fits)
}

fn is_zero(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}
