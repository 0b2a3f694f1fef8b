//! Which tasks of a job are with one scheduler.
//!
//! A job of one step may be shared among schedulers; each of its tasks is with one of them at a
//! time. Jobs of several steps stay whole, since a step waits for all tasks of another.

/// Numbers of tasks, in rising order. Most jobs have up to eight.
pub type Tasks = smallvec::SmallVec<[u32; 8]>;

/// Tasks of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// Numbers of the tasks of the only step; none for all tasks of all steps.
    some: Option<Tasks>,
}

impl Share {
    /// All tasks of a job.
    pub const ALL: Self = Self { some: None };

    /// These tasks of the only step of a job.
    pub fn new(tasks: Tasks) -> Self {
        Self { some: Some(tasks) }
    }

    /// Whether the task of this number is one of them.
    pub fn has(&self, index: u32) -> bool {
        self.some.as_ref().is_none_or(|tasks| tasks.binary_search(&index).is_ok())
    }

    /// Whether none is left.
    pub fn is_empty(&self) -> bool {
        self.some.as_ref().is_some_and(Tasks::is_empty)
    }

    /// How many they are, of a job with `count` tasks.
    pub fn len(&self, count: u32) -> u32 {
        self.some.as_ref().map_or(count, |tasks| tasks.len() as u32)
    }

    /// Takes tasks out, of a step with `count` of them; gives those that were in.
    pub fn remove(&mut self, tasks: &[u32], count: u32) -> Tasks {
        let held = self.some.get_or_insert_with(|| (0..count).collect());
        let is_out = |index: &u32| tasks.contains(index);
        let removed = held.iter().copied().filter(is_out).collect();
        held.retain(|index| !tasks.contains(index));
        removed
    }

    /// Adds tasks.
    pub fn add(&mut self, other: &Self) {
        let (Some(held), Some(more)) = (&mut self.some, &other.some) else {
            self.some = None;
            return;
        };
        held.extend_from_slice(more);
        held.sort_unstable();
        held.dedup();
    }

    /// Whether all tasks of another share are in this one.
    pub fn covers(&self, other: &Self) -> bool {
        match (&self.some, &other.some) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(tasks)) => tasks.iter().all(|index| self.has(*index)),
        }
    }
}
