//! A handler learns that its client has left, whenever it asks.

use std::{
    io::Write as _,
    net, sync,
    sync::mpsc,
    time::{Duration, Instant},
};

use link::http;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Passes the responder of each request on.
struct Keep(sync::Mutex<mpsc::Sender<http::Responder>>);

impl http::Handler for Keep {
    fn handle(&self, _: http::Request, responder: http::Responder) {
        self.0.lock().unwrap().send(responder).unwrap();
    }

    fn reject(&self, _: http::RequestError) -> http::Response {
        http::Response::text(400, "fault")
    }
}

/// Sends a request and closes its connection before the runtime of the listener runs again.
fn send_and_close(runtime: &tokio::runtime::Runtime, address: net::SocketAddr) {
    let mut client = net::TcpStream::connect(address).unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    drop(client);
    runtime.block_on(async { tokio::time::sleep(Duration::from_millis(100)).await });
}

/// Guards against a request that is handled although its client closed the connection before the
/// request was read.
#[test]
fn left_unread() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (sender, responders) = mpsc::channel();
    let any = "127.0.0.1:0".parse().unwrap();
    let handler = sync::Arc::new(Keep(sync::Mutex::new(sender)));
    let listener = http::Listener::open(&runtime, any, handler).unwrap();
    for _ in 0..20 {
        send_and_close(&runtime, listener.address());
        assert!(responders.try_recv().is_err(), "the request is handled");
    }
}

/// Guards against a callback that never runs because the client left before it was set.
#[test]
fn left_before() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (sender, responders) = mpsc::channel();
    let any = "127.0.0.1:0".parse().unwrap();
    let handler = sync::Arc::new(Keep(sync::Mutex::new(sender)));
    let listener = http::Listener::open(&runtime, any, handler).unwrap();
    let mut client = net::TcpStream::connect(listener.address()).unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let responder = responders.recv_timeout(TIMEOUT).unwrap();
    drop(client);
    let until = Instant::now() + TIMEOUT;
    while responder.is_open() {
        assert!(Instant::now() < until, "the close is noticed");
        std::thread::sleep(Duration::from_millis(5));
    }
    let (sender, called) = mpsc::channel();
    responder.watch().on_disconnect(move || sender.send(()).unwrap());
    called.recv_timeout(TIMEOUT).expect("the callback runs");
}
