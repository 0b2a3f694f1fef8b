//! Tests with real processes that no task runs twice at the same time when a client that has lost
//! its attempt submits its job again, at an entry of another zone.

mod system;

use std::{
    io::Write as _,
    net, thread,
    time::{Duration, Instant},
};

use system::{System, slow_link::SlowLink, wait_until};

/// Time between the loss of an attempt and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Time after which a client gives its first attempt up.
const PATIENCE: Duration = Duration::from_millis(100);
/// The entries of the first two zones.
const ENTRIES: [usize; 2] = [1, 3];
const ROUNDS: u64 = 3;

/// Starts three zones with a keeper, an entry and two upstreams each, whose tasks last `length`.
fn system(subnet: u8, length: Duration) -> System {
    let layout = system::Layout { subnet, zones: vec![(1, 1); 3], has_relays: false };
    let mut system = System::new(layout);
    system.task_time = length;
    for at in 0..6 {
        system.add_upstream(&format!("i-{at}"), at % 3, None);
    }
    wait_until("a keeper accepts the configuration", || {
        system.publish(0, &system::config(3)) == 200
    });
    system.wait_ready();
    for (at, entry) in ENTRIES.into_iter().enumerate() {
        let mut number = 0x10_0000 * (1 + at as u64);
        wait_until("a job is served", || {
            number += 1;
            system.submit(entry, &format!("{number:016x}"), 2).0 == 200
        });
    }
    system
}

/// Sends the first attempt of a job; its answer is never read.
fn send(address: net::SocketAddr, id: &str) -> net::TcpStream {
    let text = system::job_request(id, &system::job(3).to_string());
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// The tasks that ran twice at the same time.
fn doubled(system: &System) -> Vec<String> {
    let runs: Vec<_> =
        system.upstreams.iter().flat_map(platform::standin::Standin::history).collect();
    let now = Instant::now();
    let end = |at: usize| runs[at].ended.map_or(now, |(at, _)| at);
    let pairs = (0..runs.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    let twice = pairs.filter(|(a, b)| {
        runs[*a].task == runs[*b].task && runs[*a].began < end(*b) && runs[*b].began < end(*a)
    });
    twice.map(|(a, _)| runs[a].task.clone()).collect()
}

/// Runs `lose`, which sends a job's first attempt to the entry of the first zone and loses it, then
/// submits the job again at the entry of the second zone.
fn check(system: &System, lose: impl Fn(&System, &str) -> Vec<net::TcpStream>) {
    for round in 1..=ROUNDS {
        let id = format!("{round:016x}");
        let kept = lose(system, &id);
        thread::sleep(RETRY_DELAY);
        let (status, answer) = thread::scope(|scope| {
            let second = scope.spawn(|| system.submit(ENTRIES[1], &id, 3));
            thread::sleep(Duration::from_millis(30));
            system.signal(ENTRIES[0], "-CONT");
            second.join().unwrap()
        });
        thread::sleep(Duration::from_secs(2));
        assert_eq!(doubled(system), Vec::<String>::new(), "round {round}");
        assert_eq!((status, answer["State"].as_str()), (200, Some("completed")), "round {round}");
        drop(kept);
    }
}

/// Guards against an entry that submits a job whose client left before the entry read the request.
#[test]
fn stopped_entry() {
    let system = system(90, Duration::from_millis(800));
    check(&system, |system, id| {
        system.signal(ENTRIES[0], "-STOP");
        let stream = send(system.client(ENTRIES[0]), id);
        thread::sleep(PATIENCE);
        drop(stream);
        Vec::new()
    });
}

/// Guards against a first copy that waits on a link until the client has sent the second one.
#[test]
fn late_copy() {
    for (subnet, delay) in [(91, 1_350), (92, 1_450)] {
        let system = system(subnet, Duration::from_millis(800));
        let link = SlowLink::open(&system.runtime, system.client(ENTRIES[0]));
        link.set_delay(Duration::from_millis(delay));
        check(&system, |_, id| {
            let stream = send(link.address(), id);
            thread::sleep(PATIENCE);
            drop(stream);
            Vec::new()
        });
    }
}

/// Guards against an entry that goes on with a job whose client has lost the connection without a
/// sign.
#[test]
fn silent_connection() {
    let system = system(93, Duration::from_millis(1_600));
    check(&system, |system, id| {
        let stream = send(system.client(ENTRIES[0]), id);
        thread::sleep(PATIENCE);
        vec![stream]
    });
}
