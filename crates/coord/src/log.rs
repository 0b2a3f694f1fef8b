//! The in-memory part of a replicated log: entries after the last snapshot.

use std::collections;

use crate::entry;

/// Log entries from `base + 1` on; the snapshot covers everything up to `base`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    base: u64,
    base_term: u64,
    entries: collections::VecDeque<entry::Entry>,
}

impl Log {
    /// Creates an empty log that follows a snapshot.
    pub fn new(base: u64, base_term: u64) -> Self {
        Self { base, base_term, entries: collections::VecDeque::new() }
    }

    /// Index of the last entry that compaction removed.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Term of the entry at [`Self::base`].
    pub fn base_term(&self) -> u64 {
        self.base_term
    }

    /// Index of the last entry.
    pub fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Term of the entry at `index`, if the log still has it.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: u64) -> Option<&entry::Entry> {
        let offset = index.checked_sub(self.base + 1)?;
        self.entries.get(offset as usize)
    }

    /// At most `count` entries, starting at index `from`.
    pub fn slice(&self, from: u64, count: usize) -> Vec<entry::Entry> {
        let skip = from.saturating_sub(self.base + 1) as usize;
        self.entries.iter().skip(skip).take(count).cloned().collect()
    }

    /// Entries with an index in `(from, to]`.
    pub fn range(&self, from: u64, to: u64) -> Vec<entry::Entry> {
        self.slice(from + 1, to.saturating_sub(from) as usize)
    }

    /// All entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &entry::Entry> {
        self.entries.iter()
    }

    /// Appends one entry.
    pub fn push(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.index, self.last() + 1, "log entries must have consecutive indexes");
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all entries after it.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Removes entries up to `index`, which a snapshot now covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        let count = index.saturating_sub(self.base) as usize;
        self.entries.drain(..count);
        self.base = index;
        self.base_term = term;
    }
}
