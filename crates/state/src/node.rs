//! The bootstrap file of an instance that finds the others through seeds.

use std::{net, path};

use crate::{
    boot,
    locate::{Fault, Located},
    name, policy,
    reader::{Members, Reader},
};

/// Shares of the time between the order to end and the forced end, milliseconds: what is in
/// progress gets most of it, and the last part is left to flush and exit.
const DEFAULT_GRACE_MS: u64 = 6_000;
/// Thousandths of a core in one; what an instance has unless its settings say otherwise.
const CORE: u64 = 1_000;
/// Longest lease that upstreams grant by default, milliseconds.
const DEFAULT_LEASE_MS: u64 = 1_000;

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' jobs.
    Entry,
    /// Holds the configuration and hears of upstreams.
    Keeper,
}

/// Settings that such an instance starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the instance, for logs.
    pub instance: name::Name,
    /// Availability zone it is in.
    pub zone: name::Name,
    /// What it does.
    pub role: Role,
    /// Where clients reach an entry.
    pub client: Option<net::SocketAddr>,
    /// Where the balancer asks an entry whether it takes clients.
    pub ready: Option<net::SocketAddr>,
    /// Where operators and upstreams reach a keeper.
    pub operator: Option<net::SocketAddr>,
    /// Where the other instances reach it.
    pub peer: net::SocketAddr,
    /// Where it listens for them, if that is another address than the one that it tells them.
    pub peer_listen: Option<net::SocketAddr>,
    /// Where its metrics are read.
    pub metrics: Option<net::SocketAddr>,
    /// Folder of a keeper's durable state.
    pub folder: Option<path::PathBuf>,
    /// Operator addresses of some keepers.
    pub seeds: Vec<net::SocketAddr>,
    /// All availability zones, as far as they are known from the start.
    pub zones: Vec<name::Name>,
    /// Whether the whole system starts for the first time.
    pub first: bool,
    /// Longest lease that upstreams grant, milliseconds.
    pub lease_ms: u64,
    /// Time from SIGTERM to the forced end, milliseconds.
    pub grace_ms: u64,
    /// Processor time that the instance has, thousandths of a core.
    pub cores: u64,
    /// Which ways of deciding are in use.
    pub policy: policy::Policy,
    /// What is logged and how.
    pub log: boot::Log,
    /// Added to the time of day, milliseconds: shows in trials what a wrong clock does.
    pub clock_offset: i64,
}

impl Node {
    /// Checks a bootstrap file.
    ///
    /// # Errors
    ///
    /// Every fault found, in the order of its lines.
    ///
    /// ```
    /// let faults = state::node::Node::parse("{\"role\": \"king\"}").unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.path == "$.role"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let root = Located::parse(text).map_err(|fault| vec![fault])?;
        let mut reader = Reader::default();
        let node = reader.node(&root);
        reader.faults.sort();
        match node {
            Some(node) if reader.faults.is_empty() => Ok(node),
            _ => Err(reader.faults),
        }
    }

    /// Whether a file is meant for such an instance: it names a role.
    pub fn is_meant(text: &str) -> bool {
        let root = Located::parse(text).ok();
        let members = root.as_ref().and_then(Located::members);
        members.is_some_and(|members| members.contains_key("role"))
    }

    /// Addresses of the streams of the seeds: every instance uses the same port for them.
    pub fn seed_peers(&self) -> Vec<name::Name> {
        let peer = |seed: &net::SocketAddr| net::SocketAddr::new(seed.ip(), self.peer.port());
        self.seeds.iter().map(|seed| name::Name::new(&peer(seed).to_string())).collect()
    }
}

impl Reader {
    fn node(&mut self, root: &Located<'_>) -> Option<Node> {
        const ROLES: &[(&str, Role)] = &[("entry", Role::Entry), ("keeper", Role::Keeper)];
        let mut map = self.object(root)?;
        let instance = self.name(root, &mut map, "instance");
        let zone = self.name(root, &mut map, "availability_zone");
        let role = self.required(root, &mut map, "role");
        let role = role.and_then(|at| self.choice(&at, ROLES));
        let entry = role == Some(Role::Entry);
        let client = self.address_of(root, &mut map, "client_address", entry);
        let ready = self.address_of(root, &mut map, "ready_address", entry);
        let operator = self.address_of(root, &mut map, "operator_address", !entry);
        let peer = self.address(root, &mut map, "peer_address");
        let peer_listen = self.address_of(root, &mut map, "peer_listen", false);
        let metrics = self.address_of(root, &mut map, "metrics_address", false);
        let folder = map.remove("data_folder").and_then(|at| self.text(&at));
        let seeds = self.seeds(&mut map);
        let zones = self.zones(&mut map);
        let first = map.remove("first_start").and_then(|at| self.flag(&at));
        let lease = map.remove("lease_ms").and_then(|at| self.whole(&at));
        let grace = map.remove("grace_ms").and_then(|at| self.whole(&at));
        let offset = map.remove("clock_offset_ms").and_then(|at| self.signed(&at));
        let share = map.remove("cpu_share").and_then(|at| self.share(&at));
        let policy =
            map.remove("decisions").map_or_else(policy::Policy::default, |at| self.policy(&at));
        let log = map.remove("log").map_or_else(boot::Log::default, |at| self.log(&at));
        self.leftover(map);
        Some(Node {
            instance: instance?,
            zone: zone?,
            role: role?,
            client,
            ready,
            operator,
            peer: peer?,
            peer_listen,
            metrics,
            folder: folder.map(path::PathBuf::from),
            seeds,
            zones,
            first: first.unwrap_or(false),
            lease_ms: lease.unwrap_or(DEFAULT_LEASE_MS),
            grace_ms: grace.unwrap_or(DEFAULT_GRACE_MS),
            cores: share.unwrap_or(CORE),
            policy,
            log,
            clock_offset: offset.unwrap_or(0),
        })
    }

    /// A part of a core, above 0, in thousandths.
    fn share(&mut self, at: &Located<'_>) -> Option<u64> {
        let share = at.value().as_f64().filter(|share| (0.001..=1_000.0).contains(share));
        if share.is_none() {
            self.faults.push(at.fault("expected a number of cores from 0.001 to 1000"));
        }
        share.map(|share| (share * CORE as f64) as u64)
    }

    fn address_of<'a>(
        &mut self,
        root: &Located<'a>,
        map: &mut Members<'a>,
        key: &str,
        required: bool,
    ) -> Option<net::SocketAddr> {
        if !required && !map.contains_key(key) {
            return None;
        }
        self.address(root, map, key)
    }

    fn policy(&mut self, at: &Located<'_>) -> policy::Policy {
        let mut policy = policy::Policy::default();
        let Some(mut map) = self.object(at) else { return policy };
        for (name, choice) in policy::Policy::CHOICES {
            if let Some(on) = map.remove(*name).and_then(|at| self.flag(&at)) {
                *choice(&mut policy) = on;
            }
        }
        self.leftover(map);
        policy
    }

    fn items<'a>(&mut self, map: &mut Members<'a>, key: &str) -> Vec<Located<'a>> {
        let Some(at) = map.remove(key) else { return Vec::new() };
        let items = at.items();
        if items.is_none() {
            self.faults.push(at.fault("expected an array"));
        }
        items.unwrap_or_default()
    }

    fn zones(&mut self, map: &mut Members<'_>) -> Vec<name::Name> {
        let items = self.items(map, "availability_zones");
        let zones = items.iter().filter_map(|item| self.text(item));
        zones.map(|zone| name::Name::new(&zone)).collect()
    }

    fn seeds(&mut self, map: &mut Members<'_>) -> Vec<net::SocketAddr> {
        let mut seeds = Vec::new();
        for item in &self.items(map, "seeds") {
            let address = item.value().as_str().and_then(|text| text.parse().ok());
            match address {
                Some(address) => seeds.push(address),
                None => self.faults.push(item.fault("expected IP:PORT")),
            }
        }
        seeds
    }
}
