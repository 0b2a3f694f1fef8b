//! The `apricotroute` command: a single binary for instances, operators, trials and tests.

mod changes;
mod cli;
mod client;
mod clock;
mod control;
mod demo;
mod demo_platform;
mod error;
mod explain;
mod help;
mod instance;
mod load;
mod log_file;
mod logs;
mod losses;
mod node;
mod operator;
mod options;
mod output;
mod parts;
mod refusals;
mod remote;
mod reply;
mod standin;
mod status;
mod store;

use std::process;

fn main() -> process::ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
