//! JSON values with their path and line, so that an operator can find the cause of an error.

use std::{collections, fmt};

use serde_json::{Value, value::RawValue};

/// One error in a file, with its location and reason.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// JSON path, such as `$.peers[0].disk`.
    pub path: String,
    /// Reason of the error.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (line {}): {}", self.path, self.line, self.reason)
    }
}

/// A JSON value inside a document, with its path.
#[derive(Clone, Debug)]
pub struct Located<'a> {
    text: &'a str,
    raw: &'a RawValue,
    path: String,
}

impl<'a> Located<'a> {
    /// Parses a JSON document.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON. The error has the line.
    ///
    /// ```
    /// let fault = state::locate::Located::parse("{\n\"a\": }").unwrap_err();
    /// assert_eq!(fault.line, 2);
    /// ```
    pub fn parse(text: &'a str) -> Result<Self, Fault> {
        match serde_json::from_str(text) {
            Ok(raw) => Ok(Self { text, raw, path: "$".to_owned() }),
            Err(e) => Err(Fault { line: e.line(), path: "$".to_owned(), reason: e.to_string() }),
        }
    }

    /// Creates an error located at this value.
    pub fn fault(&self, reason: impl Into<String>) -> Fault {
        Fault { line: self.line(), path: self.path.clone(), reason: reason.into() }
    }

    /// Returns the value.
    pub fn value(&self) -> Value {
        serde_json::from_str(self.raw.get()).unwrap_or_default()
    }

    /// Returns the members of the object, or `None` if the value is not an object.
    pub fn members(&self) -> Option<collections::BTreeMap<String, Self>> {
        let map: collections::BTreeMap<String, &'a RawValue> =
            serde_json::from_str(self.raw.get()).ok()?;
        let child = |(key, raw): (String, &'a RawValue)| {
            let path = format!("{}.{key}", self.path);
            (key, Self { text: self.text, raw, path })
        };
        Some(map.into_iter().map(child).collect())
    }

    /// Returns the items of the array, or `None` if the value is not an array.
    pub fn items(&self) -> Option<Vec<Self>> {
        let list: Vec<&'a RawValue> = serde_json::from_str(self.raw.get()).ok()?;
        let child = |(index, raw): (usize, &'a RawValue)| {
            let path = format!("{}[{index}]", self.path);
            Self { text: self.text, raw, path }
        };
        Some(list.into_iter().enumerate().map(child).collect())
    }

    fn line(&self) -> usize {
        let start = self.text.as_ptr().addr();
        let offset = self.raw.get().as_ptr().addr().saturating_sub(start);
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        before.split(|byte| *byte == b'\n').count()
    }
}
