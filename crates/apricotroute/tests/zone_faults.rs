//! Whole zones that lose their in-memory state in a restart, or that are cut off from the other
//! zones.

mod harness;

use std::time;

use harness::{ClusterConfig, check::Answers, eventually, job, new_job_id, sleep_ms};
use serde_json::json;

#[test]
fn memory_lost() {
    let mut cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let upstreams = [cluster.start_upstream("u1", "west", &[0, 1, 2], &[])];
    cluster.wait_upstreams("west", 1);
    let mut answers = Answers::default();
    let id = new_job_id("west");
    let (status, body) = cluster.submit(0, &job(&id, 4, 10_000));
    assert_eq!(status, 200, "{body}");
    answers.record(&id, 4, &body);
    let unused = new_job_id("west");
    for at in 0..3 {
        cluster.kill(at);
    }
    for at in 0..3 {
        cluster.start(at);
    }
    cluster.wait_ready();
    cluster.wait_upstreams("west", 1);
    // Neither the job that already ran nor a job with an unused id of the same age runs.
    for id in [&id, &unused] {
        for at in 0..3 {
            let (status, body) = cluster.submit(at, &job(id, 4, 10_000));
            assert_eq!((status, &body["state"]), (503, &json!("unknown")), "{body}");
        }
    }
    assert_eq!(upstreams[0].starts().len(), 4);
    let fresh = new_job_id("west");
    let (status, body) = cluster.submit(1, &job(&fresh, 4, 10_000));
    assert_eq!(status, 200, "{body}");
    answers.record(&fresh, 4, &body);
    answers.verify(&upstreams);
}

#[test]
fn cut_off() {
    let cluster = ClusterConfig::with_zones(&[("west", 2), ("mid", 2), ("east", 3)]).start();
    cluster.create_service();
    let upstreams = [
        cluster.start_upstream("u1", "west", &[0, 1], &[]),
        cluster.start_upstream("u2", "mid", &[2, 3], &[]),
    ];
    cluster.wait_upstreams("west", 1);
    cluster.wait_upstreams("mid", 1);
    let mut answers = Answers::default();
    // An instance of another zone forwards a job to the job's home zone.
    let id = new_job_id("west");
    let (status, body) = cluster.submit(5, &job(&id, 3, 10_000));
    assert_eq!(status, 200, "{body}");
    answers.record(&id, 3, &body);

    cluster.set_isolated(&[0, 1], true);
    sleep_ms(2_500);
    // The isolated zone still runs its own jobs, at both of its instances.
    for at in [0, 1] {
        let id = new_job_id("west");
        let submit = || cluster.submit(at, &job(&id, 3, 5_000));
        let (status, body) = submit();
        assert_eq!(status, 200, "{body}");
        answers.record(&id, 3, &body);
    }
    // No instance of another zone knows the state of the isolated zone's jobs, and the other zones
    // still run their own.
    let isolated = new_job_id("west");
    let start = time::Instant::now();
    let (status, body) = cluster.submit(2, &job(&isolated, 3, 5_000));
    assert_eq!((status, &body["state"]), (503, &json!("unknown")), "{body}");
    assert!(start.elapsed() < time::Duration::from_millis(2_500), "{:?}", start.elapsed());
    let id = new_job_id("mid");
    let (status, body) = cluster.submit(3, &job(&id, 3, 5_000));
    assert_eq!(status, 200, "{body}");
    answers.record(&id, 3, &body);

    // The majority still accepts settings changes; the isolated zone answers them with `unknown`.
    let (status, body) =
        cluster.change_settings(2, "ireland", &json!({"values": {"max_queue": 7}}));
    assert_eq!(status, 200, "{body}");
    let version = body["version"].as_u64().unwrap();
    let (status, body) =
        cluster.change_settings(1, "ireland", &json!({"values": {"max_queue": 8}}));
    assert_eq!((status, &body["state"]), (503, &json!("unknown")), "{body}");
    let (_, before) = harness::get(cluster.instances[0].operator, "/v1/settings/").unwrap();
    assert!(before["version"].as_u64().unwrap() < version);

    cluster.set_isolated(&[0, 1], false);
    cluster.wait_version(version);
    let healed = || cluster.submit(5, &job(&new_job_id("west"), 2, 5_000)).0 == 200;
    assert!(eventually(8_000, healed));
    answers.verify(&upstreams);
}

#[test]
fn served_abroad() {
    // The home zone has no upstream: if the settings allow it, another zone runs the job, once.
    let cluster = ClusterConfig::with_zones(&[("west", 2), ("mid", 1)]).start();
    cluster.create_service();
    let upstreams = [cluster.start_upstream("u1", "mid", &[2], &[])];
    cluster.wait_upstreams("mid", 1);
    let (status, body) = cluster.submit(0, &job(&new_job_id("west"), 3, 3_000));
    assert_eq!((status, &body["state"]), (503, &json!("not_run")), "{body}");
    let allow = json!({"values": {"cross_zone": true}});
    let (_, body) = cluster.change_settings(0, harness::SERVICE, &allow);
    cluster.wait_version(body["version"].as_u64().unwrap());
    let mut answers = Answers::default();
    for at in [0, 1] {
        let id = new_job_id("west");
        let spec = job(&id, 3, 5_000);
        for again in [at, 1 - at] {
            let (status, body) = cluster.submit(again, &spec);
            assert_eq!(status, 200, "{body}");
            answers.record(&id, 3, &body);
        }
    }
    assert_eq!(upstreams[0].starts().len(), 6);
    answers.verify(&upstreams);
    // When the zone that runs the job becomes unreachable, no task is run again.
    let id = new_job_id("west");
    cluster.set_isolated(&[2], true);
    let (status, body) = cluster.submit(0, &job(&id, 3, 4_000));
    assert!(matches!(status, 502..=504), "{body}");
    answers.record(&id, 3, &body);
    cluster.set_isolated(&[2], false);
    sleep_ms(1_500);
    answers.verify(&upstreams);
}

#[test]
fn restarted_while_cut() {
    // An instance without a disk restarts while its zone has no voter of the settings group.
    let mut cluster = ClusterConfig::with_zones(&[("mid", 1), ("west", 3)]).with_disks(1).start();
    cluster.create_service();
    let _upstream = cluster.start_upstream("u1", "west", &[1, 2], &[]);
    cluster.wait_upstreams("west", 1);
    // Only mid-1 and west-1 have disks, so that mid-1 is the only voter.
    cluster.set_isolated(&[0], true);
    cluster.kill(3);
    cluster.start(3);
    let ready =
        || harness::get(cluster.instances[3].operator, "/readyz").is_some_and(|r| r.0 == 200);
    assert!(eventually(10_000, ready));
    let served = || cluster.submit(3, &job(&new_job_id("west"), 2, 3_000)).0 == 200;
    assert!(eventually(3_000, served));
    cluster.set_isolated(&[0], false);
    let (status, body) =
        cluster.change_settings(1, "ireland", &json!({"values": {"max_queue": 7}}));
    assert_eq!(status, 200, "{body}");
    cluster.wait_version(2);
}

#[test]
fn one_of_two() {
    // A zone of two instances survives the loss of either, because another zone has a witness.
    for lost in [0, 1] {
        let mut cluster = ClusterConfig::with_zones(&[("west", 2), ("mid", 1)]).start();
        cluster.create_service();
        let upstreams = [cluster.start_upstream("u1", "west", &[1 - lost], &[])];
        cluster.wait_upstreams("west", 1);
        cluster.kill(lost);
        let mut answers = Answers::default();
        let id = new_job_id("west");
        let (status, body) = cluster.submit(1 - lost, &job(&id, 3, 8_000));
        assert_eq!(status, 200, "{body}");
        answers.record(&id, 3, &body);
        answers.verify(&upstreams);
    }
}

#[test]
fn abroad_from_anywhere() {
    // Zones large enough to need no witness have no steady traffic between them.
    let cluster = ClusterConfig::with_zones(&[("west", 3), ("mid", 3)]).start();
    let allow = json!({"values": {"cross_zone": true}});
    let (status, body) = cluster.change_settings(0, harness::SERVICE, &allow);
    assert_eq!(status, 200, "{body}");
    cluster.wait_version(1);
    // The leader of the settings group receives messages from all instances; the other five do not.
    let _upstream = cluster.start_upstream("u1", "west", &[0, 1, 2], &[]);
    cluster.wait_upstreams("west", 1);
    sleep_ms(3_000);
    for at in 3..6 {
        let (status, body) = cluster.submit(at, &job(&new_job_id("mid"), 2, 5_000));
        assert_eq!(status, 200, "at {at}: {body}");
    }
}
