//! An asynchronous HTTP/1.1 client that reuses connections.

use std::{collections, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{client::conn::http1, header};
use hyper_util::rt;

/// Maximum size of a response body in bytes.
const MAX_BODY: usize = 4 << 20;
/// Timeout for connecting within an availability zone. It leaves no time to retransmit either of
/// the two opening packets.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// An idle connection is not reused after this time, because the other side may have closed it.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of idle connections for one address.
const MAX_IDLE: usize = 8;

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
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
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

struct IdleConnection {
    sender: Sender,
    last_used: time::Instant,
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

    /// Sends a request and waits for the whole response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the response does not arrive in time. The variant says whether the
    /// request may have reached the server.
    pub async fn call(&self, request: Request) -> Result<Response, Failure> {
        let deadline = tokio::time::Instant::now() + request.timeout;
        let mut sender = self.sender(request.address, request.timeout).await?;
        let address = request.address;
        let exchange = async {
            let response = sender.send_request(encode(request)).await.map_err(|e| failure(&e))?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
            let body = body.ok().ok_or(Failure::Lost)?.to_bytes();
            Ok(Response { status, body })
        };
        // A timeout drops the sender, which closes the connection.
        let response =
            tokio::time::timeout_at(deadline, exchange).await.ok().ok_or(Failure::Lost)??;
        self.put_idle(address, sender);
        Ok(response)
    }

    async fn sender(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Sender, Failure> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(address, timeout).await
    }

    /// Takes an idle connection that is still open from the pool.
    fn take_idle(&self, address: net::SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().ok()?;
        let list = idle.get_mut(&address)?;
        while let Some(IdleConnection { sender, last_used }) = list.pop() {
            if !sender.is_closed() && last_used.elapsed() < IDLE_TIMEOUT {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, address: net::SocketAddr, sender: Sender) {
        if let Ok(mut idle) = self.idle.lock() {
            let list = idle.entry(address).or_default();
            if list.len() < MAX_IDLE && !sender.is_closed() {
                list.push(IdleConnection { sender, last_used: time::Instant::now() });
            }
        }
    }
}

async fn connect(address: net::SocketAddr, timeout: time::Duration) -> Result<Sender, Failure> {
    let stream = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT.min(timeout), stream).await;
    let stream = stream.ok().and_then(Result::ok).ok_or(Failure::Unsent)?;
    stream.set_nodelay(true).ok().ok_or(Failure::Unsent)?;
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
