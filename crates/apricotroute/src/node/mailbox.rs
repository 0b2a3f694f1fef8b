//! What waits for the control thread.
//!
//! A channel of the usual kind spins before it sleeps, which costs a process with a twentieth of
//! a core more than its work does: at rest, 300 of 420 system calls a second were yields. This
//! one sleeps at once and takes everything that waits in one go.

use std::{sync, time};

/// Entries that wait at most.
const BOUND: usize = 65_536;

/// A bounded queue with one reader.
pub struct Mailbox<T> {
    state: sync::Mutex<State<T>>,
    bell: sync::Condvar,
}

struct State<T> {
    entries: Vec<T>,
    /// Whether something is there that should not wait.
    urgent: bool,
    asleep: bool,
}

impl<T> std::fmt::Debug for Mailbox<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Mailbox").field("waiting", &self.lock().entries.len()).finish()
    }
}

impl<T> Mailbox<T> {
    /// An empty queue.
    pub fn new() -> Self {
        let state = State { entries: Vec::new(), urgent: false, asleep: false };
        Self { state: sync::Mutex::new(state), bell: sync::Condvar::new() }
    }

    /// Adds an entry and wakes the reader; gives it back if the queue is full.
    pub fn push(&self, entry: T) -> Result<(), T> {
        self.add(entry, true)
    }

    /// Adds an entry that may wait until the reader is awake anyway.
    pub fn push_later(&self, entry: T) -> Result<(), T> {
        self.add(entry, false)
    }

    fn add(&self, entry: T, urgent: bool) -> Result<(), T> {
        let mut state = self.lock();
        if state.entries.len() >= BOUND {
            return Err(entry);
        }
        state.entries.push(entry);
        state.urgent |= urgent;
        let wake = urgent && std::mem::take(&mut state.asleep);
        drop(state);
        if wake {
            self.bell.notify_one();
        }
        Ok(())
    }

    /// Waits until something urgent is there or the time is over, and takes all that waits, in
    /// the order in which it came.
    pub fn take(&self, wait: time::Duration) -> Vec<T> {
        let until = time::Instant::now() + wait;
        let mut state = self.lock();
        while !state.urgent {
            let left = until.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                break;
            }
            state.asleep = true;
            state = match self.bell.wait_timeout(state, left) {
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
