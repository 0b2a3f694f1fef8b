//! Ways of deciding, switched in the bootstrap file.

use state::{node::Node, policy::Policy};

fn parse(decisions: &str) -> Result<Node, Vec<String>> {
    let text = format!(
        r#"{{"instance": "entry-1", "availability_zone": "west", "role": "entry",
            "client_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
            "peer_address": "127.0.0.1:3", "decisions": {decisions}}}"#
    );
    Node::parse(&text).map_err(|faults| faults.into_iter().map(|fault| fault.path).collect())
}

#[test]
fn all_by_default() {
    let mut policy = parse("{}").unwrap().policy;
    assert_eq!(policy, Policy::default());
    for (name, choice) in Policy::CHOICES {
        assert!(*choice(&mut policy), "{name} is in use");
    }
}

#[test]
fn one_switched_off() {
    for (name, choice) in Policy::CHOICES {
        let mut policy = parse(&format!("{{\"{name}\": false}}")).unwrap().policy;
        assert!(!*choice(&mut policy), "{name} is off");
        *choice(&mut policy) = true;
        assert_eq!(policy, Policy::default(), "{name} switches nothing else");
    }
}

#[test]
fn faults() {
    assert_eq!(parse(r#"{"haste": true}"#).unwrap_err(), ["$.decisions.haste"]);
    assert_eq!(parse(r#"{"sharing": 1}"#).unwrap_err(), ["$.decisions.sharing"]);
    assert_eq!(parse("true").unwrap_err(), ["$.decisions"]);
}
