//! The settings tree under concurrent changes, resent changes, lost disks, restarts and damaged
//! files.

mod harness;

use std::{collections, fs, io::Write as _, thread};

use harness::{Cluster, ClusterConfig, eventually, get, sleep_ms};
use serde_json::{Value, json};

fn change(cluster: &Cluster, at: usize, id: &str, base: Option<u64>, queue: u64) -> (u16, Value) {
    let body = json!({"base": base, "change": id, "values": {"max_queue": queue}});
    cluster.change_settings(at, "ireland", &body)
}

fn new_change_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn value(cluster: &Cluster, at: usize) -> Value {
    let (_, body) = get(cluster.instances[at].operator, "/v1/settings/ireland").unwrap();
    body["values"]["max_queue"].clone()
}

#[test]
fn racing_operators() {
    let cluster = ClusterConfig::new(3).start();
    let mut version = 0;
    for round in 0..8_u64 {
        let ids: Vec<_> = (0..3).map(|_| new_change_id()).collect();
        let outcomes: Vec<_> = thread::scope(|scope| {
            let submit = |at: usize| {
                let (cluster, id) = (&cluster, &ids[at]);
                scope.spawn(move || change(cluster, at, id, Some(version), round * 10 + at as u64))
            };
            let threads: Vec<_> = (0..3).map(submit).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let winners: Vec<_> = (0..3).filter(|at| outcomes[*at].0 == 200).collect();
        assert_eq!(winners.len(), 1, "{outcomes:?}");
        assert!(outcomes.iter().all(|(status, _)| matches!(status, 200 | 409)), "{outcomes:?}");
        version += 1;
        // A change that is sent again to any instance gets its first outcome.
        for (at, id) in ids.iter().enumerate() {
            let (status, body) = change(&cluster, (at + 1) % 3, id, Some(version - 1), 0);
            assert_eq!((status, &body["version"]), (outcomes[at].0, &outcomes[at].1["version"]));
        }
        cluster.wait_version(version);
        let expected = json!(round * 10 + winners[0] as u64);
        assert!((0..3).all(|at| value(&cluster, at) == expected));
    }
}

#[test]
fn leader_lost() {
    let mut cluster = ClusterConfig::new(3).start();
    let (status, _) = change(&cluster, 0, &new_change_id(), None, 1);
    assert_eq!(status, 200);
    let mut accepted = 1;
    for round in 0..2 {
        let leader = cluster.leader("settings").unwrap();
        let other = (leader + 1) % 3;
        let id = new_change_id();
        cluster.kill(leader);
        // The outcome may be unknown for a while. Once the change is sent again, it has a single
        // outcome and is applied exactly once.
        let mut known = (0, Value::Null);
        let settled =
            eventually(15_000, || change(&cluster, other, &id, None, 100 + round).0 == 200);
        assert!(settled);
        for at in (0..3).filter(|at| *at != leader) {
            let outcome = change(&cluster, at, &id, None, 100 + round);
            assert_eq!(outcome.0, 200);
            assert!(known.0 == 0 || known == outcome);
            known = outcome;
        }
        accepted += 1;
        assert_eq!(known.1["version"], accepted);
        cluster.start(leader);
        cluster.wait_ready();
        cluster.wait_version(accepted);
    }
}

#[test]
fn disk_lost() {
    let mut cluster = ClusterConfig::new(3).start();
    for number in 1..=20 {
        assert_eq!(change(&cluster, 0, &new_change_id(), None, number).0, 200);
    }
    // One disk is lost; its instance restarts without data under its old name.
    cluster.kill(1);
    fs::remove_dir_all(cluster.instances[1].folder.as_ref().unwrap()).unwrap();
    cluster.start(1);
    cluster.wait_ready();
    cluster.wait_version(20);
    let is_repaired = || {
        let status = cluster.status(0);
        let voters = status["groups"][0]["voters"].as_array().cloned().unwrap_or_default();
        let own_view = cluster.status(1)["groups"][0]["voters"].clone();
        voters.len() == 3 && own_view == json!(voters)
    };
    assert!(eventually(5_000, is_repaired));
    sleep_ms(500);
    // Right after the repair a second voter is lost together with its disk.
    cluster.kill(2);
    fs::remove_dir_all(cluster.instances[2].folder.as_ref().unwrap()).unwrap();
    let settled = eventually(8_000, || change(&cluster, 1, &new_change_id(), None, 99).0 == 200);
    assert!(settled, "the two remaining voters hold all changes");
    assert_eq!(value(&cluster, 1), 99);
    let version = Cluster::settings_version(&cluster.instances[1]).unwrap();
    assert!(version >= 21);
    cluster.start(2);
    cluster.wait_ready();
    cluster.wait_version(version);
}

#[test]
fn many_changes() {
    let mut cluster = ClusterConfig::new(3).start();
    let mut outcomes = collections::BTreeMap::new();
    for number in 1..=500_u64 {
        let id = new_change_id();
        let (status, body) = change(&cluster, number as usize % 3, &id, None, number);
        assert_eq!(status, 200, "{body}");
        outcomes.insert(id, body);
    }
    for at in 0..3 {
        cluster.kill(at);
    }
    // One log ends with an incomplete write.
    let log = log_file(&cluster, 0);
    let mut file = fs::OpenOptions::new().append(true).open(log).unwrap();
    file.write_all(&[40, 0, 0, 0, 1, 2]).unwrap();
    drop(file);
    for at in 0..3 {
        cluster.start(at);
    }
    cluster.wait_ready();
    cluster.wait_version(500);
    assert!((0..3).all(|at| value(&cluster, at) == 500));
    for (id, body) in outcomes.iter().step_by(50) {
        assert_eq!(change(&cluster, 1, id, None, 0), (200, body.clone()));
    }
}

#[test]
fn flipped_byte() {
    let mut cluster = ClusterConfig::new(3).start();
    for number in 1..=50 {
        assert_eq!(change(&cluster, 0, &new_change_id(), None, number).0, 200);
    }
    cluster.kill(0);
    let log = log_file(&cluster, 0);
    let mut bytes = fs::read(&log).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&log, bytes).unwrap();
    let output = run_to_exit(&cluster, 0);
    assert_eq!(output.status.code(), Some(2));
    let line = String::from_utf8(output.stderr).unwrap();
    assert!(line.contains("bad checksum") && line.contains("offset"), "{line}");
    assert!(line.contains(log.file_name().unwrap().to_str().unwrap()), "{line}");
}

#[test]
fn wrong_folder() {
    let mut cluster = ClusterConfig::new(3).start();
    // If two processes use one folder, the second one exits with a clear error.
    let output = run_to_exit(&cluster, 0);
    assert_eq!(output.status.code(), Some(2));
    let line = String::from_utf8(output.stderr).unwrap();
    assert!(line.contains("another process uses"), "{line}");
    // An instance refuses the folder of another instance, and its error names that instance.
    cluster.kill(0);
    cluster.kill(1);
    let text = fs::read_to_string(&cluster.instances[0].boot_file).unwrap();
    fs::write(&cluster.instances[0].boot_file, text.replace("west-1.data", "west-2.data")).unwrap();
    let output = run_to_exit(&cluster, 0);
    assert_eq!(output.status.code(), Some(2));
    let line = String::from_utf8(output.stderr).unwrap();
    assert!(line.contains("belongs to instance west-2"), "{line}");
}

fn log_file(cluster: &Cluster, at: usize) -> std::path::PathBuf {
    let folder = cluster.instances[at].folder.as_ref().unwrap();
    let files = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let is_log =
        |path: &std::path::PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with("log-");
    files.into_iter().find(is_log).unwrap()
}

/// Runs an instance that is expected to exit by itself, and returns its output.
fn run_to_exit(cluster: &Cluster, at: usize) -> std::process::Output {
    std::process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
        .args(["serve", "--settings"])
        .arg(&cluster.instances[at].boot_file)
        .output()
        .unwrap()
}
