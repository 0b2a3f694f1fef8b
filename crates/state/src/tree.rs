//! The settings tree. Its levels are the root, optional groups, and services. Each path inherits
//! the values of the level above and overrides only those that differ.

use std::{collections, ops};

use serde_json::Value;

use crate::{key, name};

/// Number of changes whose outcomes are kept to answer resends: about a week at 1,300 changes per
/// day.
pub const MAX_RECORDS: usize = 10_000;
/// Maximum length of a path, in bytes.
pub const MAX_PATH_LEN: usize = 256;
/// Maximum number of levels of a path.
pub const MAX_LEVELS: usize = 8;

/// A change of the overrides of one path, submitted by an operator.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// Id of the change; a resend has the same id.
    pub change: uuid::Uuid,
    /// Tree version that the change is based on, or `None` for an unconditional change.
    pub base: Option<u64>,
    /// Path to change.
    pub path: name::Name,
    /// Overrides as a JSON object; a `null` value removes the override.
    pub values: String,
}

/// Outcome of a change. It is part of the replicated state, so a resend gets the same answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The change is in effect from this version on.
    Accepted(u64),
    /// The change was rejected because another change came first. The number is the version of the
    /// tree at that time.
    Conflict(u64),
}

/// An entry of the change history.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The change.
    pub change: Change,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// An effective value and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    /// The value.
    pub value: Value,
    /// Path of the level that sets the value: `""` for the root, `"default"` if no level sets it.
    pub origin: String,
}

/// Typed effective values at one path.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "each field is the key of the same name in `key::KEYS`")]
pub struct Policy {
    pub max_queue: u64,
    pub deadline_ms: u64,
    pub max_deadline_ms: u64,
    pub max_tasks: u64,
    pub retry_budget: f64,
    pub hedge_quantile: f64,
    pub answer_copies: u64,
    pub cross_zone: bool,
    pub team_in_flight: u64,
    pub team_rate: u64,
    pub upstream_lease_ms: u64,
    pub retention_ms: u64,
}

type Overrides = collections::BTreeMap<String, String>;

/// The settings tree with its version and the outcomes of the last changes.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tree {
    version: u64,
    paths: collections::BTreeMap<name::Name, Overrides>,
    records: collections::VecDeque<Record>,
}

impl Tree {
    /// Creates an empty tree at version 0, in which every key has its default and no service
    /// exists.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version, which is the number of accepted changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the last changes, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Returns the number of paths that were set.
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    /// Returns whether no path was set yet.
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    /// Returns whether `path` was ever set. The root always exists.
    pub fn exists(&self, path: &str) -> bool {
        path.is_empty() || self.paths.contains_key(path)
    }

    /// Returns the outcome of an earlier change with this id, if it is still recorded.
    pub fn outcome(&self, change: uuid::Uuid) -> Option<Outcome> {
        let same = |record: &&Record| record.change.change == change;
        self.records.iter().rev().find(same).map(|record| record.outcome)
    }

    /// Applies a change. A change with the id of a recorded one has no effect and returns the first
    /// outcome.
    pub fn apply(&mut self, change: Change) -> Outcome {
        if let Some(outcome) = self.outcome(change.change) {
            return outcome;
        }
        let outcome = match change.base {
            Some(base) if base != self.version => Outcome::Conflict(self.version),
            _ => self.accept(&change),
        };
        self.records.push_back(Record { change, outcome });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
        outcome
    }

    fn accept(&mut self, change: &Change) -> Outcome {
        self.version += 1;
        let values: collections::BTreeMap<String, Value> =
            serde_json::from_str(&change.values).unwrap_or_default();
        let overrides = self.paths.entry(change.path.clone()).or_default();
        for (key, value) in values {
            if value.is_null() {
                overrides.remove(&key);
            } else {
                overrides.insert(key, value.to_string());
            }
        }
        Outcome::Accepted(self.version)
    }

    /// Returns whether any path below `path` was set.
    fn has_descendant(&self, path: &str) -> bool {
        let prefix = format!("{path}/");
        let next = self
            .paths
            .range::<str, _>((ops::Bound::Included(prefix.as_str()), ops::Bound::Unbounded))
            .next();
        next.is_some_and(|(name, _)| name.as_str().starts_with(&prefix))
    }

    /// Returns the effective values at `path` with their origins, or `None` if neither the path nor
    /// any path below it was ever set.
    pub fn effective(&self, path: &str) -> Option<collections::BTreeMap<&'static str, Effective>> {
        if !self.exists(path) && !self.has_descendant(path) {
            return None;
        }
        Some(key::KEYS.iter().map(|key| (key.name, self.resolve(path, key))).collect())
    }

    /// Returns the typed effective values at `path`, or `None` if the path was never set.
    pub fn policy(&self, path: &str) -> Option<Policy> {
        self.exists(path).then(|| self.policy_at(path))
    }

    /// Returns the typed effective values at `path`, whether or not the path was ever set.
    pub fn policy_at(&self, path: &str) -> Policy {
        let get = |name: &str| key::find(name).map(|key| self.resolve(path, key).value);
        let integer = |name: &str| get(name).and_then(|v| v.as_u64()).unwrap_or_default();
        let fraction = |name: &str| get(name).and_then(|v| v.as_f64()).unwrap_or_default();
        Policy {
            max_queue: integer("max_queue"),
            deadline_ms: integer("deadline_ms"),
            max_deadline_ms: integer("max_deadline_ms"),
            max_tasks: integer("max_tasks"),
            retry_budget: fraction("retry_budget"),
            hedge_quantile: fraction("hedge_quantile"),
            answer_copies: integer("answer_copies"),
            cross_zone: get("cross_zone").and_then(|v| v.as_bool()).unwrap_or_default(),
            team_in_flight: integer("team_in_flight"),
            team_rate: integer("team_rate"),
            upstream_lease_ms: integer("upstream_lease_ms"),
            retention_ms: integer("retention_ms"),
        }
    }

    /// Returns the longest effective retention of all paths, in milliseconds.
    pub fn longest_retention(&self) -> u64 {
        let at = |path: &str| self.policy_at(path).retention_ms;
        let paths = self.paths.keys().map(|path| at(path.as_str()));
        paths.max().unwrap_or(0).max(at(""))
    }

    /// Returns whether any path allows its jobs to run in another zone.
    pub fn allows_cross_zone(&self) -> bool {
        let allows = |overrides: &Overrides| {
            overrides.get("cross_zone").is_some_and(|value| value == "true")
        };
        self.paths.values().any(allows)
    }

    fn resolve(&self, path: &str, key: &key::Key) -> Effective {
        let mut level = Some(path);
        while let Some(at) = level {
            let text = self.paths.get(at).and_then(|overrides| overrides.get(key.name));
            if let Some(value) = text.and_then(|text| serde_json::from_str(text).ok()) {
                return Effective { value, origin: at.to_owned() };
            }
            level = parent(at);
        }
        Effective { value: key.default_value(), origin: "default".to_owned() }
    }
}

/// Returns why a path is invalid, or `None` if it is valid. The root is the empty path.
pub fn path_error(path: &str) -> Option<&'static str> {
    if path.is_empty() {
        return None;
    }
    if path.len() > MAX_PATH_LEN {
        return Some("the path is too long");
    }
    if path.split('/').count() > MAX_LEVELS {
        return Some("the path has too many levels");
    }
    if path.split('/').all(name::Name::is_valid) {
        return None;
    }
    Some("a level of the path is not a valid name (letters, digits, '-', '_', '.')")
}

/// Returns the invalid keys of a change, each with the reason.
pub fn value_errors(values: &serde_json::Map<String, Value>) -> Vec<(String, String)> {
    let error = |(name, value): (&String, &Value)| {
        let reason = match key::find(name) {
            None => Some("unknown key".to_owned()),
            Some(_) if value.is_null() => None,
            Some(key) => key.value_error(value),
        };
        reason.map(|reason| (name.clone(), reason))
    };
    values.iter().filter_map(error).collect()
}

fn parent(path: &str) -> Option<&str> {
    if path.is_empty() {
        return None;
    }
    Some(path.rsplit_once('/').map_or("", |(head, _)| head))
}
