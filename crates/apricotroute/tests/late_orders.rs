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
/// Time for which a keeper is stopped.
const STOP: Duration = Duration::from_secs(5);
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

/// An order that is given up while its copies wait, between two later ones that are acknowledged.
struct Case {
    subnet: u8,
    follows_redirects: bool,
    /// The method of the orders that stay in force; the copies that are given up have the other one.
    method: &'static str,
    /// Delay of the link that each copy takes, milliseconds. The links lead to two keepers in turn.
    delays: &'static [u64],
    /// Whether the first of these keepers is stopped as well, for [`STOP`].
    is_stopped: bool,
}

impl Case {
    /// Has the copies given up, and checks that the last acknowledged order stays in force while and
    /// after they arrive.
    fn check(&self) {
        let system = system(self.subnet);
        let operator = Operator { follows_redirects: self.follows_redirects };
        let evacuates = self.method == "POST";
        let (last, late) = (self.method, if evacuates { "DELETE" } else { "POST" });
        let sound = [system.operator(0), system.operator(1)];
        assert!(operator.order(last, &sound) && operator.order(late, &sound), "first orders");
        assert!(operator.order(last, &sound), "an order without a late copy");
        let late_keepers = [KEEPERS[2], KEEPERS[3]].into_iter().cycle();
        let links = self.delays.iter().zip(late_keepers).map(|(delay, keeper)| {
            let link = SlowLink::open(&system.runtime, system.operator(keeper));
            link.set_delay(Duration::from_millis(*delay));
            link
        });
        let links: Vec<_> = links.collect();
        if self.is_stopped {
            system.signal(KEEPERS[2], "-STOP");
        }
        let began = Instant::now();
        for link in &links {
            assert_eq!(operator.send(late, link.address()), None, "the copy is given up");
        }
        assert!(operator.order(late, &sound), "another keeper acknowledges the order");
        assert!(operator.order(last, &sound), "a later order is acknowledged");
        if self.is_stopped {
            thread::sleep(STOP.saturating_sub(began.elapsed()));
            system.signal(KEEPERS[2], "-CONT");
        }
        let expected = vec![if evacuates { 1.0 } else { 0.0 }; KEEPERS.len()];
        wait_until("the last order is in force", || evacuated(&system) == expected);
        let longest = Duration::from_millis(self.delays.iter().max().copied().unwrap_or_default());
        // A copy is sent when the one before it is given up, and its close follows as late.
        let settled = longest + PATIENCE * (self.delays.len() as u32 + 2);
        while began.elapsed() < settled {
            assert_eq!(evacuated(&system), expected, "{:?} after the first copy", began.elapsed());
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Guards against a copy on a slow link to a keeper that undoes a later order.
#[test]
fn slow_link() {
    let (method, delays) = ("POST", &[3_000]);
    Case { subnet: 80, follows_redirects: true, method, delays, is_stopped: false }.check();
}

/// Guards against the same, for an operator that follows no redirects.
#[test]
fn no_redirects() {
    let (method, delays) = ("POST", &[5_000]);
    Case { subnet: 81, follows_redirects: false, method, delays, is_stopped: false }.check();
}

/// Guards against a late copy that evacuates a zone after its evacuation was reverted.
#[test]
fn late_evacuation() {
    let (method, delays) = ("DELETE", &[3_000]);
    Case { subnet: 82, follows_redirects: false, method, delays, is_stopped: false }.check();
}

/// Guards against a copy that is read some seconds after its keeper has resumed.
#[test]
fn read_after_stop() {
    let (method, delays) = ("POST", &[8_000]);
    Case { subnet: 83, follows_redirects: true, method, delays, is_stopped: true }.check();
}

/// Guards against copies of one order that are read after each other, at one keeper and at two.
#[test]
fn several_copies() {
    let (method, delays) = ("POST", &[6_000, 6_000, 5_000, 4_000]);
    Case { subnet: 84, follows_redirects: false, method, delays, is_stopped: false }.check();
}
