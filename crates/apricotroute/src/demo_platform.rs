//! `apricotroute demo --platform` runs a keeper, an entry and stand-in upstreams in one process,
//! publishes one configuration, submits one job and prints its result.

use std::{net, thread, time};

use error_stack::ResultExt as _;
use platform::sample;
use serde_json::json;
use state::node as settings;

use crate::{error, logs, node, remote};

const SERVICE: &str = "polish-board";
const UPSTREAMS: usize = 2;
/// Last byte of the loopback address of each instance. The instances use the same ports, so each
/// needs an address of its own.
const KEEPER: u8 = 2;
const ENTRY: u8 = 3;
/// Maximum time to retry a step while the instances and upstreams discover one another.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Runs the demonstration and returns the result of the job.
pub fn run() -> error::Result<String> {
    let context = |step| move || error::Error::new(step, "the demonstration");
    let folder = tempfile::tempdir().change_context_lazy(context("create folder of"))?;
    let [peer, operator, client, ready] = free_ports()?;
    let at = |host: u8, port| net::SocketAddr::from(([127, 0, 0, host], port));
    let (operator, client) = (at(KEEPER, operator), at(ENTRY, client));
    let _keeper = start(&json!({
        "instance": "west-1", "availability_zone": "west", "role": "keeper",
        "operator_address": operator, "peer_address": at(KEEPER, peer), "seeds": [operator],
        "first_start": true, "data_folder": folder.path().join("west-1.data"),
    }))?;
    let _entry = start(&json!({
        "instance": "west-2", "availability_zone": "west", "role": "entry",
        "client_address": client, "ready_address": at(ENTRY, ready),
        "peer_address": at(ENTRY, peer), "seeds": [operator],
    }))?;
    let runtime = crate::standin::runtime()?;
    let _upstreams = upstreams(&runtime, operator)?;
    publish(operator)?;
    submit(client)
}

fn start(file: &serde_json::Value) -> error::Result<node::Node> {
    let settings = settings::Node::parse(&file.to_string()).map_err(|faults| {
        let list: Vec<_> = faults.iter().map(ToString::to_string).collect();
        error_stack::Report::new(error::Error::new("check settings of", "the demonstration"))
            .attach(list.join("; "))
    })?;
    node::Node::start(&settings, &logs::none())
}

/// Returns ports on which no process is listening at present.
fn free_ports<const N: usize>() -> error::Result<[u16; N]> {
    let context = || error::Error::new("find a port for", "the demonstration");
    let mut listeners = Vec::new();
    let mut ports = [0; N];
    for port in &mut ports {
        let any = net::SocketAddr::from(([0, 0, 0, 0], 0));
        let listener = net::TcpListener::bind(any).change_context_lazy(context)?;
        *port = listener.local_addr().change_context_lazy(context)?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

fn upstreams(
    runtime: &tokio::runtime::Runtime,
    operator: net::SocketAddr,
) -> error::Result<Vec<platform::standin::Standin>> {
    let start = |number| {
        let options = platform::standin::Options {
            id: format!("i-{number}"),
            born: None,
            service: SERVICE.to_owned(),
            zone: "west".to_owned(),
            cpu: 32_000,
            task_cpu: 14_000,
            duration: time::Duration::from_millis(60),
            max_lease: time::Duration::from_secs(1),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            to: vec![operator],
        };
        platform::standin::Standin::start(runtime, options)
            .change_context_lazy(|| error::Error::new("start", "a stand-in upstream"))
    };
    (1..=UPSTREAMS).map(start).collect()
}

fn publish(operator: net::SocketAddr) -> error::Result<()> {
    let config = sample::config(SERVICE);
    let operator = remote::Remote::new(&operator.to_string());
    retry("publish a configuration of", || {
        let answer = operator.put(sample::CONFIG_PATH, config.as_bytes());
        answer.ok().filter(|answer| answer.status == 200).map(|_| ())
    })
}

fn submit(client: net::SocketAddr) -> error::Result<String> {
    let job = sample::job(8);
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let url = format!("http://{client}{}", sample::JOB_PATH);
    retry("submit job of", || {
        let sent = agent.post(&url).header("Host", sample::HOST).send(job.as_bytes());
        let mut response = sent.ok().filter(|response| response.status().as_u16() == 200)?;
        response.body_mut().read_to_string().ok()
    })
}

/// Retries `attempt` until it returns a value or [`TIMEOUT`] has passed.
fn retry<T>(step: &'static str, mut attempt: impl FnMut() -> Option<T>) -> error::Result<T> {
    const PAUSE: time::Duration = time::Duration::from_millis(50);
    let until = time::Instant::now() + TIMEOUT;
    while time::Instant::now() < until {
        if let Some(result) = attempt() {
            return Ok(result);
        }
        thread::sleep(PAUSE);
    }
    Err(error_stack::Report::new(error::Error::new(step, "the demonstration")))
}
