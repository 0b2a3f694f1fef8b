//! Hints of a data folder: they may be lost, and an unreadable hints file must not prevent an
//! instance from starting.

use std::fs;

use state::folder::Folder;

#[test]
fn kept_and_damaged() {
    let dir = tempfile::tempdir().unwrap();
    let (folder, loaded) = Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    assert_eq!(loaded.hints, None);
    assert!(loaded.hints_error.is_none(), "no hints were written");
    folder.set_hints(b"first").unwrap();
    folder.set_hints(b"second").unwrap();
    drop(folder);
    let (folder, loaded) = Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    assert_eq!(loaded.hints.as_deref(), Some(b"second".as_slice()));
    drop(folder);
    // Truncate the file, as a power loss during a write may do.
    let path = dir.path().join("hints");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
    let (_, loaded) = Folder::open(dir.path(), &"west-1".into(), 7).unwrap();
    assert_eq!(loaded.hints, None);
    assert!(loaded.hints_error.is_some(), "the damage must be reported");
}
