//! How a scheduler handles upstreams that restart under their names.
//!
//! The incarnations of an upstream follow one another, so that one whose announcement was known
//! when a call was sent has ended if another one answers that call. No order of start times is
//! used: the wall clock of an upstream may be set back, and announcements may arrive late.
//!
//! An order that was meant for the former incarnation may have reached the next one, which has seen
//! no fencing token. Runs that no list of the former incarnation has shown therefore count as
//! unconfirmed at the next one until it has answered under a higher token. All others ended with
//! the former process, and their tasks are started again at once.

use std::collections;

use crate::{
    machines::sched::Sched,
    messages::{
        incarnation::Incarnation,
        time,
        upstream::{self, Record},
    },
    tables::active::Phase,
};

impl Sched {
    /// Replaces the incarnations of an upstream that were known when call `number` was sent, which
    /// `next` has answered.
    pub(crate) fn replace_former(&mut self, next: &Incarnation, number: u64, now: u64) {
        let of_name = self.sessions.range(Incarnation::all_of(&next.name));
        let former = of_name
            .filter(|(id, session)| *id != next && session.first_call < number)
            .map(|(id, _)| id.clone());
        let former: smallvec::SmallVec<[_; 1]> = former.collect();
        for id in former {
            self.replace(&id, next, now);
        }
    }

    /// Handles the end of an incarnation of which `next` is a later one.
    pub(crate) fn replace(&mut self, former: &Incarnation, next: &Incarnation, now: u64) {
        let Some(session) = self.sessions.get_mut(former) else { return };
        let fence = session.fence;
        let mut unlisted = collections::BTreeMap::new();
        session.runs.retain(|task, run| {
            if !run.listed {
                unlisted.insert(task.clone(), run.clone());
            }
            run.listed
        });
        if !self.sessions.contains_key(next) {
            self.add_found(former, next);
        }
        for task in unlisted.keys() {
            if let Some(active) = self.jobs.get_mut(&task.job)
                && active.task(task).is_some_and(|item| item.phase == Phase::Placed(former.clone()))
            {
                active.set_phase(task, Phase::Placed(next.clone()));
            }
        }
        // The end of a lease on the clock of the former incarnation means nothing on that of the
        // next one, which grants its longest lease instead.
        let until = now + time::on_slowest(self.longest_lease * time::MS);
        if let Some(session) = self.sessions.get_mut(next) {
            session.inherit(unlisted, fence, until, now);
            self.idle_sessions.insert(next.clone());
        }
        self.handle_replaced(former);
    }

    /// Adds an incarnation that has answered and not announced itself yet. It gets no task before
    /// it does: its capacity and its labels may differ from those of the former one.
    fn add_found(&mut self, former: &Incarnation, next: &Incarnation) {
        let Some(session) = self.sessions.get(former) else { return };
        let record = Record {
            id: next.clone(),
            room: upstream::Room::default(),
            most: upstream::Room::default(),
            phase: upstream::Phase::Leaving,
            serial: 0,
            ..session.record.clone()
        };
        self.update_upstream(&record);
        self.out.found.push(record);
    }
}
