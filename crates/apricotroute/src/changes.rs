//! Log lines for changes of an instance's state.

use coord::core;

/// State as of the last log lines.
#[derive(Debug, Default)]
pub struct Logged {
    ready: bool,
    members: String,
    journal: String,
    settings: String,
    ejections: u64,
    expelled: u64,
    closed: String,
}

impl Logged {
    /// Reads the state of `core`; `closed` describes the closed streams to other instances.
    pub fn new(core: &core::Core, closed: String) -> Self {
        Self {
            ready: core.is_ready(),
            members: core.members().join(" "),
            journal: core.journal_leader(),
            settings: core.settings_leader(),
            ejections: core.fleet().ejections(),
            expelled: core.counts().expelled,
            closed,
        }
    }

    /// Writes a line for each change since `former`.
    pub fn write_changes(&self, former: &Self, log: &slog::Logger) {
        if former.ready != self.ready {
            slog::info!(log, "control: Readiness changed."; "ready" => self.ready);
        }
        if former.members != self.members {
            slog::info!(log, "journal: Members changed."; "members" => &self.members);
        }
        if former.journal != self.journal {
            slog::info!(log, "journal: Leader changed."; "leader" => &self.journal);
        }
        if former.settings != self.settings {
            slog::info!(log, "settings: Leader changed."; "leader" => &self.settings);
        }
        if former.closed != self.closed {
            slog::info!(log, "peer: Closed streams changed."; "closed" => &self.closed);
        }
        if former.expelled < self.expelled {
            slog::warn!(log, "journal: Expelled a silent instance.");
        }
        if former.ejections < self.ejections {
            slog::warn!(log, "upstreams: Ejected an upstream that fails the tasks it starts.");
        }
    }
}
