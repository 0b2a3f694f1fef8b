//! Checks the invariants of the system against all that clients, operators and upstreams observed.

use std::{
    collections,
    time::{Duration, Instant},
};

use platform::standin::RunRecord;

use super::load::{Observations, Request};

/// Maximum time from the acknowledgement of a configuration until it is in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Maximum time from the acknowledgement of an upstream's leave until it gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Instances are connected again this long after the last fault on them or between them.
const RECONNECT_TIME: Duration = Duration::from_secs(3);
/// An upstream and its callers may record times for one event that differ by this much, because
/// the upstream checks for finished tasks every 5 ms and threads wait on a busy machine.
const TIME_TOLERANCE: Duration = Duration::from_millis(20);

/// The runs on all upstreams, by task name.
pub type Runs = collections::BTreeMap<String, Vec<RunRecord>>;

/// Groups runs by task, in the order of their starts.
pub fn group_runs(runs: impl Iterator<Item = RunRecord>) -> Runs {
    let mut groups = Runs::new();
    for run in runs {
        groups.entry(run.task.clone()).or_default().push(run);
    }
    for list in groups.values_mut() {
        list.sort_by_key(|run| run.began);
    }
    groups
}

/// Checks that no task runs twice at the same time.
pub fn check_runs(observed: &Observations, runs: &Runs) {
    for (task, list) in runs {
        for pair in list.windows(2) {
            let end = pair[0].ended.map(|(at, _)| at);
            if end.is_none_or(|end| end > pair[1].began + TIME_TOLERANCE) {
                observed.record_violation(format!("{task} ran twice at the same time: {pair:?}"));
            }
        }
    }
}

/// Checks that a request is answered as complete only after all its tasks are done, and that a
/// request refused in all its attempts has run no task.
pub fn check_answers(observed: &Observations, runs: &Runs) {
    let requests = observed.requests.lock().unwrap().clone();
    for request in &requests {
        let runs_of = |index: u32| runs.get(&format!("{}.0.0.{index}", request.id));
        match request.last_status() {
            200 if request.state == "completed" => {
                let at = request.attempts.last().map(|(_, at)| *at).unwrap();
                let done = |run: &RunRecord| {
                    run.ended.is_some_and(|(end, outcome)| {
                        outcome == "done" && end <= at + TIME_TOLERANCE
                    })
                };
                let complete = (0..request.tasks)
                    .all(|index| runs_of(index).is_some_and(|list| list.iter().any(done)));
                if !complete {
                    observed.record_violation(format!(
                        "{request:?} was answered as complete before all its tasks were done"
                    ));
                }
            }
            200 if request.state != "failed" => {
                observed.record_violation(format!("{request:?} has no state"));
            }
            429 | 503
                if request.attempts.iter().all(|(status, _)| matches!(status, 429 | 503))
                    && (0..request.tasks).any(|index| runs_of(index).is_some()) =>
            {
                observed.record_violation(format!(
                    "{request:?} was refused in all attempts, but its tasks ran"
                ));
            }
            _ => {}
        }
    }
}

/// Checks that a read is never older than the last acknowledged configuration, and that it equals
/// a configuration that an operator sent.
pub fn check_reads(observed: &Observations) {
    let published = observed.published.lock().unwrap().clone();
    for (sent, version, config) in observed.reads.lock().unwrap().iter() {
        let expected =
            sent.checked_sub(APPLY_LIMIT).map_or(0, |before| observed.acknowledged_version(before));
        if *version < expected {
            observed.record_violation(format!(
                "a read returned version {version} after {expected} had been acknowledged"
            ));
        }
        let known = published.iter().any(|(_, sent, _)| sent == config);
        if *version > 0 && !known {
            observed.record_violation(format!(
                "a read returned version {version}, but no operator sent {config}"
            ));
        }
    }
}

/// Checks that no task starts on an upstream after a keeper acknowledged that it leaves. While
/// instances are disconnected from each other, and for [`RECONNECT_TIME`] after, the instance that
/// starts tasks may not have received the leave: a zone that was isolated 200 ms after the
/// acknowledgement started tasks until it was reconnected.
pub fn check_drained(
    observed: &Observations,
    id: &str,
    leave: Instant,
    runs: &[RunRecord],
    disturbed: &[(Instant, Instant)],
) {
    let connected =
        |at: Instant| !disturbed.iter().any(|(from, to)| *from <= at && at < *to + RECONNECT_TIME);
    for run in runs.iter().filter(|run| run.began > leave + DRAIN_LIMIT && connected(run.began)) {
        observed.record_violation(format!(
            "{id} got {run:?}, {:?} after its leave was acknowledged",
            run.began - leave
        ));
    }
}

/// Counts the requests first sent at or after `since`: those answered as complete, and all of them.
pub fn count_complete(requests: &[Request], since: Instant) -> (usize, usize) {
    let sent: Vec<_> = requests.iter().filter(|request| request.first_sent >= since).collect();
    let complete =
        |request: &&&Request| request.last_status() == 200 && request.state == "completed";
    (sent.iter().filter(complete).count(), sent.len())
}
