//! The upstreams known to one instance: their leases, slots, load and health, and the choice of an
//! upstream for a task.

use std::collections;

use rand::{SeedableRng as _, rngs};
use state::{
    boot, name,
    upstream::{Leased, Resources, Upstream, Upstreams},
};

use crate::{health, place, share, time};

/// Time that an upstream stays in the table after its lease expired, microseconds.
const RETENTION: u64 = 60_000 * time::MS;
/// A lender keeps one in this many of its idle slots in reserve.
const RESERVE_DIVISOR: u32 = 4;

/// Load and health of one upstream.
#[derive(Debug, Default)]
struct Load {
    outstanding: u32,
    health: health::Health,
}

/// Slot counts of a service at this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Slots that this instance may use.
    pub allowed: u32,
    /// Slots that this instance may use and that are free.
    pub free: u32,
    /// Slots of all open upstreams.
    pub total: u32,
}

/// The upstreams, with their load, their health and the loans of their slots.
#[derive(Debug)]
pub struct Fleet {
    upstreams: Upstreams,
    services: collections::BTreeMap<name::Name, Vec<name::Name>>,
    loads: collections::HashMap<name::Name, Load>,
    loans: share::Loans,
    rank: Option<(u32, u32)>,
    baselines: boot::Baselines,
    placer: Box<dyn place::Placer>,
    rng: rngs::SmallRng,
    ejections: u64,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new(baselines: boot::Baselines, seed: u64) -> Self {
        Self {
            upstreams: Upstreams::new(),
            services: collections::BTreeMap::new(),
            loads: collections::HashMap::new(),
            loans: share::Loans::new(),
            rank: None,
            baselines,
            placer: place::new_placer(baselines.placement),
            rng: rngs::SmallRng::seed_from_u64(seed),
            ejections: 0,
        }
    }

    /// The table of known upstreams.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// The slots lent to and borrowed from other instances.
    pub fn loans(&self) -> &share::Loans {
        &self.loans
    }

    /// Number of ejections since the start.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Number of tasks that this instance has in flight at an upstream.
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.loads.get(upstream).map_or(0, |load| load.outstanding)
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, upstream: &str, now: u64) -> bool {
        self.loads.get(upstream).is_some_and(|load| load.health.is_ejected(now))
    }

    /// Stores an announcement; returns whether anything but the lease changed.
    pub fn put(&mut self, info: Upstream, until: u64) -> bool {
        let old_service =
            self.upstreams.get(info.name.as_str()).map(|leased| leased.info.service.clone());
        let (name, service) = (info.name.clone(), info.service.clone());
        let changed = self.upstreams.put(info, until);
        if old_service.as_ref() != Some(&service) {
            if let Some(names) = old_service.and_then(|old| self.services.get_mut(&old)) {
                names.retain(|other| *other != name);
            }
            self.services.entry(service).or_default().push(name.clone());
        }
        self.loads.entry(name).or_default();
        changed
    }

    /// Extends the lease of the upstream whose name has the hash `name_hash`; returns false if no
    /// such upstream is known.
    pub fn renew(&mut self, name_hash: u32, sequence: u64, until: u64) -> bool {
        let found =
            self.upstreams.iter().find(|l| state::id::name_hash(l.info.name.as_str()) == name_hash);
        let name = found.map(|leased| leased.info.name.clone());
        name.is_some_and(|name| self.upstreams.renew(name.as_str(), sequence, until))
    }

    /// Sets the rank of this instance among the live members of its zone, and their count; `None`
    /// if this instance is no live member.
    pub fn set_rank(&mut self, rank: Option<(u32, u32)>) {
        self.rank = rank;
    }

    /// Ends the loans with instances for which `stays` returns false.
    pub fn retain_loans(&mut self, stays: impl Fn(&name::Name) -> bool) {
        self.loans.retain_members(stays);
    }

    /// Removes upstreams whose lease expired long ago, and reclaims expired loans.
    pub fn prune(&mut self, now: u64) {
        self.loans.reclaim(now);
        for name in self.upstreams.prune(now.saturating_sub(RETENTION)) {
            for names in self.services.values_mut() {
                names.retain(|other| *other != name);
            }
            if self.outstanding(name.as_str()) == 0 {
                self.loads.remove(&name);
            }
        }
        self.services.retain(|_, names| !names.is_empty());
    }

    /// Whether any upstream of the service is known, has the resources for `needs`, and is open at
    /// `now`.
    pub fn availability(&self, service: &name::Name, needs: &Resources, now: u64) -> Availability {
        let mut best = Availability::NoUpstream;
        for leased in self.upstreams_of(service) {
            let fits = leased.info.capacity.is_none_or(|capacity| needs.fits(&capacity));
            let level = match (fits, leased.is_open(now)) {
                (true, true) => return Availability::Open,
                (true, false) => Availability::Closed,
                (false, _) => Availability::Unfit,
            };
            best = best.max(level);
        }
        best
    }

    /// Counts the slots of a service.
    pub fn slot_counts(&self, service: &name::Name, now: u64) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for leased in self.upstreams_of(service).filter(|leased| leased.is_open(now)) {
            let allowed = self.allowed(leased, now);
            let load = self.loads.get(&leased.info.name);
            counts.total += leased.info.slots;
            if load.is_some_and(|load| !load.health.is_ejected(now)) {
                counts.allowed += allowed;
                counts.free += allowed.saturating_sub(load.map_or(0, |load| load.outstanding));
            }
        }
        counts
    }

    /// Picks an upstream for a task; `None` if no upstream has a free slot that this instance may
    /// use. `avoid` is picked only if it is the sole candidate.
    pub fn pick(
        &mut self,
        service: &name::Name,
        needs: &Resources,
        avoid: Option<&name::Name>,
        now: u64,
    ) -> Option<name::Name> {
        let names = self.services.get(service)?;
        let mut indices = smallvec::SmallVec::<[usize; 64]>::new();
        let mut candidates = smallvec::SmallVec::<[place::Candidate; 64]>::new();
        for (at, name) in names.iter().enumerate() {
            let leased = self.upstreams.get(name.as_str()).filter(|leased| leased.is_open(now));
            let Some(leased) = leased else { continue };
            let fits = leased.info.capacity.is_none_or(|capacity| needs.fits(&capacity));
            let Some(load) = self.loads.get(&leased.info.name).filter(|_| fits) else {
                continue;
            };
            let slots = self.allowed(leased, now);
            let outstanding = load.outstanding;
            if outstanding < slots && load.health.admits(outstanding, now) {
                indices.push(at);
                candidates.push(place::Candidate { outstanding, slots, mean: load.health.mean });
            }
        }
        if indices.len() > 1
            && let Some(at) = indices.iter().position(|at| Some(&names[*at]) == avoid)
        {
            indices.swap_remove(at);
            candidates.swap_remove(at);
        }
        if indices.is_empty() {
            return None;
        }
        let at = self.placer.pick(&candidates, &mut self.rng);
        Some(names[indices[at]].clone())
    }

    /// Records the start of a task at an upstream; returns the address of the upstream.
    pub fn start(&mut self, upstream: &name::Name) -> Option<name::Name> {
        self.loads.entry(upstream.clone()).or_default().outstanding += 1;
        self.upstreams.get(upstream.as_str()).map(|leased| leased.info.address.clone())
    }

    /// Records the end of a task at an upstream.
    pub fn finish(&mut self, upstream: &name::Name, end: End, now: u64) {
        let Some(load) = self.loads.get_mut(upstream) else {
            return;
        };
        load.outstanding = load.outstanding.saturating_sub(1);
        match end {
            End::Answered(took) => load.health.record_success(took),
            End::Full => load.health.record_full(now),
            End::Neutral => {}
            End::Failed => {
                let due = load.health.record_failure();
                if due && self.baselines.eject && self.may_eject(upstream, now) {
                    self.ejections += 1;
                    if let Some(load) = self.loads.get_mut(upstream) {
                        load.health.eject(now);
                    }
                }
            }
        }
    }

    /// Lends up to `count` idle slots of a service to a zone peer; keeps part of them in reserve.
    pub fn lend(
        &mut self,
        to: &name::Name,
        service: &name::Name,
        count: u32,
        now: u64,
    ) -> Vec<(name::Name, u32)> {
        let idle = |leased: &Leased| {
            let free =
                self.own_slots(leased).saturating_sub(self.outstanding(leased.info.name.as_str()));
            (leased.info.name.clone(), free)
        };
        let open = self.upstreams_of(service).filter(|leased| leased.is_open(now));
        let idle: Vec<_> = open.map(idle).filter(|(_, free)| *free > 0).collect();
        let total: u32 = idle.iter().map(|(_, free)| free).sum();
        let mut remaining = count.min(total - total / RESERVE_DIVISOR);
        let mut slots = Vec::new();
        for (name, free) in idle {
            let lent = free.min(remaining);
            if lent > 0 {
                remaining -= lent;
                self.loans.lend(to, &name, lent, now);
                slots.push((name, lent));
            }
        }
        slots
    }

    /// Number of slots of a service that are borrowed from a zone peer.
    pub fn borrowed_from(&self, from: &name::Name, service: &name::Name) -> u32 {
        self.loans.borrowed_from(from, |upstream| self.serves(upstream, service))
    }

    /// Reconciles the loans with the number of slots that a zone peer reports as borrowed. Grants
    /// beyond that number never reached the zone peer, and their slots are reclaimed.
    pub fn reconcile_loans(&mut self, to: &name::Name, service: &name::Name, borrowed: u32) {
        let mut loans = std::mem::take(&mut self.loans);
        loans.reconcile(to, borrowed, |upstream| self.serves(upstream, service));
        self.loans = loans;
    }

    fn serves(&self, upstream: &name::Name, service: &name::Name) -> bool {
        self.upstreams.get(upstream.as_str()).is_some_and(|leased| leased.info.service == *service)
    }

    /// Records slots borrowed from a zone peer; `requested_at` is the time of the request.
    pub fn borrow(&mut self, from: &name::Name, slots: &[(name::Name, u32)], requested_at: u64) {
        for (upstream, count) in slots {
            self.loans.borrow(from, upstream, *count, requested_at);
        }
    }

    /// Records that a zone peer has returned slots.
    pub fn take_back(&mut self, by: &name::Name, slots: &[(name::Name, u32)]) {
        for (upstream, count) in slots {
            self.loans.take_back(by, upstream, *count);
        }
    }

    /// Removes the idle borrowed slots and returns them, grouped by lender.
    pub fn return_idle(&mut self) -> collections::BTreeMap<name::Name, Vec<(name::Name, u32)>> {
        let idle = |leased: &Leased| {
            let name = &leased.info.name;
            let borrowed = self.loans.borrowed(name, 0);
            let free =
                (self.own_slots(leased) + borrowed).saturating_sub(self.outstanding(name.as_str()));
            (name.clone(), free.min(borrowed))
        };
        let idle: collections::HashMap<_, _> = self.upstreams.iter().map(idle).collect();
        // Slots borrowed on an upstream that is no longer in the table are unusable here, so all
        // of them are returned.
        self.loans.return_idle(|name| idle.get(name).copied().unwrap_or(u32::MAX))
    }

    fn upstreams_of(&self, service: &name::Name) -> impl Iterator<Item = &Leased> {
        let names = self.services.get(service).into_iter().flatten();
        names.filter_map(|name| self.upstreams.get(name.as_str()))
    }

    fn share_of(&self, leased: &Leased) -> u32 {
        let slots = leased.info.slots;
        match self.rank {
            _ if !self.baselines.shares => slots,
            Some((rank, count)) => share::share(leased.info.name.as_str(), slots, rank, count),
            // An instance that is no live member starts only idempotent requests. It cannot compute
            // its share and uses one slot.
            None => slots.min(1),
        }
    }

    /// Slots of this instance's own share that are not lent.
    fn own_slots(&self, leased: &Leased) -> u32 {
        self.share_of(leased).saturating_sub(self.loans.lent(&leased.info.name))
    }

    fn allowed(&self, leased: &Leased, now: u64) -> u32 {
        self.own_slots(leased) + self.loans.borrowed(&leased.info.name, now)
    }

    /// Whether a further ejection leaves at most half of the service's open upstreams ejected.
    fn may_eject(&self, upstream: &name::Name, now: u64) -> bool {
        let Some(service) = self.upstreams.get(upstream.as_str()).map(|l| &l.info.service) else {
            return false;
        };
        let open = self.upstreams_of(service).filter(|leased| leased.is_open(now));
        let (mut count, mut ejected) = (0, 0);
        for leased in open {
            count += 1;
            ejected += usize::from(self.is_ejected(leased.info.name.as_str(), now));
        }
        (ejected + 1) * 2 <= count
    }
}

/// Ability of a service's upstreams to take a task, from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// No upstream of the service is known.
    NoUpstream,
    /// No known upstream has the resources for the task.
    Unfit,
    /// At least one upstream has the resources for the task, but none of them is open.
    Closed,
    /// An open upstream has the resources for the task.
    Open,
}

/// How a task ended, for the health of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The upstream answered after this service time, microseconds.
    Answered(u64),
    /// The upstream refused the task for lack of capacity.
    Full,
    /// The task failed, or the upstream could not be reached.
    Failed,
    /// The result does not indicate whether the upstream is healthy.
    Neutral,
}
