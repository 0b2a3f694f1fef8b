//! Tests of the platform's calls with real processes: keepers, entries, stand-in upstreams, an
//! operator and clients, all on loopback.

mod system;

use std::{
    fs,
    io::{Read as _, Write as _},
    net, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use system::{System, agent, config, get, job, wait_until};

const KEEPERS: usize = 3;

/// Starts one zone with three keepers; each system of this file needs its own `subnet`.
fn system(subnet: u8, entries: usize, upstreams: usize) -> System {
    let mut system =
        System::new(system::Layout { subnet, zones: vec![(KEEPERS, entries)], has_relays: false });
    for at in 0..upstreams {
        system.add_upstream(&format!("i-{at}"), 0, None);
    }
    system
}

fn request(method: &str, url: &str, body: &[u8]) -> (u16, Value) {
    system::call(&agent(), method, url, body)
}

#[test]
fn whole_path() {
    let system = system(1, 2, 4);
    let url = format!("http://{}/board/", system.client(KEEPERS));
    wait_until("an entry answers", || get(&url).0 == 503);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    assert_eq!(system.read_config(1), (200, config(3)));
    for number in 0..10 {
        let id = format!("{number:016x}");
        let (status, body) = system.submit(KEEPERS + number % 2, &id, 6);
        assert_eq!((status, body), (200, json!({"State": "completed"})));
    }
    let starts: u64 = system.upstreams.iter().map(|upstream| upstream.start_counts().0).sum();
    assert_eq!(starts, 60, "each task ran once");
    assert!(system.upstreams.iter().all(|upstream| upstream.start_counts().1 <= 2));
}

#[test]
fn bad_input() {
    let system = system(2, 1, 1);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
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
    let operator = system.operator(0);
    let text = config(9).to_string();
    let (status, body) =
        request("PUT", &format!("http://{operator}/apricotroute/config"), &text.as_bytes()[..200]);
    assert_eq!(status, 400);
    assert!(body["Error"].as_str().unwrap().contains("line 1"), "{body}");
    assert_eq!(system.publish(0, &config(3)), 200, "the same configuration again");
    let mut other = config(3);
    other["Routes"][0]["TimeoutMs"] = 9.into();
    assert_eq!(system.publish(1, &other), 409);
    assert_eq!(system.read_config(2), (200, config(3)));

    let client = system.client(KEEPERS);
    let id = "00000000000000aa";
    let send = |path: &str, body: &[u8]| request("POST", &format!("http://{client}{path}"), body).0;
    let valid = job(1).to_string();
    assert_eq!(send("/none/aa", valid.as_bytes()), 404);
    assert_eq!(send("/board/xyz", valid.as_bytes()), 400);
    assert_eq!(send(&format!("/board/{id}"), b"{"), 400);
    assert_eq!(send(&format!("/board/{id}"), &vec![b'x'; 5_000]), 413);
    assert_eq!(send(&format!("/board/{id}"), br#"{"Spec":"","Steps":[]}"#), 400);
    let unsupported = json!({"Spec": "", "Steps": [{"Count": 1, "Cpu": 1}]}).to_string();
    assert_eq!(
        send(&format!("/board/{id}"), unsupported.as_bytes()),
        503,
        "jobs without BestEffort are not supported yet"
    );
    assert_eq!(get(&format!("http://{client}/board/{id}")).0, 410);
    assert_eq!(get(&format!("http://{client}/board/")), (200, json!({"Pending": 0})));
    assert_eq!(system.submit(KEEPERS, id, 1).0, 200, "the refused requests delay no others");
}

/// Sends an incomplete request and leaves the connection open.
fn send_partial(to: net::SocketAddr, text: &str) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(to).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

#[test]
fn half_requests() {
    // Clients and upstreams that send half a request and then wait do not delay other requests.
    let system = system(6, 1, 2);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    let (client, operator) = (system.client(KEEPERS), system.operator(0));
    let head = "POST /board/00000000000000e0 HTTP/1.1\r\nHost: shop.example\r\n";
    let body =
        format!("{head}Content-Type: application/json\r\nContent-Length: 400\r\n\r\n{{\"Spec\"");
    let heartbeat =
        "PUT /apricotroute/instances/i-x HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n{";
    let open: Vec<_> = (0..200)
        .flat_map(|_| {
            [
                send_partial(client, head),
                send_partial(client, &body),
                send_partial(operator, heartbeat),
            ]
        })
        .collect();
    let began = Instant::now();
    assert_eq!(system.submit(KEEPERS, "00000000000000e1", 2).0, 200);
    assert_eq!(system.publish(0, &config(4)), 200);
    assert_eq!(system.read_config(0), (200, config(4)));
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    // The server answers a request that never completes with status 408.
    let mut slow = &open[1];
    slow.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut text = [0; 12];
    slow.read_exact(&mut text).unwrap();
    assert_eq!(&text, b"HTTP/1.1 408");
}

#[test]
fn scheduler_killed() {
    let mut system = system(3, 2, 4);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    assert_eq!(system.submit(KEEPERS, "00000000000000b1", 4).0, 200);
    let scheduler = (0..KEEPERS).find(|at| system.log(*at).contains("zone: Scheduling")).unwrap();
    system.kill(scheduler);
    let began = Instant::now();
    assert_eq!(system.submit(KEEPERS + 1, "00000000000000b2", 4).0, 200);
    assert!(began.elapsed() < Duration::from_millis(1_900), "{:?}", began.elapsed());
    system.write_boot_file(scheduler, false, &json!({}));
    system.start(scheduler);
    let other = (scheduler + 1) % KEEPERS;
    wait_until("a configuration is accepted without one keeper", || {
        system.publish(other, &config(4)) == 200
    });
    wait_until("the restarted keeper catches up", || {
        system.read_config(scheduler) == (200, config(4))
    });
}

#[test]
fn graceful_stop() {
    let mut system = system(4, 2, 4);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    let address = system.client(KEEPERS);
    let clients: Vec<_> = (0..4)
        .map(|at| {
            let url = format!("http://{address}/board/{:016x}", 0xc0 + at);
            thread::spawn(move || request("POST", &url, job(4).to_string().as_bytes()).0)
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    system.signal(KEEPERS, "-TERM");
    for client in clients {
        assert_eq!(client.join().unwrap(), 200, "requests in progress complete");
    }
    assert!(!system.is_ready(KEEPERS));
    assert_eq!(
        system.submit(KEEPERS, "00000000000000c9", 1).0,
        200,
        "the load balancer still sends requests to a draining entry"
    );
    let mut child = system.instances[KEEPERS].child.take().unwrap();
    let began = Instant::now();
    assert!(child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_secs(6));
}

#[test]
fn reload() {
    let system = system(5, 1, 1);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    for _ in 0..3 {
        system.signal(KEEPERS, "-HUP");
    }
    wait_until("the entry logs the reload", || system.log(KEEPERS).contains("Settings read again"));
    fs::write(system.boot_file(KEEPERS), "{").unwrap();
    system.signal(KEEPERS, "-HUP");
    wait_until("the entry keeps the former settings", || {
        system.log(KEEPERS).contains("keeping the former")
    });
    assert_eq!(system.submit(KEEPERS, "00000000000000d1", 1).0, 200);
}

#[test]
fn output_blocked() {
    // Unread log lines fill the pipe (64 KiB) and the queue before it; the process then drops
    // further lines.
    let mut system = system(7, 1, 2);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    for at in 0..=KEEPERS {
        system.kill(at);
    }
    for at in 0..=KEEPERS {
        system.write_boot_file(at, false, &json!({}));
        system.start_unread(at);
    }
    system.wait_ready();
    for number in 0..120 {
        let id = format!("{:016x}", 0xf000 + number);
        let (status, body) = system.submit(KEEPERS, &id, 2);
        assert_eq!(status, 200, "job {number}: {body}");
    }
    system.signal(KEEPERS, "-TERM");
    let mut child = system.instances[KEEPERS].child.take().unwrap();
    let began = Instant::now();
    wait_until("the process ends although its output is blocked", || {
        child.try_wait().unwrap().is_some()
    });
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
}

#[test]
fn measures() {
    let system = system(8, 1, 2);
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    assert_eq!(system.submit(KEEPERS, "000000000000ee01", 4).0, 200);
    let too_large = json!({"Spec": "", "BestEffort": true, "Steps": [{"Count": 1, "Cpu": 64_000}]});
    let url = format!("http://{}/board/000000000000ee02", system.client(KEEPERS));
    let failed = (200, json!({"State": "failed"}));
    assert_eq!(
        request("POST", &url, too_large.to_string().as_bytes()),
        failed,
        "no upstream is large enough"
    );
    let value = |at, name: &str| system.metric(at, name, &[]);
    let scheduling = |at: &usize| value(*at, "scheduling") == Some(1.0);
    wait_until("one keeper schedules", || (0..KEEPERS).filter(scheduling).count() == 1);
    let keeper = (0..KEEPERS).find(scheduling).unwrap();
    wait_until("the gauges are up to date", || value(keeper, "free_cores") == Some(64.0));
    assert_eq!(value(keeper, "start_wait_seconds_count"), Some(4.0));
    assert_eq!(value(keeper, "upstreams"), Some(2.0));
    assert_eq!(value(keeper, "settings_voters"), Some(3.0));
    let labels = ["order=\"start\"", "outcome=\"done\""];
    assert_eq!(system.metric(keeper, "upstream_call_seconds_count", &labels), Some(4.0));
    for outcome in ["outcome=\"complete\"", "outcome=\"too_large\""] {
        let labels = [outcome, "service=\"board\""];
        let count = system.metric(KEEPERS, "reply_seconds_count", &labels);
        assert_eq!(count, Some(1.0), "{outcome}");
    }
    // Gauges are at most half a second old.
    wait_until("the gauges of the entry are up to date", || {
        value(KEEPERS, "settings_version") == Some(3.0)
    });
    assert_eq!(value(KEEPERS, "routed_version"), Some(3.0));
    let leading = |at: &usize| value(*at, "settings_leading") == Some(1.0);
    wait_until("one keeper leads", || (0..KEEPERS).filter(leading).count() == 1);
    assert!((0..KEEPERS).all(|at| value(at, "disk_sync_seconds_count") > Some(0.0)));
}
