//! The upstreams as one instance sees them: leases, slots, load, health, and the choice of one.

use std::collections;

use rand::{SeedableRng as _, rngs};
use state::{
    boot, name,
    upstream::{Leased, Needs, Upstream, Upstreams},
};

use crate::{health, place, share, time};

/// Upstreams are remembered this long after their lease, microseconds.
const REMEMBER: u64 = 60_000 * time::MS;
/// Share of a lender's idle slots that it keeps: one in this many.
const RESERVE: u32 = 4;

#[derive(Debug, Default)]
struct Load {
    outstanding: u32,
    health: health::Health,
}

/// Slots of a service, as far as this instance may use them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Slots this instance may use.
    pub allowed: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Slots of all open upstreams.
    pub total: u32,
}

/// Upstreams, their load and the loans of their slots.
#[derive(Debug)]
pub struct Fleet {
    table: Upstreams,
    services: collections::BTreeMap<name::Name, Vec<name::Name>>,
    loads: collections::HashMap<name::Name, Load>,
    loans: share::Loans,
    rank: Option<(u32, u32)>,
    trial: boot::Trial,
    placer: Box<dyn place::Placer>,
    rng: rngs::SmallRng,
    ejections: u64,
}

impl Fleet {
    /// No upstreams yet.
    pub fn new(trial: boot::Trial, seed: u64) -> Self {
        Self {
            table: Upstreams::new(),
            services: collections::BTreeMap::new(),
            loads: collections::HashMap::new(),
            loans: share::Loans::new(),
            rank: None,
            trial,
            placer: place::placer(trial.placement),
            rng: rngs::SmallRng::seed_from_u64(seed),
            ejections: 0,
        }
    }

    /// The table of upstreams.
    pub fn table(&self) -> &Upstreams {
        &self.table
    }

    /// The loans.
    pub fn loans(&self) -> &share::Loans {
        &self.loans
    }

    /// Ejections so far.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Tasks that this instance has at an upstream.
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.loads.get(upstream).map_or(0, |load| load.outstanding)
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, upstream: &str, now: u64) -> bool {
        self.loads.get(upstream).is_some_and(|load| load.health.is_ejected(now))
    }

    /// Takes an announcement; tells whether anything but the lease has changed.
    pub fn put(&mut self, info: Upstream, until: u64) -> bool {
        let former = self.table.get(info.name.as_str()).map(|held| held.info.service.clone());
        let (name, service) = (info.name.clone(), info.service.clone());
        let changed = self.table.put(info, until);
        if former.as_ref() != Some(&service) {
            if let Some(names) = former.and_then(|former| self.services.get_mut(&former)) {
                names.retain(|other| *other != name);
            }
            self.services.entry(service).or_default().push(name.clone());
        }
        self.loads.entry(name).or_default();
        changed
    }

    /// Extends the lease of the upstream with this short name; false if none is known.
    pub fn renew(&mut self, short: u32, stamp: u64, until: u64) -> bool {
        let found = self.table.iter().find(|l| state::id::short(l.info.name.as_str()) == short);
        let name = found.map(|leased| leased.info.name.clone());
        name.is_some_and(|name| self.table.renew(name.as_str(), stamp, until))
    }

    /// Sets this instance's place among those of its zone; nothing if it has none.
    pub fn set_rank(&mut self, rank: Option<(u32, u32)>) {
        self.rank = rank;
    }

    /// Ends loans with instances that are gone.
    pub fn keep_loans(&mut self, stays: impl Fn(&name::Name) -> bool) {
        self.loans.keep(stays);
    }

    /// Forgets upstreams whose lease is long over and takes back loans.
    pub fn prune(&mut self, now: u64) {
        self.loans.reclaim(now);
        for name in self.table.prune(now.saturating_sub(REMEMBER)) {
            for names in self.services.values_mut() {
                names.retain(|other| *other != name);
            }
            if self.outstanding(name.as_str()) == 0 {
                self.loads.remove(&name);
            }
        }
        self.services.retain(|_, names| !names.is_empty());
    }

    /// Whether any upstream of the service is known, could hold `needs`, and is open now.
    pub fn reach(&self, service: &name::Name, needs: &Needs, now: u64) -> Reach {
        let mut reach = Reach::Nobody;
        for leased in self.of(service) {
            let fits = leased.info.room.is_none_or(|room| needs.fits(&room));
            let rank = match (fits, leased.is_open(now)) {
                (true, true) => return Reach::Open,
                (true, false) => Reach::Closed,
                (false, _) => Reach::Unfit,
            };
            reach = reach.max(rank);
        }
        reach
    }

    /// Slots of the service that this instance may use.
    pub fn room(&self, service: &name::Name, now: u64) -> Room {
        let mut room = Room::default();
        for leased in self.of(service).filter(|leased| leased.is_open(now)) {
            let allowed = self.allowed(leased, now);
            let load = self.loads.get(&leased.info.name);
            room.total += leased.info.slots;
            if load.is_some_and(|load| !load.health.is_ejected(now)) {
                room.allowed += allowed;
                room.free += allowed.saturating_sub(load.map_or(0, |load| load.outstanding));
            }
        }
        room
    }

    /// Chooses an upstream for a task; nothing if none has a free slot that this instance may use.
    pub fn pick(
        &mut self,
        service: &name::Name,
        needs: &Needs,
        avoid: Option<&name::Name>,
        now: u64,
    ) -> Option<name::Name> {
        let names = self.services.get(service)?;
        let mut places = smallvec::SmallVec::<[usize; 64]>::new();
        let mut candidates = smallvec::SmallVec::<[place::Candidate; 64]>::new();
        for (at, name) in names.iter().enumerate() {
            let leased = self.table.get(name.as_str()).filter(|leased| leased.is_open(now));
            let Some(leased) = leased else { continue };
            let fits = leased.info.room.is_none_or(|room| needs.fits(&room));
            let Some(load) = self.loads.get(&leased.info.name).filter(|_| fits) else {
                continue;
            };
            let slots = self.allowed(leased, now);
            let outstanding = load.outstanding;
            if outstanding < slots && load.health.admits(outstanding, now) {
                places.push(at);
                candidates.push(place::Candidate { outstanding, slots, mean: load.health.mean });
            }
        }
        if places.len() > 1
            && let Some(at) = places.iter().position(|at| Some(&names[*at]) == avoid)
        {
            places.swap_remove(at);
            candidates.swap_remove(at);
        }
        if places.is_empty() {
            return None;
        }
        let at = self.placer.pick(&candidates, &mut self.rng);
        Some(names[places[at]].clone())
    }

    /// A task goes to the upstream; gives its address.
    pub fn start(&mut self, upstream: &name::Name) -> Option<name::Name> {
        self.loads.entry(upstream.clone()).or_default().outstanding += 1;
        self.table.get(upstream.as_str()).map(|leased| leased.info.address.clone())
    }

    /// A task came back from the upstream.
    pub fn finish(&mut self, upstream: &name::Name, end: End, now: u64) {
        let Some(load) = self.loads.get_mut(upstream) else {
            return;
        };
        load.outstanding = load.outstanding.saturating_sub(1);
        match end {
            End::Answered(took) => load.health.succeeded(took),
            End::Full => load.health.full(now),
            End::Neutral => {}
            End::Failed => {
                let due = load.health.failed();
                if due && self.trial.eject && self.may_eject(upstream, now) {
                    self.ejections += 1;
                    if let Some(load) = self.loads.get_mut(upstream) {
                        load.health.eject(now);
                    }
                }
            }
        }
    }

    /// Lends up to `count` idle slots of a service to a peer, keeping a reserve.
    pub fn lend(
        &mut self,
        to: &name::Name,
        service: &name::Name,
        count: u32,
        now: u64,
    ) -> Vec<(name::Name, u32)> {
        let idle = |leased: &Leased| {
            let free = self.own(leased).saturating_sub(self.outstanding(leased.info.name.as_str()));
            (leased.info.name.clone(), free)
        };
        let open = self.of(service).filter(|leased| leased.is_open(now));
        let idle: Vec<_> = open.map(idle).filter(|(_, free)| *free > 0).collect();
        let total: u32 = idle.iter().map(|(_, free)| free).sum();
        let mut left = count.min(total - total / RESERVE);
        let mut slots = Vec::new();
        for (name, free) in idle {
            let part = free.min(left);
            if part > 0 {
                left -= part;
                self.loans.lend(to, &name, part, now);
                slots.push((name, part));
            }
        }
        slots
    }

    /// Slots of a service that are borrowed from a peer.
    pub fn held(&self, from: &name::Name, service: &name::Name) -> u32 {
        self.loans.held(from, |upstream| self.runs(upstream, service))
    }

    /// A peer says how many slots of a service it holds from here: the rest of what was lent to
    /// it never arrived.
    pub fn settle_loans(&mut self, to: &name::Name, service: &name::Name, held: u32) {
        let mut loans = std::mem::take(&mut self.loans);
        loans.settle(to, held, |upstream| self.runs(upstream, service));
        self.loans = loans;
    }

    fn runs(&self, upstream: &name::Name, service: &name::Name) -> bool {
        self.table.get(upstream.as_str()).is_some_and(|leased| leased.info.service == *service)
    }

    /// Takes borrowed slots.
    pub fn borrow(&mut self, from: &name::Name, slots: &[(name::Name, u32)], asked: u64) {
        for (upstream, count) in slots {
            self.loans.borrow(from, upstream, *count, asked);
        }
    }

    /// Takes back slots that a peer returns.
    pub fn returned(&mut self, by: &name::Name, slots: &[(name::Name, u32)]) {
        for (upstream, count) in slots {
            self.loans.returned(by, upstream, *count);
        }
    }

    /// Gives back borrowed slots that are idle, by lender.
    pub fn give_back(&mut self) -> collections::BTreeMap<name::Name, Vec<(name::Name, u32)>> {
        let idle = |leased: &Leased| {
            let name = &leased.info.name;
            let borrowed = self.loans.borrowed(name, 0);
            let free =
                (self.own(leased) + borrowed).saturating_sub(self.outstanding(name.as_str()));
            (name.clone(), free.min(borrowed))
        };
        let idle: collections::HashMap<_, _> = self.table.iter().map(idle).collect();
        // Loans on an upstream that is forgotten are of no use to anybody here.
        self.loans.give_back(|name| idle.get(name).copied().unwrap_or(u32::MAX))
    }

    fn of(&self, service: &name::Name) -> impl Iterator<Item = &Leased> {
        let names = self.services.get(service).into_iter().flatten();
        names.filter_map(|name| self.table.get(name.as_str()))
    }

    fn share_of(&self, leased: &Leased) -> u32 {
        let slots = leased.info.slots;
        match self.rank {
            _ if !self.trial.shares => slots,
            Some((rank, count)) => share::share(leased.info.name.as_str(), slots, rank, count),
            // Alone, with no membership to go by: only idempotent requests come here.
            None => slots.min(1),
        }
    }

    /// Own slots less those lent.
    fn own(&self, leased: &Leased) -> u32 {
        self.share_of(leased).saturating_sub(self.loans.lent(&leased.info.name))
    }

    fn allowed(&self, leased: &Leased, now: u64) -> u32 {
        self.own(leased) + self.loans.borrowed(&leased.info.name, now)
    }

    /// At most half of a service's open upstreams are ejected at a time.
    fn may_eject(&self, upstream: &name::Name, now: u64) -> bool {
        let Some(service) = self.table.get(upstream.as_str()).map(|l| &l.info.service) else {
            return false;
        };
        let open = self.of(service).filter(|leased| leased.is_open(now));
        let (mut count, mut ejected) = (0, 0);
        for leased in open {
            count += 1;
            ejected += usize::from(self.is_ejected(leased.info.name.as_str(), now));
        }
        (ejected + 1) * 2 <= count
    }
}

/// Whether a service's upstreams could take a task, from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// No upstream of the service is known.
    Nobody,
    /// None that is known could ever hold the task.
    Unfit,
    /// One could hold it, but takes no work now.
    Closed,
    /// One could hold it and takes work.
    Open,
}

/// How a task came back, as far as the upstream's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered after so many microseconds.
    Answered(u64),
    /// Refused for want of room.
    Full,
    /// Failed, or could not be reached.
    Failed,
    /// Says nothing about the upstream.
    Neutral,
}
