//! An asynchronous HTTP/1.1 client that reuses connections.
//!
//! If a server writes two responses to one request, the second one could be read as the response to
//! the next request on that connection. A byte that arrives while the connection is idle closes it,
//! and a response on a reused connection must state a server clock that has advanced since the
//! previous response (see [`Connection::accept`]).

use std::{collections, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{client::conn::http1, header};
use hyper_util::rt;

use crate::{metric, socket};

/// Maximum size of a response body in bytes.
const MAX_BODY: usize = 4 << 20;
/// Timeout for connecting within an availability zone. It leaves no time to retransmit either of
/// the two opening packets.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// An idle connection is not reused after this time, because the other side may have closed it.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// A connection that was used less than this time ago is not reused. After this time, the server's
/// clock has advanced by more than its resolution of 1 ms, so that a copy of the last response is
/// recognized.
const MIN_IDLE: time::Duration = time::Duration::from_millis(5);
/// Maximum number of idle connections for one address.
const MAX_IDLE: usize = 8;
/// Minimum rate of a server's clock, as a fraction of this instance's clock.
const MIN_CLOCK_RATE: (u128, u128) = (15, 16);

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Address of the server, `IP:PORT`.
    pub address: net::SocketAddr,
    /// HTTP method.
    pub method: hyper::Method,
    /// Request path.
    pub path: std::borrow::Cow<'static, str>,
    /// Headers in addition to `Host` and `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Bytes,
    /// Timeout of the whole call.
    pub timeout: time::Duration,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
    /// The connection on which the response arrived.
    pub connection: Connection,
}

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The client wrote no byte of the request.
    Unsent,
    /// The call failed after the request may have reached the server.
    Lost,
}

/// The HTTP method `POST`, which most calls use.
pub const POST: hyper::Method = hyper::Method::POST;
/// The HTTP method `PUT`, for idempotent calls.
pub const PUT: hyper::Method = hyper::Method::PUT;

type Sender = http1::SendRequest<Full<Bytes>>;

/// The server's clock as stated in a response, milliseconds, and when that response arrived.
#[derive(Clone, Copy, Debug)]
struct Reading {
    clock: u64,
    at: time::Instant,
}

impl Reading {
    /// Returns the lowest value that the server's clock can have at `at`, milliseconds.
    fn min_clock(&self, at: time::Instant) -> u64 {
        let (numerator, denominator) = MIN_CLOCK_RATE;
        let elapsed = at.saturating_duration_since(self.at).as_millis();
        self.clock.saturating_add((elapsed * numerator / denominator) as u64)
    }
}

/// The connection on which a response arrived. It is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    caller: Caller,
    address: net::SocketAddr,
    sender: Sender,
    /// Lowest clock value that the response to the last request can state; 0 on a new connection.
    min_clock: u64,
}

impl Connection {
    /// Checks a response by the server's monotonic clock that it states, milliseconds. Returns
    /// whether the response can belong to the request: on a reused connection, the clock must have
    /// advanced since the previous response by the time that passed until the request was sent.
    ///
    /// Returns the connection to the pool if the check succeeds. A connection whose last response
    /// states no clock is closed, because the next response on it could not be checked.
    pub fn accept(self, clock: Option<u64>) -> bool {
        let Some(clock) = clock else {
            return true;
        };
        if clock < self.min_clock {
            metric::count_surplus_response();
            return false;
        }
        let reading = Reading { clock, at: time::Instant::now() };
        self.caller.put_idle(self.address, IdleConnection { sender: self.sender, reading });
        true
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    reading: Reading,
}

/// An HTTP client with a pool of idle connections. Clones share the pool.
#[derive(Clone, Default)]
pub struct Caller {
    idle: sync::Arc<sync::Mutex<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caller").finish_non_exhaustive()
    }
}

impl Caller {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the whole response. The connection is reused only after
    /// [`Connection::accept`].
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the response does not arrive in time. The variant says whether the
    /// request may have reached the server.
    pub async fn call(&self, request: Request) -> Result<Response, Failure> {
        let deadline = tokio::time::Instant::now() + request.timeout;
        let address = request.address;
        let mut connection = self.connection(address, request.timeout).await?;
        let exchange = async {
            let response = connection.sender.send_request(encode(request)).await;
            let response = response.map_err(|e| failure(&e))?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
            let body = body.ok().ok_or(Failure::Lost)?.to_bytes();
            Ok((status, body))
        };
        // A timeout drops the sender, which closes the connection.
        let (status, body) =
            tokio::time::timeout_at(deadline, exchange).await.ok().ok_or(Failure::Lost)??;
        Ok(Response { status, body, connection })
    }

    async fn connection(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Connection, Failure> {
        let caller = self.clone();
        while let Some(IdleConnection { mut sender, reading }) = self.take_idle(address) {
            if sender.ready().await.is_ok() {
                let min_clock = reading.min_clock(time::Instant::now());
                return Ok(Connection { caller, address, sender, min_clock });
            }
        }
        let sender = connect(address, timeout).await?;
        Ok(Connection { caller, address, sender, min_clock: 0 })
    }

    /// Takes the connection from the pool that was used last among those that are still open and
    /// have been idle for long enough.
    fn take_idle(&self, address: net::SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().ok()?;
        let list = idle.get_mut(&address)?;
        list.retain(|connection| {
            !connection.sender.is_closed() && connection.reading.at.elapsed() < IDLE_TIMEOUT
        });
        let at = list.iter().rposition(|connection| connection.reading.at.elapsed() >= MIN_IDLE)?;
        Some(list.remove(at))
    }

    fn put_idle(&self, address: net::SocketAddr, connection: IdleConnection) {
        if let Ok(mut idle) = self.idle.lock() {
            let list = idle.entry(address).or_default();
            if list.len() < MAX_IDLE && !connection.sender.is_closed() {
                list.push(connection);
            }
        }
    }
}

async fn connect(address: net::SocketAddr, timeout: time::Duration) -> Result<Sender, Failure> {
    let stream = socket::connect(address, CONNECT_TIMEOUT.min(timeout)).await;
    let stream = stream.ok().ok_or(Failure::Unsent)?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.ok().ok_or(Failure::Unsent)?;
    tokio::spawn(async move {
        // The call that uses this connection reports its errors.
        drop(connection.await);
    });
    Ok(sender)
}

fn encode(request: Request) -> hyper::Request<Full<Bytes>> {
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(request.path.as_ref())
        .header(header::HOST, request.address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(request.body)).unwrap_or_default()
}

fn failure(error: &hyper::Error) -> Failure {
    if error.is_canceled() { Failure::Unsent } else { Failure::Lost }
}
