//! Faults of instances and links: crashes, freezes, lost disks and network partitions, and the
//! recovery from them.

use coord::mirror::Mirror;
use dispatch::{
    Core, core,
    event::{Event, Known},
    member::Role,
};
use rand::RngExt as _;
use state::name::Name;

use super::{Action, RECONNECT_DELAY, RETRY_DELAY, WALL_CLOCK_MS, World, upstream::MS, zone_name};

impl World {
    /// Starts an instance, or restarts it without its former in-memory state.
    pub fn start(&mut self, at: usize) {
        let (now, seeds, seed) = (self.clock(), self.seeds.clone(), self.rng.random());
        let incarnation = (WALL_CLOCK_MS + self.now / MS).saturating_add_signed(self.clock_skew);
        let instance = &mut self.instances[at];
        instance.generation += 1;
        instance.frozen = false;
        instance.deferred.clear();
        instance.card.incarnation = incarnation;
        let first = std::mem::replace(&mut instance.first_start, false);
        let disk = instance.disk.as_ref().map(|(mirror, incarnation)| core::Disk {
            incarnation: *incarnation,
            recovered: mirror.recovered(),
            first,
            known: instance.known.clone(),
        });
        let factor = if instance.card.role == Role::Keeper { 5 } else { 1 };
        let cores = self.cores * factor;
        if self.states_capacity {
            instance.card.capacity.cpu = cores as u32;
        }
        let (me, policy) = (instance.card.clone(), self.policy);
        let zones = Vec::new();
        let config = core::Config {
            me,
            seeds,
            longest_lease: self.longest_lease,
            seed,
            cores,
            policy,
            zones,
            disk,
        };
        instance.core = Some(Core::new(config, now));
        let name = instance.card.name.clone();
        let streams: Vec<_> = self.streams.iter().filter(|(_, to)| *to == at).collect();
        for from in streams.into_iter().map(|(from, _)| *from).collect::<Vec<_>>() {
            let to = (from, self.instances[from].generation);
            self.push(self.now + RECONNECT_DELAY, Action::Opened { to, name: name.clone() });
        }
    }

    /// Kills the process of an instance. The clients of its open requests retry later.
    pub fn kill(&mut self, at: usize) {
        self.instances[at].core = None;
        self.instances[at].generation += 1;
        self.instances[at].deferred.clear();
        self.instances[at].frozen = false;
        let now = self.now;
        let lost = self.requests.iter().filter(|(_, r)| r.at == Some(at) && r.verdict.is_none());
        let lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
        for id in lost {
            if let Some(request) = self.requests.get_mut(&id) {
                request.at = None;
            }
            self.push(now + RETRY_DELAY, Action::Submit { id });
        }
    }

    /// Asks an instance to drain; it keeps running until it is killed.
    pub fn drain(&mut self, at: usize) {
        self.handle(at, Event::Drain);
    }

    /// Kills the process of an instance and erases its disk.
    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        let incarnation = self.rng.random_range(2..u64::from(u32::MAX));
        if let Some(disk) = &mut self.instances[at].disk {
            *disk = (Mirror::default(), incarnation);
        }
        self.instances[at].known = Known::default();
    }

    /// Replaces a keeper by one with an empty disk at another address.
    pub fn replace_keeper(&mut self, at: usize, name: &str) {
        self.lose_disk(at);
        let former = std::mem::replace(&mut self.instances[at].card.name, Name::new(name));
        // Instances that start from now on get the new address as a seed.
        for seed in self.seeds.iter_mut().filter(|seed| **seed == former) {
            *seed = Name::new(name);
        }
        self.start(at);
    }

    /// Freezes an instance: its events are deferred until it is unfrozen.
    pub fn freeze(&mut self, at: usize) {
        self.instances[at].frozen = true;
    }

    /// Unfreezes an instance and delivers its deferred events.
    pub fn unfreeze(&mut self, at: usize) {
        self.instances[at].frozen = false;
        for action in std::mem::take(&mut self.instances[at].deferred) {
            self.push(self.now + 1, action);
        }
    }

    /// Cuts a zone off from the instances and upstreams of all other zones, or heals the partition.
    pub fn set_zone_cut(&mut self, zone: usize, cut: bool) {
        let zone = zone_name(zone);
        for a in 0..self.instances.len() {
            for b in 0..self.instances.len() {
                let across =
                    (self.instances[a].card.zone == zone) != (self.instances[b].card.zone == zone);
                if across {
                    self.set_cut(a, b, cut);
                }
            }
            for u in 0..self.upstreams.len() {
                let across = (self.instances[a].card.zone == zone)
                    != (self.upstreams[u].zone == *zone.as_str());
                if across {
                    self.block_calls(u, a, cut);
                }
            }
        }
    }

    /// Cuts or heals one direction of the link between two instances.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Blocks or unblocks all calls and announcements between an upstream and an instance.
    pub fn block_calls(&mut self, upstream: usize, instance: usize, blocked: bool) {
        if blocked {
            self.blocked_calls.insert((upstream, instance));
        } else {
            self.blocked_calls.remove(&(upstream, instance));
        }
    }
}
