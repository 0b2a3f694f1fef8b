//! The cases.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, Options, Run},
    http::{self, Outcome},
    record::Record,
    system::{HOST, PREFIX, SERVICE, System},
};

/// `GraceS`, `LossSlackMs`, `cancel_ms` and `StopMs` of the small sites.
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);
/// `TimeoutMs` of the route, and how long the clients wait.
const TIMEOUT: Duration = Duration::from_secs(20);
const DEADLINE: Duration = Duration::from_secs(15);

fn config(version: u64, stretch: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-1","Host":"{HOST}","PathPrefix":"{PREFIX}","Kind":"unsafe","TimeoutMs":{},"LatencyGoalMs":60,"Priority":0,"Service":"{SERVICE}","MaxAttempts":3,"Stretch":{stretch}}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":true,"Standby":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        TIMEOUT.as_millis(),
    )
}

/// A step of one task, which needs most of an executor.
struct Step {
    length: u64,
    label: &'static str,
    after: Option<usize>,
}

fn job(steps: &[Step]) -> String {
    let spec: Vec<_> =
        steps.iter().enumerate().map(|(at, step)| format!("{at}.ms={}", step.length)).collect();
    let steps: Vec<_> = steps
        .iter()
        .map(|step| {
            let after = step.after.map_or(String::new(), |at| format!(r#","DependsOn":[{at}]"#));
            format!(
                r#"{{"Count":1,"Cpu":14000,"MemMb":64,"EstimateMs":{},"RequiredLabel":"{}"{after}}}"#,
                step.length, step.label
            )
        })
        .collect();
    format!(
        r#"{{"Spec":"{} cpu=14000","BestEffort":true,"Steps":[{}]}}"#,
        spec.join(" "),
        steps.join(",")
    )
}

/// Sends a job to an entry and waits for the answer.
fn submit(record: &Record, to: SocketAddr, id: &str, body: String) -> JoinHandle<Outcome> {
    let (record, id) = (record.clone(), id.to_owned());
    thread::spawn(move || {
        record.add(format!("client POST {id} to {to}: {body}"));
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("Apricotroute-Deadline-Ms", deadline)];
        let path = format!("{PREFIX}{id}");
        let outcome = http::call("POST", to, HOST, &path, &headers, &body, DEADLINE);
        let text = match &outcome.answer {
            Some((status, body)) => format!("{status} {body}"),
            None => format!("no complete answer, {}", outcome.error),
        };
        record.add_at(outcome.ended, format!("client {id}: {text}"));
        outcome
    })
}

/// Starts three keepers, two entries and an executor for each of `labels`, each with room for one
/// task, and waits until jobs are served.
fn start(program: &Path, labels: &[&str], record: &Record) -> (System, Vec<Arc<Executor>>) {
    let system = System::start(program, &["a", "b", "c"], &["a", "a"], record);
    if system.publish(&config(1, "1.6")) != 200 {
        system.fail("no keeper takes the configuration");
    }
    let executors = labels.iter().enumerate().map(|(at, label)| {
        let options = Options {
            id: format!("i-{label}-{at}"),
            service: SERVICE.to_owned(),
            zone: "a".to_owned(),
            labels: vec![(*label).to_owned(), "r1-1".to_owned()],
            cpu: 16_000,
            control: system.control(),
        };
        Executor::start(options, record)
    });
    let executors = executors.collect();
    system.wait_ready();
    let until = Instant::now() + Duration::from_secs(10);
    for number in 0.. {
        let (first, second) = (step(20, "a", None), step(20, "b", Some(0)));
        let id = format!("{number:016x}");
        let entry = system.front(system.entries()[number % 2]);
        let outcome = submit(record, entry, &id, job(&[first, second])).join().expect("a client");
        if outcome.status() == 200 && number >= 2 {
            break;
        }
        if Instant::now() >= until {
            system.fail("no job is served");
        }
        thread::sleep(Duration::from_millis(300));
    }
    // ContactMs of calm before the disruption.
    thread::sleep(Duration::from_secs(4));
    (system, executors)
}

fn step(length: u64, label: &'static str, after: Option<usize>) -> Step {
    Step { length, label, after }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// LOST: an entry that is stopped with SIGTERM ends while clients wait for its answers.
///
/// Fourteen jobs come within a second, by two entries in turn. Their first tasks of 0.1 s run at
/// once, their second ones of 0.9 s queue for the only executor with label `b`.
pub fn stop(program: &Path, trouble: bool, record: &Record) -> bool {
    let (mut system, executors) =
        start(program, &["a", "a", "a", "a", "a", "a", "a", "a", "b"], record);
    let stopped = system.entries()[0];
    let mut clients = Vec::new();
    for number in 0..14 {
        let entry = system.entries()[number % 2];
        let id = format!("b{number:015x}");
        let body = job(&[step(100, "a", None), step(900, "b", Some(0))]);
        clients.push((entry, id.clone(), submit(record, system.front(entry), &id, body)));
        sleep(60);
    }
    sleep(300);
    let term = trouble.then(|| {
        let term = system.signal(stopped, "-TERM");
        // The platform sends SIGKILL after GraceS.
        system.wait_end(stopped, GRACE);
        term
    });
    let outcomes: Vec<_> = clients
        .into_iter()
        .map(|(entry, id, client)| (entry, id, client.join().expect("a client")))
        .collect();
    let runs: Vec<Run> = executors.iter().flat_map(|executor| executor.history()).collect();
    let mut broken = false;
    for (entry, id, outcome) in &outcomes {
        if outcome.answer.is_some() {
            continue;
        }
        let Some(term) = term.filter(|_| *entry == stopped) else {
            system.fail("a request that the disruption does not concern was not answered");
        };
        let of_job = || runs.iter().filter(|run| run.task.starts_with(id.as_str()));
        let passed_on = of_job().any(|run| run.began < outcome.ended);
        let late = outcome.ended > outcome.sent + LOSS_SLACK;
        let planned = outcome.ended <= term + GRACE + Duration::from_secs(1);
        let in_time = outcome.ended < outcome.sent + DEADLINE.min(TIMEOUT);
        let last_sixth = term + GRACE * 5 / 6;
        let at_work = of_job().any(|run| {
            run.began < outcome.ended && run.ended.is_none_or(|(at, _)| at > last_sixth)
        });
        let lost = planned && in_time && (passed_on || late) && !at_work;
        record.add(format!(
            "check {id}: ended {} ms after its last byte, {} ms after SIGTERM, passed on to an \
             executor: {passed_on}, before its deadline and the route's timeout: {in_time}, \
             executor at work on it in the last sixth of GraceS: {at_work}; LOST: {lost}",
            (outcome.ended - outcome.sent).as_millis(),
            outcome.ended.saturating_duration_since(term).as_millis(),
        ));
        broken |= lost;
    }
    broken
}

/// UNASKED: tasks of a job start, and run on, after its cancelling was acknowledged.
///
/// The job is a chain of eight tasks of 0.9 s.
pub fn cancel(program: &Path, trouble: bool, record: &Record) -> bool {
    let (system, executors) = start(program, &["a", "b"], record);
    let entry = system.front(system.entries()[0]);
    let id = "c000000000000000";
    let steps: Vec<_> = (0..8_usize).map(|at| step(900, "a", at.checked_sub(1))).collect();
    let client = submit(record, entry, id, job(&steps));
    sleep(500);
    let acknowledged = trouble.then(|| {
        let path = format!("{PREFIX}{id}");
        let call = http::call("DELETE", entry, HOST, &path, &[], "", Duration::from_secs(2));
        record.add_at(call.ended, format!("client DELETE {id}: {:?}", call.answer));
        if !matches!(call.status(), 200..300 | 410) {
            system.fail("the cancelling was not acknowledged");
        }
        call.ended
    });
    let outcome = client.join().expect("a client");
    let Some(acknowledged) = acknowledged else {
        if outcome.status() != 200 {
            system.fail("the job was not served without the disruption");
        }
        return false;
    };
    let gone = acknowledged + CANCEL;
    let runs: Vec<Run> = executors.iter().flat_map(|executor| executor.history()).collect();
    let mut broken = false;
    for run in runs.iter().filter(|run| run.task.starts_with(id)) {
        let ended = run.ended.map_or_else(Instant::now, |(at, _)| at);
        let (starts_late, runs_on) = (run.began > gone, ended > gone + STOP);
        record.add(format!(
            "check {}: began {} ms, ended {} ms after the acknowledgement; starts later than \
             cancel_ms: {starts_late}, runs on StopMs after that: {runs_on}",
            run.task,
            run.began.saturating_duration_since(acknowledged).as_millis(),
            ended.saturating_duration_since(acknowledged).as_millis(),
        ));
        broken |= starts_late || runs_on;
    }
    broken
}
