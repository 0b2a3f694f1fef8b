//! Open-loop load generator. It submits at planned times independently of the responses, and
//! measures response times from those planned times, so that a slow response does not hide the
//! delay of the submissions after it.

use std::{collections, fmt::Write as _, sync, sync::atomic, thread, time};

use error_stack::ResultExt as _;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _, rngs};
use serde_json::json;
use state::{id, name};

use crate::{error, options, remote};

/// Output of `--help`.
pub const HELP: &str = "\
apricotroute load --to IP:PORT[,IP:PORT...] [options]

  --operator IP:PORT[,...]  operator addresses, whose metrics count messages between instances
  --service PATH            service (default polish-board)
  --zone NAME               home zone of the jobs (default west)
  --rate X                  jobs per second (default 20)
  --seconds N               duration (default 5)
  --tasks N                 minimum number of tasks per job (default 1)
  --spread N                up to N additional tasks per job, at random (default 0)
  --ideal-ms N              service time of a task (default 50)
  --deadline-ms N           deadline of a job (default 5000)
  --teams N                 submit as teams t0, t1, ..., drawn at random (default 0 = none)
  --flood X                 team t0 submits X times as many jobs as each other team (default 1)
  --cancel X                fraction of jobs to cancel after half their ideal time (default 0)
  --retry MODE              after a refusal: never retry, obey its retry delay, or insist by
                            retrying immediately (default never)
  --idempotent              submit idempotent requests instead of jobs
  --seed N                  seed of the random arrivals (default 1)

Arrivals are a Poisson process with the given seed. Response times are reported as the excess over
the ideal time, which is the service time of a task without any waiting. Prints JSON.
";

/// What the client does after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// The client gives up.
    Never,
    /// The client retries after the delay that the refusal asks for.
    Obey,
    /// The client retries immediately.
    Insist,
}

/// Parameters of the load.
#[derive(Clone, Debug)]
pub struct Options {
    to: Vec<String>,
    operators: Vec<String>,
    service: String,
    zone: String,
    rate: f64,
    seconds: u64,
    tasks: u32,
    spread: u32,
    /// Service time of a task without waiting, milliseconds.
    ideal: f64,
    /// Deadline of a job, milliseconds.
    deadline: u64,
    teams: u32,
    flood: f64,
    cancel: f64,
    retry: Retry,
    idempotent: bool,
    seed: u64,
}

/// Parses the options from the command line.
pub fn options(arguments: &mut pico_args::Arguments) -> error::Result<Options> {
    let split =
        |text: String| text.split(',').filter(|part| !part.is_empty()).map(str::to_owned).collect();
    let retry: String = options::option(arguments, "--retry", "never".to_owned())?;
    let retry = match retry.as_str() {
        "never" => Retry::Never,
        "obey" => Retry::Obey,
        "insist" => Retry::Insist,
        _ => {
            return Err(error_stack::Report::new(error::Error::new("unknown retry", retry)));
        }
    };
    Ok(Options {
        to: split(options::required(arguments, "--to")?),
        operators: split(options::option(arguments, "--operator", String::new())?),
        service: options::option(arguments, "--service", "polish-board".to_owned())?,
        zone: options::option(arguments, "--zone", "west".to_owned())?,
        rate: options::option(arguments, "--rate", 20.0)?,
        seconds: options::option(arguments, "--seconds", 5)?,
        tasks: options::option(arguments, "--tasks", 1)?,
        spread: options::option(arguments, "--spread", 0)?,
        ideal: options::option(arguments, "--ideal-ms", 50.0)?,
        deadline: options::option(arguments, "--deadline-ms", 5_000)?,
        teams: options::option(arguments, "--teams", 0)?,
        flood: options::option(arguments, "--flood", 1.0)?,
        cancel: options::option(arguments, "--cancel", 0.0)?,
        retry,
        idempotent: arguments.contains("--idempotent"),
        seed: options::option(arguments, "--seed", 1)?,
    })
}

/// One planned submission.
#[derive(Clone, Debug)]
struct Arrival {
    /// Time after the start of the load.
    at: time::Duration,
    /// Index of the client address.
    to: usize,
    tasks: u32,
    team: Option<u32>,
    cancelled: bool,
}

/// Measurements of one load run.
struct Measurements {
    /// Response times in excess of the ideal time, microseconds.
    over_ideal: Histogram<u64>,
    /// Response times of the last attempt of submissions that did not complete, microseconds.
    refusals: Histogram<u64>,
    /// Excess response times by team, microseconds.
    teams: collections::BTreeMap<u32, Histogram<u64>>,
    /// Number of submissions by final state.
    states: collections::BTreeMap<String, u64>,
    /// Number of tasks of completed submissions.
    useful_tasks: u64,
    /// Number of such tasks by second since the start of the load.
    by_second: collections::BTreeMap<u64, u64>,
    retries: u64,
}

impl Measurements {
    fn new() -> Self {
        Self {
            over_ideal: histogram(),
            refusals: histogram(),
            teams: collections::BTreeMap::new(),
            states: collections::BTreeMap::new(),
            useful_tasks: 0,
            by_second: collections::BTreeMap::new(),
            retries: 0,
        }
    }
}

/// Creates a histogram of microseconds up to ten minutes, with three significant digits.
fn histogram() -> Histogram<u64> {
    const MAX_MICROS: u64 = 600_000_000;
    Histogram::new_with_bounds(1, MAX_MICROS, 3)
        .unwrap_or_else(|_| unreachable!("bounds are valid"))
}

/// Runs the load and returns the measurements as JSON.
pub fn run(options: &Options) -> error::Result<String> {
    let plan = plan(options);
    let before = counters(options)?;
    let measurements = sync::Arc::new(sync::Mutex::new(Measurements::new()));
    let remotes: Vec<_> = options.to.iter().map(|to| remote::Remote::new(to)).collect();
    let pool = link::pool::Pool::new("load", 4_096);
    let pending = sync::Arc::new(atomic::AtomicUsize::new(0));
    let start = time::Instant::now();
    for arrival in plan {
        thread::sleep((start + arrival.at).saturating_duration_since(time::Instant::now()));
        let (options, measurements) = (options.clone(), sync::Arc::clone(&measurements));
        let remote = remotes[arrival.to % remotes.len()].clone();
        let pending = sync::Arc::clone(&pending);
        pending.fetch_add(1, atomic::Ordering::Relaxed);
        pool.run(move || {
            submit(&options, &remote, &arrival, start, &measurements);
            pending.fetch_sub(1, atomic::Ordering::Relaxed);
        });
    }
    while pending.load(atomic::Ordering::Relaxed) > 0 {
        thread::sleep(time::Duration::from_millis(10));
    }
    let after = counters(options)?;
    let context = || error::Error::new("read measurements of", "the load");
    let measurements = measurements
        .lock()
        .map_err(|e| error_stack::Report::new(context()).attach(e.to_string()))?;
    Ok(report(options, &measurements, &before, &after, start.elapsed()))
}

/// Draws the arrivals of a Poisson process.
fn plan(options: &Options) -> Vec<Arrival> {
    let mut rng = rngs::SmallRng::seed_from_u64(options.seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / options.rate;
        if at >= options.seconds as f64 {
            return arrivals;
        }
        arrivals.push(Arrival {
            at: time::Duration::from_secs_f64(at),
            to: rng.random_range(0..options.to.len()),
            tasks: options.tasks + rng.random_range(0..=options.spread),
            team: team(options, &mut rng),
            cancelled: rng.random::<f64>() < options.cancel,
        });
    }
}

/// Draws the team of a submission, if the load uses teams.
fn team(options: &Options, rng: &mut rngs::SmallRng) -> Option<u32> {
    if options.teams == 0 {
        return None;
    }
    let draw = rng.random_range(0.0..options.flood + f64::from(options.teams - 1));
    Some(if draw < options.flood { 0 } else { (draw - options.flood) as u32 + 1 })
}

fn submit(
    options: &Options,
    remote: &remote::Remote,
    arrival: &Arrival,
    start: time::Instant,
    measurements: &sync::Mutex<Measurements>,
) {
    const MAX_ATTEMPTS: usize = 100;
    let planned = start + arrival.at;
    let until = planned + time::Duration::from_millis(options.deadline);
    let job = id::JobId::generate(&name::Name::new(&options.zone)).to_string();
    let body = body(options, arrival, &job);
    if arrival.cancelled {
        cancel_later(options, remote, &job);
    }
    for _ in 0..MAX_ATTEMPTS {
        let sent = time::Instant::now();
        let answer = call(options, remote, &body, &job);
        let (state, retry_ms) = state(&answer);
        let refused = state == "not_run";
        let retrying = refused && options.retry != Retry::Never && time::Instant::now() < until;
        record(options, arrival, measurements, &state, (planned, sent, start), retrying);
        if !retrying {
            return;
        }
        if options.retry == Retry::Obey {
            thread::sleep(time::Duration::from_millis(retry_ms.max(1)));
        }
    }
}

fn body(options: &Options, arrival: &Arrival, job: &str) -> String {
    let tasks: Vec<_> = (0..arrival.tasks).map(|number| json!({"payload": number})).collect();
    let team = arrival.team.map(|team| format!("t{team}"));
    let (service, deadline) = (&options.service, options.deadline);
    json!({"job": job, "service": service, "team": team, "deadline_ms": deadline, "tasks": tasks})
        .to_string()
}

fn call(
    options: &Options,
    remote: &remote::Remote,
    body: &str,
    job: &str,
) -> error::Result<remote::Response> {
    if options.idempotent {
        let headers = [
            ("Idempotent", "true".to_owned()),
            ("Deadline-Ms", options.deadline.to_string()),
            ("Request-Id", job.to_owned()),
        ];
        return remote.request(&options.service, b"7", &headers);
    }
    remote.post("/v1/jobs", body.as_bytes())
}

/// Cancels the job after half of its ideal time.
fn cancel_later(options: &Options, remote: &remote::Remote, job: &str) {
    let (remote, path) = (remote.clone(), format!("/v1/jobs/{job}"));
    let pause = time::Duration::from_secs_f64(options.ideal / 2_000.0);
    thread::spawn(move || {
        thread::sleep(pause);
        drop(remote.delete(&path));
    });
}

/// Returns the state of the submission and the requested retry delay, milliseconds.
fn state(answer: &error::Result<remote::Response>) -> (String, u64) {
    let Ok(answer) = answer else {
        return ("no_answer".to_owned(), 0);
    };
    let json = answer.json();
    let state = match json["state"].as_str() {
        Some(state) => state.to_owned(),
        None if answer.status == 200 => "complete".to_owned(),
        None => format!("status_{}", answer.status),
    };
    (state, json["retry_after_ms"].as_u64().unwrap_or(0))
}

/// Records the result of one attempt. `times` holds the planned time of the submission, the time
/// when this attempt was sent, and the start of the load.
fn record(
    options: &Options,
    arrival: &Arrival,
    measurements: &sync::Mutex<Measurements>,
    state: &str,
    times: (time::Instant, time::Instant, time::Instant),
    retrying: bool,
) {
    let (planned, sent, start) = times;
    let now = time::Instant::now();
    let Ok(mut measurements) = measurements.lock() else { return };
    if retrying {
        measurements.retries += 1;
        return;
    }
    *measurements.states.entry(state.to_owned()).or_default() += 1;
    if state != "complete" {
        measurements.refusals.saturating_record((now - sent).as_micros() as u64);
        return;
    }
    let ideal = time::Duration::from_secs_f64(options.ideal / 1_000.0);
    let excess = (now - planned).saturating_sub(ideal).as_micros() as u64;
    measurements.over_ideal.saturating_record(excess.max(1));
    if let Some(team) = arrival.team {
        measurements.teams.entry(team).or_insert_with(histogram).saturating_record(excess.max(1));
    }
    measurements.useful_tasks += u64::from(arrival.tasks);
    let second = (now - start).as_secs();
    *measurements.by_second.entry(second).or_default() += u64::from(arrival.tasks);
}

/// Reads the metrics of all instances, such as messages and bytes between them, and sums each over
/// the instances.
fn counters(options: &Options) -> error::Result<collections::BTreeMap<String, f64>> {
    let mut sums = collections::BTreeMap::new();
    for operator in &options.operators {
        // A trial may have stopped the instance on purpose; such an instance is skipped.
        let Ok(answer) = remote::Remote::new(operator).get("/metrics") else { continue };
        for line in answer.body.lines().filter(|line| !line.starts_with('#')) {
            let Some((key, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let value: f64 = value
                .parse()
                .change_context_lazy(|| error::Error::new("read metrics of", operator))?;
            *sums.entry(key.to_owned()).or_insert(0.0) += value;
        }
    }
    Ok(sums)
}

fn report(
    options: &Options,
    measurements: &Measurements,
    before: &collections::BTreeMap<String, f64>,
    after: &collections::BTreeMap<String, f64>,
    elapsed: time::Duration,
) -> String {
    let increases: collections::BTreeMap<_, _> = after
        .iter()
        .map(|(key, value)| (key, value - before.get(key).unwrap_or(&0.0)))
        .filter(|(_, increase)| *increase > 0.0)
        .collect();
    let sum = |prefix: &str| -> f64 {
        increases.iter().filter(|(key, _)| key.starts_with(prefix)).map(|(_, value)| value).sum()
    };
    let useful_tasks = measurements.useful_tasks.max(1) as f64;
    let by_kind: collections::BTreeMap<_, _> = increases
        .iter()
        .filter(|(key, _)| key.starts_with("apricotroute_peer_messages"))
        .map(|(key, value)| (message_kind(key), *value))
        .collect();
    let names = ["starts", "moved", "retries", "hedges", "stops", "forwards", "loans_asked"];
    let counters: collections::BTreeMap<_, _> =
        names.iter().map(|key| (*key, sum(&format!("apricotroute_{key}{{")))).collect();
    let teams: collections::BTreeMap<_, _> = measurements
        .teams
        .iter()
        .map(|(team, times)| (format!("t{team}"), quantiles(times)))
        .collect();
    let report = json!({
        "rate": options.rate,
        "seconds": options.seconds,
        "seed": options.seed,
        "took_s": elapsed.as_secs_f64(),
        "states": measurements.states,
        "retries": measurements.retries,
        "useful_tasks": measurements.useful_tasks,
        "useful_by_second": measurements.by_second.values().collect::<Vec<_>>(),
        "over_ideal_ms": quantiles(&measurements.over_ideal),
        "refusal_ms": quantiles(&measurements.refusals),
        "teams_over_ideal_ms": teams,
        "peer_messages": by_kind,
        "peer_messages_per_task": sum("apricotroute_peer_messages") / useful_tasks,
        "peer_bytes_per_task": sum("apricotroute_peer_bytes") / useful_tasks,
        "counters": counters,
    });
    let mut text = String::new();
    // Writing to a `String` never fails.
    let _ = write!(text, "{report:#}");
    text
}

/// Returns the first label value of a metric, which is the kind of the messages.
fn message_kind(key: &str) -> String {
    key.split('"').nth(1).unwrap_or(key).to_owned()
}

/// Summarizes a histogram of microseconds in milliseconds.
fn quantiles(histogram: &Histogram<u64>) -> serde_json::Value {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({
        "count": histogram.len(),
        "p50": at(0.5),
        "p90": at(0.9),
        "p99": at(0.99),
        "max": histogram.max() as f64 / 1_000.0,
    })
}
