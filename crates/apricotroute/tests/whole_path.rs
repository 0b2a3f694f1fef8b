//! A job from its submission to its complete answer, across separate processes.

mod harness;

use harness::{
    ClusterConfig, SERVICE, check::Answers, eventually, job, new_job_id, post, sleep_ms,
};
use serde_json::json;

#[test]
fn large_job() {
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let upstreams = [
        cluster.start_upstream("u1", "west", &[0], &[]),
        cluster.start_upstream("u2", "west", &[1], &[]),
    ];
    cluster.wait_upstreams("west", 2);

    let id = new_job_id("west");
    let spec = job(&id, 220, 20_000);
    let (status, first) = cluster.submit(0, &spec);
    assert_eq!((status, &first["state"]), (200, &json!("complete")), "{first}");
    let mut answers = Answers::default();
    answers.record(&id, 220, &first);

    // The same id at another instance gets the same answer, and no task starts a second time.
    for at in [1, 2, 0] {
        let (status, again) = cluster.submit(at, &spec);
        assert_eq!(status, 200, "{again}");
        assert_eq!(again["answers"], first["answers"]);
        answers.record(&id, 220, &again);
    }
    let starts: usize = upstreams.iter().map(|upstream| upstream.starts().len()).sum();
    assert_eq!(starts, 220);
    answers.verify(&upstreams);

    // Different content under the same id is a conflict.
    let (status, body) = cluster.submit(1, &job(&id, 3, 20_000));
    assert_eq!((status, &body["state"]), (409, &json!("not_run")), "{body}");
}

#[test]
fn no_deadline() {
    // A job without a deadline gets the deadline of its service, also when a client submits it
    // again.
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let upstream = cluster.start_upstream("u1", "west", &[0], &["--service-ms", "2500"]);
    cluster.wait_upstreams("west", 1);
    let id = new_job_id("west");
    let mut spec = job(&id, 2, 1);
    spec.as_object_mut().unwrap().remove("deadline_ms");
    let (to, first) = (cluster.instances[0].client, spec.clone());
    let first = std::thread::spawn(move || post(to, "/v1/jobs", &first));
    assert!(eventually(2_000, || upstream.starts().len() == 2));
    // The pause lets every instance receive the journal entry of the job.
    sleep_ms(400);
    let (status, body) = cluster.submit(1, &spec);
    assert_eq!(status, 200, "{body}");
    assert_eq!(first.join().unwrap(), (200, body));
}

#[test]
fn all_requests() {
    let cluster = ClusterConfig::new(1).start();
    cluster.create_service();
    let _upstream = cluster.start_upstream("u1", "west", &[0], &[]);
    cluster.wait_upstreams("west", 1);
    let to = cluster.instances[0].client;
    for idempotent in ["true", "false"] {
        let response = ureq::post(format!("http://{to}/v1/requests/{SERVICE}"))
            .header("Content-Type", "text/plain")
            .header("Idempotent", idempotent)
            .send("price: 7")
            .unwrap();
        assert_eq!(response.headers()["state"], "complete");
        assert_eq!(response.headers()["content-type"], "text/plain");
        assert_eq!(response.into_body().read_to_string().unwrap(), "price: 7");
    }
    let (status, body) = post(to, "/v1/requests/nowhere", &json!(1));
    assert_eq!((status, &body["state"]), (404, &json!("not_run")));
}
