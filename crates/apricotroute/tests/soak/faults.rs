//! Carries out the faults of a plan.

use std::{
    fs,
    io::Write as _,
    path, sync, thread,
    time::{Duration, Instant},
};

use platform::standin;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde_json::json;

use super::{
    load,
    plan::Fault,
    play::{Runner, Step},
    verify::Disruption,
};
use crate::system::{TASK_CPU, UPSTREAM_CPU};

/// A process has ended this long after SIGTERM: its grace period of 6 s and a margin for a busy
/// machine.
const STOP_LIMIT: Duration = Duration::from_secs(8);

impl Runner {
    /// Whether an instance runs, is not suspended and has received no SIGTERM.
    pub fn is_up(&self, at: usize) -> bool {
        let pending = |(_, step): &(Instant, Step)| match step {
            Step::Start(other) | Step::Restart(other, _) | Step::Resume(other) => *other == at,
            _ => false,
        };
        self.system.instances[at].child.is_some() && !self.scheduled.iter().any(pending)
    }

    pub fn start(&mut self, at: usize) {
        if self.system.instances[at].is_removed {
            return;
        }
        self.disrupt(&[at], Duration::ZERO);
        self.system.start(at);
        self.launches.lock().unwrap()[at] = Some(self.system.instances[at].launches);
    }

    pub fn kill_each(&mut self, all: &[usize], down: Duration) {
        for at in all {
            let _killed = self.kill(*at, down);
        }
    }

    /// Kills an instance and schedules its restart after `down`; returns false if it is not up.
    pub fn kill(&mut self, at: usize, down: Duration) -> bool {
        if !self.is_up(at) {
            return false;
        }
        self.launches.lock().unwrap()[at] = None;
        self.system.kill(at);
        self.system.write_boot_file(at, false, &json!({}));
        self.scheduled.push((Instant::now() + down, Step::Start(at)));
        true
    }

    pub fn apply(&mut self, fault: Fault) {
        self.record(&format!("{fault:?}"));
        if let Some(time) = fault.disturbance() {
            let now = Instant::now();
            self.disturbed.push((now, now + time));
            let instances = self.affected(fault);
            self.disrupt(&instances, fault.duration());
        }
        let all: Vec<_> = (0..self.system.instances.len()).collect();
        match fault {
            Fault::Kill(at, down) => self.kill_each(&[at], down),
            Fault::KillKeepers(down) => {
                let keepers: Vec<_> = self.system.keepers().collect();
                self.kill_each(&keepers, down);
            }
            Fault::KillAll => self.kill_each(&all, Duration::from_millis(200)),
            Fault::Term(at) if self.is_up(at) => {
                self.system.signal(at, "-TERM");
                self.scheduled
                    .push((Instant::now(), Step::Restart(at, Instant::now() + STOP_LIMIT)));
            }
            Fault::Suspend(at, time) if self.is_up(at) => {
                self.system.signal(at, "-STOP");
                self.scheduled.push((Instant::now() + time, Step::Resume(at)));
            }
            Fault::Hup(at, times) if self.is_up(at) => {
                for _ in 0..times {
                    self.system.signal(at, "-HUP");
                }
            }
            Fault::Term(_) | Fault::Suspend(..) | Fault::Hup(..) => {}
            Fault::Wipe(at) => {
                if self.kill(at, Duration::from_millis(500)) {
                    fs::remove_dir_all(self.system.data_folder(at)).unwrap();
                }
            }
            Fault::TornWrite(at) => {
                if self.kill(at, Duration::from_millis(300)) {
                    self.tear_log(at);
                }
            }
            Fault::ClockSkew(at, offset) => {
                if self.kill(at, Duration::from_millis(100)) {
                    self.system.write_boot_file(at, false, &json!({"clock_offset_ms": offset}));
                }
            }
            Fault::BlockOneWay(from, to, time) => self.block(&[from], &[to], time),
            Fault::Isolate(at, time) => self.isolate(&[at], time),
            Fault::IsolateZone(zone, time) => {
                let inside: Vec<_> =
                    all.into_iter().filter(|at| self.system.instances[*at].zone == zone).collect();
                self.isolate(&inside, time);
            }
            Fault::Delay(at, latency, time) => {
                for to in all {
                    self.system.faults.set_delay(at, to, latency);
                }
                self.scheduled.push((Instant::now() + time, Step::EndDelay(at)));
            }
            Fault::Reset(at) => self.system.faults.reset(at),
            Fault::Blackhole(at) => self.system.faults.blackhole(at),
            Fault::Crash(upstream) => self.crash(upstream, Duration::from_millis(400)),
            Fault::Leave(upstream) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].leave();
                self.scheduled
                    .push((Instant::now() + Duration::from_secs(3), Step::EndLeave(upstream)));
            }
            Fault::Fail(upstream, time) => {
                self.set_behavior(upstream, standin::Behavior::Failing, time);
            }
            Fault::Hang(upstream, time) => {
                self.set_behavior(upstream, standin::Behavior::Hanging, time);
            }
            Fault::Unresponsive(upstream, time) => {
                self.set_behavior(upstream, standin::Behavior::Unresponsive, time);
            }
            Fault::Shrink(upstream, time) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].set_capacity(TASK_CPU);
                self.scheduled.push((Instant::now() + time, Step::RestoreRoom(upstream)));
            }
            Fault::Fatal(zone) => self.submit_fatal(zone),
            Fault::Publish => self.publish(1),
            Fault::Race => self.publish(2),
            Fault::Invalid => {
                let to = self.operators[self.rng.random_range(0..self.operators.len())];
                let observed = sync::Arc::clone(&self.observed);
                self.threads.push(thread::spawn(move || load::publish_invalid(&observed, to)));
            }
            _ => self.apply_outage(fault),
        }
    }

    pub fn run_step(&mut self, step: Step) {
        match step {
            Step::Release(at) => self.release_disk(at),
            Step::Disperse(at) => {
                self.crowds.remove(&at);
                self.system.instances[at].descriptors = None;
            }
            Step::Relist => {
                let keepers = self.system.keepers().map(|at| self.system.operator(at));
                *self.listed.lock().unwrap() = keepers.collect();
            }
            Step::Start(at) => self.start(at),
            Step::Restart(at, until) => self.restart(at, until),
            Step::Resume(at) => self.system.signal(at, "-CONT"),
            Step::Unblock(from, to) => self.system.faults.set_blocked(from, to, false),
            Step::EndDelay(at) => {
                for to in 0..self.system.instances.len() {
                    self.system.faults.set_delay(at, to, Duration::ZERO);
                }
            }
            Step::ResetBehavior(upstream) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].set_behavior(standin::Behavior::Healthy);
            }
            Step::RestoreRoom(upstream) => {
                let (at, _) = self.upstreams[upstream];
                self.system.upstreams[at].set_capacity(UPSTREAM_CPU);
            }
            Step::EndLeave(upstream) => self.crash(upstream, Duration::from_millis(400)),
            Step::Replace(upstream) => {
                let (at, earlier) = self.upstreams[upstream];
                let address = self.system.upstreams[at].address();
                self.upstreams[upstream] = (self.system.upstreams.len(), earlier + 1);
                let zone = upstream / self.size.upstreams;
                self.add_upstream(upstream, earlier + 1, zone, Some(address));
            }
        }
    }

    /// Starts an instance again once its process has ended after SIGTERM.
    fn restart(&mut self, at: usize, until: Instant) {
        let child = self.system.instances[at].child.as_mut().unwrap();
        match child.try_wait().unwrap() {
            Some(status) => {
                if !status.success() {
                    self.observed.record_violation(format!(
                        "instance {at} ended after SIGTERM with {status}"
                    ));
                }
                self.launches.lock().unwrap()[at] = None;
                self.system.write_boot_file(at, false, &json!({}));
                self.start(at);
            }
            None if Instant::now() > until => {
                self.observed
                    .record_violation(format!("instance {at} did not end in time after SIGTERM"));
                self.system.kill(at);
                self.start(at);
            }
            None => {
                let next = Instant::now() + Duration::from_millis(20);
                self.scheduled.push((next, Step::Restart(at, until)));
            }
        }
    }

    /// Appends the first part of a record to the newest file of a keeper's log, as after an
    /// unfinished write.
    fn tear_log(&mut self, at: usize) {
        let files =
            fs::read_dir(self.system.data_folder(at)).unwrap().map(|entry| entry.unwrap().path());
        let is_log =
            |path: &path::PathBuf| path.file_name().unwrap().to_string_lossy().starts_with("log-");
        let Some(newest) = files.filter(is_log).max() else { return };
        let bytes = fs::read(&newest).unwrap();
        // A record starts with its length; the header has 12 bytes.
        let Some(length) = bytes.first_chunk().map(|word| u32::from_le_bytes(*word)) else {
            return;
        };
        let torn = self.rng.random_range(1..12 + length as usize);
        let mut file = fs::OpenOptions::new().append(true).open(newest).unwrap();
        file.write_all(&bytes[..torn]).unwrap();
    }

    fn isolate(&mut self, inside: &[usize], time: Duration) {
        let all = 0..self.system.instances.len();
        let outside: Vec<_> = all.filter(|at| !inside.contains(at)).collect();
        self.block(inside, &outside, time);
        self.block(&outside, inside, time);
    }

    fn block(&mut self, from: &[usize], to: &[usize], time: Duration) {
        for a in from {
            for b in to.iter().filter(|b| *b != a) {
                self.system.faults.set_blocked(*a, *b, true);
                self.scheduled.push((Instant::now() + time, Step::Unblock(*a, *b)));
            }
        }
    }

    pub fn crash(&mut self, upstream: usize, down: Duration) {
        let replaced =
            |(_, step): &(Instant, Step)| matches!(step, Step::Replace(p) if *p == upstream);
        if self.scheduled.iter().any(replaced) {
            return;
        }
        let (at, _) = self.upstreams[upstream];
        self.system.upstreams[at].crash();
        self.scheduled.push((Instant::now() + down, Step::Replace(upstream)));
    }

    fn set_behavior(&mut self, upstream: usize, behavior: standin::Behavior, time: Duration) {
        let (at, _) = self.upstreams[upstream];
        self.system.upstreams[at].set_behavior(behavior);
        self.scheduled.push((Instant::now() + time, Step::ResetBehavior(upstream)));
    }

    /// Lets this many operators send different configurations under the next version.
    pub fn publish(&mut self, operators: u64) {
        let version = self.observed.next_version(self.rng.random_range(1..5));
        for mark in 0..operators {
            let (observed, to) = (sync::Arc::clone(&self.observed), self.operators.clone());
            let mut rng = SmallRng::seed_from_u64(self.rng.random());
            let config = load::config(version, mark);
            self.threads
                .push(thread::spawn(move || load::publish(&observed, &to, &config, &mut rng)));
        }
    }

    /// Records that instances are disrupted for this long.
    pub fn disrupt(&mut self, instances: &[usize], time: Duration) {
        let from = Instant::now();
        let instances = instances.to_vec();
        self.disruptions.push(Disruption { from, to: from + time, instances });
    }

    /// The instances that a fault disrupts.
    fn affected(&self, fault: Fault) -> Vec<usize> {
        match fault {
            Fault::KillKeepers(_) | Fault::KillMost(..) => self.system.keepers().collect(),
            Fault::KillAll | Fault::BlackholeAll => (0..self.system.instances.len()).collect(),
            Fault::IsolateZone(zone, _) => {
                let all = self.system.instances.iter().enumerate();
                all.filter(|(_, instance)| instance.zone == zone).map(|(at, _)| at).collect()
            }
            Fault::BlockOneWay(from, to, _) => vec![from, to],
            Fault::Kill(at, _)
            | Fault::PowerLoss(at, _)
            | Fault::Term(at)
            | Fault::Suspend(at, _)
            | Fault::Wipe(at)
            | Fault::TornWrite(at)
            | Fault::Isolate(at, _)
            | Fault::Delay(at, ..)
            | Fault::Reset(at)
            | Fault::Blackhole(at)
            | Fault::ClockSkew(at, _)
            | Fault::Exchange(at)
            | Fault::FullDisk(at, _)
            | Fault::HungDisk(at, _)
            | Fault::Crowd(at, _) => vec![at],
            _ => Vec::new(),
        }
    }
}
