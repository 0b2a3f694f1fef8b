//! Many clients submit the same job to different instances at the same time.

mod harness;

use std::thread;

use harness::{ClusterConfig, check::Answers, job, new_job_id, sleep_ms};

const CLIENTS: usize = 100;
const TASKS: usize = 12;

#[test]
fn storm() {
    let cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let upstreams = [
        cluster.start_upstream("u1", "west", &[0], &["--service-ms", "100"]),
        cluster.start_upstream("u2", "west", &[1], &["--service-ms", "100"]),
    ];
    cluster.wait_upstreams("west", 2);
    let mut answers = Answers::default();
    for _ in 0..3 {
        let id = new_job_id("west");
        let spec = job(&id, TASKS, 10_000);
        let responses: Vec<_> = thread::scope(|scope| {
            let submit = |client: usize| {
                let (cluster, spec) = (&cluster, &spec);
                scope.spawn(move || cluster.submit(client % 3, spec))
            };
            let threads: Vec<_> = (0..CLIENTS).map(submit).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        for (status, body) in &responses {
            assert_eq!(*status, 200, "{body}");
            answers.record(&id, TASKS, body);
        }
    }
    answers.verify(&upstreams);
}

#[test]
fn storm_without_leader() {
    let mut cluster = ClusterConfig::new(3).start();
    cluster.create_service();
    let upstreams = [cluster.start_upstream("u1", "west", &[0, 1, 2], &["--service-ms", "100"])];
    cluster.wait_upstreams("west", 1);
    let leader = cluster.leader("journal west").unwrap();
    let others: Vec<_> = (0..3).filter(|at| *at != leader).collect();
    let id = new_job_id("west");
    let spec = job(&id, TASKS, 10_000);
    cluster.kill(leader);
    sleep_ms(50);
    let responses: Vec<_> = thread::scope(|scope| {
        let submit = |client: usize| {
            let (cluster, spec, at) = (&cluster, &spec, others[client % 2]);
            scope.spawn(move || cluster.submit(at, spec))
        };
        let threads: Vec<_> = (0..CLIENTS).map(submit).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let mut answers = Answers::default();
    for (status, body) in &responses {
        assert_eq!(*status, 200, "{body}");
        answers.record(&id, TASKS, body);
    }
    answers.verify(&upstreams);
}
