//! Calls over HTTP/1.1 from the runtime's threads, on connections that are kept.

use std::{collections, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{client::conn::http1, header};
use hyper_util::rt;

/// Largest body of a response, bytes.
const MAX_BODY: usize = 4 << 20;
/// Time to connect: two opening packets within an availability zone may not be lost.
const CONNECT: time::Duration = time::Duration::from_millis(200);
/// A connection that was not used this long is not used again: the other side may have closed it.
const IDLE: time::Duration = time::Duration::from_secs(10);
/// Connections kept for one address.
const KEPT: usize = 8;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where it goes, `IP:PORT`.
    pub address: net::SocketAddr,
    /// Method.
    pub method: hyper::Method,
    /// Path.
    pub path: std::borrow::Cow<'static, str>,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Bytes,
    /// Time until the call is given up.
    pub patience: time::Duration,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written.
    Unsent,
    /// The request may have arrived.
    Lost,
}

/// The method of most calls.
pub const POST: hyper::Method = hyper::Method::POST;
/// The method of calls that may be repeated.
pub const PUT: hyper::Method = hyper::Method::PUT;

type Sender = http1::SendRequest<Full<Bytes>>;

struct Kept {
    sender: Sender,
    used: time::Instant,
}

/// Connections to other programs.
#[derive(Clone, Default)]
pub struct Caller {
    kept: sync::Arc<sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Kept>>>>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caller").finish_non_exhaustive()
    }
}

impl Caller {
    /// No connections yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the whole response.
    ///
    /// # Errors
    ///
    /// There is no response in time, and whether the request may have arrived.
    pub async fn call(&self, request: Request) -> Result<Response, Failure> {
        let until = tokio::time::Instant::now() + request.patience;
        let mut sender = self.sender(request.address, request.patience).await?;
        let address = request.address;
        let whole = async {
            let response = sender.send_request(encode(request)).await.map_err(|e| failure(&e))?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
            let body = body.ok().ok_or(Failure::Lost)?.to_bytes();
            Ok(Response { status, body })
        };
        // A call that is given up takes its connection with it.
        let response = tokio::time::timeout_at(until, whole).await.ok().ok_or(Failure::Lost)??;
        self.keep(address, sender);
        Ok(response)
    }

    async fn sender(
        &self,
        address: net::SocketAddr,
        patience: time::Duration,
    ) -> Result<Sender, Failure> {
        while let Some(mut sender) = self.take(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(address, patience).await
    }

    /// A kept connection that is still open.
    fn take(&self, address: net::SocketAddr) -> Option<Sender> {
        let mut kept = self.kept.lock().ok()?;
        let list = kept.get_mut(&address)?;
        while let Some(Kept { sender, used }) = list.pop() {
            if !sender.is_closed() && used.elapsed() < IDLE {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: net::SocketAddr, sender: Sender) {
        if let Ok(mut kept) = self.kept.lock() {
            let list = kept.entry(address).or_default();
            if list.len() < KEPT && !sender.is_closed() {
                list.push(Kept { sender, used: time::Instant::now() });
            }
        }
    }
}

async fn connect(address: net::SocketAddr, patience: time::Duration) -> Result<Sender, Failure> {
    let stream = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT.min(patience), stream).await;
    let stream = stream.ok().and_then(Result::ok).ok_or(Failure::Unsent)?;
    stream.set_nodelay(true).ok().ok_or(Failure::Unsent)?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.ok().ok_or(Failure::Unsent)?;
    tokio::spawn(async move {
        // The call on it reports what went wrong.
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
