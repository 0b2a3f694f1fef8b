//! What a bootstrap file says that an instance can bear.

use serde_json::{Value, json};
use state::node::Node;

fn parse(changes: &Value) -> Result<Node, Vec<String>> {
    let mut file = json!({"instance": "entry-1", "availability_zone": "west", "role": "entry",
        "client_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
        "peer_address": "127.0.0.1:3"});
    file.as_object_mut().unwrap().extend(changes.as_object().unwrap().clone());
    let faults =
        |faults: Vec<state::locate::Fault>| faults.iter().map(ToString::to_string).collect();
    Node::parse(&file.to_string()).map_err(faults)
}

#[test]
fn stated() {
    let all = json!({"cpu_share": 0.09, "memory_mb": 120, "descriptors": 3075, "link_mbps": 19.0});
    let node = parse(&all).unwrap();
    let found = (node.millicores, node.memory, node.descriptors, node.link);
    assert_eq!(found, (90, Some(120), Some(3_075), Some(19)));
    assert_eq!(parse(&json!({"link_mbps": 0.25})).unwrap().link, Some(1));
    assert_eq!(parse(&json!({"link_mbps": 1_000_000})).unwrap().link, Some(1_000_000));
}

#[test]
fn missing() {
    let node = parse(&json!({})).unwrap();
    assert_eq!((node.memory, node.descriptors, node.link), (None, None, None));
}

#[test]
fn bad_values() {
    let common = [json!(0), json!(-1), json!("120"), json!(null), json!([1]), json!(1e300)];
    for (key, absurd) in [
        ("cpu_share", json!(1_001)),
        ("memory_mb", json!(1_u64 << 33)),
        ("descriptors", json!(u64::MAX)),
        ("link_mbps", json!(1_000_001)),
        ("memory_mb", json!(120.5)),
    ] {
        for value in common.iter().chain([&absurd]) {
            let faults = parse(&json!({key: value})).expect_err(key);
            let named = faults.len() == 1 && faults[0].contains(&format!("$.{key}"));
            assert!(named && faults[0].contains("expected"), "{key} {value}: {faults:?}");
        }
    }
}
