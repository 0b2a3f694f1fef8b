//! Settings tree: inheritance, conflicting changes, resends, validation.

use state::{
    Tree, key,
    tree::{self, Change, Outcome},
};

fn change(number: u128, base: Option<u64>, path: &str, values: &str) -> Change {
    let change = uuid::Uuid::from_u128(number);
    Change { change, base, path: path.into(), values: values.to_owned() }
}

#[test]
fn inheritance() {
    let mut tree = Tree::new();
    tree.apply(change(1, None, "", r#"{"max_queue": 10, "cross_zone": true}"#));
    tree.apply(change(2, None, "ireland", r#"{"max_queue": 20}"#));
    tree.apply(change(3, None, "ireland/quotes", "{}"));
    let cases = [
        ("", "max_queue", "10", ""),
        ("ireland", "max_queue", "20", "ireland"),
        ("ireland/quotes", "max_queue", "20", "ireland"),
        ("ireland/quotes", "cross_zone", "true", ""),
        ("ireland/quotes", "max_tasks", "1000", "default"),
    ];
    for (path, key, value, origin) in cases {
        let found = tree.effective(path).unwrap()[key].clone();
        assert_eq!((found.value.to_string().as_str(), found.origin.as_str()), (value, origin));
    }
    assert!(tree.effective("ireland/offers").is_none());
    // A level above a path that was set shows the values that the path inherits, but jobs cannot
    // use the level itself as their service.
    tree.apply(change(5, None, "aotearoa/packhouse", "{}"));
    assert_eq!(tree.effective("aotearoa").unwrap()["max_queue"].value.to_string(), "10");
    assert!(tree.policy("aotearoa").is_none() && tree.effective("aotea").is_none());
    tree.apply(change(4, None, "ireland", r#"{"max_queue": null}"#));
    assert_eq!(tree.policy("ireland/quotes").unwrap().max_queue, 10);
}

#[test]
fn first_outcome() {
    let mut tree = Tree::new();
    assert_eq!(tree.apply(change(1, Some(0), "a", "{}")), Outcome::Accepted(1));
    assert_eq!(tree.apply(change(2, Some(0), "a", "{}")), Outcome::Conflict(1));
    assert_eq!(tree.apply(change(3, Some(1), "b", "{}")), Outcome::Accepted(2));
    // A resend, even a much later one, returns the first outcome and has no second effect.
    assert_eq!(tree.apply(change(1, Some(0), "a", "{}")), Outcome::Accepted(1));
    assert_eq!(tree.apply(change(2, Some(0), "a", "{}")), Outcome::Conflict(1));
    assert_eq!((tree.version(), tree.records().count()), (2, 3));
}

#[test]
fn bounded_records() {
    let mut tree = Tree::new();
    for number in 0..tree::MAX_RECORDS as u128 + 10 {
        tree.apply(change(number, None, "a", "{}"));
    }
    assert_eq!(tree.records().count(), tree::MAX_RECORDS);
}

#[test]
fn key_ranges() {
    let cases = [
        ("max_queue", "0", true),
        ("max_queue", "-1", false),
        ("max_queue", "1.5", false),
        ("max_queue", "1e30", false),
        ("retry_budget", "0.25", true),
        ("retry_budget", "1.01", false),
        ("hedge_quantile", "0.95", true),
        ("hedge_quantile", "1", false),
        ("answer_copies", "3", false),
        ("cross_zone", "true", true),
        ("cross_zone", "1", false),
        ("upstream_lease_ms", "499", false),
        ("deadline_ms", "\"30\"", false),
    ];
    for (name, value, valid) in cases {
        let value = serde_json::from_str(value).unwrap();
        assert_eq!(key::find(name).unwrap().value_error(&value).is_none(), valid, "{name} {value}");
    }
    assert!(key::KEYS.iter().all(|key| key.value_error(&key.default_value()).is_none()));
}

#[test]
fn path_faults() {
    let long = "a/".repeat(200);
    for path in ["/a", "a/", "a//b", "a b", "é", "a/b/c/d/e/f/g/h/i", long.as_str()] {
        assert!(tree::path_error(path).is_some(), "{path}");
    }
    for path in ["", "a", "ireland/polish-board"] {
        assert!(tree::path_error(path).is_none(), "{path}");
    }
}
