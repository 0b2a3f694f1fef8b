//! Calls to other instances: forwarded submissions, waits for the owner of a job, and
//! requests for cached answers.

use std::collections;

use state::{id, name, table};

use crate::{
    calls::{Call, CallKind, Forwarded},
    core::Core,
    event::{Output, Reply},
    limit, member,
    message::{self, Body, Refusal, Spec, Verdict},
    time::{self, Now},
    waiter::Waiter,
};

/// An instance of another zone that sends no message for this long during a call counts as
/// unreachable, microseconds.
const PEER_TIMEOUT: u64 = 1_500 * time::MS;
/// An instance that sends no message for this long during a call gets a ping, microseconds.
const PING_INTERVAL: u64 = 400 * time::MS;
/// After the journal holds the end of a job, the call to its owner waits this much longer for the
/// owner's verdict, microseconds.
const OWNER_GRACE: u64 = 150 * time::MS;
/// Timeout of a request for cached answers, microseconds.
const FETCH_TIMEOUT: u64 = 1_000 * time::MS;
/// A call to an owner in this zone expires after this long without a lease, microseconds.
const AWAIT_LEASE_TIMEOUT: u64 = 2_500 * time::MS;
/// A call may outlast the deadline of its job by this much, microseconds.
const CALL_GRACE: u64 = 1_000 * time::MS;

impl Core {
    pub(crate) fn reply(&mut self, waiter: Waiter, verdict: Verdict) {
        match waiter {
            Waiter::Submission(ticket) => {
                match &verdict {
                    Verdict::Complete(_) => self.counts.completed += 1,
                    Verdict::Failed { .. } => self.counts.failed += 1,
                    Verdict::Unknown { .. } => self.counts.unknown += 1,
                    Verdict::NotRun { kind, .. } => self.count_refusal(*kind),
                    Verdict::Running => {}
                }
                self.out.push(Output::Reply(ticket, Reply::Verdict(verdict)));
            }
            Waiter::Query(ticket) => {
                self.out.push(Output::Reply(ticket, Reply::Verdict(verdict)));
            }
            Waiter::Peer(to, call) => {
                self.send(&to, Body::Job(message::Job::Verdict { call, verdict }));
            }
            Waiter::Discard => {}
        }
    }

    fn call(
        &mut self,
        waiter: Waiter,
        kind: CallKind,
        job: &id::JobId,
        to: &name::Name,
        until: u64,
        now: Now,
    ) -> u64 {
        let (job, to) = (job.clone(), to.clone());
        self.calls.add(Call { waiter, kind, job, to, sent_at: now.mono, until, ended_at: None })
    }

    /// Forwards a submission to its home zone.
    pub(crate) fn forward(&mut self, waiter: Waiter, spec: Spec, now: Now) {
        let left = limit::deadline_ms(&spec, &self.tree().policy_at(spec.service.as_str()));
        let forwarded = Forwarded { spec, tried: Vec::new(), may_run: false, refusal: None };
        self.forward_next(waiter, Box::new(forwarded), now.after(left) + CALL_GRACE, now);
    }

    /// Forwards a submission to an instance of its home zone that has not received it yet.
    fn forward_next(
        &mut self,
        waiter: Waiter,
        mut forwarded: Box<Forwarded>,
        until: u64,
        now: Now,
    ) {
        let zone = forwarded.spec.job.zone().clone();
        // After one instance has timed out, the next one must have sent a message, such as the
        // answer to a ping, within `PEER_TIMEOUT`.
        let next = self.pick_peer(&zone, &forwarded.tried, now);
        let next = next.filter(|to| !forwarded.may_run || self.is_responsive(to, now));
        let Some(to) = next else {
            let unknown = Verdict::unknown(format!("zone {zone} is out of reach"));
            let refusal = forwarded.refusal.filter(|_| !forwarded.may_run);
            return self.reply(waiter, refusal.unwrap_or(unknown));
        };
        self.counts.forwards += 1;
        forwarded.spec.left_ms = (until.saturating_sub(now.mono + CALL_GRACE) / time::MS).max(1);
        let spec = forwarded.spec.clone();
        let call = self.call(waiter, CallKind::Forward(forwarded), &spec.job, &to, until, now);
        self.send(&to, Body::Job(message::Job::Forward { call, spec }));
    }

    /// An instance of another zone that sent a message within `PEER_TIMEOUT`, for a job that no
    /// upstream of this zone can take.
    pub(crate) fn pick_remote(&self, now: Now) -> Option<name::Name> {
        let remote = self.config.all.iter().filter(|i| i.zone != *self.zone());
        let responsive = remote.filter(|i| self.is_responsive(&i.name, now));
        responsive.map(|instance| instance.name.clone()).next()
    }

    /// Pings one instance of each other zone periodically if any service lets its jobs run in other
    /// zones, because zones exchange no regular traffic that would show which instances respond.
    fn ping_remote_zones(&mut self, now: Now) {
        const INTERVAL: u64 = 500 * time::MS;
        if now.mono < self.ping_at {
            return;
        }
        self.ping_at = now.mono + INTERVAL;
        if !self.tree().allows_cross_zone() {
            return;
        }
        let turn = (now.mono / INTERVAL) as usize;
        for zone in member::zones(&self.config.all) {
            let all = self.config.all.iter().filter(|i| i.zone == zone);
            let names: Vec<_> = all.map(|instance| instance.name.clone()).collect();
            if zone != *self.zone() {
                self.send(&names[turn % names.len()], Body::Ping(true));
            }
        }
    }

    /// Whether an instance sent a message within `PEER_TIMEOUT`.
    fn is_responsive(&self, name: &name::Name, now: Now) -> bool {
        self.last_heard.get(name).is_some_and(|heard| now.mono < heard + PEER_TIMEOUT)
    }

    /// Sends an admitted job to another zone to run there, in one message with all its tasks.
    pub(crate) fn execute_remote(&mut self, spec: &Spec, to: &name::Name, now: Now) {
        let Some(job) = self.jobs.get_mut(&spec.job) else { return };
        job.started = spec.tasks.len();
        let until = job.deadline + CALL_GRACE;
        let left_ms = job.deadline.saturating_sub(now.mono) / time::MS;
        let spec = Spec { left_ms: left_ms.max(1), ..spec.clone() };
        let call = self.call(Waiter::Discard, CallKind::Execute, &spec.job, to, until, now);
        self.send(to, Body::Job(message::Job::Execute { call, spec }));
    }

    /// Picks an instance of a zone, preferably one that sent a message within `PEER_TIMEOUT`; the
    /// first by name among equals.
    fn pick_peer(&self, zone: &name::Name, tried: &[name::Name], now: Now) -> Option<name::Name> {
        let peers = self.config.all.iter().filter(|i| i.zone == *zone && !tried.contains(&i.name));
        let age = |name: &name::Name| {
            now.mono.saturating_sub(self.last_heard.get(name).copied().unwrap_or(0)) / PEER_TIMEOUT
        };
        let best = peers.min_by_key(|i| (age(&i.name).min(1), i.name.clone()));
        best.map(|instance| instance.name.clone())
    }

    /// Waits for the verdict of the owner of a job in this zone.
    pub(crate) fn await_owner(
        &mut self,
        waiter: Waiter,
        job: &id::JobId,
        owner: &name::Name,
        until: u64,
        now: Now,
    ) {
        let call = self.call(waiter, CallKind::Await, job, owner, until + CALL_GRACE, now);
        // If the owner is an earlier incarnation of this instance, no instance can answer: the
        // journal will expel that incarnation.
        if *owner != self.config.me.name {
            let body = message::Job::Await { call, job: job.clone(), wait: true };
            self.send(owner, Body::Job(body));
        }
    }

    /// Requests the cached answers of a complete job from the zone peers.
    pub(crate) fn fetch(&mut self, waiter: Waiter, job: &id::JobId, now: Now) {
        let peers = self.zone_peers();
        if peers.is_empty() || matches!(waiter, Waiter::Peer(..)) {
            let why = "the job is complete, but its answers are no longer cached";
            return self.reply(waiter, Verdict::unknown(why));
        }
        let (kind, until) = (CallKind::Fetch(peers.len()), now.mono + FETCH_TIMEOUT);
        let me = self.config.me.name.clone();
        let call = self.call(waiter, kind, job, &me, until, now);
        for to in &peers {
            let body = message::Job::Fetch { call, job: job.clone() };
            self.send(to, Body::Job(body));
        }
    }

    /// Replies with the state of a job, or with its verdict once it ends if `wait` is set.
    pub(crate) fn show(&mut self, waiter: Waiter, job: &id::JobId, wait: bool, now: Now) {
        if job.zone() != self.zone() {
            return self.query_zone(waiter, job, false, now);
        }
        if let Some(local_job) = self.jobs.get_mut(job) {
            if wait {
                local_job.waiters.push(waiter);
            } else {
                self.reply(waiter, Verdict::Running);
            }
            return;
        }
        let Some(entry) = self.table().get(job) else {
            let retention = self.tree().longest_retention();
            let verdict = self.check_created(job.created_ms(), retention, now);
            let none = Verdict::refuse(Refusal::NoJob, "no such job was submitted", 0);
            return self.reply(waiter, verdict.err().unwrap_or(none));
        };
        if entry.outcome.is_none() && !wait && entry.owner.as_ref() != Some(self.journal.me()) {
            return self.reply(waiter, Verdict::Running);
        }
        self.attach(waiter, job, None, now.mono + CALL_GRACE, now);
    }

    fn query_zone(&mut self, waiter: Waiter, job: &id::JobId, cancel: bool, now: Now) {
        let Some(to) = self.pick_peer(job.zone(), &[], now) else {
            let why = format!("zone {} is out of reach", job.zone());
            return self.reply(waiter, Verdict::unknown(why));
        };
        self.query_instance(waiter, job, &to, cancel, now);
    }

    fn query_instance(
        &mut self,
        waiter: Waiter,
        job: &id::JobId,
        to: &name::Name,
        cancel: bool,
        now: Now,
    ) {
        let until = now.mono + PEER_TIMEOUT + CALL_GRACE;
        let call = self.call(waiter, CallKind::Query, job, to, until, now);
        let job = job.clone();
        let body = if cancel {
            message::Job::Cancel { call, job }
        } else {
            message::Job::Await { call, job, wait: false }
        };
        self.send(to, Body::Job(body));
    }

    /// Cancels a job here or sends the cancellation to its owner.
    pub(crate) fn cancel(&mut self, waiter: Waiter, job: &id::JobId, now: Now) {
        if job.zone() != self.zone() {
            return self.query_zone(waiter, job, true, now);
        }
        if let Some(local_job) = self.jobs.get_mut(job) {
            if matches!(local_job.phase, crate::job::Phase::Admitting) {
                local_job.cancelled = true;
            } else if matches!(local_job.phase, crate::job::Phase::Running) {
                self.finish(job, table::Outcome::Failed, &Verdict::failed("cancelled"), now);
            }
            return self.reply_cancelled(waiter);
        }
        let me = self.journal.me().clone();
        let Some(entry) = self.table().get(job) else {
            let verdict = Verdict::refuse(Refusal::NoJob, "no such job was submitted", 0);
            return self.reply(waiter, verdict);
        };
        match entry.owner.clone() {
            Some(owner) if owner != me => self.query_instance(waiter, job, &owner.name, true, now),
            _ => self.reply_cancelled(waiter),
        }
    }

    fn reply_cancelled(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Query(ticket) => self.out.push(Output::Reply(ticket, Reply::Cancelled)),
            other => self.reply(other, Verdict::Running),
        }
    }

    pub(crate) fn on_job(&mut self, from: &name::Name, body: message::Job, now: Now) {
        match body {
            message::Job::Forward { call, spec } => {
                let waiter = Waiter::Peer(from.clone(), call);
                if spec.job.zone() == self.zone() {
                    self.submit(waiter, spec, now);
                } else {
                    self.counts.rejected += 1;
                    self.reply(
                        waiter,
                        Verdict::unknown("the job was forwarded to an instance of the wrong zone"),
                    );
                }
            }
            message::Job::Execute { call, spec } => {
                self.on_execute(Waiter::Peer(from.clone(), call), spec, now);
            }
            message::Job::Await { call, job, wait } => {
                self.show(Waiter::Peer(from.clone(), call), &job, wait, now);
            }
            message::Job::Fetch { call, job } => {
                // The sender has applied the journal entry that ends the job. This instance may
                // apply that entry a little later, so it reads only its cache.
                let cached = self.answers.get(&job).cloned().map(Verdict::Complete);
                let verdict = cached
                    .unwrap_or_else(|| Verdict::unknown("this instance has no answers of the job"));
                self.reply(Waiter::Peer(from.clone(), call), verdict);
            }
            message::Job::Cancel { call, job } => {
                self.cancel(Waiter::Peer(from.clone(), call), &job, now);
            }
            message::Job::Verdict { call, verdict } => self.on_verdict(call, verdict, now),
            message::Job::Copy { job, answers } => {
                self.answers.put(&job, answers);
                self.send(from, Body::Job(message::Job::Copied { job }));
            }
            message::Job::Copied { job } => self.on_copied(&job, now),
            message::Job::Leaving { incarnation } => {
                self.leaving.insert(name::Member::new(from, incarnation));
            }
        }
    }

    fn on_verdict(&mut self, number: u64, verdict: Verdict, now: Now) {
        let Some(call) = self.calls.map.get_mut(&number) else {
            return;
        };
        let complete = matches!(verdict, Verdict::Complete(_));
        if let CallKind::Fetch(left) = &mut call.kind
            && !complete
        {
            *left = left.saturating_sub(1);
            if *left > 0 {
                return;
            }
        }
        let Some(call) = self.calls.map.remove(&number) else {
            return;
        };
        if matches!(call.kind, CallKind::Execute) {
            return self.on_executed(&call.job, &verdict, now);
        }
        if call.job.zone() == self.zone()
            && let Verdict::Complete(answers) = &verdict
        {
            self.answers.put(&call.job, answers.clone());
        }
        let verdict = match (call.kind, verdict) {
            (CallKind::Fetch(_), _) if !complete => {
                Verdict::unknown("the job is complete, but its answers are no longer cached")
            }
            // The owner no longer works on the job: the journal holds the end of the job, or will
            // hold it.
            (CallKind::Await, Verdict::Running) => {
                return self.attach(call.waiter, &call.job, None, call.until, now);
            }
            (
                CallKind::Forward(mut forwarded),
                refusal @ Verdict::NotRun { kind: Refusal::Draining, .. },
            ) => {
                forwarded.tried.push(call.to);
                forwarded.refusal = Some(refusal);
                return self.forward_next(call.waiter, forwarded, call.until, now);
            }
            // An instance that received the job earlier and timed out may have accepted it.
            (CallKind::Forward(forwarded), Verdict::NotRun { .. }) if forwarded.may_run => {
                Verdict::unknown(
                    "an instance of the job's zone that did not answer may be running it",
                )
            }
            (_, verdict) => verdict,
        };
        self.reply(call.waiter, verdict);
    }

    pub(crate) fn tick_calls(&mut self, now: Now) {
        self.return_idle_slots(now);
        self.ping_remote_zones(now);
        if self.calls.is_empty() {
            return;
        }
        self.ping_callees(now);
        let expired: Vec<_> = self
            .calls
            .map
            .iter()
            .filter(|(_, call)| self.is_expired(call, now))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if let Some(call) = self.calls.map.remove(&number) {
                self.expire(call, now);
            }
        }
    }

    fn ping_callees(&mut self, now: Now) {
        if now.mono < self.calls.pinged_at + PING_INTERVAL {
            return;
        }
        self.calls.pinged_at = now.mono;
        let mut callees: collections::BTreeSet<_> =
            self.calls.map.values().map(|call| call.to.clone()).collect();
        // A forwarded submission may have to go to another instance of its zone.
        let forwarded =
            self.calls.map.values().filter(|call| matches!(call.kind, CallKind::Forward(_)));
        let zones: collections::BTreeSet<_> =
            forwarded.map(|call| call.job.zone().clone()).collect();
        let candidates = self.config.all.iter().filter(|i| zones.contains(&i.zone));
        callees.extend(candidates.map(|instance| instance.name.clone()));
        for to in callees {
            let heard = self.last_heard.get(&to).copied().unwrap_or(0);
            if now.mono > heard + PING_INTERVAL && to != self.config.me.name {
                self.send(&to, Body::Ping(true));
            }
        }
    }

    fn is_silent(&self, call: &Call, now: Now) -> bool {
        let heard = self.last_heard.get(&call.to).copied().unwrap_or(0);
        now.mono > heard.max(call.sent_at) + PEER_TIMEOUT
    }

    fn is_expired(&self, call: &Call, now: Now) -> bool {
        let late = now.mono >= call.until;
        match &call.kind {
            CallKind::Forward(_) | CallKind::Execute | CallKind::Query => {
                late || self.is_silent(call, now)
            }
            CallKind::Fetch(_) => late,
            CallKind::Await => {
                let ended = call.ended_at.is_some_and(|at| now.mono > at + OWNER_GRACE);
                late || ended || self.time_without_lease(now.mono) > AWAIT_LEASE_TIMEOUT
            }
        }
    }

    /// Ends a call that has expired without an answer.
    fn expire(&mut self, call: Call, now: Now) {
        let silent = self.is_silent(&call, now);
        match call.kind {
            CallKind::Forward(mut forwarded) if silent && now.mono < call.until => {
                forwarded.tried.push(call.to);
                forwarded.may_run = true;
                self.forward_next(call.waiter, forwarded, call.until, now);
            }
            CallKind::Await if call.ended_at.is_some() => {
                self.attach(call.waiter, &call.job, None, call.until, now);
            }
            CallKind::Await => {
                let why = format!("the job's owner {} did not report its outcome", call.to);
                self.reply(call.waiter, Verdict::unknown(why));
            }
            CallKind::Fetch(_) => {
                let why = "the job is complete, but its answers are out of reach";
                self.reply(call.waiter, Verdict::unknown(why));
            }
            CallKind::Execute => {
                let verdict = Verdict::unknown("the zone that ran the job is out of reach");
                self.on_executed(&call.job, &verdict, now);
            }
            CallKind::Forward(_) | CallKind::Query => {
                let why = format!("instance {} of the job's zone did not answer", call.to);
                self.reply(call.waiter, Verdict::unknown(why));
            }
        }
    }
}
