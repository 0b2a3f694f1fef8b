//! Exchange between the instances of a zone: upstreams with their leases, and the settings for an
//! instance that cannot reach the settings group.

use state::{id, name, upstream};

use crate::{
    core::{Core, RENEWAL_INTERVAL},
    event::{Output, Reply, Ticket},
    group, machine,
    message::{self, Body},
    time,
    time::Now,
};

impl Core {
    pub(crate) fn announce(&mut self, ticket: Ticket, mut info: upstream::Upstream, now: Now) {
        let lease = self.tree().policy_at(info.service.as_str()).upstream_lease_ms;
        let known = self.fleet.upstreams().get(info.name.as_str()).map(|leased| &leased.info);
        // A copy that the upstream has given up and followed by another announcement.
        if known.is_some_and(|known| known.supersedes(&info)) {
            return self.out.push(Output::Reply(ticket, Reply::Lease(lease)));
        }
        info.sequence = now.wall.max(known.map_or(0, |known| known.sequence) + 1);
        let sequence = info.sequence;
        let changed = self.fleet.put(info.clone(), now.after(lease));
        self.dispatch_pending.insert(info.service.clone());
        if changed {
            let update = message::Table::Changed(vec![(info, lease)]);
            for to in self.zone_peers() {
                self.send(&to, Body::Table(update.clone()));
            }
        } else {
            self.renewals.insert(id::name_hash(info.name.as_str()), sequence);
        }
        self.out.push(Output::Reply(ticket, Reply::Lease(lease)));
    }

    pub(crate) fn withdraw(&mut self, ticket: Ticket, name: &name::Name, now: Now) {
        if let Some(leased) = self.fleet.upstreams().get(name.as_str()) {
            let mut info = leased.info.clone();
            info.phase = upstream::Phase::Gone;
            self.announce(ticket, info, now);
            self.out.pop();
        }
        self.out.push(Output::Reply(ticket, Reply::Withdrawn));
    }

    pub(crate) fn on_table(&mut self, from: &name::Name, update: message::Table, now: Now) {
        match update {
            message::Table::Changed(list) => {
                for (info, remaining) in list {
                    self.dispatch_pending.insert(info.service.clone());
                    self.fleet.put(info, now.after(remaining));
                }
            }
            message::Table::Renewed(list) => {
                let renew = |(hash, sequence, remaining): &(u32, u64, u32)| {
                    self.fleet.renew(*hash, *sequence, now.after(u64::from(*remaining)))
                };
                let known = list.iter().map(renew).filter(|known| *known).count();
                if known < list.len() {
                    self.send(from, Body::Table(message::Table::Ask));
                }
            }
            message::Table::AskSettings => {
                if self.tree().version() > 0 {
                    let state = group::Machine::snapshot(self.settings.machine());
                    self.send(from, Body::Table(message::Table::Settings(state)));
                }
            }
            message::Table::Settings(state) => self.on_settings(&state),
            message::Table::Ask => {
                let remaining =
                    |l: &upstream::Leased| l.expires.saturating_sub(now.mono) / time::MS;
                let list: Vec<_> =
                    self.fleet.upstreams().iter().map(|l| (l.info.clone(), remaining(l))).collect();
                if !list.is_empty() {
                    self.send(from, Body::Table(message::Table::Changed(list)));
                }
            }
        }
    }

    /// Adopts the settings of another instance of the zone, if this instance has not joined the
    /// settings group and the copy is newer. An instance that starts while it can reach no voter of
    /// the settings group depends on this copy. Once it can reach the group, it applies the
    /// committed changes on top; a change that the copy already contains has no second effect.
    pub(crate) fn on_settings(&mut self, state: &[u8]) {
        let mut copy = machine::Settings::default();
        group::Machine::restore(&mut copy, state);
        if self.settings.is_joined() || copy.tree.version() <= self.tree().version() {
            return;
        }
        self.settings.machine_mut().tree = copy.tree;
        self.out.push(Output::Settings);
    }

    /// Asks the other instances of the zone in turn for their settings, until this instance has
    /// joined the settings group.
    pub(crate) fn fetch_settings(&mut self, now: Now) {
        const INTERVAL: u64 = 500 * time::MS;
        if self.settings.is_joined() || now.mono < self.fetch_at {
            return;
        }
        self.fetch_at = now.mono + INTERVAL;
        let peers = self.zone_peers();
        if !peers.is_empty() {
            let at = (now.mono / INTERVAL) as usize % peers.len();
            self.send(&peers[at], Body::Table(message::Table::AskSettings));
        }
    }

    pub(crate) fn tick_upstreams(&mut self, now: Now) {
        if now.mono < self.renew_at || self.renewals.is_empty() {
            return;
        }
        self.renew_at = now.mono + RENEWAL_INTERVAL;
        let renewals = std::mem::take(&mut self.renewals);
        let renewal = |(hash, sequence): (u32, u64)| {
            let found = self.fleet.upstreams().iter().find(|l| {
                l.info.sequence == sequence && id::name_hash(l.info.name.as_str()) == hash
            });
            let remaining = found?.expires.saturating_sub(now.mono) / time::MS;
            Some((hash, sequence, remaining as u32))
        };
        let list: Vec<_> = renewals.into_iter().filter_map(renewal).collect();
        for to in self.zone_peers() {
            self.send(&to, Body::Table(message::Table::Renewed(list.clone())));
        }
    }
}
