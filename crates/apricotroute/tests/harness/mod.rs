//! A cluster of real processes behind fault-injecting proxies, and checks of its results.

#![allow(dead_code, reason = "each test file uses only a part of the harness")]

pub mod check;
pub mod proxy;
pub mod upstream;

use std::{fs, net, path, process, sync, thread, time};

use serde_json::{Value, json};

/// Name of the service that the tests use.
pub const SERVICE: &str = "polish-board";

/// An instance that runs as a process.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub client: net::SocketAddr,
    pub operator: net::SocketAddr,
    pub boot_file: path::PathBuf,
    pub folder: Option<path::PathBuf>,
    pub child: Option<process::Child>,
}

/// Instances and the proxied links between them.
#[derive(Debug)]
pub struct Cluster {
    pub dir: tempfile::TempDir,
    pub instances: Vec<Instance>,
    pub links: Vec<Link>,
}

/// The proxied connection from one instance to another.
#[derive(Debug)]
pub struct Link {
    pub from: usize,
    pub to: usize,
    pub proxy: proxy::Proxy,
}

/// Configuration of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    zones: Vec<(String, usize)>,
    disks: usize,
    extra: Value,
}

impl ClusterConfig {
    /// Returns a configuration of one zone with `count` instances, all with disks.
    pub fn new(count: usize) -> Self {
        Self { zones: vec![("west".to_owned(), count)], disks: count, extra: json!({}) }
    }

    /// Returns a configuration of several zones, in which the first instance of each has a disk.
    pub fn with_zones(zones: &[(&str, usize)]) -> Self {
        let zones = zones.iter().map(|(zone, count)| ((*zone).to_owned(), *count)).collect();
        Self { zones, disks: 1, extra: json!({}) }
    }

    /// Sets how many instances of each zone have disks.
    pub fn with_disks(mut self, disks: usize) -> Self {
        self.disks = disks;
        self
    }

    /// Adds keys to every bootstrap file.
    pub fn with_extra(mut self, extra: Value) -> Self {
        self.extra = extra;
        self
    }

    /// Writes the bootstrap files and starts all instances.
    pub fn start(self) -> Cluster {
        let mut cluster = self.build();
        for index in 0..cluster.instances.len() {
            cluster.start(index);
        }
        cluster.wait_ready();
        cluster
    }

    /// Writes the bootstrap files without starting the instances.
    pub fn build(self) -> Cluster {
        let dir = tempfile::tempdir().unwrap();
        let mut instances = Vec::new();
        let mut peers = Vec::new();
        for (zone, count) in &self.zones {
            for number in 1..=*count {
                let name = format!("{zone}-{number}");
                let folder =
                    (number <= self.disks).then(|| dir.path().join(format!("{name}.data")));
                peers.push(free_address());
                instances.push(Instance {
                    boot_file: dir.path().join(format!("{name}.json")),
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
        for from in 0..instances.len() {
            for to in (0..instances.len()).filter(|to| *to != from) {
                links.push(Link { from, to, proxy: proxy::Proxy::start(peers[to]) });
            }
        }
        let cluster = Cluster { dir, instances, links };
        for (index, address) in peers.iter().enumerate() {
            cluster.write_boot_file(index, *address, &self.extra);
        }
        cluster
    }
}

impl Cluster {
    fn write_boot_file(&self, index: usize, peer: net::SocketAddr, extra: &Value) {
        let instance = &self.instances[index];
        let peers: Vec<_> = self
            .links
            .iter()
            .filter(|link| link.from == index)
            .map(|link| {
                let other = &self.instances[link.to];
                json!({
                    "instance": other.name,
                    "availability_zone": other.zone,
                    "peer_address": link.proxy.address().to_string(),
                    "disk": other.folder.is_some(),
                })
            })
            .collect();
        let mut boot = json!({
            "instance": instance.name,
            "availability_zone": instance.zone,
            "client_address": instance.client.to_string(),
            "operator_address": instance.operator.to_string(),
            "peer_address": peer.to_string(),
            "peers": peers,
            "log": {"level": "info", "form": "json"},
            "traces": {"file": self.dir.path().join(format!("{}.spans", instance.name))},
        });
        let map = boot.as_object_mut().unwrap();
        if let Some(folder) = &instance.folder {
            map.insert("data_folder".to_owned(), json!(folder));
        }
        map.extend(extra.as_object().cloned().unwrap_or_default());
        fs::write(&instance.boot_file, boot.to_string()).unwrap();
    }

    /// Starts an instance.
    pub fn start(&mut self, index: usize) {
        let log = self.dir.path().join(format!("{}.log", self.instances[index].name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["serve", "--settings"])
            .arg(&self.instances[index].boot_file)
            .stderr(log)
            .spawn()
            .unwrap();
        self.instances[index].child = Some(child);
    }

    /// Waits until every running instance is ready.
    pub fn wait_ready(&self) {
        for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
            let ready =
                || get(instance.operator, "/readyz").is_some_and(|(status, _)| status == 200);
            assert!(eventually(20_000, ready), "{} is not ready: {}", instance.name, self.report());
        }
    }

    /// Returns the status of every instance and the last lines of its log; without them a failure
    /// that occurs only once cannot be traced.
    fn report(&self) -> String {
        const LINES: usize = 40;
        let instance_report = |instance: &Instance| {
            let status = get(instance.operator, "/v1/status").map(|(_, body)| body);
            let log = fs::read_to_string(self.dir.path().join(format!("{}.log", instance.name)));
            let log = log.unwrap_or_else(|e| e.to_string());
            let lines: Vec<_> = log.lines().collect();
            let tail = lines[lines.len().saturating_sub(LINES)..].join("\n");
            format!("\n== {}: {}\n{tail}", instance.name, status.unwrap_or_default())
        };
        self.instances.iter().map(instance_report).collect()
    }

    /// Kills an instance at once, without a graceful shutdown.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.instances[index].child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, index: usize, signal: &str) {
        let pid = self.instances[index].child.as_ref().unwrap().id().to_string();
        let sent = process::Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success(), "kill {signal} {pid}");
    }

    /// Shuts an instance down gracefully and returns its exit code.
    pub fn terminate(&mut self, index: usize) -> Option<i32> {
        self.signal(index, "-TERM");
        self.instances[index].child.take().unwrap().wait().unwrap().code()
    }

    /// Cuts or restores the links from one set of instances to another.
    pub fn set_cut(&self, from: &[usize], to: &[usize], is_cut: bool) {
        for link in &self.links {
            if from.contains(&link.from) && to.contains(&link.to) {
                link.proxy.set_cut(is_cut);
            }
        }
    }

    /// Cuts or restores all links between one set of instances and all others, in both directions.
    pub fn set_isolated(&self, inside: &[usize], is_cut: bool) {
        let outside: Vec<_> =
            (0..self.instances.len()).filter(|index| !inside.contains(index)).collect();
        self.set_cut(inside, &outside, is_cut);
        self.set_cut(&outside, inside, is_cut);
    }

    /// Sends a settings change to an instance.
    pub fn change_settings(&self, index: usize, path: &str, body: &Value) -> (u16, Value) {
        put(self.instances[index].operator, &format!("/v1/settings/{path}"), body)
    }

    /// Creates the service that the tests use, and waits until every running instance has it.
    pub fn create_service(&self) {
        let (status, body) = self.change_settings(0, SERVICE, &json!({"values": {}}));
        assert_eq!(status, 200, "{body}");
        self.wait_version(body["version"].as_u64().unwrap());
    }

    /// Waits until every running instance has at least this version of the settings.
    pub fn wait_version(&self, version: u64) {
        for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
            let updated = || Self::settings_version(instance).is_some_and(|known| known >= version);
            assert!(
                eventually(5_000, updated),
                "{} has not reached settings version {version}: {}",
                instance.name,
                self.report()
            );
        }
    }

    /// Returns the version of the settings at an instance.
    pub fn settings_version(instance: &Instance) -> Option<u64> {
        get(instance.operator, "/v1/settings/")?.1["version"].as_u64()
    }

    /// Returns the status of an instance.
    pub fn status(&self, index: usize) -> Value {
        get(self.instances[index].operator, "/v1/status").map(|(_, body)| body).unwrap_or_default()
    }

    /// Waits for a leader of a group and returns its index, or `None` after 5 s without a leader.
    pub fn leader(&self, group: &str) -> Option<usize> {
        let mut found = None;
        eventually(5_000, || {
            found = self.current_leader(group);
            found.is_some()
        });
        found
    }

    fn current_leader(&self, group: &str) -> Option<usize> {
        let running = self.instances.iter().filter(|instance| instance.child.is_some());
        let names = running.filter_map(|instance| {
            let status = get(instance.operator, "/v1/status")?.1;
            let groups = status["groups"].as_array()?.clone();
            let found = groups.into_iter().find(|entry| entry["group"] == group)?;
            let leader = found["leader"].as_str()?.split('#').next()?.to_owned();
            (leader == instance.name).then_some(leader)
        });
        let name = names.into_iter().next()?;
        self.instances.iter().position(|instance| instance.name == name)
    }

    /// Starts an upstream process that announces itself to the given instances.
    pub fn start_upstream(
        &self,
        name: &str,
        zone: &str,
        to: &[usize],
        arguments: &[&str],
    ) -> upstream::Process {
        let to: Vec<_> = to.iter().map(|index| self.instances[*index].client.to_string()).collect();
        upstream::Process::start(self.dir.path(), name, zone, &to.join(","), arguments)
    }

    /// Waits until every running instance of a zone reports exactly `count` serving upstreams with
    /// a valid lease.
    pub fn wait_upstreams(&self, zone: &str, count: usize) {
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.child.is_none() || instance.zone != zone {
                continue;
            }
            let has_count = || {
                let status = self.status(index);
                let list = status["upstreams"].as_array().cloned().unwrap_or_default();
                let serving = |u: &Value| u["phase"] == "serving" && u["lease_ms"] != 0;
                list.iter().filter(|u| serving(u)).count() == count
            };
            assert!(
                eventually(8_000, has_count),
                "{} does not report {count} serving upstreams",
                instance.name
            );
        }
    }

    /// Submits a job to an instance.
    pub fn submit(&self, index: usize, job: &Value) -> (u16, Value) {
        post(self.instances[index].client, "/v1/jobs", job)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.instances.len() {
            self.kill(index);
        }
        if thread::panicking() {
            for instance in &self.instances {
                let log =
                    fs::read_to_string(self.dir.path().join(format!("{}.log", instance.name)));
                eprintln!("--- {}\n{}", instance.name, log.unwrap_or_default());
            }
        }
    }
}

/// Generates a new job id for a zone.
pub fn new_job_id(zone: &str) -> String {
    format!("{zone}-{}", uuid::Uuid::now_v7())
}

/// Returns a job of `tasks` tasks; the payload of each task is its index.
pub fn job(id: &str, tasks: usize, deadline_ms: u64) -> Value {
    let tasks: Vec<_> = (0..tasks).map(|index| json!({"payload": index})).collect();
    json!({"job": id, "service": SERVICE, "deadline_ms": deadline_ms, "tasks": tasks})
}

/// Returns whether `check` succeeds within `ms` milliseconds.
pub fn eventually(ms: u64, mut check: impl FnMut() -> bool) -> bool {
    let deadline = time::Instant::now() + time::Duration::from_millis(ms);
    while time::Instant::now() < deadline {
        if check() {
            return true;
        }
        sleep_ms(20);
    }
    check()
}

/// Sleeps for `ms` milliseconds.
pub fn sleep_ms(ms: u64) {
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

fn parse(response: Response) -> Option<(u16, Value)> {
    let mut response = response.ok()?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(64 << 20).read_to_string().ok()?;
    Some((status, serde_json::from_str(&body).unwrap_or(Value::String(body))))
}

/// Sends `GET`; returns `None` if the connection failed.
pub fn get(to: net::SocketAddr, path: &str) -> Option<(u16, Value)> {
    parse(agent().get(format!("http://{to}{path}")).call())
}

/// Sends `DELETE`; returns `None` if the connection failed.
pub fn delete(to: net::SocketAddr, path: &str) -> Option<(u16, Value)> {
    parse(agent().delete(format!("http://{to}{path}")).call())
}

/// Sends JSON by `POST`; returns status 0 if the connection failed.
pub fn post(to: net::SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let request = agent().post(format!("http://{to}{path}"));
    let response = request.header("Content-Type", "application/json").send(body.to_string());
    parse(response).unwrap_or((0, Value::Null))
}

/// Sends JSON by `PUT`; returns status 0 if the connection failed.
pub fn put(to: net::SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let request = agent().put(format!("http://{to}{path}"));
    let response = request.header("Content-Type", "application/json").send(body.to_string());
    parse(response).unwrap_or((0, Value::Null))
}

/// Returns an address that no other process and no other caller gets. The function does not bind
/// the address to test it, because a process that another thread is just starting would hold the
/// test socket open.
pub fn free_address() -> net::SocketAddr {
    static NEXT: sync::atomic::AtomicU32 = sync::atomic::AtomicU32::new(0);
    loopback_address(process::id(), NEXT.fetch_add(1, sync::atomic::Ordering::Relaxed))
}

/// Returns the address that belongs to a process id and an offset. The loopback network has a host
/// for every process id, apart from [`net::Ipv4Addr::LOCALHOST`] and from the hosts of the systems
/// in `tests/system`.
pub fn loopback_address(pid: u32, offset: u32) -> net::SocketAddr {
    // The range ends below the ports that the kernel assigns to outgoing connections.
    const PORTS: std::ops::Range<u32> = 10_000..30_000;
    // Exclusive upper bound of a process id without its low two bytes: process ids on Linux go up
    // to 2^22 (`PID_MAX_LIMIT`).
    const HIGH_LIMIT: u8 = 1 << 6;
    // Second byte of the lowest host address.
    const FIRST_BYTE: u8 = 128;
    let [_, high, middle, low] = pid.to_be_bytes();
    let port = PORTS.start + offset;
    assert!(
        high < HIGH_LIMIT && PORTS.contains(&port),
        "no address for process {pid} at offset {offset}"
    );
    net::SocketAddr::from(([127, FIRST_BYTE + high, middle, low], port as u16))
}
