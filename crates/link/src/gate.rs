//! Two checks on the connections to upstreams.
//!
//! Writes of a request are blocked after its lease has expired. The lease is checked immediately
//! before each write, after the steps that take time: resolving the address, connecting and waiting
//! for space in buffers.
//!
//! A connection is used again only if its last answer was verified to belong to its request.
//! Otherwise more bytes may follow, which the next request would read as its answer.

use std::{cell, io, net, sync, sync::atomic, time};

use ureq::{
    config, http,
    unversioned::{
        resolver,
        transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport},
    },
};

thread_local! {
    /// State of the request that this thread sends. The client runs on the thread that calls it.
    static CURRENT: cell::Cell<CallState> = const { cell::Cell::new(CallState::NONE) };
    /// The connection on which this thread sends that request.
    static CONNECTION: cell::RefCell<Option<Connection>> = const { cell::RefCell::new(None) };
}

/// The connection that carried a request.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    is_verified: sync::Arc<atomic::AtomicBool>,
    /// Whether it carried an earlier request.
    pub(crate) is_reused: bool,
}

impl Connection {
    /// Records that the answer belongs to the request, so that the connection may be used again.
    pub(crate) fn mark_verified(&self) {
        self.is_verified.store(true, atomic::Ordering::Relaxed);
    }
}

#[derive(Clone, Copy, Debug)]
struct CallState {
    lease_end: Option<time::Instant>,
    written: bool,
    blocked: bool,
}

impl CallState {
    const NONE: Self = Self { lease_end: None, written: false, blocked: false };
}

/// How much of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// No write was blocked.
    All,
    /// The first write was blocked, so that no byte was written.
    Nothing,
    /// A later write was blocked after part of the request was written.
    Part,
}

/// Runs `call` under a lease that ends at `lease_end`. Returns its result, how much of the request
/// was written, and the connection that carried it.
pub(crate) fn with_lease<T>(
    lease_end: Option<time::Instant>,
    call: impl FnOnce() -> T,
) -> (T, Written, Option<Connection>) {
    CURRENT.set(CallState { lease_end, ..CallState::NONE });
    CONNECTION.set(None);
    let result = call();
    let written = match CURRENT.replace(CallState::NONE) {
        CallState { blocked: false, .. } => Written::All,
        CallState { written: false, .. } => Written::Nothing,
        CallState { .. } => Written::Part,
    };
    (result, written, CONNECTION.take())
}

/// Checks the lease before a write of the current request; returns false if it has expired.
fn allow_write(current: CallState) -> bool {
    let blocked = current.lease_end.is_some_and(|end| time::Instant::now() >= end);
    CURRENT.set(CallState { written: current.written || !blocked, blocked, ..current });
    !blocked
}

/// A connector that wraps each connection in a [`CheckedTransport`].
#[derive(Debug)]
pub(crate) struct CheckedConnector;

impl<In: Transport> Connector<In> for CheckedConnector {
    type Out = CheckedTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let wrap = |inner| CheckedTransport { inner, is_verified: sync::Arc::default() };
        Ok(chained.map(wrap))
    }
}

/// A connection that checks the lease before each write, and that is open for another request only
/// after its last answer was verified.
#[derive(Debug)]
pub(crate) struct CheckedTransport<T> {
    inner: T,
    is_verified: sync::Arc<atomic::AtomicBool>,
}

impl<T: Transport> CheckedTransport<T> {
    /// Begins a request: its answer is not verified yet.
    fn begin_request(&self) {
        let is_reused = self.is_verified.swap(false, atomic::Ordering::Relaxed);
        let is_verified = sync::Arc::clone(&self.is_verified);
        CONNECTION.set(Some(Connection { is_verified, is_reused }));
    }
}

impl<T: Transport> Transport for CheckedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let current = CURRENT.get();
        if !current.written {
            self.begin_request();
        }
        if !allow_write(current) {
            return Err(io::Error::other("the lease is over").into());
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.is_verified.load(atomic::Ordering::Relaxed) && self.inner.is_open()
    }
}

/// Parses literal `IP:PORT` addresses without starting a thread for a name lookup.
#[derive(Debug, Default)]
pub(crate) struct Resolver(resolver::DefaultResolver);

impl resolver::Resolver for Resolver {
    fn resolve(
        &self,
        uri: &http::Uri,
        config: &config::Config,
        timeout: NextTimeout,
    ) -> Result<resolver::ResolvedSocketAddrs, ureq::Error> {
        let literal = uri.authority().map(|authority| authority.as_str().parse());
        let Some(Ok(address)) = literal else {
            return self.0.resolve(uri, config, timeout);
        };
        let address: net::SocketAddr = address;
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}
