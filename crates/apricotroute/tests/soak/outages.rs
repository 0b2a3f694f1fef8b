//! Carries out the faults of keepers' disks, of their set and of their resources.

use std::{
    fs, net,
    os::unix::fs::FileTypeExt as _,
    process, sync, thread,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use serde_json::json;

use super::{
    plan::Fault,
    play::{Runner, Step},
};

impl Runner {
    /// Applies a fault that [`Runner::apply`] leaves to this function.
    pub fn apply_outage(&mut self, fault: Fault) {
        match fault {
            Fault::KillMost(kept, down) => {
                let keepers: Vec<_> = self.system.keepers().collect();
                let kept = keepers[kept % keepers.len()];
                let others: Vec<_> = keepers.into_iter().filter(|at| *at != kept).collect();
                self.kill_each(&others, down);
            }
            Fault::PowerLoss(at, down) => {
                if self.is_up(at) {
                    self.system.faults.blackhole(at);
                    self.kill_each(&[at], down);
                }
            }
            Fault::BlackholeAll => {
                for at in 0..self.system.instances.len() {
                    self.system.faults.blackhole(at);
                }
            }
            Fault::Exchange(at) => self.exchange(at),
            Fault::Reseed(has_signal) => self.reseed(has_signal),
            Fault::FullDisk(at, time) => self.block_disk(at, "snapshot.draft", Disk::Full, time),
            Fault::HungDisk(at, time) => self.block_disk(at, "hints.draft", Disk::Hung, time),
            Fault::Crowd(at, time) => self.crowd(at, time),
            _ => unreachable!("{fault:?}"),
        }
    }

    /// Removes a keeper for good and adds an empty one. The operators' list lags.
    fn exchange(&mut self, at: usize) {
        const LAG: Duration = Duration::from_secs(3);
        if !self.is_up(at) {
            return;
        }
        self.launches.lock().unwrap()[at] = None;
        self.system.kill(at);
        self.system.instances[at].is_removed = true;
        let added = self.system.add_keeper(self.system.instances[at].zone);
        self.launches.lock().unwrap().push(Some(1));
        self.disrupt(&[added], Duration::ZERO);
        self.reseed(true);
        self.scheduled.push((Instant::now() + LAG, Step::Relist));
    }

    /// Writes all settings files again; with a signal, the processes read them at once.
    fn reseed(&mut self, has_signal: bool) {
        for at in 0..self.system.instances.len() {
            if self.system.instances[at].is_removed {
                continue;
            }
            let mut seeds: Vec<_> =
                self.system.keepers().map(|at| self.system.operator(at)).collect();
            let first = self.rng.random_range(0..seeds.len());
            seeds.rotate_left(first);
            self.system.write_boot_file(at, false, &json!({"seeds": seeds}));
            if has_signal && self.is_up(at) {
                self.system.signal(at, "-HUP");
            }
        }
    }

    /// Makes the writes of one file of a keeper fail or hang for some time.
    fn block_disk(&mut self, at: usize, file: &str, disk: Disk, time: Duration) {
        let path = self.system.data_folder(at).join(file);
        if !self.is_up(at) || self.blocked_files.contains_key(&at) {
            return;
        }
        // The process may be replacing the file at this moment.
        let made = match disk {
            Disk::Full => std::os::unix::fs::symlink("/dev/full", &path).is_ok(),
            Disk::Hung => {
                process::Command::new("mkfifo").arg(&path).status().is_ok_and(|s| s.success())
            }
        };
        if made {
            self.blocked_files.insert(at, path);
            self.scheduled.push((Instant::now() + time, Step::Release(at)));
        }
    }

    pub fn release_disk(&mut self, at: usize) {
        let Some(path) = self.blocked_files.remove(&at) else { return };
        if fs::symlink_metadata(&path).is_ok_and(|meta| meta.file_type().is_fifo()) {
            // A writer that waits for a reader goes on; without a writer nothing waits here.
            let options = fs::OpenOptions::new().read(true).write(true).open(&path);
            thread::sleep(Duration::from_millis(50));
            drop(options);
        }
        // A wiped disk has lost the file as well.
        drop(fs::remove_file(path));
    }

    /// Restarts an instance with few descriptors and takes most of them with idle connections.
    fn crowd(&mut self, at: usize, time: Duration) {
        const DESCRIPTORS: u32 = 160;
        const CONNECTIONS: usize = 200;
        if !self.kill(at, Duration::from_millis(100)) {
            return;
        }
        self.system.instances[at].descriptors = Some(DESCRIPTORS);
        let is_keeper = self.system.instances[at].is_keeper;
        let to = if is_keeper { self.system.operator(at) } else { self.system.client(at) };
        let crowd = sync::Arc::new(());
        let held = sync::Arc::downgrade(&crowd);
        self.crowds.insert(at, crowd);
        self.scheduled.push((Instant::now() + time, Step::Disperse(at)));
        self.threads.push(thread::spawn(move || {
            let mut streams = Vec::new();
            while held.strong_count() > 0 {
                if streams.len() < CONNECTIONS
                    && let Ok(stream) = net::TcpStream::connect(to)
                {
                    streams.push(stream);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }));
    }
}

/// How a disk fails.
#[derive(Clone, Copy, Debug)]
enum Disk {
    Full,
    Hung,
}
