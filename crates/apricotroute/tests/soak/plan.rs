//! The faults of a soak run and their times, all derived from the seed.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde_json::{Value, json};

/// A fault or operator action to apply to the system. Numbers of type `usize` are indices of
/// instances, upstreams or zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills an instance with SIGKILL and starts a new process after this time.
    Kill(usize, Duration),
    /// Sends SIGTERM and starts a new process after the old one has ended.
    Term(usize),
    /// Sends SIGSTOP, and SIGCONT after this time.
    Suspend(usize, Duration),
    /// Sends SIGHUP this many times.
    Hup(usize, u32),
    /// Kills all keepers at once and starts them again after this time.
    KillKeepers(Duration),
    /// Kills all instances and starts them again.
    KillAll,
    /// Kills a keeper and starts it again with an empty disk.
    Wipe(usize),
    /// Kills a keeper and leaves an unfinished write at the end of its log.
    TornWrite(usize),
    /// Blocks the traffic from one instance to another for this long.
    BlockOneWay(usize, usize, Duration),
    /// Blocks the traffic between an instance and all others, in both directions, for this long.
    Isolate(usize, Duration),
    /// Blocks the traffic between a zone's instances and all others, in both directions, for this
    /// long.
    IsolateZone(usize, Duration),
    /// Delays all that an instance sends by the first duration, for the second duration.
    Delay(usize, Duration, Duration),
    /// Closes all current streams of an instance.
    Reset(usize),
    /// Stops all traffic on the current streams of an instance for good; new ones work.
    Blackhole(usize),
    /// Restarts an instance at once, with a wall clock that is off by this many milliseconds.
    ClockSkew(usize, i64),
    /// Crashes an upstream; a new one replaces it at the same address.
    Crash(usize),
    /// Lets an upstream leave; a new one replaces it.
    Leave(usize),
    /// Makes the tasks of an upstream fail for this long.
    Fail(usize, Duration),
    /// Makes the tasks of an upstream hang for this long.
    Hang(usize, Duration),
    /// Makes an upstream leave all orders unanswered for this long.
    Unresponsive(usize, Duration),
    /// Reduces the capacity of an upstream to one task for this long.
    Shrink(usize, Duration),
    /// Submits a job in a zone whose task crashes each upstream that starts it.
    Fatal(usize),
    /// The operator sends the next configuration.
    Publish,
    /// Two operators send different configurations under the same version.
    Race,
    /// An operator sends an invalid configuration.
    Invalid,
    /// Kills all keepers but one at once and starts them again after this time.
    KillMost(usize, Duration),
    /// Removes a keeper for good, and adds an empty one at another address.
    Exchange(usize),
    /// Writes the seeds into all settings files in another order, with SIGHUP or without.
    Reseed(bool),
    /// A keeper's disk has no room for snapshots for this long.
    FullDisk(usize, Duration),
    /// A keeper's disk hangs for this long.
    HungDisk(usize, Duration),
    /// An instance loses power and starts again after this time: its streams carry nothing more and
    /// stay open at its peers.
    PowerLoss(usize, Duration),
    /// All streams between instances carry nothing more and stay open; new ones work.
    BlackholeAll,
    /// Restarts an instance at once, and fills it with idle connections for this long while it may
    /// have only a few files open.
    Crowd(usize, Duration),
}

impl Fault {
    /// How long the fault disturbs instances or the connections between them; `None` if it does
    /// not disturb them.
    pub fn disturbance(self) -> Option<Duration> {
        // A restarted process is connected within this time.
        const START_TIME: Duration = Duration::from_secs(1);
        // A process has ended this long after SIGTERM.
        const STOP_TIME: Duration = Duration::from_secs(7);
        match self {
            Self::Kill(_, time)
            | Self::KillKeepers(time)
            | Self::KillMost(_, time)
            | Self::PowerLoss(_, time) => Some(time + START_TIME),
            Self::KillAll | Self::Wipe(_) | Self::TornWrite(_) | Self::ClockSkew(..) => {
                Some(START_TIME * 2)
            }
            Self::Term(_) => Some(STOP_TIME + START_TIME),
            Self::Suspend(_, time)
            | Self::BlockOneWay(_, _, time)
            | Self::Isolate(_, time)
            | Self::IsolateZone(_, time)
            | Self::Delay(_, _, time)
            | Self::FullDisk(_, time)
            | Self::HungDisk(_, time)
            | Self::Crowd(_, time) => Some(time),
            Self::Reset(_) | Self::Blackhole(_) | Self::BlackholeAll | Self::Exchange(_) => {
                Some(START_TIME)
            }
            Self::Hup(..)
            | Self::Reseed(_)
            | Self::Crash(_)
            | Self::Leave(_)
            | Self::Fail(..)
            | Self::Hang(..)
            | Self::Unresponsive(..)
            | Self::Shrink(..)
            | Self::Fatal(_)
            | Self::Publish
            | Self::Race
            | Self::Invalid => None,
        }
    }

    /// How long the fault itself lasts, without the time that processes need to start again.
    pub fn duration(self) -> Duration {
        const SHORT: Duration = Duration::from_millis(500);
        match self {
            Self::Kill(_, time)
            | Self::KillKeepers(time)
            | Self::KillMost(_, time)
            | Self::PowerLoss(_, time) => time,
            Self::KillAll | Self::Wipe(_) | Self::TornWrite(_) | Self::ClockSkew(..) => SHORT,
            Self::Reset(_) | Self::Blackhole(_) | Self::BlackholeAll | Self::Exchange(_) => {
                Duration::ZERO
            }
            _ => self.disturbance().unwrap_or_default(),
        }
    }
}

/// The size of a system; entries and upstreams are counted per zone.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub zones: usize,
    /// The number of keepers in each zone; they have the lowest indices of its instances.
    pub keepers: usize,
    pub entries: usize,
    pub upstreams: usize,
}

impl Size {
    /// The number of instances in a zone.
    pub fn instances(self) -> usize {
        self.keepers + self.entries
    }
}

/// Seeds below this one draw from fewer kinds of faults, so that they still give the plan with
/// which they failed before.
const FULL_SEED: u64 = 1_000;
/// From this seed on, upstreams state their start times and keep their ids when they restart.
pub const SAME_ID_SEED: u64 = 3_000;
/// From this seed on, entries are of unequal sizes, and all keepers are lost twice.
pub const UNEQUAL_SEED: u64 = 4_000;
/// From this seed on, the faults concern the configuration, and the run is [`super::config`]'s.
pub const CONFIG_SEED: u64 = 5_000;
/// Number of random values that select a fault, for a seed below [`FULL_SEED`].
const EARLY_CHOICES: u32 = 26;
/// Number of random values that select a fault, for all other seeds.
const CHOICES: u32 = 29;

/// The faults of one seed, with their times from the start, in ascending order.
pub fn plan(seed: u64, size: Size, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Gaps of up to twice this many milliseconds leave the system undisturbed at times; otherwise
    // successive faults overlap.
    let mean_gap = rng.random_range(300..1_500);
    let mut at = 0;
    let mut plan = Vec::new();
    let mut wiped = 0;
    let choices = if seed < FULL_SEED { EARLY_CHOICES } else { CHOICES };
    while at < duration.as_millis() as u64 {
        let fault = fault(&mut rng, size, choices, &mut wiped);
        plan.push((Duration::from_millis(at), fault));
        at += rng.random_range(0..2 * mean_gap);
    }
    if seed >= UNEQUAL_SEED {
        for part in 1..3 {
            let down = Duration::from_millis(rng.random_range(1_000..2_500));
            plan.push((duration / 3 * part, Fault::KillKeepers(down)));
        }
        plan.sort_by_key(|(at, _)| *at);
    }
    plan
}

/// Keys of the bootstrap files of the entries of one seed, taken in turn. Of the unequal ones, the
/// first bears the upstreams of its zone and the second one does not.
pub fn sizes(seed: u64) -> Vec<Value> {
    let sizes = [json!({"cpu_share": 0.3}), json!({"cpu_share": 0.004})];
    if (UNEQUAL_SEED..CONFIG_SEED).contains(&seed) { sizes.to_vec() } else { Vec::new() }
}

fn fault(rng: &mut SmallRng, size: Size, choices: u32, wiped: &mut u32) -> Fault {
    let instance = rng.random_range(0..size.zones * size.instances());
    let other = rng.random_range(0..size.zones * size.instances());
    let zone = rng.random_range(0..size.zones);
    let keeper = zone * size.instances() + rng.random_range(0..size.keepers);
    let upstream = rng.random_range(0..size.zones * size.upstreams);
    let time = Duration::from_millis(rng.random_range(100..4_000));
    let latency = Duration::from_millis(rng.random_range(5..120));
    match rng.random_range(0..choices) {
        0..=2 => Fault::Kill(instance, time / 2),
        3 | 4 => Fault::Term(instance),
        5 | 6 => Fault::Suspend(instance, time),
        7 => Fault::Hup(instance, rng.random_range(1..4)),
        8 => Fault::KillKeepers(time),
        9 => Fault::KillAll,
        // A plan wipes only one disk: a second one may be lost only after the first is repaired,
        // and only the system knows when that is.
        10 if *wiped == 0 => {
            *wiped += 1;
            Fault::Wipe(keeper)
        }
        10 | 11 => Fault::TornWrite(keeper),
        12 => Fault::BlockOneWay(instance, other, time),
        13 => Fault::Isolate(instance, time),
        14 => Fault::IsolateZone(zone, time),
        15 => Fault::Delay(instance, latency, time),
        16 => Fault::Reset(instance),
        17 => Fault::Blackhole(instance),
        18 => Fault::ClockSkew(instance, rng.random_range(-3_000..3_000)),
        19 => Fault::Crash(upstream),
        20 => Fault::Leave(upstream),
        21 => Fault::Fail(upstream, time),
        22 => Fault::Hang(upstream, time),
        23 => Fault::Unresponsive(upstream, time),
        24 => match rng.random_range(0..3) {
            0 => Fault::Race,
            _ => Fault::Invalid,
        },
        26 | 27 => Fault::Shrink(upstream, time),
        28 => Fault::Fatal(zone),
        _ => Fault::Publish,
    }
}

/// The faults of a run of configurations: series of faults that overlap, with calm times between.
/// Only one keeper loses its disk. Without `has_disks`, no disk is full or hangs.
pub fn config_plan(
    seed: u64,
    size: Size,
    duration: Duration,
    has_disks: bool,
) -> Vec<(Duration, Fault)> {
    /// Number of faults in a series.
    const SERIES: std::ops::Range<u32> = 1..5;
    /// Pause between two faults of a series, milliseconds.
    const GAP: u64 = 900;
    /// Pause between two series, milliseconds.
    const CALM: std::ops::Range<u64> = 2_000..9_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut at, mut plan, mut lost) = (0, Vec::new(), false);
    while at < duration.as_millis() as u64 {
        for _ in 0..rng.random_range(SERIES) {
            let fault = config_fault(&mut rng, size, &mut lost);
            let is_disk = matches!(fault, Fault::FullDisk(..) | Fault::HungDisk(..));
            if has_disks || !is_disk {
                plan.push((Duration::from_millis(at), fault));
            }
            at += rng.random_range(0..GAP);
        }
        at += rng.random_range(CALM);
    }
    plan
}

fn config_fault(rng: &mut SmallRng, size: Size, lost: &mut bool) -> Fault {
    let instance = rng.random_range(0..size.zones * size.instances());
    let other = rng.random_range(0..size.zones * size.instances());
    let zone = rng.random_range(0..size.zones);
    let keeper = zone * size.instances();
    let time = Duration::from_millis(rng.random_range(100..5_000));
    match rng.random_range(0..35) {
        0..=2 => Fault::Kill(instance, time / 2),
        3 => Fault::Kill(keeper, time / 2),
        4 => Fault::Term(instance),
        5 | 6 => Fault::Suspend(instance, time),
        7 | 8 => Fault::Suspend(keeper, time),
        9 => Fault::Hup(instance, rng.random_range(1..4)),
        10 => Fault::KillKeepers(time),
        11 => Fault::KillAll,
        12 | 13 => Fault::KillMost(zone, time),
        14 if !*lost => {
            *lost = true;
            Fault::Wipe(keeper)
        }
        15 if !*lost => {
            *lost = true;
            Fault::Exchange(keeper)
        }
        14..=16 => Fault::TornWrite(keeper),
        17 => Fault::BlockOneWay(instance, other, time),
        18 => Fault::BlockOneWay(keeper, other, time),
        19 => Fault::BlockOneWay(other, keeper, time),
        20 => Fault::Isolate(instance, time),
        21 => Fault::IsolateZone(zone, time),
        22 => Fault::Delay(instance, time / 40, time),
        23 => Fault::Reset(instance),
        24 => Fault::Blackhole(instance),
        25 => Fault::ClockSkew(instance, rng.random_range(-5_000..5_000)),
        26 => Fault::Reseed(rng.random_bool(0.5)),
        27 => Fault::FullDisk(keeper, time * 3),
        28 => Fault::HungDisk(keeper, time * 2),
        29 | 30 => Fault::PowerLoss(instance, time / 2),
        31 | 32 => Fault::PowerLoss(keeper, time / 2),
        33 => Fault::BlackholeAll,
        _ => Fault::Crowd(instance, time),
    }
}
