//! The queue of one service: fair between teams, earliest deadline first within a team.

use std::collections;

use state::{id, name};

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task {
    /// The job.
    pub job: id::JobId,
    /// Position in the job, from 0.
    pub index: u32,
}

#[derive(Debug, Default)]
struct Team {
    /// Tasks started, as the fair share counts them.
    served: u64,
    tasks: collections::BTreeMap<(u64, u64), Task>,
}

/// Tasks that wait for a slot.
#[derive(Debug, Default)]
pub struct Queue {
    teams: collections::BTreeMap<Option<name::Name>, Team>,
    places: collections::HashMap<Task, (Option<name::Name>, (u64, u64))>,
    order: u64,
    floor: u64,
}

impl Queue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tasks waiting.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Tasks of other teams or with an earlier deadline than `deadline`, which would start first.
    pub fn ahead(&self, team: Option<&name::Name>, deadline: u64) -> usize {
        let own = self.teams.iter().find(|(name, _)| name.as_ref() == team);
        let own = own.map_or(0, |(_, t)| t.tasks.range(..(deadline, u64::MAX)).count());
        let waiting = self.teams.values().filter(|t| !t.tasks.is_empty()).count();
        // Each other team gets one start for each of this team's.
        let others: usize = self
            .teams
            .iter()
            .filter(|(name, _)| name.as_ref() != team)
            .map(|(_, t)| t.tasks.len().min(own + 1))
            .sum();
        if waiting == 0 { 0 } else { own + others }
    }

    /// Puts a task in its place.
    pub fn push(&mut self, team: Option<&name::Name>, deadline: u64, task: Task) {
        self.order += 1;
        let key = (deadline, self.order);
        let floor = self.floor;
        let entry = self.teams.entry(team.cloned()).or_default();
        if entry.tasks.is_empty() {
            // A team that was away does not catch up on what it did not ask for.
            entry.served = entry.served.max(floor);
        }
        entry.tasks.insert(key, task.clone());
        self.places.insert(task, (team.cloned(), key));
    }

    /// Takes the task that is next.
    pub fn pop(&mut self) -> Option<Task> {
        let waiting = self.teams.values_mut().filter(|team| !team.tasks.is_empty());
        let team = waiting.min_by_key(|team| team.served)?;
        self.floor = team.served;
        team.served += 1;
        let (_, task) = team.tasks.pop_first()?;
        self.places.remove(&task);
        Some(task)
    }

    /// Puts back a task that was taken and could not be started.
    pub fn put_back(&mut self, team: Option<&name::Name>, deadline: u64, task: Task) {
        self.push(team, deadline, task);
        if let Some(entry) = self.teams.get_mut(&team.cloned()) {
            entry.served = entry.served.saturating_sub(1);
        }
    }

    /// Removes a task; false if it does not wait here.
    pub fn remove(&mut self, task: &Task) -> bool {
        let Some((team, key)) = self.places.remove(task) else {
            return false;
        };
        if let Some(entry) = self.teams.get_mut(&team) {
            entry.tasks.remove(&key);
        }
        true
    }

    /// Forgets teams that have nothing waiting and are no longer behind.
    pub fn prune(&mut self) {
        let floor = self.floor;
        self.teams.retain(|_, team| !team.tasks.is_empty() || team.served > floor);
    }
}
