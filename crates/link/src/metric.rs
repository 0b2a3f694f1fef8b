//! Metrics collected with `opentelemetry` and exported as Prometheus text.

use std::{sync, time};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _, ObservableGauge},
};
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

use crate::error;

/// The metric instruments of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
    messages: Counter<u64>,
    bytes: Counter<u64>,
    refused_announcements: Counter<u64>,
    over_ideal: Histogram<f64>,
    calls: Histogram<f64>,
    surplus_responses: Counter<u64>,
    abandoned_requests: Counter<u64>,
    start_waits: Histogram<f64>,
    first_waits: Histogram<f64>,
    idle_rooms: Histogram<f64>,
    load_ages: Histogram<f64>,
    task_parts: Histogram<f64>,
    replies: Histogram<f64>,
    disk_syncs: Histogram<f64>,
    store_failing: Gauge<f64>,
    config_reads: Histogram<f64>,
    omitted_lines: Counter<u64>,
}

static METRICS: sync::OnceLock<Metrics> = sync::OnceLock::new();

/// A gauge reading taken when metrics are exported: name, labels, value.
pub type Reading = (&'static str, Vec<(&'static str, String)>, f64);

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter rejects its registry.
    ///
    /// ```
    /// assert!(link::metric::Metrics::new().is_ok());
    /// ```
    pub fn new() -> Result<Self, error::Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("apricotroute")
            .without_target_info()
            .build()
            .map_err(|e| error::Error::new("set up metrics", "registry", e))?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("apricotroute");
        let millis = vec![0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0];
        let seconds = |name: &'static str| {
            let bounds = vec![0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];
            meter.f64_histogram(name).with_boundaries(bounds).build()
        };
        Ok(Self {
            messages: meter.u64_counter("peer_messages").build(),
            bytes: meter.u64_counter("peer_bytes").build(),
            refused_announcements: meter.u64_counter("announcements_refused").build(),
            over_ideal: meter.f64_histogram("over_ideal_ms").with_boundaries(millis).build(),
            calls: seconds("upstream_call_seconds"),
            surplus_responses: meter.u64_counter("surplus_responses").build(),
            abandoned_requests: meter.u64_counter("abandoned_requests").build(),
            start_waits: seconds("start_wait_seconds"),
            first_waits: seconds("first_start_wait_seconds"),
            idle_rooms: seconds("idle_room_seconds"),
            load_ages: seconds("load_age_seconds"),
            task_parts: seconds("task_part_seconds"),
            replies: seconds("reply_seconds"),
            disk_syncs: seconds("disk_sync_seconds"),
            store_failing: meter.f64_gauge("store_failing").build(),
            config_reads: seconds("settings_read_seconds"),
            omitted_lines: meter.u64_counter("log_lines_left_out").build(),
            registry,
            provider,
        })
    }

    /// Adds a gauge whose values are read when metrics are exported.
    pub fn watch(
        &self,
        name: &'static str,
        read: impl Fn() -> Vec<Reading> + Send + Sync + 'static,
    ) -> ObservableGauge<f64> {
        let meter = self.provider.meter("apricotroute");
        let gauge = meter.f64_observable_gauge(name).with_callback(move |observer| {
            for (_, labels, value) in read().into_iter().filter(|(other, ..)| *other == name) {
                let labels: Vec<_> =
                    labels.into_iter().map(|(key, value)| KeyValue::new(key, value)).collect();
                observer.observe(value, &labels);
            }
        });
        gauge.build()
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        match encoder.encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(e) => format!("# {e}\n"),
        }
    }
}

/// Returns the instruments of this process, or `None` before [`install`] is called.
pub fn metrics() -> Option<&'static Metrics> {
    METRICS.get()
}

/// Makes `metrics` the instruments of this process. Only the first call has an effect.
pub fn install(metrics: Metrics) -> &'static Metrics {
    METRICS.get_or_init(|| metrics)
}

/// Counts a message between instances and its size, by kind.
pub fn count_message(kind: &'static str, bytes: usize) {
    if let Some(metrics) = metrics() {
        let labels = [KeyValue::new("kind", kind)];
        metrics.messages.add(1, &labels);
        metrics.bytes.add(bytes as u64, &labels);
    }
}

/// Counts a rejected announcement of an upstream, by the reason for the rejection.
pub fn count_refused_announcement(reason: &'static str) {
    if let Some(metrics) = metrics() {
        metrics.refused_announcements.add(1, &[KeyValue::new("what", reason)]);
    }
}

/// Records by how many milliseconds an answer was later than its longest task.
pub fn record_over_ideal(service: &str, ms: f64) {
    if let Some(metrics) = metrics() {
        metrics.over_ideal.record(ms, &[KeyValue::new("service", service.to_owned())]);
    }
}

/// Records the duration of a call to an upstream, by its order and its outcome.
pub fn record_call(order: &'static str, outcome: &'static str, took: time::Duration) {
    if let Some(metrics) = metrics() {
        let labels = [KeyValue::new("order", order), KeyValue::new("outcome", outcome)];
        metrics.calls.record(took.as_secs_f64(), &labels);
    }
}

/// Counts a response of an upstream that belongs to an earlier request on the same connection.
pub fn count_surplus_response() {
    if let Some(metrics) = metrics() {
        metrics.surplus_responses.add(1, &[]);
    }
}

/// Counts a request whose client left before it was handled.
pub fn count_abandoned_request() {
    if let Some(metrics) = metrics() {
        metrics.abandoned_requests.add(1, &[]);
    }
}

/// Records how long a task waited between the arrival of its job and its own start.
pub fn record_start_wait(waited: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.start_waits.record(waited.as_secs_f64(), &[]);
    }
}

/// Records the time from a job's arrival until the first of its tasks was started.
pub fn record_first_wait(waited: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.first_waits.record(waited.as_secs_f64(), &[]);
    }
}

/// Records how long capacity on an upstream was unused while the task that was then started there
/// was already waiting.
pub fn record_idle_room(idle: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.idle_rooms.record(idle.as_secs_f64(), &[]);
    }
}

/// Records the duration of one part of a task: the order to start it, its work, or the report of
/// its end.
pub fn record_task_part(part: &'static str, took: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.task_parts.record(took.as_secs_f64(), &[KeyValue::new("part", part)]);
    }
}

/// Records the age of the report of a zone's free capacity that was used to hand tasks to the zone.
pub fn record_load_age(age: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.load_ages.record(age.as_secs_f64(), &[]);
    }
}

/// Records the time until a reply, by its outcome and the requested service.
pub fn record_reply(outcome: &'static str, service: &str, took: time::Duration) {
    if let Some(metrics) = metrics() {
        let service = KeyValue::new("service", service.to_owned());
        metrics.replies.record(took.as_secs_f64(), &[KeyValue::new("outcome", outcome), service]);
    }
}

/// Records the duration of a synced write to the disk.
pub fn record_disk_sync(took: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.disk_syncs.record(took.as_secs_f64(), &[]);
    }
}

/// Records how long writes to the data folder have been failing; zero once they succeed.
pub fn record_store_failure(lasted: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.store_failing.record(lasted.as_secs_f64(), &[]);
    }
}

/// Records the time to read and check a configuration before it took effect.
pub fn record_config_read(took: time::Duration) {
    if let Some(metrics) = metrics() {
        metrics.config_reads.record(took.as_secs_f64(), &[]);
    }
}

/// Counts a log line that the rate limit omitted, by its message.
pub fn count_omitted_line(kind: &'static str) {
    if let Some(metrics) = metrics() {
        metrics.omitted_lines.add(1, &[KeyValue::new("kind", kind)]);
    }
}
