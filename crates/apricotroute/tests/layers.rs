//! Tests that each crate depends only on the crates of lower layers.

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
        let dependencies = text.split("[dependencies]").nth(1).unwrap();
        let dependencies = dependencies.split("[dev-dependencies]").next().unwrap();
        let internal = dependencies.lines().filter_map(|line| line.strip_prefix("apricotroute-"));
        let internal: Vec<_> = internal.map(|line| line.split('.').next().unwrap()).collect();
        assert_eq!(internal, allowed[name], "{name}");
    }
}
