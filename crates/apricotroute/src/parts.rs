//! The owner of the threads and tasks that an instance needs.

use std::{process, thread, time};

use link::vital;

/// Exit code of an instance of which a part has ended.
const EXIT_CODE: i32 = 70;
/// How long the log thread has to write the last line.
const LOG_TIME: time::Duration = time::Duration::from_millis(100);

/// Creates an owner that ends the process when a part ends: an instance that goes on without it
/// would be taken for a sound one. A process that has ended is started again.
pub fn owner(log: &slog::Logger) -> vital::Owner {
    let log = log.clone();
    vital::Owner::new(Box::new(move |part| {
        slog::crit!(log, "instance: A part has ended, the process exits."; "part" => part);
        thread::sleep(LOG_TIME);
        process::exit(EXIT_CODE);
    }))
}
