//! Starts a system of real processes that serves the platform's calls: keepers, entries and
//! stand-in upstreams, each with its own loopback address. A [`Layout`] may place relays between
//! the instances.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod relay;
pub mod slow_link;

use std::{
    fs, net, path, process, sync, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Host header of all routes.
pub const HOST: &str = "shop.example";
/// The service of all routes.
pub const SERVICE: &str = "board";
/// CPU that each task uses, in thousandths of a core.
pub const TASK_CPU: u64 = 14_000;
/// CPU of each upstream, in thousandths of a core, which is enough for two tasks.
pub const UPSTREAM_CPU: u64 = 32_000;

const CLIENT_PORT: u16 = 7101;
const READY_PORT: u16 = 7102;
const OPERATOR_PORT: u16 = 7103;
const METRICS_PORT: u16 = 9464;
const PEER_PORT: u16 = 7301;
/// The port on which an instance listens for its peers while a relay listens on its [`PEER_PORT`].
const RELAYED_PEER_PORT: u16 = 7401;
/// Maximum number of instances that are added to a running system.
const MAX_ADDED: usize = 4;
/// Variable with the path of another binary to test, such as that of an earlier commit.
const BINARY_VARIABLE: &str = "APRICOTROUTE_BINARY";

/// The layout of a system.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The third byte of all addresses, which keeps the systems of one test run apart.
    pub subnet: u8,
    /// The numbers of keepers and entries in each availability zone.
    pub zones: Vec<(usize, usize)>,
    /// Whether the instances reach each other through relays.
    pub has_relays: bool,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    pub zone: usize,
    pub is_keeper: bool,
    pub child: Option<process::Child>,
    /// The number of processes started for this instance so far.
    pub launches: u32,
    /// Whether the instance was removed for good.
    pub is_removed: bool,
    /// Maximum number of files that its processes may have open, if there is one.
    pub descriptors: Option<u32>,
}

impl Instance {
    fn new(zone: usize, is_keeper: bool) -> Self {
        let (child, launches, is_removed, descriptors) = (None, 0, false, None);
        Self { zone, is_keeper, child, launches, is_removed, descriptors }
    }
}

/// A running system.
#[derive(Debug)]
pub struct System {
    pub folder: tempfile::TempDir,
    pub instances: Vec<Instance>,
    pub runtime: tokio::runtime::Runtime,
    pub upstreams: Vec<platform::standin::Standin>,
    pub faults: sync::Arc<relay::Faults>,
    /// Duration of the tasks at upstreams that are added from now on.
    pub task_time: Duration,
    layout: Layout,
    /// Keys of the bootstrap files of the entries, taken in turn.
    sizes: Vec<Value>,
    block: AddressBlock,
}

/// The second byte of all addresses of a system. No other system that runs on this machine with
/// the same `subnet` has the same byte.
#[derive(Debug)]
struct AddressBlock {
    byte: u8,
    _listener: net::TcpListener,
}

impl AddressBlock {
    /// Reserves a free block by listening on an address in it that no instance uses.
    fn reserve(subnet: u8) -> Self {
        const BYTES: std::ops::Range<u8> = 64..128;
        const PORT: u16 = 7100;
        let reserve = |byte| {
            let at = net::SocketAddr::from(([127, byte, subnet, 255], PORT));
            let listener = net::TcpListener::bind(at).ok()?;
            Some(Self { byte, _listener: listener })
        };
        BYTES.into_iter().find_map(reserve).expect("a free block of addresses")
    }
}

impl System {
    /// Starts all instances.
    pub fn new(layout: Layout) -> Self {
        Self::with_sizes(layout, Vec::new())
    }

    /// Starts all instances; the bootstrap files of the entries have the keys of one of `sizes`,
    /// taken in turn.
    pub fn with_sizes(layout: Layout, sizes: Vec<Value>) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let mut instances = Vec::new();
        for (zone, (keepers, entries)) in layout.zones.iter().enumerate() {
            for at in 0..keepers + entries {
                instances.push(Instance::new(zone, at < *keepers));
            }
        }
        let folder = tempfile::tempdir().unwrap();
        let faults = sync::Arc::default();
        let (upstreams, block) = (Vec::new(), AddressBlock::reserve(layout.subnet));
        let task_time = Duration::from_millis(100);
        let mut system =
            Self { folder, instances, runtime, upstreams, faults, task_time, layout, sizes, block };
        for at in 0..system.instances.len() {
            system.write_boot_file(at, true, &json!({}));
            if system.layout.has_relays {
                system.start_relay(at);
            }
        }
        for at in 0..system.instances.len() {
            system.start(at);
        }
        system
    }

    fn start_relay(&self, at: usize) {
        let (listen, address) = (self.address(at, PEER_PORT), self.address(at, RELAYED_PEER_PORT));
        // Instances that are added later have the next indices.
        let count = self.instances.len() + MAX_ADDED;
        let peers = (0..count).map(|at| self.address(at, PEER_PORT).to_string()).collect();
        let faults = sync::Arc::clone(&self.faults);
        relay::Relay::open(
            &self.runtime,
            listen,
            relay::Target { address, index: at, peers, faults },
        );
    }

    /// Adds an upstream; with an `address`, it replaces an earlier upstream at that address.
    pub fn add_upstream(&mut self, id: &str, zone: usize, address: Option<net::SocketAddr>) {
        self.add_incarnation(id, zone, address, None);
    }

    /// Adds an upstream that states its start time, milliseconds since 1970, if there is one.
    pub fn add_incarnation(
        &mut self,
        id: &str,
        zone: usize,
        address: Option<net::SocketAddr>,
        born: Option<u64>,
    ) {
        self.add_upstream_of(SERVICE, id, zone, address, born);
    }

    /// Adds an upstream of a service.
    pub fn add_upstream_of(
        &mut self,
        service: &str,
        id: &str,
        zone: usize,
        address: Option<net::SocketAddr>,
        born: Option<u64>,
    ) {
        let options = platform::standin::Options {
            id: id.to_owned(),
            born,
            service: service.to_owned(),
            zone: zone_name(zone),
            cpu: UPSTREAM_CPU,
            task_cpu: TASK_CPU,
            duration: self.task_time,
            max_lease: Duration::from_secs(1),
            address: address.unwrap_or_else(|| net::SocketAddr::from(([127, 0, 0, 1], 0))),
            to: self.keepers().map(|at| self.operator(at)).collect(),
        };
        let upstream = platform::standin::Standin::start(&self.runtime, options).unwrap();
        self.upstreams.push(upstream);
    }

    /// The indices of the keepers.
    pub fn keepers(&self) -> impl Iterator<Item = usize> {
        self.instances
            .iter()
            .enumerate()
            .filter(|(_, instance)| instance.is_keeper && !instance.is_removed)
            .map(|(at, _)| at)
    }

    /// The indices of the entries.
    pub fn entries(&self) -> impl Iterator<Item = usize> {
        self.instances
            .iter()
            .enumerate()
            .filter(|(_, instance)| !instance.is_keeper)
            .map(|(at, _)| at)
    }

    /// Adds a keeper with an empty disk and starts it. The boot files of the others do not change.
    pub fn add_keeper(&mut self, zone: usize) -> usize {
        let at = self.instances.len();
        self.instances.push(Instance::new(zone, true));
        self.write_boot_file(at, false, &json!({}));
        if self.layout.has_relays {
            self.start_relay(at);
        }
        self.start(at);
        at
    }

    /// The address of an entry for clients.
    pub fn client(&self, at: usize) -> net::SocketAddr {
        self.address(at, CLIENT_PORT)
    }

    /// The address of a keeper for operators and upstreams.
    pub fn operator(&self, at: usize) -> net::SocketAddr {
        self.address(at, OPERATOR_PORT)
    }

    fn address(&self, at: usize, port: u16) -> net::SocketAddr {
        net::SocketAddr::from(([127, self.block.byte, self.layout.subnet, at as u8 + 1], port))
    }

    /// The path of the bootstrap file of an instance.
    pub fn boot_file(&self, at: usize) -> path::PathBuf {
        self.folder.path().join(format!("{at}.json"))
    }

    /// The data folder of an instance.
    pub fn data_folder(&self, at: usize) -> path::PathBuf {
        self.folder.path().join(format!("{at}.data"))
    }

    /// Writes the bootstrap file of an instance; the keys of `extra` add to or replace the others.
    pub fn write_boot_file(&self, at: usize, is_first: bool, extra: &Value) {
        let seeds: Vec<_> = self.keepers().take(3).map(|at| self.operator(at)).collect();
        let mut settings = json!({
            "instance": format!("node-{at}"),
            "availability_zone": zone_name(self.instances[at].zone),
            "peer_address": self.address(at, PEER_PORT),
            "metrics_address": self.address(at, METRICS_PORT),
            "seeds": seeds,
            "first_start": is_first,
        });
        if self.layout.has_relays {
            settings["peer_listen"] = json!(self.address(at, RELAYED_PEER_PORT));
        }
        if self.instances[at].is_keeper {
            settings["role"] = "keeper".into();
            settings["operator_address"] = json!(self.operator(at));
            settings["data_folder"] = json!(self.data_folder(at));
        } else {
            settings["role"] = "entry".into();
            settings["client_address"] = json!(self.client(at));
            settings["ready_address"] = json!(self.address(at, READY_PORT));
        }
        let is_entry = !self.instances[at].is_keeper;
        let size = self.sizes.get(at % self.sizes.len().max(1)).filter(|_| is_entry);
        let map = settings.as_object_mut().unwrap();
        map.extend(size.and_then(Value::as_object).cloned().unwrap_or_default());
        map.extend(extra.as_object().cloned().unwrap_or_default());
        fs::write(self.boot_file(at), settings.to_string()).unwrap();
    }

    /// Starts the process of an instance.
    pub fn start(&mut self, at: usize) {
        let log = self.folder.path().join(format!("{at}.log"));
        let log = fs::OpenOptions::new().append(true).create(true).open(log).unwrap();
        let mut command = match self.instances[at].descriptors {
            Some(limit) => {
                let mut command = process::Command::new("prlimit");
                command.arg(format!("--nofile={limit}")).arg(binary());
                command
            }
            None => process::Command::new(binary()),
        };
        let child = command
            .args(["node", "--settings"])
            .arg(self.boot_file(at))
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.instances[at].child = Some(child);
        self.instances[at].launches += 1;
    }

    /// Starts the process of an instance with its standard output on a pipe that is never read.
    pub fn start_unread(&mut self, at: usize) {
        let child = process::Command::new(binary())
            .args(["node", "--settings"])
            .arg(self.boot_file(at))
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        self.instances[at].child = Some(child);
        self.instances[at].launches += 1;
    }

    /// Sends a signal to a process of this system.
    pub fn signal(&self, at: usize, signal: &str) {
        let id = self.instances[at].child.as_ref().unwrap().id().to_string();
        assert!(process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Kills the process of an instance with SIGKILL and waits until it has ended.
    pub fn kill(&mut self, at: usize) {
        let mut child = self.instances[at].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Kills the processes of some instances at the same moment, and waits until they have ended.
    pub fn kill_at_once(&mut self, all: &[usize]) {
        let mut children: Vec<_> =
            all.iter().filter_map(|at| self.instances[*at].child.take()).collect();
        for child in &mut children {
            child.kill().unwrap();
        }
        for child in &mut children {
            child.wait().unwrap();
        }
    }

    /// The keeper that became the leader of the settings group last.
    pub fn leader(&self) -> usize {
        let since = |at: &usize| {
            let log = self.log(*at);
            let line = log.lines().rfind(|line| line.contains("settings: Leading."))?;
            let line: Value = serde_json::from_str(line).ok()?;
            line["ts"].as_str().map(str::to_owned)
        };
        self.keepers().max_by_key(since).unwrap()
    }

    /// Sends a configuration to a keeper and returns the status.
    pub fn publish(&self, at: usize, config: &Value) -> u16 {
        let url = format!("http://{}/apricotroute/config", self.operator(at));
        call(&agent(), "PUT", &url, config.to_string().as_bytes()).0
    }

    /// Reads the configuration from a keeper.
    pub fn read_config(&self, at: usize) -> (u16, Value) {
        get(&format!("http://{}/apricotroute/config", self.operator(at)))
    }

    /// The value of the first metric of an instance that has this name and contains these labels.
    pub fn metric(&self, at: usize, name: &str, labels: &[&str]) -> Option<f64> {
        let url = format!("http://{}/metrics", self.address(at, METRICS_PORT));
        let text = agent().get(url).call().ok()?.body_mut().read_to_string().ok()?;
        let prefix = format!("apricotroute_{name}{{");
        let matches = |line: &&str| {
            line.starts_with(&prefix) && labels.iter().all(|label| line.contains(label))
        };
        text.lines().find(matches)?.rsplit(' ').next()?.parse().ok()
    }

    /// Whether an entry reports that it accepts clients.
    pub fn is_ready(&self, at: usize) -> bool {
        get(&format!("http://{}/apricotroute/ready", self.address(at, READY_PORT))).0 == 200
    }

    /// Waits until all entries accept clients.
    pub fn wait_ready(&self) {
        for at in self.entries() {
            wait_until(&format!("entry {at} is ready"), || self.is_ready(at));
        }
    }

    /// Submits a job of `count` tasks to an entry.
    pub fn submit(&self, entry: usize, id: &str, count: u32) -> (u16, Value) {
        let url = format!("http://{}/board/{id}", self.client(entry));
        call(&agent(), "POST", &url, job(count).to_string().as_bytes())
    }

    /// The log text of an instance so far.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(self.folder.path().join(format!("{at}.log"))).unwrap_or_default()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.instances.iter_mut().filter_map(|instance| instance.child.as_mut()) {
            // The process may have ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// The path of the binary to test.
fn binary() -> String {
    std::env::var(BINARY_VARIABLE).unwrap_or_else(|_| env!("CARGO_BIN_EXE_apricotroute").to_owned())
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// A best-effort job of one step with `count` tasks.
pub fn job(count: u32) -> Value {
    let step = json!({"Count": count, "Cpu": TASK_CPU, "MemMb": 64, "EstimateMs": 100});
    json!({"Spec": "text", "BestEffort": true, "Steps": [step]})
}

/// The text of a request that submits a job, for clients that do not wait for the answer.
pub fn job_request(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /board/{id} HTTP/1.1\r\nHost: {HOST}\r\nApricotroute-Deadline-Ms: 3000\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A configuration with one route for jobs.
pub fn config(version: u64) -> Value {
    json!({
        "Version": version,
        "Routes": [route("r", "/board/")],
        "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 64,
            "Protocol": "h1", "Tls": false, "EnforcesCapacity": true, "Standby": false}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4096, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000},
    })
}

/// A route of [`SERVICE`].
pub fn route(name: &str, prefix: &str) -> Value {
    json!({"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "unsafe",
        "TimeoutMs": 1500, "LatencyGoalMs": 60, "Priority": 0, "Service": SERVICE,
        "MaxAttempts": 2, "Stretch": 1.6})
}

/// An HTTP client that reuses its connections.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into()
}

/// Sends a request with a body; the status is 0 if no complete answer arrived, and the error is
/// then printed.
pub fn call(agent: &ureq::Agent, method: &str, url: &str, body: &[u8]) -> (u16, Value) {
    let request = ureq::http::Request::builder().method(method).uri(url);
    let request = request.header("Host", HOST).header("Apricotroute-Deadline-Ms", "3000");
    let Ok(request) = request.body(body) else { return (0, Value::Null) };
    let began = Instant::now();
    let print = |error: &dyn std::fmt::Display| {
        eprintln!("{method} {url}: no answer after {:?}: {error}", began.elapsed());
        (0, Value::Null)
    };
    match agent.run(request) {
        Ok(response) => parse(response).unwrap_or_else(|error| print(&error)),
        Err(error) => print(&error),
    }
}

/// Sends a `GET` request; the result is that of [`call`].
pub fn get(url: &str) -> (u16, Value) {
    let response = agent().get(url).header("Host", HOST).call();
    response.and_then(parse).unwrap_or((0, Value::Null))
}

fn parse(mut response: ureq::http::Response<ureq::Body>) -> Result<(u16, Value), ureq::Error> {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    Ok((status, serde_json::from_str(&text).unwrap_or_default()))
}

/// Waits until `check` returns true, and panics with `description` after 15 s.
pub fn wait_until(description: &str, mut check: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(15);
    while !check() {
        assert!(Instant::now() < until, "{description}");
        thread::sleep(Duration::from_millis(50));
    }
}
