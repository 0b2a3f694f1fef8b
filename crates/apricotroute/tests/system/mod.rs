//! A system of real processes on the platform's calls: keepers, entries and stand-in upstreams,
//! each with a loopback address of its own. Between the instances stand relays, if asked for.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod relay;

use std::{
    fs, net, path, process, sync, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// The service of all routes.
pub const SERVICE: &str = "board";
/// What each task takes, thousandths of a core.
pub const TASK_CPU: u64 = 14_000;
/// What each upstream has: two tasks fit.
pub const UPSTREAM_CPU: u64 = 32_000;

const CLIENT: u16 = 7101;
const READY: u16 = 7102;
const OPERATOR: u16 = 7103;
const METRICS: u16 = 9464;
const PEER: u16 = 7301;
/// Where an instance listens for others while a relay has its [`PEER`] address.
const BEHIND: u16 = 7401;

/// What a system is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Tells the systems of one test run apart: the third byte of all addresses.
    pub net: u8,
    /// Keepers and entries of each availability zone.
    pub zones: Vec<(usize, usize)>,
    /// Whether relays stand between the instances.
    pub relays: bool,
}

/// One instance.
#[derive(Debug)]
pub struct Node {
    pub zone: usize,
    pub keeper: bool,
    pub child: Option<process::Child>,
    /// Processes that were started in this place.
    pub lives: u32,
}

/// A system that runs.
#[derive(Debug)]
pub struct System {
    pub folder: tempfile::TempDir,
    pub nodes: Vec<Node>,
    pub runtime: tokio::runtime::Runtime,
    pub upstreams: Vec<platform::standin::Standin>,
    pub faults: sync::Arc<relay::Faults>,
    plan: Plan,
    block: Block,
}

/// The second byte of all addresses of a system: no other system that runs on this machine has the
/// same with the same net.
#[derive(Debug)]
struct Block {
    byte: u8,
    _held: net::TcpListener,
}

impl Block {
    /// Takes a block that is free, by listening in it where no instance does.
    fn take(net: u8) -> Self {
        const BYTES: std::ops::Range<u8> = 64..128;
        const PORT: u16 = 7100;
        let take = |byte| {
            let at = net::SocketAddr::from(([127, byte, net, 255], PORT));
            let held = net::TcpListener::bind(at).ok()?;
            Some(Self { byte, _held: held })
        };
        BYTES.into_iter().find_map(take).expect("a free block of addresses")
    }
}

impl System {
    /// Starts all instances.
    pub fn new(plan: Plan) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let mut nodes = Vec::new();
        for (zone, (keepers, entries)) in plan.zones.iter().enumerate() {
            for at in 0..keepers + entries {
                nodes.push(Node { zone, keeper: at < *keepers, child: None, lives: 0 });
            }
        }
        let folder = tempfile::tempdir().unwrap();
        let faults = sync::Arc::default();
        let (upstreams, block) = (Vec::new(), Block::take(plan.net));
        let mut system = Self { folder, nodes, runtime, upstreams, faults, plan, block };
        for at in 0..system.nodes.len() {
            system.write(at, true, &json!({}));
            if system.plan.relays {
                system.relay(at);
            }
        }
        for at in 0..system.nodes.len() {
            system.start(at);
        }
        system
    }

    fn relay(&self, at: usize) {
        let (near, far) = (self.address(at, PEER), self.address(at, BEHIND));
        let names = (0..self.nodes.len()).map(|at| self.address(at, PEER).to_string()).collect();
        let faults = sync::Arc::clone(&self.faults);
        relay::Relay::open(&self.runtime, near, relay::Way { far, to: at, names, faults });
    }

    /// Adds an upstream, or another life of one at the same address.
    pub fn add_upstream(&mut self, id: &str, zone: usize, address: Option<net::SocketAddr>) {
        let options = platform::standin::Options {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            zone: zone_name(zone),
            cpu: UPSTREAM_CPU,
            task_cpu: TASK_CPU,
            length: Duration::from_millis(100),
            max_lease: Duration::from_secs(1),
            address: address.unwrap_or_else(|| net::SocketAddr::from(([127, 0, 0, 1], 0))),
            to: self.keepers().map(|at| self.operator(at)).collect(),
        };
        let upstream = platform::standin::Standin::start(&self.runtime, options).unwrap();
        self.upstreams.push(upstream);
    }

    /// Positions of the keepers.
    pub fn keepers(&self) -> impl Iterator<Item = usize> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.keeper).map(|(at, _)| at)
    }

    /// Positions of the entries.
    pub fn entries(&self) -> impl Iterator<Item = usize> {
        self.nodes.iter().enumerate().filter(|(_, node)| !node.keeper).map(|(at, _)| at)
    }

    /// Where clients reach an entry.
    pub fn client(&self, at: usize) -> net::SocketAddr {
        self.address(at, CLIENT)
    }

    /// Where operators and upstreams reach a keeper.
    pub fn operator(&self, at: usize) -> net::SocketAddr {
        self.address(at, OPERATOR)
    }

    fn address(&self, at: usize, port: u16) -> net::SocketAddr {
        net::SocketAddr::from(([127, self.block.byte, self.plan.net, at as u8 + 1], port))
    }

    /// The bootstrap file of an instance.
    pub fn file(&self, at: usize) -> path::PathBuf {
        self.folder.path().join(format!("{at}.json"))
    }

    /// Its data folder.
    pub fn data(&self, at: usize) -> path::PathBuf {
        self.folder.path().join(format!("{at}.data"))
    }

    /// Writes the bootstrap file of an instance, with further keys.
    pub fn write(&self, at: usize, first: bool, extra: &Value) {
        let seeds: Vec<_> = self.keepers().take(3).map(|at| self.operator(at)).collect();
        let mut file = json!({
            "instance": format!("node-{at}"),
            "availability_zone": zone_name(self.nodes[at].zone),
            "peer_address": self.address(at, PEER),
            "metrics_address": self.address(at, METRICS),
            "seeds": seeds,
            "first_start": first,
        });
        if self.plan.relays {
            file["peer_listen"] = json!(self.address(at, BEHIND));
        }
        if self.nodes[at].keeper {
            file["role"] = "keeper".into();
            file["operator_address"] = json!(self.operator(at));
            file["data_folder"] = json!(self.data(at));
        } else {
            file["role"] = "entry".into();
            file["client_address"] = json!(self.client(at));
            file["ready_address"] = json!(self.address(at, READY));
        }
        let map = file.as_object_mut().unwrap();
        map.extend(extra.as_object().cloned().unwrap_or_default());
        fs::write(self.file(at), file.to_string()).unwrap();
    }

    /// Starts the process of an instance.
    pub fn start(&mut self, at: usize) {
        let log = self.folder.path().join(format!("{at}.log"));
        let log = fs::OpenOptions::new().append(true).create(true).open(log).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["node", "--settings"])
            .arg(self.file(at))
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.nodes[at].child = Some(child);
        self.nodes[at].lives += 1;
    }

    /// Starts the process of an instance with a standard output that nobody reads.
    pub fn start_unread(&mut self, at: usize) {
        let child = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["node", "--settings"])
            .arg(self.file(at))
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        self.nodes[at].child = Some(child);
        self.nodes[at].lives += 1;
    }

    /// Sends a signal to a process of this system.
    pub fn signal(&self, at: usize, signal: &str) {
        let id = self.nodes[at].child.as_ref().unwrap().id().to_string();
        assert!(process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Ends a process at once.
    pub fn kill(&mut self, at: usize) {
        let mut child = self.nodes[at].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Hands a configuration to a keeper.
    pub fn publish(&self, at: usize, config: &Value) -> u16 {
        let url = format!("http://{}/apricotroute/config", self.operator(at));
        call(&agent(), "PUT", &url, config.to_string().as_bytes()).0
    }

    /// Reads the configuration at a keeper.
    pub fn read(&self, at: usize) -> (u16, Value) {
        get(&format!("http://{}/apricotroute/config", self.operator(at)))
    }

    /// The value of a metric of an instance, by its name and what stands among its labels.
    pub fn metric(&self, at: usize, name: &str, labels: &[&str]) -> Option<f64> {
        let url = format!("http://{}/metrics", self.address(at, METRICS));
        let text = agent().get(url).call().ok()?.body_mut().read_to_string().ok()?;
        let start = format!("apricotroute_{name}{{");
        let meant = |line: &&str| {
            line.starts_with(&start) && labels.iter().all(|label| line.contains(label))
        };
        text.lines().find(meant)?.rsplit(' ').next()?.parse().ok()
    }

    /// Whether an entry says that it takes clients.
    pub fn is_ready(&self, at: usize) -> bool {
        get(&format!("http://{}/apricotroute/ready", self.address(at, READY))).0 == 200
    }

    /// Waits until all entries take clients.
    pub fn wait_ready(&self) {
        for at in self.entries() {
            eventually(&format!("entry {at} is ready"), || self.is_ready(at));
        }
    }

    /// Submits a job at an entry.
    pub fn submit(&self, entry: usize, id: &str, count: u32) -> (u16, Value) {
        let url = format!("http://{}/board/{id}", self.client(entry));
        call(&agent(), "POST", &url, job(count).to_string().as_bytes())
    }

    /// What an instance has logged.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(self.folder.path().join(format!("{at}.log"))).unwrap_or_default()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().filter_map(|node| node.child.as_mut()) {
            // It may have ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// A job of one step.
pub fn job(count: u32) -> Value {
    let step = json!({"Count": count, "Cpu": TASK_CPU, "MemMb": 64, "EstimateMs": 100});
    json!({"Spec": "text", "BestEffort": true, "Steps": [step]})
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

/// A client that keeps its connections.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into()
}

/// A request with a body; status 0 if there was no whole answer.
pub fn call(agent: &ureq::Agent, method: &str, url: &str, body: &[u8]) -> (u16, Value) {
    let request = ureq::http::Request::builder().method(method).uri(url);
    let request = request.header("Host", HOST).header("Apricotroute-Deadline-Ms", "3000");
    let Ok(request) = request.body(body) else { return (0, Value::Null) };
    agent.run(request).map_or((0, Value::Null), read)
}

/// `GET`, as [`call`].
pub fn get(url: &str) -> (u16, Value) {
    agent().get(url).header("Host", HOST).call().map_or((0, Value::Null), read)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> (u16, Value) {
    let status = response.status().as_u16();
    match response.body_mut().read_to_string() {
        Ok(text) => (status, serde_json::from_str(&text).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

/// Waits until something holds, 15 s at most.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(15);
    while !check() {
        assert!(Instant::now() < until, "{what}");
        thread::sleep(Duration::from_millis(50));
    }
}
