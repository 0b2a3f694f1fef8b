//! Record headers that span two sectors of the disk.

use std::{fs, path};

use state::{error, wal};

const HEADER_LEN: usize = 12;
const SECTOR_LEN: usize = 512;

/// Writes records one by one; the header of the second one has `split` bytes in the first sector.
fn write(path: &path::Path, split: usize, others: &[&[u8]]) -> Vec<u8> {
    let first = vec![7; SECTOR_LEN - split - HEADER_LEN];
    let (mut wal, _) = wal::Wal::open(path).unwrap();
    wal.append([first.as_slice()]).unwrap();
    for record in others {
        wal.append([*record]).unwrap();
    }
    fs::read(path).unwrap()
}

/// A record must not keep an instance from starting if a loss of power has kept only one of the two
/// sectors that its header spans.
#[test]
fn one_sector_lost() {
    for (split, length) in (1..HEADER_LEN).flat_map(|split| [1, 4, 256, 700].map(|n| (split, n))) {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("log");
        let intact = write(&path, split, &[&vec![9; length]]);
        let start = SECTOR_LEN - split;
        for lost in [start..SECTOR_LEN, SECTOR_LEN..intact.len().min(2 * SECTOR_LEN)] {
            let mut bytes = intact.clone();
            bytes[lost.clone()].fill(0);
            // The only byte in the first sector may be zero.
            let (count, end) = if bytes == intact { (2, intact.len()) } else { (1, start) };
            fs::write(&path, bytes).unwrap();
            let (_, replay) = wal::Wal::open(&path).unwrap();
            assert_eq!(replay.records.len(), count, "{split} {length} {lost:?}");
            assert_eq!(fs::read(&path).unwrap(), intact[..end]);
        }
    }
}

#[test]
fn flipped_bits() {
    for split in 1..HEADER_LEN {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("log");
        let intact = write(&path, split, &[b"second", b"third"]);
        let start = SECTOR_LEN - split;
        for (at, bit) in (start..start + HEADER_LEN).flat_map(|at| (0..8).map(move |b| (at, b))) {
            let mut bytes = intact.clone();
            bytes[at] ^= 1 << bit;
            fs::write(&path, bytes).unwrap();
            let error = wal::Wal::open(&path).unwrap_err();
            assert_eq!(error.class(), error::Class::Corrupt, "{split} {at} {bit}");
        }
    }
}
