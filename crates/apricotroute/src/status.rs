//! Metrics of the control thread, and the status in text form.

use std::{fmt::Write as _, sync, sync::OnceLock, time};

use coord::status::Status;
use link::metric::{Metrics, Reading};
use serde_json::Value;

use crate::control;

/// Names of the gauges whose values come from the control thread.
const GAUGES: &[&str] = &[
    "submitted",
    "completed",
    "failed",
    "unknown",
    "refused",
    "starts",
    "moved",
    "retries",
    "hedges",
    "stops",
    "forwards",
    "loans_asked",
    "slots_borrowed",
    "messages_rejected",
    "expelled",
    "ejected",
    "jobs",
    "queue",
    "slots_free",
    "leader",
    "ready",
    "settings_version",
];

/// Registers the gauges of the control thread. They share one cached status.
pub fn watch(metrics: &'static Metrics, control: &control::Control) {
    static CACHE: OnceLock<sync::Mutex<Option<(time::Instant, Status)>>> = OnceLock::new();
    for name in GAUGES {
        let control = control.clone();
        metrics.watch(name, move || {
            let Ok(mut cache) = CACHE.get_or_init(sync::Mutex::default).lock() else {
                return Vec::new();
            };
            let is_fresh = |at: &time::Instant| at.elapsed() < time::Duration::from_millis(200);
            if cache.as_ref().is_none_or(|(at, _)| !is_fresh(at)) {
                let status = control.inspect(coord::Core::status);
                *cache = status.map(|status| (time::Instant::now(), status));
            }
            cache.as_ref().map(|(_, status)| readings(status)).unwrap_or_default()
        });
    }
}

fn readings(status: &Status) -> Vec<Reading> {
    let counts = &status.counts;
    let unlabelled = |name: &'static str, value: u64| (name, Vec::new(), value as f64);
    let mut list = vec![
        unlabelled("submitted", counts.submitted),
        unlabelled("completed", counts.completed),
        unlabelled("failed", counts.failed),
        unlabelled("unknown", counts.unknown),
        unlabelled("starts", counts.starts),
        unlabelled("moved", counts.moved),
        unlabelled("retries", counts.retries),
        unlabelled("hedges", counts.hedges),
        unlabelled("stops", counts.stops),
        unlabelled("forwards", counts.forwards),
        unlabelled("loans_asked", counts.asked_loans),
        unlabelled("slots_borrowed", u64::from(status.borrowed)),
        unlabelled("messages_rejected", counts.rejected),
        unlabelled("expelled", counts.expelled),
        unlabelled("ejected", status.upstreams.iter().filter(|u| u.ejected).count() as u64),
        unlabelled("jobs", status.jobs as u64),
        unlabelled("ready", u64::from(status.ready)),
        unlabelled("settings_version", status.version),
    ];
    for (reason, count) in &counts.refused {
        list.push(("refused", vec![("reason", (*reason).to_owned())], *count as f64));
    }
    for service in &status.services {
        let label = vec![("service", service.service.to_string())];
        list.push(("queue", label.clone(), service.queue as f64));
        list.push(("slots_free", label, f64::from(service.free)));
    }
    let prefix = format!("{}#", status.instance);
    for group in &status.groups {
        let leads = group.leader.as_ref().is_some_and(|leader| leader.starts_with(&prefix));
        list.push(("leader", vec![("group", group.group.clone())], f64::from(u8::from(leads))));
    }
    list
}

/// Formats the status for people to read.
pub fn text(status: &Value) -> String {
    let mut out = String::new();
    let show = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    for key in ["instance", "availability_zone", "ready", "draining", "version", "lease_ms"] {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{key:18} {}", show(&status[key]));
    }
    let mut table = |title: &str, rows: &Value, columns: &[&str]| {
        let _ = writeln!(out, "\n{title}");
        for row in rows.as_array().into_iter().flatten() {
            let cells: Vec<_> =
                columns.iter().map(|column| format!("{column}={}", show(&row[*column]))).collect();
            let _ = writeln!(out, "  {}", cells.join(" "));
        }
    };
    table("groups", &status["groups"], &["group", "leader", "term", "commit", "voters"]);
    table("services", &status["services"], &["service", "queue", "share", "free", "total"]);
    let columns = &["upstream", "service", "phase", "slots", "outstanding", "lease_ms", "ejected"];
    table("upstreams", &status["upstreams"], columns);
    let members: Vec<_> = status["members"].as_array().into_iter().flatten().map(show).collect();
    let _ = writeln!(out, "\nmembers            {}", members.join(" "));
    out
}
