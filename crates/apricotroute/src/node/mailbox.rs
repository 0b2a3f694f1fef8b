//! The input queue of the control thread.
//!
//! Common channels spin before they sleep. With a twentieth of a core that costs a process more
//! than its work does: in an idle process, 300 of 420 system calls per second were yields. This
//! queue sleeps at once, and its reader takes all waiting entries together.

use std::{sync, time};

/// Maximum number of entries that wait in the queue.
const CAPACITY: usize = 65_536;

/// A bounded queue with one reader.
pub struct Mailbox<T> {
    state: sync::Mutex<State<T>>,
    condvar: sync::Condvar,
}

struct State<T> {
    entries: Vec<T>,
    /// Whether an entry that must wake the reader is waiting.
    urgent: bool,
    asleep: bool,
}

impl<T> std::fmt::Debug for Mailbox<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Mailbox").field("waiting", &self.lock().entries.len()).finish()
    }
}

impl<T> Mailbox<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        let state = State { entries: Vec::new(), urgent: false, asleep: false };
        Self { state: sync::Mutex::new(state), condvar: sync::Condvar::new() }
    }

    /// Adds an entry and wakes the reader; returns the entry if the queue is full.
    pub fn push(&self, entry: T) -> Result<(), T> {
        self.add(entry, true)
    }

    /// Adds an entry without waking the reader; returns the entry if the queue is full.
    pub fn push_deferred(&self, entry: T) -> Result<(), T> {
        self.add(entry, false)
    }

    fn add(&self, entry: T, urgent: bool) -> Result<(), T> {
        let mut state = self.lock();
        if state.entries.len() >= CAPACITY {
            return Err(entry);
        }
        state.entries.push(entry);
        state.urgent |= urgent;
        let must_wake = urgent && std::mem::take(&mut state.asleep);
        drop(state);
        if must_wake {
            self.condvar.notify_one();
        }
        Ok(())
    }

    /// Waits until an urgent entry arrives or `wait` has passed, and takes all entries in the
    /// order in which they were added.
    pub fn receive(&self, wait: time::Duration) -> Vec<T> {
        let deadline = time::Instant::now() + wait;
        let mut state = self.lock();
        while !state.urgent {
            let left = deadline.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                break;
            }
            state.asleep = true;
            state = match self.condvar.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        state.asleep = false;
        state.urgent = false;
        std::mem::take(&mut state.entries)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
