//! Graceful shutdown of instances, and upstreams that leave.

mod harness;

use std::{thread, time};

use harness::{
    ClusterConfig, check::Answers, delete, eventually, get, job, new_job_id, post, sleep_ms,
};
use serde_json::json;

#[test]
fn nothing_cut() {
    let mut cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let upstreams = [
        cluster.start_upstream("u1", "west", &[1], &["--service-ms", "500"]),
        cluster.start_upstream("u2", "west", &[2], &["--service-ms", "500"]),
    ];
    cluster.wait_upstreams("west", 2);
    let specs: Vec<_> = (0..6).map(|_| (new_job_id("west"), 8)).collect();
    let to = cluster.instances[0].client;
    let mut answers = Answers::default();
    let threads: Vec<_> = specs
        .iter()
        .map(|(id, tasks)| {
            let spec = job(id, *tasks, 20_000);
            thread::spawn(move || post(to, "/v1/jobs", &spec))
        })
        .collect();
    sleep_ms(300);
    cluster.signal(0, "-TERM");
    let operator = cluster.instances[0].operator;
    let not_ready = || get(operator, "/readyz").is_none_or(|(status, _)| status == 503);
    assert!(eventually(1_000, not_ready));
    // New jobs are refused with `retry_after_ms`, and a second signal does not shorten the drain.
    let (status, body) = post(to, "/v1/jobs", &job(&new_job_id("west"), 2, 5_000));
    assert_eq!((status, &body["state"]), (503, &json!("not_run")), "{body}");
    assert!(body["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0), "{body}");
    cluster.signal(0, "-TERM");
    for ((id, tasks), thread) in specs.iter().zip(threads) {
        let (status, body) = thread.join().unwrap();
        assert_eq!(status, 200, "{body}");
        answers.record(id, *tasks, &body);
    }
    let code = cluster.instances[0].child.take().unwrap().wait().unwrap().code();
    assert_eq!(code, Some(0));
    answers.verify(&upstreams);
    // The other instances took over the share of the stopped instance at once.
    let members = || cluster.status(1)["members"].as_array().is_some_and(|m| m.len() == 2);
    assert!(
        eventually(700, members),
        "the instance leaves long before its absence could be detected"
    );
    let (status, body) = cluster.submit(1, &job(&new_job_id("west"), 16, 10_000));
    assert_eq!(status, 200, "{body}");
}

#[test]
fn drain_bound() {
    let mut cluster = ClusterConfig::new(1).with_extra(json!({"drain_ms": 700})).start();
    cluster.create_service();
    let _upstream = cluster.start_upstream("u1", "west", &[0], &["--mode", "hang"]);
    cluster.wait_upstreams("west", 1);
    let (to, spec) = (cluster.instances[0].client, job(&new_job_id("west"), 1, 60_000));
    let _waiting = thread::spawn(move || post(to, "/v1/jobs", &spec));
    sleep_ms(300);
    let start = time::Instant::now();
    assert_eq!(cluster.terminate(0), Some(0));
    assert!(start.elapsed() < time::Duration::from_secs(6));
    let log = std::fs::read_to_string(cluster.dir.path().join("west-1.log")).unwrap();
    assert!(log.contains("Drain bound reached"), "{log}");
}

#[test]
fn leaving_upstream() {
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let staying = cluster.start_upstream("u1", "west", &[0], &["--service-ms", "20"]);
    let mut leaving = cluster.start_upstream("u2", "west", &[1], &["--service-ms", "20"]);
    cluster.wait_upstreams("west", 2);
    let (status, _) = cluster.submit(2, &job(&new_job_id("west"), 100, 10_000));
    assert_eq!(status, 200);
    leaving.signal("-TERM");
    assert!(eventually(3_000, || leaving.child.try_wait().unwrap().is_some()));
    sleep_ms(200);
    let before = leaving.starts().len();
    assert!(before > 0);
    for at in 0..3 {
        let (status, body) = cluster.submit(at, &job(&new_job_id("west"), 50, 10_000));
        assert_eq!(status, 200, "{body}");
    }
    assert_eq!(leaving.starts().len(), before);
    assert!(staying.starts().len() >= 150);
}

#[test]
fn lapsed_and_withdrawn() {
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let mut upstream = cluster.start_upstream("u1", "west", &[0], &[]);
    cluster.wait_upstreams("west", 1);
    // The upstream is killed without a withdrawal, so its lease expires at every instance.
    upstream.child.kill().unwrap();
    cluster.wait_upstreams("west", 0);
    let (status, body) = cluster.submit(2, &job(&new_job_id("west"), 1, 2_000));
    assert_eq!((status, &body["state"]), (503, &json!("not_run")), "{body}");
    // An upstream that is withdrawn by name is gone at every instance at once.
    let _other = cluster.start_upstream("u2", "west", &[1], &[]);
    cluster.wait_upstreams("west", 1);
    let (status, _) = delete(cluster.instances[2].client, "/v1/upstreams/u2").unwrap();
    assert_eq!(status, 200);
    let gone = || {
        let status = cluster.status(0);
        let list = status["upstreams"].as_array().cloned().unwrap_or_default();
        list.iter().any(|u| u["upstream"] == "u2" && u["phase"] == "gone")
    };
    assert!(eventually(1_000, gone));
}

#[test]
fn passed_on() {
    // A submission from another zone is forwarded past an instance that shuts down.
    let cluster = ClusterConfig::with_zones(&[("west", 2), ("mid", 1)]).start();
    cluster.create_service();
    let upstream = cluster.start_upstream("u1", "west", &[1], &["--service-ms", "1500"]);
    cluster.wait_upstreams("west", 1);
    let (to, spec) = (cluster.instances[0].client, job(&new_job_id("west"), 2, 10_000));
    let waiting = thread::spawn(move || post(to, "/v1/jobs", &spec));
    assert!(eventually(2_000, || upstream.starts().len() == 2));
    cluster.signal(0, "-TERM");
    sleep_ms(100);
    for _ in 0..2 {
        let (status, body) = cluster.submit(2, &job(&new_job_id("west"), 1, 8_000));
        assert_eq!(status, 200, "{body}");
    }
    assert_eq!(waiting.join().unwrap().0, 200);
}

#[test]
fn isolated_drain() {
    // No client waits any longer for the job of an isolated instance, so the job does not delay the
    // shutdown.
    let mut cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let _upstream = cluster.start_upstream("u1", "west", &[0], &["--mode", "hang", "--slots", "3"]);
    cluster.wait_upstreams("west", 1);
    let (to, spec) = (cluster.instances[0].client, job(&new_job_id("west"), 1, 60_000));
    let waiting = thread::spawn(move || post(to, "/v1/jobs", &spec));
    sleep_ms(300);
    cluster.set_isolated(&[0], true);
    let (status, body) = waiting.join().unwrap();
    assert_eq!((status, &body["state"]), (503, &json!("unknown")), "{body}");
    let start = time::Instant::now();
    assert_eq!(cluster.terminate(0), Some(0));
    assert!(start.elapsed() < time::Duration::from_secs(6), "{:?}", start.elapsed());
}
