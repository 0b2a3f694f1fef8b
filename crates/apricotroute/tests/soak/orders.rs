//! The operators of a soak run of configurations, and the record of what they sent and read.

use std::{
    collections,
    io::Write as _,
    net,
    sync::{self, Mutex, atomic},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use super::content::{self, Content, Generator, Routes, Scope};
use crate::system;

/// An operator waits this long for an answer before it calls the next keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of orders in progress for each operator.
const MAX_ORDERS: usize = 8;
/// An operator gives up a change after this time.
const GIVE_UP: Duration = Duration::from_secs(20);

/// What an operator means by a text that it sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A valid change.
    Change,
    /// Other content under a version that was acknowledged before.
    Impostor,
    /// An invalid configuration, with what is wrong with it.
    Invalid(String),
}

/// A configuration that an operator sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub content: Content,
    pub kind: Kind,
    pub since: Instant,
    pub acknowledged: Option<Instant>,
}

/// A read that a keeper answered.
#[derive(Clone, Debug)]
pub struct Read {
    pub sent: Instant,
    pub keeper: net::SocketAddr,
    pub version: u64,
    pub text: sync::Arc<str>,
}

/// All that the operators sent and read.
#[derive(Debug)]
pub struct Ledger {
    pub sent: Mutex<Vec<Sent>>,
    pub reads: Mutex<Vec<Read>>,
    pub violations: Mutex<Vec<String>>,
    /// The keepers that operators call; the list may be out of date.
    pub keepers: sync::Arc<Mutex<Vec<net::SocketAddr>>>,
    /// Prefixes of the routes that were changed last.
    pub changed: Mutex<collections::VecDeque<String>>,
    /// Whether the operators send nothing more.
    pub quiet: atomic::AtomicBool,
    /// Whether the run has ended.
    pub stopped: atomic::AtomicBool,
    generator: Mutex<Generator>,
    version: atomic::AtomicU64,
    texts: Mutex<collections::BTreeSet<sync::Arc<str>>>,
    scope: Scope,
}

impl Ledger {
    /// Creates an empty record.
    pub fn new(seed: u64, scope: Scope, keepers: sync::Arc<Mutex<Vec<net::SocketAddr>>>) -> Self {
        let generator = Generator::new(SmallRng::seed_from_u64(seed), scope);
        Self {
            sent: Mutex::default(),
            reads: Mutex::default(),
            violations: Mutex::default(),
            keepers,
            changed: Mutex::default(),
            quiet: atomic::AtomicBool::new(false),
            stopped: atomic::AtomicBool::new(false),
            generator: Mutex::new(generator),
            version: atomic::AtomicU64::new(0),
            texts: Mutex::default(),
            scope,
        }
    }

    /// Records a violated rule.
    pub fn violate(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }

    /// Whether the run has ended.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::SeqCst)
    }

    fn is_quiet(&self) -> bool {
        self.quiet.load(atomic::Ordering::SeqCst) || self.is_stopped()
    }

    /// The newest change that was acknowledged, and when.
    pub fn newest(&self) -> Option<(Sent, Instant)> {
        let sent = self.sent.lock().unwrap();
        let acknowledged = sent.iter().filter(|sent| sent.kind == Kind::Change);
        let acknowledged = acknowledged.filter_map(|sent| Some((sent.clone(), sent.acknowledged?)));
        acknowledged.max_by_key(|(sent, _)| sent.content.version)
    }

    fn record(&self, content: Content, kind: Kind) -> usize {
        let mut sent = self.sent.lock().unwrap();
        sent.push(Sent { content, kind, since: Instant::now(), acknowledged: None });
        sent.len() - 1
    }

    fn next_version(&self, rng: &mut SmallRng) -> u64 {
        let step = rng.random_range(1..5);
        self.version.fetch_add(step, atomic::Ordering::SeqCst) + step
    }

    /// Generates the next change; the version and the content rise together.
    fn next_change(&self, rng: &mut SmallRng) -> Content {
        /// Number of changed routes that the probes request.
        const KEPT: usize = 40;
        let mut generator = self.generator.lock().unwrap();
        let version = self.next_version(rng);
        let (content, prefixes) = generator.next(version);
        let mut changed = self.changed.lock().unwrap();
        changed.extend(prefixes);
        while changed.len() > KEPT {
            changed.pop_front();
        }
        content
    }

    fn keeper(&self, rng: &mut SmallRng) -> net::SocketAddr {
        let keepers = self.keepers.lock().unwrap();
        keepers[rng.random_range(0..keepers.len())]
    }

    fn intern(&self, text: String) -> sync::Arc<str> {
        let mut texts = self.texts.lock().unwrap();
        if let Some(known) = texts.get(text.as_str()) {
            return sync::Arc::clone(known);
        }
        let text: sync::Arc<str> = text.into();
        texts.insert(sync::Arc::clone(&text));
        text
    }
}

/// Sends the first configuration until it is acknowledged.
pub fn publish_first(ledger: &Ledger, rng: &mut SmallRng) {
    let content = ledger.next_change(rng);
    deliver(ledger, content, rng);
}

/// Runs an operator until the run ends.
pub fn run_operator(ledger: &sync::Arc<Ledger>, seed: u64) {
    /// Longest pause between two orders, milliseconds; one in twelve is longer.
    const PAUSE: u64 = 700;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut orders: Vec<thread::JoinHandle<()>> = Vec::new();
    while !ledger.is_stopped() {
        orders.retain(|order| !order.is_finished());
        if orders.len() < MAX_ORDERS && !ledger.is_quiet() {
            let (ledger, rng) = (sync::Arc::clone(ledger), SmallRng::seed_from_u64(rng.random()));
            orders.push(thread::spawn(move || run_order(&ledger, rng)));
        }
        let pause = match rng.random_range(0..12) {
            0 => PAUSE * 5,
            1..=3 => 0,
            _ => rng.random_range(0..PAUSE),
        };
        thread::sleep(Duration::from_millis(pause));
    }
    for order in orders {
        order.join().unwrap();
    }
}

fn run_order(ledger: &Ledger, mut rng: SmallRng) {
    match rng.random_range(0..20) {
        0 | 1 => send_invalid(ledger, &mut rng),
        2 | 3 => resend_newest(ledger, &mut rng),
        4 => resend_old(ledger, &mut rng),
        5 => send_impostor(ledger, &mut rng),
        6 => {
            let content = ledger.next_change(&mut rng);
            let other = ledger.generator.lock().unwrap().variant(content.version);
            let mut other_rng = SmallRng::seed_from_u64(rng.random());
            thread::scope(|scope| {
                scope.spawn(|| deliver(ledger, other, &mut other_rng));
                deliver(ledger, content, &mut rng);
            });
        }
        _ => {
            let content = ledger.next_change(&mut rng);
            deliver(ledger, content, &mut rng);
        }
    }
}

/// Sends a change to one keeper after the other until one acknowledges or refuses it.
fn deliver(ledger: &Ledger, content: Content, rng: &mut SmallRng) {
    let text = sync::Arc::clone(&content.text);
    let version = content.version;
    let index = ledger.record(content, Kind::Change);
    let until = Instant::now() + GIVE_UP;
    while Instant::now() < until && !ledger.is_quiet() {
        let keeper = ledger.keeper(rng);
        match rng.random_range(0..12) {
            0 => send_unread(keeper, &text, Duration::ZERO),
            // The rest of the body arrives after the operator has called another keeper.
            1 => {
                let (text, late) = (sync::Arc::clone(&text), rng.random_range(500..4_000));
                thread::spawn(move || send_unread(keeper, &text, Duration::from_millis(late)));
            }
            _ => match put(keeper, &text) {
                200 => {
                    ledger.sent.lock().unwrap()[index].acknowledged = Some(Instant::now());
                    return;
                }
                0 | 503 => thread::sleep(Duration::from_millis(100)),
                status => return check_refusal(ledger, version, index, status),
            },
        }
    }
}

/// Only a change whose version is held with other content may be refused.
fn check_refusal(ledger: &Ledger, version: u64, index: usize, status: u16) {
    let sent = ledger.sent.lock().unwrap();
    let mut others = sent.iter().enumerate().filter(|(at, _)| *at != index);
    let has_rival = others.any(|(_, sent)| sent.content.version == version);
    drop(sent);
    if status != 409 || !has_rival {
        ledger.violate(format!("the valid change of version {version} was refused: {status}"));
    }
}

fn send_invalid(ledger: &Ledger, rng: &mut SmallRng) {
    let (version, mut generator) = (ledger.next_version(rng), ledger.generator.lock().unwrap());
    let mut content = generator.variant(version);
    drop(generator);
    let (text, wrong) = content::invalid(rng, ledger.scope, &content.text);
    content.text = text.into();
    let text = sync::Arc::clone(&content.text);
    ledger.record(content, Kind::Invalid(wrong.clone()));
    for _ in 0..3 {
        let status = put(ledger.keeper(rng), &text);
        if !matches!(status, 0 | 400..=499 | 503) {
            ledger.violate(format!("invalid version {version} ({wrong}) was answered {status}"));
        }
    }
}

/// Sends the newest acknowledged change again, which must not be refused.
fn resend_newest(ledger: &Ledger, rng: &mut SmallRng) {
    let Some((newest, _)) = ledger.newest() else { return };
    resend(ledger, &newest, rng);
}

/// Sends a change again that may be long overtaken.
fn resend_old(ledger: &Ledger, rng: &mut SmallRng) {
    let sent = ledger.sent.lock().unwrap();
    let changes = sent.iter().filter(|sent| sent.kind == Kind::Change);
    let acknowledged: Vec<_> = changes.filter(|sent| sent.acknowledged.is_some()).collect();
    if acknowledged.is_empty() {
        return;
    }
    let old = acknowledged[rng.random_range(0..acknowledged.len())].clone();
    drop(sent);
    resend(ledger, &old, rng);
}

fn resend(ledger: &Ledger, change: &Sent, rng: &mut SmallRng) {
    let status = put(ledger.keeper(rng), &change.content.text);
    let version = change.content.version;
    let sent = ledger.sent.lock().unwrap();
    let same = |sent: &&Sent| sent.content.version == version && sent.kind == Kind::Change;
    let is_alone = sent.iter().filter(same).count() == 1;
    drop(sent);
    if is_alone && !matches!(status, 0 | 200 | 503) {
        ledger.violate(format!("acknowledged version {version}, sent again, got {status}"));
    }
}

/// Sends other content under the newest acknowledged version.
fn send_impostor(ledger: &Ledger, rng: &mut SmallRng) {
    let Some((newest, _)) = ledger.newest() else { return };
    let content = ledger.generator.lock().unwrap().variant(newest.content.version);
    let text = sync::Arc::clone(&content.text);
    ledger.record(content, Kind::Impostor);
    for _ in 0..2 {
        put(ledger.keeper(rng), &text);
    }
}

/// Runs an operator that reads the configuration from random keepers.
pub fn run_reader(ledger: &Ledger, seed: u64) {
    const PAUSE: Duration = Duration::from_millis(120);
    let mut rng = SmallRng::seed_from_u64(seed);
    while !ledger.is_stopped() {
        read(ledger, ledger.keeper(&mut rng));
        thread::sleep(PAUSE);
    }
}

/// Reads the configuration from a keeper, and returns the version if it answers.
pub fn read(ledger: &Ledger, keeper: net::SocketAddr) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Head {
        #[serde(rename = "Version")]
        version: u64,
    }
    let sent = Instant::now();
    let request = agent().get(format!("http://{keeper}/apricotroute/config")).call();
    let mut response = request.ok().filter(|response| response.status() == 200)?;
    let text = response.body_mut().read_to_string().ok()?;
    let Ok(Head { version }) = serde_json::from_str(&text) else {
        ledger.violate(format!("keeper {keeper} answered a read with {text:?}"));
        return None;
    };
    let text = ledger.intern(text);
    ledger.reads.lock().unwrap().push(Read { sent, keeper, version, text });
    Some(version)
}

/// An HTTP client with an operator's timeout.
fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .into()
}

/// Sends a configuration and returns the status, 0 without a complete answer.
fn put(keeper: net::SocketAddr, text: &str) -> u16 {
    let url = format!("http://{keeper}/apricotroute/config");
    agent().put(url).send(text).map_or(0, |response| response.status().as_u16())
}

/// Sends a configuration with a pause in the middle of the body, and closes the connection without
/// reading the answer.
fn send_unread(keeper: net::SocketAddr, text: &str, pause: Duration) {
    let head = format!(
        "PUT /apricotroute/config HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        system::HOST,
        text.len()
    );
    let (first, rest) = text.as_bytes().split_at(text.len() / 2);
    let send = || {
        let mut stream = net::TcpStream::connect_timeout(&keeper, CALL_TIMEOUT)?;
        stream.set_write_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(first)?;
        thread::sleep(pause);
        stream.write_all(rest)?;
        // The keeper reads the whole body before the connection closes.
        thread::sleep(Duration::from_millis(20));
        std::io::Result::Ok(())
    };
    if let Err(error) = send() {
        eprintln!("keeper {keeper}: the configuration was not sent: {error}");
    }
}

/// The changes with their routes that a version may mean, in ascending order.
pub fn changes(ledger: &Ledger) -> Vec<(Sent, sync::Arc<Routes>)> {
    let sent = ledger.sent.lock().unwrap();
    let changes = sent.iter().filter(|sent| sent.kind == Kind::Change);
    let mut changes: Vec<_> =
        changes.map(|sent| (sent.clone(), sync::Arc::clone(&sent.content.routes))).collect();
    changes.sort_by_key(|(sent, _)| sent.content.version);
    changes
}
