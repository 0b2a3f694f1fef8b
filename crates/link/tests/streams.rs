//! An outbox tells which of its streams are closed, and why.

use std::{collections, net, sync, thread, time};

use bytes::Bytes;
use link::peer;
use state::name::Name;

/// Accepts streams of `west-1` and no body of one byte, and collects what is refused.
#[derive(Default)]
struct Inbox(sync::Mutex<collections::BTreeSet<String>>);

impl peer::Inbox for Inbox {
    fn deliver(&self, _: &Name, body: Bytes) -> bool {
        body.len() != 1
    }

    fn allows_peer(&self, name: &Name) -> bool {
        name.as_str() == "west-1"
    }

    fn report_refusal(&self, from: &Name, why: &str) {
        self.0.lock().unwrap().insert(format!("{from}: {why}"));
    }
}

/// Waits until the only stream of an outbox is closed for a reason that contains `text`, or is open
/// if there is no text.
fn wait(outbox: &peer::Outbox, text: Option<&str>) {
    let start = time::Instant::now();
    loop {
        let closed = outbox.closed_streams();
        let is_expected = match text {
            Some(text) => closed.iter().any(|(_, why)| why.contains(text)),
            None => closed.is_empty(),
        };
        if is_expected {
            return;
        }
        assert!(start.elapsed() < time::Duration::from_secs(10), "{closed:?}");
        thread::sleep(time::Duration::from_millis(1));
    }
}

#[test]
fn reasons() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let names = ["west-1", "west-2", "west-3"].map(Name::new);
    let inbox = sync::Arc::new(Inbox::default());
    let open = |to: &Name| {
        let (address, inbox) = ("127.0.0.1:0".parse().unwrap(), sync::Arc::clone(&inbox));
        peer::Server::open(&runtime, address, to, inbox).unwrap().address()
    };
    let connect = |from: &Name, to: &Name, address| {
        peer::Outbox::new().with_peer(&runtime, from, to, address)
    };
    let address = open(&names[1]);
    let outbox = connect(&names[0], &names[1], address);
    wait(&outbox, None);
    outbox.send(&names[1], vec![Bytes::from_static(b"?")]);
    let other = connect(&names[0], &names[2], address);
    wait(&other, Some("this is west-2, not west-3"));
    let unknown = connect(&names[2], &names[1], address);
    wait(&unknown, Some("instance west-3 is not known here"));
    // No process listens on this port.
    let nobody = connect(&names[0], &names[1], "127.0.0.1:9".parse().unwrap());
    wait(&nobody, Some("refused"));
    // The end that refuses reports it, too.
    let expected = [
        "west-1: a body cannot be decoded",
        "west-1: this is west-2, not west-3",
        "west-3: instance west-3 is not known here",
    ];
    let start = time::Instant::now();
    while *inbox.0.lock().unwrap() != expected.map(str::to_owned).into() {
        assert!(start.elapsed() < time::Duration::from_secs(10), "{:?}", inbox.0.lock());
        thread::sleep(time::Duration::from_millis(1));
    }
}

#[derive(Debug)]
struct Opened(sync::mpsc::Sender<Name>);

impl peer::Observer for Opened {
    fn opened(&self, to: &Name) {
        let _received = self.0.send(to.clone());
    }
}

#[test]
fn observed() {
    // The stream to an instance that starts late is reported once it is open, and not before.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let names = ["west-1", "west-2"].map(Name::new);
    let free = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let (sender, opened) = sync::mpsc::channel();
    let _outbox = peer::Outbox::new()
        .with_observer(sync::Arc::new(Opened(sender)))
        .with_peer(&runtime, &names[0], &names[1], address);
    let early = opened.recv_timeout(time::Duration::from_millis(300));
    assert_eq!(early, Err(sync::mpsc::RecvTimeoutError::Timeout));
    let _server =
        peer::Server::open(&runtime, address, &names[1], sync::Arc::new(Inbox::default())).unwrap();
    assert_eq!(opened.recv_timeout(time::Duration::from_secs(10)).as_ref(), Ok(&names[1]));
}

#[test]
fn closed_at_once() {
    // Nobody stands behind this address: each connection is closed as soon as it is accepted. A
    // stream over a connection that was closed at a bad moment stayed open for good.
    const STREAMS: usize = 200;
    const TEST_TIME: time::Duration = time::Duration::from_secs(12);
    // An unanswered ping closes a stream after 4 s.
    const MAX_OPEN: time::Duration = time::Duration::from_secs(6);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || listener.incoming().for_each(drop));
    let me = Name::new("west-1");
    let names: Vec<_> = (0..STREAMS).map(|at| Name::new(&format!("west-{at}"))).collect();
    let outbox = names
        .iter()
        .fold(peer::Outbox::new(), |outbox, to| outbox.with_peer(&runtime, &me, to, address));
    let start = time::Instant::now();
    let mut last_closed = vec![start; STREAMS];
    while start.elapsed() < TEST_TIME {
        let closed: collections::BTreeSet<_> =
            outbox.closed_streams().into_iter().map(|(name, _)| name).collect();
        for (to, last_closed) in names.iter().zip(&mut last_closed) {
            outbox.send(to, vec![Bytes::from_static(b"message")]);
            if closed.contains(to) {
                *last_closed = time::Instant::now();
            }
            assert!(last_closed.elapsed() < MAX_OPEN, "the stream to {to} is open");
        }
        thread::sleep(time::Duration::from_millis(2));
    }
}
