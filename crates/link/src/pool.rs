//! An elastic pool of threads for calls that block.

use std::{sync, sync::atomic, thread, time};

/// A thread without work ends after this.
const IDLE: time::Duration = time::Duration::from_secs(10);
/// Stack of a thread, bytes.
const STACK: usize = 256 << 10;

type Work = Box<dyn FnOnce() + Send>;

/// Threads that grow with the calls under way, up to a bound.
#[derive(Debug)]
pub struct Pool {
    name: &'static str,
    limit: usize,
    sender: crossbeam_channel::Sender<Work>,
    receiver: crossbeam_channel::Receiver<Work>,
    counts: sync::Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    threads: atomic::AtomicUsize,
    idle: atomic::AtomicUsize,
}

impl Pool {
    /// A pool of at most `limit` threads.
    pub fn new(name: &'static str, limit: usize) -> Self {
        let (sender, receiver) = crossbeam_channel::unbounded();
        Self { name, limit, sender, receiver, counts: sync::Arc::default() }
    }

    /// Threads at present.
    pub fn threads(&self) -> usize {
        self.counts.threads.load(atomic::Ordering::Relaxed)
    }

    /// Runs `work` on a thread of the pool; it waits if all are busy and the bound is reached.
    pub fn run(&self, work: impl FnOnce() + Send + 'static) {
        let waiting = self.sender.len();
        // The pool itself holds a receiver, so the channel is open.
        drop(self.sender.send(Box::new(work)));
        let idle = self.counts.idle.load(atomic::Ordering::Relaxed);
        if idle <= waiting && self.threads() < self.limit {
            self.grow();
        }
    }

    fn grow(&self) {
        let receiver = self.receiver.clone();
        let counts = sync::Arc::clone(&self.counts);
        counts.threads.fetch_add(1, atomic::Ordering::Relaxed);
        let builder = thread::Builder::new().name(self.name.to_owned()).stack_size(STACK);
        let spawned = builder.spawn(move || work(&receiver, &counts));
        if spawned.is_err() {
            self.counts.threads.fetch_sub(1, atomic::Ordering::Relaxed);
        }
    }
}

fn work(receiver: &crossbeam_channel::Receiver<Work>, counts: &Counts) {
    loop {
        counts.idle.fetch_add(1, atomic::Ordering::Relaxed);
        let next = receiver.recv_timeout(IDLE);
        counts.idle.fetch_sub(1, atomic::Ordering::Relaxed);
        match next {
            Ok(next) => next(),
            Err(_) => break,
        }
    }
    counts.threads.fetch_sub(1, atomic::Ordering::Relaxed);
}
