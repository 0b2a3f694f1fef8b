//! Write-ahead log: an incomplete write at the end is truncated; corruption elsewhere is an error
//! with the file and offset.

use std::fs;

use proptest::prelude::*;
use state::{error, folder, wal};

fn write(records: &[&[u8]]) -> (tempfile::TempDir, std::path::PathBuf) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (mut wal, _) = wal::Wal::open(&path).unwrap();
    wal.append(records.iter().copied()).unwrap();
    (dir, path)
}

#[test]
fn torn_tail() {
    let (_dir, path) = write(&[b"first", b"second", b"third"]);
    let intact = fs::read(&path).unwrap();
    let last = intact.len() - 5 - 12;
    for end in last..intact.len() {
        fs::write(&path, &intact[..end]).unwrap();
        let (mut wal, replay) = wal::Wal::open(&path).unwrap();
        assert_eq!(replay.records, [b"first".as_slice(), b"second"]);
        assert_eq!(replay.truncated_bytes as usize, end - last);
        wal.append([b"fourth".as_slice()]).unwrap();
        let (_, replay) = wal::Wal::open(&path).unwrap();
        assert_eq!(replay.records, [b"first".as_slice(), b"second", b"fourth"]);
    }
    // The file size was extended before the data was written.
    fs::write(&path, [intact.as_slice(), &[0; 700]].concat()).unwrap();
    assert_eq!(wal::Wal::open(&path).unwrap().1.records.len(), 3);
}

#[test]
fn flipped_bits() {
    let (_dir, path) = write(&[b"first", b"second", b"third"]);
    let intact = fs::read(&path).unwrap();
    let last = intact.len() - 5 - 12;
    for at in 0..last {
        let mut bytes = intact.clone();
        bytes[at] ^= 4;
        fs::write(&path, bytes).unwrap();
        let error = wal::Wal::open(&path).unwrap_err();
        assert_eq!(error.class(), error::Class::Corrupt);
        let (file, offset) = error.location().unwrap();
        assert_eq!(file, path);
        assert!(offset as usize <= at, "{offset} for a flip at {at}");
    }
}

#[test]
fn compaction() {
    let dir = tempfile::tempdir().unwrap();
    let name = "west-1".into();
    let (mut folder, _) = folder::Folder::open(dir.path(), &name, 7).unwrap();
    folder.append([b"old".as_slice()]).unwrap();
    folder.compact(b"state", [b"kept".as_slice()]).unwrap();
    folder.append([b"new".as_slice()]).unwrap();
    drop(folder);
    let (mut folder, loaded) = folder::Folder::open(dir.path(), &name, 8).unwrap();
    assert_eq!((loaded.incarnation, loaded.snapshot.as_deref()), (7, Some(b"state".as_slice())));
    assert_eq!(loaded.records, [b"kept".as_slice(), b"new"]);
    folder.compact(b"later", []).unwrap();
    drop(folder);
    // A crash after the next log was created and before its snapshot was in place.
    fs::write(dir.path().join("log-3"), b"unfinished").unwrap();
    let (mut folder, loaded) = folder::Folder::open(dir.path(), &name, 8).unwrap();
    assert_eq!(loaded.snapshot.as_deref(), Some(b"later".as_slice()));
    folder.compact(b"last", []).unwrap();
    // The error for a corrupt snapshot has the path of the snapshot.
    drop(folder);
    let snapshot = dir.path().join("snapshot");
    let mut bytes = fs::read(&snapshot).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&snapshot, bytes).unwrap();
    let error = folder::Folder::open(dir.path(), &name, 8).unwrap_err();
    assert_eq!(error.location().map(|(file, _)| file), Some(snapshot.as_path()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(64)
    })]

    /// Opening the log must not panic if the log is truncated and arbitrary bytes are appended. The
    /// first record that is read must be the first one that was written, unless the truncation
    /// removes more than 17 bytes.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0..60_usize) {
        let (_dir, path) = write(&[b"first", b"second"]);
        let mut content = fs::read(&path).unwrap();
        content.truncate(content.len().saturating_sub(cut));
        content.extend(&bytes);
        fs::write(&path, content).unwrap();
        if let Ok((_, replay)) = wal::Wal::open(&path) {
            prop_assert!(replay.records.first().is_none_or(|first| first == b"first" || cut > 17));
        }
    }
}
