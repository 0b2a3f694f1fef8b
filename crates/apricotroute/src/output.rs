//! Output of commands.

use std::{
    fmt,
    io::{self, Write as _},
};

/// Prints a text without a line break. A closed pipe is no error: a reader such as `head` exits
/// once it has the lines it wants.
pub fn text(text: impl fmt::Display) {
    let written = write!(io::stdout(), "{text}").and_then(|()| io::stdout().flush());
    match written {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("apricotroute: write output: {e}");
        }
        _ => {}
    }
}

/// Prints a line.
pub fn line(line: impl fmt::Display) {
    text(format_args!("{line}\n"));
}
