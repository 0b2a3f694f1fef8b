//! A thread pool for blocking calls that grows and shrinks with the load.

use std::{sync, sync::atomic, thread, time};

/// An idle thread ends after this time.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Stack size of a thread in bytes.
const STACK_SIZE: usize = 256 << 10;

type Task = Box<dyn FnOnce() + Send>;

/// A thread pool that grows with the number of concurrent calls, up to a limit.
#[derive(Debug)]
pub struct Pool {
    name: &'static str,
    limit: usize,
    sender: crossbeam_channel::Sender<Task>,
    receiver: crossbeam_channel::Receiver<Task>,
    counts: sync::Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    threads: atomic::AtomicUsize,
    idle: atomic::AtomicUsize,
}

impl Pool {
    /// Creates a pool of at most `limit` threads.
    pub fn new(name: &'static str, limit: usize) -> Self {
        let (sender, receiver) = crossbeam_channel::unbounded();
        Self { name, limit, sender, receiver, counts: sync::Arc::default() }
    }

    /// Returns the current number of threads.
    pub fn threads(&self) -> usize {
        self.counts.threads.load(atomic::Ordering::Relaxed)
    }

    /// Runs `task` on a thread of the pool. The task is queued if all threads are busy and the
    /// limit is reached.
    pub fn run(&self, task: impl FnOnce() + Send + 'static) {
        let queued = self.sender.len();
        // Sending cannot fail: the pool itself holds a receiver, so the channel is open.
        drop(self.sender.send(Box::new(task)));
        let idle = self.counts.idle.load(atomic::Ordering::Relaxed);
        if idle <= queued && self.threads() < self.limit {
            self.spawn_thread();
        }
    }

    fn spawn_thread(&self) {
        let receiver = self.receiver.clone();
        let counts = sync::Arc::clone(&self.counts);
        counts.threads.fetch_add(1, atomic::Ordering::Relaxed);
        let builder = thread::Builder::new().name(self.name.to_owned()).stack_size(STACK_SIZE);
        let spawned = builder.spawn(move || run_tasks(&receiver, &counts));
        if spawned.is_err() {
            self.counts.threads.fetch_sub(1, atomic::Ordering::Relaxed);
        }
    }
}

fn run_tasks(receiver: &crossbeam_channel::Receiver<Task>, counts: &Counts) {
    loop {
        counts.idle.fetch_add(1, atomic::Ordering::Relaxed);
        let next = receiver.recv_timeout(IDLE_TIMEOUT);
        counts.idle.fetch_sub(1, atomic::Ordering::Relaxed);
        match next {
            Ok(next) => next(),
            Err(_) => break,
        }
    }
    counts.threads.fetch_sub(1, atomic::Ordering::Relaxed);
}
