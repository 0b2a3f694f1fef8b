//! Scheduling features that the bootstrap file can disable.

use state::{node::Node, policy::Policy};

fn parse(decisions: &str) -> Result<Node, Vec<String>> {
    let text = format!(
        r#"{{"instance": "entry-1", "availability_zone": "west", "role": "entry",
            "client_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
            "peer_address": "127.0.0.1:3", "decisions": {decisions}}}"#
    );
    Node::parse(&text).map_err(|errors| errors.into_iter().map(|error| error.path).collect())
}

#[test]
fn all_by_default() {
    let mut policy = parse("{}").unwrap().policy;
    assert_eq!(policy, Policy::default());
    for (name, field) in Policy::SWITCHES {
        assert!(*field(&mut policy), "{name} must be enabled by default");
    }
}

#[test]
fn one_switched_off() {
    for (name, field) in Policy::SWITCHES {
        let mut policy = parse(&format!("{{\"{name}\": false}}")).unwrap().policy;
        assert!(!*field(&mut policy), "{name} must be disabled");
        *field(&mut policy) = true;
        assert_eq!(policy, Policy::default(), "{name} must not affect other features");
    }
}

#[test]
fn faults() {
    assert_eq!(parse(r#"{"haste": true}"#).unwrap_err(), ["$.decisions.haste"]);
    assert_eq!(parse(r#"{"sharing": 1}"#).unwrap_err(), ["$.decisions.sharing"]);
    assert_eq!(parse("true").unwrap_err(), ["$.decisions"]);
}
