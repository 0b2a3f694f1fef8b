//! Starts and ends the processes of a small deployment on loopback addresses.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, Identity},
    proxy::{self, Cut},
    record::Record,
    wire,
};

/// Host of all routes.
pub const HOST: &str = "shop.example";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const CLIENT_PORT: u16 = 7101;
const READY_PORT: u16 = 7102;
const OPERATOR_PORT: u16 = 7103;
const METRICS_PORT: u16 = 7104;
const PEER_PORT: u16 = 7110;
const EXECUTOR_PORT: u16 = 7120;
const PROXY_PORT: u16 = 7121;

#[derive(Debug)]
struct Instance {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A running system: in each of three zones a keeper, two entries and some executors.
#[derive(Debug)]
pub struct System {
    folder: PathBuf,
    block: u8,
    _reserved: TcpListener,
    instances: Vec<Instance>,
    pub executors: Vec<Arc<Executor>>,
    pub cuts: Vec<Arc<Cut>>,
    pub record: Arc<Record>,
}

impl System {
    /// Starts a system with executors of these sizes in each zone, in thousandths of a core, and
    /// waits until it serves.
    pub fn start(record: Arc<Record>, sizes: &[u64]) -> io::Result<Self> {
        let folder = PathBuf::from(env::var("CASE_FOLDER").map_err(io::Error::other)?);
        let reserve = |block: u8| {
            TcpListener::bind((Ipv4Addr::new(127, block, 7, 250), 7100)).ok().map(|l| (block, l))
        };
        let (block, reserved) =
            (130..230).find_map(reserve).ok_or_else(|| io::Error::other("no free addresses"))?;
        let mut system = Self {
            folder,
            block,
            _reserved: reserved,
            instances: Vec::new(),
            executors: Vec::new(),
            cuts: Vec::new(),
            record,
        };
        for zone in 0..ZONES.len() {
            for seat in 0..3 {
                system.add_instance(zone, seat)?;
            }
        }
        for at in 0..system.instances.len() {
            system.launch(at)?;
        }
        system.configure()?;
        let keepers: Vec<_> =
            (0..ZONES.len()).map(|zone| system.address(zone, 0, OPERATOR_PORT)).collect();
        for (zone, name) in ZONES.iter().enumerate() {
            for (which, cpu) in sizes.iter().copied().enumerate() {
                let cut = Arc::new(Cut::default());
                let seat = 3 + which;
                let listen = system.address(zone, seat, EXECUTOR_PORT);
                let address = system.address(zone, seat, PROXY_PORT);
                proxy::start(address, listen, Arc::clone(&cut))?;
                let id = format!("i-{name}-{which}");
                let identity = Identity { id, zone: (*name).to_owned(), address, cpu };
                let (cut_off, record) = (Arc::clone(&cut), Arc::clone(&system.record));
                let mut order = keepers.clone();
                order.rotate_left(zone);
                system.executors.push(Executor::start(identity, listen, order, cut_off, record)?);
                system.cuts.push(cut);
            }
        }
        system.await_ready()?;
        // Heartbeats between the instances carry the executors on.
        thread::sleep(Duration::from_secs(3));
        Ok(system)
    }

    fn address(&self, zone: usize, seat: usize, port: u16) -> SocketAddr {
        let host = (zone * 10 + seat + 1) as u8;
        SocketAddr::from((Ipv4Addr::new(127, self.block, 7, host), port))
    }

    /// The address of an entry for clients.
    pub fn entry(&self, zone: usize, which: usize) -> SocketAddr {
        self.address(zone, which + 1, CLIENT_PORT)
    }

    /// The address of a keeper for operators.
    pub fn keeper(&self, zone: usize) -> SocketAddr {
        self.address(zone, 0, OPERATOR_PORT)
    }

    fn add_instance(&mut self, zone: usize, seat: usize) -> io::Result<()> {
        let name = format!("{}-{seat}", ZONES[zone]);
        let at = |port| self.address(zone, seat, port);
        let seeds: Vec<_> =
            (0..ZONES.len()).map(|z| format!("\"{}\"", self.address(z, 0, OPERATOR_PORT))).collect();
        let own = if seat == 0 {
            let data = self.folder.join(format!("{name}.data"));
            let zones: Vec<_> = ZONES.iter().map(|zone| format!("\"{zone}\"")).collect();
            format!(
                "\"role\":\"keeper\",\"operator_address\":\"{}\",\"data_folder\":\"{}\",\
                 \"availability_zones\":[{}],\"cpu_share\":0.5,\"memory_mb\":256,",
                at(OPERATOR_PORT),
                data.display(),
                zones.join(",")
            )
        } else {
            format!(
                "\"role\":\"entry\",\"client_address\":\"{}\",\"ready_address\":\"{}\",\
                 \"cpu_share\":0.25,\"memory_mb\":260,",
                at(CLIENT_PORT),
                at(READY_PORT)
            )
        };
        let text = format!(
            "{{\"instance\":\"{name}\",\"availability_zone\":\"{}\",{own}\
             \"peer_address\":\"{}\",\"metrics_address\":\"{}\",\"seeds\":[{}],\
             \"first_start\":true,\"descriptors\":4096,\"link_mbps\":1000.0,\
             \"lease_ms\":1000,\"grace_ms\":6000}}",
            ZONES[zone],
            at(PEER_PORT),
            at(METRICS_PORT),
            seeds.join(",")
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        self.instances.push(Instance { settings, log, child: None });
        Ok(())
    }

    fn launch(&mut self, at: usize) -> io::Result<()> {
        let program = env::var("CASE_PROGRAM").map_err(io::Error::other)?;
        let instance = &mut self.instances[at];
        let log = fs::OpenOptions::new().create(true).append(true).open(&instance.log)?;
        let child = Command::new(program)
            .args(["node", "--settings"])
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        instance.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of a keeper.
    pub fn signal_keeper(&self, zone: usize, signal: &str) -> io::Result<()> {
        self.signal(zone * 3, signal)
    }

    fn signal(&self, at: usize, signal: &str) -> io::Result<()> {
        let Some(child) = &self.instances[at].child else { return Ok(()) };
        let command = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        let seat = if at % 3 == 0 { "the keeper".to_owned() } else { format!("entry {}", at % 3 - 1) };
        self.record.line(&format!("SIG{signal} to {seat} in {}", ZONES[at / 3]));
        if status.success() { Ok(()) } else { Err(io::Error::other("no signal could be sent")) }
    }

    fn configure(&self) -> io::Result<()> {
        let body = format!(
            "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\
             \"PathPrefix\":\"/q/\",\"Kind\":\"unsafe\",\"TimeoutMs\":15000,\"LatencyGoalMs\":60,\
             \"Priority\":0,\"Service\":\"board\",\"MaxAttempts\":3,\"Stretch\":1.6}}],\
             \"Services\":[{{\"Name\":\"board\",\"HealthPath\":\"/health\",\"MaxConns\":64,\
             \"Protocol\":\"h1\",\"Tls\":false,\"EnforcesCapacity\":true,\"Standby\":false}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
             \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
        );
        let deadline = Instant::now() + Duration::from_secs(20);
        for zone in (0..ZONES.len()).cycle() {
            let timeout = Duration::from_secs(1);
            let path = "/apricotroute/config";
            let answer = wire::call(self.keeper(zone), "PUT", path, &[], &body, timeout);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.line("configuration 7 is acknowledged");
                return Ok(());
            }
            if Instant::now() > deadline {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the configuration was not acknowledged"))
    }

    fn await_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let is_ready = |zone: usize, which: usize| {
            let at = self.address(zone, which + 1, READY_PORT);
            let path = "/apricotroute/ready";
            let answer = wire::call(at, "GET", path, &[], "", Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < deadline {
            if (0..ZONES.len()).all(|zone| (0..2).all(|which| is_ready(zone, which))) {
                self.record.line("all entries are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the entries did not become ready"))
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
