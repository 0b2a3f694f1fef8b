//! Runs the plan of a seed while operators change the configuration, and loses all processes and
//! one disk at the end.

use std::{
    collections, fs, sync, thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use super::{
    content::{OTHER_SERVICE, Scope},
    orders::{self, Ledger},
    plan::{self, Fault, Size},
    play::Runner,
    probes::{self, Seen},
    verify,
};
use crate::system;

/// The configuration is read back this long after all processes are back at the latest, and
/// entries serve its routes.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// How long the configuration is read back after that.
const READ_BACK_TIME: Duration = verify::CONTACT_TIME;
/// An instance no longer counts as lost this long after it is back.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);
/// Number of operators that send changes, and of those that read.
const OPERATORS: u64 = 2;
const READERS: u64 = 2;
/// Number of upstreams of the second service in each zone.
const OTHER_UPSTREAMS: usize = 2;
/// Variable with the known faults to look past: `numbers`, `unused`, `disks`, separated by commas.
const LOOK_PAST_VARIABLE: &str = "SOAK_LOOK_PAST";

/// The sizes of the systems, taken in turn.
const SIZES: [Size; 3] = [
    Size { zones: 3, keepers: 1, entries: 2, upstreams: 2 },
    Size { zones: 4, keepers: 1, entries: 2, upstreams: 2 },
    Size { zones: 3, keepers: 1, entries: 3, upstreams: 2 },
];

fn looks_past(fault: &str) -> bool {
    std::env::var(LOOK_PAST_VARIABLE).is_ok_and(|list| list.split(',').any(|one| one == fault))
}

/// Runs the plan of a seed and checks the rules for configurations.
///
/// # Panics
///
/// If a rule is violated.
pub fn run(subnet: u8, seed: u64, duration: Duration) {
    let size = SIZES[seed as usize % SIZES.len()];
    let mut runner = Runner::new(subnet, seed, size);
    let scope =
        Scope { long_numbers: !looks_past("numbers"), unused_fields: !looks_past("unused") };
    let keepers = sync::Arc::clone(&runner.listed);
    let mut run = Run {
        ledger: sync::Arc::new(Ledger::new(seed, scope, keepers)),
        probes: sync::Arc::default(),
        other_upstreams: Vec::new(),
        rng: SmallRng::seed_from_u64(seed ^ 0xc0f1),
    };
    run.prepare(&mut runner, size);
    run.start_load(&mut runner, seed);
    let start = Instant::now();
    let faults = plan::config_plan(seed, size, duration, !looks_past("disks"));
    let is_repair = |fault: &Fault| matches!(fault, Fault::Wipe(_) | Fault::Exchange(_));
    let is_outage = |fault: &Fault| {
        matches!(fault, Fault::KillAll | Fault::KillKeepers(_) | Fault::KillMost(..))
    };
    let has = |check: &dyn Fn(&Fault) -> bool| faults.iter().any(|(_, fault)| check(fault));
    let calm = match (has(&is_repair), has(&is_outage)) {
        (false, _) => verify::CONTACT_TIME,
        (true, false) => CATCH_UP_LIMIT,
        // While more is lost than is tolerated, a disk need not be repaired.
        (true, true) => RECOVERY_LIMIT,
    };
    for (at, fault) in faults {
        runner.wait(start + at);
        runner.apply(fault);
    }
    runner.wait(start + duration);
    runner.end_faults();
    runner.wait(Instant::now() + calm);
    run.lose_power(&mut runner);
    run.read_back(&mut runner);
    run.finish(runner, seed);
}

struct Run {
    ledger: sync::Arc<Ledger>,
    probes: sync::Arc<sync::Mutex<Vec<probes::Probe>>>,
    /// The indices of the upstreams of the second service in the system.
    other_upstreams: Vec<usize>,
    rng: SmallRng,
}

impl Run {
    fn prepare(&mut self, runner: &mut Runner, size: Size) {
        for zone in 0..size.zones {
            for number in 0..size.upstreams {
                runner.system.add_upstream(&format!("a-{zone}-{number}"), zone, None);
            }
            for number in 0..OTHER_UPSTREAMS {
                self.other_upstreams.push(runner.system.upstreams.len());
                let id = format!("b-{zone}-{number}");
                runner.system.add_upstream_of(OTHER_SERVICE, &id, zone, None, None);
            }
        }
        orders::publish_first(&self.ledger, &mut self.rng);
        runner.system.wait_ready();
    }

    fn start_load(&mut self, runner: &mut Runner, seed: u64) {
        for number in 0..OPERATORS {
            let (ledger, seed) = (sync::Arc::clone(&self.ledger), seed * 100 + number);
            runner.threads.push(thread::spawn(move || orders::run_operator(&ledger, seed)));
        }
        for number in 0..READERS {
            let (ledger, seed) = (sync::Arc::clone(&self.ledger), seed * 100 + 50 + number);
            runner.threads.push(thread::spawn(move || orders::run_reader(&ledger, seed)));
        }
        for at in runner.system.entries().collect::<Vec<_>>() {
            let (ledger, probes) = (sync::Arc::clone(&self.ledger), sync::Arc::clone(&self.probes));
            let launches = sync::Arc::clone(&runner.launches);
            let entry = (at, runner.system.client(at));
            let mut rng = SmallRng::seed_from_u64(seed * 100 + at as u64);
            runner.threads.push(thread::spawn(move || {
                probes::run(&ledger, &probes, entry, &mut rng, &|at| launches.lock().unwrap()[at]);
            }));
        }
    }

    /// Lets the final fault follow an acknowledgement at once: all processes or only the keepers
    /// are killed, one keeper loses its disk or none, and all start again within a second.
    fn lose_power(&mut self, runner: &mut Runner) {
        let newest = |ledger: &Ledger| ledger.newest().map_or(0, |(sent, _)| sent.content.version);
        let before = newest(&self.ledger);
        let until = Instant::now() + RECOVERY_LIMIT;
        while newest(&self.ledger) == before && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        let keepers: Vec<_> = runner.system.keepers().collect();
        let lost = keepers[self.rng.random_range(0..keepers.len())];
        let acknowledged = newest(&self.ledger);
        let killed: Vec<_> = match self.rng.random_range(0..8) {
            0 => vec![lost],
            1 => keepers,
            _ => (0..runner.system.instances.len())
                .filter(|at| !runner.system.instances[*at].is_removed)
                .collect(),
        };
        for at in &killed {
            runner.launches.lock().unwrap()[*at] = None;
        }
        runner.system.kill_at_once(&killed);
        self.ledger.quiet.store(true, sync::atomic::Ordering::SeqCst);
        let keeps_disks = self.rng.random_range(0..8) == 0;
        if !keeps_disks {
            fs::remove_dir_all(runner.system.data_folder(lost)).unwrap();
        }
        let down = Duration::from_millis(self.rng.random_range(0..900));
        // After a final fault of most keepers instances count as connected later than usual.
        let is_keeper = |at: &&usize| runner.system.instances[**at].is_keeper;
        let is_core = killed.iter().filter(is_keeper).count() * 2 > runner.system.keepers().count();
        let more = if is_core { verify::CONTACT_TIME } else { Duration::ZERO };
        runner.disrupt(&killed, down + more);
        runner.record(&format!(
            "{killed:?} are killed after {acknowledged} was acknowledged; the disk of keeper {lost} \
             is lost: {}",
            !keeps_disks
        ));
        thread::sleep(down);
        for at in killed {
            runner.system.write_boot_file(at, false, &serde_json::json!({}));
            runner.start(at);
        }
        runner.record("all are started");
    }

    /// Reads the configuration back from all keepers, and requests its routes from all entries.
    fn read_back(&self, runner: &mut Runner) {
        let started = Instant::now();
        let Some((newest, _)) = self.ledger.newest() else {
            return self.ledger.violate("nothing was acknowledged".to_owned());
        };
        let keepers: Vec<_> =
            runner.system.keepers().map(|at| runner.system.operator(at)).collect();
        let mut entries: Vec<_> = runner.system.entries().collect();
        // A later change that was not acknowledged may be in force.
        let mut later = orders::changes(&self.ledger);
        later.retain(|(sent, _)| sent.content.version > newest.content.version);
        let is_kept =
            |prefix: &&String| later.iter().all(|(_, routes)| routes.contains_key(*prefix));
        let prefix = newest.content.routes.keys().find(is_kept).unwrap().clone();
        let (agent, mut read_after) = (system::agent(), None);
        let is_served = |at: &usize| {
            let seen = probes::request(&agent, runner.system.client(*at), &prefix);
            seen == Some(Seen::Served)
        };
        let mut answered = collections::BTreeSet::new();
        while started.elapsed() < RECOVERY_LIMIT
            && (answered.len() < keepers.len() || !entries.is_empty())
        {
            for keeper in &keepers {
                if orders::read(&self.ledger, *keeper) >= Some(newest.content.version) {
                    read_after.get_or_insert(started.elapsed());
                    answered.insert(*keeper);
                }
            }
            entries.retain(|at| !is_served(at));
            thread::sleep(Duration::from_millis(50));
        }
        let took = started.elapsed();
        runner.record(&format!(
            "read back after {read_after:?}, all after {took:?}: {} of {} keepers answered",
            answered.len(),
            keepers.len()
        ));
        if read_after.is_none() {
            let version = newest.content.version;
            self.ledger.violate(format!("version {version} is not read back"));
        }
        if !entries.is_empty() {
            self.ledger.violate(format!("entries {entries:?} do not serve {prefix}"));
        }
        let since = Instant::now();
        runner.wait(since + READ_BACK_TIME);
        if !self.ledger.reads.lock().unwrap().iter().any(|read| read.sent >= since) {
            self.ledger.violate("no keeper answers a read at the end".to_owned());
        }
    }

    fn finish(self, mut runner: Runner, seed: u64) {
        self.ledger.stopped.store(true, sync::atomic::Ordering::SeqCst);
        for thread in runner.threads.drain(..) {
            thread.join().unwrap();
        }
        let mut services = collections::BTreeMap::new();
        for (at, upstream) in runner.system.upstreams.iter().enumerate() {
            let is_other = self.other_upstreams.contains(&at);
            let service = if is_other { OTHER_SERVICE } else { system::SERVICE };
            for run in upstream.history() {
                let id = run.task.split('.').next().unwrap_or_default().to_owned();
                services.insert(id, service);
            }
        }
        let reads = verify::check_reads(&self.ledger);
        // A keeper that was removed counts as a disruption only while it was there.
        let keepers: Vec<_> = runner.system.keepers().collect();
        let history = verify::History { disruptions: &runner.disruptions, keepers: &keepers };
        let probes = self.probes.lock().unwrap();
        let service = |id: &str| services.get(id).copied();
        let bounded = verify::check_probes(&self.ledger, &probes, &history, &service);
        let sent = self.ledger.sent.lock().unwrap();
        let acknowledged = sent.iter().filter(|sent| sent.acknowledged.is_some()).count();
        let summary = format!(
            "{} sent, {acknowledged} acknowledged, {reads} reads, {} probes of which {bounded} had \
             a bound; {}",
            sent.len(),
            probes.len(),
            runner.timeline.last().cloned().unwrap_or_default()
        );
        let mut violations = self.ledger.violations.lock().unwrap().clone();
        violations.extend(runner.observed.violations.lock().unwrap().iter().cloned());
        drop(sent);
        drop(probes);
        runner.report(seed, &summary, &violations);
    }
}
