//! gRPC streams between instances: each instance connects to every other one and sends on its own
//! stream.
//!
//! The first message of a stream names the instance that opened it and the instance it is meant
//! for. HTTP/2 pings detect an unresponsive peer, so that a stream over a broken link is reopened
//! as soon as the link works again and does not wait for TCP retransmissions on the old connection.

use std::{sync, task, time};

use bytes::Bytes;
use hyper::client::conn::http2;
use hyper_util::rt;
use proto::peer;
use state::name;
use tokio::{net, sync::mpsc};
use tokio_stream::{StreamExt as _, wrappers};
use tonic::{body, codegen};

use crate::{error, metric, socket, vital};

/// Maximum number of batches queued for a peer. Further batches are dropped, as on a broken link.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum size of a message in bytes.
const MAX_MESSAGE: usize = 64 << 20;
/// Connect timeout of the first attempts: 25 round trips between zones. Packets sent to a machine
/// without power are lost, and only a new attempt reaches it once it is back. With a timeout and a
/// pause of 100 ms each, entries that came back from a power loss of all machines 30 to 100 ms
/// after a keeper were connected to it only 200 ms after its first attempt.
const QUICK_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// Number of first attempts, which take one second. Later attempts, to a peer that is unreachable
/// for longer, use [`SLOW_TIMEOUT`].
const QUICK_ATTEMPTS: u32 = 20;
/// Pause between two of the first attempts.
const QUICK_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Connect timeout of later attempts. Each attempt costs packets and time on both sides.
const SLOW_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause between two later attempts to connect, and after a stream has failed.
const SLOW_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Interval of HTTP/2 pings on a stream.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// A stream is closed if a ping is not answered within this time.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Why a stream ended without an error.
const CLOSED: &str = "closed";

/// Receives messages from other instances.
pub trait Inbox: Send + Sync {
    /// Receives one encoded body. Returns whether it could be decoded.
    fn deliver(&self, from: &name::Name, body: Bytes) -> bool;

    /// Returns whether the instance `name` may open a stream to this instance.
    fn allows_peer(&self, name: &name::Name) -> bool;

    /// Reports that a stream of the instance `from` was refused, or that one of its bodies could
    /// not be decoded, with the reason.
    fn report_refusal(&self, from: &name::Name, why: &str);
}

/// Learns of streams that have opened.
pub trait Observer: std::fmt::Debug + Send + Sync {
    /// The stream to the instance `to` is open: what is sent from now on reaches that instance.
    fn opened(&self, to: &name::Name);
}

/// State of the stream to one instance: open, or why it is not.
#[derive(Clone, Debug, Default)]
struct StreamState(sync::Arc<sync::Mutex<Option<String>>>);

impl StreamState {
    fn set(&self, error: Option<String>) {
        *self.0.lock().unwrap_or_else(sync::PoisonError::into_inner) = error;
    }

    fn get(&self) -> Option<String> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }
}

#[derive(Debug)]
struct Stream {
    queue: mpsc::Sender<Vec<Bytes>>,
    state: StreamState,
}

/// The sending ends of the streams to all other instances.
#[derive(Debug, Default)]
pub struct Outbox {
    streams: std::collections::BTreeMap<name::Name, Stream>,
    observer: Option<sync::Arc<dyn Observer>>,
}

impl Outbox {
    /// Creates an outbox without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reports each stream that opens to `observer`. This applies to streams that are added later.
    #[must_use]
    pub fn with_observer(self, observer: sync::Arc<dyn Observer>) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// Adds a stream from the instance `me` to the instance `to`. It is reopened whenever it fails,
    /// until the peer is dropped.
    #[must_use]
    pub fn with_peer(
        mut self,
        runtime: &tokio::runtime::Runtime,
        me: &name::Name,
        to: &name::Name,
        address: std::net::SocketAddr,
    ) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let state = StreamState::default();
        state.set(Some("not opened yet".to_owned()));
        let observer = self.observer.clone();
        let route = Route { me: me.clone(), to: to.clone(), address, observer };
        runtime.spawn(run_sender(route, receiver, state.clone()));
        self.streams.insert(to.clone(), Stream { queue, state });
        self
    }

    /// Returns the instances to which no stream is open, each with the reason.
    pub fn closed_streams(&self) -> Vec<(name::Name, String)> {
        let closed = |(to, stream): (&name::Name, &Stream)| Some((to.clone(), stream.state.get()?));
        self.streams.iter().filter_map(closed).collect()
    }

    /// Returns why no stream is open to the instance `to`; `None` if one is open, or wanted by
    /// nobody.
    pub fn closed_reason(&self, to: &name::Name) -> Option<String> {
        self.streams.get(to)?.state.get()
    }

    /// Closes the stream to the instance `to`.
    pub fn drop_peer(&mut self, to: &name::Name) {
        self.streams.remove(to);
    }

    /// Queues a batch of encoded bodies for `to`. Returns false if there is no stream or its queue
    /// is full. A queued batch is lost if the peer is unreachable for long.
    pub fn send(&self, to: &name::Name, bodies: Vec<Bytes>) -> bool {
        let stream = self.streams.get(to);
        stream.is_some_and(|stream| stream.queue.try_send(bodies).is_ok())
    }
}

/// The two ends of a stream.
struct Route {
    me: name::Name,
    to: name::Name,
    address: std::net::SocketAddr,
    observer: Option<sync::Arc<dyn Observer>>,
}

async fn run_sender(route: Route, mut queue: mpsc::Receiver<Vec<Bytes>>, state: StreamState) {
    let mut failures = 0;
    while !queue.is_closed() {
        let is_quick = failures < QUICK_ATTEMPTS;
        let timeout = if is_quick { QUICK_TIMEOUT } else { SLOW_TIMEOUT };
        let mut pause = if is_quick { QUICK_PAUSE } else { SLOW_PAUSE };
        match connect(route.address, timeout).await {
            Ok((channel, connection)) => {
                state.set(None);
                if let Some(observer) = &route.observer {
                    observer.opened(&route.to);
                }
                state.set(Some(run_stream(channel, connection, &route, &mut queue).await));
                failures = 0;
                pause = SLOW_PAUSE;
            }
            Err(why) => state.set(Some(why)),
        }
        failures += 1;
        // Batches that were queued while no stream was open are dropped, like messages lost in
        // transit.
        while queue.try_recv().is_ok() {}
        tokio::time::sleep(pause).await;
    }
}

/// Sends requests on one connection.
struct Channel(http2::SendRequest<body::Body>);

type Connection = http2::Connection<rt::TokioIo<net::TcpStream>, body::Body, rt::TokioExecutor>;

impl codegen::Service<codegen::http::Request<body::Body>> for Channel {
    type Response = codegen::http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = codegen::BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: codegen::http::Request<body::Body>) -> Self::Future {
        Box::pin(self.0.send_request(req))
    }
}

/// Opens a connection. The caller polls it and so learns when it ends.
///
/// The channel of `tonic` reconnects by itself. When the other side closes a connection that was
/// just opened, a call on it at times never ends, although no connection is left.
async fn connect(
    address: std::net::SocketAddr,
    timeout: time::Duration,
) -> Result<(Channel, Connection), String> {
    let stream = socket::connect(address, timeout).await.map_err(|e| describe(&e))?;
    let handshake = http2::Builder::new(rt::TokioExecutor::new())
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(rt::TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|e| describe(&e))?;
    Ok((Channel(sender), connection))
}

/// Formats an error with its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// Sends queued batches on one stream until it fails; returns the reason.
async fn run_stream(
    channel: Channel,
    connection: Connection,
    route: &Route,
    queue: &mut mpsc::Receiver<Vec<Bytes>>,
) -> String {
    let origin = codegen::http::Uri::builder().scheme("http").authority(route.address.to_string());
    let origin = match origin.path_and_query("/").build() {
        Ok(origin) => origin,
        Err(e) => return describe(&e),
    };
    let mut client = peer::peer_client::PeerClient::with_origin(channel, origin)
        .max_encoding_message_size(MAX_MESSAGE)
        .max_decoding_message_size(MAX_MESSAGE);
    let (sender, receiver) = mpsc::channel(16);
    let (version, from, to) = (proto::VERSION, route.me.to_string(), route.to.to_string());
    let hello = Some(peer::Hello { version, from, to });
    if sender.send(peer::Envelope { hello, bodies: Vec::new() }).await.is_err() {
        return CLOSED.to_owned();
    }
    let call = client.deliver(wrappers::ReceiverStream::new(receiver));
    tokio::select! {
        biased;
        result = call => result.map_or_else(|status| describe(&status), |_| CLOSED.to_owned()),
        result = connection => result.map_or_else(|e| describe(&e), |()| CLOSED.to_owned()),
        () = forward_batches(queue, &sender) => CLOSED.to_owned(),
    }
}

/// Passes queued batches on to a stream until either end is closed.
async fn forward_batches(
    queue: &mut mpsc::Receiver<Vec<Bytes>>,
    sender: &mpsc::Sender<peer::Envelope>,
) {
    while let Ok(permit) = sender.reserve().await {
        let Some(mut bodies) = queue.recv().await else {
            return;
        };
        while let Ok(more) = queue.try_recv() {
            bodies.extend(more);
        }
        permit.send(peer::Envelope { hello: None, bodies });
    }
}

/// A gRPC server that accepts the streams of other instances.
#[derive(Debug)]
pub struct Server {
    address: std::net::SocketAddr,
    task: tokio::task::JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Server {
    /// Listens on `address` for streams to the instance `me`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    ///
    /// ```no_run
    /// # fn run(runtime: &tokio::runtime::Runtime, inbox: std::sync::Arc<dyn link::peer::Inbox>) {
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let server = link::peer::Server::open(runtime, address, &"west-1".into(), inbox).unwrap();
    /// println!("{}", server.address());
    /// # }
    /// ```
    pub fn open(
        runtime: &tokio::runtime::Runtime,
        address: std::net::SocketAddr,
        me: &name::Name,
        inbox: sync::Arc<dyn Inbox>,
    ) -> Result<Self, error::Error> {
        let bind_error = |e| error::Error::new("listen for instances on", address, e);
        let socket = socket::listen(runtime, address).map_err(bind_error)?;
        let address = socket.local_addr().map_err(bind_error)?;
        let service = peer::peer_server::PeerServer::new(Service { me: me.clone(), inbox })
            .max_decoding_message_size(MAX_MESSAGE);
        let incoming = wrappers::TcpListenerStream::new(socket).then(async |stream| {
            if stream.is_err() {
                tokio::time::sleep(socket::ACCEPT_PAUSE).await;
            }
            let stream = stream?;
            stream.set_nodelay(true)?;
            Ok::<_, std::io::Error>(stream)
        });
        let server = tonic::transport::Server::builder()
            .http2_keepalive_interval(Some(PING_INTERVAL))
            .http2_keepalive_timeout(Some(PING_TIMEOUT))
            .add_service(service);
        let task = runtime.spawn(server.serve_with_incoming(incoming));
        Ok(Self { address, task })
    }

    /// Makes the server a part of `owner`, which learns of its end.
    pub fn own(self, runtime: &tokio::runtime::Runtime, owner: &vital::Owner, name: &'static str) {
        runtime.spawn(owner.clone().run(name, async { drop(self.task.await) }));
    }

    /// Returns the local address of the listener.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }
}

struct Service {
    me: name::Name,
    inbox: sync::Arc<dyn Inbox>,
}

impl Service {
    fn check_hello(&self, hello: Option<peer::Hello>) -> Result<name::Name, tonic::Status> {
        let hello = hello.ok_or_else(|| tonic::Status::invalid_argument("no hello"))?;
        let from = name::Name::new(&hello.from);
        self.check_ends(&hello, &from).inspect_err(|status| {
            self.inbox.report_refusal(&from, status.message());
        })?;
        Ok(from)
    }

    fn check_ends(&self, hello: &peer::Hello, from: &name::Name) -> Result<(), tonic::Status> {
        if hello.version != proto::VERSION {
            metric::count_message("refused_version", 0);
            let why = format!("protocol version {}, not {}", hello.version, proto::VERSION);
            return Err(tonic::Status::failed_precondition(why));
        }
        if hello.to != self.me.as_str() {
            metric::count_message("refused_receiver", 0);
            let why = format!("this is {}, not {}", self.me, hello.to);
            return Err(tonic::Status::failed_precondition(why));
        }
        if !self.inbox.allows_peer(from) {
            metric::count_message("refused_sender", 0);
            let why = format!("instance {from} is not known here");
            return Err(tonic::Status::permission_denied(why));
        }
        Ok(())
    }
}

#[tonic::async_trait]
impl peer::peer_server::Peer for Service {
    async fn deliver(
        &self,
        request: tonic::Request<tonic::Streaming<peer::Envelope>>,
    ) -> Result<tonic::Response<peer::Closed>, tonic::Status> {
        let mut stream = request.into_inner();
        let first = stream.message().await?.unwrap_or_default();
        let from = self.check_hello(first.hello)?;
        let mut bodies = first.bodies;
        let mut refused = false;
        loop {
            for body in bodies {
                if !self.inbox.deliver(&from, body) {
                    metric::count_message("refused_body", 0);
                    if !std::mem::replace(&mut refused, true) {
                        self.inbox.report_refusal(&from, "a body cannot be decoded");
                    }
                }
            }
            let Some(next) = stream.message().await? else {
                break;
            };
            bodies = next.bodies;
        }
        Ok(tonic::Response::new(peer::Closed {}))
    }
}
