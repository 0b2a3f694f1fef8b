//! Lets a request out only while its lease lasts. The lease is looked at right before each write,
//! after everything that takes time: finding the address, connecting, waiting for room in buffers.

use std::{cell, io, net, time};

use ureq::{
    config, http,
    unversioned::{
        resolver,
        transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport},
    },
};

thread_local! {
    /// The request that this thread makes. The client works on the thread that calls it.
    static PRESENT: cell::Cell<Present> = const { cell::Cell::new(Present::NONE) };
}

#[derive(Clone, Copy, Debug)]
struct Present {
    lease: Option<time::Instant>,
    written: bool,
    stopped: bool,
}

impl Present {
    const NONE: Self = Self { lease: None, written: false, stopped: false };
}

/// How far a request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Passed {
    /// It was let out, as far as it went.
    All,
    /// It was stopped before its first byte.
    Nothing,
    /// It was stopped midway.
    Part,
}

/// Makes a request under a lease; tells how much of it was let out.
pub(crate) fn under<T>(lease: Option<time::Instant>, call: impl FnOnce() -> T) -> (T, Passed) {
    PRESENT.set(Present { lease, ..Present::NONE });
    let end = call();
    let passed = match PRESENT.replace(Present::NONE) {
        Present { stopped: false, .. } => Passed::All,
        Present { written: false, .. } => Passed::Nothing,
        Present { .. } => Passed::Part,
    };
    (end, passed)
}

/// Takes another write of the present request; false if its lease is over.
fn pass() -> bool {
    let present = PRESENT.get();
    let stopped = present.lease.is_some_and(|lease| time::Instant::now() >= lease);
    PRESENT.set(Present { written: present.written || !stopped, stopped, ..present });
    !stopped
}

/// Puts a gate before each connection.
#[derive(Debug)]
pub(crate) struct Gate;

impl<In: Transport> Connector<In> for Gate {
    type Out = Gated<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        Ok(chained.map(Gated))
    }
}

/// A connection behind a gate.
#[derive(Debug)]
pub(crate) struct Gated<T>(T);

impl<T: Transport> Transport for Gated<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        if !pass() {
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

/// Reads addresses that are written out, without a thread to look them up.
#[derive(Debug, Default)]
pub(crate) struct Resolver(resolver::DefaultResolver);

impl resolver::Resolver for Resolver {
    fn resolve(
        &self,
        uri: &http::Uri,
        config: &config::Config,
        timeout: NextTimeout,
    ) -> Result<resolver::ResolvedSocketAddrs, ureq::Error> {
        let written = uri.authority().map(|authority| authority.as_str().parse());
        let Some(Ok(address)) = written else {
            return self.0.resolve(uri, config, timeout);
        };
        let address: net::SocketAddr = address;
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}
