//! Logs of several processes, merged by time.

use std::{collections, fs, io, io::BufRead as _, path};

use error_stack::ResultExt as _;
use serde::Deserialize;

use crate::{error, node::lines};

/// A line of a structured log.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// When it was written, according to the clock of that machine.
    pub ts: chrono::DateTime<chrono::Utc>,
    /// The instance that wrote it.
    pub instance: String,
    /// Message text, which names the event.
    pub msg: String,
    /// All other keys, such as the subject of the event and its reason.
    #[serde(flatten)]
    pub fields: collections::BTreeMap<String, serde_json::Value>,
}

/// The merged lines of several log files, ordered by time.
#[derive(Clone, Debug)]
pub struct Log {
    /// Lines, ordered by time.
    pub lines: Vec<Line>,
    /// Number of lines that could not be parsed.
    pub unparsed: usize,
}

impl Log {
    /// Reads files; `-` is the standard input.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read.
    pub fn read(files: &[path::PathBuf]) -> error::Result<Self> {
        let mut log = Self { lines: Vec::new(), unparsed: 0 };
        for file in files {
            let context = || error::Error::new("read log", file.display());
            let reader: Box<dyn io::Read> = if file.as_os_str() == "-" {
                Box::new(io::stdin())
            } else {
                Box::new(fs::File::open(file).change_context_lazy(context)?)
            };
            for line in io::BufReader::new(reader).lines() {
                match parse(&line.change_context_lazy(context)?) {
                    Some(line) => log.lines.push(line),
                    None => log.unparsed += 1,
                }
            }
        }
        log.lines.sort_by_key(|line| line.ts);
        Ok(log)
    }

    /// Returns the number of lines that the processes report as omitted.
    pub fn omitted(&self) -> u64 {
        let reports = self.lines.iter().filter(|line| line.msg == lines::LEFT_OUT);
        reports.filter_map(|line| line.fields.get("count")?.as_u64()).sum()
    }
}

impl Line {
    /// Returns the value of a field, if it is a string.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Returns whether its `request` or `id` field is one of `ids`.
    pub fn mentions(&self, ids: &collections::BTreeSet<String>) -> bool {
        let mut line_ids = ["request", "id"].into_iter().filter_map(|key| self.text(key));
        line_ids.any(|text| ids.contains(text))
    }
}

fn parse(line: &str) -> Option<Line> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}
