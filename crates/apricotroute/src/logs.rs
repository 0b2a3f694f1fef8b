//! Structured logs.

use std::{io, sync::mpsc, thread, time};

use slog::Drain as _;
use state::boot;

/// A logger to the standard error, and the guard that writes out the rest when dropped.
pub fn logger(log: &boot::Log, instance: &str) -> (slog::Logger, slog_async::AsyncGuard) {
    logger_to(io::stderr(), log, instance)
}

/// A logger to `to`. Lines wait in a bounded queue; what finds it full is counted and left out.
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
    let (drain, guard) = match log.form {
        boot::Form::Json => {
            let json = slog_json::Json::new(to).add_default_keys().build();
            slog_async::Async::new(json.fuse()).build_with_guard()
        }
        boot::Form::Text => {
            let plain = slog_term::PlainSyncDecorator::new(to);
            let text = slog_term::FullFormat::new(plain).build();
            slog_async::Async::new(text.fuse()).build_with_guard()
        }
    };
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let logger = slog::Logger::root(drain, slog::o!("instance" => instance.to_owned()));
    (logger, guard)
}

/// Writes out the last lines, as far as somebody reads them: a blocked output must not keep the
/// process from ending.
pub fn flush(guard: slog_async::AsyncGuard) {
    const PATIENCE: time::Duration = time::Duration::from_millis(300);
    let (done, wait) = mpsc::channel();
    thread::spawn(move || {
        drop(guard);
        // Nobody waits any more once the time is over.
        let _late = done.send(());
    });
    // What is not written by then is lost with the process.
    let _lost = wait.recv_timeout(PATIENCE);
}

/// A logger that drops everything.
pub fn none() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
