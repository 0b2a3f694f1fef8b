//! The metrics of an instance that discovers the others through seeds.

use dispatch::status::Status;
use link::{http, metric};

use super::handle;

/// The name of a gauge and the function that reads its value. Names carry a unit, except those of
/// counts.
type Gauge = (&'static str, fn(&Status) -> f64);

const GAUGES: &[Gauge] = &[
    ("ready", |status| f64::from(u8::from(status.ready))),
    ("allowed_cores", |status| f64::from(status.capacity.cpu) / 1e3),
    ("allowed_memory_bytes", |status| f64::from(status.capacity.memory) * 1e6),
    ("allowed_descriptors", |status| f64::from(status.capacity.descriptors)),
    ("allowed_link_bits_per_second", |status| f64::from(status.capacity.link) * 1e6),
    ("open_jobs", |status| status.open as f64),
    ("scheduling", |status| status.scheduling as f64),
    ("scheduled_jobs", |status| status.jobs as f64),
    ("waiting_tasks", |status| status.waiting as f64),
    ("oldest_wait_seconds", |status| status.oldest),
    ("running_tasks", |status| status.running as f64),
    ("free_cores", |status| status.free),
    ("total_cores", |status| status.total),
    ("upstreams", |status| status.upstreams as f64),
    ("upstreams_ejected", |status| status.ejected as f64),
    ("upstreams_silent", |status| status.silent as f64),
    ("upstreams_slower", |status| status.slower as f64),
    ("settings_version", |status| status.version as f64),
    ("evacuated_zones", |status| status.evacuated as f64),
    ("evacuations_revision", |status| status.revision as f64),
    ("settings_leading", |status| f64::from(u8::from(status.leading))),
    ("settings_term", |status| status.term as f64),
    ("settings_voters", |status| status.voters as f64),
    ("settings_uncommitted_entries", |status| status.behind as f64),
    ("peers_known", |status| status.known as f64),
    ("peers_heard", |status| status.heard as f64),
    ("redials", |status| status.redials as f64),
];

/// Name of the gauge of the configuration version by which requests are routed. It is behind
/// `settings_version` while a configuration is being decoded.
const ROUTED_VERSION: &str = "routed_version";

/// Serves the metrics of this process over HTTP.
pub struct MetricsHandler;

impl MetricsHandler {
    /// Installs the instruments and the gauges, which read the view of `control`.
    pub fn new(control: &handle::Control) -> Result<Self, link::Error> {
        let metrics = metric::install(metric::Metrics::new()?);
        for (name, read) in GAUGES {
            let control = control.clone();
            // The meter provider keeps the gauge.
            let _gauge = metrics
                .watch(name, move || vec![(*name, Vec::new(), read(&control.view().status()))]);
        }
        let control = control.clone();
        let routed = move || control.view().routing().version as f64;
        let _gauge =
            metrics.watch(ROUTED_VERSION, move || vec![(ROUTED_VERSION, Vec::new(), routed())]);
        Ok(Self)
    }
}

impl http::Handler for MetricsHandler {
    fn handle(&self, request: http::Request, responder: http::Responder) {
        let text = metric::metrics().map(metric::Metrics::text).unwrap_or_default();
        let is_known = request.path == "/metrics";
        responder.send(http::Response::text(if is_known { 200 } else { 404 }, text));
    }

    fn reject(&self, _error: http::RequestError) -> http::Response {
        http::Response::text(400, "cannot read the request body\n")
    }
}
