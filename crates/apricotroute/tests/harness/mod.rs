//! Real processes behind fault-injecting proxies, and a checker of what they did.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

pub mod check;
pub mod proxy;
pub mod upstream;

use std::{fs, net, path, process, sync, thread, time};

use serde_json::{Value, json};

/// The service that tests run.
pub const SERVICE: &str = "polish-board";

/// One instance as a process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub client: net::SocketAddr,
    pub operator: net::SocketAddr,
    pub settings: path::PathBuf,
    pub folder: Option<path::PathBuf>,
    pub child: Option<process::Child>,
}

/// Instances, the links between them, and upstreams.
#[derive(Debug)]
pub struct Cluster {
    pub dir: tempfile::TempDir,
    pub nodes: Vec<Node>,
    pub links: Vec<Link>,
}

/// The stream from one instance to another.
#[derive(Debug)]
pub struct Link {
    pub from: usize,
    pub to: usize,
    pub proxy: proxy::Proxy,
}

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    zones: Vec<(String, usize)>,
    disks: usize,
    extra: Value,
}

impl Plan {
    /// One zone of so many instances, all with disks.
    pub fn new(count: usize) -> Self {
        Self { zones: vec![("west".to_owned(), count)], disks: count, extra: json!({}) }
    }

    /// Several zones; the first instance of each has a disk.
    pub fn with_zones(zones: &[(&str, usize)]) -> Self {
        let zones = zones.iter().map(|(zone, count)| ((*zone).to_owned(), *count)).collect();
        Self { zones, disks: 1, extra: json!({}) }
    }

    /// So many instances of each zone have disks.
    pub fn with_disks(mut self, disks: usize) -> Self {
        self.disks = disks;
        self
    }

    /// Further keys of every bootstrap file.
    pub fn with_extra(mut self, extra: Value) -> Self {
        self.extra = extra;
        self
    }

    /// Writes the bootstrap files and starts all instances.
    pub fn start(self) -> Cluster {
        let mut cluster = self.lay_out();
        for at in 0..cluster.nodes.len() {
            cluster.start(at);
        }
        cluster.wait_ready();
        cluster
    }

    fn lay_out(self) -> Cluster {
        let dir = tempfile::tempdir().unwrap();
        let mut nodes = Vec::new();
        let mut peers = Vec::new();
        for (zone, count) in &self.zones {
            for number in 1..=*count {
                let name = format!("{zone}-{number}");
                let folder =
                    (number <= self.disks).then(|| dir.path().join(format!("{name}.data")));
                peers.push(free_address());
                nodes.push(Node {
                    settings: dir.path().join(format!("{name}.json")),
                    zone: zone.clone(),
                    client: free_address(),
                    operator: free_address(),
                    folder,
                    child: None,
                    name,
                });
            }
        }
        let mut links = Vec::new();
        for from in 0..nodes.len() {
            for to in (0..nodes.len()).filter(|to| *to != from) {
                links.push(Link { from, to, proxy: proxy::Proxy::start(peers[to]) });
            }
        }
        let cluster = Cluster { dir, nodes, links };
        for (at, address) in peers.iter().enumerate() {
            cluster.write_settings(at, *address, &self.extra);
        }
        cluster
    }
}

impl Cluster {
    fn write_settings(&self, at: usize, peer: net::SocketAddr, extra: &Value) {
        let node = &self.nodes[at];
        let peers: Vec<_> = self
            .links
            .iter()
            .filter(|link| link.from == at)
            .map(|link| {
                let other = &self.nodes[link.to];
                json!({
                    "instance": other.name,
                    "availability_zone": other.zone,
                    "peer_address": link.proxy.address().to_string(),
                    "disk": other.folder.is_some(),
                })
            })
            .collect();
        let mut boot = json!({
            "instance": node.name,
            "availability_zone": node.zone,
            "client_address": node.client.to_string(),
            "operator_address": node.operator.to_string(),
            "peer_address": peer.to_string(),
            "peers": peers,
            "log": {"level": "info", "form": "json"},
            "traces": {"file": self.dir.path().join(format!("{}.spans", node.name))},
        });
        let map = boot.as_object_mut().unwrap();
        if let Some(folder) = &node.folder {
            map.insert("data_folder".to_owned(), json!(folder));
        }
        map.extend(extra.as_object().cloned().unwrap_or_default());
        fs::write(&node.settings, boot.to_string()).unwrap();
    }

    /// Starts an instance.
    pub fn start(&mut self, at: usize) {
        let log = self.dir.path().join(format!("{}.log", self.nodes[at].name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["serve", "--settings"])
            .arg(&self.nodes[at].settings)
            .stderr(log)
            .spawn()
            .unwrap();
        self.nodes[at].child = Some(child);
    }

    /// Waits until every running instance is ready.
    pub fn wait_ready(&self) {
        for node in self.nodes.iter().filter(|node| node.child.is_some()) {
            let ready = || get(node.operator, "/readyz").is_some_and(|(status, _)| status == 200);
            assert!(eventually(20_000, ready), "{} is not ready: {}", node.name, self.report());
        }
    }

    /// What every instance says of itself, and the last lines of its log: without it a failure
    /// that is seen once cannot be traced.
    fn report(&self) -> String {
        const LINES: usize = 40;
        let one = |node: &Node| {
            let status = get(node.operator, "/v1/status").map(|(_, body)| body);
            let log = fs::read_to_string(self.dir.path().join(format!("{}.log", node.name)));
            let log = log.unwrap_or_else(|e| e.to_string());
            let lines: Vec<_> = log.lines().collect();
            let last = lines[lines.len().saturating_sub(LINES)..].join("\n");
            format!("\n== {}: {}\n{last}", node.name, status.unwrap_or_default())
        };
        self.nodes.iter().map(one).collect()
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.nodes[at].child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, at: usize, signal: &str) {
        let pid = self.nodes[at].child.as_ref().unwrap().id().to_string();
        let sent = process::Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success(), "kill {signal} {pid}");
    }

    /// Ends an instance gracefully and gives its exit code.
    pub fn terminate(&mut self, at: usize) -> Option<i32> {
        self.signal(at, "-TERM");
        self.nodes[at].child.take().unwrap().wait().unwrap().code()
    }

    /// Cuts or heals the streams from one set of instances to another.
    pub fn cut(&self, from: &[usize], to: &[usize], cut: bool) {
        for link in &self.links {
            if from.contains(&link.from) && to.contains(&link.to) {
                link.proxy.cut(cut);
            }
        }
    }

    /// Cuts or heals everything between one set of instances and all others.
    pub fn isolate(&self, inside: &[usize], cut: bool) {
        let outside: Vec<_> = (0..self.nodes.len()).filter(|at| !inside.contains(at)).collect();
        self.cut(inside, &outside, cut);
        self.cut(&outside, inside, cut);
    }

    /// Changes settings at an instance.
    pub fn set(&self, at: usize, path: &str, body: &Value) -> (u16, Value) {
        put(self.nodes[at].operator, &format!("/v1/settings/{path}"), body)
    }

    /// Creates the service that tests run, and waits until it is known everywhere.
    pub fn create_service(&self) {
        let (status, body) = self.set(0, SERVICE, &json!({"values": {}}));
        assert_eq!(status, 200, "{body}");
        self.wait_version(body["version"].as_u64().unwrap());
    }

    /// Waits until every running instance has at least this version of the settings.
    pub fn wait_version(&self, version: u64) {
        for node in self.nodes.iter().filter(|node| node.child.is_some()) {
            let known = || Self::version(node).is_some_and(|known| known >= version);
            assert!(eventually(5_000, known), "{} has no version {version}", node.name);
        }
    }

    /// Version of the settings at an instance.
    pub fn version(node: &Node) -> Option<u64> {
        get(node.operator, "/v1/settings/")?.1["version"].as_u64()
    }

    /// Status of an instance.
    pub fn status(&self, at: usize) -> Value {
        get(self.nodes[at].operator, "/v1/status").map(|(_, body)| body).unwrap_or_default()
    }

    /// Position of the leader of a group, once there is one.
    pub fn leader(&self, group: &str) -> Option<usize> {
        let mut found = None;
        eventually(5_000, || {
            found = self.leader_now(group);
            found.is_some()
        });
        found
    }

    fn leader_now(&self, group: &str) -> Option<usize> {
        let running = self.nodes.iter().filter(|node| node.child.is_some());
        let names = running.filter_map(|node| {
            let status = get(node.operator, "/v1/status")?.1;
            let groups = status["groups"].as_array()?.clone();
            let found = groups.into_iter().find(|entry| entry["group"] == group)?;
            let leader = found["leader"].as_str()?.split('#').next()?.to_owned();
            (leader == node.name).then_some(leader)
        });
        let name = names.into_iter().next()?;
        self.nodes.iter().position(|node| node.name == name)
    }

    /// Starts an upstream process that announces itself to the given instances.
    pub fn upstream(
        &self,
        name: &str,
        zone: &str,
        to: &[usize],
        more: &[&str],
    ) -> upstream::Process {
        let to: Vec<_> = to.iter().map(|at| self.nodes[*at].client.to_string()).collect();
        upstream::Process::start(self.dir.path(), name, zone, &to.join(","), more)
    }

    /// Waits until every running instance of a zone knows so many open upstreams.
    pub fn wait_upstreams(&self, zone: &str, count: usize) {
        for (at, node) in self.nodes.iter().enumerate() {
            if node.child.is_none() || node.zone != zone {
                continue;
            }
            let open = || {
                let status = self.status(at);
                let list = status["upstreams"].as_array().cloned().unwrap_or_default();
                let serving = |u: &Value| u["phase"] == "serving" && u["lease_ms"] != 0;
                list.iter().filter(|u| serving(u)).count() == count
            };
            assert!(eventually(8_000, open), "{} knows other upstreams", node.name);
        }
    }

    /// Submits a job at an instance.
    pub fn submit(&self, at: usize, job: &Value) -> (u16, Value) {
        post(self.nodes[at].client, "/v1/jobs", job)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.nodes.len() {
            self.kill(at);
        }
        if thread::panicking() {
            for node in &self.nodes {
                let log = fs::read_to_string(self.dir.path().join(format!("{}.log", node.name)));
                eprintln!("--- {}\n{}", node.name, log.unwrap_or_default());
            }
        }
    }
}

/// A fresh job id for a zone.
pub fn mint(zone: &str) -> String {
    format!("{zone}-{}", uuid::Uuid::now_v7())
}

/// A job of so many tasks, each with its number as payload.
pub fn job(id: &str, tasks: usize, deadline_ms: u64) -> Value {
    let tasks: Vec<_> = (0..tasks).map(|number| json!({"payload": number})).collect();
    json!({"job": id, "service": SERVICE, "deadline_ms": deadline_ms, "tasks": tasks})
}

/// Whether `check` holds within so many milliseconds.
pub fn eventually(ms: u64, mut check: impl FnMut() -> bool) -> bool {
    let until = time::Instant::now() + time::Duration::from_millis(ms);
    while time::Instant::now() < until {
        if check() {
            return true;
        }
        pause(20);
    }
    check()
}

/// Sleeps so many milliseconds.
pub fn pause(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

fn agent() -> &'static ureq::Agent {
    static AGENT: sync::OnceLock<ureq::Agent> = sync::OnceLock::new();
    AGENT.get_or_init(|| {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(time::Duration::from_mins(1)))
            .max_idle_connections(0)
            .build();
        config.into()
    })
}

type Response = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn read(response: Response) -> Option<(u16, Value)> {
    let mut response = response.ok()?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(64 << 20).read_to_string().ok()?;
    Some((status, serde_json::from_str(&body).unwrap_or(Value::String(body))))
}

/// `GET`; nothing if the connection failed.
pub fn get(to: net::SocketAddr, path: &str) -> Option<(u16, Value)> {
    read(agent().get(format!("http://{to}{path}")).call())
}

/// `DELETE`; nothing if the connection failed.
pub fn delete(to: net::SocketAddr, path: &str) -> Option<(u16, Value)> {
    read(agent().delete(format!("http://{to}{path}")).call())
}

/// `POST` of JSON; status 0 if the connection failed.
pub fn post(to: net::SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let request = agent().post(format!("http://{to}{path}"));
    let response = request.header("Content-Type", "application/json").send(body.to_string());
    read(response).unwrap_or((0, Value::Null))
}

/// `PUT` of JSON; status 0 if the connection failed.
pub fn put(to: net::SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let request = agent().put(format!("http://{to}{path}"));
    let response = request.header("Content-Type", "application/json").send(body.to_string());
    read(response).unwrap_or((0, Value::Null))
}

/// An address that no other process and no other caller gets. It is not tried first: the socket of
/// a trial stays open in a process that another thread is just starting.
pub fn free_address() -> net::SocketAddr {
    static NEXT: sync::atomic::AtomicU32 = sync::atomic::AtomicU32::new(0);
    address_of(process::id(), NEXT.fetch_add(1, sync::atomic::Ordering::Relaxed))
}

/// The address of a process at a step: the loopback network has a host for every process number,
/// beside those of [`net::Ipv4Addr::LOCALHOST`] and of the systems on the platform's calls.
pub fn address_of(process: u32, step: u32) -> net::SocketAddr {
    // The ports end below those that outgoing connections get.
    const PORTS: std::ops::Range<u32> = 10_000..30_000;
    // What of a process number is above its last two bytes: Linux counts to 2^22
    // (`PID_MAX_LIMIT`).
    const HIGH: u8 = 1 << 6;
    // Second byte of the first host.
    const FIRST: u8 = 128;
    let [_, high, middle, low] = process.to_be_bytes();
    let port = PORTS.start + step;
    assert!(high < HIGH && PORTS.contains(&port), "no address for {process} at {step}");
    net::SocketAddr::from(([127, FIRST + high, middle, low], port as u16))
}
