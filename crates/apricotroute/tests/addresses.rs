//! Addresses that tests assign to their instances. The address of a killed instance must still be
//! free when the instance restarts, whatever other test processes and threads do in the meantime.

mod harness;
mod system;

use std::{collections, net, process, sync::atomic, thread};

/// Addresses that one process needs: six parallel tests with three instances each, and some spare.
const ADDRESS_COUNT: u32 = 64;

#[test]
fn apart_from_other_processes() {
    // A machine that runs tests in parallel assigns consecutive process ids.
    const PIDS: std::ops::Range<u32> = 30_000..35_000;
    let mut owners = collections::HashMap::new();
    for pid in PIDS {
        for offset in 0..ADDRESS_COUNT {
            let address = harness::loopback_address(pid, offset);
            assert!(address.ip().is_loopback(), "{address}");
            let other = owners.insert(address, pid);
            assert!(other.is_none(), "processes {other:?} and {pid} both get {address}");
        }
    }
}

#[test]
fn free_while_others_fork() {
    // A forked process holds copies of all open sockets until it executes its program.
    const ADDRESSES: usize = 10_000;
    const FORK_THREADS: usize = 2;
    let done = atomic::AtomicBool::new(false);
    let fork_repeatedly = || {
        while !done.load(atomic::Ordering::Relaxed) {
            assert!(process::Command::new("true").status().unwrap().success());
        }
    };
    let busy: Vec<_> = thread::scope(|scope| {
        for _ in 0..FORK_THREADS {
            scope.spawn(fork_repeatedly);
        }
        let addresses = (0..ADDRESSES).map(|_| harness::free_address());
        let busy = addresses.filter(|address| net::TcpListener::bind(address).is_err()).collect();
        done.store(true, atomic::Ordering::Relaxed);
        busy
    });
    assert!(busy.is_empty(), "{} of {ADDRESSES} addresses are in use: {busy:?}", busy.len());
}

#[test]
fn systems_apart() {
    // Two parallel runs of one test have the same layout and therefore the same `subnet`.
    let layout = || system::Layout { subnet: 120, zones: vec![(1, 1)], has_relays: false };
    let (one, other) = (system::System::new(layout()), system::System::new(layout()));
    for at in 0..2 {
        assert_ne!(one.client(at), other.client(at));
        assert_ne!(one.operator(at), other.operator(at));
    }
}
