//! Parses and validates the bootstrap file of an instance. Each error has a JSON path, a line and a
//! reason.

use std::{collections, net, path};

use crate::{
    locate::{Fault, Located},
    name,
    reader::{Members, Reader},
};

/// Default maximum duration of a graceful shutdown, in milliseconds.
pub const DEFAULT_DRAIN_MS: u64 = 600_000;

/// Bootstrap settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Boot {
    /// Name of the instance.
    pub instance: name::Name,
    /// Availability zone of the instance.
    pub zone: name::Name,
    /// Address for clients and upstreams.
    pub client: net::SocketAddr,
    /// Address for operators.
    pub operator: net::SocketAddr,
    /// Address for the other instances.
    pub peer: net::SocketAddr,
    /// Folder of the durable state. An instance without a folder never votes on settings.
    pub folder: Option<path::PathBuf>,
    /// The other instances.
    pub peers: Vec<Peer>,
    /// Log level and format.
    pub log: Log,
    /// Trace exporters.
    pub traces: Traces,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Algorithms that the key `trial` of the file can replace by baselines.
    pub baselines: Baselines,
}

/// Another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: name::Name,
    /// Availability zone of the instance.
    pub zone: name::Name,
    /// Address for the other instances.
    pub peer: net::SocketAddr,
    /// Whether the instance has a data folder.
    pub has_disk: bool,
}

/// Log level and format.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that the instance logs.
    pub level: Level,
    /// Format of a log line.
    pub format: Format,
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

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// Trace exporters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traces {
    /// File to which spans are written as JSON lines.
    pub file: Option<path::PathBuf>,
    /// URL of an OTLP collector to which spans are sent over gRPC.
    pub otlp: Option<String>,
}

/// Load-balancing algorithm for the choice of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Picks the upstream with the least outstanding work, estimated from observed service times.
    #[default]
    LeastWork,
    /// Picks the better of two random upstreams.
    TwoChoices,
    /// Picks the upstreams in turn.
    RoundRobin,
}

/// Algorithms that a benchmark can replace by baselines. The default replaces none.
#[expect(clippy::struct_excessive_bools, reason = "each one is a key of the file")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Baselines {
    /// Load-balancing algorithm for the choice of an upstream.
    pub placement: Placement,
    /// Whether the instances of a zone divide the slots among themselves.
    pub shares: bool,
    /// Whether instances borrow idle slots from each other.
    pub borrow: bool,
    /// Whether queues are bounded and work that cannot meet its deadline is rejected.
    pub limits: bool,
    /// Whether failing upstreams are ejected.
    pub eject: bool,
}

impl Default for Baselines {
    fn default() -> Self {
        let placement = Placement::default();
        Self { placement, shares: true, borrow: true, limits: true, eject: true }
    }
}

impl Boot {
    /// Parses and validates a bootstrap file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, ordered by line.
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
        let folder = map.remove("data_folder").and_then(|value| self.string(&value));
        let peers = self.peers(&mut map, instance.as_ref());
        let log = map.remove("log").map_or_else(Log::default, |value| self.log(&value));
        let traces = map.remove("traces").map_or_else(Traces::default, |value| self.traces(&value));
        let drain = map.remove("drain_ms").and_then(|value| self.unsigned(&value));
        let baselines =
            map.remove("trial").map_or_else(Baselines::default, |value| self.baselines(&value));
        self.reject_unknown(map);
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
            drain_ms: drain.unwrap_or(DEFAULT_DRAIN_MS),
            baselines,
        })
    }

    fn peers(&mut self, map: &mut Members<'_>, own: Option<&name::Name>) -> Vec<Peer> {
        let Some(value) = map.remove("peers") else {
            return Vec::new();
        };
        let Some(items) = value.items() else {
            self.faults.push(value.fault("expected an array"));
            return Vec::new();
        };
        let mut seen: collections::BTreeSet<name::Name> = own.cloned().into_iter().collect();
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

    fn peer(&mut self, value: &Located<'_>) -> Option<Peer> {
        let mut map = self.object(value)?;
        let instance = self.name(value, &mut map, "instance");
        let zone = self.name(value, &mut map, "availability_zone");
        let peer = self.address(value, &mut map, "peer_address");
        let has_disk = map.remove("disk").and_then(|value| self.boolean(&value)).unwrap_or(false);
        self.reject_unknown(map);
        Some(Peer { instance: instance?, zone: zone?, peer: peer?, has_disk })
    }

    pub(crate) fn log(&mut self, value: &Located<'_>) -> Log {
        const LEVELS: &[(&str, Level)] = &[
            ("error", Level::Error),
            ("warning", Level::Warning),
            ("info", Level::Info),
            ("debug", Level::Debug),
        ];
        const FORMATS: &[(&str, Format)] = &[("json", Format::Json), ("text", Format::Text)];
        let Some(mut map) = self.object(value) else {
            return Log::default();
        };
        let level = map.remove("level").and_then(|value| self.one_of(&value, LEVELS));
        let format = map.remove("form").and_then(|value| self.one_of(&value, FORMATS));
        self.reject_unknown(map);
        Log { level: level.unwrap_or_default(), format: format.unwrap_or_default() }
    }

    fn traces(&mut self, value: &Located<'_>) -> Traces {
        let Some(mut map) = self.object(value) else {
            return Traces::default();
        };
        let file =
            map.remove("file").and_then(|value| self.string(&value)).map(path::PathBuf::from);
        let otlp = map.remove("otlp").and_then(|value| {
            let url = self.string(&value)?;
            let supported = url.starts_with("http://") || url.starts_with("https://");
            if supported { Some(url) } else { self.reject(&value, "expected http://IP:PORT") }
        });
        self.reject_unknown(map);
        Traces { file, otlp }
    }

    fn baselines(&mut self, value: &Located<'_>) -> Baselines {
        const PLACEMENTS: &[(&str, Placement)] = &[
            ("least_work", Placement::LeastWork),
            ("two_choices", Placement::TwoChoices),
            ("round_robin", Placement::RoundRobin),
        ];
        let Some(mut map) = self.object(value) else {
            return Baselines::default();
        };
        let placement = map.remove("placement").and_then(|value| self.one_of(&value, PLACEMENTS));
        let mut flag = |key| map.remove(key).and_then(|value| self.boolean(&value)).unwrap_or(true);
        let baselines = Baselines {
            placement: placement.unwrap_or_default(),
            shares: flag("shares"),
            borrow: flag("borrow"),
            limits: flag("limits"),
            eject: flag("eject"),
        };
        self.reject_unknown(map);
        baselines
    }
}
