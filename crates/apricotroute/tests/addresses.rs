//! Addresses that tests give to their instances. An instance that was killed has to find its own
//! free when it starts again, whatever other test processes and threads do meanwhile.

mod harness;
mod system;

use std::{collections, net, process, sync::atomic, thread};

/// Addresses that one process needs: six tests at a time with three instances each, and room.
const STEPS: u32 = 64;

#[test]
fn apart_from_other_processes() {
    // Consecutive processes: what a machine that runs tests beside each other hands out.
    const PROCESSES: std::ops::Range<u32> = 30_000..35_000;
    let mut seen = collections::HashMap::new();
    for process in PROCESSES {
        for step in 0..STEPS {
            let address = harness::address_of(process, step);
            assert!(address.ip().is_loopback(), "{address}");
            let other = seen.insert(address, process);
            assert!(other.is_none(), "{address} is {other:?}'s and {process}'s");
        }
    }
}

#[test]
fn free_while_others_fork() {
    // A process that is being started holds copies of all open sockets until it runs its program.
    const ADDRESSES: usize = 10_000;
    const FORKERS: usize = 2;
    let ended = atomic::AtomicBool::new(false);
    let fork = || {
        while !ended.load(atomic::Ordering::Relaxed) {
            assert!(process::Command::new("true").status().unwrap().success());
        }
    };
    let busy: Vec<_> = thread::scope(|scope| {
        for _ in 0..FORKERS {
            scope.spawn(fork);
        }
        let addresses = (0..ADDRESSES).map(|_| harness::free_address());
        let busy = addresses.filter(|address| net::TcpListener::bind(address).is_err()).collect();
        ended.store(true, atomic::Ordering::Relaxed);
        busy
    });
    assert!(busy.is_empty(), "{} of {ADDRESSES} in use: {busy:?}", busy.len());
}

#[test]
fn systems_apart() {
    // As two runs of one test beside each other: the same plan, and so the same net.
    let plan = || system::Plan { net: 120, zones: vec![(1, 1)], relays: false };
    let (one, other) = (system::System::new(plan()), system::System::new(plan()));
    for at in 0..2 {
        assert_ne!(one.client(at), other.client(at));
        assert_ne!(one.operator(at), other.operator(at));
    }
}
