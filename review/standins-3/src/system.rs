//! The project's own programs as processes on loopback addresses.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Json, quote},
    record::Record,
    relay,
};

const CLIENT_PORT: u16 = 7101;
const READY_PORT: u16 = 7102;
const OPERATOR_PORT: u16 = 7103;
const METRICS_PORT: u16 = 9464;
const PEER_PORT: u16 = 7301;
/// The port on which a node listens for its peers behind a relay.
const RELAYED_PORT: u16 = 7401;
pub const HOST: &str = "shop.example";
pub const SERVICE: &str = "board";

#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub is_keeper: bool,
    /// Number of the disk: one that is lost is replaced by an empty one.
    disk: u32,
    has_started: bool,
    child: Option<Child>,
}

#[derive(Debug)]
pub struct System {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    /// Cuts between nodes, where these reach each other through relays.
    pub cuts: Option<Arc<relay::Cuts>>,
    block: u8,
    _block_listener: TcpListener,
    record: Record,
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{}", ["a", "b", "c", "d"][zone])
}

impl System {
    /// Starts `keepers` keepers and `entries` entries in each of `zones` zones.
    pub fn start(
        zones: usize,
        keepers: usize,
        entries: usize,
        has_relays: bool,
        record: Record,
    ) -> Self {
        let (block, listener) = (130..250)
            .find_map(|block| {
                let at = SocketAddr::from(([127, block, 99, 250], 7100));
                Some((block, TcpListener::bind(at).ok()?))
            })
            .expect("a free block of loopback addresses");
        let unique = format!("apricotroute-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut nodes = Vec::new();
        for zone in 0..zones {
            for at in 0..keepers + entries {
                let is_keeper = at < keepers;
                let kind = if is_keeper { "keeper" } else { "entry" };
                let number = if is_keeper { at + 1 } else { at + 1 - keepers };
                let name = format!("{kind}-{}-{number}", zone_name(zone));
                nodes.push(Node {
                    name,
                    zone,
                    is_keeper,
                    disk: 1,
                    has_started: false,
                    child: None,
                });
            }
        }
        let cuts = has_relays.then(Arc::default);
        let mut system = Self { folder, nodes, cuts, block, _block_listener: listener, record };
        if let Some(cuts) = &system.cuts {
            let peers: Vec<_> =
                (0..system.nodes.len()).map(|at| system.address(at, PEER_PORT)).collect();
            for at in 0..peers.len() {
                let target = system.address(at, RELAYED_PORT);
                relay::start(peers[at], target, at, peers.clone(), Arc::clone(cuts));
            }
        }
        for at in 0..system.nodes.len() {
            system.write_settings(at, true);
        }
        for at in 0..system.nodes.len() {
            system.launch(at);
        }
        system
    }

    pub fn keepers(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| self.nodes[*at].is_keeper).collect()
    }

    pub fn entries(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| !self.nodes[*at].is_keeper).collect()
    }

    fn address(&self, at: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.block, 99, at as u8 + 1], port))
    }

    pub fn client(&self, at: usize) -> SocketAddr {
        self.address(at, CLIENT_PORT)
    }

    pub fn operator(&self, at: usize) -> SocketAddr {
        self.address(at, OPERATOR_PORT)
    }

    pub fn operators(&self) -> Vec<SocketAddr> {
        self.keepers().into_iter().map(|at| self.operator(at)).collect()
    }

    fn write_settings(&self, at: usize, is_first: bool) {
        let node = &self.nodes[at];
        let seeds: Vec<_> = self
            .keepers()
            .into_iter()
            .take(3)
            .map(|at| quote(&self.operator(at).to_string()))
            .collect();
        let zones = self.nodes.iter().map(|node| node.zone).max().unwrap_or(0) + 1;
        let zones: Vec<_> = (0..zones).map(|zone| quote(&zone_name(zone))).collect();
        let own = if node.is_keeper {
            let folder = self.folder.join(format!("{}.data-{}", node.name, node.disk));
            format!(
                "\"role\":\"keeper\",\"operator_address\":\"{}\",\"data_folder\":{},\
                 \"availability_zones\":[{}]",
                self.operator(at),
                quote(&folder.display().to_string()),
                zones.join(",")
            )
        } else {
            format!(
                "\"role\":\"entry\",\"client_address\":\"{}\",\"ready_address\":\"{}\"",
                self.client(at),
                self.address(at, READY_PORT)
            )
        };
        let text = format!(
            "{{\"instance\":{},\"availability_zone\":{},{own},\"peer_address\":\"{}\",\
             \"metrics_address\":\"{}\",\"seeds\":[{}],\"first_start\":{is_first},\
             \"cpu_share\":{},\"memory_mb\":260,\"descriptors\":4100,\"link_mbps\":1000.0,\
             \"lease_ms\":1000,\"grace_ms\":6000{}}}",
            quote(&node.name),
            quote(&zone_name(node.zone)),
            self.address(at, PEER_PORT),
            self.address(at, METRICS_PORT),
            seeds.join(","),
            if node.is_keeper { 0.5 } else { 0.25 },
            self.cuts.as_ref().map_or(String::new(), |_| {
                format!(",\"peer_listen\":\"{}\"", self.address(at, RELAYED_PORT))
            }),
        );
        let file = self.folder.join(format!("{}.json", node.name));
        // A running process reads the file when it has changed.
        let draft = self.folder.join(format!("{}.draft", node.name));
        fs::write(&draft, text).expect("a settings file");
        fs::rename(draft, file).expect("a settings file");
    }

    /// Adds a keeper with an empty disk and starts it. The settings of the others stay as they are.
    pub fn add_keeper(&mut self, zone: usize) -> usize {
        let at = self.nodes.len();
        let name = format!("keeper-{}-2", zone_name(zone));
        self.nodes.push(Node {
            name,
            zone,
            is_keeper: true,
            disk: 1,
            has_started: false,
            child: None,
        });
        self.write_settings(at, false);
        self.launch(at);
        at
    }

    /// Kills a keeper and starts it again at its address with an empty disk.
    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        self.nodes[at].disk += 1;
        self.record.write("node", &format!("{} has lost its disk", self.nodes[at].name));
    }

    /// Waits until a process that got SIGTERM has ended.
    pub fn wait_end(&mut self, at: usize) {
        while self.is_running(at) && !self.has_ended(at) {
            thread::sleep(Duration::from_millis(10));
        }
        self.nodes[at].child = None;
        self.record.write("node", &format!("{} has ended", self.nodes[at].name));
    }

    /// Reads the configuration from a keeper: status and version.
    pub fn read_version(&self, at: usize) -> (u16, Option<u64>) {
        let timeout = Duration::from_millis(1_500);
        let answer = http::call(self.operator(at), "GET", "/apricotroute/config", &[], "", timeout);
        let (status, body) = answer.map_or((0, String::new()), |a| (a.status, a.body));
        let version = Json::parse(&body).and_then(|body| body.get("Version").u64());
        let name = &self.nodes[at].name;
        self.record
            .write("read", &format!("configuration from {name}: {status}, version {version:?}"));
        (status, version.filter(|_| status == 200))
    }

    /// Starts the process of a node with the command of the deploy file.
    pub fn launch(&mut self, at: usize) {
        if self.is_running(at) {
            return;
        }
        if std::mem::replace(&mut self.nodes[at].has_started, true) {
            // Later starts are not the first one of the whole system.
            self.write_settings(at, false);
        }
        let log = self.folder.join(format!("{}.log", self.nodes[at].name));
        let log = fs::OpenOptions::new().append(true).create(true).open(log).expect("a log file");
        let file = self.folder.join(format!("{}.json", self.nodes[at].name));
        let child = Command::new("target/release/apricotroute")
            .args(["node", "--settings"])
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file");
        self.nodes[at].child = Some(child);
        self.record.write("node", &format!("{} starts", self.nodes[at].name));
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.nodes[at].child.is_some()
    }

    /// Whether the process of a node that should run has ended by itself.
    pub fn has_ended(&mut self, at: usize) -> bool {
        let child = self.nodes[at].child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.nodes[at].child.take() {
            let _killed = child.kill();
            let _status = child.wait();
            self.record.write("node", &format!("{} is killed", self.nodes[at].name));
        }
    }

    /// Sends a signal to a process that this system has started.
    pub fn signal(&self, at: usize, signal: &str) {
        if let Some(child) = &self.nodes[at].child {
            let _sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
            self.record.write("node", &format!("{} gets {signal}", self.nodes[at].name));
        }
    }

    /// Cuts a node off from others, both ways, or ends that.
    pub fn set_cut(&self, at: usize, others: &[usize], is_cut: bool) {
        let Some(cuts) = &self.cuts else { return };
        for other in others.iter().filter(|other| **other != at) {
            for (from, to) in [(at, *other), (*other, at)] {
                if is_cut { cuts.cut(from, to) } else { cuts.heal(from, to) }
            }
        }
        let how = if is_cut { "is cut off from" } else { "reaches again" };
        let names: Vec<_> = others.iter().map(|at| self.nodes[*at].name.as_str()).collect();
        self.record.write("node", &format!("{} {how} {}", self.nodes[at].name, names.join(" ")));
    }

    /// The nodes of a zone, and those of the others.
    pub fn split_by_zone(&self, zone: usize) -> (Vec<usize>, Vec<usize>) {
        (0..self.nodes.len()).partition(|at| self.nodes[*at].zone == zone)
    }

    /// Sends a configuration until a keeper acknowledges it; returns `false` after `limit`.
    pub fn publish(&self, config: &str, limit: Duration) -> bool {
        let (end, mut turn) = (Instant::now() + limit, 0);
        while Instant::now() < end {
            let keepers = self.operators();
            let to = keepers[turn % keepers.len()];
            turn += 1;
            let timeout = Duration::from_secs(1);
            let answer = http::call(to, "PUT", "/apricotroute/config", &[], config, timeout);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether an entry reports that it takes clients.
    pub fn is_ready(&self, at: usize) -> bool {
        let to = self.address(at, READY_PORT);
        let answer = http::call(to, "GET", "/apricotroute/ready", &[], "", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until all entries take clients; returns `false` after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.entries().into_iter().all(|at| self.is_ready(at)) {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for at in 0..self.nodes.len() {
            self.kill(at);
        }
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A configuration with one route, `/board/`.
pub fn config(version: u64, enforces: bool) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/board/\",\"Kind\":\"unsafe\",\"TimeoutMs\":30000,\"LatencyGoalMs\":60,\
         \"Priority\":0,\"Service\":\"{SERVICE}\",\"MaxAttempts\":3,\"Stretch\":1.6}}],\
         \"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":64,\
         \"Protocol\":\"h1\",\"Tls\":false,\"EnforcesCapacity\":{enforces},\"Standby\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}
