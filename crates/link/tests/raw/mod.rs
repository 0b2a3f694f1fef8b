//! An HTTP/1.1 server that writes prepared responses, also more than one to a request.

use std::{
    collections,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net, sync,
    sync::atomic,
    thread, time,
};

/// A request: its headers by name in lower case, and its body.
#[derive(Debug, Default)]
pub struct Request {
    pub headers: collections::BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// A response, and the delay before it in milliseconds.
pub type Delayed = (u64, String);

/// A running server.
#[derive(Debug)]
pub struct Server {
    pub address: net::SocketAddr,
    connections: sync::Arc<atomic::AtomicUsize>,
}

impl Server {
    /// Starts a server that writes the responses that `respond` returns.
    pub fn start(respond: impl Fn(&Request) -> Vec<Delayed> + Send + Sync + 'static) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = sync::Arc::<atomic::AtomicUsize>::default();
        let count = sync::Arc::clone(&connections);
        let respond = sync::Arc::new(respond);
        thread::spawn(move || {
            for stream in listener.incoming() {
                count.fetch_add(1, atomic::Ordering::Relaxed);
                let respond = sync::Arc::clone(&respond);
                thread::spawn(move || serve(stream.unwrap(), respond.as_ref()));
            }
        });
        Self { address, connections }
    }

    /// Number of connections so far.
    pub fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::Relaxed)
    }
}

fn serve(mut stream: net::TcpStream, respond: &dyn Fn(&Request) -> Vec<Delayed>) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read(&mut reader) {
        for (delay, response) in respond(&request) {
            thread::sleep(time::Duration::from_millis(delay));
            // The client may have closed the connection.
            drop(stream.write_all(response.as_bytes()));
        }
    }
}

/// Reads a request; returns `None` at the end of the connection.
fn read(reader: &mut BufReader<net::TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        if let Some((name, value)) = line.split_once(':') {
            request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    request.body = vec![0; request.headers["content-length"].parse().unwrap()];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Formats a response with additional header lines.
pub fn response(extra: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}
