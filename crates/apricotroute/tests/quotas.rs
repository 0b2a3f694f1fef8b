//! Limits: team quotas, full queues and deadlines that cannot be met.

mod harness;

use std::thread;

use harness::{Cluster, ClusterConfig, SERVICE, job, new_job_id, post, sleep_ms};
use serde_json::{Value, json};

fn cluster(values: &Value, arguments: &[&str]) -> (Cluster, harness::upstream::Process) {
    let cluster = ClusterConfig::new(3).start();
    let (status, body) = cluster.change_settings(0, SERVICE, &json!({"values": values}));
    assert_eq!(status, 200, "{body}");
    cluster.wait_version(1);
    let upstream = cluster.start_upstream("u1", "west", &[0, 1, 2], arguments);
    cluster.wait_upstreams("west", 1);
    (cluster, upstream)
}

fn team_job(team: &str, tasks: usize) -> Value {
    let mut spec = job(&new_job_id("west"), tasks, 10_000);
    spec["team"] = json!(team);
    spec
}

#[test]
fn team_in_flight() {
    let slow = ["--service-ms", "800", "--slots", "30"];
    let (cluster, upstream) = cluster(&json!({"team_in_flight": 10}), &slow);
    let to = cluster.instances[0].client;
    let first = team_job("north", 8);
    let waiting = thread::spawn(move || post(to, "/v1/jobs", &first));
    sleep_ms(200);
    // The quota applies across all instances of the zone, and to whole jobs.
    let (status, body) = cluster.submit(1, &team_job("north", 3));
    assert_eq!((status, &body["state"]), (429, &json!("not_run")), "{body}");
    assert!(body["retry_after_ms"].as_u64().is_some(), "{body}");
    assert_eq!(cluster.submit(2, &team_job("north", 2)).0, 200);
    assert_eq!(cluster.submit(1, &team_job("south", 3)).0, 200);
    assert_eq!(waiting.join().unwrap().0, 200);
    assert_eq!(cluster.submit(1, &team_job("north", 10)).0, 200);
    // A job that can never fit into the quota is refused at once, without `retry_after_ms`.
    let (status, body) = cluster.submit(1, &team_job("north", 11));
    assert_eq!(status, 429, "{body}");
    assert!(body.get("retry_after_ms").is_none(), "{body}");
    assert_eq!(upstream.starts().len(), 8 + 2 + 3 + 10);
}

#[test]
fn team_rate() {
    let (cluster, upstream) = cluster(&json!({"team_rate": 5}), &["--service-ms", "10"]);
    let statuses: Vec<_> =
        (0..12).map(|at| cluster.submit(at % 3, &team_job("north", 1)).0).collect();
    let admitted = statuses.iter().filter(|status| **status == 200).count();
    assert!((5..=8).contains(&admitted), "{statuses:?}");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 429)), "{statuses:?}");
    assert_eq!(upstream.starts().len(), admitted);
    sleep_ms(1_100);
    assert_eq!(cluster.submit(0, &team_job("north", 4)).0, 200);
}

#[test]
fn full_queue() {
    let slow = ["--service-ms", "400", "--slots", "3"];
    let (cluster, upstream) = cluster(&json!({"max_queue": 4}), &slow);
    let (status, body) = cluster.submit(0, &job(&new_job_id("west"), 60, 10_000));
    assert_eq!((status, &body["state"]), (503, &json!("not_run")), "{body}");
    assert!(body["retry_after_ms"].as_u64().is_some_and(|ms| ms >= 50), "{body}");
    assert!(upstream.starts().is_empty(), "the job is refused as a whole");
    assert_eq!(cluster.submit(0, &job(&new_job_id("west"), 5, 10_000)).0, 200);
}

#[test]
fn hopeless_deadline() {
    let slow = ["--service-ms", "300", "--slots", "6"];
    let (cluster, upstream) = cluster(&json!({}), &slow);
    for _ in 0..4 {
        assert_eq!(cluster.submit(0, &job(&new_job_id("west"), 6, 10_000)).0, 200);
    }
    let before = upstream.starts().len();
    let (status, body) = cluster.submit(0, &job(&new_job_id("west"), 2, 100));
    assert_eq!((status, &body["state"]), (503, &json!("not_run")), "{body}");
    assert_eq!(
        upstream.starts().len(),
        before,
        "the job is refused before any of its tasks starts"
    );
}
