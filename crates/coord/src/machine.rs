//! The two replicated state machines: the settings tree and a zone's journal.

use state::{table, tree};

use crate::group;

/// The settings tree as a state machine.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The tree.
    pub tree: tree::Tree,
}

/// An applied change and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Changed {
    /// Identity of the change.
    pub change: uuid::Uuid,
    /// Outcome of the change.
    pub outcome: tree::Outcome,
}

impl group::Machine for Settings {
    type Effect = Changed;

    fn apply(&mut self, command: &[u8]) -> Vec<Changed> {
        let Ok(change) = postcard::from_bytes::<tree::Change>(command) else {
            return Vec::new();
        };
        let id = change.change;
        vec![Changed { change: id, outcome: self.tree.apply(change) }]
    }

    fn snapshot(&self) -> bytes::Bytes {
        encode(&self.tree)
    }

    fn restore(&mut self, state: &[u8]) {
        let tree: tree::Tree = postcard::from_bytes(state).unwrap_or_default();
        // A newly elected leader may not know yet how far its log is committed. Every tree is a
        // prefix of the same history, so this member keeps the longer one.
        if tree.version() >= self.tree.version() {
            self.tree = tree;
        }
    }

    fn reset(&mut self) {
        // Settings carry over from one formation to the next: an instance keeps serving with the
        // last settings that it has.
    }
}

/// A zone's journal as a state machine.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// The table of jobs.
    pub table: table::Table,
}

impl group::Machine for Journal {
    type Effect = table::Effect;

    fn apply(&mut self, command: &[u8]) -> Vec<table::Effect> {
        let command = postcard::from_bytes(command);
        command.map(|command| self.table.apply(command)).unwrap_or_default()
    }

    fn snapshot(&self) -> bytes::Bytes {
        encode(&self.table)
    }

    fn restore(&mut self, state: &[u8]) {
        self.table = postcard::from_bytes(state).unwrap_or_default();
    }

    fn reset(&mut self) {
        self.table = table::Table::new();
    }
}

/// Encodes a command or a state in the postcard format.
pub fn encode<T: serde::Serialize>(value: &T) -> bytes::Bytes {
    postcard::to_stdvec(value).unwrap_or_default().into()
}
