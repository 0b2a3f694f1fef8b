//! Tests of the traces, metrics and logs that an instance exposes.

mod harness;

use std::fs;

use harness::{ClusterConfig, SERVICE, eventually, job, new_job_id};
use serde_json::Value;

#[test]
fn span_each_hop() {
    let cluster = ClusterConfig::with_zones(&[("west", 1), ("mid", 2)]).start();
    cluster.create_service();
    let _upstream = cluster.start_upstream("u1", "west", &[0], &[]);
    cluster.wait_upstreams("west", 1);
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let response = ureq::post(format!("http://{}/v1/jobs", cluster.instances[1].client))
        .header("traceparent", format!("00-{trace}-b7ad6b7169203331-01"))
        .send(job(&new_job_id("west"), 2, 3_000).to_string())
        .unwrap();
    assert!(response.headers()["traceparent"].to_str().unwrap().contains(trace));
    let spans = || -> Vec<Value> {
        let read =
            |name: &str| fs::read_to_string(cluster.dir.path().join(name)).unwrap_or_default();
        let text = read("west-1.spans") + &read("mid-1.spans");
        let all = text.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
        all.filter(|span| span["trace"] == trace).collect()
    };
    let count = |name: &str| spans().iter().filter(|span| span["name"] == name).count();
    let complete = || count("submit") == 1 && count("forward") == 1 && count("task") == 2;
    assert!(eventually(8_000, complete), "{:?}", spans());
    let spans = spans();
    let find = |name: &str| spans.iter().find(|span| span["name"] == name).unwrap();
    assert_eq!(find("submit")["parent"], "b7ad6b7169203331");
    assert_eq!(find("forward")["parent"], find("submit")["span"]);
    assert_eq!(find("task")["parent"], find("forward")["span"]);
}

#[test]
fn prometheus_text() {
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let _upstream = cluster.start_upstream("u1", "west", &[0], &[]);
    cluster.wait_upstreams("west", 1);
    assert_eq!(cluster.submit(0, &job(&new_job_id("west"), 5, 3_000)).0, 200);
    assert_eq!(
        cluster.submit(0, &job("west-0190b6c4-7e2a-7c3e-8a54-000000000001", 5, 3_000)).0,
        503
    );
    let text = || {
        let url = format!("http://{}/metrics", cluster.instances[0].operator);
        ureq::get(url).call().unwrap().into_body().read_to_string().unwrap()
    };
    let lines = [
        "starts{otel_scope_name=\"apricotroute\"} 5",
        "completed{otel_scope_name=\"apricotroute\"} 1",
        "unknown{otel_scope_name=\"apricotroute\"} 1",
        "ready{otel_scope_name=\"apricotroute\"} 1",
        "apricotroute_peer_messages_total{kind=\"heartbeat\"",
        "apricotroute_peer_bytes_total{kind=\"append\"",
        &format!("slots_free{{service=\"{SERVICE}\""),
        "leader{group=\"settings\"",
        "over_ideal_ms_count",
    ];
    for line in lines {
        assert!(eventually(2_000, || text().contains(line)), "{line} is missing in {}", text());
    }
}

#[test]
fn log_lines() {
    let mut cluster = ClusterConfig::new(1).start();
    assert_eq!(cluster.terminate(0), Some(0));
    let text = fs::read_to_string(cluster.dir.path().join("west-1.log")).unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    for line in &lines {
        let message = line["msg"].as_str().unwrap();
        let (component, rest) = message.split_once(": ").unwrap();
        let known = ["instance", "store", "control", "journal", "settings", "upstreams"];
        assert!(known.contains(&component) && rest.ends_with('.'), "{message}");
        assert_eq!(line["instance"], "west-1");
    }
    assert!(lines.iter().any(|line| line["msg"] == "instance: Stopped."));
}
