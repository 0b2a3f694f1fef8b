//! The configuration after a keeper's disk has failed for some time and another disk is lost.

mod system;

use std::{
    collections, fs, net, sync, thread,
    time::{Duration, Instant},
};

use serde_json::json;
use system::{System, wait_until};

/// The configuration is read back this long after all processes are back at the latest.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// More changes than a keeper stores between two compactions of its log.
const CHANGES: u64 = 80;

fn start(subnet: u8) -> System {
    let zones = vec![(1, 1), (1, 0), (1, 0)];
    let system = System::new(system::Layout { subnet, zones, has_relays: false });
    wait_until("a configuration is acknowledged", || {
        system.keepers().any(|at| system.publish(at, &system::config(1)) == 200)
    });
    system
}

fn publish(system: &System, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        wait_until("a change is acknowledged", || {
            system.keepers().any(|at| system.publish(at, &system::config(version)) == 200)
        });
    }
}

/// Kills a keeper, removes its disk, and waits until the configuration is read back.
fn lose_disk(system: &mut System, lost: usize, version: u64) {
    system.kill(lost);
    fs::remove_dir_all(system.data_folder(lost)).unwrap();
    system.write_boot_file(lost, false, &json!({}));
    system.start(lost);
    let until = Instant::now() + RECOVERY_LIMIT;
    let is_read = |at: usize| {
        let (status, config) = system.read_config(at);
        status == 200 && config["Version"] == version
    };
    while Instant::now() < until {
        if system.keepers().any(is_read) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let all: Vec<_> = system.keepers().map(|at| system.read_config(at).0).collect();
    panic!("version {version} is not read back after {RECOVERY_LIMIT:?}, keepers answer {all:?}");
}

#[test]
fn lost_after_full() {
    let mut system = start(41);
    let lost = system.leader();
    let full = system.keepers().find(|at| *at != lost).unwrap();
    let draft = system.data_folder(full).join("snapshot.draft");
    std::os::unix::fs::symlink("/dev/full", &draft).unwrap();
    publish(&system, 2..=CHANGES);
    drop(fs::remove_file(&draft));
    thread::sleep(Duration::from_secs(4));
    let lost = system.leader();
    lose_disk(&mut system, lost, CHANGES);
}

#[test]
fn lost_after_descriptors() {
    const DESCRIPTORS: u32 = 160;
    const CONNECTIONS: usize = 200;
    let mut system = start(42);
    let full = system.keepers().find(|at| *at != system.leader()).unwrap();
    system.kill(full);
    system.instances[full].descriptors = Some(DESCRIPTORS);
    system.write_boot_file(full, false, &json!({}));
    system.start(full);
    wait_until("the keeper answers", || system.read_config(full).0 == 200);
    let (address, is_over) = (system.operator(full), sync::atomic::AtomicBool::new(false));
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut crowd = collections::VecDeque::new();
            while !is_over.load(sync::atomic::Ordering::SeqCst) {
                // The keeper closes idle connections after some time, so others take their place.
                crowd.extend(net::TcpStream::connect(address).ok());
                if crowd.len() > CONNECTIONS {
                    crowd.pop_front();
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        thread::sleep(Duration::from_secs(1));
        publish(&system, 2..=CHANGES);
        is_over.store(true, sync::atomic::Ordering::SeqCst);
    });
    thread::sleep(Duration::from_secs(4));
    let lost = system.leader();
    assert_ne!(lost, full);
    assert!(system.log(full).contains("Too many open files"));
    lose_disk(&mut system, lost, CHANGES);
}
