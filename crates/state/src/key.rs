//! The keys of the settings tree, with the unit, range and default of each key.

use serde_json::Value;

/// Type and range of the values of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// An integer between two inclusive bounds.
    Integer(u64, u64),
    /// A number from 0 to the bound, inclusive.
    Fraction(f64),
    /// `true` or `false`.
    Boolean,
}

/// One key of the settings tree.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key in JSON.
    pub name: &'static str,
    /// Unit of the value, for the operator interface.
    pub unit: &'static str,
    /// Type and range of the values.
    pub kind: Kind,
    /// Value that applies if no level of the tree sets the key. A Boolean is 0 (false) or 1 (true).
    pub default: f64,
}

const DAY_MS: u64 = 86_400_000;

const fn integer(name: &'static str, unit: &'static str, min: u64, max: u64, default: f64) -> Key {
    Key { name, unit, kind: Kind::Integer(min, max), default }
}

/// All keys, in display order.
pub const KEYS: &[Key] = &[
    integer("max_queue", "tasks", 0, 1_000_000, 2_000.0),
    integer("deadline_ms", "ms", 1, DAY_MS, 30_000.0),
    integer("max_deadline_ms", "ms", 1, DAY_MS, 600_000.0),
    integer("max_tasks", "tasks", 1, 10_000, 1_000.0),
    Key {
        name: "retry_budget",
        unit: "share of successes",
        kind: Kind::Fraction(1.0),
        default: 0.1,
    },
    Key { name: "hedge_quantile", unit: "quantile", kind: Kind::Fraction(0.999), default: 0.0 },
    integer("answer_copies", "copies", 0, 2, 1.0),
    Key { name: "cross_zone", unit: "flag", kind: Kind::Boolean, default: 0.0 },
    integer("team_in_flight", "tasks, 0 = no limit", 0, 1_000_000, 0.0),
    integer("team_rate", "tasks/s, 0 = no limit", 0, 1_000_000, 0.0),
    integer("upstream_lease_ms", "ms", 500, 60_000, 3_000.0),
    integer("retention_ms", "ms", 1_000, DAY_MS, 600_000.0),
];

/// Finds a key by its name.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

impl Key {
    /// Returns the default as JSON.
    pub fn default_value(&self) -> Value {
        match self.kind {
            Kind::Integer(..) => Value::from(self.default as u64),
            Kind::Fraction(_) => Value::from(self.default),
            Kind::Boolean => Value::from(self.default != 0.0),
        }
    }

    /// Returns why `value` is invalid, or `None` if it is valid.
    pub fn value_error(&self, value: &Value) -> Option<String> {
        let valid = match self.kind {
            Kind::Integer(min, max) => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
            Kind::Fraction(max) => value.as_f64().is_some_and(|x| (0.0..=max).contains(&x)),
            Kind::Boolean => value.is_boolean(),
        };
        if valid { None } else { Some(format!("expected {}", self.describe_range())) }
    }

    /// Describes the accepted values.
    pub fn describe_range(&self) -> String {
        match self.kind {
            Kind::Integer(min, max) => format!("a whole number from {min} to {max}"),
            Kind::Fraction(max) => format!("a number from 0 to {max}"),
            Kind::Boolean => "true or false".to_owned(),
        }
    }
}
