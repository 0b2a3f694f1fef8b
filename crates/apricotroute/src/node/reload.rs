//! Reloading of the settings file, on SIGHUP and when the file has changed.

use std::{fs, path, sync, time};

use link::vital;
use state::node;

use super::handle;

/// Interval between checks of the file's modification time.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Checks the file periodically and reloads it when its modification time has changed.
pub fn watch(
    runtime: &sync::Arc<tokio::runtime::Runtime>,
    owner: &vital::Owner,
    file: &path::Path,
    node: &node::Node,
    control: &handle::Control,
    log: &slog::Logger,
) {
    let (file, node) = (file.to_owned(), node.clone());
    let (control, log) = (control.clone(), log.clone());
    let modified = |file: &path::Path| fs::metadata(file).and_then(|meta| meta.modified()).ok();
    runtime.spawn(owner.clone().run("reload", async move {
        let mut last = modified(&file);
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = modified(&file);
            if now != last {
                last = now;
                reload(&file, &node, &control, &log);
            }
        }
    }));
}

/// Reads the file and applies the only setting that may change at run time, the seeds. A file that
/// cannot be read or is invalid changes nothing.
pub fn reload(file: &path::Path, node: &node::Node, control: &handle::Control, log: &slog::Logger) {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            slog::warn!(log, "node: The settings cannot be read, keeping the former ones.";
                "error" => %e);
            return;
        }
    };
    match node::Node::parse(&text) {
        Ok(fresh) => {
            super::send_seeds(&fresh, control);
            let needs_restart =
                node::Node { seeds: Vec::new(), first_start: false, ..fresh.clone() }
                    != node::Node { seeds: Vec::new(), first_start: false, ..node.clone() };
            slog::info!(log, "node: Settings read again."; "seeds" => ?fresh.seeds,
                "needs_restart" => needs_restart);
        }
        Err(faults) => {
            for fault in faults {
                slog::warn!(log, "node: The settings are invalid, keeping the former ones.";
                    "fault" => %fault);
            }
        }
    }
}
