//! Routes requests of clients to services, as the configuration defines.

use std::collections;

use state::name;

/// A queue of jobs that clients address by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host of the request.
    pub host: name::Name,
    /// Prefix of the request path.
    pub prefix: name::Name,
    /// Service whose upstreams run the jobs.
    pub service: name::Name,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Maximum number of attempts: a task that failed this often fails its job.
    pub max_attempts: u32,
    /// The latency objective is this many times the critical path of the job ...
    pub stretch: f64,
    /// ... plus this time, in milliseconds.
    pub latency_goal: u64,
    /// Maximum time for an answer, in milliseconds; more than 0.
    pub timeout: u64,
}

impl Route {
    /// Latency objective for a job, in milliseconds; `critical_path` is the length of its critical
    /// path.
    pub fn objective(&self, critical_path: u64) -> u64 {
        (critical_path as f64 * self.stretch) as u64 + self.latency_goal
    }
}

/// The routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Defined services.
    pub services: collections::BTreeSet<name::Name>,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    hosts: collections::HashMap<name::Name, Host>,
}

/// The routes of one host. The time of a lookup depends only on the number of distinct prefix
/// lengths: with 4,200 routes it takes as long as with one route for each of these lengths.
#[derive(Clone, Debug, Default)]
struct Host {
    routes: collections::HashMap<name::Name, Route>,
    /// Distinct prefix lengths in bytes, longest first.
    lengths: Vec<usize>,
}

impl Routing {
    /// Builds a routing table after checking the routes against the defined services.
    ///
    /// # Errors
    ///
    /// Returns the index of the first invalid route, the invalid field and the reason.
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
    ) -> Result<Self, RouteError> {
        let mut hosts: collections::HashMap<name::Name, Host> = collections::HashMap::new();
        for (at, route) in routes.into_iter().enumerate() {
            if !services.contains(&route.service) {
                return Err(RouteError { at, field: Field::Service, why: "no such service" });
            }
            if route.timeout == 0 {
                return Err(RouteError { at, field: Field::Timeout, why: "must be more than 0" });
            }
            let host = hosts.entry(route.host.clone()).or_default();
            if host.routes.contains_key(&route.prefix) {
                let why = "another route has this host and prefix";
                return Err(RouteError { at, field: Field::Prefix, why });
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

    /// Returns the route with the longest prefix of `path`, and the rest of the path.
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

/// Error for an invalid route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteError {
    /// Index of the route, from 0.
    pub at: usize,
    /// The invalid field.
    pub field: Field,
    /// The reason.
    pub why: &'static str,
}
