//! `apricotroute demo` runs one instance and stand-in upstreams in one process, submits one job and
//! prints its result.

use std::{fs, sync, sync::atomic, thread, time};

use error_stack::ResultExt as _;
use serde_json::json;
use state::{boot, id, name};

use crate::{error, instance, logs, remote, standin};

const SERVICE: &str = "polish-board";
const TASKS: usize = 20;
const UPSTREAMS: usize = 2;

/// Runs the demonstration and returns the result of the job.
pub fn run() -> error::Result<String> {
    let context = |step| move || error::Error::new(step, "the demonstration");
    let folder = tempfile::tempdir().change_context_lazy(context("create folder of"))?;
    let boot = boot(folder.path())?;
    let instance = instance::Instance::start(&boot, logs::none())?;
    let client = remote::Remote::new(&instance.client_address().to_string());
    let operator = remote::Remote::new(&instance.operator_address().to_string());
    wait_ready(&operator)?;
    operator.put(&format!("/v1/settings/{SERVICE}"), br#"{"values": {}}"#)?;
    let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
    let upstreams = start_upstreams(&instance, &stopped)?;
    let answer = submit(&client, &boot.zone)?;
    stopped.store(true, atomic::Ordering::Relaxed);
    for upstream in upstreams {
        drop(upstream.join());
    }
    instance.stop();
    if answer.status == 200 {
        return Ok(answer.body);
    }
    Err(error_stack::Report::new(error::Error::new("submit job of", "the demonstration"))
        .attach(answer.body))
}

/// Returns the built-in settings: a single instance with its data in `folder`, a temporary folder
/// that is deleted at the end.
fn boot(folder: &std::path::Path) -> error::Result<boot::Boot> {
    let text = json!({
        "instance": "west-1",
        "availability_zone": "west",
        "client_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "data_folder": folder.join("west-1.data"),
        "log": {"level": "warning", "form": "text"},
    });
    boot::Boot::parse(&text.to_string()).map_err(|faults| {
        let list: Vec<_> = faults.iter().map(ToString::to_string).collect();
        error_stack::Report::new(error::Error::new("check settings of", "the demonstration"))
            .attach(list.join("; "))
    })
}

/// Waits until the instance reports that it is ready, for ten seconds at most.
pub fn wait_ready(operator: &remote::Remote) -> error::Result<()> {
    const TIMEOUT: time::Duration = time::Duration::from_secs(10);
    const PAUSE: time::Duration = time::Duration::from_millis(20);
    let until = time::Instant::now() + TIMEOUT;
    while time::Instant::now() < until {
        if operator.get("/readyz").is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        thread::sleep(PAUSE);
    }
    Err(error_stack::Report::new(error::Error::new("wait for", "the instance")))
}

fn start_upstreams(
    instance: &instance::Instance,
    stopped: &sync::Arc<atomic::AtomicBool>,
) -> error::Result<Vec<thread::JoinHandle<()>>> {
    let runtime = standin::runtime()?;
    let mut threads = Vec::new();
    for number in 1..=UPSTREAMS {
        let options = standin::Options {
            name: format!("u{number}"),
            service: SERVICE.to_owned(),
            zone: "west".to_owned(),
            listen: std::net::SocketAddr::from(([127, 0, 0, 1], 0)),
            instances: vec![instance.client_address().to_string()],
            slots: 8,
            service_time: time::Duration::from_millis(50),
            tail: 0,
            mode: standin::Mode::Answer,
            log: None,
            capacity: (None, None, None),
        };
        let upstream = standin::Standin::start(options, &runtime)?;
        let stopped = sync::Arc::clone(stopped);
        threads.push(thread::spawn(move || {
            upstream.announce(|| stopped.load(atomic::Ordering::Relaxed));
        }));
    }
    Ok(threads)
}

/// Submits the job, and retries while no upstream has announced itself yet (status 503).
fn submit(client: &remote::Remote, zone: &name::Name) -> error::Result<remote::Response> {
    const MAX_RETRIES: usize = 50;
    const PAUSE: time::Duration = time::Duration::from_millis(50);
    let tasks: Vec<_> = (0..TASKS).map(|number| json!({"payload": {"page": number}})).collect();
    let job = id::JobId::generate(zone).to_string();
    let body = json!({"job": job, "service": SERVICE, "deadline_ms": 5_000, "tasks": tasks});
    let mut answer = client.post("/v1/jobs", body.to_string().as_bytes())?;
    for _ in 0..MAX_RETRIES {
        if answer.status != 503 {
            break;
        }
        thread::sleep(PAUSE);
        answer = client.post("/v1/jobs", body.to_string().as_bytes())?;
    }
    Ok(answer)
}

/// Reads a file; an error contains its path.
pub fn read(path: &std::path::Path) -> error::Result<String> {
    fs::read_to_string(path).change_context_lazy(|| error::Error::new("read", path.display()))
}
