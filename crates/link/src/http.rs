//! HTTP/1.1 listeners with limits on the size and duration of everything that a client sends.
//!
//! The coding guidelines name `tiny_http`, but it uses one thread for each body that is being read,
//! has no limit on headers and no timeout for a body that does not end. `hyper`, which `tonic`
//! depends on anyway, covers all three. docs/DESIGN.md has the measurement.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, StatusCode, body::Incoming, header, service};
use hyper_util::rt;
use tokio::sync as async_sync;

use crate::{error, socket, vital};

/// Maximum size of a request body in bytes.
pub const MAX_BODY: usize = 8 << 20;
/// Maximum number of bytes buffered for all request bodies that are being read.
pub const MAX_BUFFERED: usize = 64 << 20;
/// Maximum size of a request head in bytes.
pub const MAX_HEAD: usize = 64 << 10;
/// Maximum number of headers of a request.
pub const MAX_HEADERS: usize = 64;
/// Maximum number of connections of one listener.
pub const MAX_CONNECTIONS: usize = 4_096;
/// Timeout for reading the head of a request.
pub const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Timeout for reading the body of a request.
pub const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// A body that is too large is read and discarded up to this size, so that the client receives the
/// error response.
const MAX_DISCARDED: usize = 64 << 20;

/// A request that was received in full.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Request path without the query.
    pub path: String,
    /// Request headers.
    pub headers: header::HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When the connection was accepted.
    pub opened: time::Instant,
}

impl Request {
    /// Returns a header as text, or `None` if it is missing or not ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Headers in addition to `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// Response body.
    pub body: Bytes,
}

impl Response {
    /// Creates a JSON response.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        let content_type = "application/json".to_owned();
        Self { status, content_type, headers: Vec::new(), body: body.into() }
    }

    /// Creates a plain text response.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        let content_type = "text/plain; charset=utf-8".to_owned();
        Self { status, content_type, headers: Vec::new(), body: body.into() }
    }

    /// Returns this response with one more header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Callback for a client that disconnects before it has received its response.
type DisconnectFn = Box<dyn FnOnce() + Send>;
type SharedClient = sync::Arc<sync::Mutex<Client>>;

/// The client of one request, as its connection shows it.
#[derive(Default)]
enum Client {
    /// It waits for the response.
    #[default]
    Waiting,
    /// It waits for the response; the callback runs if it disconnects.
    Watched(DisconnectFn),
    /// The response is ready.
    Answered,
    /// It has disconnected without a response.
    Gone,
}

/// Time in which a client that has read a response closes its connection or sends its next request,
/// if it does so because of that response. One that closes it later may have stopped waiting before
/// the response arrived.
pub const READ_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Callback for a client that has read its response.
type ReadFn = Box<dyn FnOnce() + Send>;

/// The last response of a connection that has a callback, and when it was written.
type ReadSlot = sync::Arc<sync::Mutex<Option<(ReadFn, time::Instant)>>>;

/// Sends the response to one request. If it is dropped without a response, the client receives
/// status 500.
pub struct Responder {
    sender: async_sync::oneshot::Sender<(Response, Option<ReadFn>)>,
    client: SharedClient,
}

impl std::fmt::Debug for Responder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Responder").field("open", &self.is_open()).finish_non_exhaustive()
    }
}

/// Tells whether the client of a request has disconnected. It outlives the [`Responder`].
pub struct ClientWatch {
    client: SharedClient,
}

impl std::fmt::Debug for ClientWatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClientWatch").finish_non_exhaustive()
    }
}

impl ClientWatch {
    /// Runs `callback` if the client disconnects before it has received its response, at once if it
    /// has done so already.
    pub fn on_disconnect(&self, callback: impl FnOnce() + Send + 'static) {
        let Ok(mut client) = self.client.lock() else { return };
        match *client {
            Client::Waiting | Client::Watched(_) => *client = Client::Watched(Box::new(callback)),
            Client::Answered => {}
            Client::Gone => {
                drop(client);
                callback();
            }
        }
    }
}

/// Marks a client as gone if it is dropped before the response is ready.
struct DisconnectGuard {
    client: SharedClient,
}

impl DisconnectGuard {
    /// Records that the response is ready.
    fn disarm(&self) {
        drop(self.replace(Client::Answered));
    }

    /// Sets the state of the client, unless the response was ready before; returns the callback.
    fn replace(&self, next: Client) -> Option<DisconnectFn> {
        let mut client = self.client.lock().ok()?;
        if matches!(*client, Client::Answered) {
            return None;
        }
        match std::mem::replace(&mut *client, next) {
            Client::Watched(callback) => Some(callback),
            _ => None,
        }
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(callback) = self.replace(Client::Gone) {
            callback();
        }
    }
}

impl Responder {
    /// Sends the response.
    pub fn send(self, response: Response) {
        // Sending fails if the client has disconnected; the response is then not needed.
        drop(self.sender.send((response, None)));
    }

    /// Sends the response, and runs `on_read` once the client has shown that it read it: its
    /// connection ends without an error, or carries another request, within [`READ_TIMEOUT`].
    /// Nothing runs for a client that does neither.
    pub fn send_watched(self, response: Response, on_read: impl FnOnce() + Send + 'static) {
        // As in `send`.
        drop(self.sender.send((response, Some(Box::new(on_read)))));
    }

    /// Returns a watch on the client, which may be used after the response was sent.
    pub fn watch(&self) -> ClientWatch {
        ClientWatch { client: sync::Arc::clone(&self.client) }
    }

    /// Returns whether the client is still waiting for the response.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Why a request could not be received in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The body is larger than [`MAX_BODY`].
    TooLarge,
    /// The body did not arrive within [`BODY_TIMEOUT`].
    TooSlow,
    /// The connection failed before the end of the body.
    Broken,
    /// The bodies that are being read exceed [`MAX_BUFFERED`].
    Overloaded,
}

/// Handles the requests of a listener.
pub trait Handler: Send + Sync {
    /// Handles a request. This method must not block; the responder may be used later, from any
    /// thread.
    fn handle(&self, request: Request, responder: Responder);

    /// Returns the response to a request that could not be received in full.
    fn reject(&self, error: RequestError) -> Response;
}

/// A listener that accepts connections until it is closed.
#[derive(Debug)]
pub struct Listener {
    address: net::SocketAddr,
    close: async_sync::watch::Sender<bool>,
    permits: sync::Arc<async_sync::Semaphore>,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and passes requests to `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    ///
    /// ```no_run
    /// # fn run(runtime: &tokio::runtime::Runtime, handler: std::sync::Arc<dyn link::http::Handler>) {
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let listener = link::http::Listener::open(runtime, address, handler).unwrap();
    /// println!("{}", listener.address());
    /// # }
    /// ```
    pub fn open(
        runtime: &tokio::runtime::Runtime,
        address: net::SocketAddr,
        handler: sync::Arc<dyn Handler>,
    ) -> Result<Self, error::Error> {
        let bind_error = |e| error::Error::new("listen on", address, e);
        let socket = socket::listen(runtime, address).map_err(bind_error)?;
        let address = socket.local_addr().map_err(bind_error)?;
        let (close, closed) = async_sync::watch::channel(false);
        let permits = sync::Arc::new(async_sync::Semaphore::new(MAX_CONNECTIONS));
        let task = runtime.spawn(accept(socket, handler, closed, sync::Arc::clone(&permits)));
        Ok(Self { address, close, permits, task })
    }

    /// Makes the listener a part of `owner`, which learns of its end.
    #[must_use]
    pub fn with_owner(
        mut self,
        runtime: &tokio::runtime::Runtime,
        owner: &vital::Owner,
        name: &'static str,
    ) -> Self {
        let task = std::mem::replace(&mut self.task, runtime.spawn(std::future::ready(())));
        self.task = runtime.spawn(owner.clone().run(name, async { drop(task.await) }));
        self
    }

    /// Returns the local address of the listener.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        MAX_CONNECTIONS - self.permits.available_permits()
    }

    /// Stops accepting connections. Requests in progress are completed.
    pub fn close(&self) {
        self.close.send_replace(true);
    }
}

struct Shared {
    handler: sync::Arc<dyn Handler>,
    body_permits: async_sync::Semaphore,
}

async fn accept(
    socket: tokio::net::TcpListener,
    handler: sync::Arc<dyn Handler>,
    mut closed: async_sync::watch::Receiver<bool>,
    permits: sync::Arc<async_sync::Semaphore>,
) {
    let body_permits = async_sync::Semaphore::new(MAX_BUFFERED);
    let shared = sync::Arc::new(Shared { handler, body_permits });
    loop {
        let Ok(permit) = sync::Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = closed.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(socket::ACCEPT_PAUSE).await;
            continue;
        };
        let shared = sync::Arc::clone(&shared);
        let closed = closed.clone();
        tokio::spawn(async move {
            serve(stream, shared, closed).await;
            drop(permit);
        });
    }
}

async fn serve(
    stream: tokio::net::TcpStream,
    shared: sync::Arc<Shared>,
    mut closed: async_sync::watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let opened = time::Instant::now();
    let unread = ReadSlot::default();
    let service = service::service_fn(|request| {
        let (shared, unread) = (sync::Arc::clone(&shared), sync::Arc::clone(&unread));
        async move {
            run_read(&unread);
            let (response, on_read) = respond(request, &shared, opened).await;
            if let (Some(on_read), Ok(mut slot)) = (on_read, unread.lock()) {
                *slot = Some((on_read, time::Instant::now()));
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD)
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A broken connection is not reported, because its client can no longer be answered.
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = closed.wait_for(|closed| *closed) => None,
    };
    match ended {
        Some(Ok(())) => run_read(&unread),
        Some(Err(_)) => {}
        None => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

/// Runs the callback of the last response, if it was written a short time ago.
fn run_read(unread: &ReadSlot) {
    let taken = unread.lock().ok().and_then(|mut slot| slot.take());
    if let Some((on_read, written)) = taken
        && written.elapsed() < READ_TIMEOUT
    {
        on_read();
    }
}

async fn respond(
    request: hyper::Request<Incoming>,
    shared: &Shared,
    opened: time::Instant,
) -> (hyper::Response<Full<Bytes>>, Option<ReadFn>) {
    let (head, body) = request.into_parts();
    let reading = tokio::time::timeout(BODY_TIMEOUT, read_body(body, &shared.body_permits));
    let body = match reading.await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return (encode(shared.handler.reject(error), true), None),
        Err(_) => return (encode(shared.handler.reject(RequestError::TooSlow), true), None),
    };
    let path = head.uri.path().to_owned();
    let request = Request { method: head.method, path, headers: head.headers, body, opened };
    // The connection looks for the end of its input before it continues here: a request is not
    // handled if its client has closed the connection while the request waited to be read.
    tokio::task::yield_now().await;
    let (sender, receiver) = async_sync::oneshot::channel();
    let guard = DisconnectGuard { client: SharedClient::default() };
    let client = sync::Arc::clone(&guard.client);
    shared.handler.handle(request, Responder { sender, client });
    let response = receiver.await;
    guard.disarm();
    match response {
        Ok((response, on_read)) => (encode(response, false), on_read),
        Err(_) => (encode(Response::text(500, "no response\n"), true), None),
    }
}

/// Reads a whole body within the size limits.
async fn read_body(
    mut body: Incoming,
    body_permits: &async_sync::Semaphore,
) -> Result<Bytes, RequestError> {
    let mut permits = Vec::new();
    let mut parts = Vec::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok().ok_or(RequestError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        size += data.len();
        if size > MAX_BODY {
            parts.clear();
            permits.clear();
            if size > MAX_DISCARDED {
                break;
            }
            continue;
        }
        let permit = body_permits.try_acquire_many(data.len() as u32).ok();
        let permit = permit.ok_or(RequestError::Overloaded)?;
        permits.push(permit);
        parts.push(data);
    }
    if size > MAX_BODY {
        return Err(RequestError::TooLarge);
    }
    Ok(match parts.len() {
        0 => Bytes::new(),
        1 => parts.remove(0),
        _ => parts.concat().into(),
    })
}

fn encode(response: Response, close: bool) -> hyper::Response<Full<Bytes>> {
    let mut builder = hyper::Response::builder()
        .status(StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK))
        .header(header::CONTENT_TYPE, &response.content_type);
    for (name, value) in &response.headers {
        builder = builder.header(*name, value);
    }
    if close {
        builder = builder.header(header::CONNECTION, "close");
    }
    builder.body(Full::new(response.body)).unwrap_or_else(|_| {
        // The content type or a header is not a valid header value.
        hyper::Response::new(Full::new(Bytes::new()))
    })
}
