//! Which service a client's request is for, as the configuration says.

use std::collections;

use state::name;

/// A queue of jobs that clients reach under a host and a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that the request names.
    pub host: name::Name,
    /// What its path begins with.
    pub prefix: name::Name,
    /// Service whose upstreams run the jobs.
    pub service: name::Name,
    /// Rank of the queue; 0 comes first.
    pub priority: u32,
    /// A task that failed this often fails its job.
    pub attempts: u32,
    /// The objective is this many times the longest chain of work ...
    pub stretch: f64,
    /// ... and this much more, milliseconds.
    pub goal: u64,
    /// Longest time for an answer, milliseconds; more than 0.
    pub timeout: u64,
}

impl Route {
    /// Time within which the answer to a job is worth most, milliseconds.
    pub fn objective(&self, chain: u64) -> u64 {
        (chain as f64 * self.stretch) as u64 + self.goal
    }
}

/// The routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Services that there are.
    pub services: collections::BTreeSet<name::Name>,
    /// Largest body of a request, bytes.
    pub max_body: usize,
    hosts: collections::HashMap<name::Name, Host>,
}

/// The routes of one host. Of 4,200 routes a request takes as long to find its own as of one with as
/// many lengths of prefixes.
#[derive(Clone, Debug, Default)]
struct Host {
    routes: collections::HashMap<name::Name, Route>,
    /// Lengths of prefixes, bytes, the longest first.
    lengths: Vec<usize>,
}

impl Routing {
    /// Checks routes against the services that there are.
    ///
    /// # Errors
    ///
    /// The number of the first route at fault, the field and the reason.
    ///
    /// ```
    /// let routing = dispatch::routing::Routing::new(7, 1 << 18, Vec::new(), &[]).unwrap();
    /// assert!(routing.find("a.example", "/x").is_none());
    /// ```
    pub fn new(
        version: u64,
        max_body: usize,
        routes: Vec<Route>,
        services: &[name::Name],
    ) -> Result<Self, Fault> {
        let mut hosts: collections::HashMap<name::Name, Host> = collections::HashMap::new();
        for (at, route) in routes.into_iter().enumerate() {
            if !services.contains(&route.service) {
                return Err(Fault { at, field: Field::Service, why: "no such service" });
            }
            if route.timeout == 0 {
                return Err(Fault { at, field: Field::Timeout, why: "must be more than 0" });
            }
            let host = hosts.entry(route.host.clone()).or_default();
            if host.routes.contains_key(&route.prefix) {
                let why = "another route has this host and prefix";
                return Err(Fault { at, field: Field::Prefix, why });
            }
            host.routes.insert(route.prefix.clone(), route);
        }
        for host in hosts.values_mut() {
            let lengths = host.routes.keys().map(|prefix| prefix.as_str().len());
            host.lengths =
                lengths.collect::<collections::BTreeSet<_>>().into_iter().rev().collect();
        }
        let services = services.iter().cloned().collect();
        Ok(Self { version, services, max_body, hosts })
    }

    /// The route with the longest prefix of `path`, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let host = self.hosts.get(host)?;
        host.lengths.iter().find_map(|length| {
            let (prefix, rest) = path.split_at_checked(*length)?;
            Some((host.routes.get(prefix)?, rest))
        })
    }
}

/// A field of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// [`Route::service`].
    Service,
    /// [`Route::timeout`].
    Timeout,
    /// [`Route::prefix`].
    Prefix,
}

/// A route that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Number of the route, from 0.
    pub at: usize,
    /// The field at fault.
    pub field: Field,
    /// What is wrong.
    pub why: &'static str,
}
