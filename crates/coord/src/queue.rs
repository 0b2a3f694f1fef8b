//! The task queue of one service: fair sharing between teams, earliest deadline first within a
//! team.

use std::collections;

use state::{id, name};

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task {
    /// The job.
    pub job: id::JobId,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

#[derive(Debug, Default)]
struct Team {
    /// Tasks started, in the virtual time of the fair sharing.
    served: u64,
    tasks: collections::BTreeMap<(u64, u64), Task>,
}

/// The tasks that wait for a slot.
#[derive(Debug, Default)]
pub struct Queue {
    teams: collections::BTreeMap<Option<name::Name>, Team>,
    positions: collections::HashMap<Task, (Option<name::Name>, (u64, u64))>,
    sequence: u64,
    min_served: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of tasks that would start before a new task of `team` with this deadline: tasks of
    /// other teams, and those of the same team that have the same or an earlier deadline.
    pub fn count_ahead(&self, team: Option<&name::Name>, deadline: u64) -> usize {
        let own = self.teams.iter().find(|(name, _)| name.as_ref() == team);
        let own = own.map_or(0, |(_, t)| t.tasks.range(..(deadline, u64::MAX)).count());
        let waiting = self.teams.values().filter(|t| !t.tasks.is_empty()).count();
        // Each other team may start one task for each task that this team starts.
        let others: usize = self
            .teams
            .iter()
            .filter(|(name, _)| name.as_ref() != team)
            .map(|(_, t)| t.tasks.len().min(own + 1))
            .sum();
        if waiting == 0 { 0 } else { own + others }
    }

    /// Inserts a task.
    pub fn push(&mut self, team: Option<&name::Name>, deadline: u64, task: Task) {
        self.sequence += 1;
        let key = (deadline, self.sequence);
        let min_served = self.min_served;
        let entry = self.teams.entry(team.cloned()).or_default();
        if entry.tasks.is_empty() {
            // A team without waiting tasks earns no credit for the shares that it did not use.
            entry.served = entry.served.max(min_served);
        }
        entry.tasks.insert(key, task.clone());
        self.positions.insert(task, (team.cloned(), key));
    }

    /// Removes and returns the next task.
    pub fn pop(&mut self) -> Option<Task> {
        let waiting = self.teams.values_mut().filter(|team| !team.tasks.is_empty());
        let team = waiting.min_by_key(|team| team.served)?;
        self.min_served = team.served;
        team.served += 1;
        let (_, task) = team.tasks.pop_first()?;
        self.positions.remove(&task);
        Some(task)
    }

    /// Returns a task that `pop` removed and that could not start to the queue, and subtracts the
    /// start counted for its team.
    pub fn put_back(&mut self, team: Option<&name::Name>, deadline: u64, task: Task) {
        self.push(team, deadline, task);
        if let Some(entry) = self.teams.get_mut(&team.cloned()) {
            entry.served = entry.served.saturating_sub(1);
        }
    }

    /// Removes a task; returns false if it is not in the queue.
    pub fn remove(&mut self, task: &Task) -> bool {
        let Some((team, key)) = self.positions.remove(task) else {
            return false;
        };
        if let Some(entry) = self.teams.get_mut(&team) {
            entry.tasks.remove(&key);
        }
        true
    }

    /// Removes teams without waiting tasks, unless their count is above `min_served`: `push` would
    /// raise any lower count to `min_served` anyway.
    pub fn prune(&mut self) {
        let min_served = self.min_served;
        self.teams.retain(|_, team| !team.tasks.is_empty() || team.served > min_served);
    }
}
