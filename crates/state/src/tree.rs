//! The settings tree: root, any group levels, services. Each path inherits from the level above
//! and overrides only what differs.

use std::{collections, ops};

use serde_json::Value;

use crate::{key, name};

/// Outcomes of changes kept for resends: about a week at 1,300 changes a day.
pub const KEPT_CHANGES: usize = 10_000;
/// Longest path accepted, in bytes.
pub const MAX_PATH: usize = 256;
/// Most levels of a path.
pub const MAX_LEVELS: usize = 8;

/// One operator's change of one path.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// Identity of the change; a resend carries the same one.
    pub change: uuid::Uuid,
    /// Tree version that the operator saw, or nothing for an unconditional change.
    pub base: Option<u64>,
    /// Path that is set.
    pub path: name::Name,
    /// Overrides as a JSON object; `null` removes one.
    pub values: String,
}

/// How a change ended. It is part of the replicated state, so a resend gets the same answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// In force from this version on.
    Accepted(u64),
    /// Another change came first; the version that stood then.
    Conflict(u64),
}

/// One line of the log of changes.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The change.
    pub change: Change,
    /// How it ended.
    pub outcome: Outcome,
}

/// A value in force and the path that set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    /// The value.
    pub value: Value,
    /// Path of the level that it comes from: `""` for the root, `"default"` when nothing set it.
    pub origin: String,
}

/// The values in force at one path, typed.
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

/// The whole tree with its version and the outcomes of its last changes.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tree {
    version: u64,
    paths: collections::BTreeMap<name::Name, Overrides>,
    records: collections::VecDeque<Record>,
}

impl Tree {
    /// An empty tree at version 0: every key has its default, no service exists.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of accepted changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The last changes, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Number of paths that were set.
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    /// Whether no path was set yet.
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    /// Whether `path` was ever set; the root always exists.
    pub fn exists(&self, path: &str) -> bool {
        path.is_empty() || self.paths.contains_key(path)
    }

    /// Outcome of an earlier change with this id.
    pub fn outcome(&self, change: uuid::Uuid) -> Option<Outcome> {
        let same = |record: &&Record| record.change.change == change;
        self.records.iter().rev().find(same).map(|record| record.outcome)
    }

    /// Applies one change. The same change id always gives the first outcome.
    pub fn apply(&mut self, change: Change) -> Outcome {
        if let Some(outcome) = self.outcome(change.change) {
            return outcome;
        }
        let outcome = match change.base {
            Some(base) if base != self.version => Outcome::Conflict(self.version),
            _ => self.accept(&change),
        };
        self.records.push_back(Record { change, outcome });
        if self.records.len() > KEPT_CHANGES {
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

    /// Whether `path` is a level above one that was set.
    fn is_above(&self, path: &str) -> bool {
        let below = format!("{path}/");
        let next = self
            .paths
            .range::<str, _>((ops::Bound::Included(below.as_str()), ops::Bound::Unbounded))
            .next();
        next.is_some_and(|(name, _)| name.as_str().starts_with(&below))
    }

    /// Values in force at `path` and where each comes from; nothing if neither the path nor any
    /// below it was ever set.
    pub fn effective(&self, path: &str) -> Option<collections::BTreeMap<&'static str, Effective>> {
        if !self.exists(path) && !self.is_above(path) {
            return None;
        }
        Some(key::KEYS.iter().map(|key| (key.name, self.lookup(path, key))).collect())
    }

    /// Typed values in force at `path`; nothing if the path was never set.
    pub fn policy(&self, path: &str) -> Option<Policy> {
        self.exists(path).then(|| self.policy_at(path))
    }

    /// Typed values that hold at `path`, whether or not it was ever set.
    pub fn policy_at(&self, path: &str) -> Policy {
        let get = |name: &str| key::find(name).map(|key| self.lookup(path, key).value);
        let whole = |name: &str| get(name).and_then(|v| v.as_u64()).unwrap_or_default();
        let share = |name: &str| get(name).and_then(|v| v.as_f64()).unwrap_or_default();
        Policy {
            max_queue: whole("max_queue"),
            deadline_ms: whole("deadline_ms"),
            max_deadline_ms: whole("max_deadline_ms"),
            max_tasks: whole("max_tasks"),
            retry_budget: share("retry_budget"),
            hedge_quantile: share("hedge_quantile"),
            answer_copies: whole("answer_copies"),
            cross_zone: get("cross_zone").and_then(|v| v.as_bool()).unwrap_or_default(),
            team_in_flight: whole("team_in_flight"),
            team_rate: whole("team_rate"),
            upstream_lease_ms: whole("upstream_lease_ms"),
            retention_ms: whole("retention_ms"),
        }
    }

    /// The longest retention in force at any path, milliseconds.
    pub fn longest_retention(&self) -> u64 {
        let at = |path: &str| self.policy_at(path).retention_ms;
        let paths = self.paths.keys().map(|path| at(path.as_str()));
        paths.max().unwrap_or(0).max(at(""))
    }

    /// Whether any path lets its jobs run in another zone.
    pub fn any_cross_zone(&self) -> bool {
        let allows = |overrides: &Overrides| {
            overrides.get("cross_zone").is_some_and(|value| value == "true")
        };
        self.paths.values().any(allows)
    }

    fn lookup(&self, path: &str, key: &key::Key) -> Effective {
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

/// Says what is wrong with a path, or nothing. The root is the empty path.
pub fn path_fault(path: &str) -> Option<&'static str> {
    if path.is_empty() {
        return None;
    }
    if path.len() > MAX_PATH {
        return Some("the path is too long");
    }
    if path.split('/').count() > MAX_LEVELS {
        return Some("the path has too many levels");
    }
    if path.split('/').all(name::Name::is_valid) {
        return None;
    }
    Some("a level of the path is not a name (letters, digits, '-', '_', '.')")
}

/// Every bad key of a change with the reason.
pub fn value_faults(values: &serde_json::Map<String, Value>) -> Vec<(String, String)> {
    let fault = |(name, value): (&String, &Value)| {
        let why = match key::find(name) {
            None => Some("unknown key".to_owned()),
            Some(_) if value.is_null() => None,
            Some(key) => key.fault(value),
        };
        why.map(|why| (name.clone(), why))
    };
    values.iter().filter_map(fault).collect()
}

fn parent(path: &str) -> Option<&str> {
    if path.is_empty() {
        return None;
    }
    Some(path.rsplit_once('/').map_or("", |(head, _)| head))
}
