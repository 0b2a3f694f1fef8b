//! A call never waits behind another one while the pool may have more threads.
//!
//! A thread that had just taken a call counted as idle for a moment. A call that was added at this
//! moment got no thread of its own, and waited as long as the other call took.

use std::{sync::mpsc, time};

use link::pool::Pool;

/// Time within which a call must begin.
const LIMIT: time::Duration = time::Duration::from_secs(5);

#[test]
fn pairs() {
    let pool = Pool::new("test", 8);
    for round in 0..50_000 {
        let (release, released) = mpsc::channel();
        let (done, ended) = mpsc::channel();
        pool.run(move || {
            // Ends only once the second call has begun.
            let result = released.recv_timeout(LIMIT);
            let _sent = done.send(result.is_ok());
        });
        pool.run(move || {
            let _sent = release.send(());
        });
        assert_eq!(ended.recv(), Ok(true), "round {round}");
    }
}

#[test]
fn bounded() {
    let pool = Pool::new("test", 3);
    let (sender, receiver) = mpsc::channel();
    for number in 0..100 {
        let sender = sender.clone();
        pool.run(move || {
            let _sent = sender.send(number);
        });
        assert!(pool.threads() <= 3);
    }
    let mut numbers: Vec<i32> = receiver.iter().take(100).collect();
    numbers.sort_unstable();
    assert_eq!(numbers, (0..100).collect::<Vec<_>>());
}

#[test]
fn after_panic() {
    let pool = Pool::new("test", 1);
    pool.run(|| panic!("a call that panics"));
    let (sender, receiver) = mpsc::channel();
    pool.run(move || {
        let _sent = sender.send(());
    });
    assert_eq!(receiver.recv_timeout(LIMIT), Ok(()));
}
