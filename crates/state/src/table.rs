//! The journal's replicated state: who owns a job, how it ended, and which instances are in.

use std::collections;

use crate::{id, name};

/// Digest of a submission's content, to tell a resubmission from another job under the same id.
pub type Digest = u128;

/// How a job ended, as the journal records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Every task answered.
    Complete,
    /// Final; some tasks may have run.
    Failed,
    /// Final; no task was started.
    NotRun,
}

/// The part of a team's quota that a job takes.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Service path and team, the unit that quotas count by.
    pub account: name::Name,
    /// Tasks of the job.
    pub tasks: u32,
    /// Most tasks in flight; 0 = no limit.
    pub flight: u32,
    /// Most tasks admitted a second; 0 = no limit.
    pub rate: u32,
    /// Wall clock of the owner, milliseconds since the Unix epoch.
    pub at: u64,
}

/// A command of the journal.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// `owner` takes the job, unless somebody has it already.
    Admit {
        /// The job.
        job: id::JobId,
        /// Digest of its content.
        digest: Digest,
        /// Instance that will start its tasks.
        owner: name::Member,
        /// What it takes of a quota, if one is set.
        claim: Option<Claim>,
    },
    /// The owner's job ended.
    End {
        /// The job.
        job: id::JobId,
        /// The owner that ends it.
        owner: name::Member,
        /// How.
        outcome: Outcome,
    },
    /// An instance may own jobs and holds slot shares from here on.
    Enter(name::Member),
    /// An instance is out: its unfinished jobs end as failed.
    Expel(name::Member),
}

/// One job of the table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Digest of its content.
    pub digest: Digest,
    /// The owner, until the job has ended.
    pub owner: Option<name::Member>,
    /// What it takes of a quota, until the job has ended.
    pub claim: Option<Claim>,
    /// How it ended.
    pub outcome: Option<Outcome>,
}

impl Entry {
    fn end(&mut self, outcome: Outcome) -> Option<Claim> {
        self.owner = None;
        self.outcome = Some(outcome);
        self.claim.take()
    }
}

/// What applying a command changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The job got its owner.
    Admitted(id::JobId, name::Member),
    /// The proposer is not in; nothing changed.
    Refused(id::JobId, name::Member),
    /// The job was there before; nothing changed.
    Known(id::JobId, name::Member),
    /// The team is at its quota; nothing changed. Milliseconds after which to try again.
    Limited(id::JobId, name::Member, u64),
    /// The job ended.
    Ended(id::JobId, Outcome),
    /// The set of instances that are in has changed.
    Members,
}

/// Jobs by id, and the instances that are in.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Table {
    jobs: collections::BTreeMap<id::JobId, Entry>,
    live: collections::BTreeSet<name::Member>,
    usage: collections::BTreeMap<name::Name, Usage>,
    floor: u64,
}

/// What an account uses of its quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    flight: u32,
    /// Tokens left, in thousandths of a task.
    tokens: u64,
    /// Wall clock of the last refill, milliseconds.
    at: u64,
}

impl Usage {
    /// Takes the claim.
    ///
    /// # Errors
    ///
    /// The quota is used up; the error is the time after which to try again, milliseconds.
    ///
    /// ```
    /// let mut usage = state::table::Usage::default();
    /// let account = "quotes north".into();
    /// let claim = state::table::Claim { account, tasks: 3, flight: 4, rate: 0, at: 0 };
    /// assert!(usage.take(&claim).is_ok());
    /// assert!(usage.take(&claim).is_err());
    /// ```
    pub fn take(&mut self, claim: &Claim) -> Result<(), u64> {
        const RETRY_MS: u64 = 250;
        if claim.flight > 0 && self.flight + claim.tasks > claim.flight {
            return Err(RETRY_MS);
        }
        if claim.rate > 0 {
            self.refill(claim);
            let cost = u64::from(claim.tasks) * 1_000;
            // A job larger than a second's tokens passes when the bucket is full, and leaves debt.
            let needed = cost.min(u64::from(claim.rate) * 1_000);
            if self.tokens < needed {
                return Err((needed - self.tokens).div_ceil(u64::from(claim.rate)));
            }
            let debt = cost.saturating_sub(self.tokens);
            self.tokens = self.tokens.saturating_sub(cost);
            self.at += debt / u64::from(claim.rate);
        }
        self.flight += claim.tasks;
        Ok(())
    }

    /// Gives back what a claim holds in flight.
    pub fn release(&mut self, claim: &Claim) {
        self.flight = self.flight.saturating_sub(claim.tasks);
    }

    fn refill(&mut self, claim: &Claim) {
        let full = u64::from(claim.rate) * 1_000;
        let passed = claim.at.saturating_sub(self.at);
        self.tokens = full.min(self.tokens.saturating_add(passed * u64::from(claim.rate)));
        self.at = self.at.max(claim.at);
    }
}

impl Table {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The entry of a job.
    pub fn get(&self, job: &id::JobId) -> Option<&Entry> {
        self.jobs.get(job)
    }

    /// Jobs minted before this may have been forgotten; milliseconds since the Unix epoch.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Number of jobs remembered.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is remembered.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Instances that may own jobs, in the order of their names.
    pub fn live(&self) -> impl Iterator<Item = &name::Member> {
        self.live.iter()
    }

    /// Whether this life of an instance may own jobs.
    pub fn is_live(&self, member: &name::Member) -> bool {
        self.live.contains(member)
    }

    /// Applies one command and says what it changed.
    pub fn apply(&mut self, command: Command) -> Vec<Effect> {
        match command {
            Command::Admit { job, digest, owner, claim } => {
                vec![self.admit(job, digest, owner, claim)]
            }
            Command::End { job, owner, outcome } => self.end(&job, &owner, outcome),
            Command::Enter(member) => self.enter(member),
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
        // A job that ended without a start may be submitted again.
        let held = self.jobs.get(&job).filter(|entry| entry.outcome != Some(Outcome::NotRun));
        if held.is_some() {
            return Effect::Known(job, owner);
        }
        if !self.live.contains(&owner) {
            return Effect::Refused(job, owner);
        }
        if let Some(claim) = &claim {
            let usage = self.usage.entry(claim.account.clone()).or_default();
            if let Err(retry) = usage.take(claim) {
                return Effect::Limited(job, owner, retry);
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

    fn enter(&mut self, member: name::Member) -> Vec<Effect> {
        // A former life of the same instance can own nothing any more.
        let former: Vec<_> =
            self.live.iter().filter(|m| m.name == member.name && **m != member).cloned().collect();
        let mut effects: Vec<_> = former.iter().flat_map(|m| self.expel(m)).collect();
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

    /// Forgets ended jobs minted before `before` (milliseconds since the Unix epoch).
    ///
    /// The caller must answer ids that old without running them.
    pub fn prune(&mut self, before: u64) -> usize {
        self.floor = self.floor.max(before);
        // All ids of a journal name the same zone, so they stand in the order of their age.
        let old = self.jobs.iter().take_while(|(job, _)| job.minted() < before);
        let ended = old.filter(|(_, entry)| entry.outcome.is_some());
        let ended: Vec<_> = ended.map(|(job, _)| job.clone()).collect();
        for job in &ended {
            self.jobs.remove(job);
        }
        ended.len()
    }
}
