//! How jobs in progress end other than by their tasks: every client gets a clear answer, and nothing
//! of a job starts after that.

mod system;

use std::{
    thread,
    time::{Duration, Instant},
};

use platform::standin::Behavior;
use serde_json::{Value, json};
use system::{System, agent, config, job, wait_until};

const KEEPERS: usize = 3;
/// The grace period of the instances, milliseconds.
const GRACE: u64 = 2_000;

/// Starts one zone with three keepers and two entries, whose upstreams finish no task; each system
/// of this file needs its own `subnet`.
fn hanging_system(subnet: u8) -> System {
    let layout = system::Layout { subnet, zones: vec![(KEEPERS, 2)], has_relays: false };
    let sizes = vec![json!({"grace_ms": GRACE})];
    let mut system = System::with_sizes(layout, sizes);
    for at in 0..2 {
        system.add_upstream(&format!("i-{at}"), 0, None);
        system.upstreams[at].set_behavior(Behavior::Hanging);
    }
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    system
}

type Client = thread::JoinHandle<((u16, Value), Instant)>;

/// Submits a job of `count` tasks and waits until one of them runs.
fn submit(system: &System, entry: usize, id: &str, count: u32) -> Client {
    let url = format!("http://{}/board/{id}", system.client(entry));
    let client = thread::spawn(move || {
        let answer = system::call(&agent(), "POST", &url, job(count).to_string().as_bytes());
        (answer, Instant::now())
    });
    wait_until("a task runs", || system.upstreams.iter().any(|upstream| runs_of(upstream, id) > 0));
    client
}

fn runs_of(upstream: &platform::standin::Standin, id: &str) -> usize {
    let history = upstream.history();
    history.iter().filter(|run| run.task.starts_with(id) && run.ended.is_none()).count()
}

#[test]
fn entry_ends() {
    let mut system = hanging_system(1);
    let clients: Vec<_> =
        (0..3).map(|number| submit(&system, KEEPERS, &format!("{number:016x}"), 1)).collect();
    let signalled = Instant::now();
    system.signal(KEEPERS, "-TERM");
    thread::sleep(Duration::from_millis(300));
    // A second signal changes nothing.
    system.signal(KEEPERS, "-TERM");
    for client in clients {
        let ((status, body), at) = client.join().unwrap();
        assert_eq!(status, 504, "{body}");
        let waited = at.duration_since(signalled);
        assert!(waited > Duration::from_millis(GRACE / 2), "tasks go on at first: {waited:?}");
        assert!(waited < Duration::from_millis(GRACE), "{waited:?}");
    }
    let mut child = system.instances[KEEPERS].child.take().unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(signalled.elapsed() < Duration::from_millis(GRACE + 500), "{:?}", signalled.elapsed());
    wait_until("no task of these jobs runs", || {
        (0..3).all(|number| {
            let id = format!("{number:016x}");
            system.upstreams.iter().all(|upstream| runs_of(upstream, &id) == 0)
        })
    });
}

fn delete(system: &System, entry: usize, id: &str) -> (u16, Value) {
    let url = format!("http://{}/board/{id}", system.client(entry));
    system::call(&agent(), "DELETE", &url, b"")
}

fn check_stopped(system: &System, id: &str) {
    wait_until("no task of the job runs", || {
        system.upstreams.iter().all(|upstream| runs_of(upstream, id) == 0)
    });
    let count = || system.upstreams.iter().map(|upstream| upstream.history().len()).sum::<usize>();
    let before = count();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(count(), before, "nothing starts later");
}

#[test]
fn job_cancelled() {
    let system = hanging_system(2);
    let cancelled = (200, json!({"State": "cancelled"}));
    // The first job fits into one upstream, the second one needs both.
    for (id, count) in [("00000000000000c1", 1), ("00000000000000c2", 8)] {
        let client = submit(&system, KEEPERS, id, count);
        assert_eq!(delete(&system, KEEPERS, id), cancelled);
        assert_eq!(client.join().unwrap().0, cancelled);
        assert_eq!(delete(&system, KEEPERS, id).0, 410);
        check_stopped(&system, id);
    }
    let id = "00000000000000c3";
    let client = submit(&system, KEEPERS, id, 1);
    assert_eq!(delete(&system, KEEPERS + 1, id).0, 410, "the other entry does not hold the job");
    assert_eq!(client.join().unwrap().0, cancelled);
    check_stopped(&system, id);
    assert_eq!(delete(&system, KEEPERS, "00000000000000c4").0, 410, "no such job");
}
