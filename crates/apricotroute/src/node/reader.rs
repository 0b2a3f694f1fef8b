//! The thread that decodes configurations.
//!
//! An entry with 0.12 of a core takes 60 to 160 ms to decode 4,200 routes (range over 12 entries).
//! On the control thread this would delay heartbeats, and an instance that is silent for 500 ms
//! counts as lost.

use std::{io, sync::mpsc, time};

use dispatch::{event::Event, message::Document};
use link::{metric, vital};

use super::handle;

/// Starts the thread, a part of `owner`, which puts the last of the waiting documents into effect.
pub fn start(
    owner: &vital::Owner,
    control: handle::Control,
    log: slog::Logger,
) -> io::Result<mpsc::Sender<Document>> {
    let (sender, receiver) = mpsc::channel::<Document>();
    let run = move || {
        while let Ok(first) = receiver.recv() {
            let newest = receiver.try_iter().last().unwrap_or(first);
            read(&newest, &control, &log);
        }
    };
    owner.spawn("settings", run)?;
    Ok(sender)
}

fn read(document: &Document, control: &handle::Control, log: &slog::Logger) {
    let start = time::Instant::now();
    let text = platform::decode::text(document);
    match text.and_then(|text| platform::decode::routing(&text)) {
        Ok(routing) => {
            let services = routing.services.clone();
            control.view().set_routing(routing);
            // Without the event, announcements that wait for it are never checked.
            while !control.send(Event::Services(services.clone())) {}
            let elapsed = start.elapsed();
            metric::record_config_read(elapsed);
            slog::info!(log, "settings: Read."; "version" => document.version,
                "bytes" => document.body.len(), "ms" => elapsed.as_millis() as u64);
        }
        // An instance of another version checked the configuration before it was committed.
        Err(error) => slog::error!(log, "settings: A committed configuration cannot be read.";
            "version" => document.version, "fault" => error.why),
    }
}
