//! Reads the values of bootstrap files and collects all errors.

use std::{collections, net};

use serde_json::Value;

use crate::{
    locate::{Fault, Located},
    name,
};

/// Members of an object that have not been read yet.
pub(crate) type Members<'a> = collections::BTreeMap<String, Located<'a>>;

/// Reads values and records an error for each invalid one.
#[derive(Default)]
pub(crate) struct Reader {
    /// The errors found so far.
    pub(crate) faults: Vec<Fault>,
}

impl Reader {
    pub(crate) fn object<'a>(&mut self, value: &Located<'a>) -> Option<Members<'a>> {
        let members = value.members();
        if members.is_none() {
            self.faults.push(value.fault("expected an object"));
        }
        members
    }

    pub(crate) fn reject_unknown(&mut self, map: Members<'_>) {
        for value in map.into_values() {
            self.faults.push(value.fault("unknown key"));
        }
    }

    pub(crate) fn required<'a>(
        &mut self,
        parent: &Located<'a>,
        map: &mut Members<'a>,
        key: &str,
    ) -> Option<Located<'a>> {
        let found = map.remove(key);
        if found.is_none() {
            let mut fault = parent.fault("missing");
            fault.path = format!("{}.{key}", fault.path);
            self.faults.push(fault);
        }
        found
    }

    pub(crate) fn name<'a>(
        &mut self,
        parent: &Located<'a>,
        map: &mut Members<'a>,
        key: &str,
    ) -> Option<name::Name> {
        let value = self.required(parent, map, key)?;
        let text = self.string(&value)?;
        if name::Name::is_valid(&text) {
            return Some(name::Name::new(&text));
        }
        let reason = "expected a name of 1 to 64 letters, digits, '-', '_' or '.'";
        self.faults.push(value.fault(reason));
        None
    }

    pub(crate) fn address<'a>(
        &mut self,
        parent: &Located<'a>,
        map: &mut Members<'a>,
        key: &str,
    ) -> Option<net::SocketAddr> {
        let value = self.required(parent, map, key)?;
        let text = self.string(&value)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.faults.push(value.fault("expected IP:PORT"));
        }
        address
    }

    pub(crate) fn string(&mut self, value: &Located<'_>) -> Option<String> {
        match value.value() {
            Value::String(text) if !text.is_empty() => Some(text),
            _ => self.reject(value, "expected a string that is not empty"),
        }
    }

    pub(crate) fn unsigned(&mut self, value: &Located<'_>) -> Option<u64> {
        value.value().as_u64().or_else(|| self.reject(value, "expected a whole number from 0"))
    }

    pub(crate) fn signed(&mut self, value: &Located<'_>) -> Option<i64> {
        value.value().as_i64().or_else(|| self.reject(value, "expected a whole number"))
    }

    pub(crate) fn boolean(&mut self, value: &Located<'_>) -> Option<bool> {
        value.value().as_bool().or_else(|| self.reject(value, "expected true or false"))
    }

    pub(crate) fn one_of<T: Copy>(
        &mut self,
        value: &Located<'_>,
        options: &[(&str, T)],
    ) -> Option<T> {
        let json = value.value();
        let found = options.iter().find(|(name, _)| json.as_str() == Some(name));
        if let Some((_, option)) = found {
            return Some(*option);
        }
        let names: Vec<_> = options.iter().map(|(name, _)| *name).collect();
        self.reject(value, &format!("expected one of {}", names.join(", ")))
    }

    pub(crate) fn reject<T>(&mut self, value: &Located<'_>, reason: &str) -> Option<T> {
        self.faults.push(value.fault(reason));
        None
    }
}
