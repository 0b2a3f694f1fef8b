//! The keys that a settings path may hold: unit, range and default of each.

use serde_json::Value;

/// What values a key takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A whole number within the bounds, both included.
    Whole(u64, u64),
    /// A number from 0 to the bound, both included.
    Share(f64),
    /// `true` or `false`.
    Flag,
}

/// One key of the settings tree.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name in JSON.
    pub name: &'static str,
    /// Unit of the value, for the operators' pages.
    pub unit: &'static str,
    /// Accepted values.
    pub kind: Kind,
    /// Default at the root.
    pub default: f64,
}

const DAY_MS: u64 = 86_400_000;

const fn whole(name: &'static str, unit: &'static str, min: u64, max: u64, default: f64) -> Key {
    Key { name, unit, kind: Kind::Whole(min, max), default }
}

/// Every key, in the order in which it is shown.
pub const KEYS: &[Key] = &[
    whole("max_queue", "tasks", 0, 1_000_000, 2_000.0),
    whole("deadline_ms", "ms", 1, DAY_MS, 30_000.0),
    whole("max_deadline_ms", "ms", 1, DAY_MS, 600_000.0),
    whole("max_tasks", "tasks", 1, 10_000, 1_000.0),
    Key { name: "retry_budget", unit: "share of successes", kind: Kind::Share(1.0), default: 0.1 },
    Key { name: "hedge_quantile", unit: "quantile", kind: Kind::Share(0.999), default: 0.0 },
    whole("answer_copies", "copies", 0, 2, 1.0),
    Key { name: "cross_zone", unit: "flag", kind: Kind::Flag, default: 0.0 },
    whole("team_in_flight", "tasks, 0 = no limit", 0, 1_000_000, 0.0),
    whole("team_rate", "tasks/s, 0 = no limit", 0, 1_000_000, 0.0),
    whole("upstream_lease_ms", "ms", 500, 60_000, 3_000.0),
    whole("retention_ms", "ms", 1_000, DAY_MS, 600_000.0),
];

/// Finds a key by its name.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

impl Key {
    /// The default as JSON.
    pub fn default_value(&self) -> Value {
        match self.kind {
            Kind::Whole(..) => Value::from(self.default as u64),
            Kind::Share(_) => Value::from(self.default),
            Kind::Flag => Value::from(self.default != 0.0),
        }
    }

    /// Says what is wrong with `value`, or nothing.
    pub fn fault(&self, value: &Value) -> Option<String> {
        let fits = match self.kind {
            Kind::Whole(min, max) => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
            Kind::Share(max) => value.as_f64().is_some_and(|x| (0.0..=max).contains(&x)),
            Kind::Flag => value.is_boolean(),
        };
        if fits { None } else { Some(format!("expected {}", self.range())) }
    }

    /// The accepted range in words.
    pub fn range(&self) -> String {
        match self.kind {
            Kind::Whole(min, max) => format!("a whole number from {min} to {max}"),
            Kind::Share(max) => format!("a number from 0 to {max}"),
            Kind::Flag => "true or false".to_owned(),
        }
    }
}
