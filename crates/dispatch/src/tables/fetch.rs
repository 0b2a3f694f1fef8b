//! Download of a newer configuration, from one source instance at a time, part by part.
//!
//! Each heartbeat carries the version that its sender has. An instance that lacks the newest
//! version requests one part after the other from an instance that has it. It does not repeat a
//! request while an answer may be on its way, and a part is small compared with what a link carries
//! between two heartbeats, so that parts never delay heartbeats. If a source does not answer, the
//! next one continues where the former ended.

use state::name;

use crate::messages::{
    message::{Document, Part, PartRequest},
    time,
};

/// Maximum size of a part, bytes: it takes 21 ms on a link of 25 Mbit/s, a seventh of the time
/// between two heartbeats.
const PART_SIZE: usize = 64 << 10;
/// Minimum time to wait for a part before requesting it from another source, microseconds. On a
/// link of 25 Mbit/s that is half used a part takes 42 ms, and busy processes read it late.
const PART_TIMEOUT: u64 = 400 * time::MS;
/// The timeout of a part is this many times what the last part took, if that is more than
/// [`PART_TIMEOUT`]: on a slow link requests to other sources only add copies.
const TIMEOUT_FACTOR: u64 = 2;
/// Each timeout doubles the next one until a part arrives, up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// How many sources that did not answer are stored inline. They are skipped until all sources have
/// failed to answer.
const INLINE_TRIED: usize = 4;

/// Result of adding a part to a download.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// The configuration is incomplete; the next part has to be requested.
    More(PartRequest),
    /// The configuration is complete.
    Complete(Document),
    /// The part does not continue the download, or is empty before the end.
    Ignored,
}

/// The part of `document` that `request` asks for, or `None` if `document` is older. A newer
/// document is sent from its first byte.
pub fn part(document: &Document, request: PartRequest) -> Option<Part> {
    if document.version < request.version {
        return None;
    }
    let offset = if document.version == request.version { request.offset as usize } else { 0 };
    let rest = document.body.slice(offset.min(document.body.len())..);
    Some(Part {
        version: document.version,
        size: document.body.len() as u64,
        offset: offset as u64,
        bytes: rest.slice(..rest.len().min(PART_SIZE)),
    })
}

/// The download of a configuration, if one is in progress.
#[derive(Debug, Default)]
pub struct Fetch {
    version: u64,
    received: Vec<u8>,
    source: Option<name::Name>,
    asked_at: u64,
    /// When the current part was first requested, if it was.
    first_asked: Option<u64>,
    /// Time that the last part took, microseconds.
    part_time: u64,
    timeouts: u32,
    tried: smallvec::SmallVec<[name::Name; INLINE_TRIED]>,
}

impl Fetch {
    /// Whether `version` has to be requested from a source now.
    pub fn is_due(&self, version: u64, now: u64) -> bool {
        version > self.version || self.source.is_none() || now >= self.asked_at + self.timeout()
    }

    /// Requests `version` from the first of `sources` that has not failed to answer.
    pub fn begin(
        &mut self,
        version: u64,
        sources: &[&name::Name],
        now: u64,
    ) -> Option<(name::Name, PartRequest)> {
        if version > self.version {
            *self = Self { version, ..Self::default() };
        } else if let Some(former) = self.source.take() {
            self.tried.push(former);
            self.timeouts += 1;
        }
        if sources.iter().all(|source| self.tried.contains(source)) {
            self.tried.clear();
        }
        let source = sources.iter().find(|source| !self.tried.contains(source))?;
        self.source = Some((*source).clone());
        self.first_asked.get_or_insert(now);
        self.asked_at = now;
        Some(((*source).clone(), self.next_request()))
    }

    /// Adds a part that `from` sent.
    pub fn add_part(&mut self, from: &name::Name, part: &Part, now: u64) -> Progress {
        if part.version > self.version && part.offset == 0 {
            *self = Self { version: part.version, ..Self::default() };
        }
        if part.version != self.version || part.offset != self.received.len() as u64 {
            return Progress::Ignored;
        }
        self.received.extend_from_slice(&part.bytes);
        if part.bytes.is_empty() && part.size > self.received.len() as u64 {
            // The source has no more bytes although the configuration is incomplete.
            return Progress::Ignored;
        }
        if self.received.len() as u64 >= part.size {
            let body = std::mem::take(self).received.into();
            return Progress::Complete(Document { version: part.version, body });
        }
        self.source = Some(from.clone());
        self.part_time = self.first_asked.map_or(0, |asked| now.saturating_sub(asked));
        (self.asked_at, self.first_asked, self.timeouts) = (now, Some(now), 0);
        Progress::More(self.next_request())
    }

    /// Cancels the download if its version is not newer than `version`.
    pub fn drop_older(&mut self, version: u64) {
        if self.version <= version {
            *self = Self::default();
        }
    }

    fn timeout(&self) -> u64 {
        PART_TIMEOUT.max(TIMEOUT_FACTOR * self.part_time) << self.timeouts.min(MAX_DOUBLINGS)
    }

    fn next_request(&self) -> PartRequest {
        PartRequest { version: self.version, offset: self.received.len() as u64 }
    }
}
