//! Announcements that wait for the first configuration.

use std::collections;

use state::name;

use crate::messages::{incarnation::Incarnation, upstream::Record};

/// Maximum number of upstreams that wait for the first configuration.
const MAX_UNCHECKED: usize = 4_096;

/// Announcements that arrived before the services of a configuration were known. Their upstreams
/// are not used: another system may have sent them.
#[derive(Debug, Default)]
pub(crate) struct Unchecked {
    records: collections::BTreeMap<Incarnation, Record>,
    /// Services of the configuration that was read last; `None` before the first.
    services: Option<collections::BTreeSet<name::Name>>,
}

impl Unchecked {
    /// Keeps the newest announcement of an upstream; returns false if there are too many upstreams.
    pub(crate) fn insert(&mut self, record: Record) -> bool {
        if let Some(held) = self.records.get_mut(&record.id) {
            if held.serial < record.serial {
                *held = record;
            }
            return true;
        }
        if self.records.len() >= MAX_UNCHECKED {
            return false;
        }
        self.records.insert(record.id.clone(), record);
        true
    }

    /// Removes the announcement of an upstream.
    pub(crate) fn remove(&mut self, id: &Incarnation) {
        self.records.remove(id);
    }

    /// Takes all announcements, as a configuration with these services was read.
    pub(crate) fn take(
        &mut self,
        services: collections::BTreeSet<name::Name>,
    ) -> impl Iterator<Item = Record> + use<> {
        self.services = Some(services);
        std::mem::take(&mut self.records).into_values()
    }

    /// Whether the configuration names a service; `None` if none was read yet.
    pub(crate) fn is_listed(&self, service: &name::Name) -> Option<bool> {
        self.services.as_ref().map(|services| services.contains(service))
    }
}
