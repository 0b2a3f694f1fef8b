//! Clients and operators of a soak, and what they saw.

use std::{
    collections,
    sync::{Mutex, atomic},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde_json::{Value, json};

use crate::system;

/// A client comes again after this when it had no answer, as the platform's clients do.
const RESEND: Duration = Duration::from_millis(1_300);
/// Tries of one request.
const TRIES: u32 = 4;

/// One request of a client, with all its tries.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub tasks: u32,
    pub first: Instant,
    /// Status of each try, 0 for no whole answer, and when it was known.
    pub tries: Vec<(u16, Instant)>,
    pub state: String,
}

impl Request {
    /// Status of the last try.
    pub fn last(&self) -> u16 {
        self.tries.last().map_or(0, |(status, _)| *status)
    }
}

/// What everybody saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub requests: Mutex<Vec<Request>>,
    /// Configurations that were handed in: version, content, when it was acknowledged.
    pub published: Mutex<Vec<(u64, Value, Option<Instant>)>>,
    /// Reads: when they were sent, and what came.
    pub reads: Mutex<Vec<(Instant, u64, Value)>>,
    pub faults: Mutex<Vec<String>>,
    pub ended: atomic::AtomicBool,
    version: atomic::AtomicU64,
}

impl Seen {
    /// Notes a broken promise.
    pub fn fault(&self, text: String) {
        self.faults.lock().unwrap().push(text);
    }

    fn is_over(&self) -> bool {
        self.ended.load(atomic::Ordering::SeqCst)
    }

    /// The next version that an operator uses; versions grow in uneven steps.
    pub fn next_version(&self, step: u64) -> u64 {
        self.version.fetch_add(step, atomic::Ordering::SeqCst) + step
    }

    /// The highest version that was acknowledged before a moment.
    pub fn acknowledged(&self, before: Instant) -> u64 {
        let published = self.published.lock().unwrap();
        let known = published.iter().filter(|(_, _, at)| at.is_some_and(|at| at <= before));
        known.map(|(version, ..)| *version).max().unwrap_or(0)
    }
}

/// A client that sends one request after the other to the entries at `addresses`; it keeps its
/// connections until they break.
pub fn client(view: &Seen, seed: u64, addresses: &[std::net::SocketAddr], pause: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let agent = system::agent();
    let mut at = rng.random_range(0..addresses.len());
    while !view.is_over() {
        let (id, tasks) = (format!("{:016x}", rng.random::<u64>()), rng.random_range(1..5));
        let (first, tries, state) = (Instant::now(), Vec::new(), String::new());
        let mut request = Request { id, tasks, first, tries, state };
        let body = system::job(tasks).to_string();
        for _ in 0..TRIES {
            let url = format!("http://{}/board/{}", addresses[at], request.id);
            let (status, answer) = system::call(&agent, "POST", &url, body.as_bytes());
            request.tries.push((status, Instant::now()));
            answer["State"].as_str().unwrap_or_default().clone_into(&mut request.state);
            if !matches!(status, 0 | 502 | 504) {
                break;
            }
            // The balancer sends the next try elsewhere.
            at = (at + 1) % addresses.len();
            if view.is_over() {
                break;
            }
            thread::sleep(RESEND);
        }
        view.requests.lock().unwrap().push(request);
        thread::sleep(pause.mul_f64(rng.random_range(0.5..1.5)));
    }
}

/// The configuration of a version: its own route beside the one for jobs.
pub fn config(version: u64, mark: u64) -> Value {
    let mut config = system::config(version);
    let own = system::route("own", &format!("/v{version}-{mark}/"));
    config["Routes"].as_array_mut().unwrap().push(own);
    config
}

/// Hands a configuration in until it is acknowledged or refused, at one keeper after the other.
pub fn publish(
    view: &Seen,
    operators: &[std::net::SocketAddr],
    config: &Value,
    rng: &mut SmallRng,
) {
    const PATIENCE: Duration = Duration::from_secs(20);
    let version = config["Version"].as_u64().unwrap();
    let position = {
        let mut published = view.published.lock().unwrap();
        published.push((version, config.clone(), None));
        published.len() - 1
    };
    let (agent, body) = (system::agent(), config.to_string());
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until && !view.is_over() {
        let to = operators[rng.random_range(0..operators.len())];
        let url = format!("http://{to}/apricotroute/config");
        match system::call(&agent, "PUT", &url, body.as_bytes()).0 {
            200 => {
                view.published.lock().unwrap()[position].2 = Some(Instant::now());
                return;
            }
            // Another one holds this version.
            409 => return,
            0 | 503 => thread::sleep(Duration::from_millis(100)),
            other => return view.fault(format!("version {version} was answered {other}")),
        }
    }
}

/// Hands in what is invalid; it has to be refused by whoever understands it.
pub fn publish_invalid(view: &Seen, to: std::net::SocketAddr) {
    let version = view.next_version(1);
    let mut config = config(version, 0);
    config["Routes"][0]["Service"] = json!("none");
    let url = format!("http://{to}/apricotroute/config");
    let body = config.to_string();
    let status = system::call(&system::agent(), "PUT", &url, body.as_bytes()).0;
    if !matches!(status, 0 | 400 | 503) {
        view.fault(format!("an invalid configuration was answered {status}"));
    }
}

/// An operator that reads at any keeper.
pub fn reader(view: &Seen, seed: u64, operators: &[std::net::SocketAddr]) {
    const PAUSE: Duration = Duration::from_millis(150);
    let mut rng = SmallRng::seed_from_u64(seed);
    while !view.is_over() {
        let to = operators[rng.random_range(0..operators.len())];
        let sent = Instant::now();
        let (status, config) = system::get(&format!("http://{to}/apricotroute/config"));
        if status == 200 {
            let version = config["Version"].as_u64().unwrap_or(0);
            view.reads.lock().unwrap().push((sent, version, config));
        }
        thread::sleep(PAUSE);
    }
}

/// Asks entries for the routes of all versions so far, and watches that none goes back within one
/// life. `lives` says which life of its process an entry has; it is asked before and after.
pub fn prober(
    view: &Seen,
    entries: &[(usize, std::net::SocketAddr)],
    lives: &dyn Fn(usize) -> Option<u32>,
) {
    const PAUSE: Duration = Duration::from_millis(100);
    let mut best = collections::BTreeMap::<(usize, u32), u64>::new();
    while !view.is_over() {
        for (at, address) in entries {
            let Some(life) = lives(*at) else { continue };
            let published = view.published.lock().unwrap().clone();
            for (version, config, _) in published.iter().rev().take(4) {
                let prefix = config["Routes"][1]["PathPrefix"].as_str().unwrap();
                let (status, _) = system::get(&format!("http://{address}{prefix}"));
                if status != 200 || lives(*at) != Some(life) {
                    continue;
                }
                let held = best.entry((*at, life)).or_default();
                if *version < *held {
                    view.fault(format!("entry {at} went back from version {held} to {version}"));
                }
                *held = (*held).max(*version);
            }
        }
        thread::sleep(PAUSE);
    }
}
