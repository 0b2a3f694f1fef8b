//! Many clients connect at once while the instance is too busy to accept connections.
//!
//! This guards against answers that are 1 s late when some hundred connections arrive at once. With
//! a backlog of 128 connections the kernel drops the next one, and its client retries after 1 s.
//! With 400 connections in a row to one entry the kernel counted one drop in most runs
//! (`ListenOverflows`), and a request was answered 1.127 s after it was sent instead of 0.13 s.

use std::{
    io::{Read as _, Write as _},
    net, sync, time,
};

use link::http;

/// Number of clients. It exceeds the number of connections that arrive while a busy instance
/// accepts none.
const CLIENTS: usize = 600;
/// Timeout of a client. It is shorter than the 1 s after which the kernel retries a connection
/// attempt.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Answers every complete request with status 200.
struct OkHandler;

impl http::Handler for OkHandler {
    fn handle(&self, _: http::Request, responder: http::Responder) {
        responder.send(http::Response::text(200, "ok"));
    }

    fn reject(&self, _: http::RequestError) -> http::Response {
        http::Response::text(400, "fault")
    }
}

#[test]
fn many_at_once() {
    // The listener accepts no connection before the runtime runs.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = http::Listener::open(&runtime, any, sync::Arc::new(OkHandler)).unwrap();
    let connect = |_| net::TcpStream::connect_timeout(&listener.address(), TIMEOUT).unwrap();
    let mut clients: Vec<_> = (0..CLIENTS).map(connect).collect();
    for client in &mut clients {
        client.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    }
    runtime.block_on(async {
        while listener.connections() < CLIENTS {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    });
    for client in &mut clients {
        client.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut text = [0; 12];
        client.read_exact(&mut text).unwrap();
        assert_eq!(&text, b"HTTP/1.1 200");
    }
}
