//! Tests with real processes that an operator can evacuate a zone and revert the evacuation.

mod system;

use std::time::Duration;

use serde_json::json;
use system::{System, config, wait_until};

/// Number of instances in each of the two zones: two keepers and an entry.
const ZONE_SIZE: usize = 3;

fn system(subnet: u8) -> System {
    let mut system =
        System::new(system::Layout { subnet, zones: vec![(2, 1), (2, 1)], has_relays: false });
    for at in 0..4 {
        system.add_upstream(&format!("i-{at}"), at / 2, None);
    }
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    system
}

/// Sends a request for the evacuation of a zone to a keeper, follows a redirect with the same
/// request, and returns the status.
fn send_request(system: &System, at: usize, method: &str, zone: &str, body: &[u8]) -> u16 {
    let url = format!("http://{}/apricotroute/evacuations/{zone}", system.operator(at));
    match send_once(method, &url, body) {
        (307, Some(location)) => send_once(method, &location, body).0,
        (status, _) => status,
    }
}

/// Sends one request and returns the status, 0 without an answer, and the `Location` of the answer.
fn send_once(method: &str, url: &str, body: &[u8]) -> (u16, Option<String>) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .max_redirects(0)
        .max_redirects_will_error(false);
    let agent = ureq::Agent::from(config.build());
    let Ok(request) = ureq::http::Request::builder().method(method).uri(url).body(body) else {
        return (0, None);
    };
    match agent.run(request) {
        Ok(response) => {
            let location = response.headers().get("location").and_then(|text| text.to_str().ok());
            (response.status().as_u16(), location.map(str::to_owned))
        }
        Err(error) => {
            eprintln!("{method} {url}: {error}");
            (0, None)
        }
    }
}

/// Number of task starts on the upstreams of each zone.
fn starts(system: &System) -> [u64; 2] {
    let count = |at: usize| system.upstreams[at].start_counts().0;
    [count(0) + count(1), count(2) + count(3)]
}

#[test]
fn evacuated_and_taken_back() {
    let mut system = system(9);
    let west = system::zone_name(0);
    wait_until("the evacuation is acknowledged", || {
        send_request(&system, ZONE_SIZE, "POST", &west, b"") == 200
    });
    assert_eq!(
        send_request(&system, 0, "POST", &west, b""),
        200,
        "the same request at another keeper"
    );
    let before = starts(&system);
    for number in 0..6 {
        let id = format!("{:016x}", 0xe00 + number);
        assert_eq!(system.submit(ZONE_SIZE - 1, &id, 4).0, 200);
    }
    let after = starts(&system);
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1] + 24),
        "all tasks ran in the other zone"
    );
    let evacuated = |system: &System, at: usize| system.metric(at, "evacuated_zones", &[]);
    wait_until("the metrics report the evacuation", || {
        (0..6).all(|at| evacuated(&system, at) == Some(1.0))
    });

    // The evacuation survives the loss of all keeper processes.
    for at in [0, 1, ZONE_SIZE, ZONE_SIZE + 1] {
        system.kill(at);
    }
    for at in [0, 1, ZONE_SIZE, ZONE_SIZE + 1] {
        system.write_boot_file(at, false, &json!({}));
        system.start(at);
    }
    system.wait_ready();
    wait_until("the restarted keepers report the evacuation", || {
        evacuated(&system, 0) == Some(1.0)
    });
    wait_until("the evacuation is reverted", || {
        send_request(&system, 1, "DELETE", &west, b"") == 200
    });
    wait_until("the zone runs tasks again", || {
        let id = format!("{:016x}", 0xf00 + starts(&system)[1]);
        system.submit(ZONE_SIZE - 1, &id, 1);
        starts(&system)[0] > after[0]
    });
}

#[test]
fn odd_orders() {
    let system = system(10);
    let west = system::zone_name(0);
    assert_eq!(send_request(&system, 0, "POST", "nowhere", b""), 404);
    assert_eq!(send_request(&system, 0, "DELETE", "nowhere", b""), 404);
    let unknown = format!("{west}/g");
    for path in ["", "%zz", "a/b", "a%00b", "a/b/c", &unknown, &"z".repeat(10_000)] {
        let status = send_request(&system, 0, "POST", path, b"");
        assert!((400..500).contains(&status), "{status} for a path of {} bytes", path.len());
    }
    assert_eq!(send_request(&system, 0, "PUT", &west, b""), 405);
    // A number that no keeper has issued is as good as none.
    let guessed = system.operator(0);
    let url = format!("http://{guessed}/apricotroute/evacuations/{west}/7");
    assert_eq!(send_once("POST", &url, b"").0, 307);
    let large = send_request(&system, 0, "POST", &west, &vec![b'x'; 1 << 20]);
    assert!(large == 200 || large == 413, "{large}");
    wait_until("the evacuation is reverted", || {
        send_request(&system, 0, "DELETE", &west, b"") == 200
    });
    assert_eq!(system.submit(ZONE_SIZE - 1, "0000000000000e77", 2).0, 200);
}
