//! The layers only point downwards.

use std::{collections, fs, path};

#[test]
fn manifests() {
    let allowed: collections::BTreeMap<&str, &[&str]> = [
        ("state", &[] as &[&str]),
        ("coord", &["state"]),
        ("proto", &["state"]),
        ("link", &["proto", "state"]),
        ("dispatch", &["coord", "state"]),
        ("apricotroute", &["coord", "dispatch", "link", "platform", "proto", "state"]),
    ]
    .into();
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for entry in fs::read_dir(crates).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        let text = fs::read_to_string(path.join("Cargo.toml")).unwrap();
        let uses = text.split("[dependencies]").nth(1).unwrap();
        let uses = uses.split("[dev-dependencies]").next().unwrap();
        let inner = uses.lines().filter_map(|line| line.strip_prefix("apricotroute-"));
        let inner: Vec<_> = inner.map(|line| line.split('.').next().unwrap()).collect();
        assert_eq!(inner, allowed[name], "{name}");
    }
}
