//! What a member of a group passes on: messages, changes to store, and committed commands to its
//! state machine.

use state::name;

use crate::{
    entry::Payload,
    group::{Group, Machine, Stage},
    message::{self, FormMessage, Formation, Route},
    raft::{self, Save},
};

impl<M: Machine> Group<M> {
    pub(crate) fn send_form(&mut self, to: &name::Name, form: FormMessage) {
        let body = message::Body::Form(self.config.group.clone(), self.config.me.incarnation, form);
        self.out.sends.push((to.clone(), body));
    }

    pub(crate) fn save(&mut self, save: Save) {
        if self.config.durable {
            self.last_issued += 1;
            self.out.saves.push((self.last_issued, save));
        }
    }

    /// Applies the entries that the engine committed, and passes on its messages and changes.
    pub(crate) fn process_output(&mut self, now: u64) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let mut out = joined.raft.take_output();
        let formation = joined.formation;
        if let Some(state) = out.restored.take() {
            self.machine.restore(&state);
            joined.applied = joined.raft.log().base();
            self.out.restored = true;
        }
        for entry in out.committed.drain(..) {
            if let Payload::Command(command) = &entry.payload {
                self.out.effects.extend(self.machine.apply(command));
            }
            joined.applied = entry.index;
        }
        for save in out.saves.drain(..) {
            let stored = match &save {
                Save::Entry(entry) => Some((entry.index, entry.term)),
                Save::Snapshot { index, term, .. } => {
                    // The snapshot replaces the whole log.
                    self.unsynced.clear();
                    Some((*index, *term))
                }
                Save::HardState(..) => {
                    self.last_vote = self.last_issued + 1;
                    None
                }
                _ => None,
            };
            if let Some((index, term)) = stored.filter(|_| self.config.durable) {
                // This write replaces the writes of later entries that are not on disk yet.
                while self.unsynced.pop_back_if(|(_, last, _)| *last >= index).is_some() {}
                self.unsynced.push_back((self.last_issued + 1, index, term));
            }
            self.save(save);
        }
        for (to, body) in out.sends.drain(..) {
            self.send_raft(formation, &to, body);
        }
        self.send_snapshots(&out.behind, now);
        self.compact();
    }

    fn send_raft(&mut self, formation: Formation, to: &name::Member, body: message::Raft) {
        let route = Route { formation, from: self.config.me.incarnation, to: to.incarnation };
        let can_send = raft::can_precede_sync(&body) || self.last_saved >= self.last_issued;
        let body = message::Body::Raft(self.config.group.clone(), route, body);
        if can_send {
            self.out.sends.push((to.name.clone(), body));
        } else {
            self.pending_sends.push_back((self.last_issued, to.name.clone(), body));
        }
    }

    fn send_snapshots(&mut self, behind: &[name::Member], now: u64) {
        if behind.is_empty() {
            return;
        }
        let state = self.machine.snapshot();
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        for member in behind {
            joined.raft.send_snapshot(member, state.clone(), now);
        }
        let formation = joined.formation;
        for (to, body) in joined.raft.take_output().sends {
            self.send_raft(formation, &to, body);
        }
    }

    fn compact(&mut self) {
        let Stage::Joined(joined) = &mut self.stage else {
            return;
        };
        let raft = &mut joined.raft;
        if joined.applied < raft.log().base() + self.config.compact_every {
            return;
        }
        if self.config.durable {
            let index = joined.applied;
            let term = raft.log().term(index).unwrap_or_default();
            let voters = raft.voters_at(index);
            let state = self.machine.snapshot();
            raft.compact(self.config.kept_entries);
            self.save(Save::Snapshot { index, term, voters, state });
        } else {
            raft.compact(self.config.kept_entries);
        }
    }
}
