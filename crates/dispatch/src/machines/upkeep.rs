//! Periodic work of a scheduler: it drops abandoned and expired jobs, ends runs whose leases have
//! expired, stops unwanted runs, and gives up upstreams that do not answer.

use state::name;

use crate::{
    decisions::queue,
    machines::{
        outcome,
        sched::{self, CallPurpose, Sched},
    },
    messages::{
        job::{Refusal, Verdict},
        order::Order,
        suspect, time, upstream,
    },
    tables::{
        active::ActiveJob,
        peer,
        session::{Session, Stage},
    },
};

/// The scheduler drops a job when the last query of its entry was sent this long ago, in
/// microseconds: the cancellation was lost, or another scheduler has the job. This is longer than
/// two query intervals of the entry (300 ms each), and short enough to stop the runs of the job
/// before a client that lost its entry submits the job again (1,300 ms).
pub(crate) const ABANDON_AFTER: u64 = 900 * time::MS;
/// Longest time between two ticks of a scheduler that is not stopped, microseconds.
const MAX_TICK: u64 = 40 * time::MS;
const _: () = {
    let lease = time::on_slowest(sched::MAX_LEASE * time::MS);
    let former = ABANDON_AFTER + MAX_TICK + lease;
    assert!(sched::FORMER_RUN_TIMEOUT >= former);
    assert!(sched::SPLIT_RUN_TIMEOUT >= former + outcome::ORPHAN_GRACE + MAX_TICK + lease);
};
/// Interval at which the scheduler repeats the stop order for an unwanted run, in microseconds.
const STOP_INTERVAL: u64 = 150 * time::MS;
/// The scheduler gives up an upstream that has not answered for this long, in microseconds.
const GIVE_UP_AFTER: u64 = 12_000 * time::MS;

impl Sched {
    /// Drops jobs for which no entry waits any more, so that another scheduler may take them.
    pub(crate) fn drop_abandoned(
        &mut self,
        clock_of: &impl Fn(&name::Name) -> Option<u64>,
        now: u64,
    ) {
        let is_abandoned = |active: &ActiveJob| {
            // The age of a query counts from when the entry sent it: a query that was delayed on
            // its way does not show that the entry still waits.
            match clock_of(&active.entry) {
                Some(clock) => {
                    clock >= active.entry_clock + ABANDON_AFTER
                        || now >= active.last_awaited + ABANDON_AFTER
                }
                None => now >= active.last_awaited + peer::SILENCE_TIMEOUT,
            }
        };
        let abandoned = self.jobs.iter().filter(|(_, active)| is_abandoned(active));
        for id in abandoned.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.note("job: Dropped, no recent query from its entry.", &id, "");
            self.drop_job(&id);
        }
    }

    /// Ends jobs that can no longer be answered in time.
    pub(crate) fn expire_jobs(&mut self, now: u64) {
        let mut expired = Vec::new();
        let policy = self.policy;
        let overloaded =
            policy.refuse_late && !self.is_surveying(now) && queue::is_overloaded(self.load(now));
        let is_late = |active: &ActiveJob| {
            overloaded && queue::feasibility(active, now) == queue::Feasibility::Late
        };
        for (id, active) in &self.jobs {
            if now >= active.client_deadline() {
                expired.push((id.clone(), active.started));
            } else if !active.started
                && (policy.refuse_hopeless && queue::is_hopeless(active, now) || is_late(active))
            {
                expired.push((id.clone(), false));
            }
        }
        for (id, started) in expired {
            let refusal = Refusal::Overload(queue::retry_after(self.load(now)));
            let verdict = if started { Verdict::GaveUp } else { Verdict::NotRun(refusal) };
            self.finish(&id, verdict, now);
        }
    }

    /// Counts the runs of a silent upstream as ended once its last lease has expired and no
    /// scheduler can have renewed it.
    pub(crate) fn expire_leases(&mut self, now: u64) {
        let mut lapsed = Vec::new();
        for (id, session) in &mut self.sessions {
            if session.silent_since.is_some() && session.has_lapsed(now) && !session.runs.is_empty()
            {
                session.lapsed = std::mem::take(&mut session.runs).into_keys().collect();
                lapsed.push((id.clone(), session.lapsed.clone(), session.record.phase));
            }
        }
        for (upstream, tasks, phase) in lapsed {
            for task in &tasks {
                self.requeue(&upstream, task);
            }
            if phase == upstream::Phase::Serving {
                self.report_loss(suspect::Loss { upstream, proved: false, tasks });
            }
        }
    }

    /// Marks runs as unwanted if no entry has asked for them in time; the placement step sends the
    /// stop orders.
    pub(crate) fn mark_orphans(&mut self, now: u64) {
        let due = |at: u64| now >= at;
        let orphans = self.orphan_runs.iter().filter(|(_, at)| due(**at));
        for task in orphans.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.orphan_runs.remove(&task);
            for session in self.sessions.values_mut() {
                if let Some(run) = session.runs.get_mut(&task) {
                    run.unwanted.get_or_insert(0);
                }
            }
        }
    }

    /// Sends stop orders for unwanted runs, and repeats them while a run goes on.
    pub(crate) fn send_stops(&mut self, now: u64) {
        for (id, session) in &mut self.sessions {
            if !session.owned || session.silent_since.is_some() {
                continue;
            }
            let mut stops = Vec::new();
            for (task, run) in &mut session.runs {
                let due = run.unwanted.is_some_and(|at| at == 0 || now >= at + STOP_INTERVAL);
                if due && run.stage != Stage::Starting {
                    run.unwanted = Some(now);
                    stops.push((task.clone(), run.attempt));
                }
            }
            for (task, attempt) in stops {
                self.number += 1;
                let order = Order::Stop { task: task.clone(), attempt };
                self.pending_calls.insert(self.number, (id.clone(), now, CallPurpose::Stop));
                self.out.calls.push(session.call(self.number, order, self.call_timeout.timeout()));
            }
        }
    }

    pub(crate) fn give_up_lost(&mut self, now: u64) {
        let is_lost = |session: &Session| {
            let since = if session.owned {
                session.silent_since
            } else {
                Some(session.silent_since.unwrap_or(now))
            };
            since.is_some_and(|since| now >= since + GIVE_UP_AFTER) && session.runs.is_empty()
        };
        let lost =
            self.sessions.iter().filter(|(_, session)| is_lost(session)).map(|(id, _)| id.clone());
        for id in lost.collect::<Vec<_>>() {
            self.note("upstream: Given up, it does not answer.", &id.name, "");
            self.out.gone.push((id.clone(), false));
            self.sessions.remove(&id);
            self.shrunk = true;
        }
    }
}
