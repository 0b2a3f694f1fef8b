//! Trials with real processes: `cargo bench --bench trials -- NAME...`, or none for all of them.
//! Each prints rows of docs/design/measurements.md; a baseline runs right before what it is held against.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{fs, process, thread, time};

use harness::{Cluster, Plan, SERVICE, eventually, job, mint, pause, upstream::Process};
use serde_json::{Value, json};

/// Upstreams of a trial and slots of each.
const UPSTREAMS: u32 = 12;
const SLOTS: u32 = 8;
/// Service time; one task in a hundred takes ten times as long.
const SERVICE_MS: f64 = 50.0;
const TAIL: u32 = 100;
const MEAN_MS: f64 = SERVICE_MS * 1.09;
/// Tasks of a job: 1 to 8.
const MEAN_TASKS: f64 = 4.5;

fn main() {
    let all: &[(&str, fn())] = &[
        ("idle", idle),
        ("memory", memory),
        ("path", path),
        ("starts", starts),
        ("admission", admission),
        ("failover", failover),
        ("settings", settings),
        ("steady", steady),
        ("burst", burst),
        ("hole", hole),
        ("overload", overload),
        ("die", die),
        ("slow", slow),
        ("lost", lost),
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

/// One load on one set of processes.
struct Run {
    cluster: Cluster,
    upstreams: Vec<Process>,
}

impl Run {
    fn new(count: usize, trial: &Value, more: &[&str]) -> Self {
        Self::with_plan(Plan::new(count).with_extra(json!({"trial": trial, "log": {}})), more)
    }

    fn with_plan(plan: Plan, more: &[&str]) -> Self {
        let cluster = plan.start();
        cluster.create_service();
        let (count, slots) = (UPSTREAMS.to_string(), SLOTS.to_string());
        let (time, tail) = (SERVICE_MS.to_string(), TAIL.to_string());
        let defaults =
            [("--count", &count), ("--slots", &slots), ("--service-ms", &time), ("--tail", &tail)];
        let mut arguments = more.to_vec();
        for (key, value) in defaults {
            if !more.contains(&key) {
                arguments.extend([key, value]);
            }
        }
        let all: Vec<_> = (0..cluster.nodes.len()).collect();
        let upstreams = vec![cluster.upstream("u", "west", &all, &arguments)];
        cluster.wait_upstreams("west", UPSTREAMS as usize);
        Self { cluster, upstreams }
    }

    fn load(&self, to: &[usize], rate: f64, seconds: u64, more: &[&str]) -> Value {
        let list = |address: &dyn Fn(usize) -> String, at: &[usize]| {
            at.iter().map(|at| address(*at)).collect::<Vec<_>>().join(",")
        };
        let nodes = &self.cluster.nodes;
        let running: Vec<_> = (0..nodes.len()).filter(|at| nodes[*at].child.is_some()).collect();
        let output = process::Command::new(env!("CARGO_BIN_EXE_apricotroute"))
            .args(["load", "--to", &list(&|at| nodes[at].client.to_string(), to)])
            .args(["--operator", &list(&|at| nodes[at].operator.to_string(), &running)])
            .args(["--rate", &rate.to_string(), "--seconds", &seconds.to_string()])
            .args(if more.contains(&"--ideal-ms") { &[] as &[&str] } else { &["--ideal-ms", "50"] })
            .args(more)
            .output()
            .unwrap();
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| {
            panic!("{}", String::from_utf8_lossy(&output.stderr));
        })
    }

    fn all(&self) -> Vec<usize> {
        (0..self.cluster.nodes.len()).collect()
    }
}

/// Jobs a second that keep this share of all slots busy.
fn rate(share: f64) -> f64 {
    share * f64::from(UPSTREAMS * SLOTS) / (MEAN_MS / 1_000.0) / MEAN_TASKS
}

const JOBS: &[&str] = &["--tasks", "1", "--spread", "7"];

fn row(what: &str, report: &Value) {
    let over = &report["over_ideal_ms"];
    let number = |value: &Value| format!("{:.2}", value.as_f64().unwrap_or(f64::NAN));
    println!(
        "| {what} | {} | {} | {} | {} | {} | {} | {} | {} |",
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

fn head() {
    println!(
        "| run | states | useful tasks | over ideal p50 ms | p90 ms | p99 ms | messages/task | bytes/task | counters |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
}

fn chosen() -> Value {
    json!({})
}

/// Processor time of a process, seconds, and its resident memory, megabytes.
fn usage(pid: u32) -> (f64, f64) {
    const TICKS: f64 = 100.0;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|field| field.parse::<f64>().unwrap()).sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let rss = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    let kb: f64 = rss.split_whitespace().nth(1).unwrap().parse().unwrap();
    (ticks / TICKS, kb / 1_024.0)
}

fn peer_bytes(cluster: &Cluster, at: usize) -> (f64, f64) {
    let url = format!("http://{}/metrics", cluster.nodes[at].operator);
    let text = ureq::get(url).call().unwrap().into_body().read_to_string().unwrap();
    let sum = |name: &str| -> f64 {
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    (sum("apricotroute_peer_messages_total"), sum("apricotroute_peer_bytes_total"))
}

/// What an instance costs when nothing happens, by instances, upstreams and services.
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
        let cluster = Plan::with_zones(zones).with_extra(json!({"log": {}})).start();
        cluster.create_service();
        for number in 1..services {
            let (status, _) = cluster.set(0, &format!("s{number}"), &json!({"values": {}}));
            assert_eq!(status, 200);
        }
        let count = upstreams.to_string();
        let _upstreams = (upstreams > 0).then(|| {
            let process = cluster.upstream("u", "west", &[0, 1, 2], &["--count", &count]);
            cluster.wait_upstreams("west", upstreams);
            process
        });
        pause(2_000);
        let pids: Vec<_> = cluster.nodes.iter().map(|n| n.child.as_ref().unwrap().id()).collect();
        let all: Vec<_> = (0..pids.len()).collect();
        let before: Vec<_> =
            all.iter().map(|at| (usage(pids[*at]), peer_bytes(&cluster, *at))).collect();
        pause((SECONDS * 1_000.0) as u64);
        // The instance that costs most: leaders do.
        let mut worst = [0.0_f64; 4];
        for at in all {
            let ((cpu, _), (messages, bytes)) = before[at];
            let ((cpu_now, memory), (messages_now, bytes_now)) =
                (usage(pids[at]), peer_bytes(&cluster, at));
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

/// Memory that a remembered job takes.
fn memory() {
    println!("| jobs of one task | remembered | memory MB of each instance |\n|---|---|---|");
    let run = Run::new(3, &chosen(), &["--tail", "0", "--service-ms", "5"]);
    let pids: Vec<_> = run.cluster.nodes.iter().map(|n| n.child.as_ref().unwrap().id()).collect();
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

/// Response time of single-task jobs at half of the slots, three seeds.
fn path() {
    head();
    let run = Run::new(3, &chosen(), &["--tail", "0"]);
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

/// Task starts a second that one instance sustains.
fn starts() {
    println!("jobs of 20 tasks of 20 ms at one instance of one; 12 upstreams of 64 slots");
    head();
    let more = ["--tail", "0", "--slots", "64", "--service-ms", "20"];
    let run = Run::new(1, &chosen(), &more);
    for tasks in [1_000, 2_000, 4_000, 6_000, 8_000, 10_000, 12_000] {
        let rate = f64::from(tasks) / 20.0;
        let report = run.load(&[0], rate, 4, &["--tasks", "20", "--ideal-ms", "20"]);
        row(&format!("{tasks} starts/s"), &report);
    }
}

/// What the journal adds, by where it is kept and how often it is asked.
fn admission() {
    head();
    let run = Run::new(3, &chosen(), &["--tail", "0"]);
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
    let (_, body) = run.cluster.set(0, SERVICE, &json!({"values": {"answer_copies": 0}}));
    run.cluster.wait_version(body["version"].as_u64().unwrap());
    for seed in ["1", "2", "3"] {
        let jobs = run.load(&all, 100.0, 4, &["--seed", seed]);
        row(&format!("per task, no copy of the answer, seed {seed}"), &jobs);
    }
    let mut times: Vec<_> = (0..100)
        .map(|_| {
            let start = time::Instant::now();
            assert_eq!(run.cluster.set(0, "synced", &json!({"values": {}})).0, 200);
            start.elapsed().as_secs_f64() * 1_000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!(
        "\na commit synced by a majority (100 settings changes): p50 {:.2} ms, p99 {:.2} ms",
        times[50], times[98]
    );
}

/// Time until the next job is accepted after a death, and after a cut.
fn failover() {
    let accepted = |cluster: &Cluster, at: usize| {
        let start = time::Instant::now();
        let served = || cluster.submit(at, &job(&mint("west"), 1, 5_000)).0 == 200;
        assert!(eventually(20_000, served));
        start.elapsed().as_millis()
    };
    let mut rows = Vec::new();
    for _ in 0..5 {
        let mut run = Run::new(3, &chosen(), &["--tail", "0"]);
        let leader = run.cluster.leader("journal west").unwrap();
        let other = (leader + 1) % 3;
        run.cluster.kill(leader);
        let journal = accepted(&run.cluster, other);
        run.cluster.start(leader);
        run.cluster.wait_ready();
        let follower = (run.cluster.leader("journal west").unwrap() + 1) % 3;
        run.cluster.kill(follower);
        let owner = accepted(&run.cluster, (follower + 1) % 3);
        run.cluster.start(follower);
        run.cluster.wait_ready();
        let settings = run.cluster.leader("settings").unwrap();
        run.cluster.kill(settings);
        let start = time::Instant::now();
        let set = || run.cluster.set((settings + 1) % 3, "a", &json!({"values": {}})).0 == 200;
        assert!(eventually(20_000, set));
        let settings_ms = start.elapsed().as_millis();
        run.cluster.start(settings);
        run.cluster.wait_ready();
        run.cluster.isolate(&[0], true);
        pause(5_000);
        run.cluster.isolate(&[0], false);
        let healed = accepted(&run.cluster, 0);
        rows.push((journal, owner, settings_ms, healed));
    }
    println!(
        "| run | journal leader killed ms | follower killed ms | settings leader killed ms | healed after a cut of 5 s ms |"
    );
    println!("|---|---|---|---|---|");
    for (at, (journal, owner, settings, healed)) in rows.iter().enumerate() {
        println!("| {} | {journal} | {owner} | {settings} | {healed} |", at + 1);
    }
}

/// Time until a settings change is in force at all of nine instances.
fn settings() {
    let plan = Plan::with_zones(&[("west", 3), ("mid", 3), ("east", 3)]);
    let run = Run::with_plan(plan.with_extra(json!({"log": {}})), &[]);
    let measure = |what: &str| {
        let mut times: Vec<_> = (0..60)
            .map(|number| {
                let start = time::Instant::now();
                let at = number % 9;
                let (status, body) =
                    run.cluster.set(at, "a", &json!({"values": {"max_queue": number}}));
                assert_eq!(status, 200, "{body}");
                run.cluster.wait_version(body["version"].as_u64().unwrap());
                start.elapsed().as_secs_f64() * 1_000.0
            })
            .collect();
        times.sort_by(f64::total_cmp);
        println!("| {what} | {:.0} | {:.0} | {:.0} |", times[30], times[58], times[59]);
    };
    println!("| 9 instances, 60 changes | p50 ms | p98 ms | max ms |\n|---|---|---|---|");
    measure("idle");
    thread::scope(|scope| {
        let load = scope.spawn(|| run.load(&[0, 1, 2], rate(0.6), 15, JOBS));
        measure("under load at 60% of the slots of one zone");
        drop(load.join());
    });
}

fn steady() {
    head();
    let cases = [
        ("round robin, unshared", json!({"placement": "round_robin", "shares": false})),
        ("two choices, unshared", json!({"placement": "two_choices", "shares": false})),
        ("least work, shares, no borrowing", json!({"borrow": false})),
        ("least work, shares, borrowing", chosen()),
    ];
    for (what, trial) in &cases {
        let run = Run::new(3, trial, &[]);
        for share in [0.3, 0.6, 0.8, 0.95] {
            let report = run.load(&run.all(), rate(share), 6, JOBS);
            row(&format!("{what}, {:.0}%", share * 100.0), &report);
        }
    }
}

fn burst() {
    println!("three times the slots' rate for 5 s, deadline 20 s");
    head();
    for (what, trial) in [("no borrowing", json!({"borrow": false})), ("borrowing", chosen())] {
        for (where_, to) in [("one instance", vec![0]), ("all instances", vec![0, 1, 2])] {
            let run = Run::new(3, &trial, &[]);
            let more = [JOBS, &["--deadline-ms", "20000"]].concat();
            row(&format!("{what}, at {where_}"), &run.load(&to, rate(3.0), 5, &more));
        }
    }
    println!("\nfour tenths of all slots, all of it at one instance");
    head();
    for (what, trial) in [("no borrowing", json!({"borrow": false})), ("borrowing", chosen())] {
        let run = Run::new(3, &trial, &[]);
        row(what, &run.load(&[0], rate(0.4), 6, JOBS));
    }
}

fn hole() {
    println!("one upstream of twelve fails at once all it starts, 60%");
    head();
    for (what, trial) in [("no ejection", json!({"eject": false})), ("ejection", chosen())] {
        let run = Run::new(3, &trial, &["--mode", "fail", "--odd", "1"]);
        row(what, &run.load(&run.all(), rate(0.6), 8, JOBS));
    }
}

fn slow() {
    println!("one upstream of twelve is ten times slower, 60%");
    head();
    let cases = [
        ("round robin", json!({"placement": "round_robin"})),
        ("two choices", json!({"placement": "two_choices"})),
        ("least work", chosen()),
    ];
    for (what, trial) in cases {
        let run = Run::new(3, &trial, &["--odd", "1", "--odd-ms", "500", "--tail", "0"]);
        row(what, &run.load(&run.all(), rate(0.6), 8, JOBS));
    }
}

fn overload() {
    println!("load at 100% and 150% for 15 s, deadline 1 s; then 50% at once");
    head();
    for (what, trial) in [("no limits", json!({"limits": false})), ("limits", chosen())] {
        let run = Run::new(3, &trial, &[]);
        let more = [JOBS, &["--deadline-ms", "1000"]].concat();
        row(&format!("{what}, 100%"), &run.load(&run.all(), rate(1.0), 8, &more));
        let report = run.load(&run.all(), rate(1.5), 15, &more);
        row(&format!("{what}, 150%"), &report);
        println!(
            "refusals answered in {} ms; useful by second {}",
            report["refusal_ms"], report["useful_by_second"]
        );
        row(&format!("{what}, 50% right after"), &run.load(&run.all(), rate(0.5), 4, &more));
    }
}

fn retry() {
    println!("150% for 10 s, deadline 1 s: clients that never come back, obey, or insist at once");
    head();
    for mode in ["never", "obey", "insist"] {
        let run = Run::new(3, &chosen(), &[]);
        let more = [JOBS, &["--deadline-ms", "1000", "--retry", mode]].concat();
        let report = run.load(&run.all(), rate(1.5), 10, &more);
        row(mode, &report);
        println!("retries {}", report["retries"]);
    }
}

fn die() {
    println!(
        "a fifth of the upstreams (SIGKILL, 3 of 15) dies after 3 s and returns after 6 s, 50%"
    );
    head();
    for (what, trial) in [("no ejection", json!({"eject": false})), ("ejection", chosen())] {
        let run = Run::new(3, &trial, &[]);
        let more = ["--count", "3", "--slots", "8", "--service-ms", "50", "--tail", "100"];
        let mut part = run.cluster.upstream("v", "west", &[0, 1, 2], &more);
        run.cluster.wait_upstreams("west", UPSTREAMS as usize + 3);
        thread::scope(|scope| {
            let load = scope.spawn(|| run.load(&run.all(), rate(0.6), 12, JOBS));
            pause(3_000);
            part.child.kill().unwrap();
            pause(3_000);
            let _back = run.cluster.upstream("v", "west", &[0, 1, 2], &more);
            row(what, &load.join().unwrap());
        });
    }
}

fn lost() {
    println!("60%; after 3 s an instance is killed, or drained; the load goes to the other two");
    head();
    for (what, signal) in [("killed", "-KILL"), ("drained", "-TERM")] {
        let run = Run::new(3, &chosen(), &[]);
        thread::scope(|scope| {
            let rest = scope.spawn(|| run.load(&[1, 2], rate(0.4), 8, JOBS));
            let own = scope.spawn(|| run.load(&[0], rate(0.2), 3, JOBS));
            pause(2_500);
            run.cluster.signal(0, signal);
            row(&format!("at the others, one {what}"), &rest.join().unwrap());
            drop(own.join());
        });
    }
}

fn flood() {
    println!(
        "ten teams; t0 submits ten times as much as each other; 120% of the slots, deadline 3 s"
    );
    println!(
        "| run | useful tasks | p50 of t0 | p99 of t0 | p50 of t1 to t9 | p99 of t1 to t9 |\n|---|---|---|---|---|---|"
    );
    for (what, teams, flood) in [("no teams told", "0", "1"), ("fair shares", "10", "10")] {
        let run = Run::new(3, &chosen(), &[]);
        let more = [JOBS, &["--deadline-ms", "3000", "--teams", teams, "--flood", flood]].concat();
        let report = run.load(&run.all(), rate(1.2), 10, &more);
        let of = |team: &str, key: &str| {
            let teams = &report["teams_over_ideal_ms"];
            let value = if teams[team].is_null() { &report["over_ideal_ms"] } else { &teams[team] };
            value[key].as_f64().unwrap_or(f64::NAN)
        };
        let quiet = |key: &str| {
            let all: Vec<_> = (1..10).map(|team| of(&format!("t{team}"), key)).collect();
            all.iter().sum::<f64>() / all.len() as f64
        };
        println!(
            "| {what} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
            report["useful_tasks"],
            of("t0", "p50"),
            of("t0", "p99"),
            quiet("p50"),
            quiet("p99")
        );
    }
}

fn cancel() {
    println!("80%, half of all jobs cancelled");
    head();
    let run = Run::new(3, &chosen(), &[]);
    row("none cancelled", &run.load(&run.all(), rate(0.8), 6, JOBS));
    let more = [JOBS, &["--cancel", "0.5"]].concat();
    row("half cancelled", &run.load(&run.all(), rate(0.8), 6, &more));
}
