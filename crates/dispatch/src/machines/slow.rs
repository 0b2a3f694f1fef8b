//! How a scheduler measures the speed of its upstreams from their answers.

use crate::{
    machines::sched::Sched,
    messages::{incarnation, order::Running, time, timing},
    tables::speed,
};

impl Sched {
    /// Updates the speed of an upstream from a completed run.
    pub(crate) fn record_speed(
        &mut self,
        id: &incarnation::Incarnation,
        parts: &timing::Breakdown,
        estimate: u64,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if estimate == 0 || parts.work == 0 {
            return;
        }
        let ratio = parts.work as f64 / (estimate * time::MS) as f64;
        let was_slow = session.speed.is_slow(now);
        session.speed.record(self.usual_ratio.record(ratio), now);
        self.log_slowness(id, was_slow, now);
    }

    /// Updates the speed of an upstream from the runs in progress.
    pub(crate) fn watch_speed(
        &mut self,
        id: &incarnation::Incarnation,
        running: &[Running],
        clock: u64,
        now: u64,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let usual = self.usual_ratio;
        let pace = |row: &Running| {
            let run = session.runs.get(&row.task).filter(|run| run.attempt == row.attempt)?;
            let whole = speed::projected(run.timing?.elapsed(clock)?, row.percent)?;
            (run.estimate > 0).then(|| usual.compare(whole / run.estimate as f64))
        };
        let paces: smallvec::SmallVec<[f64; 4]> = running.iter().filter_map(pace).collect();
        let was_slow = session.speed.is_slow(now);
        session.speed.set_ongoing(paces.into_iter(), now);
        self.log_slowness(id, was_slow, now);
    }

    fn log_slowness(&mut self, id: &incarnation::Incarnation, was_slow: bool, now: u64) {
        let Some(session) = self.sessions.get(id) else { return };
        let slowness = session.speed.slowness(now);
        if session.speed.is_slow(now) && !was_slow {
            self.note(
                "upstream: Detected as slow.",
                &id.name,
                &format!("{slowness:.1} times as long as usual"),
            );
        }
    }
}
