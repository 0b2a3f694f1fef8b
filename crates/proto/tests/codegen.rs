//! The committed `src/peer.rs` must match the code that is generated from `proto/peer.proto`.

use std::{fs, path};

#[test]
fn peer_code() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")]).unwrap();
    let out = tempfile::tempdir().unwrap();
    let config = tonic_prost_build::configure().bytes(".").out_dir(out.path());
    config.compile_fds(files).unwrap();
    let generated = fs::read_to_string(out.path().join("apricotroute.peer.v1.rs")).unwrap();
    let target = root.join("src/peer.rs");
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&target, &generated).unwrap();
    }
    assert_eq!(fs::read_to_string(target).unwrap(), generated, "run with UPDATE_GENERATED=1");
}
