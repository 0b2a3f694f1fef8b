//! The replicated groups of an instance, with their voters and timing.

use state::name;

use crate::{config::Config, group, machine, member, message, raft, time};

/// Timing of the settings group. The intervals tolerate a slow disk, because the loss of a leader
/// affects only changes of the settings.
const SETTINGS_TIMING: raft::Timing =
    raft::Timing { heartbeat: 400 * time::MS, election: 1_200 * time::MS, lease: 1_000 * time::MS };
/// Timing of a journal. The intervals are short, because no job is admitted while the journal has
/// no leader.
const JOURNAL_TIMING: raft::Timing =
    raft::Timing { heartbeat: 150 * time::MS, election: 600 * time::MS, lease: 500 * time::MS };

/// Creates this instance's member of the settings group.
pub(crate) fn settings(config: &Config) -> group::Group<machine::Settings> {
    let seats = member::settings_seats(&config.all);
    let me = &config.me.name;
    let is_voter = seats.contains(me) && config.disk_incarnation.is_some();
    let incarnation = if is_voter { config.disk_incarnation } else { None };
    let group = group::Config {
        group: message::Group::Settings,
        me: name::Member::new(me, incarnation.unwrap_or(config.incarnation)),
        others: others(config, &seats),
        seats,
        timing: SETTINGS_TIMING,
        durable: is_voter,
        static_voters: false,
        compact_every: group::COMPACT_EVERY,
        kept_entries: group::KEPT_ENTRIES,
    };
    group::Group::new(group, machine::Settings::default(), config.seed ^ 1)
}

/// Creates this instance's member of a zone's journal.
pub(crate) fn journal(config: &Config, zone: &name::Name) -> group::Group<machine::Journal> {
    let seats = member::journal_seats(&config.all, zone);
    let home = config.all.iter().filter(|i| i.zone == *zone && !seats.contains(&i.name));
    let group = group::Config {
        group: message::Group::Journal(zone.clone()),
        me: name::Member::new(&config.me.name, config.incarnation),
        others: home.map(|i| i.name.clone()).collect(),
        seats,
        timing: JOURNAL_TIMING,
        durable: false,
        static_voters: false,
        compact_every: group::COMPACT_EVERY,
        kept_entries: group::KEPT_ENTRIES,
    };
    group::Group::new(group, machine::Journal::default(), config.seed ^ 2)
}

fn others(config: &Config, seats: &[name::Name]) -> Vec<name::Name> {
    let rest = config.all.iter().filter(|instance| !seats.contains(&instance.name));
    rest.map(|instance| instance.name.clone()).collect()
}

/// Other zones in whose journal this instance is a voter.
pub(crate) fn witnessed(config: &Config) -> Vec<name::Name> {
    let zones = member::zones(&config.all).into_iter().filter(|zone| *zone != config.me.zone);
    let is_voter =
        |zone: &name::Name| member::journal_seats(&config.all, zone).contains(&config.me.name);
    zones.filter(is_voter).collect()
}
