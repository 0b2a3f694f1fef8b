//! Tests with real processes that an evacuation order whose sender has given it up and sent later
//! ones changes nothing, wherever its copy has waited.

mod system;

use std::{
    io::{Read as _, Write as _},
    net, thread,
    time::{Duration, Instant},
};

use system::{System, config, slow_link::SlowLink, wait_until};

/// Time for which an operator waits for an answer before it goes on to another keeper.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an operator sends an order again.
const RESEND_TIME: Duration = Duration::from_secs(5);
/// Number of redirects that an operator follows.
const MAX_REDIRECTS: usize = 2;
/// The indices of the four keepers.
const KEEPERS: [usize; 4] = [0, 1, 3, 4];

/// An operator that sends orders for one zone to keepers in turn.
#[derive(Clone, Copy)]
struct Operator {
    follows_redirects: bool,
}

impl Operator {
    /// Sends an order until a keeper acknowledges it; returns whether one has done so in time.
    fn order(self, method: &str, keepers: &[net::SocketAddr]) -> bool {
        let until = Instant::now() + RESEND_TIME;
        for keeper in keepers.iter().cycle() {
            if Instant::now() > until {
                break;
            }
            if self.send(method, *keeper) == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends an order once. Returns the status, or `None` without an answer in time.
    fn send(self, method: &str, keeper: net::SocketAddr) -> Option<u16> {
        let mut url = format!("http://{keeper}/apricotroute/evacuations/{}", system::zone_name(0));
        let redirects = if self.follows_redirects { MAX_REDIRECTS } else { 0 };
        for _ in 0..redirects {
            match exchange(method, &url)? {
                (307, Some(location)) => url = location,
                (status, _) => return Some(status),
            }
        }
        exchange(method, &url).map(|(status, _)| status)
    }
}

/// Sends one request on a new connection. Returns the status and the location of the answer, or
/// `None` if the operator has given the request up and closed its connection.
fn exchange(method: &str, url: &str) -> Option<(u16, Option<String>)> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    let mut stream = net::TcpStream::connect_timeout(&host.parse().ok()?, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let head = format!("{method} /{path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    while !text.ends_with("{}") && !text.ends_with("\"}") {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        text += std::str::from_utf8(&buffer[..count]).ok()?;
    }
    let header = |name| text.lines().find_map(|line| line.strip_prefix(name));
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, header("location: ").map(str::to_owned)))
}

fn system(subnet: u8) -> System {
    let system =
        System::new(system::Layout { subnet, zones: vec![(2, 1), (2, 1)], has_relays: false });
    wait_until("a keeper accepts the configuration", || system.publish(0, &config(3)) == 200);
    system.wait_ready();
    system
}

/// The number of evacuated zones in force at each keeper.
fn evacuated(system: &System) -> Vec<f64> {
    KEEPERS.iter().filter_map(|at| system.metric(*at, "evacuated_zones", &[])).collect()
}

/// Has copies of the second of three orders given up at keepers behind links with these delays, and
/// checks that the third one stays in force after all copies have arrived.
fn check(subnet: u8, follows_redirects: bool, evacuates: bool, delays: &[u64], frozen: bool) {
    let system = system(subnet);
    let operator = Operator { follows_redirects };
    let (last, late) = if evacuates { ("POST", "DELETE") } else { ("DELETE", "POST") };
    let sound = [system.operator(0), system.operator(1)];
    assert!(operator.order(last, &sound) && operator.order(late, &sound), "first orders");
    assert!(operator.order(last, &sound), "an order without a late copy");
    let links: Vec<_> = delays
        .iter()
        .zip([3, 4].into_iter().cycle())
        .map(|(delay, keeper)| {
            let link = SlowLink::open(&system.runtime, system.operator(keeper));
            link.set_delay(Duration::from_millis(*delay));
            link
        })
        .collect();
    if frozen {
        system.signal(3, "-STOP");
    }
    let began = Instant::now();
    for link in &links {
        assert_eq!(operator.send(late, link.address()), None, "the copy is given up");
    }
    assert!(operator.order(late, &sound), "another keeper acknowledges the order");
    assert!(operator.order(last, &sound), "a later order is acknowledged");
    if frozen {
        thread::sleep(Duration::from_secs(5).saturating_sub(began.elapsed()));
        system.signal(3, "-CONT");
    }
    let expected = vec![if evacuates { 1.0 } else { 0.0 }; KEEPERS.len()];
    wait_until("the last order is in force", || evacuated(&system) == expected);
    let longest = delays.iter().max().copied().unwrap_or_default();
    // All copies have arrived a second after the longest delay, and their closes a second later.
    let settled = Duration::from_millis(longest + 1_000 * delays.len() as u64 + 2_000);
    while began.elapsed() < settled {
        assert_eq!(evacuated(&system), expected, "{:?} after the first copy", began.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a copy on a slow link to a keeper that undoes a later order.
#[test]
fn slow_link() {
    check(80, true, true, &[3_000], false);
}

/// Guards against the same, for an operator that follows no redirects.
#[test]
fn no_redirects() {
    check(81, false, true, &[5_000], false);
}

/// Guards against a late copy that evacuates a zone after its evacuation was reverted.
#[test]
fn late_evacuation() {
    check(82, false, false, &[3_000], false);
}

/// Guards against a copy that is read some seconds after its keeper has resumed.
#[test]
fn read_after_stop() {
    check(83, true, true, &[8_000], true);
}

/// Guards against copies of one order that are read after each other, at one keeper and at two.
#[test]
fn several_copies() {
    check(84, false, true, &[6_000, 6_000, 5_000, 4_000], false);
}
