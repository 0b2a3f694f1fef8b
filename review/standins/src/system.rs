//! Starts the project's programs as the deploy file does: keepers and entries, each a process with
//! a loopback address of its own.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

pub const HOST: &str = "board.example";
pub const SERVICE: &str = "board";
pub const PREFIX: &str = "/jobs/";

const CLIENT_PORT: u16 = 7101;
const READY_PORT: u16 = 7102;
const OPERATOR_PORT: u16 = 7103;
const PEER_PORT: u16 = 7301;
const METRICS_PORT: u16 = 9464;

/// One process of the project.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    zone: String,
    is_keeper: bool,
    child: Option<Child>,
}

/// All processes of a deployment.
#[derive(Debug)]
pub struct System {
    pub instances: Vec<Instance>,
    folder: PathBuf,
    program: PathBuf,
    block: (u8, u8),
    _reserved: TcpListener,
    record: Record,
}

impl System {
    /// Starts keepers and entries; `layout` holds the zone of each.
    pub fn start(program: &Path, keepers: &[&str], entries: &[&str], record: &Record) -> Self {
        let Some((block, reserved)) = reserve() else {
            eprintln!("no free block of loopback addresses");
            exit(2);
        };
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let instance = |is_keeper: bool| {
            move |(at, zone): (usize, &&str)| Instance {
                name: format!("{}-{zone}-{}", if is_keeper { "core" } else { "front" }, at + 1),
                zone: (*zone).to_owned(),
                is_keeper,
                child: None,
            }
        };
        let keepers = keepers.iter().enumerate().map(instance(true));
        let instances: Vec<_> =
            keepers.chain(entries.iter().enumerate().map(instance(false))).collect();
        let record = record.clone();
        let program = program.to_owned();
        let mut system = Self { instances, folder, program, block, _reserved: reserved, record };
        for at in 0..system.instances.len() {
            system.spawn(at);
        }
        system
    }

    fn ip(&self, at: usize) -> String {
        format!("127.{}.{}.{}", self.block.0, self.block.1, at + 1)
    }

    fn address(&self, at: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(at)).parse().expect("an address")
    }

    /// Address of an entry for clients.
    pub fn front(&self, at: usize) -> SocketAddr {
        self.address(at, CLIENT_PORT)
    }

    /// Addresses of the nodes that serve `control`.
    pub fn control(&self) -> Vec<SocketAddr> {
        let keepers = (0..self.instances.len()).filter(|at| self.instances[*at].is_keeper);
        keepers.map(|at| self.address(at, OPERATOR_PORT)).collect()
    }

    /// The positions of the entries.
    pub fn entries(&self) -> Vec<usize> {
        (0..self.instances.len()).filter(|at| !self.instances[*at].is_keeper).collect()
    }

    /// The settings that the templates of the deploy file give for a small deployment.
    fn settings(&self, at: usize) -> String {
        let Instance { name, zone, is_keeper, .. } = &self.instances[at];
        let ip = self.ip(at);
        let seeds: Vec<_> = self.control().iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let common = format!(
            r#""instance":"{name}","availability_zone":"{zone}","peer_address":"{ip}:{PEER_PORT}","metrics_address":"{ip}:{METRICS_PORT}","seeds":[{seeds}],"first_start":true,"descriptors":4100,"link_mbps":1000.0,"lease_ms":1000,"grace_ms":6000"#
        );
        if *is_keeper {
            let data = self.folder.join(name).display().to_string();
            format!(
                r#"{{{common},"role":"keeper","operator_address":"{ip}:{OPERATOR_PORT}","data_folder":"{data}","availability_zones":["a","b","c"],"cpu_share":0.5,"memory_mb":256}}"#
            )
        } else {
            format!(
                r#"{{{common},"role":"entry","client_address":"{ip}:{CLIENT_PORT}","ready_address":"{ip}:{READY_PORT}","cpu_share":0.25,"memory_mb":260}}"#
            )
        }
    }

    fn spawn(&mut self, at: usize) {
        let name = self.instances[at].name.clone();
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, self.settings(at)).expect("a settings file");
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let command = Command::new(&self.program)
            .args(["node", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let Ok(child) = command else {
            eprintln!("cannot start {}", self.program.display());
            exit(2);
        };
        self.record.add(format!("{name} is started"));
        self.instances[at].child = Some(child);
    }

    /// Sends a signal, such as `-TERM`, to a process.
    pub fn signal(&self, at: usize, signal: &str) -> Instant {
        let child = self.instances[at].child.as_ref().expect("a running process");
        let sent = Instant::now();
        let status = Command::new("kill").args([signal, &child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {signal}");
        self.record.add_at(sent, format!("{} gets {signal}", self.instances[at].name));
        sent
    }

    /// Waits until a process has ended by itself; kills it after `longest`.
    pub fn wait_end(&mut self, at: usize, longest: Duration) -> Instant {
        let until = Instant::now() + longest;
        let instance = &mut self.instances[at];
        let child = instance.child.as_mut().expect("a running process");
        while child.try_wait().is_ok_and(|status| status.is_none()) {
            if Instant::now() >= until {
                self.record.add(format!("{} is killed", instance.name));
                drop(child.kill());
                drop(child.wait());
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.add(format!("{} has ended", instance.name));
        Instant::now()
    }

    /// Sends a configuration to the nodes in turn until one answers clearly.
    pub fn publish(&self, config: &str) -> u16 {
        let until = Instant::now() + Duration::from_secs(15);
        let control = self.control();
        for next in 0.. {
            let to = control[next % control.len()];
            let path = "/apricotroute/config";
            let host = to.to_string();
            let call = http::call("PUT", to, &host, path, &[], config, Duration::from_secs(1));
            if matches!(call.status(), 200 | 400 | 409 | 412 | 413 | 422) || Instant::now() >= until
            {
                self.record.add(format!("operator PUT config: {} {config}", call.status()));
                return call.status();
            }
            thread::sleep(Duration::from_millis(200));
        }
        0
    }

    /// Waits until an entry reports that it takes clients.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        for at in self.entries() {
            let ready = self.address(at, READY_PORT);
            let is_ready = || {
                let path = "/apricotroute/ready";
                let host = ready.to_string();
                http::call("GET", ready, &host, path, &[], "", Duration::from_secs(1)).status()
                    == 200
            };
            while !is_ready() {
                if Instant::now() >= until {
                    self.fail("an entry does not become ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Ends the run as one that could not be played.
    pub fn fail(&self, why: &str) -> ! {
        self.record.add(format!("the case could not run: {why}"));
        self.record.write(&crate::record_file());
        // `exit` runs no destructors.
        for instance in &self.instances {
            if let Some(child) = &instance.child {
                drop(Command::new("kill").args(["-KILL", &child.id().to_string()]).status());
            }
        }
        exit(2)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.instances.iter_mut().filter_map(|instance| instance.child.as_mut()) {
            drop(child.kill());
            drop(child.wait());
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Finds a block 127.X.Y.* that no other run uses, and reserves it with a listener.
fn reserve() -> Option<((u8, u8), TcpListener)> {
    let seed = std::process::id() as usize;
    (0..200).find_map(|next| {
        let block = (128 + ((seed + next) % 100) as u8, ((seed / 100 + next) % 250) as u8);
        let listener = TcpListener::bind(format!("127.{}.{}.254:7100", block.0, block.1)).ok()?;
        Some((block, listener))
    })
}
