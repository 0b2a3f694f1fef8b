//! Input that is malformed, too large, too slow or refers to unknown resources: the sender gets a
//! clear error, and no other client is delayed.

mod harness;

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use harness::{Cluster, ClusterConfig, SERVICE, eventually, get, job, new_job_id, post, put};
use serde_json::{Value, json};

fn cluster() -> (Cluster, harness::upstream::Process) {
    let cluster = ClusterConfig::new(1).start();
    cluster.create_service();
    let upstream = cluster.start_upstream("u1", "west", &[0], &["--service-ms", "10"]);
    cluster.wait_upstreams("west", 1);
    (cluster, upstream)
}

/// Sends raw bytes and returns the first part of the response, or nothing if the peer closes the
/// connection or stays silent for 15 s.
fn send_raw(to: net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = net::TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(time::Duration::from_secs(15))).unwrap();
    // The peer may reject the request before it has read all bytes.
    drop(stream.write_all(bytes));
    let mut response = vec![0; 4096];
    let count = stream.read(&mut response).unwrap_or(0);
    String::from_utf8_lossy(&response[..count]).into_owned()
}

#[test]
fn bad_jobs() {
    let (cluster, upstream) = cluster();
    let to = cluster.instances[0].client;
    let id = || new_job_id("west");
    let job_with = |change: &dyn Fn(&mut Value)| {
        let mut spec = job(&new_job_id("west"), 1, 1_000);
        change(&mut spec);
        spec
    };
    let cases: Vec<(u16, Value)> = vec![
        (400, json!([])),
        (400, json!({"job": id()})),
        (400, job_with(&|spec| spec["job"] = json!("west-7"))),
        (400, job_with(&|spec| spec["job"] = json!("0190b6c4-7e2a-7c3e-8a54-000000000001"))),
        (400, job_with(&|spec| spec["job"] = json!(format!("west-{}", uuid::Uuid::nil())))),
        (400, job_with(&|spec| spec["deadline_ms"] = json!(-1))),
        (400, job_with(&|spec| spec["deadline_ms"] = json!(0))),
        (400, job_with(&|spec| spec["deadline_ms"] = json!(1.5))),
        (400, job_with(&|spec| spec["deadline_ms"] = json!(99_999_999_999_999_999_999_f64))),
        (400, job_with(&|spec| spec["tasks"] = json!([]))),
        (400, job_with(&|spec| spec["tasks"] = json!([{"load": 1}]))),
        (400, job_with(&|spec| spec["extra"] = json!(1))),
        (400, job_with(&|spec| spec["idempotent"] = json!("yes"))),
        (400, job_with(&|spec| spec["team"] = json!("a b"))),
        (400, job_with(&|spec| spec["service"] = json!("a//b"))),
        (400, job_with(&|spec| spec["needs"] = json!({"cores": -4}))),
        (400, job_with(&|spec| spec["needs"] = json!({"wheels": 4}))),
        (404, job_with(&|spec| spec["service"] = json!("nowhere"))),
    ];
    for (expected, spec) in cases {
        let (status, body) = post(to, "/v1/jobs", &spec);
        assert_eq!((status, &body["state"]), (expected, &json!("not_run")), "{spec} gave {body}");
        assert!(body["error"].is_string() && body["step"].is_string() && body["peer"] == "west-1");
    }
    let too_many: Vec<_> = (0..1_001).map(|number| json!({"payload": number})).collect();
    let (status, body) = post(to, "/v1/jobs", &job_with(&|spec| spec["tasks"] = json!(too_many)));
    assert_eq!((status, &body["state"]), (413, &json!("not_run")));
    assert!(upstream.starts().is_empty());
}

#[test]
fn impossible_needs() {
    let cluster = ClusterConfig::new(1).start();
    cluster.create_service();
    let room = ["--cores", "2", "--memory-mb", "512"];
    let _upstream = cluster.start_upstream("u1", "west", &[0], &room);
    cluster.wait_upstreams("west", 1);
    let mut spec = job(&new_job_id("west"), 1, 1_000);
    spec["needs"] = json!({"cores": 2, "memory_mb": 100});
    assert_eq!(cluster.submit(0, &spec).0, 200);
    let mut spec = job(&new_job_id("west"), 1, 1_000);
    spec["needs"] = json!({"cores": 2, "accelerators": 1});
    let (status, body) = cluster.submit(0, &spec);
    assert_eq!((status, &body["state"]), (422, &json!("not_run")), "{body}");
}

#[test]
fn bad_bytes() {
    let (cluster, _upstream) = cluster();
    let to = cluster.instances[0].client;
    let head = |fields: &str| format!("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
    let answer =
        send_raw(to, head("Content-Length: 9\r\nContent-Type: application/json\r\n").as_bytes());
    assert!(answer.is_empty() || answer.contains("408"), "{answer}");
    for body in ["{\"job\": ", "nonsense", "\u{0}\u{1}", "{}{}", ""] {
        let request = head(&format!("Content-Length: {}\r\n", body.len())) + body;
        let answer = send_raw(to, request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400"), "{body:?} gave {answer}");
    }
    let answer =
        send_raw(to, (head("Content-Type: text/xml\r\nContent-Length: 2\r\n") + "{}").as_bytes());
    assert!(answer.starts_with("HTTP/1.1 415"), "{answer}");
    let answer = send_raw(to, b"\x16\x03\x01\x02\x00garbage\r\n\r\n");
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    let junk = "X-Junk: junk\r\n".repeat(100_000);
    let answer = send_raw(to, head(&junk).as_bytes());
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    let large = "x".repeat(10 << 20);
    let answer =
        send_raw(to, (head(&format!("Content-Length: {}\r\n", large.len())) + &large).as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("not_run"), "{answer}");
    // The instance still serves jobs after these requests.
    assert_eq!(cluster.submit(0, &job(&new_job_id("west"), 3, 2_000)).0, 200);
}

#[test]
fn half_bodies() {
    const CLIENTS: usize = 200;
    let (cluster, _upstream) = cluster();
    let to = cluster.instances[0].client;
    let partial =
        b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n{\"job\": \"west-";
    let mut open = Vec::new();
    for _ in 0..CLIENTS {
        let mut stream = net::TcpStream::connect(to).unwrap();
        stream.write_all(partial).unwrap();
        open.push(stream);
    }
    let start = time::Instant::now();
    for _ in 0..20 {
        assert_eq!(cluster.submit(0, &job(&new_job_id("west"), 2, 2_000)).0, 200);
    }
    assert!(start.elapsed() < time::Duration::from_secs(4), "{:?}", start.elapsed());
}

#[test]
fn bad_requests() {
    let (cluster, _upstream) = cluster();
    let to = cluster.instances[0].client;
    let url = format!("http://{to}/v1/requests/{SERVICE}");
    let cases = [
        ("Idempotent", "perhaps"),
        ("Deadline-Ms", "-5"),
        ("Deadline-Ms", "99999999999999999999"),
        ("Deadline-Ms", "soon"),
        ("Request-Id", "7"),
        ("Team", "a b"),
    ];
    for (name, value) in cases {
        let result = ureq::post(&url).header(name, value).send("x");
        assert!(matches!(result, Err(ureq::Error::StatusCode(400))), "{name}: {value}");
    }
    assert_eq!(post(to, "/v1/requests/a//b", &json!(1)).0, 400);
    assert_eq!(get(to, "/v1/jobs/west-7").unwrap().0, 400);
    assert_eq!(get(to, &format!("/v1/jobs/{}", new_job_id("west"))).unwrap().0, 404);
    assert_eq!(get(to, "/v1/jobs").unwrap().0, 405);
    assert_eq!(get(to, "/nowhere").unwrap().0, 404);
}

#[test]
fn bad_announcements() {
    let (cluster, _upstream) = cluster();
    let to = cluster.instances[0].client;
    let good = json!({"upstream": "u9", "service": SERVICE, "availability_zone": "west",
                      "address": "127.0.0.1:9", "slots": 1});
    let cases = [
        ("slots", json!(0), 400),
        ("slots", json!(-3), 400),
        ("slots", json!(1_000_000_000_000_u64), 400),
        ("address", json!("localhost"), 400),
        ("state", json!("dancing"), 400),
        ("upstream", json!(""), 400),
        ("cores", json!("many"), 400),
        ("wheels", json!(4), 400),
        ("availability_zone", json!("east"), 422),
    ];
    for (key, value, expected) in cases {
        let mut body = good.clone();
        body[key] = value.clone();
        let (status, answer) = post(to, "/v1/upstreams", &body);
        assert_eq!(status, expected, "{key}: {value} gave {answer}");
    }
    let (status, answer) = post(to, "/v1/upstreams", &good);
    assert_eq!((status, &answer), (200, &json!({"lease_ms": 3000})));
}

#[test]
fn bad_settings() {
    let (cluster, _upstream) = cluster();
    let to = cluster.instances[0].operator;
    let set = |values: Value| put(to, "/v1/settings/ireland", &json!({"values": values}));
    let (status, body) =
        set(json!({"max_queue": -1, "color": 3, "retry_budget": 2, "cross_zone": 1}));
    assert_eq!(status, 422);
    for key in ["max_queue", "color", "retry_budget", "cross_zone"] {
        assert!(body["keys"][key].is_string() && body["error"].as_str().unwrap().contains(key));
    }
    assert_eq!(set(json!(7)).0, 400);
    assert_eq!(put(to, "/v1/settings/a//b", &json!({"values": {}})).0, 400);
    assert_eq!(put(to, "/v1/settings/a", &json!({"values": {}, "change": "7"})).0, 400);
    assert_eq!(put(to, "/v1/settings/a", &json!({"values": {}, "base": -7})).0, 400);
    assert_eq!(get(to, "/v1/settings/ireland").unwrap().0, 404, "a rejected change sets no value");
    // A path inherits values, and `from` names the path that sets each value.
    let (status, body) = put(to, "/v1/settings/", &json!({"values": {"max_queue": 5}}));
    assert_eq!(status, 200, "{body}");
    let body = json!({"values": {"team_rate": 9}, "base": body["version"]});
    assert_eq!(put(to, "/v1/settings/ireland", &body).0, 200);
    assert_eq!(put(to, "/v1/settings/ireland", &body).0, 409, "the base version is outdated");
    assert_eq!(put(to, "/v1/settings/ireland/quotes", &json!({"values": {}})).0, 200);
    let (_, body) = get(to, "/v1/settings/ireland/quotes").unwrap();
    assert_eq!(
        (&body["values"]["max_queue"], &body["from"]["max_queue"]),
        (&json!(5), &json!("/"))
    );
    assert_eq!(
        (&body["values"]["team_rate"], &body["from"]["team_rate"]),
        (&json!(9), &json!("ireland"))
    );
    assert_eq!(body["from"]["max_tasks"], "default");
    // A null removes an override.
    assert_eq!(put(to, "/v1/settings/ireland", &json!({"values": {"team_rate": null}})).0, 200);
    let (_, body) = get(to, "/v1/settings/ireland/quotes").unwrap();
    assert_eq!(body["from"]["team_rate"], "default");
}

#[test]
fn bad_peers() {
    let (cluster, _upstream) = cluster();
    let text = std::fs::read_to_string(&cluster.instances[0].boot_file).unwrap();
    let boot: Value = serde_json::from_str(&text).unwrap();
    let peer: net::SocketAddr = boot["peer_address"].as_str().unwrap().parse().unwrap();
    let threads: Vec<_> = (0..8)
        .map(|_| {
            thread::spawn(move || {
                send_raw(peer, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\njunkjunkjunkjunk")
            })
        })
        .collect();
    for thread in threads {
        drop(thread.join());
    }
    let served = || cluster.submit(0, &job(&new_job_id("west"), 2, 2_000)).0 == 200;
    assert!(eventually(2_000, served));
}
