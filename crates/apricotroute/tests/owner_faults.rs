//! The instance that owns a job is killed, suspended or isolated.

mod harness;

use std::thread;

use harness::{
    Cluster, ClusterConfig, check::Answers, eventually, job, new_job_id, sleep_ms,
    upstream::Process,
};
use serde_json::{Value, json};

const TASKS: usize = 40;

fn cluster() -> (Cluster, Vec<Process>) {
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let arguments = ["--service-ms", "300", "--slots", "4"];
    let upstreams = vec![
        cluster.start_upstream("u1", "west", &[0, 1, 2], &arguments),
        cluster.start_upstream("u2", "west", &[1, 2, 0], &arguments),
    ];
    cluster.wait_upstreams("west", 2);
    (cluster, upstreams)
}

fn start_count(upstreams: &[Process]) -> usize {
    upstreams.iter().map(|upstream| upstream.starts().len()).sum()
}

/// Submits a job from another thread, since the instance may never answer.
fn spawn_submit(cluster: &Cluster, at: usize, spec: &Value) -> thread::JoinHandle<(u16, Value)> {
    let (to, spec) = (cluster.instances[at].client, spec.clone());
    thread::spawn(move || harness::post(to, "/v1/jobs", &spec))
}

#[test]
fn killed_midway() {
    let (mut cluster, upstreams) = cluster();
    let mut answers = Answers::default();
    let id = new_job_id("west");
    let spec = job(&id, TASKS, 20_000);
    let first = spawn_submit(&cluster, 0, &spec);
    assert!(eventually(3_000, || start_count(&upstreams) > 4));
    cluster.kill(0);
    assert_eq!(first.join().unwrap().0, 0, "the connection is closed without a response");
    // At both other instances, at once and later, the job has failed, and none of its tasks starts
    // again.
    let again = spawn_submit(&cluster, 1, &spec);
    let (status, body) = cluster.submit(2, &spec);
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    answers.record(&id, TASKS, &body);
    let (status, body) = again.join().unwrap();
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    let before = start_count(&upstreams);
    sleep_ms(1_000);
    assert_eq!(start_count(&upstreams), before);
    assert!(before < TASKS);
    answers.verify(&upstreams);
    // The zone still runs new jobs.
    let id = new_job_id("west");
    let (status, body) = cluster.submit(1, &job(&id, 6, 10_000));
    assert_eq!(status, 200, "{body}");
}

#[test]
fn killed_afterwards() {
    let (mut cluster, upstreams) = cluster();
    let id = new_job_id("west");
    let spec = job(&id, 6, 20_000);
    let (status, first) = cluster.submit(0, &spec);
    assert_eq!(status, 200, "{first}");
    cluster.kill(0);
    let mut answers = Answers::default();
    for at in [1, 2] {
        let (status, again) = cluster.submit(at, &spec);
        assert_eq!(status, 200, "{again}");
        assert_eq!(again["answers"], first["answers"]);
        answers.record(&id, 6, &again);
    }
    answers.verify(&upstreams);
}

#[test]
fn killed_at_once() {
    let (mut cluster, upstreams) = cluster();
    let mut answers = Answers::default();
    // The owner is killed around the admission of the job: before the admission, during it, and
    // before the first task starts.
    for wait in [0, 1, 2, 4, 8] {
        let id = new_job_id("west");
        let spec = job(&id, 4, 10_000);
        let first = spawn_submit(&cluster, 0, &spec);
        sleep_ms(wait);
        cluster.kill(0);
        answers.record(&id, 4, &first.join().unwrap().1);
        let (status, body) = cluster.submit(1, &spec);
        assert!(matches!(status, 200 | 502), "{body}");
        answers.record(&id, 4, &body);
        cluster.start(0);
        cluster.wait_ready();
        cluster.wait_upstreams("west", 2);
    }
    answers.verify(&upstreams);
}

#[test]
fn frozen_and_woken() {
    let (cluster, upstreams) = cluster();
    let mut answers = Answers::default();
    let id = new_job_id("west");
    let spec = job(&id, TASKS, 20_000);
    let first = spawn_submit(&cluster, 0, &spec);
    assert!(eventually(3_000, || start_count(&upstreams) > 4));
    cluster.signal(0, "-STOP");
    // The owner stays suspended for longer than every lease.
    let (status, body) = cluster.submit(1, &spec);
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    answers.record(&id, TASKS, &body);
    sleep_ms(1_000);
    let before = start_count(&upstreams);
    cluster.signal(0, "-CONT");
    let (status, body) = first.join().unwrap();
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    answers.record(&id, TASKS, &body);
    sleep_ms(1_000);
    assert_eq!(start_count(&upstreams), before, "the resumed owner starts no task");
    answers.verify(&upstreams);
    cluster.wait_ready();
    let rejoined = || {
        let status = cluster.status(1);
        status["members"].as_array().is_some_and(|members| members.len() == 3)
    };
    assert!(eventually(5_000, rejoined));
    let id = new_job_id("west");
    let (status, body) = cluster.submit(0, &job(&id, 6, 10_000));
    assert_eq!(status, 200, "{body}");
}

#[test]
fn isolated_silently() {
    let (cluster, upstreams) = cluster();
    let mut answers = Answers::default();
    let id = new_job_id("west");
    let spec = job(&id, TASKS, 15_000);
    let first = spawn_submit(&cluster, 0, &spec);
    assert!(eventually(3_000, || start_count(&upstreams) > 4));
    cluster.set_isolated(&[0], true);
    let (status, body) = cluster.submit(1, &spec);
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    answers.record(&id, TASKS, &body);
    let job_starts = || -> usize {
        let count = |u: &Process| u.starts().iter().filter(|task| task.starts_with(&id)).count();
        upstreams.iter().map(count).sum()
    };
    let before = job_starts();
    assert!(before < TASKS);
    sleep_ms(1_000);
    assert_eq!(job_starts(), before, "the isolated owner stopped by its own clock");
    // The isolated instance answers new jobs with `unknown` and serves idempotent requests.
    let other = new_job_id("west");
    let (status, body) = cluster.submit(0, &job(&other, 2, 6_000));
    assert_eq!((status, &body["state"]), (503, &json!("unknown")), "{body}");
    let path = format!("http://{}/v1/requests/{}", cluster.instances[0].client, harness::SERVICE);
    let served = || {
        let request = ureq::post(&path).header("Idempotent", "true");
        request.send("x").is_ok_and(|response| response.headers()["state"] == "complete")
    };
    assert!(eventually(5_000, served));
    cluster.set_isolated(&[0], false);
    let (_, body) = first.join().unwrap();
    assert!(matches!(body["state"].as_str(), Some("failed" | "unknown")), "{body}");
    answers.record(&id, TASKS, &body);
    assert_eq!(job_starts(), before);
    answers.verify(&upstreams);
}

#[test]
fn heard_one_way() {
    // The owner receives messages from the other instances, but they receive none from it.
    let (cluster, upstreams) = cluster();
    let mut answers = Answers::default();
    let id = new_job_id("west");
    let spec = job(&id, TASKS, 15_000);
    let first = spawn_submit(&cluster, 0, &spec);
    assert!(eventually(3_000, || start_count(&upstreams) > 4));
    cluster.set_cut(&[0], &[1, 2], true);
    let (status, body) = cluster.submit(1, &spec);
    assert_eq!((status, &body["state"]), (502, &json!("failed")), "{body}");
    answers.record(&id, TASKS, &body);
    let before = start_count(&upstreams);
    sleep_ms(1_500);
    assert_eq!(start_count(&upstreams), before);
    cluster.set_cut(&[0], &[1, 2], false);
    let (_, body) = first.join().unwrap();
    assert!(matches!(body["state"].as_str(), Some("failed" | "unknown")), "{body}");
    answers.record(&id, TASKS, &body);
    answers.verify(&upstreams);
}
