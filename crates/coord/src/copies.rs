//! Copies of answers at zone peers, so that a resubmission gets the answers even if the owner has
//! crashed.

use state::{id, name};

use crate::{
    core::Core,
    job::{Job, Phase},
    message::{self, Body, Verdict},
    time::{self, Now},
};

/// If copies are still unconfirmed after this, every other zone peer gets one too, microseconds.
pub(crate) const COPY_RESEND_DELAY: u64 = 60 * time::MS;
/// An answer waits at most this long for the confirmation of its copies, microseconds.
pub(crate) const COPY_TIMEOUT: u64 = 1_000 * time::MS;

impl Core {
    /// Caches the answers of a job and sends them to as many zone peers as the `answer_copies` of
    /// its service; returns the number of copies sent.
    pub(crate) fn copy_answers(&mut self, id: &id::JobId, answers: &[message::Answer]) -> usize {
        let Some(job) = self.jobs.get(id).filter(|job| job.journaled) else {
            return 0;
        };
        let wanted = job.policy.answer_copies as usize;
        self.answers.put(id, answers.to_vec());
        let peers = self.copy_targets(id);
        let chosen = &peers[..wanted.min(peers.len())];
        self.send_copies(id, answers, chosen);
        chosen.len()
    }

    /// Sends the answers to every other zone peer once a copy is late, perhaps because its receiver
    /// has crashed. A confirmation from any zone peer counts.
    pub(crate) fn resend_copies(&mut self, id: &id::JobId) {
        let peers = self.copy_targets(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let wanted = job.policy.answer_copies as usize;
        let Phase::Ending(ending) = &mut job.phase else {
            return;
        };
        if ending.sent_all || ending.unconfirmed == 0 {
            return;
        }
        ending.sent_all = true;
        if let Verdict::Complete(answers) = ending.verdict.clone() {
            self.send_copies(id, &answers, &peers[wanted.min(peers.len())..]);
        }
    }

    /// The zone peers, in the order in which they receive copies of this job's answers.
    fn copy_targets(&self, id: &id::JobId) -> Vec<name::Name> {
        let mut peers = self.zone_peers();
        let count = peers.len();
        if count > 0 {
            peers.rotate_left(id::name_hash(&id.to_string()) as usize % count);
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
            ending.unconfirmed = ending.unconfirmed.saturating_sub(1);
            self.conclude(id, now);
        }
    }
}
