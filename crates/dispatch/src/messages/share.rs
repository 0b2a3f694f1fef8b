//! The subset of the tasks of a job that one scheduler holds.
//!
//! Several schedulers may share a job of one step; each of its tasks is with one of them at a time.
//! A job of several steps stays whole, since a step waits for all tasks of another.

/// Task numbers in ascending order. Most jobs have up to eight tasks.
pub type Tasks = smallvec::SmallVec<[u32; 8]>;

/// A subset of the tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// Numbers of tasks of the only step; `None` for all tasks of all steps.
    some: Option<Tasks>,
}

impl Share {
    /// All tasks of a job.
    pub const ALL: Self = Self { some: None };

    /// Creates a share with these tasks of the only step of a job.
    pub fn new(tasks: Tasks) -> Self {
        Self { some: Some(tasks) }
    }

    /// Whether the share contains the task with this number.
    pub fn has(&self, index: u32) -> bool {
        self.some.as_ref().is_none_or(|tasks| tasks.binary_search(&index).is_ok())
    }

    /// Whether the share contains no task.
    pub fn is_empty(&self) -> bool {
        self.some.as_ref().is_some_and(Tasks::is_empty)
    }

    /// The number of tasks in the share of a job with `count` tasks.
    pub fn len(&self, count: u32) -> u32 {
        self.some.as_ref().map_or(count, |tasks| tasks.len() as u32)
    }

    /// Removes tasks of a step with `count` tasks, and returns those that the share contained.
    pub fn remove(&mut self, tasks: &[u32], count: u32) -> Tasks {
        let held = self.some.get_or_insert_with(|| (0..count).collect());
        let is_removed = |index: &u32| tasks.contains(index);
        let removed = held.iter().copied().filter(is_removed).collect();
        held.retain(|index| !tasks.contains(index));
        removed
    }

    /// Adds the tasks of another share.
    pub fn add(&mut self, other: &Self) {
        let (Some(held), Some(more)) = (&mut self.some, &other.some) else {
            self.some = None;
            return;
        };
        held.extend_from_slice(more);
        held.sort_unstable();
        held.dedup();
    }

    /// Whether the share contains all tasks of another one.
    pub fn covers(&self, other: &Self) -> bool {
        match (&self.some, &other.some) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(tasks)) => tasks.iter().all(|index| self.has(*index)),
        }
    }
}
