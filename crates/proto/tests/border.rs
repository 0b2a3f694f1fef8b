//! The parsers of external input must not panic on any input.

use proptest::prelude::*;
use proto::json;

const JOB: &str = r#"{"job": "west-0190b6c4-7e2a-7c3e-8a54-000000000001", "service": "a/b",
 "team": "north", "deadline_ms": 500, "idempotent": false, "needs": {"cores": 1.5,
 "memory_mb": 64, "accelerators": 0}, "tasks": [{"payload": {"x": [1, null]}}]}"#;
const ANNOUNCE: &str = r#"{"upstream": "u1", "service": "a", "availability_zone": "west",
 "address": "127.0.0.1:9000", "slots": 8, "state": "leaving", "cores": 4, "memory_mb": 9}"#;
const CHANGE: &str = r#"{"base": 4, "change": "0190b6c4-7e2a-7c3e-8a54-000000000001",
 "values": {"max_queue": 5, "cross_zone": null}}"#;

/// Replaces `cut` bytes of `text` at `at` with `insert`.
fn splice(text: &str, at: usize, cut: usize, insert: &[u8]) -> Vec<u8> {
    let at = at % text.len();
    let end = (at + cut).min(text.len());
    [&text.as_bytes()[..at], insert, &text.as_bytes()[end..]].concat()
}

#[test]
fn good_texts() {
    let job = json::Job::parse(JOB.as_bytes()).unwrap();
    assert_eq!(job.tasks[0].payload.get(), r#"{"x": [1, null]}"#);
    assert_eq!(job.id().unwrap().to_string(), job.job);
    assert!(json::Announce::parse(ANNOUNCE.as_bytes()).unwrap().upstream().capacity.is_some());
    assert_eq!(json::Change::parse(CHANGE.as_bytes()).unwrap().base, Some(4));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn any_job(at in 0..400_usize, cut in 0..20_usize, insert in prop::collection::vec(any::<u8>(), 0..8)) {
        let text = splice(JOB, at, cut, &insert);
        if let Ok(job) = json::Job::parse(&text) {
            prop_assert!(json::check_service(&job.service).is_ok());
            prop_assert!(job.deadline_ms.is_none_or(|ms| ms > 0));
            drop(job.id());
        }
    }

    #[test]
    fn any_announcement(at in 0..400_usize, cut in 0..20_usize, insert in prop::collection::vec(any::<u8>(), 0..8)) {
        let text = splice(ANNOUNCE, at, cut, &insert);
        if let Ok(announce) = json::Announce::parse(&text) {
            prop_assert!((1..=json::MAX_SLOTS).contains(&announce.slots));
            drop(announce.upstream());
        }
    }

    #[test]
    fn any_change(at in 0..400_usize, cut in 0..20_usize, insert in prop::collection::vec(any::<u8>(), 0..8)) {
        if let Ok(change) = json::Change::parse(&splice(CHANGE, at, cut, &insert)) {
            drop(state::tree::value_errors(&change.values));
        }
    }

    #[test]
    fn any_id(text in "\\PC{0,60}") {
        if let Ok(id) = text.parse::<state::JobId>() {
            prop_assert!(id.to_string().eq_ignore_ascii_case(&text));
        }
    }
}
