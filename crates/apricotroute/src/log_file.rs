//! Logs of several processes, read as one.

use std::{collections, fs, io, io::BufRead as _, path};

use error_stack::ResultExt as _;
use serde::Deserialize;

use crate::{error, node::lines};

/// A line of a log.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// When it was written, by the clock of its machine.
    pub ts: chrono::DateTime<chrono::Utc>,
    /// Who wrote it.
    pub instance: String,
    /// What happened.
    pub msg: String,
    /// What it happened to, and why.
    #[serde(flatten)]
    pub fields: collections::BTreeMap<String, serde_json::Value>,
}

/// All lines, in order of time.
#[derive(Clone, Debug)]
pub struct Log {
    /// The lines.
    pub lines: Vec<Line>,
    /// Lines of files that could not be read as lines of a log.
    pub unread: usize,
}

impl Log {
    /// Reads files; `-` is the standard input.
    ///
    /// # Errors
    ///
    /// A file cannot be read.
    pub fn read(files: &[path::PathBuf]) -> error::Result<Self> {
        let mut log = Self { lines: Vec::new(), unread: 0 };
        for file in files {
            let fault = || error::Error::new("read log", file.display());
            let reader: Box<dyn io::Read> = if file.as_os_str() == "-" {
                Box::new(io::stdin())
            } else {
                Box::new(fs::File::open(file).change_context_lazy(fault)?)
            };
            for line in io::BufReader::new(reader).lines() {
                match parse(&line.change_context_lazy(fault)?) {
                    Some(line) => log.lines.push(line),
                    None => log.unread += 1,
                }
            }
        }
        log.lines.sort_by_key(|line| line.ts);
        Ok(log)
    }

    /// Lines that the processes say they left out.
    pub fn left_out(&self) -> u64 {
        let told = self.lines.iter().filter(|line| line.msg == lines::LEFT_OUT);
        told.filter_map(|line| line.fields.get("count")?.as_u64()).sum()
    }
}

impl Line {
    /// The text of a field.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Whether it names a job or a request of `ids`.
    pub fn is_about(&self, ids: &collections::BTreeSet<String>) -> bool {
        let mut named = ["request", "id"].into_iter().filter_map(|key| self.text(key));
        named.any(|text| ids.contains(text))
    }
}

fn parse(line: &str) -> Option<Line> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}
