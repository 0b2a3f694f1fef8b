//! Real processes whose operator evacuates a zone and takes it back.

mod system;

use serde_json::json;
use system::{System, agent, config, eventually};

/// Two zones of two keepers and an entry each.
const ZONE: usize = 3;

fn system(net: u8) -> System {
    let mut system = System::new(system::Plan { net, zones: vec![(2, 1), (2, 1)], relays: false });
    for at in 0..4 {
        system.add_upstream(&format!("i-{at}"), at / 2, None);
    }
    eventually("a keeper takes it", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    system
}

fn order(system: &System, at: usize, method: &str, zone: &str, body: &[u8]) -> u16 {
    let url = format!("http://{}/apricotroute/evacuations/{zone}", system.operator(at));
    system::call(&agent(), method, &url, body).0
}

/// Starts at the upstreams of each zone.
fn starts(system: &System) -> [u64; 2] {
    let of = |at: usize| system.upstreams[at].starts().0;
    [of(0) + of(1), of(2) + of(3)]
}

#[test]
fn evacuated_and_taken_back() {
    let mut system = system(9);
    let west = system::zone_name(0);
    eventually("it is acknowledged", || order(&system, ZONE, "POST", &west, b"") == 200);
    assert_eq!(order(&system, 0, "POST", &west, b""), 200, "sent again elsewhere");
    let before = starts(&system);
    for number in 0..6 {
        let id = format!("{:016x}", 0xe00 + number);
        assert_eq!(system.submit(ZONE - 1, &id, 4).0, 200);
    }
    let after = starts(&system);
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1] + 24),
        "all of it ran in the other zone"
    );
    let told = |system: &System, at: usize| system.metric(at, "evacuated_zones", &[]);
    eventually("the metrics tell", || (0..6).all(|at| told(&system, at) == Some(1.0)));

    // The order survives the processes that took it.
    for at in [0, 1, ZONE, ZONE + 1] {
        system.kill(at);
    }
    for at in [0, 1, ZONE, ZONE + 1] {
        system.write(at, false, &json!({}));
        system.start(at);
    }
    system.wait_ready();
    eventually("they know it again", || told(&system, 0) == Some(1.0));
    eventually("it is taken back", || order(&system, 1, "DELETE", &west, b"") == 200);
    eventually("it has work again", || {
        let id = format!("{:016x}", 0xf00 + starts(&system)[1]);
        system.submit(ZONE - 1, &id, 1);
        starts(&system)[0] > after[0]
    });
}

#[test]
fn odd_orders() {
    let system = system(10);
    let west = system::zone_name(0);
    assert_eq!(order(&system, 0, "POST", "nowhere", b""), 404);
    assert_eq!(order(&system, 0, "DELETE", "nowhere", b""), 404);
    for path in ["", "%zz", "a/b", "a%00b", &"z".repeat(10_000)] {
        let status = order(&system, 0, "POST", path, b"");
        assert!((400..500).contains(&status), "{status} for a path of {} bytes", path.len());
    }
    assert_eq!(order(&system, 0, "PUT", &west, b""), 405);
    let large = order(&system, 0, "POST", &west, &vec![b'x'; 1 << 20]);
    assert!(large == 200 || large == 413, "{large}");
    eventually("it is taken back", || order(&system, 0, "DELETE", &west, b"") == 200);
    assert_eq!(system.submit(ZONE - 1, "0000000000000e77", 2).0, 200);
}
