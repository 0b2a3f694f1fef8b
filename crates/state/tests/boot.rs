//! Bootstrap file: the parser must report every error with its path, line and reason.

use proptest::prelude::*;
use state::{Boot, boot};

const VALID: &str = r#"{"instance": "west-1", "availability_zone": "west",
 "client_address": "127.0.0.1:7101", "operator_address": "127.0.0.1:7201",
 "peer_address": "127.0.0.1:7301", "data_folder": "west-1.data",
 "peers": [{"instance": "west-2", "availability_zone": "west",
            "peer_address": "127.0.0.1:7302", "disk": true}],
 "log": {"level": "debug", "form": "text"}, "traces": {"file": "spans.jsonl"}}"#;

#[test]
fn good_file() {
    let boot = Boot::parse(VALID).unwrap();
    assert_eq!(boot.instance.as_str(), "west-1");
    assert!(boot.peers[0].has_disk);
    assert_eq!(boot.log, boot::Log { level: boot::Level::Debug, format: boot::Format::Text });
    assert_eq!(boot.drain_ms, boot::DEFAULT_DRAIN_MS);
}

#[test]
fn all_faults() {
    let text = r#"{
  "instance": "west 1",
  "availability_zone": 7,
  "client_address": "localhost:7101",
  "peer_address": "127.0.0.1:7301",
  "data_folder": "",
  "colour": "red",
  "peers": [
    {"instance": "west-2", "availability_zone": "west", "peer_address": "127.0.0.1:1"},
    {"instance": "west-2", "availability_zone": "west", "peer_address": "127.0.0.1:1",
     "disk": "yes"},
    7
  ],
  "log": {"level": "loud", "shape": "round"},
  "drain_ms": -1,
  "traces": []
}"#;
    let errors: Vec<_> = Boot::parse(text).unwrap_err().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(
        "all_faults",
        errors.join(
            "
"
        )
    );
}

#[test]
fn not_json() {
    let errors = Boot::parse("{\n  \"instance\": west\n}").unwrap_err();
    assert_eq!((errors.len(), errors[0].line), (1, 2));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(256)
    })]

    /// The parser must not panic on any edit of a valid file, and each error must have a line of
    /// the file.
    #[test]
    fn any_edit(at in 0..VALID.len(), cut in 0..30_usize, text in "[ -~]{0,12}") {
        let end = (at + cut).min(VALID.len());
        let edited = format!("{}{text}{}", &VALID[..at], &VALID[end..]);
        if let Err(errors) = Boot::parse(&edited) {
            prop_assert!(!errors.is_empty());
            let lines = edited.split('\n').count();
            prop_assert!(errors.iter().all(|error| (1..=lines).contains(&error.line)));
        }
    }
}
