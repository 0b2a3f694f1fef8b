//! Trials with real processes: `cargo bench --bench trials -- NAME...`; without names, all trials
//! run. Each trial prints rows of `docs/design/measurements.md`. A baseline runs directly before
//! the variant that is compared with it.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{fs, process, thread, time};

use harness::{
    Cluster, ClusterConfig, SERVICE, eventually, job, new_job_id, sleep_ms, upstream::Process,
};
use serde_json::{Value, json};

/// Number of upstreams in a trial.
const UPSTREAMS: u32 = 12;
/// Number of slots of each upstream.
const SLOTS: u32 = 8;
/// Service time of most tasks.
const SERVICE_MS: f64 = 50.0;
/// One task in this many takes ten times the service time.
const TAIL: u32 = 100;
/// Mean service time: the slow hundredth of the tasks makes it 1.09 times the service time.
const MEAN_MS: f64 = SERVICE_MS * 1.09;
/// Mean number of tasks per job; a job has 1 to 8 tasks.
const MEAN_TASKS: f64 = 4.5;

fn main() {
    let all: &[(&str, fn())] = &[
        ("idle", idle),
        ("memory", memory),
        ("path", response_time),
        ("starts", start_rate),
        ("admission", journal_delay),
        ("failover", failover),
        ("settings", settings),
        ("steady", steady),
        ("burst", burst),
        ("hole", failing_upstream),
        ("overload", overload),
        ("die", upstream_crash),
        ("slow", slow_upstream),
        ("lost", instance_loss),
        ("flood", flood),
        ("cancel", cancel),
        ("retry", retry),
    ];
    let wanted: Vec<_> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (name, trial) in all {
        if wanted.is_empty() || wanted.iter().any(|wanted| wanted == name) {
            println!("\n## {name}");
            trial();
        }
    }
}

/// The processes of one trial run: instances and upstreams.
struct Run {
    cluster: Cluster,
    upstreams: Vec<Process>,
}

impl Run {
    /// Starts `instances` instances, with the trial settings `trial`, and the upstreams.
    fn new(instances: usize, trial: &Value, options: &[&str]) -> Self {
        Self::with_config(
            ClusterConfig::new(instances).with_extra(json!({"trial": trial, "log": {}})),
            options,
        )
    }

    /// Starts the instances of `config` and the upstreams. `options` holds command-line options of
    /// the upstreams; they replace the defaults.
    fn with_config(config: ClusterConfig, options: &[&str]) -> Self {
        let cluster = config.start();
        cluster.create_service();
        let (count, slots) = (UPSTREAMS.to_string(), SLOTS.to_string());
        let (time, tail) = (SERVICE_MS.to_string(), TAIL.to_string());
        let defaults =
            [("--count", &count), ("--slots", &slots), ("--service-ms", &time), ("--tail", &tail)];
        let mut arguments = options.to_vec();
        for (key, value) in defaults {
            if !options.contains(&key) {
                arguments.extend([key, value]);
            }
        }
        let all: Vec<_> = (0..cluster.instances.len()).collect();
        let upstreams = vec![cluster.start_upstream("u", "west", &all, &arguments)];
        cluster.wait_upstreams("west", UPSTREAMS as usize);
        Self { cluster, upstreams }
    }

    /// Runs the load generator against the instances `to` and returns its report.
    fn load(&self, to: &[usize], rate: f64, seconds: u64, options: &[&str]) -> Value {
        let list = |address: &dyn Fn(usize) -> String, at: &[usize]| {
            at.iter().map(|at| address(*at)).collect::<Vec<_>>().join(",")
        };
        let instances = &self.cluster.instances;
        let running: Vec<_> =
            (0..instances.len()).filter(|at| instances[*at].child.is_some()).collect();
        let output = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["load", "--to", &list(&|at| instances[at].client.to_string(), to)])
            .args(["--operator", &list(&|at| instances[at].operator.to_string(), &running)])
            .args(["--rate", &rate.to_string(), "--seconds", &seconds.to_string()])
            .args(if options.contains(&"--ideal-ms") {
                &[] as &[&str]
            } else {
                &["--ideal-ms", "50"]
            })
            .args(options)
            .output()
            .unwrap();
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| {
            panic!("{}", String::from_utf8_lossy(&output.stderr));
        })
    }

    /// Returns the indices of all instances.
    fn all(&self) -> Vec<usize> {
        (0..self.cluster.instances.len()).collect()
    }
}

/// Returns the jobs per second that keep the fraction `utilization` of all slots busy.
fn rate(utilization: f64) -> f64 {
    utilization * f64::from(UPSTREAMS * SLOTS) / (MEAN_MS / 1_000.0) / MEAN_TASKS
}

/// Load options for jobs of 1 to 8 tasks.
const JOBS: &[&str] = &["--tasks", "1", "--spread", "7"];

/// Prints the table row of one load report.
fn row(label: &str, report: &Value) {
    let over = &report["over_ideal_ms"];
    let number = |value: &Value| format!("{:.2}", value.as_f64().unwrap_or(f64::NAN));
    println!(
        "| {label} | {} | {} | {} | {} | {} | {} | {} | {} |",
        report["states"],
        report["useful_tasks"],
        number(&over["p50"]),
        number(&over["p90"]),
        number(&over["p99"]),
        number(&report["peer_messages_per_task"]),
        number(&report["peer_bytes_per_task"]),
        report["counters"],
    );
}

/// Prints the table header that fits [`row`].
fn header() {
    println!(
        "| run | states | useful tasks | over ideal p50 ms | p90 ms | p99 ms | messages/task | bytes/task | counters |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
}

/// Returns empty trial settings, which leave all defaults of the product in force.
fn defaults() -> Value {
    json!({})
}

/// Returns the CPU time of a process in seconds and its resident memory in megabytes.
fn usage(pid: u32) -> (f64, f64) {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|field| field.parse::<f64>().unwrap()).sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let rss = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    let kb: f64 = rss.split_whitespace().nth(1).unwrap().parse().unwrap();
    (ticks / TICKS_PER_SECOND, kb / 1_024.0)
}

/// Returns the numbers of messages and bytes that an instance has sent to its peers.
fn peer_traffic(cluster: &Cluster, at: usize) -> (f64, f64) {
    let url = format!("http://{}/metrics", cluster.instances[at].operator);
    let text = ureq::get(url).call().unwrap().into_body().read_to_string().unwrap();
    let sum = |name: &str| -> f64 {
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    (sum("apricotroute_peer_messages_total"), sum("apricotroute_peer_bytes_total"))
}

/// Resource usage of an idle instance, by number of instances, upstreams and services.
fn idle() {
    const SECONDS: f64 = 10.0;
    println!(
        "| instances | zones | upstreams | services | cpu % of a core | memory MB | messages/s | bytes/s sent |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let one: &[(&str, usize)] = &[("west", 3)];
    let two: &[(&str, usize)] = &[("west", 3), ("mid", 3)];
    let three: &[(&str, usize)] = &[("west", 3), ("mid", 3), ("east", 3)];
    let cases =
        [(one, 0, 1), (one, 12, 1), (one, 48, 1), (one, 0, 200), (two, 0, 1), (three, 0, 1)];
    for (zones, upstreams, services) in cases {
        let cluster = ClusterConfig::with_zones(zones).with_extra(json!({"log": {}})).start();
        cluster.create_service();
        for number in 1..services {
            let (status, _) =
                cluster.change_settings(0, &format!("s{number}"), &json!({"values": {}}));
            assert_eq!(status, 200);
        }
        let count = upstreams.to_string();
        let _upstreams = (upstreams > 0).then(|| {
            let process = cluster.start_upstream("u", "west", &[0, 1, 2], &["--count", &count]);
            cluster.wait_upstreams("west", upstreams);
            process
        });
        sleep_ms(2_000);
        let pids: Vec<_> =
            cluster.instances.iter().map(|n| n.child.as_ref().unwrap().id()).collect();
        let all: Vec<_> = (0..pids.len()).collect();
        let before: Vec<_> =
            all.iter().map(|at| (usage(pids[*at]), peer_traffic(&cluster, *at))).collect();
        sleep_ms((SECONDS * 1_000.0) as u64);
        // Each column is the maximum over the instances, since leaders use the most resources.
        let mut worst = [0.0_f64; 4];
        for at in all {
            let ((cpu, _), (messages, bytes)) = before[at];
            let ((cpu_now, memory), (messages_now, bytes_now)) =
                (usage(pids[at]), peer_traffic(&cluster, at));
            let values = [
                (cpu_now - cpu) / SECONDS * 100.0,
                memory,
                (messages_now - messages) / SECONDS,
                (bytes_now - bytes) / SECONDS,
            ];
            for (worst, value) in worst.iter_mut().zip(values) {
                *worst = worst.max(value);
            }
        }
        println!(
            "| {} | {} | {upstreams} | {services} | {:.2} | {:.1} | {:.1} | {:.0} |",
            pids.len(),
            zones.len(),
            worst[0],
            worst[1],
            worst[2],
            worst[3]
        );
    }
}

/// Memory usage per remembered job.
fn memory() {
    println!("| jobs of one task | remembered | memory MB of each instance |\n|---|---|---|");
    let run = Run::new(3, &defaults(), &["--tail", "0", "--service-ms", "5"]);
    let pids: Vec<_> =
        run.cluster.instances.iter().map(|n| n.child.as_ref().unwrap().id()).collect();
    for seconds in [1, 10, 10, 10] {
        let report = run.load(&run.all(), 1_000.0, seconds, &["--ideal-ms", "5"]);
        let resident: Vec<_> = pids.iter().map(|pid| format!("{:.1}", usage(*pid).1)).collect();
        let status = run.cluster.status(0);
        println!(
            "| {} | {} | {} |",
            report["useful_tasks"],
            status["remembered"],
            resident.join(" ")
        );
    }
}

/// Response time of single-task jobs and of idempotent requests while half of the slots are busy,
/// with three seeds.
fn response_time() {
    header();
    let run = Run::new(3, &defaults(), &["--tail", "0"]);
    let rate = 0.5 * f64::from(UPSTREAMS * SLOTS) / (SERVICE_MS / 1_000.0);
    for seed in ["1", "2", "3"] {
        let report = run.load(&run.all(), rate, 5, &["--seed", seed]);
        row(&format!("jobs of one task, {rate:.0}/s, seed {seed}"), &report);
    }
    for seed in ["1", "2", "3"] {
        let report = run.load(&run.all(), rate, 5, &["--seed", seed, "--idempotent"]);
        row(&format!("idempotent requests, {rate:.0}/s, seed {seed}"), &report);
    }
    drop(run.upstreams);
}

/// Task starts per second that one instance sustains.
fn start_rate() {
    println!("jobs of 20 tasks of 20 ms at one instance of one; 12 upstreams of 64 slots");
    header();
    let options = ["--tail", "0", "--slots", "64", "--service-ms", "20"];
    let run = Run::new(1, &defaults(), &options);
    for tasks in [1_000, 2_000, 4_000, 6_000, 8_000, 10_000, 12_000] {
        let rate = f64::from(tasks) / 20.0;
        let report = run.load(&[0], rate, 4, &["--tasks", "20", "--ideal-ms", "20"]);
        row(&format!("{tasks} starts/s"), &report);
    }
}

/// Delay that the journal adds: jobs of one task and of 20 tasks compared with requests that skip
/// the journal, jobs without copies of the answer, and commits synced to disk by a majority.
fn journal_delay() {
    header();
    let run = Run::new(3, &defaults(), &["--tail", "0"]);
    let all = run.all();
    for seed in ["1", "2", "3"] {
        let direct = run.load(&all, 100.0, 4, &["--idempotent", "--seed", seed]);
        row(&format!("no journal (idempotent requests), seed {seed}"), &direct);
        row(
            &format!("per task (jobs of 1), seed {seed}"),
            &run.load(&all, 100.0, 4, &["--seed", seed]),
        );
        let jobs = run.load(&all, 5.0, 4, &["--tasks", "20", "--seed", seed]);
        row(&format!("per job (jobs of 20), seed {seed}"), &jobs);
    }
    let (_, body) =
        run.cluster.change_settings(0, SERVICE, &json!({"values": {"answer_copies": 0}}));
    run.cluster.wait_version(body["version"].as_u64().unwrap());
    for seed in ["1", "2", "3"] {
        let jobs = run.load(&all, 100.0, 4, &["--seed", seed]);
        row(&format!("per task, no copy of the answer, seed {seed}"), &jobs);
    }
    let mut times: Vec<_> = (0..100)
        .map(|_| {
            let start = time::Instant::now();
            assert_eq!(run.cluster.change_settings(0, "synced", &json!({"values": {}})).0, 200);
            start.elapsed().as_secs_f64() * 1_000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!(
        "\na commit synced by a majority (100 settings changes): p50 {:.2} ms, p99 {:.2} ms",
        times[50], times[98]
    );
}

/// Time until the next job, or settings change, is accepted after an instance was killed, and until
/// the next job is accepted after a network partition.
fn failover() {
    let accept_ms = |cluster: &Cluster, at: usize| {
        let start = time::Instant::now();
        let served = || cluster.submit(at, &job(&new_job_id("west"), 1, 5_000)).0 == 200;
        assert!(eventually(20_000, served));
        start.elapsed().as_millis()
    };
    let mut rows = Vec::new();
    for _ in 0..5 {
        let mut run = Run::new(3, &defaults(), &["--tail", "0"]);
        let leader = run.cluster.leader("journal west").unwrap();
        let other = (leader + 1) % 3;
        run.cluster.kill(leader);
        let journal_ms = accept_ms(&run.cluster, other);
        run.cluster.start(leader);
        run.cluster.wait_ready();
        let follower = (run.cluster.leader("journal west").unwrap() + 1) % 3;
        run.cluster.kill(follower);
        let follower_ms = accept_ms(&run.cluster, (follower + 1) % 3);
        run.cluster.start(follower);
        run.cluster.wait_ready();
        let settings = run.cluster.leader("settings").unwrap();
        run.cluster.kill(settings);
        let start = time::Instant::now();
        let changed = || {
            run.cluster.change_settings((settings + 1) % 3, "a", &json!({"values": {}})).0 == 200
        };
        assert!(eventually(20_000, changed));
        let settings_ms = start.elapsed().as_millis();
        run.cluster.start(settings);
        run.cluster.wait_ready();
        run.cluster.set_isolated(&[0], true);
        sleep_ms(5_000);
        run.cluster.set_isolated(&[0], false);
        let healed_ms = accept_ms(&run.cluster, 0);
        rows.push((journal_ms, follower_ms, settings_ms, healed_ms));
    }
    println!(
        "| run | journal leader killed ms | follower killed ms | settings leader killed ms | healed after a cut of 5 s ms |"
    );
    println!("|---|---|---|---|---|");
    for (at, (journal, follower, settings, healed)) in rows.iter().enumerate() {
        println!("| {} | {journal} | {follower} | {settings} | {healed} |", at + 1);
    }
}

/// Time until a settings change is in force on all of nine instances.
fn settings() {
    let config = ClusterConfig::with_zones(&[("west", 3), ("mid", 3), ("east", 3)]);
    let run = Run::with_config(config.with_extra(json!({"log": {}})), &[]);
    let measure = |label: &str| {
        let mut times: Vec<_> = (0..60)
            .map(|number| {
                let start = time::Instant::now();
                let at = number % 9;
                let (status, body) =
                    run.cluster.change_settings(at, "a", &json!({"values": {"max_queue": number}}));
                assert_eq!(status, 200, "{body}");
                run.cluster.wait_version(body["version"].as_u64().unwrap());
                start.elapsed().as_secs_f64() * 1_000.0
            })
            .collect();
        times.sort_by(f64::total_cmp);
        println!("| {label} | {:.0} | {:.0} | {:.0} |", times[30], times[58], times[59]);
    };
    println!("| 9 instances, 60 changes | p50 ms | p98 ms | max ms |\n|---|---|---|---|");
    measure("idle");
    thread::scope(|scope| {
        let load = scope.spawn(|| run.load(&[0, 1, 2], rate(0.6), 15, JOBS));
        measure("under load at 60% of the slots of one zone");
        drop(load.join());
    });
}

/// Constant load, by placement policy and utilization.
fn steady() {
    header();
    let cases = [
        ("round robin, unshared", json!({"placement": "round_robin", "shares": false})),
        ("two choices, unshared", json!({"placement": "two_choices", "shares": false})),
        ("least work, shares, no borrowing", json!({"borrow": false})),
        ("least work, shares, borrowing", defaults()),
    ];
    for (label, trial) in &cases {
        let run = Run::new(3, trial, &[]);
        for utilization in [0.3, 0.6, 0.8, 0.95] {
            let report = run.load(&run.all(), rate(utilization), 6, JOBS);
            row(&format!("{label}, {:.0}%", utilization * 100.0), &report);
        }
    }
}

/// A burst at three times the capacity, and a load that arrives at one instance only, with and
/// without borrowing of slots.
fn burst() {
    println!("three times the slots' rate for 5 s, deadline 20 s");
    header();
    for (label, trial) in [("no borrowing", json!({"borrow": false})), ("borrowing", defaults())] {
        for (target, to) in [("one instance", vec![0]), ("all instances", vec![0, 1, 2])] {
            let run = Run::new(3, &trial, &[]);
            let options = [JOBS, &["--deadline-ms", "20000"]].concat();
            row(&format!("{label}, at {target}"), &run.load(&to, rate(3.0), 5, &options));
        }
    }
    println!("\nfour tenths of all slots, all of it at one instance");
    header();
    for (label, trial) in [("no borrowing", json!({"borrow": false})), ("borrowing", defaults())] {
        let run = Run::new(3, &trial, &[]);
        row(label, &run.load(&[0], rate(0.4), 6, JOBS));
    }
}

/// An upstream that fails all tasks immediately, with and without ejection.
fn failing_upstream() {
    println!("one upstream of twelve immediately fails each task that it starts, 60%");
    header();
    for (label, trial) in [("no ejection", json!({"eject": false})), ("ejection", defaults())] {
        let run = Run::new(3, &trial, &["--mode", "fail", "--odd", "1"]);
        row(label, &run.load(&run.all(), rate(0.6), 8, JOBS));
    }
}

/// A slow upstream, by placement policy.
fn slow_upstream() {
    println!("one upstream of twelve is ten times slower, 60%");
    header();
    let cases = [
        ("round robin", json!({"placement": "round_robin"})),
        ("two choices", json!({"placement": "two_choices"})),
        ("least work", defaults()),
    ];
    for (label, trial) in cases {
        let run = Run::new(3, &trial, &["--odd", "1", "--odd-ms", "500", "--tail", "0"]);
        row(label, &run.load(&run.all(), rate(0.6), 8, JOBS));
    }
}

/// Overload and the recovery after it, with and without limits.
fn overload() {
    println!("load at 100% and 150% for 15 s, deadline 1 s; then 50% at once");
    header();
    for (label, trial) in [("no limits", json!({"limits": false})), ("limits", defaults())] {
        let run = Run::new(3, &trial, &[]);
        let options = [JOBS, &["--deadline-ms", "1000"]].concat();
        row(&format!("{label}, 100%"), &run.load(&run.all(), rate(1.0), 8, &options));
        let report = run.load(&run.all(), rate(1.5), 15, &options);
        row(&format!("{label}, 150%"), &report);
        println!(
            "refusals answered in {} ms; useful by second {}",
            report["refusal_ms"], report["useful_by_second"]
        );
        row(&format!("{label}, 50% right after"), &run.load(&run.all(), rate(0.5), 4, &options));
    }
}

/// Overload, by retry behavior of the clients.
fn retry() {
    println!(
        "150% for 10 s, deadline 1 s: clients that never retry, retry after the requested delay, or retry at once"
    );
    header();
    for mode in ["never", "obey", "insist"] {
        let run = Run::new(3, &defaults(), &[]);
        let options = [JOBS, &["--deadline-ms", "1000", "--retry", mode]].concat();
        let report = run.load(&run.all(), rate(1.5), 10, &options);
        row(mode, &report);
        println!("retries {}", report["retries"]);
    }
}

/// A crash and restart of a fifth of the upstreams, with and without ejection.
fn upstream_crash() {
    println!(
        "a fifth of the upstreams (SIGKILL, 3 of 15) crashes after 3 s and restarts after 6 s, 50%"
    );
    header();
    for (label, trial) in [("no ejection", json!({"eject": false})), ("ejection", defaults())] {
        let run = Run::new(3, &trial, &[]);
        let options = ["--count", "3", "--slots", "8", "--service-ms", "50", "--tail", "100"];
        let mut killed = run.cluster.start_upstream("v", "west", &[0, 1, 2], &options);
        run.cluster.wait_upstreams("west", UPSTREAMS as usize + 3);
        thread::scope(|scope| {
            let load = scope.spawn(|| run.load(&run.all(), rate(0.6), 12, JOBS));
            sleep_ms(3_000);
            killed.child.kill().unwrap();
            sleep_ms(3_000);
            let _restarted = run.cluster.start_upstream("v", "west", &[0, 1, 2], &options);
            row(label, &load.join().unwrap());
        });
    }
}

/// Loss of one instance, by a kill or a drain.
fn instance_loss() {
    println!("60%; after 3 s an instance is killed, or drained; the load goes to the other two");
    header();
    for (label, signal) in [("killed", "-KILL"), ("drained", "-TERM")] {
        let run = Run::new(3, &defaults(), &[]);
        thread::scope(|scope| {
            let rest = scope.spawn(|| run.load(&[1, 2], rate(0.4), 8, JOBS));
            let own = scope.spawn(|| run.load(&[0], rate(0.2), 3, JOBS));
            sleep_ms(2_500);
            run.cluster.signal(0, signal);
            row(&format!("at the others, one {label}"), &rest.join().unwrap());
            drop(own.join());
        });
    }
}

/// Fairness while one team submits ten times as much as each other team.
fn flood() {
    println!(
        "ten teams; t0 submits ten times as much as each other; 120% of the slots, deadline 3 s"
    );
    println!(
        "| run | useful tasks | p50 of t0 | p99 of t0 | p50 of t1 to t9 | p99 of t1 to t9 |\n|---|---|---|---|---|---|"
    );
    for (label, teams, flood) in [("no teams told", "0", "1"), ("fair shares", "10", "10")] {
        let run = Run::new(3, &defaults(), &[]);
        let options =
            [JOBS, &["--deadline-ms", "3000", "--teams", teams, "--flood", flood]].concat();
        let report = run.load(&run.all(), rate(1.2), 10, &options);
        let percentile = |team: &str, key: &str| {
            let teams = &report["teams_over_ideal_ms"];
            let value = if teams[team].is_null() { &report["over_ideal_ms"] } else { &teams[team] };
            value[key].as_f64().unwrap_or(f64::NAN)
        };
        let mean_of_others = |key: &str| {
            let all: Vec<_> = (1..10).map(|team| percentile(&format!("t{team}"), key)).collect();
            all.iter().sum::<f64>() / all.len() as f64
        };
        println!(
            "| {label} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
            report["useful_tasks"],
            percentile("t0", "p50"),
            percentile("t0", "p99"),
            mean_of_others("p50"),
            mean_of_others("p99")
        );
    }
}

/// Load without cancellations, and load with half of the jobs cancelled.
fn cancel() {
    println!("80%, half of all jobs cancelled");
    header();
    let run = Run::new(3, &defaults(), &[]);
    row("none cancelled", &run.load(&run.all(), rate(0.8), 6, JOBS));
    let options = [JOBS, &["--cancel", "0.5"]].concat();
    row("half cancelled", &run.load(&run.all(), rate(0.8), 6, &options));
}
