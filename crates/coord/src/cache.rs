//! A cache of answers for resubmitted jobs, bounded in bytes.

use std::collections;

use state::id;

use crate::message::Answer;

/// Maximum number of bytes of answers that an instance caches.
pub const MAX_BYTES: usize = 16 << 20;

/// Answers of ended jobs; the cache evicts the entries that were inserted first.
#[derive(Debug)]
pub struct Answers {
    limit: usize,
    bytes: usize,
    map: collections::HashMap<id::JobId, Vec<Answer>>,
    order: collections::VecDeque<id::JobId>,
}

impl Default for Answers {
    fn default() -> Self {
        Self::new(MAX_BYTES)
    }
}

impl Answers {
    /// Creates a cache of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let (map, order) = (collections::HashMap::new(), collections::VecDeque::new());
        Self { limit, bytes: 0, map, order }
    }

    /// Bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The answers of a job.
    pub fn get(&self, job: &id::JobId) -> Option<&Vec<Answer>> {
        self.map.get(job)
    }

    /// Inserts the answers of a job, unless the cache has them already.
    pub fn put(&mut self, job: &id::JobId, answers: Vec<Answer>) {
        if self.map.contains_key(job) {
            return;
        }
        self.bytes += size(&answers);
        self.map.insert(job.clone(), answers);
        self.order.push_back(job.clone());
        while self.bytes > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.forget(&oldest);
        }
    }

    /// Evicts, oldest entry first, the answers of jobs whose ids were created before `before`,
    /// milliseconds since the Unix epoch; stops at the first id that is newer.
    pub fn prune(&mut self, before: u64) {
        while self.order.front().is_some_and(|job| job.created_ms() < before) {
            if let Some(oldest) = self.order.pop_front() {
                self.forget(&oldest);
            }
        }
    }

    fn forget(&mut self, job: &id::JobId) {
        if let Some(answers) = self.map.remove(job) {
            self.bytes -= size(&answers);
        }
    }
}

fn size(answers: &[Answer]) -> usize {
    /// Bytes counted for each job and for each answer, in addition to the body.
    const OVERHEAD: usize = 96;
    OVERHEAD + answers.iter().map(|answer| answer.body.len() + OVERHEAD).sum::<usize>()
}
