//! Tests with real processes that an entry that resumes after a stop serves no request by the
//! configuration that it had before.

mod system;

use std::{sync::atomic, thread, time::Duration};

use serde_json::json;
use system::{System, agent, config, wait_until};

/// Index of the entry that is stopped.
const ENTRY: usize = 4;
/// Number of routes besides those that are requested.
const OTHER_ROUTES: usize = 1_000;
/// Number of clients that send requests while the entry resumes, each at its own moment.
const REQUESTS: u32 = 100;
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn system(subnet: u8) -> System {
    let mut system =
        System::new(system::Layout { subnet, zones: vec![(2, 0), (1, 2)], has_relays: false });
    for at in 0..2 {
        system.add_upstream(&format!("i-{at}"), at, None);
    }
    system
}

/// Submits a job of one task to the entry by the route with this prefix; returns the status.
fn submit(system: &System, prefix: &str, id: u64) -> u16 {
    let url = format!("http://{}{prefix}{id:016x}", system.client(ENTRY));
    system::call(&agent(), "POST", &url, system::job(1).to_string().as_bytes()).0
}

/// Guards against a dropped route that is served, and an added one that is not found, in the first
/// moments after a stop during which the configuration changed.
#[test]
fn routes_changed() {
    let system = system(86);
    let mut former = config(3);
    former["Routes"] = json!([system::route("r", "/board/"), system::route("old", "/old/")]);
    wait_until("a keeper accepts the configuration", || system.publish(0, &former) == 200);
    system.wait_ready();
    wait_until("both routes are served", || {
        submit(&system, "/board/", 1) == 200 && submit(&system, "/old/", 2) == 200
    });
    for round in 0..3 {
        system.signal(ENTRY, "-STOP");
        let mut newer = config(4 + round);
        let added = format!("/new-{round}/");
        // So many that reading them takes a while.
        let others =
            (0..OTHER_ROUTES).map(|at| system::route(&format!("o-{at}"), &format!("/o/{at}/")));
        let mut routes = vec![system::route("r", "/board/"), system::route("new", &added)];
        routes.extend(others);
        newer["Routes"] = routes.into();
        assert_eq!(system.publish(0, &newer), 200, "round {round}");
        thread::sleep(Duration::from_secs(3));
        let dropped = if round == 0 { "/old/".to_owned() } else { format!("/new-{}/", round - 1) };
        // The requests that wait at the entry when it resumes, and those of the next moments.
        let number = atomic::AtomicU64::new(0x1000 * (1 + round));
        thread::scope(|scope| {
            for at in 0..REQUESTS {
                let (system, number, added, dropped) = (&system, &number, &added, &dropped);
                scope.spawn(move || {
                    thread::sleep(REQUEST_INTERVAL * at);
                    for (prefix, wrong) in [(added, 404), (dropped, 200)] {
                        let id = number.fetch_add(1, atomic::Ordering::SeqCst);
                        let status = submit(system, prefix, id);
                        assert_ne!(status, wrong, "{prefix} in round {round}");
                    }
                });
            }
            thread::sleep(REQUEST_INTERVAL * 10);
            system.signal(ENTRY, "-CONT");
        });
        wait_until("the added route is served", || {
            submit(&system, &added, number.fetch_add(1, atomic::Ordering::SeqCst)) == 200
        });
    }
}

/// An entry that resumes and reaches no keeper goes on with the configuration that it has.
#[test]
fn keepers_gone() {
    let mut system = system(87);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    wait_until("the route is served", || submit(&system, "/board/", 1) == 200);
    system.signal(ENTRY, "-STOP");
    thread::sleep(Duration::from_secs(1));
    system.kill_at_once(&[0, 1, 2]);
    system.signal(ENTRY, "-CONT");
    let mut number = 1;
    wait_until("the route is served without keepers", || {
        number += 1;
        submit(&system, "/board/", number) == 200
    });
}
