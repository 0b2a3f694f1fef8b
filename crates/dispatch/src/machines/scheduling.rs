//! The zones that an instance schedules: claims, the effects of their schedulers, and the messages
//! about them to other instances.

use std::collections;

use state::name;

use crate::{
    decisions::{candidates, leadership},
    machines::{core::Core, sched},
    messages::{
        claim,
        event::Output,
        incarnation, member,
        message::Body,
        parts::PART_COUNT,
        suspect,
        time::{MS, Now},
        upstream,
    },
};

/// How long a scheduler whose token is refused waits for the message with the claim above its own,
/// plus one turn for each instance of its zone that ranks before it, microseconds. Upstreams report
/// the higher token before the claimant does where the messages of the claimant are delayed, and
/// two schedulers that each claimed above the other would stop the zone.
const CLAIM_WAIT: u64 = 250 * MS;

impl Core {
    /// Whether this instance schedules its zone.
    pub fn is_scheduler(&self) -> bool {
        self.schedules(&self.membership.me().zone)
    }

    /// Whether this instance schedules a zone.
    pub fn schedules(&self, zone: &name::Name) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.sched.is_some())
    }

    /// The zones that it schedules.
    pub(crate) fn scheduled_zones(&self) -> smallvec::SmallVec<[name::Name; 2]> {
        let held = self.zones.iter().filter(|(_, zone)| zone.sched.is_some());
        held.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn scheds(&self) -> impl Iterator<Item = &sched::Sched> {
        self.zones.values().filter_map(|zone| zone.sched.as_ref())
    }

    pub(crate) fn scheds_mut(&mut self) -> impl Iterator<Item = &mut sched::Sched> {
        self.zones.values_mut().filter_map(|zone| zone.sched.as_mut())
    }

    /// Claims each zone for which it is this instance's turn.
    pub(crate) fn campaign(&mut self, now: Now) {
        let home = self.membership.me().zone.clone();
        let candidate = leadership::Candidate {
            schedules: self.is_scheduler(),
            equipped: self.document.version > 0 && self.home_upstreams() > 0,
            low_capacity: self.has_low_capacity(),
            upstreams: self.home_upstreams(),
        };
        if let Some(claim) = self.claims.campaign(&self.membership, candidate, now) {
            self.lead(&claim, now);
        }
        if self.membership.me().role != member::Role::Keeper {
            return;
        }
        let others = self.zones.keys().filter(|name| **name != home);
        for zone in others.cloned().collect::<Vec<_>>() {
            let schedules = self.schedules(&zone);
            if let Some(claim) = self.claims.adopt(&zone, schedules, &self.membership, now) {
                self.lead(&claim, now);
            }
        }
    }

    /// Number of upstreams of its zone that this instance knows.
    fn home_upstreams(&self) -> u64 {
        let zone = self.zones.get(&self.membership.me().zone);
        zone.map_or(0, |zone| zone.directory.len() as u64)
    }

    /// Whether scheduling its zone would take more CPU time than this instance has for it.
    pub(crate) fn has_low_capacity(&self) -> bool {
        let needed = self.home_upstreams() * candidates::CPU_PER_UPSTREAM;
        needed > self.cores * candidates::ENTRY_CPU_PERCENT / 100
    }

    /// Stops scheduling where another instance has the higher claim. A scheduler that loses some of
    /// its parts starts anew with the others: its tasks may run at upstreams that it has lost.
    pub(crate) fn yield_to_higher(&mut self, now: Now) {
        for zone in self.scheduled_zones() {
            let me = self.membership.me().clone();
            let Some(parts) = self.sched_of(&zone).map(|sched| sched.parts) else { continue };
            let held = self.claims.parts_of(&me, &zone);
            let lost = parts.minus(held);
            if lost.is_empty() {
                continue;
            }
            let holder = self.claims.of_part(&zone, lost);
            let holder = holder.map_or_else(|| me.name.clone(), |claim| claim.holder.clone());
            self.resign(&zone);
            self.note("zone: Yielded to a higher claim.", &holder, zone.to_string());
            if !held.is_empty() {
                let claim = self.claims.issue_claim(&me, &zone, held, now);
                self.lead(&claim, now);
            }
        }
    }

    fn resign(&mut self, zone: &name::Name) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.resign();
        }
    }

    pub(crate) fn lead(&mut self, claim: &claim::Claim, now: Now) {
        self.resign(&claim.zone);
        let mut sched = sched::Sched::new(claim.epoch, self.longest_lease, now.mono)
            .with_parts(claim.parts)
            .with_slot(self.scheduled_zones().len() as u64)
            .with_policy(self.policy);
        // This instance's entry knows at once every upstream that its scheduler knows.
        sched.record_known(&claim.holder, u64::MAX - 1);
        let zone = self.zones.entry(claim.zone.clone()).or_default();
        zone.lead(sched, self.table.of_zone(&claim.zone));
        let mut detail = format!("{}, epoch {}", claim.zone, claim.epoch);
        if !claim.parts.is_all() {
            detail = format!("{detail}, {} of {PART_COUNT} parts", claim.parts.len());
        }
        self.note("zone: Scheduling.", &claim.holder, detail);
        // The heartbeats go out at once, so that entries submit their jobs again.
        self.send_heartbeats_to_all(now);
        self.send_heartbeats_to_zone(&claim.zone, now);
    }

    pub(crate) fn forward_record(&mut self, record: &upstream::Record) {
        let me = self.membership.me();
        if record.zone == me.zone || me.role == member::Role::Keeper {
            self.zones.entry(record.zone.clone()).or_default().apply_record(record);
        }
    }

    /// Applies the findings of a scheduler about tasks and lost upstreams.
    pub(crate) fn apply_findings(&mut self, name: &name::Name, now: Now) {
        let sched = self.zones.get_mut(name).and_then(|zone| zone.sched.as_mut());
        let findings = sched.map(sched::Sched::take_findings).unwrap_or_default();
        self.suspects.apply_findings(&findings);
        self.record_losses(&findings.losses, now);
        self.send_losses(&findings.losses, now);
    }

    pub(crate) fn apply_output(&mut self, name: &name::Name, now: Now) {
        let Some(zone) = self.zones.get_mut(name) else { return };
        let Some(sched) = &mut zone.sched else { return };
        let membership = &self.membership;
        sched.set_evacuated(self.evacuations.has(name));
        sched.clear_covered(|digest| zone.directory.find(digest).is_some());
        sched.run(|entry| membership.clock(entry, now.mono), &self.suspects, now.mono);
        let out = sched.take_output();
        self.out.extend(out.calls.into_iter().map(Output::Call));
        self.out.extend(out.notes.into_iter().map(Output::Note));
        self.out.extend(out.measures.into_iter().map(Output::Measure));
        for (to, id, decision) in out.verdicts {
            self.send(&to, Body::Verdict(id, Box::new(decision)), now);
        }
        for (to, id, returned) in out.returned {
            // An entry that does not know that the zone is evacuated would submit the tasks to it
            // again.
            if !self.knows_evacuations(&to) {
                self.send_heartbeat(&to, now);
            }
            self.send(&to, Body::Spare(id, returned), now);
        }
        for record in out.found {
            self.note("upstream: Found restarted.", &record.id.name, record.id.to_string());
            if let Some(record) = self.table.merge(record) {
                self.send_record(&record, now);
            }
        }
        for (id, last) in out.gone {
            if last {
                self.prove_loss(&id, now);
            }
            if let Some(record) = self.table.mark_gone(&id, last) {
                self.send_record(&record, now);
            }
        }
        if !out.outranked.is_empty() {
            self.handle_outranked(name, &out.outranked, now);
        }
    }

    /// Whether an instance has reported the revision of the evacuations that is in force here, or a
    /// later one.
    fn knows_evacuations(&self, name: &name::Name) -> bool {
        let ping = self.membership.peer(name).and_then(|peer| peer.ping.as_ref());
        let revision = ping.map_or(0, |ping| ping.evacuations.revision);
        *name == self.membership.me().name || revision >= self.evacuations.revision
    }

    /// Sends a scheduler that receives a job the losses of upstreams that ran tasks of the job.
    pub(crate) fn send_former_losses(&mut self, to: &name::Name, job: &name::Name, now: Now) {
        let losses = self.suspects.losses_of(job);
        if !losses.is_empty() {
            self.send(to, Body::Lost(losses), now);
        }
    }

    /// Sends lost upstreams to the schedulers, to the instances that may become schedulers, and to
    /// the entries of the tasks that ran there, which pass them on to the next scheduler: every
    /// instance that may start a task again then knows that it crashes upstreams.
    fn send_losses(&mut self, losses: &[suspect::Loss], now: Now) {
        if losses.is_empty() {
            return;
        }
        let (me, zone) = (self.membership.me().name.clone(), self.membership.me().zone.clone());
        let concerned = |name: &&name::Name| {
            let card = self.membership.peer(name).and_then(|peer| peer.card.as_ref());
            card.is_some_and(|card| {
                self.receives_records(card, &zone) || self.receives_records(card, &card.zone)
            })
        };
        let tasks = losses.iter().flat_map(|loss| &loss.tasks);
        let entries =
            tasks.filter_map(|task| self.scheds().find_map(|sched| sched.entry(&task.job)));
        let names = self.membership.names().filter(concerned).chain(entries);
        let names: collections::BTreeSet<_> = names.filter(|name| **name != me).cloned().collect();
        for to in names {
            self.send(&to, Body::Lost(losses.to_vec()), now);
        }
    }

    /// Records lost upstreams, and gives up the jobs with tasks that ran on too many of them.
    pub(crate) fn record_losses(&mut self, losses: &[suspect::Loss], now: Now) {
        for loss in losses {
            let given_up = self.suspects.add(loss, now.mono);
            self.scheds_mut().for_each(|sched| sched.give_up(&given_up, now.mono));
        }
    }

    /// Records that an upstream which fell silent has been replaced. Its loss may be known from a
    /// former scheduler only.
    fn prove_loss(&mut self, id: &incarnation::Incarnation, now: Now) {
        let loss = self.suspects.proved_loss(id);
        let is_serving = |record: &upstream::Record| record.phase == upstream::Phase::Serving;
        if !loss.tasks.is_empty() && self.table.get(id).is_some_and(is_serving) {
            let losses = [loss];
            self.record_losses(&losses, now);
            self.send_losses(&losses, now);
        }
    }

    /// Handles refusals by upstreams that have seen a higher token, while no message arrives from
    /// an instance with a higher claim.
    fn handle_outranked(&mut self, name: &name::Name, ids: &[incarnation::Incarnation], now: Now) {
        let me = self.membership.me().clone();
        let Some(zone) = self.zones.get_mut(name) else { return };
        // Refusals that stopped were resolved by another claim.
        let since = zone.token_refusals.filter(|(_, last)| now.mono < last + CLAIM_WAIT);
        let first = since.map_or(now.mono, |(first, _)| first);
        zone.token_refusals = Some((first, now.mono));
        if since.is_none() {
            let detail = format!("{} in all", ids.len());
            self.note("zone: An upstream has seen a higher token.", &ids[0].name, detail);
        }
        let away = *name != me.zone;
        if away && !self.membership.reaches(name, now.mono)
            || !away && self.membership.is_cut_off(now.mono)
        {
            // The larger part of the zone has its own scheduler.
            self.claims.stand_down(&me, name, now.mono);
            self.resign(name);
            return self.note(
                "zone: Yielded, cut off from most of its instances.",
                &me.name,
                name.to_string(),
            );
        }
        if now.mono < first + CLAIM_WAIT + leadership::rank_delay(&self.membership, now.mono) {
            return;
        }
        let Some(parts) = self.sched_of(name).map(|sched| sched.parts) else { return };
        let claim = self.claims.outbid(&me, name, parts, now);
        let Some(zone) = self.zones.get_mut(name) else { return };
        zone.token_refusals = None;
        if let Some(sched) = &mut zone.sched {
            sched.supersede(claim.epoch, now.mono);
        }
        self.note(
            "zone: Claimed again above a higher token.",
            &me.name,
            format!("epoch {}", claim.epoch),
        );
        // Jobs that entries hand over under the former claim are refused.
        self.send_heartbeats_to_all(now);
        self.send_heartbeats_to_zone(name, now);
    }
}
