//! Deterministic simulation of the keepers of one group with named voters: their messages, and
//! disks that stall, lose power or are lost.

#![allow(dead_code, reason = "each test file uses its own part")]

use coord::{
    entry::Voters,
    group::{Config, Group, Machine},
    message::{self, Body, Formation},
    mirror::Mirror,
    raft::{Raft, Save, Timing},
    time::Now,
};
use state::name;

const MS: u64 = 1_000;
/// Time by which one tick advances the clocks, microseconds.
const STEP: u64 = 20 * MS;
const TIMING: Timing = Timing { heartbeat: 200 * MS, election: 700 * MS, lease: 600 * MS };
/// The formation of the group.
pub const FORMATION: Formation = Formation { at: 1, by: 1 };
const MAX_SEATS: usize = 5;

/// A state machine that keeps all numbers that it was given.
#[derive(Debug, Default)]
pub struct Numbers(pub Vec<u64>);

impl Machine for Numbers {
    type Effect = u64;

    fn apply(&mut self, command: &[u8]) -> Vec<u64> {
        let number = u64::from_le_bytes(command.try_into().unwrap());
        self.0.push(number);
        vec![number]
    }

    fn snapshot(&self) -> bytes::Bytes {
        coord::machine::encode(&self.0)
    }

    fn restore(&mut self, state: &[u8]) {
        self.0 = postcard::from_bytes(state).unwrap();
    }

    fn reset(&mut self) {
        self.0.clear();
    }
}

/// One keeper: its member of the group while it runs, and its disk.
#[derive(Debug)]
pub struct Keeper {
    pub group: Option<Group<Numbers>>,
    pub disk: Mirror,
    pub disk_id: u64,
    /// Writes that are not on the disk yet.
    pub unsynced: Vec<(u64, Save)>,
    /// Whether the disk finishes no write.
    pub stalled: bool,
}

/// A message in transit: its sender, its receiver and its body.
pub type Envelope = (usize, usize, Body);

/// The keepers, and the messages in transit.
#[derive(Debug)]
pub struct Keepers {
    pub all: Vec<Keeper>,
    pub in_transit: Vec<Envelope>,
    /// Numbers that any keeper has applied, in the order of the log.
    pub committed: Vec<u64>,
    founders: usize,
    /// Pairs of a sender and a receiver whose messages are dropped.
    cuts: std::collections::BTreeSet<(usize, usize)>,
    now: u64,
    last_disk: u64,
    seed: u64,
}

impl Keepers {
    /// Creates `count` keepers, the first `founders` of which are the first voters, and runs them
    /// until they have a leader.
    pub fn new(count: usize, founders: usize, seed: u64) -> Self {
        let keeper = |_| Keeper {
            group: None,
            disk: Mirror::default(),
            disk_id: 1,
            unsynced: Vec::new(),
            stalled: false,
        };
        let mut keepers = Self {
            all: (0..count).map(keeper).collect(),
            in_transit: Vec::new(),
            committed: Vec::new(),
            founders,
            cuts: std::collections::BTreeSet::new(),
            now: 1,
            last_disk: 1,
            seed,
        };
        (0..count).for_each(|at| keepers.start(at));
        keepers.run(3_000);
        keepers
    }

    fn now(&self) -> Now {
        Now::new(self.now, 1_800_000_000_000 + self.now / MS)
    }

    /// Starts a keeper from its disk.
    pub fn start(&mut self, at: usize) {
        if self.all[at].group.is_some() {
            return;
        }
        self.seed += 1;
        let names: Vec<_> = (0..self.all.len()).map(name).collect();
        let config = Config {
            group: message::Group::Settings,
            me: name::Member::new(&names[at], self.all[at].disk_id),
            seats: Vec::new(),
            others: names.iter().filter(|other| **other != names[at]).cloned().collect(),
            timing: TIMING,
            durable: true,
            static_voters: true,
            compact_every: 4,
            kept_entries: 2,
        };
        let now = self.now;
        let recovered = self.all[at].disk.recovered();
        let is_new = recovered.formation.is_none() && self.all[at].disk_id == 1;
        let mut group =
            Group::new(config, Numbers::default(), self.seed).with_recovered(recovered, now);
        if is_new && at < self.founders {
            let voters = names[..self.founders].iter().map(|name| name::Member::new(name, 1));
            group.bootstrap(FORMATION, Voters(voters.collect()), now);
        }
        self.all[at].group = Some(group);
        self.collect(at);
    }

    /// Takes a keeper's power away. Of the writes that are not on the disk, the first `kept` remain.
    pub fn lose_power(&mut self, at: usize, kept: usize) {
        let keeper = &mut self.all[at];
        keeper.group = None;
        keeper.stalled = false;
        for (_, save) in std::mem::take(&mut keeper.unsynced).into_iter().take(kept) {
            keeper.disk.apply(save);
        }
    }

    /// Takes a keeper's power away and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, at: usize) {
        self.lose_power(at, 0);
        self.last_disk += 1;
        self.all[at].disk = Mirror::default();
        self.all[at].disk_id = self.last_disk;
    }

    /// Takes the power of all keepers away, and replaces one disk by an empty one.
    pub fn lose_all(&mut self, lost: usize, kept: usize) {
        (0..self.all.len()).for_each(|at| self.lose_power(at, kept));
        self.lose_disk(lost);
    }

    /// Cuts or heals one direction of a link.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Cuts or heals all links of a keeper.
    pub fn set_isolated(&mut self, at: usize, cut: bool) {
        for other in (0..self.all.len()).filter(|other| *other != at) {
            self.set_cut(at, other, cut);
            self.set_cut(other, at, cut);
        }
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Applies an action to the member of a running keeper.
    pub fn act(&mut self, at: usize, action: impl FnOnce(&mut Group<Numbers>, Now)) {
        let now = self.now();
        if let Some(group) = self.all[at].group.as_mut() {
            action(group, now);
            self.collect(at);
        }
    }

    fn collect(&mut self, at: usize) {
        let Some(group) = self.all[at].group.as_mut() else {
            return;
        };
        let out = group.take_output();
        let position = |name: &name::Name| name.as_str()[1..].parse::<usize>().unwrap();
        let sends = out.sends.into_iter().map(|(to, body)| (at, position(&to), body));
        self.in_transit.extend(sends);
        self.all[at].unsynced.extend(out.saves);
        self.check_applied(at);
    }

    /// Asserts that all keepers apply the same numbers in the same order.
    fn check_applied(&mut self, at: usize) {
        let applied = &self.all[at].group.as_ref().unwrap().machine().0;
        let common = applied.len().min(self.committed.len());
        assert_eq!(applied[..common], self.committed[..common], "keeper {at}");
        self.committed.extend_from_slice(&applied[common..]);
    }

    /// Proposes a number at a keeper.
    pub fn propose(&mut self, at: usize, number: u64) {
        let command = bytes::Bytes::copy_from_slice(&number.to_le_bytes());
        self.act(at, |group, now| {
            group.propose(&command, now.mono);
        });
    }

    /// Delivers one message in transit, or drops it if its link is cut.
    pub fn deliver(&mut self, index: usize) {
        let (from, to, body) = self.in_transit.remove(index);
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let from = name(from);
        self.act(to, |group, now| match body {
            Body::Form(_, incarnation, form) => {
                group.on_form(&name::Member::new(&from, incarnation), &form, now);
            }
            Body::Raft(_, route, body) => {
                group.on_raft(&from, route, body, now.mono);
            }
            Body::Propose(_, route, command) => {
                group.on_propose(&from, route, command, now.mono);
            }
            _ => unreachable!("a group sends no other message"),
        });
    }

    /// Finishes the first `count` writes of a keeper's disk.
    pub fn sync(&mut self, at: usize, count: usize) {
        let keeper = &mut self.all[at];
        let count = count.min(keeper.unsynced.len());
        let mut last = None;
        for (number, save) in keeper.unsynced.drain(..count) {
            keeper.disk.apply(save);
            last = Some(number);
        }
        if let Some(last) = last {
            self.act(at, |group, now| group.on_saved(last, now.mono));
        }
    }

    /// Advances the time by one tick.
    pub fn tick(&mut self) {
        self.now += STEP;
        for at in 0..self.all.len() {
            self.act(at, |group, now| {
                group.tick(now);
                group.replace_lost_voters(MAX_SEATS, now.mono);
            });
        }
    }

    /// Delivers all messages and finishes the writes of the disks that are not stalled.
    pub fn settle(&mut self) {
        loop {
            for at in 0..self.all.len() {
                if !self.all[at].stalled {
                    self.sync(at, usize::MAX);
                }
            }
            if self.in_transit.is_empty() {
                return;
            }
            self.deliver(0);
        }
    }

    /// Runs for `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms * MS;
        while self.now < until {
            self.tick();
            self.settle();
        }
    }

    /// The leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |at: &usize| self.group(*at).and_then(Group::raft).map(Raft::term);
        let leads = |at: &usize| self.group(*at).is_some_and(Group::is_leader);
        (0..self.all.len()).filter(leads).max_by_key(term)
    }

    /// The member of a running keeper.
    pub fn group(&self, at: usize) -> Option<&Group<Numbers>> {
        self.all[at].group.as_ref()
    }

    fn voters(&self) -> Voters {
        let raft = self.leader().and_then(|leader| self.group(leader)?.raft());
        raft.map(|raft| raft.voters().clone()).unwrap_or_default()
    }

    /// Whether the leader counts the present disk of a keeper as a voter.
    pub fn has_seat(&self, at: usize) -> bool {
        self.voters().contains(&name::Member::new(&name(at), self.all[at].disk_id))
    }

    /// Number of voters that the leader counts.
    pub fn seats(&self) -> usize {
        self.voters().0.len()
    }

    /// Heals all links and disks, starts all keepers and asserts that all of them hold all that
    /// was committed, and that the group commits another number.
    pub fn recover(&mut self, number: u64) {
        self.heal();
        for at in 0..self.all.len() {
            self.all[at].stalled = false;
            self.start(at);
        }
        self.run(8_000);
        let leader = self.leader().expect("the group has a leader");
        self.propose(leader, number);
        self.run(1_000);
        assert_eq!(self.committed.last(), Some(&number));
        for keeper in &self.all {
            assert_eq!(keeper.group.as_ref().unwrap().machine().0, self.committed);
        }
    }
}

fn name(at: usize) -> name::Name {
    name::Name::new(&format!("k{at}"))
}
