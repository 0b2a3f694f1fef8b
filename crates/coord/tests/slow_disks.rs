//! Elections of a group whose disks take long to finish each write.

mod keepers;

use coord::{group::Group, raft::Raft};
use keepers::Keepers;

/// Time of one tick of the simulation, milliseconds.
const STEP_MS: u64 = 20;

/// Disks that finish the writes that were issued together after the same time.
struct Disks {
    /// Time that a write takes at each keeper, milliseconds.
    latencies: Vec<u64>,
    /// The number of writes in progress at each keeper, and when they are finished.
    in_progress: Vec<Option<(usize, u64)>>,
    now: u64,
}

impl Disks {
    fn new(keepers: &mut Keepers, latencies: &[u64]) -> Self {
        for keeper in &mut keepers.all {
            keeper.stalled = true;
        }
        Self { latencies: latencies.to_vec(), in_progress: vec![None; latencies.len()], now: 0 }
    }

    /// Runs the keepers until `is_done`, for `limit` milliseconds at most; returns the time taken.
    fn run(
        &mut self,
        keepers: &mut Keepers,
        limit: u64,
        is_done: impl Fn(&Keepers) -> bool,
    ) -> Option<u64> {
        let start = self.now;
        while self.now < start + limit {
            if is_done(keepers) {
                return Some(self.now - start);
            }
            self.now += STEP_MS;
            keepers.tick();
            keepers.settle();
            for (at, latency) in self.latencies.clone().into_iter().enumerate() {
                if let Some((count, end)) = self.in_progress[at]
                    && end <= self.now
                {
                    self.in_progress[at] = None;
                    keepers.sync(at, count);
                }
                let waiting = keepers.all[at].unsynced.len();
                if self.in_progress[at].is_none() && waiting > 0 {
                    self.in_progress[at] = Some((waiting, self.now + latency));
                }
            }
            keepers.settle();
        }
        None
    }
}

fn restarted(seed: u64) -> Keepers {
    let mut keepers = Keepers::new(3, 3, seed);
    let leader = keepers.leader().unwrap();
    keepers.propose(leader, 1);
    keepers.run(500);
    (0..3).for_each(|at| keepers.lose_power(at, 0));
    (0..3).for_each(|at| keepers.start(at));
    keepers
}

fn is_confirmed(keepers: &Keepers, at: usize) -> bool {
    keepers.group(at).and_then(Group::raft).is_some_and(Raft::is_confirmed)
}

/// Whether the leader has committed an entry of its term.
fn has_current_leader(keepers: &Keepers) -> bool {
    let raft = keepers.leader().and_then(|at| keepers.group(at)?.raft());
    raft.is_some_and(Raft::is_current)
}

/// Guards against elections that start anew while votes are on their way to the disk.
#[test]
fn leader_despite_slow_disks() {
    for latencies in [[300; 3], [900; 3], [1_500; 3], [20, 1_500, 1_500], [1_500, 1_500, 20]] {
        for seed in 0..20 {
            let mut keepers = restarted(seed);
            let mut disks = Disks::new(&mut keepers, &latencies);
            // Two timeouts of the election, two of a split vote, and four writes one after another.
            let limit = 4 * 1_400 + 4 * latencies[1];
            let taken = disks.run(&mut keepers, limit, has_current_leader);
            assert!(taken.is_some(), "latencies {latencies:?}, seed {seed}");
        }
    }
}

/// Guards against members that learn what is committed only once a write of each is on disk.
#[test]
fn confirmed_before_writes() {
    for seed in 0..20 {
        let mut keepers = restarted(seed);
        let mut disks = Disks::new(&mut keepers, &[60_000; 3]);
        let taken =
            disks.run(&mut keepers, 1_500, |keepers| (0..3).any(|at| is_confirmed(keepers, at)));
        assert!(taken.is_some(), "seed {seed}");
        for at in (0..3).filter(|at| is_confirmed(&keepers, *at)) {
            assert_eq!(keepers.group(at).unwrap().machine().0, [1]);
        }
    }
}

/// A member whose log has a command that may be committed waits for a leader to commit it.
#[test]
fn open_command_not_confirmed() {
    let mut keepers = Keepers::new(3, 3, 1);
    let leader = keepers.leader().unwrap();
    // Both followers store the command, and nobody learns of it.
    keepers.all[leader].stalled = true;
    keepers.propose(leader, 1);
    (0..3).filter(|at| *at != leader).for_each(|at| {
        let to_follower = |(_, to, _): &keepers::Envelope| *to == at;
        let index = keepers.in_transit.iter().position(to_follower).unwrap();
        keepers.deliver(index);
        keepers.sync(at, usize::MAX);
    });
    keepers.in_transit.clear();
    (0..3).for_each(|at| keepers.lose_power(at, 0));
    (0..3).for_each(|at| keepers.start(at));
    let mut disks = Disks::new(&mut keepers, &[3_000; 3]);
    let any_confirmed = |keepers: &Keepers| (0..3).any(|at| is_confirmed(keepers, at));
    assert_eq!(disks.run(&mut keepers, 3_000, any_confirmed), None);
    disks.run(&mut keepers, 20_000, any_confirmed).expect("a leader commits it");
    assert_eq!(keepers.committed, [1]);
}
