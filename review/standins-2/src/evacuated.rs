//! An operator's order that a frozen keeper reads late, after two later orders were acknowledged.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    executor::TASK_CPU,
    record::Record,
    system::{HOST, System},
    wire,
};

/// The zone that is evacuated.
const ZONE: &str = "hall-a";
/// The keeper that is frozen is that of the last zone.
const FROZEN: usize = 2;
/// How long it is frozen, as `node_freeze` of a core machine in the site file.
const FREEZE: Duration = Duration::from_secs(5);
/// The operator moves on to another node after this time.
const PATIENCE: Duration = Duration::from_secs(1);
/// `AckMs`: orders other than configurations are sent again for this long at most.
const ACK: Duration = Duration::from_millis(5_000);
/// `EvacuateMs`.
const EVACUATE: Duration = Duration::from_millis(5_000);
/// `MaxStretchMs`, by which a core that is not stable stretches `EvacuateMs`.
const MAX_STRETCH: Duration = Duration::from_millis(6_000);
/// How long clients go on after that.
const WATCH: Duration = Duration::from_secs(4);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Outcome> {
    let system = System::start(Arc::clone(record), &[32_000])?;
    let done = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&system, &done);
    thread::sleep(Duration::from_secs(1));
    let others = [system.keeper(1), system.keeper(0)];
    order(record, "POST", &others)?;
    thread::sleep(Duration::from_secs(2));
    let frozen_at = Instant::now();
    if trouble {
        system.signal_keeper(FROZEN, "STOP")?;
    }
    thread::sleep(Duration::from_millis(200));
    order(record, "DELETE", &[system.keeper(FROZEN), others[0], others[1]])?;
    thread::sleep(Duration::from_millis(1_500));
    let acknowledged = order(record, "POST", &others)?;
    thread::sleep((frozen_at + FREEZE).saturating_duration_since(Instant::now()));
    if trouble {
        system.signal_keeper(FROZEN, "CONT")?;
        if acknowledged > frozen_at + FREEZE {
            return Err(io::Error::other("the last order was acknowledged after the freeze"));
        }
    }
    let bound = acknowledged + EVACUATE + MAX_STRETCH;
    thread::sleep((bound + WATCH).saturating_duration_since(Instant::now()));
    done.store(true, Ordering::SeqCst);
    let sent: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let runs: Vec<_> = system.executors.iter().flat_map(|executor| executor.runs()).collect();
    let late = runs.iter().filter(|run| run.executor.contains(ZONE) && run.began > bound).count();
    record.line(&format!(
        "{sent} jobs sent, {} runs; {late} began in {ZONE} later than {:.3} s, which is EvacuateMs \
         and MaxStretchMs after the last acknowledgement",
        runs.len(),
        record.time(bound)
    ));
    if late > 0 {
        record.line("BROKEN: tasks start in a zone whose evacuation is acknowledged");
    }
    Ok(if late > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Sends an order to the keepers in turn until one of them acknowledges it.
fn order(record: &Record, method: &str, keepers: &[SocketAddr]) -> io::Result<Instant> {
    let deadline = Instant::now() + ACK;
    for keeper in keepers.iter().cycle() {
        if Instant::now() > deadline {
            break;
        }
        record.line(&format!("operator sends {method} evacuations/{ZONE} to {keeper}"));
        match send(*keeper, method) {
            Ok(status) => {
                record.line(&format!("operator gets {status}"));
                if status / 100 == 2 {
                    return Ok(Instant::now());
                }
            }
            Err(error) => record.line(&format!("operator gets no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other("an order was not acknowledged"))
}

/// Sends an order once, waits for the answer, and closes the connection.
fn send(keeper: SocketAddr, method: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&keeper, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let head = format!(
        "{method} /apricotroute/evacuations/{ZONE} HTTP/1.1\r\nHost: {keeper}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let answer = wire::read(&mut stream, &mut Vec::new())?;
    answer.map(|answer| answer.status()).ok_or_else(|| io::Error::other("closed"))
}

/// Starts a client in each zone that sends ten short jobs a second.
fn start_clients(system: &System, done: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<usize>> {
    let client = |zone: usize| {
        let (entry, done) = (system.entry(zone, 0), Arc::clone(done));
        thread::spawn(move || {
            let mut sent = 0;
            while !done.load(Ordering::SeqCst) {
                sent += 1;
                let path = format!("/q/{:016x}", (zone << 32) + sent);
                let body = format!(
                    "{{\"Spec\":\"60\",\"BestEffort\":true,\"Steps\":[{{\"Count\":1,\
                     \"Cpu\":{TASK_CPU},\"MemMb\":64,\"EstimateMs\":60}}]}}"
                );
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Apricotroute-Deadline-Ms", "1500".to_owned()),
                ];
                let timeout = Duration::from_millis(1_500);
                let _ = wire::call(entry, "POST", &path, &headers, &body, timeout);
                thread::sleep(Duration::from_millis(100));
            }
            sent
        })
    };
    (0..3).map(client).collect()
}
