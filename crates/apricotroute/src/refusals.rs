//! Log of the streams to and from other instances that fail, and why.

use std::{collections, sync};

use state::name;

/// Maximum number of different reasons that are logged.
const MAX_LOGGED: usize = 1_024;

/// Logs each reason once for each instance: a refused stream is opened again and again.
#[derive(Debug)]
pub struct Refusals {
    logged: sync::Mutex<collections::BTreeSet<(name::Name, String)>>,
    log: slog::Logger,
}

impl Refusals {
    /// Creates a log without entries.
    pub fn new(log: slog::Logger) -> Self {
        Self { logged: sync::Mutex::default(), log }
    }

    /// Logs why messages to or from the instance `peer` do not arrive, unless that was logged
    /// before.
    pub fn report(&self, peer: &name::Name, why: &str) {
        let mut logged = self.logged.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if logged.len() < MAX_LOGGED && logged.insert((peer.clone(), why.to_owned())) {
            slog::warn!(self.log, "peer: Stream failed."; "peer" => %peer, "why" => why);
            if logged.len() == MAX_LOGGED {
                slog::warn!(self.log, "peer: No further reasons are logged.");
            }
        }
    }
}
