//! A job whose task loses its executor to a cut three times in a row.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    executor::{Run, TASK_CPU},
    record::Record,
    system::{HOST, System},
    wire,
};

/// Each cut lasts this long, as the site's `node_cut` of servers.
const CUT: Duration = Duration::from_millis(5_500);
/// Number of executors that are cut off, of twelve: the site's share is 0.25.
const CUTS: usize = 3;
/// Each cut begins this long after the run began that it hits.
const DELAY: Duration = Duration::from_millis(300);
const JOB: &str = "5c0e7a21d94b36f8";
const WORK_MS: u64 = 3_000;
const DEADLINE: Duration = Duration::from_secs(15);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Outcome> {
    let system = System::start(Arc::clone(record), &[32_000; 4])?;
    let entry = system.entry(0, 0);
    let body = format!(
        "{{\"Spec\":\"{WORK_MS}\",\"BestEffort\":true,\"Steps\":[{{\"Count\":1,\"Cpu\":{TASK_CPU},\
         \"MemMb\":64,\"EstimateMs\":{WORK_MS}}}]}}"
    );
    let headers = [
        ("Host", HOST.to_owned()),
        ("Apricotroute-Deadline-Ms", DEADLINE.as_millis().to_string()),
    ];
    record.line(&format!("client sends job {JOB} to {entry}"));
    let log = Arc::clone(record);
    let client = thread::spawn(move || {
        let answer = wire::call(entry, "POST", &format!("/q/{JOB}"), &headers, &body, DEADLINE);
        match &answer {
            Ok(answer) => log.line(&format!("client gets {} {}", answer.status(), answer.body)),
            Err(error) => log.line(&format!("client gets no answer: {error}")),
        }
        answer
    });
    let mut heals = Vec::new();
    let mut seen = 0;
    while !client.is_finished() {
        let runs = runs(&system);
        if trouble && heals.len() < CUTS && runs.len() > seen {
            seen = runs.len();
            let (last, at) = &runs[seen - 1];
            thread::sleep((last.began + DELAY).saturating_duration_since(Instant::now()));
            system.cuts[*at].set(true);
            record.line(&format!("the link to {} is cut", last.executor));
            heals.push((Instant::now() + CUT, *at));
        }
        for (until, at) in &heals {
            if Instant::now() >= *until {
                system.cuts[*at].set(false);
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    let answer = client.join().map_err(|_| io::Error::other("the client ended"))??;
    let runs: Vec<_> = runs(&system).into_iter().map(|(run, _)| run).collect();
    let failures = runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
    let failures = failures.count();
    for run in &runs {
        let end = run.ended.map_or_else(String::new, |(at, how)| {
            format!("{how} at {:.3} s", record.time(at))
        });
        record.line(&format!("run on {}: {end}", run.executor));
    }
    record.line(&format!("{} runs, of which {failures} ended as failed", runs.len()));
    if runs.is_empty() {
        return Err(io::Error::other("no run began"));
    }
    let is_failed = answer.status() == 200 && answer.body.contains("\"failed\"");
    // The route allows three failed attempts; only ends that are `failed` count.
    let is_broken = is_failed && failures < 3;
    if is_broken {
        record.line("BROKEN: the job is shown as failed, and its task has not failed");
    }
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}

/// All runs in the order of their beginnings, each with the position of its executor.
fn runs(system: &System) -> Vec<(Run, usize)> {
    let executors = system.executors.iter().enumerate();
    let mut runs: Vec<_> =
        executors.flat_map(|(at, one)| one.runs().into_iter().map(move |run| (run, at))).collect();
    runs.sort_by_key(|(run, _)| run.began);
    runs
}
