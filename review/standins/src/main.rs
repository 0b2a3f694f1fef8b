//! Scripted cases of the review: `review-standins CASE PROGRAM RECORD`.
//!
//! Each case starts the project's programs as separate processes and plays clients, executors and
//! the operator against them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With TROUBLE=0 it leaves the disruption out.

mod cases;
mod executor;
mod http;
mod json;
mod record;
mod system;

use std::{env, panic, path::PathBuf, process::ExitCode};

fn argument(at: usize) -> Option<String> {
    env::args().nth(at)
}

/// The file that the record is written to.
pub fn record_file() -> PathBuf {
    argument(3).unwrap_or_else(|| "record.txt".to_owned()).into()
}

fn main() -> ExitCode {
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let program = PathBuf::from(argument(2).unwrap_or_default());
    let record = record::Record::new();
    let case: fn(&std::path::Path, bool, &record::Record) -> bool = match argument(1).as_deref() {
        Some("stop") => cases::stop,
        Some("cancel") => cases::cancel,
        _ => {
            eprintln!("usage: review-standins stop|cancel PROGRAM RECORD");
            return ExitCode::from(2);
        }
    };
    let played = panic::catch_unwind(|| case(&program, trouble, &record));
    let Ok(broken) = played else {
        record.add("the case could not run");
        record.write(&record_file());
        return ExitCode::from(2);
    };
    record.add(if broken { "the rule is BROKEN" } else { "the rule held" });
    record.write(&record_file());
    ExitCode::from(u8::from(broken))
}
