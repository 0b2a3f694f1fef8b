//! Checks the rules for configurations against all that operators and clients observed.

use std::{
    collections, sync,
    time::{Duration, Instant},
};

use super::{
    content::{self, Routes},
    orders::{Kind, Ledger, Sent},
    probes::{Probe, Seen},
};

/// Maximum time from an acknowledgement until the change is in force and every read shows it.
pub const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// How much longer that may take at an entry while the keepers are disturbed.
const STRETCH_LIMIT: Duration = Duration::from_secs(5);
/// An instance counts as connected this long after the last disruption.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Maximum time for which an entry may still act by an older configuration than before.
const ROLLBACK_LIMIT: Duration = Duration::from_millis(250);
/// Factor of [`ROLLBACK_LIMIT`] for an entry that is slowed.
const SLOWED_FACTOR: u32 = 8;

/// A time in which some instances were disrupted.
#[derive(Clone, Debug)]
pub struct Disruption {
    pub from: Instant,
    pub to: Instant,
    pub instances: Vec<usize>,
}

/// The disruptions of a run.
#[derive(Debug)]
pub struct History<'a> {
    pub disruptions: &'a [Disruption],
    pub keepers: &'a [usize],
}

impl History<'_> {
    fn touching(&self, from: Instant, to: Instant) -> impl Iterator<Item = &Disruption> {
        self.disruptions.iter().filter(move |each| each.from <= to && each.to >= from)
    }

    /// Whether an instance has not been disrupted for [`CONTACT_TIME`] before `from`, nor until
    /// `to`.
    fn is_calm(&self, at: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(CONTACT_TIME).unwrap_or(from);
        !self.touching(from, to).any(|each| each.instances.contains(&at))
    }

    fn is_core_stable(&self, from: Instant, to: Instant) -> bool {
        self.keepers.iter().all(|keeper| self.is_calm(*keeper, from, to))
    }

    /// Whether more than half of the keepers were undisturbed at each moment.
    fn has_majority(&self, from: Instant, to: Instant) -> bool {
        let is_hit = |keeper: &usize, at: Instant| {
            self.touching(at, at).any(|each| each.instances.contains(keeper))
        };
        let count = |at| self.keepers.iter().filter(|keeper| is_hit(keeper, at)).count();
        let starts = self.touching(from, to).map(|each| each.from.max(from));
        starts.chain([from]).all(|at| count(at) * 2 < self.keepers.len())
    }

    /// The time after which an entry has to have put a change in force, for a request between
    /// `sent` and `answered`; `None` if no bound holds.
    fn bound(&self, entry: usize, sent: Instant, answered: Instant) -> Option<Duration> {
        if !self.is_calm(entry, sent, answered) {
            return None;
        }
        if self.is_core_stable(sent, answered) {
            return Some(APPLY_LIMIT);
        }
        let limit = APPLY_LIMIT + STRETCH_LIMIT;
        let since = sent.checked_sub(limit)?;
        self.has_majority(since, answered).then_some(limit)
    }
}

/// Checks that no read is older than a change acknowledged [`APPLY_LIMIT`] before, and that each
/// equals the change that was sent under its version. Returns the number of reads.
pub fn check_reads(ledger: &Ledger) -> usize {
    let changes = super::orders::changes(ledger);
    let (reads, mut known) = (ledger.reads.lock().unwrap(), collections::BTreeMap::new());
    for read in reads.iter() {
        let expected = acknowledged(&changes, read.sent.checked_sub(APPLY_LIMIT));
        if read.version < expected {
            ledger.violate(format!(
                "keeper {} read {} after {expected} had been acknowledged",
                read.keeper, read.version
            ));
        }
        let text = known.entry(read.version).or_insert_with(|| sync::Arc::clone(&read.text));
        if *text != read.text {
            ledger.violate(format!("version {} was read with two contents", read.version));
        }
    }
    for (version, text) in known {
        let same = changes.iter().filter(|(sent, _)| sent.content.version == version);
        if !same.clone().any(|(sent, _)| content::is_equal(&sent.content.text, &text)) {
            ledger.violate(describe(ledger, version, &text));
        }
    }
    reads.len()
}

/// Describes a text that was read and not sent as a valid change of its version.
fn describe(ledger: &Ledger, version: u64, text: &str) -> String {
    let sent = ledger.sent.lock().unwrap();
    let same: Vec<_> = sent.iter().filter(|sent| sent.content.version == version).collect();
    let kind = same.iter().find(|sent| content::is_equal(&sent.content.text, text));
    let change = same.iter().find(|sent| sent.kind == Kind::Change);
    let Some(change) = change else {
        return format!("version {version} was read, sent as {kind:?}");
    };
    let kind = kind.map(|sent| &sent.kind);
    let difference = content::difference(&change.content.text, text);
    format!("version {version} was read otherwise than sent ({kind:?}): {difference}")
}

fn acknowledged(changes: &[(Sent, sync::Arc<Routes>)], before: Option<Instant>) -> u64 {
    let Some(before) = before else { return 0 };
    let is_known = |sent: &Sent| sent.acknowledged.is_some_and(|at| at <= before);
    let newest = changes.iter().rev().find(|(sent, _)| is_known(sent));
    newest.map_or(0, |(sent, _)| sent.content.version)
}

/// Checks that each entry acts by a change that is new enough, and never by an older one than it
/// acted by before. `service` gives the service on which a job ran. Returns the number of probes
/// that had a bound.
pub fn check_probes(
    ledger: &Ledger,
    probes: &[Probe],
    history: &History<'_>,
    service: &dyn Fn(&str) -> Option<&'static str>,
) -> usize {
    let changes = super::orders::changes(ledger);
    let mut bounded = 0;
    // For each process, the times from which it acts by at least a certain version.
    let mut shown = collections::BTreeMap::<(usize, u32), Vec<(Instant, u64)>>::new();
    let mut probes: Vec<_> = probes.iter().collect();
    probes.sort_by_key(|probe| probe.answered);
    for probe in probes {
        let allowed: Vec<_> = changes
            .iter()
            .filter(|(sent, routes)| {
                sent.since <= probe.answered && is_consistent(probe, routes, service)
            })
            .map(|(sent, _)| sent.content.version)
            .collect();
        let newest = allowed.last().copied().unwrap_or(0);
        let bound = history.bound(probe.entry, probe.sent, probe.answered);
        bounded += usize::from(bound.is_some());
        let expected =
            bound.map_or(0, |limit| acknowledged(&changes, probe.sent.checked_sub(limit)));
        if newest < expected {
            ledger.violate(format!(
                "entry {} acted by version {newest} or an older one, {expected} was acknowledged \
                 {bound:?} before: {probe:?}",
                probe.entry
            ));
        }
        let shown = shown.entry((probe.entry, probe.launch)).or_default();
        let is_slowed = !history.is_calm(probe.entry, probe.sent, probe.answered);
        let slack = ROLLBACK_LIMIT * if is_slowed { SLOWED_FACTOR } else { 1 };
        let before = shown.iter().filter(|(at, _)| *at + slack < probe.sent);
        let floor = before.map(|(_, version)| *version).max().unwrap_or(0);
        if newest < floor {
            ledger.violate(format!(
                "entry {} went back from version {floor} to {newest}: {probe:?}",
                probe.entry
            ));
        }
        let least = allowed.first().copied().unwrap_or(0);
        if shown.last().is_none_or(|(_, version)| *version < least) {
            shown.push((probe.answered, least));
        }
    }
    bounded
}

fn is_consistent(
    probe: &Probe,
    routes: &Routes,
    service: &dyn Fn(&str) -> Option<&'static str>,
) -> bool {
    let found = routes.get(&probe.prefix);
    match &probe.seen {
        Seen::Served => found.is_some(),
        Seen::Missing => found.is_none(),
        Seen::Ran(id) => match service(id) {
            Some(service) => found == Some(&service),
            None => found.is_some(),
        },
    }
}
