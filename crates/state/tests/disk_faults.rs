//! A data folder on a disk that fails and loses power, or whose process is killed, at any operation:
//! the folder always opens and holds all records that were confirmed.

mod disk;

use std::{path, sync};

use rand::{RngExt as _, SeedableRng as _, rngs};
use state::folder::{Folder, Loaded};

const INSTANCE: &str = "west-1";

/// An instance that stores numbered records, each of which has random content.
struct Keeper {
    disk: disk::Disk,
    rng: rngs::SmallRng,
    loses_power: bool,
    folder: Option<Folder>,
    incarnation: Option<u64>,
    /// All records that may be in the folder.
    issued: Vec<Vec<u8>>,
    /// How many of the records must be in the folder.
    confirmed: usize,
    /// Whether all issued records are stored by a compaction.
    compacts: bool,
}

fn number(record: &[u8]) -> usize {
    u64::from_le_bytes(record[..8].try_into().unwrap()) as usize
}

fn snapshot(records: &[Vec<u8>]) -> Vec<u8> {
    records.concat()
}

/// Splits a snapshot into its records, each of which states its length after its number.
fn split(mut state: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while !state.is_empty() {
        let length = u64::from_le_bytes(state[8..16].try_into().unwrap()) as usize;
        let (record, rest) = state.split_at(length);
        records.push(record.to_vec());
        state = rest;
    }
    records
}

/// The records in a folder; a record that is written again has no effect.
fn contents(loaded: &Loaded) -> Vec<Vec<u8>> {
    let mut records = split(loaded.snapshot.as_deref().unwrap_or_default());
    for record in &loaded.records {
        assert!(number(record) <= records.len(), "no record may be missing");
        if number(record) == records.len() {
            records.push(record.clone());
        }
    }
    records
}

impl Keeper {
    fn new(seed: u64, loses_power: bool) -> Self {
        Self {
            disk: disk::Disk::new(seed),
            loses_power,
            rng: rngs::SmallRng::seed_from_u64(!seed),
            folder: None,
            incarnation: None,
            issued: Vec::new(),
            confirmed: 0,
            compacts: false,
        }
    }

    fn issue(&mut self, count: usize) {
        for _ in 0..count {
            let limit = [40_usize, 600, 3_000][self.rng.random_range(0..3)];
            let length = 16 + self.rng.random_range(0..limit);
            let mut record = (self.issued.len() as u64).to_le_bytes().to_vec();
            record.extend((length as u64).to_le_bytes());
            let fill = self.rng.random_bool(0.2);
            record.resize_with(length, || if fill { 0 } else { self.rng.random() });
            self.issued.push(record);
        }
    }

    /// Tries once to store all records that were issued.
    fn store(&mut self) {
        let Some(folder) = &mut self.folder else { return };
        let pending = self.issued[self.confirmed..].iter().map(Vec::as_slice);
        let stored = if self.compacts {
            let kept = self.rng.random_range(0..=self.issued.len().min(3));
            let (old, new) = self.issued.split_at(self.issued.len() - kept);
            folder.compact(&snapshot(old), new.iter().map(Vec::as_slice))
        } else {
            folder.append(pending)
        };
        if stored.is_ok() {
            self.confirmed = self.issued.len();
            self.compacts = false;
        }
    }

    fn open(&mut self) {
        let incarnation = self.rng.random::<u32>().into();
        let path = path::Path::new(disk::ROOT).join("data").join("node");
        let disk = sync::Arc::new(self.disk.clone());
        let opened = Folder::open_on(disk, &path, &INSTANCE.into(), incarnation);
        if self.disk.has_stopped() {
            return;
        }
        let (folder, loaded) = opened.unwrap();
        let found = contents(&loaded);
        assert!(found.len() >= self.confirmed, "{} of {} records", found.len(), self.confirmed);
        assert!(self.issued.starts_with(&found), "each record is the one that was issued");
        assert!(self.incarnation.is_none_or(|known| known == loaded.incarnation));
        self.incarnation = Some(loaded.incarnation);
        self.issued = found;
        self.confirmed = self.issued.len();
        self.compacts = false;
        self.folder = Some(folder);
    }

    fn restart_and_open(&mut self) {
        while self.folder.is_none() || self.disk.has_stopped() {
            self.restart();
            self.open();
        }
    }

    /// Restarts after the process was killed or the machine lost power.
    fn restart(&mut self) {
        self.folder = None;
        if self.loses_power && self.rng.random_bool(0.5) {
            self.disk.lose_power();
        } else {
            self.disk.restart();
        }
        if self.rng.random_bool(0.3) {
            let operations = self.rng.random_range(1..20);
            self.disk.stop_after(operations);
        }
    }

    fn step(&mut self) {
        if self.disk.has_stopped() || self.rng.random_bool(0.05) {
            self.restart();
        }
        if self.folder.is_none() {
            return self.open();
        }
        match self.rng.random_range(0..20) {
            0 => self.disk.set_failures([0.1, 0.5, 0.9][self.rng.random_range(0..3)]),
            1..4 => self.disk.set_failures(0.0),
            4 => self.disk.stop_after(self.rng.random_range(1..40)),
            5 => drop(self.folder.as_ref().map(|folder| folder.set_hints(b"known peers"))),
            6..8 => self.compacts = true,
            _ => {
                let count = [1, 1, 2, 5][self.rng.random_range(0..4)];
                self.issue(count);
            }
        }
        if self.confirmed < self.issued.len() || self.compacts {
            self.store();
        }
    }
}

/// Plays random runs and returns how many records were stored on average.
fn play(loses_power: bool) -> usize {
    const RUNS: u64 = 120;
    const STEPS: usize = 200;
    let mut stored = 0;
    for seed in 0..RUNS {
        let run = std::panic::catch_unwind(|| {
            let mut keeper = Keeper::new(seed, loses_power);
            for _ in 0..STEPS {
                keeper.step();
            }
            keeper.restart();
            keeper.restart_and_open();
            keeper.confirmed
        });
        stored += run.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    stored / RUNS as usize
}

#[test]
fn failing_or_killed() {
    assert!(play(false) > 60);
}

/// Opens the folder of a keeper and returns the number of its records.
fn record_count(disk: &disk::Disk) -> usize {
    let path = path::Path::new(disk::ROOT).join("data").join("node");
    let opened = Folder::open_on(sync::Arc::new(disk.clone()), &path, &INSTANCE.into(), 7);
    opened.unwrap().1.records.len()
}

/// After a loss of power, a folder must still be in the folders that were created for it.
#[test]
fn new_folder() {
    for seed in 0..50 {
        let mut keeper = Keeper::new(seed, true);
        keeper.open();
        keeper.issue(1);
        keeper.store();
        assert_eq!(keeper.confirmed, 1);
        keeper.disk.lose_power();
        assert_eq!(record_count(&keeper.disk), 1, "seed {seed}");
    }
}

/// A record that a process has read must outlast a loss of power, even if the process that wrote it
/// was killed before the sync.
#[test]
fn killed_before_sync() {
    for seed in 0..50 {
        let mut keeper = Keeper::new(seed, true);
        keeper.open();
        keeper.issue(1);
        keeper.disk.stop_after(1);
        keeper.store();
        keeper.disk.restart();
        assert_eq!((keeper.confirmed, record_count(&keeper.disk)), (0, 1));
        keeper.disk.lose_power();
        assert_eq!(record_count(&keeper.disk), 1, "seed {seed}");
    }
}

#[test]
fn power_lost() {
    assert!(play(true) > 30);
}
