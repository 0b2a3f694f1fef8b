//! Instances of different sizes, as real processes: what they report, and which one takes over.

mod system;

use serde_json::{Value, json};
use system::{System, config, wait_until};

/// The entries; the keeper has the index 0.
const ENTRIES: std::ops::RangeInclusive<usize> = 1..=3;
/// The entry with the largest address, which is the last one by name.
const LARGE: usize = 3;

fn size(cpu_share: f64) -> Value {
    json!({"cpu_share": cpu_share, "memory_mb": 400, "descriptors": 10_250, "link_mbps": 62.0})
}

fn restart(system: &mut System, at: usize, settings: &Value) {
    system.kill(at);
    system.write_boot_file(at, false, settings);
    system.start(at);
}

/// Whether an entry has received heartbeats of the other ones since its last start.
fn knows_entries(system: &System, at: usize) -> bool {
    let log = system.log(at);
    let life = log.rsplit("node: Started.").next().unwrap_or("");
    let met: Vec<_> =
        life.lines().filter(|line| line.contains("peer: First heartbeat received.")).collect();
    let knows = |other| {
        let name = format!("127.64.1.{}:", other + 1);
        met.iter().any(|line| line.contains(&name))
    };
    ENTRIES.filter(|other| *other != at).all(knows)
}

#[test]
fn largest_takes_over() {
    let mut system =
        System::new(system::Layout { subnet: 1, zones: vec![(1, 3)], has_relays: false });
    for at in 0..4 {
        system.add_upstream(&format!("i-{at}"), 0, None);
    }
    wait_until("the keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    for at in ENTRIES {
        restart(&mut system, at, &size(if at == LARGE { 0.3 } else { 0.09 }));
    }
    system.wait_ready();
    for (name, value) in [
        ("allowed_cores", 0.3),
        ("allowed_memory_bytes", 4e8),
        ("allowed_descriptors", 10_250.0),
        ("allowed_link_bits_per_second", 6.2e7),
    ] {
        assert_eq!(system.metric(LARGE, name, &[]), Some(value), "{name}");
    }
    assert!(system.log(LARGE).contains("\"descriptors\":10250"), "{}", system.log(LARGE));
    // An entry that has met no other one takes the zone over, too.
    for at in ENTRIES {
        wait_until("the entries know one another", || knows_entries(&system, at));
    }
    system.kill(0);
    wait_until("the largest entry takes over", || system.log(LARGE).contains("zone: Scheduling"));
    for at in ENTRIES.filter(|at| *at != LARGE) {
        assert!(!system.log(at).contains("zone: Scheduling"), "{at}");
    }
}

#[test]
fn resized() {
    let mut system =
        System::new(system::Layout { subnet: 2, zones: vec![(1, 1)], has_relays: false });
    restart(&mut system, 1, &size(0.09));
    wait_until("the entry runs", || system.metric(1, "allowed_cores", &[]) == Some(0.09));
    system.write_boot_file(1, false, &size(0.3));
    system.signal(1, "-HUP");
    wait_until("a reload names the need of a restart", || {
        system.log(1).contains("\"needs_restart\":true")
    });
    assert_eq!(system.metric(1, "allowed_cores", &[]), Some(0.09), "a reload changes no size");
    system.write_boot_file(1, false, &size(0.0));
    system.signal(1, "-HUP");
    wait_until("a bad size is refused", || system.log(1).contains("$.cpu_share"));
    restart(&mut system, 1, &size(0.3));
    wait_until("a restart does", || system.metric(1, "allowed_cores", &[]) == Some(0.3));
}
