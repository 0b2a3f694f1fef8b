//! Timers of the jobs at this instance: repeated proposals, hedges, deadlines, a journal that is
//! unreachable for too long, and the removal of expired state.

use state::{id, table};

use crate::{
    core::{CONTACT_TIMEOUT, Core},
    job::Phase,
    message::{Refusal, Verdict},
    time::{self, Now},
};

/// Interval between two proposals of the same command, microseconds.
pub(crate) const REPROPOSE_INTERVAL: u64 = 300 * time::MS;
/// Interval between two removals of expired state, microseconds.
const PRUNE_INTERVAL: u64 = 1_000 * time::MS;
/// Pruning keeps entries this much longer than the retention, milliseconds.
const RETENTION_MARGIN_MS: u64 = 60_000;

impl Core {
    pub(crate) fn tick_jobs(&mut self, now: Now) {
        while let Some((deadline, id)) = self.deadlines.first().cloned()
            && deadline <= now.mono
        {
            self.deadlines.pop_first();
            self.on_deadline(&id, now);
        }
        let lost_contact = self.time_without_lease(now.mono) > CONTACT_TIMEOUT;
        let mut due = Vec::new();
        for (id, job) in &self.jobs {
            let pending = !matches!(job.phase, Phase::Running);
            let cut_off = lost_contact && job.journaled && !job.waiters.is_empty();
            let hedged = job.retryable && job.policy.hedge_quantile > 0.0;
            if cut_off || hedged || (pending && now.mono >= job.retry_at) {
                due.push(id.clone());
            }
        }
        for id in due {
            self.tick_job(&id, lost_contact, now);
        }
    }

    fn tick_job(&mut self, id: &id::JobId, lost_contact: bool, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match &job.phase {
            Phase::Admitting => self.admit(id, now),
            Phase::Ending(ending) => {
                let (outcome, committed) = (ending.outcome, ending.committed);
                job.retry_at = now.mono + REPROPOSE_INTERVAL;
                self.resend_copies(id);
                if committed {
                    self.conclude(id, now);
                } else {
                    self.propose_end(id, outcome, now);
                }
            }
            Phase::Running if job.retryable => self.hedge(id, now),
            Phase::Running => {}
        }
        if lost_contact && let Some(job) = self.jobs.get_mut(id).filter(|job| job.journaled) {
            let waiters = std::mem::take(&mut job.waiters);
            for waiter in waiters {
                let why = "the owner lost contact with the zone's journal";
                self.reply(waiter, Verdict::unknown(why));
            }
        }
    }

    fn on_deadline(&mut self, id: &id::JobId, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        match job.phase {
            Phase::Admitting if !self.has_lease(now.mono) => {
                self.remove_and_reply(id, &Verdict::unknown("the zone's journal is out of reach"));
            }
            Phase::Admitting => self.remove_and_reply(id, &not_started()),
            Phase::Running if job.started == 0 => {
                self.finish(id, table::Outcome::NotRun, &not_started(), now);
            }
            Phase::Running => {
                let why = "the deadline has passed".to_owned();
                let verdict = Verdict::Failed { why, late: true };
                self.finish(id, table::Outcome::Failed, &verdict, now);
            }
            Phase::Ending(_) => {}
        }
    }

    /// Removes the state of jobs that are older than the longest retention, expired upstreams and
    /// idle teams.
    pub(crate) fn prune(&mut self, now: Now) {
        if now.mono < self.prune_at {
            return;
        }
        self.prune_at = now.mono + PRUNE_INTERVAL;
        self.fleet.prune(now.mono);
        let longest = self.tree().longest_retention();
        let before = now.wall.saturating_sub(longest + RETENTION_MARGIN_MS);
        self.journal.machine_mut().table.prune(before);
        for group in self.witness_journals.values_mut() {
            group.machine_mut().table.prune(before);
        }
        self.answers.prune(before);
        for service in self.services.values_mut() {
            service.queue.prune();
        }
    }
}

/// Verdict on a job of which no task was started before the deadline.
pub(crate) fn not_started() -> Verdict {
    const RETRY_MS: u64 = 100;
    Verdict::refuse(Refusal::Expired, "no task was started before the deadline", RETRY_MS)
}
