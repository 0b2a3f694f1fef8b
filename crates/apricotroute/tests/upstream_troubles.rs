//! Real instances with upstreams that a task crashes, or whose capacity changes while they run.

mod system;

use std::{net, thread, time::Duration};

use serde_json::{Value, json};
use system::{System, config, job, wait_until};

const KEEPERS: usize = 3;
/// Index of the entry, which follows the keepers.
const ENTRY: usize = KEEPERS;
/// Number of upstreams at the start; each has room for two tasks.
const UPSTREAMS: usize = 4;

/// Starts a system of one zone and waits until it serves jobs; `subnet` distinguishes the systems
/// of this file.
fn system(subnet: u8) -> System {
    let mut system =
        System::new(system::Layout { subnet, zones: vec![(KEEPERS, 1)], has_relays: false });
    for at in 0..UPSTREAMS {
        system.add_upstream(&format!("i-{at}"), 0, None);
    }
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    wait_until("all upstreams are known", || system.submit(ENTRY, &id(0), 8).0 == 200);
    system
}

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// Submits a job from another thread, with a client that waits for 20 s; the thread returns the
/// status and the body of the response.
fn submit(url: String, job: Value) -> thread::JoinHandle<(u16, Value)> {
    thread::spawn(move || {
        let body = job.to_string();
        let timeout = Some(Duration::from_secs(20));
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(timeout)
            .build()
            .into();
        let request = agent.post(&url).header("Host", system::HOST);
        let request = request.header("Apricotroute-Deadline-Ms", "20000");
        let mut response = request.send(body).unwrap();
        let text = response.body_mut().read_to_string().unwrap();
        (response.status().as_u16(), serde_json::from_str(&text).unwrap_or_default())
    })
}

/// A task crashes each upstream that starts it. After three starts at most the scheduler gives the
/// task up and its client gets the state `failed`, while the jobs that ran beside it complete.
#[test]
fn fatal_task() {
    let mut system = system(1);
    let mut fatal = job(1);
    fatal["Spec"] = json!(platform::standin::FATAL);
    let url = |number: usize| format!("http://{}/board/{}", system.client(ENTRY), id(number));
    let answer = submit(url(1_000), fatal);
    let others: Vec<_> = (1..40)
        .map(|number| {
            thread::sleep(Duration::from_millis(20));
            submit(url(number), job(1))
        })
        .collect();
    for _ in 0..200 {
        if answer.is_finished() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
        for at in 0..system.upstreams.len() {
            let address = system.upstreams[at].address();
            let same_address = system.upstreams.iter().filter(|other| other.address() == address);
            if system.upstreams[at].has_crashed() && same_address.count() == 1 {
                system.upstreams[at].crash();
                let address = free_address(&system.upstreams[at]);
                system.add_upstream(&format!("j-{at}"), 0, Some(address));
            }
        }
    }
    let name = format!("{}.0.0.0", id(1_000));
    let is_fatal = |run: &platform::standin::RunRecord| run.task == name;
    let starts: usize = system
        .upstreams
        .iter()
        .map(|up| up.history().iter().filter(|run| is_fatal(run)).count())
        .sum();
    assert!((2..=3).contains(&starts), "the task started {starts} times");
    assert_eq!(answer.join().unwrap(), (200, json!({"State": "failed"})));
    for other in others {
        assert_eq!(other.join().unwrap(), (200, json!({"State": "completed"})));
    }
}

/// Returns the address of an upstream that has crashed, once another one can listen there.
fn free_address(upstream: &platform::standin::Standin) -> net::SocketAddr {
    let address = upstream.address();
    // The listener of the crashed upstream closes on another thread.
    wait_until("the address of the crashed upstream is free", || {
        net::TcpListener::bind(address).is_ok()
    });
    address
}

/// Upstreams crash and start again under their ids, at once, with start times that rise or fall:
/// what ran there starts elsewhere, and the new incarnations get tasks.
#[test]
fn restarted_ids() {
    const BORN: u64 = 1_800_000_000_000;
    let layout = system::Layout { subnet: 3, zones: vec![(KEEPERS, 1)], has_relays: false };
    let mut system = System::new(layout);
    for at in 0..UPSTREAMS {
        system.add_incarnation(&format!("i-{at}"), 0, None, Some(BORN));
    }
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    wait_until("all upstreams are known", || system.submit(ENTRY, &id(0), 8).0 == 200);
    let url = |number: usize| format!("http://{}/board/{}", system.client(ENTRY), id(number));
    let mut answers: Vec<_> = (1..5).map(|number| submit(url(number), job(2))).collect();
    thread::sleep(Duration::from_millis(50));
    for (at, born) in [(0, BORN + 1), (1, BORN - 60_000)] {
        system.upstreams[at].crash();
        let address = free_address(&system.upstreams[at]);
        system.add_incarnation(&format!("i-{at}"), 0, Some(address), Some(born));
    }
    for number in 5..60 {
        thread::sleep(Duration::from_millis(50));
        let url = format!("http://{}/board/{}", system.client(ENTRY), id(number));
        answers.push(submit(url, job(2)));
    }
    for answer in answers {
        assert_eq!(answer.join().unwrap(), (200, json!({"State": "completed"})));
    }
    for upstream in &system.upstreams[UPSTREAMS..] {
        assert!(upstream.start_counts().0 > 0, "a new incarnation got no task");
    }
    let runs = || system.upstreams.iter().flat_map(platform::standin::Standin::history);
    for run in runs() {
        let ended = |run: &platform::standin::RunRecord| run.ended.map(|(at, _)| at);
        let overlaps = |other: &platform::standin::RunRecord| {
            other.task == run.task
                && other.began > run.began
                && ended(&run).is_none_or(|end| other.began < end)
        };
        assert!(!runs().any(|other| overlaps(&other)), "{} runs twice at a time", run.task);
    }
}

/// Upstreams that start tasks even without room shrink to the capacity for one task, and grow
/// again; the scheduler never sends them more tasks than they have room for.
#[test]
fn room_shrinks() {
    let system = system(2);
    for upstream in &system.upstreams {
        upstream.disable_checks();
        upstream.set_capacity(system::TASK_CPU);
    }
    // Each upstream reports its capacity every 300 ms.
    thread::sleep(Duration::from_secs(1));
    let excess_starts =
        || system.upstreams.iter().map(platform::standin::Standin::excess_starts).sum::<u64>();
    let before = excess_starts();
    let url = |number: usize| format!("http://{}/board/{}", system.client(ENTRY), id(number));
    // The jobs are five eighths of the load that four upstreams with room for one task each can
    // handle.
    let jobs: Vec<_> = (1..20)
        .map(|number| {
            thread::sleep(Duration::from_millis(80));
            submit(url(number), job(2))
        })
        .collect();
    for answer in jobs {
        assert_eq!(answer.join().unwrap(), (200, json!({"State": "completed"})));
    }
    assert_eq!(excess_starts(), before, "tasks that exceed the capacity of their upstream");
    for upstream in &system.upstreams {
        upstream.set_capacity(2 * system::TASK_CPU);
    }
    thread::sleep(Duration::from_secs(1));
    assert_eq!(submit(url(20), job(8)).join().unwrap(), (200, json!({"State": "completed"})));
    assert_eq!(excess_starts(), before, "tasks that exceed the capacity of their upstream");
}
