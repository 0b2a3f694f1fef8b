//! Announcements that arrive before a keeper has read a configuration: their upstreams are used
//! once a configuration names their service, and never otherwise.

mod sample;

use std::collections::BTreeSet;

use dispatch::{
    core::{Config, Core, Disk},
    event::{Event, Output, Reply, Ticket},
    incarnation::Incarnation,
    member::{Capacity, Card, Role},
    time::Now,
    upstream::Record,
};
use sample::record;
use state::{name::Name, policy::Policy};

/// Log line for an upstream that is put to use.
const ANNOUNCED: &str = "upstream: Announced.";

const NOW: Now = Now { mono: 1_000_000, wall: 1_800_000_000_000 };

fn keeper() -> Core {
    let name = Name::new("10.0.0.1:7301");
    let config = Config {
        me: Card {
            name: name.clone(),
            zone: "west".into(),
            role: Role::Keeper,
            incarnation: 1,
            capacity: Capacity::default(),
        },
        seeds: vec![name],
        longest_lease: 1_000,
        seed: 1,
        cores: 1_000,
        policy: Policy::default(),
        zones: Vec::new(),
        disk: Some(Disk { incarnation: 1, first: true, ..Disk::default() }),
    };
    Core::new(config, NOW)
}

/// Returns the upstreams that an event puts to use.
fn announced(core: &mut Core, event: Event) -> Vec<String> {
    let used = |output: Output| match output {
        Output::Note(note) if note.text == ANNOUNCED => Some(note.subject.to_string()),
        _ => None,
    };
    core.handle(event, NOW).into_iter().filter_map(used).collect()
}

fn reply(core: &mut Core, event: Event) -> Option<Reply> {
    let reply = |output| match output {
        Output::Reply(_, reply) => Some(reply),
        _ => None,
    };
    core.handle(event, NOW).into_iter().find_map(reply)
}

fn unchecked(ticket: Ticket, id: &str, service: &str) -> Event {
    Event::Unchecked(ticket, Record { service: service.into(), ..record(id) })
}

fn services() -> Event {
    Event::Services(BTreeSet::from(["board".into()]))
}

#[test]
fn checked_later() {
    let mut core = keeper();
    for (ticket, id, service) in [(1, "u1", "board"), (2, "u2", "nowhere"), (3, "u3", "board")] {
        assert_eq!(reply(&mut core, unchecked(ticket, id, service)), Some(Reply::Noted));
    }
    assert_eq!(announced(&mut core, services()), ["u1", "u3"]);
    assert!(announced(&mut core, services()).is_empty(), "an announcement is checked once");
}

#[test]
fn checked_at_once() {
    // The configuration was read while the announcement was on its way.
    let mut core = keeper();
    assert!(announced(&mut core, services()).is_empty());
    assert_eq!(announced(&mut core, unchecked(1, "u1", "board")), ["u1"]);
    assert_eq!(reply(&mut core, unchecked(2, "u2", "nowhere")), Some(Reply::Unavailable));
}

#[test]
fn newest_counts() {
    let mut core = keeper();
    let record = |serial, address: &str| Record { serial, address: address.into(), ..record("u1") };
    for (ticket, serial, address) in [(1, 2, "new"), (2, 1, "old")] {
        core.handle(Event::Unchecked(ticket, record(serial, address)), NOW);
    }
    let is_new =
        |output: &Output| matches!(output, Output::Note(note) if note.detail.contains("new"));
    assert!(core.handle(services(), NOW).iter().any(is_new));
}

#[test]
fn withdrawn() {
    let mut core = keeper();
    core.handle(unchecked(1, "u1", "board"), NOW);
    core.handle(Event::Withdraw(2, Incarnation::new(&"u1".into(), 0)), NOW);
    assert!(announced(&mut core, services()).is_empty());
}

#[test]
fn bounded() {
    let mut core = keeper();
    let mut kept = 0;
    while reply(&mut core, unchecked(kept, &format!("u{kept}"), "board")) == Some(Reply::Noted) {
        kept += 1;
    }
    assert_eq!(announced(&mut core, services()).len() as u64, kept);
}
