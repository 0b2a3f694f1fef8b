//! Stand-in upstreams that run as processes.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    path, process,
};

use serde_json::Value;

/// An upstream process.
#[derive(Debug)]
pub struct Process {
    pub address: String,
    pub child: process::Child,
    log: path::PathBuf,
}

impl Process {
    /// Starts an upstream that records the tasks it starts in a log, and reads its address.
    pub fn start(dir: &path::Path, name: &str, zone: &str, to: &str, arguments: &[&str]) -> Self {
        let log = dir.join(format!("{name}.starts"));
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["upstream", "--to", to, "--name", name, "--zone", zone, "--log"])
            .arg(&log)
            .args(arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut address = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut address).unwrap();
        Self { address: address.trim().to_owned(), child, log }
    }

    /// Returns the tasks that the upstream has started, in order.
    pub fn starts(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let task = |line: &str| {
            let value: Value = serde_json::from_str(line).unwrap();
            value["task"].as_str().unwrap().to_owned()
        };
        text.lines().map(task).collect()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        process::Command::new("kill").args([signal, &pid]).status().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
