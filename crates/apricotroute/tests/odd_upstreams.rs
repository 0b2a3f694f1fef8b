//! Upstreams that answer late, twice, partially, for another task, or not at all.

mod harness;

use std::{
    collections,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net, sync, thread, time,
};

use harness::{
    Cluster, ClusterConfig, SERVICE, delete, eventually, get, job, new_job_id, post, sleep_ms,
};
use serde_json::{Value, json};

/// Handles the connection on which a fake upstream receives its task number `number`.
type Script = fn(number: usize, task: &str, stream: &mut net::TcpStream);

/// A fake upstream whose script writes raw bytes to the connection.
struct FakeUpstream {
    address: net::SocketAddr,
    received: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl FakeUpstream {
    fn start(script: Script) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = sync::Arc::<sync::Mutex<Vec<String>>>::default();
        let shared = sync::Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let received = sync::Arc::clone(&shared);
                thread::spawn(move || serve(stream.unwrap(), script, &received));
            }
        });
        Self { address, received }
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    fn announce(&self, cluster: &Cluster, name: &str, slots: u32) {
        self.announce_state(cluster, name, slots, "serving");
    }

    fn announce_state(&self, cluster: &Cluster, name: &str, slots: u32, state: &str) {
        let body = json!({"upstream": name, "service": SERVICE, "availability_zone": "west",
                          "address": self.address.to_string(), "slots": slots, "state": state});
        assert_eq!(post(cluster.instances[0].client, "/v1/upstreams", &body).0, 200);
    }
}

fn serve(mut stream: net::TcpStream, script: Script, received: &sync::Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let mut headers = collections::BTreeMap::new();
        let mut request_line = String::new();
        if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
            return;
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).unwrap();
            let Some((key, value)) = line.split_once(':') else {
                break;
            };
            headers.insert(key.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").map_or(0, |text| text.parse().unwrap());
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        let task =
            headers.get("task-id").cloned().unwrap_or_else(|| request_line.trim().to_owned());
        let number = {
            let mut received = received.lock().unwrap();
            received.push(task.clone());
            received.len()
        };
        script(number, &task, &mut stream);
    }
}

fn answer(stream: &mut net::TcpStream, body: &str) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    // The instance may have given up on the task and closed the connection.
    drop(stream.write_all(text.as_bytes()));
}

fn cluster() -> Cluster {
    let cluster = ClusterConfig::new(1).start();
    cluster.create_service();
    cluster
}

fn submit(cluster: &Cluster, tasks: usize, deadline_ms: u64) -> (String, u16, Value) {
    let id = new_job_id("west");
    let (status, body) = cluster.submit(0, &job(&id, tasks, deadline_ms));
    (id, status, body)
}

#[test]
fn late_and_disordered() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, task, stream| {
        // The first tasks answer last.
        let index: u64 = task.rsplit('/').next().unwrap().parse().unwrap_or(0);
        sleep_ms(400 - 40 * index);
        answer(stream, &format!("{{\"of\": \"{task}\"}}"));
    });
    fake.announce(&cluster, "u1", 10);
    let (id, status, body) = submit(&cluster, 8, 5_000);
    assert_eq!(status, 200, "{body}");
    for index in 0..8 {
        assert_eq!(body["answers"][index]["of"], format!("{id}/{index}"));
    }
}

#[test]
fn half_answer() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, _, stream| {
        drop(stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"half"));
        drop(stream.shutdown(net::Shutdown::Both));
    });
    fake.announce(&cluster, "u1", 4);
    let (id, status, body) = submit(&cluster, 2, 5_000);
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    assert!(body.get("answers").is_none());
    sleep_ms(300);
    let starts = fake.received().iter().filter(|task| task.starts_with(&id)).count();
    assert!(starts <= 2, "no task is retried: {:?}", fake.received());
}

#[test]
fn lost_after_request() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, _, stream| drop(stream.shutdown(net::Shutdown::Both)));
    fake.announce(&cluster, "u1", 4);
    let start = time::Instant::now();
    let (_, status, body) = submit(&cluster, 1, 10_000);
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    assert!(start.elapsed() < time::Duration::from_secs(2), "a failure is reported at once");
    assert_eq!(fake.received().len(), 1);
}

#[test]
fn answered_twice() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, task, stream| {
        answer(stream, &format!("{{\"of\": \"{task}\"}}"));
        answer(stream, "{\"of\": \"somebody else\"}");
    });
    fake.announce(&cluster, "u1", 1);
    for _ in 0..5 {
        let (id, status, body) = submit(&cluster, 3, 5_000);
        // A second response makes a connection unusable; no task may receive it as its own answer.
        if status == 200 {
            for index in 0..3 {
                assert_eq!(body["answers"][index]["of"], format!("{id}/{index}"));
            }
        } else {
            assert_eq!(body["state"], "failed", "{body}");
        }
    }
}

#[test]
fn refused_and_moved() {
    let cluster = cluster();
    let full = FakeUpstream::start(|_, _, stream| {
        let text = "HTTP/1.1 503 Full\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n";
        drop(stream.write_all(text.as_bytes()));
    });
    full.announce(&cluster, "u0", 8);
    // No process listens at this address, so connections are refused before any byte is written.
    let closed = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let body = json!({"upstream": "u1", "service": SERVICE, "availability_zone": "west",
                      "address": closed.to_string(), "slots": 8});
    assert_eq!(post(cluster.instances[0].client, "/v1/upstreams", &body).0, 200);
    let good = cluster.start_upstream("u2", "west", &[0], &["--service-ms", "20", "--slots", "4"]);
    cluster.wait_upstreams("west", 3);
    let (_, status, body) = submit(&cluster, 20, 2_500);
    assert_eq!(status, 200, "{body}");
    assert_eq!(good.starts().len(), 20);
}

#[test]
fn requests_retried() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|number, _, stream| {
        if number == 1 {
            drop(stream.write_all(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"));
        } else {
            answer(stream, "\"good\"");
        }
    });
    fake.announce(&cluster, "u1", 4);
    let path = format!("http://{}/v1/requests/{SERVICE}", cluster.instances[0].client);
    let response = ureq::post(&path).header("Idempotent", "true").send("x").unwrap();
    assert_eq!(response.into_body().read_to_string().unwrap(), "\"good\"");
    assert_eq!(fake.received().len(), 2, "an idempotent request is retried");
}

#[test]
fn requests_once() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, _, stream| {
        drop(stream.write_all(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"));
    });
    fake.announce(&cluster, "u1", 4);
    let path = format!("http://{}/v1/requests/{SERVICE}", cluster.instances[0].client);
    let id = new_job_id("west");
    for _ in 0..3 {
        let result = ureq::post(&path).header("Request-Id", &id).send("x");
        assert!(matches!(result, Err(ureq::Error::StatusCode(502))), "{result:?}");
    }
    assert_eq!(fake.received().len(), 1, "a request that is not idempotent is sent at most once");
}

#[test]
fn cancelled_job() {
    let cluster = cluster();
    let upstream = cluster.start_upstream("u1", "west", &[0], &["--mode", "hang", "--slots", "2"]);
    cluster.wait_upstreams("west", 1);
    let id = new_job_id("west");
    let (to, spec) = (cluster.instances[0].client, job(&id, 6, 20_000));
    let waiting = thread::spawn(move || post(to, "/v1/jobs", &spec));
    assert!(eventually(2_000, || upstream.starts().len() == 2));
    let (status, body) = get(to, &format!("/v1/jobs/{id}")).unwrap();
    assert_eq!((status, &body["state"]), (202, &json!("running")));
    assert_eq!(delete(to, &format!("/v1/jobs/{id}")).unwrap().0, 202);
    let (status, body) = waiting.join().unwrap();
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    sleep_ms(300);
    assert_eq!(upstream.starts().len(), 2, "the remaining tasks never start");
    let (status, body) = get(to, &format!("/v1/jobs/{id}")).unwrap();
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    // The slots are free again.
    let free = || cluster.status(0)["services"][0]["free"] == 2;
    assert!(eventually(2_000, free), "{}", cluster.status(0));
}

#[test]
fn past_deadline() {
    let cluster = cluster();
    let _upstream = cluster.start_upstream("u1", "west", &[0], &["--mode", "hang", "--slots", "2"]);
    cluster.wait_upstreams("west", 1);
    let start = time::Instant::now();
    let (_, status, body) = submit(&cluster, 2, 400);
    assert_eq!((status, &body["state"]), (504, &json!("failed")), "{body}");
    let elapsed = start.elapsed();
    assert!((380..900).contains(&elapsed.as_millis()), "{elapsed:?}");
}

#[test]
fn leaving_and_listening() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, _, stream| answer(stream, "1"));
    fake.announce(&cluster, "u1", 4);
    assert_eq!(submit(&cluster, 4, 2_000).1, 200);
    // The upstream announces that it is leaving, although it would still accept tasks.
    fake.announce_state(&cluster, "u1", 4, "leaving");
    let (_, status, body) = submit(&cluster, 4, 2_000);
    assert_eq!((status, &body["state"]), (503, &json!("not_run")), "{body}");
    assert_eq!(fake.received().len(), 4);
}

/// Guards against a copy of an announcement that its upstream has given up and followed by another
/// one: no task starts at an upstream that has said that it leaves, or has withdrawn.
#[test]
fn late_announcements() {
    let cluster = cluster();
    let fake = FakeUpstream::start(|_, _, stream| answer(stream, "1"));
    let announce = |number: u64, state: &str| {
        let body = json!({"upstream": "u1", "service": "polish-board", "availability_zone": "west",
            "address": fake.address, "slots": 4, "state": state, "number": number});
        assert_eq!(post(cluster.instances[0].client, "/v1/upstreams", &body).0, 200);
    };
    announce(5, "serving");
    assert_eq!(submit(&cluster, 4, 2_000).1, 200);
    announce(6, "leaving");
    announce(5, "serving");
    assert_eq!(submit(&cluster, 4, 2_000).1, 503, "after a late copy");
    announce(7, "serving");
    assert_eq!(submit(&cluster, 4, 2_000).1, 200);
    let gone = delete(cluster.instances[0].client, "/v1/upstreams/u1");
    assert_eq!(gone.map(|(status, _)| status), Some(200));
    announce(7, "serving");
    assert_eq!(submit(&cluster, 4, 2_000).1, 503, "after a copy from before the withdrawal");
    assert_eq!(fake.received().len(), 8);
}
