//! State of the instance that other threads read without a request to the control thread.

use std::{sync, sync::atomic};

use dispatch::{routing, status};

/// State that the control thread publishes for other threads.
#[derive(Debug, Default)]
pub struct View {
    pub(super) routing: sync::RwLock<sync::Arc<routing::Routing>>,
    pub(super) ready: atomic::AtomicBool,
    pub(super) outdated: atomic::AtomicBool,
    pub(super) draining: atomic::AtomicBool,
    pub(super) closed: atomic::AtomicBool,
    pub(super) open_jobs: atomic::AtomicUsize,
    pub(super) status: sync::RwLock<status::Status>,
}

impl View {
    /// Returns the number of jobs that clients wait for.
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.load(atomic::Ordering::Relaxed)
    }

    /// Returns the status of the instance, at most half a second old.
    pub fn status(&self) -> status::Status {
        match self.status.read() {
            Ok(status) => *status,
            Err(poisoned) => *poisoned.into_inner(),
        }
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
