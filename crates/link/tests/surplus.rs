//! A second response to one request never becomes the response to the next request.
//!
//! This guards against a start at an upstream that is counted as refused although it was carried
//! out, or the reverse, so that a task runs twice or not at all.

mod raw;

use std::time;

use link::caller;
use raw::{Server, response};

/// Number of calls that a test makes one after the other.
const CALLS: usize = 200;

/// Starts a server that answers with its clock and the body of the request, and that writes each
/// response a second time after `delay` milliseconds.
fn start_server(delay: Option<u64>) -> Server {
    let start = time::Instant::now();
    Server::start(move |request| {
        let body = String::from_utf8_lossy(&request.body);
        let text = response("", &format!("{} {body}", start.elapsed().as_millis()));
        let second = delay.map(|delay| (delay, text.clone()));
        [(0, text)].into_iter().chain(second).collect()
    })
}

fn request(server: &Server, number: usize) -> caller::Request {
    caller::Request {
        address: server.address,
        method: caller::POST,
        path: "/".into(),
        headers: Vec::new(),
        body: number.to_string().into(),
        timeout: time::Duration::from_secs(5),
    }
}

/// Makes calls with `pause` between them, and returns how many got their own response. No call may
/// get another response than its own.
fn run_calls(server: &Server, pause: time::Duration) -> usize {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let caller = caller::Caller::new();
    let mut own = 0;
    for number in 0..CALLS {
        if let Ok(response) = runtime.block_on(caller.call(request(server, number))) {
            let text = String::from_utf8(response.body.to_vec()).unwrap();
            let (clock, of) = text.split_once(' ').unwrap();
            if response.connection.accept(clock.parse().ok()) {
                assert_eq!(of, number.to_string(), "the response to another request");
                own += 1;
            }
        }
        std::thread::sleep(pause);
    }
    own
}

#[test]
fn next_at_once() {
    for delay in [0, 1, 2, 5, 10] {
        let server = start_server(Some(delay));
        assert!(run_calls(&server, time::Duration::ZERO) > 0, "delay {delay} ms");
    }
}

#[test]
fn next_later() {
    // The second response arrives just before or after the next request is sent.
    for (delay, pause) in [(5, 5), (6, 5), (7, 6), (10, 9), (10, 10), (12, 10)] {
        let server = start_server(Some(delay));
        let own = run_calls(&server, time::Duration::from_millis(pause));
        assert!(own > 0, "delay {delay} ms, pause {pause} ms");
    }
}

#[test]
fn reused() {
    let server = start_server(None);
    assert_eq!(run_calls(&server, time::Duration::from_millis(6)), CALLS);
    assert_eq!(server.connections(), 1);
    let server = start_server(None);
    assert_eq!(run_calls(&server, time::Duration::ZERO), CALLS);
    assert!(server.connections() < CALLS, "{} connections", server.connections());
}

#[test]
fn without_clock() {
    let server = start_server(Some(1));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let caller = caller::Caller::new();
    for number in 0..20 {
        let response = runtime.block_on(caller.call(request(&server, number))).unwrap();
        assert!(response.body.ends_with(number.to_string().as_bytes()));
        assert!(response.connection.accept(None));
        std::thread::sleep(time::Duration::from_millis(6));
    }
    assert_eq!(server.connections(), 20, "no connection is used twice");
}
