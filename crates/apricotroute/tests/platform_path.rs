//! Real processes on the platform's calls: keepers, entries, stand-in upstreams, an operator and
//! clients, all on loopback.

use std::{
    fs, net, path, process, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// A system of one zone on addresses of its own.
struct System {
    folder: tempfile::TempDir,
    net: u8,
    nodes: Vec<Option<process::Child>>,
    entries: usize,
    runtime: tokio::runtime::Runtime,
    upstreams: Vec<platform::standin::Standin>,
}

const KEEPERS: usize = 3;
const HOST: &str = "shop.example";

impl System {
    /// `net` tells the systems of this file apart: each has loopback addresses of its own.
    fn new(net: u8, entries: usize, upstreams: usize) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let folder = tempfile::tempdir().unwrap();
        let nodes = (0..KEEPERS + entries).map(|_| None).collect();
        let mut system = Self { folder, net, nodes, entries, runtime, upstreams: Vec::new() };
        for at in 0..KEEPERS + entries {
            system.write(at, true);
            system.start(at);
        }
        for at in 0..upstreams {
            system.add_upstream(&format!("i-{at}"));
        }
        system
    }

    fn add_upstream(&mut self, id: &str) {
        let options = platform::standin::Options {
            id: id.to_owned(),
            service: "board".to_owned(),
            zone: "west".to_owned(),
            cpu: 32_000,
            task_cpu: 14_000,
            length: Duration::from_millis(100),
            max_lease: Duration::from_secs(1),
            to: (0..KEEPERS).map(|at| self.address(at, 7103)).collect(),
        };
        let upstream = platform::standin::Standin::start(&self.runtime, options).unwrap();
        self.upstreams.push(upstream);
    }

    fn address(&self, at: usize, port: u16) -> net::SocketAddr {
        net::SocketAddr::from(([127, 77, self.net, at as u8 + 1], port))
    }

    fn file(&self, at: usize) -> path::PathBuf {
        self.folder.path().join(format!("{at}.json"))
    }

    fn write(&self, at: usize, first: bool) {
        let seeds: Vec<_> = (0..KEEPERS).map(|at| self.address(at, 7103).to_string()).collect();
        let mut file = json!({
            "instance": format!("west-{at}"),
            "availability_zone": "west",
            "peer_address": self.address(at, 7301).to_string(),
            "seeds": seeds,
            "first_start": first,
        });
        if at < KEEPERS {
            file["role"] = "keeper".into();
            file["operator_address"] = self.address(at, 7103).to_string().into();
            let folder = self.folder.path().join(format!("{at}.data"));
            file["data_folder"] = folder.to_str().unwrap().into();
        } else {
            file["role"] = "entry".into();
            file["client_address"] = self.address(at, 7101).to_string().into();
            file["ready_address"] = self.address(at, 7102).to_string().into();
        }
        fs::write(self.file(at), file.to_string()).unwrap();
    }

    fn start(&mut self, at: usize) {
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.folder.path().join(format!("{at}.log")))
            .unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["node", "--settings"])
            .arg(self.file(at))
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.nodes[at] = Some(child);
    }

    fn signal(&self, at: usize, signal: &str) {
        let id = self.nodes[at].as_ref().unwrap().id().to_string();
        assert!(process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    fn kill(&mut self, at: usize) {
        let mut child = self.nodes[at].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn publish(&self, at: usize, config: &Value) -> u16 {
        call("PUT", &format!("http://{}/apricotroute/config", self.address(at, 7103)), config).0
    }

    fn read(&self, at: usize) -> (u16, Value) {
        get(&format!("http://{}/apricotroute/config", self.address(at, 7103)))
    }

    fn wait_ready(&self) {
        for at in KEEPERS..KEEPERS + self.entries {
            let url = format!("http://{}/apricotroute/ready", self.address(at, 7102));
            eventually(&format!("entry {at} is ready"), || get(&url).0 == 200);
        }
    }

    fn submit(&self, entry: usize, id: &str, count: u32) -> (u16, Value) {
        let address = self.address(KEEPERS + entry, 7101);
        call("POST", &format!("http://{address}/board/{id}"), &job(count))
    }

    fn log(&self, at: usize) -> String {
        fs::read_to_string(self.folder.path().join(format!("{at}.log"))).unwrap_or_default()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().flatten() {
            // It may have ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn job(count: u32) -> Value {
    let step = json!({"Count": count, "Cpu": 14_000, "MemMb": 64, "EstimateMs": 100});
    json!({"Spec": "text", "BestEffort": true, "Steps": [step]})
}

fn config(version: u64) -> Value {
    json!({
        "Version": version,
        "Routes": [{"Name": "r", "Host": HOST, "PathPrefix": "/board/", "Kind": "unsafe",
            "TimeoutMs": 1500, "LatencyGoalMs": 60, "Priority": 0, "Service": "board",
            "MaxAttempts": 2, "Stretch": 1.6}],
        "Services": [{"Name": "board", "HealthPath": "/health", "MaxConns": 64,
            "Protocol": "h1", "Tls": false, "EnforcesCapacity": true, "Standby": false}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4096, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000},
    })
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into()
}

fn call(method: &str, url: &str, body: &Value) -> (u16, Value) {
    raw(method, url, body.to_string().as_bytes())
}

fn raw(method: &str, url: &str, body: &[u8]) -> (u16, Value) {
    let agent = agent();
    let request = if method == "PUT" { agent.put(url) } else { agent.post(url) };
    let request = request.header("Host", HOST).header("Apricotroute-Deadline-Ms", "3000");
    match request.send(body) {
        Ok(response) => read(response),
        Err(_) => (0, Value::Null),
    }
}

fn get(url: &str) -> (u16, Value) {
    match agent().get(url).header("Host", HOST).call() {
        Ok(response) => read(response),
        Err(_) => (0, Value::Null),
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> (u16, Value) {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().unwrap_or_default();
    (status, serde_json::from_str(&text).unwrap_or_default())
}

fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(15);
    while !check() {
        assert!(Instant::now() < until, "{what}");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn whole_path() {
    let system = System::new(1, 2, 4);
    let url = format!("http://{}/board/", system.address(KEEPERS, 7101));
    eventually("an entry answers", || get(&url).0 == 503);
    eventually("a keeper takes it", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    assert_eq!(system.read(1), (200, config(3)));
    for number in 0..10 {
        let id = format!("{number:016x}");
        let (status, body) = system.submit(number % 2, &id, 6);
        assert_eq!((status, body), (200, json!({"State": "completed"})));
    }
    let starts: u64 = system.upstreams.iter().map(|upstream| upstream.starts().0).sum();
    assert_eq!(starts, 60, "each task ran once");
    assert!(system.upstreams.iter().all(|upstream| upstream.starts().1 <= 2));
}

#[test]
fn bad_input() {
    let system = System::new(2, 1, 1);
    eventually("a keeper takes it", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    let change = |edit: fn(&mut Value)| {
        let mut config = config(9);
        edit(&mut config);
        config
    };
    let faulty = [
        change(|c| c["Routes"][0]["Service"] = "none".into()),
        change(|c| c["Routes"][0]["TimeoutMs"] = 0.into()),
        change(|c| c["Version"] = "nine".into()),
        change(|c| c["Routes"] = Value::Null),
        change(|c| {
            let route = c["Routes"][0].clone();
            c["Routes"].as_array_mut().unwrap().push(route);
        }),
    ];
    for config in faulty {
        assert_eq!(system.publish(0, &config), 400, "{config}");
    }
    let control = system.address(0, 7103);
    let cut = config(9).to_string();
    let (status, body) =
        raw("PUT", &format!("http://{control}/apricotroute/config"), &cut.as_bytes()[..200]);
    assert_eq!(status, 400);
    assert!(body["Error"].as_str().unwrap().contains("line 1"), "{body}");
    assert_eq!(system.publish(0, &config(3)), 200, "the same again");
    let mut other = config(3);
    other["Routes"][0]["TimeoutMs"] = 9.into();
    assert_eq!(system.publish(1, &other), 409);
    assert_eq!(system.read(2), (200, config(3)));

    let client = system.address(KEEPERS, 7101);
    let id = "00000000000000aa";
    let send = |path: &str, body: &[u8]| raw("POST", &format!("http://{client}{path}"), body).0;
    let sound = job(1).to_string();
    assert_eq!(send("/none/aa", sound.as_bytes()), 404);
    assert_eq!(send("/board/xyz", sound.as_bytes()), 400);
    assert_eq!(send(&format!("/board/{id}"), b"{"), 400);
    assert_eq!(send(&format!("/board/{id}"), &vec![b'x'; 5_000]), 413);
    assert_eq!(send(&format!("/board/{id}"), br#"{"Spec":"","Steps":[]}"#), 400);
    let kept = json!({"Spec": "", "Steps": [{"Count": 1, "Cpu": 1}]}).to_string();
    assert_eq!(send(&format!("/board/{id}"), kept.as_bytes()), 503, "not supported yet");
    assert_eq!(get(&format!("http://{client}/board/{id}")).0, 410);
    assert_eq!(get(&format!("http://{client}/board/")), (200, json!({"Pending": 0})));
    assert_eq!(system.submit(0, id, 1).0, 200, "nothing was held up by all that");
}

#[test]
fn scheduler_killed() {
    let mut system = System::new(3, 2, 4);
    eventually("a keeper takes it", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    assert_eq!(system.submit(0, "00000000000000b1", 4).0, 200);
    let scheduler = (0..KEEPERS).find(|at| system.log(*at).contains("zone: Scheduling")).unwrap();
    system.kill(scheduler);
    let began = Instant::now();
    assert_eq!(system.submit(1, "00000000000000b2", 4).0, 200);
    assert!(began.elapsed() < Duration::from_millis(1_900), "{:?}", began.elapsed());
    system.write(scheduler, false);
    system.start(scheduler);
    let other = (scheduler + 1) % KEEPERS;
    eventually("a change without a keeper", || system.publish(other, &config(4)) == 200);
    eventually("it catches up", || system.read(scheduler) == (200, config(4)));
}

#[test]
fn graceful_stop() {
    let mut system = System::new(4, 2, 4);
    eventually("a keeper takes it", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    let address = system.address(KEEPERS, 7101);
    let clients: Vec<_> = (0..4)
        .map(|at| {
            let url = format!("http://{address}/board/{:016x}", 0xc0 + at);
            thread::spawn(move || call("POST", &url, &job(4)).0)
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    system.signal(KEEPERS, "-TERM");
    for client in clients {
        assert_eq!(client.join().unwrap(), 200, "what is in progress ends");
    }
    let ready = format!("http://{}/apricotroute/ready", system.address(KEEPERS, 7102));
    assert_eq!(get(&ready).0, 503);
    assert_eq!(system.submit(0, "00000000000000c9", 1).0, 200, "the balancer still sends");
    let mut child = system.nodes[KEEPERS].take().unwrap();
    let began = Instant::now();
    assert!(child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_secs(6));
}

#[test]
fn reload() {
    let system = System::new(5, 1, 1);
    eventually("a keeper takes it", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    for _ in 0..3 {
        system.signal(KEEPERS, "-HUP");
    }
    eventually("it says so", || system.log(KEEPERS).contains("Settings read again"));
    fs::write(system.file(KEEPERS), "{").unwrap();
    system.signal(KEEPERS, "-HUP");
    eventually("it keeps the former", || system.log(KEEPERS).contains("keeping the former"));
    assert_eq!(system.submit(0, "00000000000000d1", 1).0, 200);
}
