//! How a scheduler learns the lasting speeds of its upstreams from completed runs.

use crate::{
    machines::sched::Sched,
    messages::{incarnation, job, timing},
    tables::lasting::{Lasting, Sample},
};

impl Sched {
    /// Adds a completed run of a task to the lasting speeds, with the other runs of its step once
    /// the last of these has ended.
    pub(crate) fn learn_speed(
        &mut self,
        id: &incarnation::Incarnation,
        task: &job::Task,
        parts: &timing::Breakdown,
        estimate: u64,
        now: u64,
    ) {
        if estimate == 0 || parts.work == 0 {
            return;
        }
        let Some(active) = self.jobs.get_mut(&task.job) else { return };
        let sample = Sample::new(task.step, id.clone(), parts.work, estimate);
        let mut samples = active.add_sample(task, sample);
        samples.retain(|sample| self.sessions.contains_key(&sample.upstream));
        let lasting = |sample: &Sample| self.sessions[&sample.upstream].lasting;
        let speeds: Vec<Lasting> = samples.iter().map(lasting).collect();
        let learned = self.scatter.learn(&samples, &speeds, now);
        for (sample, lasting) in samples.iter().zip(learned) {
            if let Some(session) = self.sessions.get_mut(&sample.upstream) {
                session.lasting = lasting;
            }
        }
    }

    /// Finds the upstreams that are far slower than the middle one of their service.
    pub(crate) fn compare_speeds(&mut self, now: u64) {
        for change in self.paces.compare(&mut self.sessions, now) {
            let (text, detail) = match change.pace {
                Some(pace) => (
                    "upstream: Consistently slower than others.",
                    format!(
                        "{pace:.2} times the declared durations, the middle one {:.2}",
                        change.middle
                    ),
                ),
                None => ("upstream: No longer far slower than others.", String::new()),
            };
            self.note(text, &change.upstream.name, &detail);
        }
    }
}
