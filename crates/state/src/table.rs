//! The journal's replicated state: the owner and outcome of each job, and the live instances.

use std::collections;

use crate::{id, name};

/// Digest of the content of a submission. It distinguishes a resubmission from a different job with
/// the same id.
pub type Digest = u128;

/// Outcome of a job, as the journal records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Every task returned an answer.
    Complete,
    /// The job failed for good; some tasks may have run.
    Failed,
    /// The job ended before any task was started, so it may be submitted again.
    NotRun,
}

/// The share of a team's quota that a job uses.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Service path and team. Quotas apply per account.
    pub account: name::Name,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Maximum number of tasks in flight; 0 means no limit.
    pub flight_limit: u32,
    /// Maximum number of tasks admitted per second; 0 means no limit.
    pub max_rate: u32,
    /// Wall clock time of the owner, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// A command in the journal.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Makes `owner` the owner of the job, unless the journal already has the job.
    Admit {
        /// The job.
        job: id::JobId,
        /// Digest of the content of the job.
        digest: Digest,
        /// Instance that will start the tasks.
        owner: name::Member,
        /// Quota that the job uses, if a quota is set.
        claim: Option<Claim>,
    },
    /// Records that a job ended.
    End {
        /// The job.
        job: id::JobId,
        /// Owner of the job.
        owner: name::Member,
        /// Outcome of the job.
        outcome: Outcome,
    },
    /// Adds a live instance, which may then own jobs and hold slot shares.
    Join(name::Member),
    /// Removes an instance from the live ones. Its unfinished jobs end as failed.
    Expel(name::Member),
}

/// One job in the table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Digest of the content of the job.
    pub digest: Digest,
    /// The owner, until the job has ended.
    pub owner: Option<name::Member>,
    /// Quota that the job uses, until the job has ended.
    pub claim: Option<Claim>,
    /// Outcome of the job, once it has ended.
    pub outcome: Option<Outcome>,
}

impl Entry {
    fn end(&mut self, outcome: Outcome) -> Option<Claim> {
        self.owner = None;
        self.outcome = Some(outcome);
        self.claim.take()
    }
}

/// Effect of a command on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The job was admitted with this owner.
    Admitted(id::JobId, name::Member),
    /// The proposed owner is not a live instance; nothing changed.
    Refused(id::JobId, name::Member),
    /// The table already has the job; nothing changed.
    Duplicate(id::JobId, name::Member),
    /// The quota of the team is exhausted; nothing changed. The number is the time after which to
    /// retry, in milliseconds.
    QuotaExceeded(id::JobId, name::Member, u64),
    /// The job ended.
    Ended(id::JobId, Outcome),
    /// The set of live instances changed.
    Members,
}

/// Jobs by id, and the live instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Table {
    jobs: collections::BTreeMap<id::JobId, Entry>,
    live: collections::BTreeSet<name::Member>,
    usage: collections::BTreeMap<name::Name, Usage>,
    pruned_before: u64,
}

/// Quota usage of an account.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Tasks in flight.
    in_flight: u32,
    /// Tokens left in the token bucket, in thousandths of a task.
    tokens: u64,
    /// Wall clock time of the last refill, in milliseconds. A debt moves it into the future.
    refilled_at: u64,
}

impl Usage {
    /// Charges the claim to the quota.
    ///
    /// # Errors
    ///
    /// Fails if the quota is exhausted. The error is the time after which to retry, in
    /// milliseconds.
    ///
    /// ```
    /// let mut usage = state::table::Usage::default();
    /// let account = "quotes north".into();
    /// let (tasks, flight_limit, max_rate, time_ms) = (3, 4, 0, 0);
    /// let claim = state::table::Claim { account, tasks, flight_limit, max_rate, time_ms };
    /// assert!(usage.charge(&claim).is_ok());
    /// assert!(usage.charge(&claim).is_err());
    /// ```
    pub fn charge(&mut self, claim: &Claim) -> Result<(), u64> {
        const RETRY_MS: u64 = 250;
        if claim.flight_limit > 0 && self.in_flight + claim.tasks > claim.flight_limit {
            return Err(RETRY_MS);
        }
        if claim.max_rate > 0 {
            self.refill(claim);
            let cost = u64::from(claim.tasks) * 1_000;
            // A job that needs more tokens than one second yields is admitted when the bucket is
            // full, and leaves a debt.
            let needed = cost.min(u64::from(claim.max_rate) * 1_000);
            if self.tokens < needed {
                return Err((needed - self.tokens).div_ceil(u64::from(claim.max_rate)));
            }
            let debt = cost.saturating_sub(self.tokens);
            self.tokens = self.tokens.saturating_sub(cost);
            self.refilled_at += debt / u64::from(claim.max_rate);
        }
        self.in_flight += claim.tasks;
        Ok(())
    }

    /// Releases the in-flight tasks of a claim.
    pub fn release(&mut self, claim: &Claim) {
        self.in_flight = self.in_flight.saturating_sub(claim.tasks);
    }

    fn refill(&mut self, claim: &Claim) {
        let capacity = u64::from(claim.max_rate) * 1_000;
        let elapsed = claim.time_ms.saturating_sub(self.refilled_at);
        self.tokens = capacity.min(self.tokens.saturating_add(elapsed * u64::from(claim.max_rate)));
        self.refilled_at = self.refilled_at.max(claim.time_ms);
    }
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the entry of a job.
    pub fn get(&self, job: &id::JobId) -> Option<&Entry> {
        self.jobs.get(job)
    }

    /// Returns the time before which jobs may have been pruned, by the creation time of their ids,
    /// in milliseconds since the Unix epoch.
    pub fn pruned_before(&self) -> u64 {
        self.pruned_before
    }

    /// Returns the number of jobs in the table.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether the table has no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the instances that may own jobs, ordered by name.
    pub fn live(&self) -> impl Iterator<Item = &name::Member> {
        self.live.iter()
    }

    /// Returns whether this incarnation of an instance may own jobs.
    pub fn is_live(&self, member: &name::Member) -> bool {
        self.live.contains(member)
    }

    /// Applies one command and returns its effects.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        match command {
            Command::Admit { job, digest, owner, claim } => {
                vec![self.admit(job, digest, owner, claim)]
            }
            Command::End { job, owner, outcome } => self.end(&job, &owner, outcome),
            Command::Join(member) => self.join(member),
            Command::Expel(member) => self.expel(&member),
        }
    }

    fn admit(
        &mut self,
        job: id::JobId,
        digest: Digest,
        owner: name::Member,
        claim: Option<Claim>,
    ) -> Effect {
        // A job that ended before any task was started may be submitted again.
        let existing = self.jobs.get(&job).filter(|entry| entry.outcome != Some(Outcome::NotRun));
        if existing.is_some() {
            return Effect::Duplicate(job, owner);
        }
        if !self.live.contains(&owner) {
            return Effect::Refused(job, owner);
        }
        if let Some(claim) = &claim {
            let usage = self.usage.entry(claim.account.clone()).or_default();
            if let Err(retry) = usage.charge(claim) {
                return Effect::QuotaExceeded(job, owner, retry);
            }
        }
        let entry = Entry { digest, owner: Some(owner.clone()), claim, outcome: None };
        self.jobs.insert(job.clone(), entry);
        Effect::Admitted(job, owner)
    }

    fn end(&mut self, job: &id::JobId, owner: &name::Member, outcome: Outcome) -> Vec<Effect> {
        let Some(entry) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        if entry.outcome.is_some() || entry.owner.as_ref() != Some(owner) {
            return Vec::new();
        }
        let claim = entry.end(outcome);
        self.release(claim);
        vec![Effect::Ended(job.clone(), outcome)]
    }

    fn join(&mut self, member: name::Member) -> Vec<Effect> {
        // A previous incarnation of the same instance can no longer own jobs.
        let previous: Vec<_> =
            self.live.iter().filter(|m| m.name == member.name && **m != member).cloned().collect();
        let mut effects: Vec<_> = previous.iter().flat_map(|m| self.expel(m)).collect();
        if self.live.insert(member) {
            effects.push(Effect::Members);
        }
        effects
    }

    fn expel(&mut self, member: &name::Member) -> Vec<Effect> {
        if !self.live.remove(member) {
            return Vec::new();
        }
        let mut effects = vec![Effect::Members];
        let mut claims = Vec::new();
        for (job, entry) in &mut self.jobs {
            if entry.owner.as_ref() == Some(member) {
                claims.push(entry.end(Outcome::Failed));
                effects.push(Effect::Ended(job.clone(), Outcome::Failed));
            }
        }
        for claim in claims {
            self.release(claim);
        }
        effects
    }

    fn release(&mut self, claim: Option<Claim>) {
        let Some(claim) = claim else { return };
        if let Some(usage) = self.usage.get_mut(&claim.account) {
            usage.release(&claim);
        }
    }

    /// Removes ended jobs whose ids were created before `before` (milliseconds since the Unix
    /// epoch) and returns their number.
    ///
    /// The caller must answer submissions with ids older than that without running the jobs.
    pub fn prune(&mut self, before: u64) -> usize {
        self.pruned_before = self.pruned_before.max(before);
        // All ids of a journal have the same zone, so they are sorted by age.
        let old = self.jobs.iter().take_while(|(job, _)| job.created_ms() < before);
        let ended = old.filter(|(_, entry)| entry.outcome.is_some());
        let ended: Vec<_> = ended.map(|(job, _)| job.clone()).collect();
        for job in &ended {
            self.jobs.remove(job);
        }
        ended.len()
    }
}
