//! State of the instance that other threads read without a request to the control thread.

use std::{sync, sync::atomic};

use dispatch::{
    core, routing, status,
    time::{MS, Now},
};

/// State that the control thread publishes for other threads.
#[derive(Debug, Default)]
pub struct View {
    pub(super) routing: sync::RwLock<sync::Arc<routing::Routing>>,
    pub(super) ready: atomic::AtomicBool,
    pub(super) outdated: atomic::AtomicBool,
    pub(super) unsettled: atomic::AtomicBool,
    /// When the control thread last published this state, by its monotonic clock in microseconds
    /// and by the time of day in milliseconds; 0 before the first time.
    pub(super) published: (atomic::AtomicU64, atomic::AtomicU64),
    pub(super) draining: atomic::AtomicBool,
    pub(super) closed: atomic::AtomicBool,
    pub(super) open_jobs: atomic::AtomicUsize,
    /// Whether another instance may still take over this one's seat among the voters.
    pub(super) awaits_successor: atomic::AtomicBool,
    pub(super) status: sync::RwLock<status::Status>,
}

impl View {
    /// Returns the number of jobs that clients wait for.
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether another instance may still take over this one's seat among the voters.
    pub fn awaits_successor(&self) -> bool {
        self.awaits_successor.load(atomic::Ordering::Relaxed)
    }

    /// Returns the status of the instance, at most half a second old.
    pub fn status(&self) -> status::Status {
        match self.status.read() {
            Ok(status) => *status,
            Err(poisoned) => *poisoned.into_inner(),
        }
    }

    /// Whether requests must wait until the routes in effect are confirmed: this instance has
    /// resumed after a stop, which the control thread may not have noticed yet.
    pub(super) fn is_unsettled(&self, now: Now) -> bool {
        let (mono, wall) = &self.published;
        let mono = mono.load(atomic::Ordering::Acquire);
        let wall = wall.load(atomic::Ordering::Relaxed);
        let stalled = now.mono.saturating_sub(mono).max(now.wall.saturating_sub(wall) * MS);
        self.waits() || mono > 0 && stalled >= core::STALL_LIMIT
    }

    /// Whether requests wait, as the control thread last published.
    pub(super) fn waits(&self) -> bool {
        self.unsettled.load(atomic::Ordering::Relaxed)
    }

    /// Sets whether requests must wait, as the control thread knows at `now`.
    pub(super) fn set_unsettled(&self, unsettled: bool, now: Now) {
        self.unsettled.store(unsettled, atomic::Ordering::Relaxed);
        self.published.1.store(now.wall, atomic::Ordering::Relaxed);
        self.published.0.store(now.mono, atomic::Ordering::Release);
    }

    /// Replaces the routes in effect.
    pub fn set_routing(&self, routing: routing::Routing) {
        let mut current = self.routing.write().unwrap_or_else(sync::PoisonError::into_inner);
        *current = sync::Arc::new(routing);
    }

    pub(super) fn routing(&self) -> sync::Arc<routing::Routing> {
        let current = self.routing.read().unwrap_or_else(sync::PoisonError::into_inner);
        sync::Arc::clone(&current)
    }
}
