//! Parses the bootstrap file of an instance that discovers the other instances through seed
//! addresses.

use std::{net, path};

use crate::{
    boot,
    locate::{Fault, Located},
    name, policy,
    reader::{Members, Reader},
};

/// Default time from SIGTERM to the forced end, in milliseconds. Work in progress gets most of this
/// time; the last part is reserved for flushing and exiting.
const DEFAULT_GRACE_MS: u64 = 6_000;
/// Millicores of one core. An instance has one core unless its settings say otherwise.
const MILLICORES: u64 = 1_000;
/// Most memory that an instance may state, in megabytes: 16 TiB.
const MAX_MEMORY: u64 = 1 << 24;
/// Most open files that it may state: the largest limit of the kernel for a process.
const MAX_DESCRIPTORS: u64 = 1 << 30;
/// Fastest link that it may state, in megabits a second: a terabit.
const MAX_LINK: f64 = 1e6;
/// Default for the longest lease that upstreams grant, in milliseconds.
const DEFAULT_LEASE_MS: u64 = 1_000;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts jobs from clients.
    Entry,
    /// Stores the configuration and receives the announcements of upstreams.
    Keeper,
}

/// Bootstrap settings of an instance that discovers the others through seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the instance, for logs.
    pub instance: name::Name,
    /// Availability zone of the instance.
    pub zone: name::Name,
    /// Role of the instance.
    pub role: Role,
    /// Address of an entry for clients.
    pub client: Option<net::SocketAddr>,
    /// Address at which the load balancer checks whether an entry accepts clients.
    pub ready: Option<net::SocketAddr>,
    /// Address of a keeper for operators and upstreams.
    pub operator: Option<net::SocketAddr>,
    /// Address that the instance advertises to the other instances.
    pub peer: net::SocketAddr,
    /// Address at which the instance listens for the other instances, if it differs from the
    /// advertised address.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address of the metrics endpoint.
    pub metrics: Option<net::SocketAddr>,
    /// Folder of a keeper's durable state.
    pub folder: Option<path::PathBuf>,
    /// Operator addresses of some keepers.
    pub seeds: Vec<net::SocketAddr>,
    /// Availability zones that are known at startup.
    pub zones: Vec<name::Name>,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Longest lease that upstreams grant, in milliseconds.
    pub lease_ms: u64,
    /// Time from SIGTERM to the forced end, in milliseconds.
    pub grace_ms: u64,
    /// CPU allowance of the instance, in millicores.
    pub millicores: u64,
    /// Memory of the instance, in megabytes.
    pub memory: Option<u32>,
    /// Maximum number of files, and thus connections, that it may have open.
    pub descriptors: Option<u32>,
    /// Bandwidth of its network link in megabits a second, rounded up.
    pub link: Option<u32>,
    /// Enabled scheduling features.
    pub policy: policy::Policy,
    /// Log level and format.
    pub log: boot::Log,
    /// Offset that is added to the wall clock, in milliseconds. Trials use it to show the effect of
    /// a wrong clock.
    pub clock_offset: i64,
}

impl Node {
    /// Parses and validates a bootstrap file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, ordered by line.
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

    /// Returns whether a file is of this kind, which is the case if it has the key `role`.
    pub fn has_role(text: &str) -> bool {
        let root = Located::parse(text).ok();
        let members = root.as_ref().and_then(Located::members);
        members.is_some_and(|members| members.contains_key("role"))
    }

    /// Returns the peer addresses of the seeds. All instances use the same port for peer streams,
    /// so a peer address is the IP address of the seed with this instance's peer port.
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
        let role = role.and_then(|value| self.one_of(&value, ROLES));
        let entry = role == Some(Role::Entry);
        let client = self.address_if(root, &mut map, "client_address", entry);
        let ready = self.address_if(root, &mut map, "ready_address", entry);
        let operator = self.address_if(root, &mut map, "operator_address", !entry);
        let peer = self.address(root, &mut map, "peer_address");
        let peer_listen = self.address_if(root, &mut map, "peer_listen", false);
        let metrics = self.address_if(root, &mut map, "metrics_address", false);
        let folder = map.remove("data_folder").and_then(|value| self.string(&value));
        let seeds = self.seeds(&mut map);
        let zones = self.zones(&mut map);
        let first_start = map.remove("first_start").and_then(|value| self.boolean(&value));
        let lease = map.remove("lease_ms").and_then(|value| self.unsigned(&value));
        let grace = map.remove("grace_ms").and_then(|value| self.unsigned(&value));
        let offset = map.remove("clock_offset_ms").and_then(|value| self.signed(&value));
        let cores = map.remove("cpu_share").and_then(|value| self.millicores(&value));
        let memory = map.remove("memory_mb").and_then(|v| self.amount(&v, MAX_MEMORY));
        let descriptors = map.remove("descriptors").and_then(|v| self.amount(&v, MAX_DESCRIPTORS));
        let link = map.remove("link_mbps").and_then(|value| self.link(&value));
        let policy = map
            .remove("decisions")
            .map_or_else(policy::Policy::default, |value| self.policy(&value));
        let log = map.remove("log").map_or_else(boot::Log::default, |value| self.log(&value));
        self.reject_unknown(map);
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
            first_start: first_start.unwrap_or(false),
            lease_ms: lease.unwrap_or(DEFAULT_LEASE_MS),
            grace_ms: grace.unwrap_or(DEFAULT_GRACE_MS),
            millicores: cores.unwrap_or(MILLICORES),
            memory,
            descriptors,
            link,
            policy,
            log,
            clock_offset: offset.unwrap_or(0),
        })
    }

    /// Reads a number of cores from 0.001 to 1000 and returns it in millicores.
    fn millicores(&mut self, value: &Located<'_>) -> Option<u64> {
        let cores = value.value().as_f64().filter(|cores| (0.001..=1_000.0).contains(cores));
        if cores.is_none() {
            self.faults.push(value.fault("expected a number of cores from 0.001 to 1000"));
        }
        cores.map(|cores| (cores * MILLICORES as f64) as u64)
    }

    /// Reads a whole number from 1 to `most`.
    fn amount(&mut self, value: &Located<'_>, most: u64) -> Option<u32> {
        let number = value.value().as_u64().filter(|number| (1..=most).contains(number));
        let number = number.and_then(|number| u32::try_from(number).ok());
        if number.is_none() {
            let reason = format!("expected a whole number from 1 to {most}");
            self.faults.push(value.fault(reason));
        }
        number
    }

    /// Reads a bandwidth, which may be a fraction, and returns it in whole megabits a second, at
    /// least 1.
    fn link(&mut self, value: &Located<'_>) -> Option<u32> {
        let speed = value.value().as_f64().filter(|speed| *speed > 0.0 && *speed <= MAX_LINK);
        if speed.is_none() {
            let reason = format!("expected megabits a second, above 0 and up to {MAX_LINK}");
            self.faults.push(value.fault(reason));
        }
        speed.map(|speed| speed.ceil() as u32)
    }

    fn address_if<'a>(
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

    fn policy(&mut self, value: &Located<'_>) -> policy::Policy {
        let mut policy = policy::Policy::default();
        let Some(mut map) = self.object(value) else { return policy };
        for (name, field) in policy::Policy::SWITCHES {
            if let Some(on) = map.remove(*name).and_then(|value| self.boolean(&value)) {
                *field(&mut policy) = on;
            }
        }
        self.reject_unknown(map);
        policy
    }

    fn items<'a>(&mut self, map: &mut Members<'a>, key: &str) -> Vec<Located<'a>> {
        let Some(value) = map.remove(key) else { return Vec::new() };
        let items = value.items();
        if items.is_none() {
            self.faults.push(value.fault("expected an array"));
        }
        items.unwrap_or_default()
    }

    fn zones(&mut self, map: &mut Members<'_>) -> Vec<name::Name> {
        let items = self.items(map, "availability_zones");
        let zones = items.iter().filter_map(|item| self.string(item));
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
