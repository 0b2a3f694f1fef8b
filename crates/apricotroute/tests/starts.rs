//! Instances that start while one of them does not run or is not reached.
//!
//! An instance had stood for 20 s without a group and without a log line, so that nobody could tell
//! a process that did not run from one that was not reached.

mod harness;

use std::{fs, net};

use harness::{Cluster, ClusterConfig, eventually, get, sleep_ms};

/// Time within which an instance is ready once nothing keeps it from running, milliseconds.
const READY_LIMIT: u64 = 5_000;

fn log(cluster: &Cluster, at: usize) -> String {
    let name = &cluster.instances[at].name;
    fs::read_to_string(cluster.dir.path().join(format!("{name}.log"))).unwrap()
}

fn is_ready(cluster: &Cluster, at: usize) -> bool {
    get(cluster.instances[at].operator, "/readyz").is_some_and(|(status, _)| status == 200)
}

#[test]
fn stopped() {
    let mut cluster = ClusterConfig::new(3).build();
    (0..3).for_each(|at| cluster.start(at));
    let operator = cluster.instances[1].operator;
    assert!(eventually(20_000, || net::TcpStream::connect(operator).is_ok()));
    cluster.signal(1, "-STOP");
    assert!(eventually(20_000, || is_ready(&cluster, 0) && is_ready(&cluster, 2)));
    sleep_ms(1_000);
    cluster.signal(1, "-CONT");
    assert!(eventually(READY_LIMIT, || is_ready(&cluster, 1)), "{}", log(&cluster, 1));
    assert!(log(&cluster, 1).contains("control: Resumed after a stop."), "{}", log(&cluster, 1));
}

#[test]
fn not_reached() {
    let mut cluster = ClusterConfig::new(3).build();
    cluster.set_cut(&[0, 2], &[1], true);
    (0..3).for_each(|at| cluster.start(at));
    assert!(eventually(20_000, || is_ready(&cluster, 0) && is_ready(&cluster, 2)));
    let explains = || log(&cluster, 1).contains("silent: [west-1 west-3]");
    assert!(eventually(10_000, explains), "{}", log(&cluster, 1));
    assert!(!is_ready(&cluster, 1));
    cluster.set_cut(&[0, 2], &[1], false);
    assert!(eventually(READY_LIMIT, || is_ready(&cluster, 1)), "{}", log(&cluster, 1));
}

#[test]
fn alone() {
    let mut cluster = ClusterConfig::new(3).build();
    cluster.start(0);
    let explains = || log(&cluster, 0).contains("silent: [west-2 west-3]");
    assert!(eventually(20_000, explains), "{}", log(&cluster, 0));
    assert!(!is_ready(&cluster, 0));
    cluster.start(1);
    assert!(eventually(READY_LIMIT, || is_ready(&cluster, 0) && is_ready(&cluster, 1)));
}
