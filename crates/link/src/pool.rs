//! A thread pool for blocking calls that grows and shrinks with the load.

use std::{panic, sync, thread, time};

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
    counts: sync::Arc<sync::Mutex<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    threads: usize,
    /// Tasks that are queued or running.
    tasks: usize,
}

impl Pool {
    /// Creates a pool of at most `limit` threads.
    pub fn new(name: &'static str, limit: usize) -> Self {
        let (sender, receiver) = crossbeam_channel::unbounded();
        Self { name, limit, sender, receiver, counts: sync::Arc::default() }
    }

    /// Returns the current number of threads.
    pub fn threads(&self) -> usize {
        lock(&self.counts).threads
    }

    /// Runs `task` on a thread of the pool. The task is queued if all threads are busy and the
    /// limit is reached.
    pub fn run(&self, task: impl FnOnce() + Send + 'static) {
        let mut counts = lock(&self.counts);
        counts.tasks += 1;
        let grows = counts.threads < counts.tasks.min(self.limit);
        counts.threads += usize::from(grows);
        drop(counts);
        // Sending cannot fail: the pool itself holds a receiver, so the channel is open.
        drop(self.sender.send(Box::new(task)));
        if grows {
            self.spawn_thread();
        }
    }

    fn spawn_thread(&self) {
        let receiver = self.receiver.clone();
        let counts = sync::Arc::clone(&self.counts);
        let builder = thread::Builder::new().name(self.name.to_owned()).stack_size(STACK_SIZE);
        let spawned = builder.spawn(move || run_tasks(&receiver, &counts));
        if spawned.is_err() {
            lock(&self.counts).threads -= 1;
        }
    }
}

fn lock(counts: &sync::Mutex<Counts>) -> sync::MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn run_tasks(receiver: &crossbeam_channel::Receiver<Task>, counts: &sync::Mutex<Counts>) {
    loop {
        if let Ok(task) = receiver.recv_timeout(IDLE_TIMEOUT) {
            // The panic hook has reported a panic. The thread goes on with the next task.
            drop(panic::catch_unwind(panic::AssertUnwindSafe(task)));
            lock(counts).tasks -= 1;
            continue;
        }
        let mut counts = lock(counts);
        // A task that was added meanwhile may rely on this thread.
        if counts.tasks < counts.threads {
            counts.threads -= 1;
            return;
        }
    }
}
