//! The client stops writing the request to start a task once the lease of the task has expired.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use link::{task, trace};

/// Size of a request body in bytes, which exceeds the buffers on both sides of a connection.
const BODY_BYTES: usize = 32 << 20;
/// Time in milliseconds for which the upstream reads nothing.
const READ_DELAY_MS: u64 = 400;

/// Starts an upstream that reads nothing for `delay_ms` milliseconds. Its thread returns the number
/// of bytes received.
fn start_upstream(delay_ms: u64) -> (net::SocketAddr, thread::JoinHandle<usize>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(time::Duration::from_secs(1))).unwrap();
        thread::sleep(time::Duration::from_millis(delay_ms));
        let (mut count, mut buffer) = (0, vec![0; 1 << 20]);
        while let Ok(read @ 1..) = stream.read(&mut buffer) {
            count += read;
            if count > BODY_BYTES {
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(answer).unwrap();
            }
        }
        count
    };
    (address, thread::spawn(serve))
}

fn task(address: net::SocketAddr, lease_ms: Option<u64>) -> task::Task {
    let lease = lease_ms.map(|ms| time::Instant::now() + time::Duration::from_millis(ms));
    task::Task {
        address: address.to_string(),
        id: "j/0".to_owned(),
        body: vec![b'x'; BODY_BYTES].into(),
        content_type: "text/plain".to_owned(),
        timeout: time::Duration::from_secs(5),
        lease,
        context: trace::Context::new(),
    }
}

#[test]
fn over_midway() {
    let (address, upstream) = start_upstream(READ_DELAY_MS);
    let end = task::Client::new().start(&task(address, Some(READ_DELAY_MS / 2)));
    assert!(
        matches!(end, task::End::Failed(_)),
        "the request may have reached the upstream: {end:?}"
    );
    let count = upstream.join().unwrap();
    assert!(count < BODY_BYTES, "received {count} bytes of a request whose lease had expired");
}

#[test]
fn over_before() {
    let (address, upstream) = start_upstream(0);
    let end = task::Client::new().start(&task(address, Some(0)));
    assert_eq!(upstream.join().unwrap(), 0, "{end:?}");
    assert!(matches!(end, task::End::Unsent), "{end:?}");
}

#[test]
fn in_time() {
    for lease in [None, Some(5_000)] {
        let (address, upstream) = start_upstream(READ_DELAY_MS);
        let end = task::Client::new().start(&task(address, lease));
        assert!(matches!(end, task::End::Answer(..)), "{end:?}");
        assert!(upstream.join().unwrap() > BODY_BYTES);
    }
}
