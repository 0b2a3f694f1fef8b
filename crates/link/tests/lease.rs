//! A task's request is not written to its end once the lease is over under which it may start.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use link::{task, trace};

/// More than the buffers of both sides of a connection take, bytes.
const BODY: usize = 32 << 20;
/// How long the upstream reads nothing, milliseconds.
const DEAF: u64 = 400;

/// An upstream that reads nothing for a while; gives what arrived in the end, bytes.
fn upstream(deaf: u64) -> (net::SocketAddr, thread::JoinHandle<usize>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(time::Duration::from_secs(1))).unwrap();
        thread::sleep(time::Duration::from_millis(deaf));
        let (mut count, mut buffer) = (0, vec![0; 1 << 20]);
        while let Ok(read @ 1..) = stream.read(&mut buffer) {
            count += read;
            if count > BODY {
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(answer).unwrap();
            }
        }
        count
    };
    (address, thread::spawn(serve))
}

fn task(address: net::SocketAddr, lease: Option<u64>) -> task::Task {
    let lease = lease.map(|ms| time::Instant::now() + time::Duration::from_millis(ms));
    task::Task {
        address: address.to_string(),
        id: "j/0".to_owned(),
        body: vec![b'x'; BODY].into(),
        content: "text/plain".to_owned(),
        left: time::Duration::from_secs(5),
        lease,
        span: trace::Context::new(),
    }
}

#[test]
fn over_midway() {
    let (address, upstream) = upstream(DEAF);
    let end = task::Caller::new().start(&task(address, Some(DEAF / 2)));
    assert!(matches!(end, task::End::Failed(_)), "it may have arrived: {end:?}");
    let count = upstream.join().unwrap();
    assert!(count < BODY, "{count} bytes of a request whose lease was over");
}

#[test]
fn over_before() {
    let (address, upstream) = upstream(0);
    let end = task::Caller::new().start(&task(address, Some(0)));
    assert_eq!(upstream.join().unwrap(), 0, "{end:?}");
    assert!(matches!(end, task::End::Unsent), "{end:?}");
}

#[test]
fn in_time() {
    for lease in [None, Some(5_000)] {
        let (address, upstream) = upstream(DEAF);
        let end = task::Caller::new().start(&task(address, lease));
        assert!(matches!(end, task::End::Answer(..)), "{end:?}");
        assert!(upstream.join().unwrap() > BODY);
    }
}
