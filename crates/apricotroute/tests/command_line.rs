//! Runs the command line as a user does.

mod harness;

use std::{fs, process};

use harness::{ClusterConfig, SERVICE, job, new_job_id};
use serde_json::Value;

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output =
        process::Command::new(env!("CARGO_BIN_EXE_apricotroute")).args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn help_everywhere() {
    let commands = [
        "serve", "check", "demo", "submit", "job", "settings", "status", "load", "upstream",
        "node", "explain", "losses",
    ];
    for command in commands {
        let (code, out, _) = run(&[command, "--help"]);
        assert_eq!(code, Some(0));
        assert!(out.starts_with(&format!("apricotroute {command}")), "{out}");
        assert!(run(&["--help"]).1.contains(&format!("  {command}")));
    }
}

#[test]
fn usage_faults() {
    let cases: &[&[&str]] = &[
        &[],
        &["dance"],
        &["demo", "--loud"],
        &["serve"],
        &["node"],
        &["node", "--settings", "no-such-file.json"],
        &["serve", "--settings", "no-such-file.json"],
        &["check", "no-such-file.json"],
        &["submit", "--to", "127.0.0.1:1", "no-such-file.json"],
        &["load", "--to", "127.0.0.1:1", "--rate", "fast"],
        &["job", "--to", "127.0.0.1:1", "dance", "x"],
        &["explain", "x"],
        &["explain", "x", "no-such-file.log"],
        &["upstream", "--to", "127.0.0.1:1", "--mode", "dance"],
    ];
    for arguments in cases {
        let (code, out, err) = run(arguments);
        assert_eq!((code, out.as_str()), (Some(2), ""), "{arguments:?}");
        assert_eq!(err.lines().count(), 1, "{arguments:?}: {err}");
    }
}

#[test]
fn demonstration_on_platform() {
    let (code, out, err) = run(&["demo", "--platform"]);
    assert_eq!(code, Some(0), "{err}");
    assert_eq!(out.trim(), r#"{"State":"completed"}"#);
}

#[test]
fn node_file_faults() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("node.json");
    let text = "{\n\"role\": \"entry\",\n\"seeds\": [7],\n\"colour\": 1,\n\"memory_mb\": 0\n}";
    fs::write(&file, text).unwrap();
    let (code, _, err) = run(&["check", file.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    for error in [
        "$.instance (line 1): missing",
        "$.availability_zone (line 1): missing",
        "$.client_address (line 1): missing",
        "$.ready_address (line 1): missing",
        "$.peer_address (line 1): missing",
        "$.seeds[0] (line 3): expected IP:PORT",
        "$.colour (line 4): unknown key",
        "$.memory_mb (line 5): expected a whole number from 1 to 16777216",
    ] {
        assert!(err.contains(error), "{error} in {err}");
    }
}

#[test]
fn demonstration() {
    let (code, out, err) = run(&["demo"]);
    assert_eq!(code, Some(0), "{err}");
    let answer: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (&answer["state"], answer["answers"].as_array().unwrap().len()),
        (&"complete".into(), 20)
    );
}

#[test]
fn operators_day() {
    let cluster = ClusterConfig::new(1).start();
    let (client, operator) =
        (cluster.instances[0].client.to_string(), cluster.instances[0].operator.to_string());
    let settings = cluster.instances[0].boot_file.to_str().unwrap();
    assert_eq!(run(&["check", settings]).0, Some(0));
    let (code, out, _) = run(&["settings", "--to", &operator, "set", SERVICE, "{}"]);
    assert_eq!((code, out.trim()), (Some(0), "{\"version\":1}"));
    let (code, out, _) = run(&["settings", "--to", &operator, "get", SERVICE]);
    assert!(code == Some(0) && out.contains("\"version\":1"), "{out}");
    let values = "{\"max_queue\": -1}";
    let (code, out, _) = run(&["settings", "--to", &operator, "set", SERVICE, values]);
    assert!(code == Some(3) && out.contains("max_queue"), "{out}");
    let stale = ["settings", "--to", &operator, "set", SERVICE, "{}", "--base", "0"];
    assert_eq!(run(&stale).0, Some(3));
    let _upstream = cluster.start_upstream("u1", "west", &[0], &[]);
    cluster.wait_upstreams("west", 1);

    let id = new_job_id("west");
    let file = cluster.dir.path().join("job.json");
    fs::write(&file, job(&id, 3, 2_000).to_string()).unwrap();
    let file = file.to_str().unwrap();
    let (code, out, _) = run(&["submit", "--to", &client, file]);
    assert!(code == Some(0) && out.contains("complete"), "{out}");
    let (code, out, _) = run(&["job", "--to", &client, "show", &id]);
    assert!(code == Some(0) && out.contains("complete"), "{out}");
    let (code, out, _) = run(&["job", "--to", &client, "show", &new_job_id("west")]);
    assert!(code == Some(3) && out.contains("not_run"), "{out}");
    let (code, out, _) = run(&["submit", "--to", &client, "--job", &new_job_id("north"), file]);
    assert!(code == Some(4) && out.contains("unknown"), "{out}");

    let (code, out, _) = run(&["status", "--to", &operator]);
    assert!(code == Some(0) && out.contains("journal west") && out.contains("u1"), "{out}");
    let (_, out, _) = run(&["status", "--to", &operator, "--json"]);
    let status: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(status["counts"]["completed"], 1);
    let (_, out, _) = run(&["settings", "--to", &operator, "log"]);
    let log: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(log["changes"][1]["outcome"], "conflict", "{out}");
}

/// Returns the path of a log file in `tests/logs`.
fn log_path(name: &str) -> String {
    format!("{}/tests/logs/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn explained() {
    // The job id and the client's `Request-Id` find the same lines, in any order of the files.
    let (entry, keepers) = (log_path("entry.log"), log_path("keepers.log"));
    let (code, explanation, _) = run(&["explain", "ac38592eefa64e04", &entry, &keepers]);
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(explanation);
    assert_eq!(run(&["explain", "c12c5358b82cab6d", &keepers, &entry]).1, explanation);
    // No log line refers to another request.
    let (code, out, _) = run(&["explain", "ac38", &entry, &keepers]);
    assert_eq!((code, out.as_str()), (Some(1), "no log line mentions this request\n"));
}

/// Guards against a panic with a backtrace when the reader of the output closes the pipe, as in
/// `losses FILE... | head` once `head` has read its lines.
#[test]
fn reader_gone() {
    for arguments in [vec!["--help"], vec!["losses", &log_path("losses.log")]] {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"));
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        let command = command.args(&arguments).stdout(writer).stderr(process::Stdio::piped());
        let output = command.spawn().unwrap().wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert_eq!(String::from_utf8(output.stderr).unwrap(), "", "{arguments:?}");
    }
}

#[test]
fn losses_by_cause() {
    let (code, table, _) = run(&["losses", &log_path("losses.log")]);
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(table);
    // The request whose scheduler was lost was late by 2 ms.
    let (code, table, _) =
        run(&["losses", "--window", "60", &log_path("entry.log"), &log_path("keepers.log")]);
    assert_eq!(code, Some(0));
    assert!(table.contains("1  late: a scheduler that had it was lost"), "{table}");
}
