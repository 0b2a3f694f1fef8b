//! An outbox tells which of its streams are closed, and why.

use std::{sync, thread, time};

use bytes::Bytes;
use link::peer;
use state::name::Name;

struct Inbox;

impl peer::Inbox for Inbox {
    fn deliver(&self, _: &Name, _: Bytes) -> bool {
        true
    }

    fn allows_peer(&self, name: &Name) -> bool {
        name.as_str() == "west-1"
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
    let open = |to: &Name| {
        let address = "127.0.0.1:0".parse().unwrap();
        peer::Server::open(&runtime, address, to, sync::Arc::new(Inbox)).unwrap().address()
    };
    let connect = |from: &Name, to: &Name, address| {
        peer::Outbox::new().with_peer(&runtime, from, to, address)
    };
    let address = open(&names[1]);
    wait(&connect(&names[0], &names[1], address), None);
    let other = connect(&names[0], &names[2], address);
    wait(&other, Some("this is west-2, not west-3"));
    let unknown = connect(&names[2], &names[1], address);
    wait(&unknown, Some("instance west-3 is not known here"));
    // No process listens on this port.
    let nobody = connect(&names[0], &names[1], "127.0.0.1:9".parse().unwrap());
    wait(&nobody, Some("refused"));
}
