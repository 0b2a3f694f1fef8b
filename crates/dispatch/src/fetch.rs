//! Fetching a newer configuration: from one instance at a time, part by part.
//!
//! Heartbeats tell which version an instance has. Whoever lacks the newest asks one that has it for
//! one part after the other. Nothing is asked for twice while an answer may be on its way, and a part
//! is small beside what a link carries between two heartbeats, so that these are never held up. An
//! instance that does not answer is replaced by the next one, which goes on where the former ended.

use state::name;

use crate::{
    message::{Ask, Document, Part},
    time,
};

/// Size of a part, bytes: 21 ms of a link of 25 Mbit/s, a seventh of the time between two
/// heartbeats.
const PART: usize = 64 << 10;
/// A part that has not come after this is asked for elsewhere, microseconds. On a link of 25 Mbit/s
/// that is half used a part takes 42 ms, and busy processes read it late.
const PATIENCE: u64 = 400 * time::MS;
/// Patience for a part is this many times what the last one took, where that is more: on a slow link
/// asking elsewhere only adds copies.
const PACE: u64 = 2;
/// Until a part has come each one that did not doubles the patience, up to this many times.
const MOST: u32 = 3;
/// Instances that are passed over because they did not answer, until all of them did not.
const TRIED: usize = 4;

/// What an answer is good for.
#[derive(Debug, PartialEq)]
pub enum Taken {
    /// The next part is to be asked for.
    More(Ask),
    /// The configuration is whole.
    Whole(Document),
    /// It was not asked for.
    Unneeded,
}

/// The part of `document` that was asked for; nothing if it is older.
pub fn part(document: &Document, ask: Ask) -> Option<Part> {
    if document.version < ask.version {
        return None;
    }
    let offset = if document.version == ask.version { ask.offset as usize } else { 0 };
    let rest = document.body.slice(offset.min(document.body.len())..);
    Some(Part {
        version: document.version,
        size: document.body.len() as u64,
        offset: offset as u64,
        bytes: rest.slice(..rest.len().min(PART)),
    })
}

/// A configuration that is being fetched, if one is.
#[derive(Debug, Default)]
pub struct Fetch {
    version: u64,
    held: Vec<u8>,
    source: Option<name::Name>,
    asked: u64,
    /// When the part that is under way was asked for first, if it was.
    began: Option<u64>,
    /// Time that the last part took, microseconds.
    took: u64,
    late: u32,
    tried: smallvec::SmallVec<[name::Name; TRIED]>,
}

impl Fetch {
    /// Whether somebody is to be asked for `version`.
    pub fn is_due(&self, version: u64, now: u64) -> bool {
        version > self.version || self.source.is_none() || now >= self.asked + self.patience()
    }

    /// Asks the first of `sources` that has not been tried in vain for `version`.
    pub fn begin(
        &mut self,
        version: u64,
        sources: &[&name::Name],
        now: u64,
    ) -> Option<(name::Name, Ask)> {
        if version > self.version {
            *self = Self { version, ..Self::default() };
        } else if let Some(former) = self.source.take() {
            self.tried.push(former);
            self.late += 1;
        }
        if sources.iter().all(|source| self.tried.contains(source)) {
            self.tried.clear();
        }
        let source = sources.iter().find(|source| !self.tried.contains(source))?;
        self.source = Some((*source).clone());
        self.began.get_or_insert(now);
        self.asked = now;
        Some(((*source).clone(), self.ask()))
    }

    /// Takes a part from `from`.
    pub fn take(&mut self, from: &name::Name, part: &Part, now: u64) -> Taken {
        if part.version > self.version && part.offset == 0 {
            *self = Self { version: part.version, ..Self::default() };
        }
        if part.version != self.version || part.offset != self.held.len() as u64 {
            return Taken::Unneeded;
        }
        self.held.extend_from_slice(&part.bytes);
        if part.bytes.is_empty() && part.size > self.held.len() as u64 {
            // A source that has nothing more of what is not whole.
            return Taken::Unneeded;
        }
        if self.held.len() as u64 >= part.size {
            let body = std::mem::take(self).held.into();
            return Taken::Whole(Document { version: part.version, body });
        }
        self.source = Some(from.clone());
        self.took = self.began.map_or(0, |began| now.saturating_sub(began));
        (self.asked, self.began, self.late) = (now, Some(now), 0);
        Taken::More(self.ask())
    }

    /// Drops what is fetched if it is not newer than `version`.
    pub fn drop_older(&mut self, version: u64) {
        if self.version <= version {
            *self = Self::default();
        }
    }

    fn patience(&self) -> u64 {
        PATIENCE.max(PACE * self.took) << self.late.min(MOST)
    }

    fn ask(&self) -> Ask {
        Ask { version: self.version, offset: self.held.len() as u64 }
    }
}
