//! What a scheduler does because time has passed: jobs that nobody waits for, leases that are
//! over, runs that nobody wants.

use state::name;

use crate::{
    active::Active,
    job::{Refusal, Verdict},
    order::Order,
    peer, queue,
    sched::{Sched, Sent},
    session::{Session, Stage},
    suspect, time, upstream,
};

/// A job that its entry has not asked for this long, by the stamp of its last question, is dropped:
/// its cancelling was lost, or another scheduler has it. Longer than two questions of the entry
/// (300 ms each) are apart, and short enough for its runs to be stopped before a client that lost
/// its entry comes back (1,300 ms).
pub(crate) const ABANDONED: u64 = 900 * time::MS;
/// An unwanted run is told to stop again after this, microseconds.
const STOP_AGAIN: u64 = 150 * time::MS;
/// An upstream that never answers is given up after this, microseconds.
const GIVE_UP: u64 = 12_000 * time::MS;

impl Sched {
    /// Drops jobs that no entry waits for, so that another scheduler may take them.
    pub(crate) fn drop_abandoned(&mut self, alive: &impl Fn(&name::Name) -> Option<u64>, now: u64) {
        let abandoned = |active: &Active| {
            // By when the question was asked: one that waited on its way says nothing of now.
            match alive(&active.entry) {
                Some(clock) => {
                    clock >= active.stamp + ABANDONED || now >= active.awaited + ABANDONED
                }
                None => now >= active.awaited + peer::SILENT,
            }
        };
        let gone = self.jobs.iter().filter(|(_, active)| abandoned(active));
        for id in gone.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.note("job: Dropped, its entry is not heard.", &id, "");
            self.drop_job(&id);
        }
    }

    /// Ends jobs that can't be answered in time any more.
    pub(crate) fn expire(&mut self, now: u64) {
        let mut over = Vec::new();
        let policy = self.policy;
        let overloaded = policy.refuse_late && queue::is_overloaded(self.load(now));
        let unwelcome = |active: &Active| {
            overloaded && queue::feasibility(active, now) == queue::Feasibility::Late
        };
        for (id, active) in &self.jobs {
            if now >= active.end() {
                over.push((id.clone(), active.started));
            } else if !active.started
                && (policy.refuse_hopeless && queue::is_hopeless(active, now) || unwelcome(active))
            {
                over.push((id.clone(), false));
            }
        }
        for (id, started) in over {
            let refusal = Refusal::Overload(queue::retry_after(self.load(now)));
            let verdict = if started { Verdict::GaveUp } else { Verdict::NotRun(refusal) };
            self.finish(&id, verdict, now);
        }
    }

    /// Counts runs as over where the last lease has run out and nobody can have renewed it.
    pub(crate) fn lapse(&mut self, now: u64) {
        let mut lapsed = Vec::new();
        for (id, session) in &mut self.sessions {
            if session.silent.is_some() && session.has_lapsed(now) && !session.runs.is_empty() {
                session.lapsed = std::mem::take(&mut session.runs).into_keys().collect();
                lapsed.push((id.clone(), session.lapsed.clone(), session.record.phase));
            }
        }
        for (upstream, tasks, phase) in lapsed {
            for task in &tasks {
                self.requeue(&upstream, task);
            }
            if phase == upstream::Phase::Serving {
                self.lose(suspect::Loss { upstream, proved: false, tasks });
            }
        }
    }

    /// Marks runs that no entry has asked for in time as unwanted; placing tells them to stop.
    pub(crate) fn mark_orphans(&mut self, now: u64) {
        let due = |at: u64| now >= at;
        let orphans = self.orphans.iter().filter(|(_, at)| due(**at));
        for task in orphans.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            self.orphans.remove(&task);
            for session in self.sessions.values_mut() {
                if let Some(run) = session.runs.get_mut(&task) {
                    run.unwanted.get_or_insert(0);
                }
            }
        }
    }

    /// Tells unwanted runs to stop, again where that did not help.
    pub(crate) fn send_stops(&mut self, now: u64) {
        for (id, session) in &mut self.sessions {
            if !session.owned || session.silent.is_some() {
                continue;
            }
            let mut stops = Vec::new();
            for (task, run) in &mut session.runs {
                let due = run.unwanted.is_some_and(|at| at == 0 || now >= at + STOP_AGAIN);
                if due && run.stage != Stage::Starting {
                    run.unwanted = Some(now);
                    stops.push((task.clone(), run.attempt));
                }
            }
            for (task, attempt) in stops {
                self.number += 1;
                let order = Order::Stop { task: task.clone(), attempt };
                self.sent.insert(self.number, (id.clone(), now, Sent::Stop));
                self.out.calls.push(session.call(self.number, order, self.call_timeout.patience()));
            }
        }
    }

    pub(crate) fn give_up_lost(&mut self, now: u64) {
        let lost = |session: &Session| {
            let since =
                if session.owned { session.silent } else { Some(session.silent.unwrap_or(now)) };
            since.is_some_and(|since| now >= since + GIVE_UP) && session.runs.is_empty()
        };
        let lost =
            self.sessions.iter().filter(|(_, session)| lost(session)).map(|(id, _)| id.clone());
        for id in lost.collect::<Vec<_>>() {
            self.note("upstream: Given up, it does not answer.", &id, "");
            self.out.gone.push((id.clone(), false));
            self.sessions.remove(&id);
        }
    }
}
