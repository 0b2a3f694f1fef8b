//! Structured logging.

use std::{io, sync::mpsc, thread, time};

use slog::Drain as _;
use state::boot;

/// Creates a logger to the standard error. Dropping the guard writes out the queued lines.
pub fn logger(log: &boot::Log, instance: &str) -> (slog::Logger, slog_async::AsyncGuard) {
    logger_to(io::stderr(), log, instance)
}

/// Creates a logger to `to`. Lines wait in a bounded queue; a line that finds it full is counted
/// and dropped.
pub fn logger_to(
    to: impl io::Write + Send + 'static,
    log: &boot::Log,
    instance: &str,
) -> (slog::Logger, slog_async::AsyncGuard) {
    let level = match log.level {
        boot::Level::Error => slog::Level::Error,
        boot::Level::Warning => slog::Level::Warning,
        boot::Level::Info => slog::Level::Info,
        boot::Level::Debug => slog::Level::Debug,
    };
    let (drain, guard) = match log.format {
        boot::Format::Json => {
            let json = slog_json::Json::new(to).add_default_keys().build();
            slog_async::Async::new(json.fuse()).build_with_guard()
        }
        boot::Format::Text => {
            let plain = slog_term::PlainSyncDecorator::new(to);
            let text = slog_term::FullFormat::new(plain).build();
            slog_async::Async::new(text.fuse()).build_with_guard()
        }
    };
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let logger = slog::Logger::root(drain, slog::o!("instance" => instance.to_owned()));
    (logger, guard)
}

/// Writes out the queued lines, but waits only for a limited time: an output that blocks because
/// its reader has stopped reading must not keep the process from exiting.
pub fn flush(guard: slog_async::AsyncGuard) {
    const TIMEOUT: time::Duration = time::Duration::from_millis(300);
    let (done, wait) = mpsc::channel();
    thread::spawn(move || {
        drop(guard);
        // The receiver is gone once the timeout has passed.
        let _ignored = done.send(());
    });
    // Lines that are not written by then are lost when the process exits.
    let _ignored = wait.recv_timeout(TIMEOUT);
}

/// Creates a logger that discards all lines.
pub fn none() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
