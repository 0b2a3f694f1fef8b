//! Blocks writes of a request after its lease has expired. The lease is checked immediately before
//! each write, after the steps that take time: resolving the address, connecting and waiting for
//! space in buffers.

use std::{cell, io, net, time};

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

/// Runs `call` under a lease that ends at `lease_end`. Returns its result and how much of the
/// request was written.
pub(crate) fn with_lease<T>(
    lease_end: Option<time::Instant>,
    call: impl FnOnce() -> T,
) -> (T, Written) {
    CURRENT.set(CallState { lease_end, ..CallState::NONE });
    let result = call();
    let written = match CURRENT.replace(CallState::NONE) {
        CallState { blocked: false, .. } => Written::All,
        CallState { written: false, .. } => Written::Nothing,
        CallState { .. } => Written::Part,
    };
    (result, written)
}

/// Checks the lease before a write of the current request; returns false if it has expired.
fn allow_write() -> bool {
    let current = CURRENT.get();
    let blocked = current.lease_end.is_some_and(|end| time::Instant::now() >= end);
    CURRENT.set(CallState { written: current.written || !blocked, blocked, ..current });
    !blocked
}

/// A connector that wraps each connection in a [`LeaseTransport`].
#[derive(Debug)]
pub(crate) struct LeaseConnector;

impl<In: Transport> Connector<In> for LeaseConnector {
    type Out = LeaseTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        Ok(chained.map(LeaseTransport))
    }
}

/// A connection that checks the lease before each write.
#[derive(Debug)]
pub(crate) struct LeaseTransport<T>(T);

impl<T: Transport> Transport for LeaseTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        if !allow_write() {
            return Err(io::Error::other("the lease is over").into());
        }
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
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
