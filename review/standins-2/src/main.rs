//! Runs the scripts of the review: `standins-2 NAME RECORD`. It exits with 0 if the rule held, with
//! 1 if it was broken, and with 2 if the case could not run.

mod evacuated;
mod executor;
mod failed;
mod large;
mod proxy;
mod record;
mod system;
mod wire;

use std::{env, path::Path, process, sync::Arc};

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<_> = env::args().collect();
    let [_, name, path] = arguments.as_slice() else { process::exit(2) };
    let Ok(record) = record::Record::new(Path::new(path)) else { process::exit(2) };
    let record = Arc::new(record);
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let outcome = match name.as_str() {
        "evacuated" => evacuated::run(&record, trouble),
        "failed" => failed::run(&record, trouble),
        "large" => large::run(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match outcome {
        Ok(Outcome::Held) => 0,
        Ok(Outcome::Broken) => 1,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
    };
    record.line(&format!("exit {code}"));
    process::exit(code);
}
