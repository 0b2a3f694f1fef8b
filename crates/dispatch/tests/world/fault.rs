//! Instances and links that are lost, stopped and cut, and come back.

use coord::mirror::Mirror;
use dispatch::{
    Core, core,
    event::{Event, Known},
    member::Role,
};
use rand::RngExt as _;
use state::name::Name;

use super::{RESEND, WALL, What, World, upstream::MS, zone_name};

impl World {
    /// Starts an instance, or starts it again with an empty memory.
    pub fn start(&mut self, at: usize) {
        let (now, seeds, seed) = (self.clock(), self.seeds.clone(), self.rng.random());
        let life = (WALL + self.now / MS).saturating_add_signed(self.skew);
        let instance = &mut self.instances[at];
        instance.life += 1;
        instance.frozen = false;
        instance.held.clear();
        instance.card.incarnation = life;
        let first = std::mem::replace(&mut instance.first, false);
        let disk = instance.disk.as_ref().map(|(mirror, life)| core::Disk {
            incarnation: *life,
            recovered: mirror.recovered(),
            first,
            known: instance.known.clone(),
        });
        let (me, policy) = (instance.card.clone(), self.policy);
        let times = if me.role == Role::Keeper { 5 } else { 1 };
        let cores = self.cores * times;
        let zones = Vec::new();
        let config = core::Config { me, seeds, lease: 950, seed, cores, policy, zones, disk };
        instance.core = Some(Core::new(config, now));
    }

    /// Ends an instance's process.
    pub fn kill(&mut self, at: usize) {
        self.instances[at].core = None;
        self.instances[at].life += 1;
        self.instances[at].held.clear();
        self.instances[at].frozen = false;
        let now = self.now;
        let lost = self.requests.iter().filter(|(_, r)| r.at == Some(at) && r.verdict.is_none());
        let lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
        for id in lost {
            if let Some(request) = self.requests.get_mut(&id) {
                request.at = None;
            }
            self.push(now + RESEND, What::Submit { id });
        }
    }

    /// Tells an instance to end; it goes on until it is killed.
    pub fn drain(&mut self, at: usize) {
        self.handle(at, Event::Drain);
    }

    /// Ends an instance's process, and its disk is empty when it starts again.
    pub fn wipe(&mut self, at: usize) {
        self.kill(at);
        let life = self.rng.random_range(2..u64::from(u32::MAX));
        if let Some(disk) = &mut self.instances[at].disk {
            *disk = (Mirror::default(), life);
        }
        self.instances[at].known = Known::default();
    }

    /// An empty keeper takes the place of one that is gone, at another address.
    pub fn move_keeper(&mut self, at: usize, name: &str) {
        self.wipe(at);
        let former = std::mem::replace(&mut self.instances[at].card.name, Name::new(name));
        // Whoever starts from now on is told the present keepers.
        for seed in self.seeds.iter_mut().filter(|seed| **seed == former) {
            *seed = Name::new(name);
        }
        self.start(at);
    }

    pub fn freeze(&mut self, at: usize) {
        self.instances[at].frozen = true;
    }

    pub fn thaw(&mut self, at: usize) {
        self.instances[at].frozen = false;
        for what in std::mem::take(&mut self.instances[at].held) {
            self.push(self.now + 1, what);
        }
    }

    /// Cuts or joins the zones in `side` from all others.
    pub fn cut_zone(&mut self, zone: usize, cut: bool) {
        let zone = zone_name(zone);
        for a in 0..self.instances.len() {
            for b in 0..self.instances.len() {
                let across =
                    (self.instances[a].card.zone == zone) != (self.instances[b].card.zone == zone);
                if across {
                    self.cut(a, b, cut);
                }
            }
            for u in 0..self.upstreams.len() {
                let across = (self.instances[a].card.zone == zone)
                    != (self.upstreams[u].zone == *zone.as_str());
                if across {
                    self.wall(u, a, cut);
                }
            }
        }
    }

    /// Cuts or joins one direction.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    pub fn wall(&mut self, upstream: usize, instance: usize, wall: bool) {
        if wall {
            self.walls.insert((upstream, instance));
        } else {
            self.walls.remove(&(upstream, instance));
        }
    }
}
