//! Copies of answers at neighbours, so that a resubmission after the owner's death gets them.

use state::{id, name};

use crate::{
    core::Core,
    job::{Job, Phase},
    message::{self, Body, Verdict},
    time::{self, Now},
};

/// After this, every other neighbour gets a copy too, microseconds.
pub(crate) const COPY_LATE: u64 = 60 * time::MS;
/// An answer waits this long for its copies, microseconds.
pub(crate) const COPY_PATIENCE: u64 = 1_000 * time::MS;

impl Core {
    /// Keeps the answers of a job and sends them to as many neighbours as its service says; gives
    /// the number of copies on their way.
    pub(crate) fn copy_answers(&mut self, id: &id::JobId, answers: &[message::Answer]) -> usize {
        let Some(job) = self.jobs.get(id).filter(|job| job.journaled) else {
            return 0;
        };
        let wanted = job.policy.answer_copies as usize;
        self.answers.put(id, answers.to_vec());
        let peers = self.keepers(id);
        let chosen = &peers[..wanted.min(peers.len())];
        self.send_copies(id, answers, chosen);
        chosen.len()
    }

    /// A copy is late, perhaps because its keeper is dead: every other neighbour gets one, and
    /// any that confirms will do.
    pub(crate) fn spread_copies(&mut self, id: &id::JobId) {
        let peers = self.keepers(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let wanted = job.policy.answer_copies as usize;
        let Phase::Ending(ending) = &mut job.phase else {
            return;
        };
        if ending.spread || ending.copies == 0 {
            return;
        }
        ending.spread = true;
        if let Verdict::Complete(answers) = ending.verdict.clone() {
            self.send_copies(id, &answers, &peers[wanted.min(peers.len())..]);
        }
    }

    /// The zone's other instances, in the order in which they keep answers of this job.
    fn keepers(&self, id: &id::JobId) -> Vec<name::Name> {
        let mut peers = self.neighbours();
        let count = peers.len();
        if count > 0 {
            peers.rotate_left(id::short(&id.to_string()) as usize % count);
        }
        peers
    }

    fn send_copies(&mut self, id: &id::JobId, answers: &[message::Answer], to: &[name::Name]) {
        for to in to {
            let copy = message::Job::Copy { job: id.clone(), answers: answers.to_vec() };
            self.send(to, Body::Job(copy));
        }
    }

    pub(crate) fn on_copied(&mut self, id: &id::JobId, now: Now) {
        if let Some(Job { phase: Phase::Ending(ending), .. }) = self.jobs.get_mut(id) {
            ending.copies = ending.copies.saturating_sub(1);
            self.conclude(id, now);
        }
    }
}
