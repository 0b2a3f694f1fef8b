//! The bootstrap file of one instance, checked: every fault with its path, line and reason.

use std::{collections, net, path};

use crate::{
    locate::{Fault, Located},
    name,
    reader::{Members, Reader},
};

/// Longest time that a graceful shutdown waits by default, in milliseconds.
pub const DRAIN_MS: u64 = 600_000;

/// Settings that an instance starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Boot {
    /// Name of the instance.
    pub instance: name::Name,
    /// Availability zone it is in.
    pub zone: name::Name,
    /// Where clients and upstreams reach it.
    pub client: net::SocketAddr,
    /// Where operators reach it.
    pub operator: net::SocketAddr,
    /// Where the other instances reach it.
    pub peer: net::SocketAddr,
    /// Folder of its durable state; an instance without one never votes on settings.
    pub folder: Option<path::PathBuf>,
    /// The other instances.
    pub peers: Vec<Peer>,
    /// What is logged and how.
    pub log: Log,
    /// Where spans go.
    pub traces: Traces,
    /// Longest time that a graceful shutdown waits, in milliseconds.
    pub drain_ms: u64,
    /// Which decisions are replaced by their baselines, for trials.
    pub trial: Trial,
}

/// Another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub instance: name::Name,
    /// Its availability zone.
    pub zone: name::Name,
    /// Where it is reached.
    pub peer: net::SocketAddr,
    /// Whether it has a data folder.
    pub disk: bool,
}

/// What is logged and how.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// The least severe level that is written.
    pub level: Level,
    /// Form of a line.
    pub form: Form,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "the names are the levels")]
pub enum Level {
    Error,
    Warning,
    #[default]
    Info,
    Debug,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// One JSON object a line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// Where spans go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traces {
    /// A file of JSON lines.
    pub file: Option<path::PathBuf>,
    /// URL of an OTLP collector (gRPC).
    pub otlp: Option<String>,
}

/// How upstreams are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Least outstanding work over observed service times.
    #[default]
    LeastWork,
    /// The better of two random upstreams.
    TwoChoices,
    /// One after the other.
    RoundRobin,
}

/// Decisions that a trial replaces by their baselines.
#[expect(clippy::struct_excessive_bools, reason = "each one is a key of the file")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// How upstreams are chosen.
    pub placement: Placement,
    /// Whether slots are shared out among the instances of a zone.
    pub shares: bool,
    /// Whether idle slots are borrowed.
    pub borrow: bool,
    /// Whether queues are bounded and hopeless work refused.
    pub limits: bool,
    /// Whether failing upstreams are ejected.
    pub eject: bool,
}

impl Default for Trial {
    fn default() -> Self {
        let placement = Placement::default();
        Self { placement, shares: true, borrow: true, limits: true, eject: true }
    }
}

impl Boot {
    /// Checks a bootstrap file.
    ///
    /// # Errors
    ///
    /// Every fault found, in the order of its lines.
    ///
    /// ```
    /// let faults = state::Boot::parse("{\"instance\": 7}").unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.path == "$.instance"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let root = Located::parse(text).map_err(|fault| vec![fault])?;
        let mut reader = Reader::default();
        let boot = reader.boot(&root);
        reader.faults.sort();
        match boot {
            Some(boot) if reader.faults.is_empty() => Ok(boot),
            _ => Err(reader.faults),
        }
    }
}

impl Reader {
    fn boot(&mut self, root: &Located<'_>) -> Option<Boot> {
        let mut map = self.object(root)?;
        let instance = self.name(root, &mut map, "instance");
        let zone = self.name(root, &mut map, "availability_zone");
        let client = self.address(root, &mut map, "client_address");
        let operator = self.address(root, &mut map, "operator_address");
        let peer = self.address(root, &mut map, "peer_address");
        let folder = map.remove("data_folder").and_then(|at| self.text(&at));
        let peers = self.peers(&mut map, instance.as_ref());
        let log = map.remove("log").map_or_else(Log::default, |at| self.log(&at));
        let traces = map.remove("traces").map_or_else(Traces::default, |at| self.traces(&at));
        let drain = map.remove("drain_ms").and_then(|at| self.whole(&at));
        let trial = map.remove("trial").map_or_else(Trial::default, |at| self.trial(&at));
        self.leftover(map);
        Some(Boot {
            instance: instance?,
            zone: zone?,
            client: client?,
            operator: operator?,
            peer: peer?,
            folder: folder.map(path::PathBuf::from),
            peers,
            log,
            traces,
            drain_ms: drain.unwrap_or(DRAIN_MS),
            trial,
        })
    }

    fn peers(&mut self, map: &mut Members<'_>, me: Option<&name::Name>) -> Vec<Peer> {
        let Some(at) = map.remove("peers") else {
            return Vec::new();
        };
        let Some(items) = at.items() else {
            self.faults.push(at.fault("expected an array"));
            return Vec::new();
        };
        let mut seen: collections::BTreeSet<name::Name> = me.cloned().into_iter().collect();
        let mut peers = Vec::new();
        for item in &items {
            let Some(peer) = self.peer(item) else {
                continue;
            };
            if seen.insert(peer.instance.clone()) {
                peers.push(peer);
            } else {
                self.faults.push(item.fault(format!("instance {} is named twice", peer.instance)));
            }
        }
        peers
    }

    fn peer(&mut self, at: &Located<'_>) -> Option<Peer> {
        let mut map = self.object(at)?;
        let instance = self.name(at, &mut map, "instance");
        let zone = self.name(at, &mut map, "availability_zone");
        let peer = self.address(at, &mut map, "peer_address");
        let disk = map.remove("disk").and_then(|at| self.flag(&at)).unwrap_or(false);
        self.leftover(map);
        Some(Peer { instance: instance?, zone: zone?, peer: peer?, disk })
    }

    pub(crate) fn log(&mut self, at: &Located<'_>) -> Log {
        const LEVELS: &[(&str, Level)] = &[
            ("error", Level::Error),
            ("warning", Level::Warning),
            ("info", Level::Info),
            ("debug", Level::Debug),
        ];
        const FORMS: &[(&str, Form)] = &[("json", Form::Json), ("text", Form::Text)];
        let Some(mut map) = self.object(at) else {
            return Log::default();
        };
        let level = map.remove("level").and_then(|at| self.choice(&at, LEVELS));
        let form = map.remove("form").and_then(|at| self.choice(&at, FORMS));
        self.leftover(map);
        Log { level: level.unwrap_or_default(), form: form.unwrap_or_default() }
    }

    fn traces(&mut self, at: &Located<'_>) -> Traces {
        let Some(mut map) = self.object(at) else {
            return Traces::default();
        };
        let file = map.remove("file").and_then(|at| self.text(&at)).map(path::PathBuf::from);
        let otlp = map.remove("otlp").and_then(|at| {
            let url = self.text(&at)?;
            let known = url.starts_with("http://") || url.starts_with("https://");
            if known { Some(url) } else { self.reject(&at, "expected http://IP:PORT") }
        });
        self.leftover(map);
        Traces { file, otlp }
    }

    fn trial(&mut self, at: &Located<'_>) -> Trial {
        const PLACEMENTS: &[(&str, Placement)] = &[
            ("least_work", Placement::LeastWork),
            ("two_choices", Placement::TwoChoices),
            ("round_robin", Placement::RoundRobin),
        ];
        let Some(mut map) = self.object(at) else {
            return Trial::default();
        };
        let placement = map.remove("placement").and_then(|at| self.choice(&at, PLACEMENTS));
        let mut flag = |key| map.remove(key).and_then(|at| self.flag(&at)).unwrap_or(true);
        let trial = Trial {
            placement: placement.unwrap_or_default(),
            shares: flag("shares"),
            borrow: flag("borrow"),
            limits: flag("limits"),
            eject: flag("eject"),
        };
        self.leftover(map);
        trial
    }
}
