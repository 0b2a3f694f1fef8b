//! News that spreads among the instances of a zone: upstreams with their leases, and settings for
//! an instance that cannot get them from the group.

use state::{id, name, upstream};

use crate::{
    core::{Core, RENEWALS},
    event::{Output, Reply, Ticket},
    group, machine,
    message::{self, Body},
    time,
    time::Now,
};

impl Core {
    pub(crate) fn announce(&mut self, ticket: Ticket, mut info: upstream::Upstream, now: Now) {
        let lease = self.tree().policy_at(info.service.as_str()).upstream_lease_ms;
        let held = self.fleet.table().get(info.name.as_str()).map_or(0, |held| held.info.stamp);
        info.stamp = now.wall.max(held + 1);
        let stamp = info.stamp;
        let changed = self.fleet.put(info.clone(), now.after(lease));
        self.dirty.insert(info.service.clone());
        if changed {
            let news = message::Table::Changed(vec![(info, lease)]);
            for to in self.neighbours() {
                self.send(&to, Body::Table(news.clone()));
            }
        } else {
            self.renewals.insert(id::short(info.name.as_str()), stamp);
        }
        self.out.push(Output::Reply(ticket, Reply::Lease(lease)));
    }

    pub(crate) fn withdraw(&mut self, ticket: Ticket, name: &name::Name, now: Now) {
        if let Some(held) = self.fleet.table().get(name.as_str()) {
            let mut info = held.info.clone();
            info.phase = upstream::Phase::Gone;
            self.announce(ticket, info, now);
            self.out.pop();
        }
        self.out.push(Output::Reply(ticket, Reply::Withdrawn));
    }

    pub(crate) fn on_table(&mut self, from: &name::Name, news: message::Table, now: Now) {
        match news {
            message::Table::Changed(list) => {
                for (info, left) in list {
                    self.dirty.insert(info.service.clone());
                    self.fleet.put(info, now.after(left));
                }
            }
            message::Table::Renewed(list) => {
                let renew = |(short, stamp, left): &(u32, u64, u32)| {
                    self.fleet.renew(*short, *stamp, now.after(u64::from(*left)))
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
                let left = |l: &upstream::Leased| l.until.saturating_sub(now.mono) / time::MS;
                let list: Vec<_> =
                    self.fleet.table().iter().map(|l| (l.info.clone(), left(l))).collect();
                if !list.is_empty() {
                    self.send(from, Body::Table(message::Table::Changed(list)));
                }
            }
        }
    }

    /// An instance that starts while nobody who votes on settings is in reach goes by what its
    /// neighbours have. Once the group is in reach, what it agreed on comes on top: changes that
    /// are known already have no second effect.
    pub(crate) fn on_settings(&mut self, state: &[u8]) {
        let mut copy = machine::Settings::default();
        group::Machine::restore(&mut copy, state);
        if self.settings.is_joined() || copy.tree.version() <= self.tree().version() {
            return;
        }
        self.settings.machine_mut().tree = copy.tree;
        self.out.push(Output::Settings);
    }

    /// Asks a neighbour for its settings, as long as there are none here.
    pub(crate) fn seek_settings(&mut self, now: Now) {
        const PAUSE: u64 = 500 * time::MS;
        if self.settings.is_joined() || now.mono < self.seek_at {
            return;
        }
        self.seek_at = now.mono + PAUSE;
        let peers = self.neighbours();
        if !peers.is_empty() {
            let at = (now.mono / PAUSE) as usize % peers.len();
            self.send(&peers[at], Body::Table(message::Table::AskSettings));
        }
    }

    pub(crate) fn tick_upstreams(&mut self, now: Now) {
        if now.mono < self.renew_at || self.renewals.is_empty() {
            return;
        }
        self.renew_at = now.mono + RENEWALS;
        let renewals = std::mem::take(&mut self.renewals);
        let held = |(short, stamp): (u32, u64)| {
            let found = self
                .fleet
                .table()
                .iter()
                .find(|l| l.info.stamp == stamp && id::short(l.info.name.as_str()) == short);
            let left = found?.until.saturating_sub(now.mono) / time::MS;
            Some((short, stamp, left as u32))
        };
        let list: Vec<_> = renewals.into_iter().filter_map(held).collect();
        for to in self.neighbours() {
            self.send(&to, Body::Table(message::Table::Renewed(list.clone())));
        }
    }
}
