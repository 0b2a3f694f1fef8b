//! Clients of a soak run of configurations that observe which routes each entry serves.

use std::{
    net,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, rngs::SmallRng};

use super::orders::Ledger;
use crate::system::{self, HOST};

/// What a request showed of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The route exists.
    Served,
    /// The route exists, and the task of this job shows which service it leads to.
    Ran(String),
    /// The route does not exist.
    Missing,
}

/// A request that an entry answered.
#[derive(Clone, Debug)]
pub struct Probe {
    pub entry: usize,
    /// Number of the entry's process.
    pub launch: u32,
    pub sent: Instant,
    pub answered: Instant,
    pub prefix: String,
    pub seen: Seen,
}

/// Requests routes that were changed lately from one entry, one after the other. `launch` gives
/// the number of the entry's process, or `None` while it is down.
pub fn run(
    ledger: &Ledger,
    probes: &Mutex<Vec<Probe>>,
    (entry, address): (usize, net::SocketAddr),
    rng: &mut SmallRng,
    launch: &dyn Fn(usize) -> Option<u32>,
) {
    const PAUSE: Duration = Duration::from_millis(40);
    let agent = agent();
    while !ledger.is_stopped() {
        thread::sleep(PAUSE);
        let Some(current) = launch(entry) else { continue };
        let prefix = {
            let changed = ledger.changed.lock().unwrap();
            if changed.is_empty() {
                continue;
            }
            changed[rng.random_range(0..changed.len())].clone()
        };
        let sent = Instant::now();
        let seen = if rng.random_range(0..4) == 0 {
            submit(&agent, address, &prefix, rng)
        } else {
            request(&agent, address, &prefix)
        };
        let answered = Instant::now();
        if let Some(seen) = seen
            && launch(entry) == Some(current)
        {
            let probe = Probe { entry, launch: current, sent, answered, prefix, seen };
            probes.lock().unwrap().push(probe);
        }
    }
}

fn agent() -> ureq::Agent {
    const TIMEOUT: Duration = Duration::from_secs(3);
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into()
}

/// Asks for the length of a queue.
pub fn request(agent: &ureq::Agent, address: net::SocketAddr, prefix: &str) -> Option<Seen> {
    let url = format!("http://{address}{prefix}");
    let response = agent.get(url).header("Host", HOST).call().ok()?;
    match response.status().as_u16() {
        200 => Some(Seen::Served),
        404 => Some(Seen::Missing),
        _ => None,
    }
}

fn submit(
    agent: &ureq::Agent,
    address: net::SocketAddr,
    prefix: &str,
    rng: &mut SmallRng,
) -> Option<Seen> {
    let id = format!("{:016x}", rng.random::<u64>());
    let url = format!("http://{address}{prefix}{id}");
    let request = agent.post(url).header("Host", HOST).header("Apricotroute-Deadline-Ms", "2000");
    let response = request.send(system::job(1).to_string()).ok()?;
    match response.status().as_u16() {
        200 => Some(Seen::Ran(id)),
        404 => Some(Seen::Missing),
        // The route exists, but its service has no room or the time is over.
        429 | 504 => Some(Seen::Served),
        _ => None,
    }
}
