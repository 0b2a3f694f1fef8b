//! An acknowledged configuration when several instances are lost one after the other.

mod system;

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use serde_json::json;
use system::{System, wait_until};

/// The configuration is read back this long after all processes are back at the latest.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// An acknowledged configuration is in force at instances that have run for this long.
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn start(subnet: u8, zones: &[(usize, usize)]) -> System {
    let zones = zones.to_vec();
    let system = System::new(system::Layout { subnet, zones, has_relays: false });
    publish(&system, 1);
    system
}

/// Sends a configuration until it is acknowledged. Each has a route of its own.
fn publish(system: &System, version: u64) {
    let mut config = system::config(version);
    let own = system::route("own", &prefix(version));
    config["Routes"].as_array_mut().unwrap().push(own);
    wait_until("a change is acknowledged", || {
        system.keepers().any(|at| system.publish(at, &config) == 200)
    });
}

fn prefix(version: u64) -> String {
    format!("/v{version}/")
}

fn restart(system: &mut System, at: usize) {
    system.write_boot_file(at, false, &json!({}));
    system.start(at);
}

#[test]
fn older_after_restart() {
    const CHANGES: u64 = 12;
    let mut system = start(43, &[(1, 1), (1, 1), (1, 1)]);
    system.wait_ready();
    for version in 2..=CHANGES {
        publish(&system, version);
    }
    // One follower is back before the others, which have to confirm what is committed.
    let keeper = system.keepers().find(|at| *at != system.leader()).unwrap();
    let all: Vec<_> = (0..system.instances.len()).collect();
    system.kill_at_once(&all);
    let entries: Vec<_> = system.entries().collect();
    restart(&mut system, keeper);
    for at in &entries {
        restart(&mut system, *at);
    }
    let until = Instant::now() + RECOVERY_LIMIT;
    // Changes count at instances that have run for this time.
    thread::sleep(CONTACT_TIME);
    while Instant::now() < until {
        for at in &entries {
            let url = format!("http://{}{}", system.client(*at), prefix(CHANGES));
            let (status, _) = system::get(&url);
            assert_ne!(status, 404, "entry {at} acts by a configuration that was replaced");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn seat_of_removed() {
    const FREEZES: u32 = 5;
    let mut system = start(44, &[(1, 0), (1, 0), (1, 0)]);
    let removed = system.keepers().find(|at| *at != system.leader()).unwrap();
    system.kill(removed);
    system.instances[removed].is_removed = true;
    let added = system.add_keeper(system.instances[removed].zone);
    for at in system.keepers().collect::<Vec<_>>() {
        system.write_boot_file(at, false, &json!({}));
        system.signal(at, "-HUP");
    }
    // One keeper at a time is frozen, so that the others elect a leader each time.
    for _ in 0..FREEZES {
        let frozen = system.leader();
        system.signal(frozen, "-STOP");
        thread::sleep(Duration::from_millis(1_500));
        system.signal(frozen, "-CONT");
        thread::sleep(Duration::from_secs(1));
    }
    let version = 2;
    publish(&system, version);
    let lost = system.keepers().find(|at| *at != added).unwrap();
    let keepers: Vec<_> = system.keepers().collect();
    lose_disk(&mut system, &keepers, lost, version);
}

/// Adds a keeper in the zone of `leaving`, which then ends as planned, `run` after the start of its
/// successor.
fn replace(system: &mut System, leaving: usize, run: Duration) -> usize {
    let added = system.add_keeper(system.instances[leaving].zone);
    thread::sleep(run);
    system.signal(leaving, "-TERM");
    let mut child = system.instances[leaving].child.take().unwrap();
    assert!(child.wait().unwrap().success());
    system.instances[leaving].is_removed = true;
    added
}

/// Kills the processes of `killed`, one of which loses its disk, starts them again, and asserts that
/// the configuration is read back.
fn lose_disk(system: &mut System, killed: &[usize], lost: usize, version: u64) {
    system.kill_at_once(killed);
    fs::remove_dir_all(system.data_folder(lost)).unwrap();
    for at in killed {
        restart(system, *at);
    }
    let until = Instant::now() + RECOVERY_LIMIT;
    let is_read = |at: usize| {
        let (status, config) = system.read_config(at);
        status == 200 && config["Version"] == version
    };
    while !system.keepers().any(is_read) {
        assert!(Instant::now() < until, "the configuration is not read back");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a keeper that ends as planned with its seat, so that the loss of one disk right
/// after its end leaves no majority.
#[test]
fn planned_end() {
    // Whether the leader leaves, the number of replaced keepers, and whether all lose power.
    let cases = [(95, true, 1, false), (96, false, 1, true), (97, false, 2, false)];
    for (subnet, is_leader, count, is_power_cut) in cases {
        let mut system = start(subnet, &[(1, 0), (1, 0), (1, 0)]);
        let first: Vec<_> = system.keepers().collect();
        for _ in 0..count {
            let leader = system.leader();
            let leaves =
                |at: &&usize| !system.instances[**at].is_removed && (**at == leader) == is_leader;
            let leaving = *first.iter().find(leaves).unwrap();
            replace(&mut system, leaving, Duration::from_secs(2));
        }
        publish(&system, 2);
        let all: Vec<_> = system.keepers().collect();
        let lost = all[0];
        let killed = if is_power_cut { all } else { vec![lost] };
        lose_disk(&mut system, &killed, lost, 2);
    }
}
