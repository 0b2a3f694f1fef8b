//! Reads settings files and collects every fault on the way.

use std::{collections, net};

use serde_json::Value;

use crate::{
    locate::{Fault, Located},
    name,
};

/// Members of an object that were not read yet.
pub(crate) type Members<'a> = collections::BTreeMap<String, Located<'a>>;

/// The faults found so far.
#[derive(Default)]
pub(crate) struct Reader {
    pub(crate) faults: Vec<Fault>,
}

impl Reader {
    pub(crate) fn object<'a>(&mut self, at: &Located<'a>) -> Option<Members<'a>> {
        let members = at.members();
        if members.is_none() {
            self.faults.push(at.fault("expected an object"));
        }
        members
    }

    pub(crate) fn leftover(&mut self, map: Members<'_>) {
        for at in map.into_values() {
            self.faults.push(at.fault("unknown key"));
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
        let at = self.required(parent, map, key)?;
        let text = self.text(&at)?;
        if name::Name::is_valid(&text) {
            return Some(name::Name::new(&text));
        }
        let why = "expected a name of 1 to 64 letters, digits, '-', '_' or '.'";
        self.faults.push(at.fault(why));
        None
    }

    pub(crate) fn address<'a>(
        &mut self,
        parent: &Located<'a>,
        map: &mut Members<'a>,
        key: &str,
    ) -> Option<net::SocketAddr> {
        let at = self.required(parent, map, key)?;
        let text = self.text(&at)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.faults.push(at.fault("expected IP:PORT"));
        }
        address
    }

    pub(crate) fn text(&mut self, at: &Located<'_>) -> Option<String> {
        match at.value() {
            Value::String(text) if !text.is_empty() => Some(text),
            _ => self.reject(at, "expected a string that is not empty"),
        }
    }

    pub(crate) fn whole(&mut self, at: &Located<'_>) -> Option<u64> {
        at.value().as_u64().or_else(|| self.reject(at, "expected a whole number from 0"))
    }

    pub(crate) fn signed(&mut self, at: &Located<'_>) -> Option<i64> {
        at.value().as_i64().or_else(|| self.reject(at, "expected a whole number"))
    }

    pub(crate) fn flag(&mut self, at: &Located<'_>) -> Option<bool> {
        at.value().as_bool().or_else(|| self.reject(at, "expected true or false"))
    }

    pub(crate) fn choice<T: Copy>(&mut self, at: &Located<'_>, choices: &[(&str, T)]) -> Option<T> {
        let value = at.value();
        let found = choices.iter().find(|(name, _)| value.as_str() == Some(name));
        if let Some((_, choice)) = found {
            return Some(*choice);
        }
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        self.reject(at, &format!("expected one of {}", names.join(", ")))
    }

    pub(crate) fn reject<T>(&mut self, at: &Located<'_>, why: &str) -> Option<T> {
        self.faults.push(at.fault(why));
        None
    }
}
