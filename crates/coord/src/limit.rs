//! Admission control: decides for a whole job at once whether this instance accepts it.

use rand::RngExt as _;
use state::{name, table, tree};

use crate::{
    core::{Core, Service},
    fleet, group,
    message::{Refusal, Spec, Verdict},
    time::{self, Now},
};

/// Quantile of the observed service times that estimates the service time of the last task of a
/// job.
const LAST_TASK_QUANTILE: f64 = 0.9;
/// Divisor of the safety margin of the estimated wait: the wait that follows from the mean service
/// time is increased by itself divided by this.
const WAIT_MARGIN_DIVISOR: u64 = 8;
/// Minimum retry delay that a refused client gets, milliseconds.
const MIN_RETRY_MS: u64 = 50;
/// Maximum retry delay that a refused client gets, milliseconds, before jitter.
const MAX_RETRY_MS: u64 = 30_000;

impl Core {
    /// Checks that the id is not so old, or so far ahead, that this instance cannot tell whether
    /// its job ran before.
    pub(crate) fn check_age(&self, spec: &Spec, now: Now) -> Result<(), Verdict> {
        let policy = self.tree().policy_at(spec.service.as_str());
        self.check_created(spec.job.created_ms(), policy.retention_ms, now)?;
        if spec.job.created_ms() > now.wall + group::MAX_SKEW_MS {
            let ahead = spec.job.created_ms() - now.wall;
            let why = format!("the id is {ahead} ms ahead of this instance's clock");
            return Err(Verdict::refuse(Refusal::Malformed, why, 0));
        }
        Ok(())
    }

    pub(crate) fn check_created(
        &self,
        created: u64,
        retention: u64,
        now: Now,
    ) -> Result<(), Verdict> {
        let Some(formation) = self.journal.formation() else {
            return Err(Verdict::unknown("the instance has not joined its zone's journal"));
        };
        if created < formation.at {
            return Err(Verdict::unknown("the id is older than the zone's journal"));
        }
        if created + retention < now.wall || created < self.table().pruned_before() {
            return Err(Verdict::unknown("the id is older than the retention"));
        }
        Ok(())
    }

    /// Checks whether this instance accepts the submission; returns the settings in force for it.
    pub(crate) fn validate(&mut self, spec: &Spec, now: Now) -> Result<tree::Policy, Verdict> {
        if self.draining {
            return Err(Verdict::refuse(Refusal::Draining, "the instance is shutting down", 100));
        }
        let Some(policy) = self.tree().policy(spec.service.as_str()) else {
            let why = format!("service {} has no settings", spec.service);
            return Err(Verdict::refuse(Refusal::NoService, why, 0));
        };
        if spec.tasks.is_empty() {
            return Err(Verdict::refuse(Refusal::Malformed, "a job needs at least one task", 0));
        }
        if spec.tasks.len() as u64 > policy.max_tasks {
            let why = format!(
                "the job has {} tasks, at most {} are allowed",
                spec.tasks.len(),
                policy.max_tasks
            );
            return Err(Verdict::refuse(Refusal::TooLarge, why, 0));
        }
        if let Some(claim) = quota_claim(spec, &policy, now)
            && claim.flight_limit > 0
            && claim.tasks > claim.flight_limit
        {
            let why = format!("the team may have {} tasks in flight", claim.flight_limit);
            return Err(Verdict::refuse(Refusal::Quota, why, 0));
        }
        self.check_availability(spec, &policy, now)?;
        if self.config.baselines.limits {
            self.check_capacity(spec, &policy, now)?;
        }
        Ok(policy)
    }

    fn check_availability(
        &self,
        spec: &Spec,
        policy: &tree::Policy,
        now: Now,
    ) -> Result<(), Verdict> {
        match self.fleet.availability(&spec.service, &spec.needs, now.mono) {
            fleet::Availability::Open => Ok(()),
            fleet::Availability::Unfit => {
                let why = "no upstream of the service meets the needs of a task of the job";
                Err(Verdict::refuse(Refusal::Impossible, why, 0))
            }
            fleet::Availability::NoUpstream | fleet::Availability::Closed
                if policy.cross_zone && self.pick_remote(now).is_some() =>
            {
                Ok(())
            }
            fleet::Availability::NoUpstream | fleet::Availability::Closed => {
                let why = "no upstream of the service is serving";
                let retry = policy.upstream_lease_ms / 3;
                Err(Verdict::refuse(Refusal::NoUpstream, why, retry))
            }
        }
    }

    /// Refuses a job that does not fit into the queue, or that would miss its deadline by the
    /// observed service times.
    fn check_capacity(
        &mut self,
        spec: &Spec,
        policy: &tree::Policy,
        now: Now,
    ) -> Result<(), Verdict> {
        let counts = self.fleet.slot_counts(&spec.service, now.mono);
        let left = deadline_ms(spec, policy) * time::MS;
        if counts.total == 0 {
            return Ok(());
        }
        let default = Service::default();
        let service = self.services.get(&spec.service).unwrap_or(&default);
        let count = spec.tasks.len() as u64;
        let queued = service.queue.len() as u64;
        // Slots that idle zone peers would lend count, unless every zone peer in turn has refused
        // lately.
        let local_only = now.mono < service.backoff_until || self.zone_peers().is_empty();
        let slots = u64::from(if local_only { counts.allowed } else { counts.total }).max(1);
        let mean = service.times.mean().unwrap_or(0);
        let free = if local_only { u64::from(counts.free) } else { slots.saturating_sub(queued) };
        if queued + count > policy.max_queue + free {
            let excess = (queued + count).saturating_sub(policy.max_queue);
            let why = format!("{queued} tasks wait, at most {}", policy.max_queue);
            let retry = self.retry_after(excess * mean / slots);
            return Err(Verdict::refuse(Refusal::Overload, why, retry));
        }
        let deadline = now.mono + left;
        let ahead = service.queue.count_ahead(spec.team.as_ref(), deadline) as u64;
        let Some(longest) = service.times.quantile(LAST_TASK_QUANTILE) else {
            return Ok(());
        };
        let wait = (ahead + count).saturating_sub(free) * mean / slots;
        let wait = wait + wait / WAIT_MARGIN_DIVISOR;
        if wait + longest > left {
            let why = "the deadline cannot be met at the observed service times";
            let retry = self.retry_after((wait + longest).saturating_sub(left));
            return Err(Verdict::refuse(Refusal::Overload, why, retry));
        }
        Ok(())
    }

    /// Converts a wait in microseconds to a retry delay in milliseconds, with jitter so that
    /// clients do not retry at the same time.
    fn retry_after(&mut self, wait: u64) -> u64 {
        let ms = (wait / time::MS).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        self.rng.random_range(ms..=ms + ms / 2)
    }
}

/// Time left until the deadline of a submission, milliseconds.
pub(crate) fn deadline_ms(spec: &Spec, policy: &tree::Policy) -> u64 {
    let requested = if spec.left_ms == 0 { policy.deadline_ms } else { spec.left_ms };
    requested.min(policy.max_deadline_ms)
}

/// The claim of a submission on its team's quota, if the service has one set.
pub(crate) fn quota_claim(spec: &Spec, policy: &tree::Policy, now: Now) -> Option<table::Claim> {
    let team = spec.team.as_ref()?;
    if policy.team_in_flight == 0 && policy.team_rate == 0 {
        return None;
    }
    Some(table::Claim {
        account: name::Name::new(&format!("{} {team}", spec.service)),
        tasks: spec.tasks.len() as u32,
        flight_limit: policy.team_in_flight as u32,
        max_rate: policy.team_rate as u32,
        time_ms: now.wall,
    })
}
