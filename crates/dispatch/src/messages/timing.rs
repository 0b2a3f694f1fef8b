//! Splits the time of a task into parts: the delay that the system adds, and the run itself.
//!
//! With each answer upstreams send their own clock, but no times at which runs began or ended. The
//! upstream answers a start order when the run has begun, and the next hold when a run has ended,
//! so the time between the two by its clock is the work, to a millisecond or two.

use std::fmt;

use crate::messages::time;

/// The text before the parts of a task in a log line.
const PREFIX: &str = "last task: ";

/// When a run was ordered, and when the upstream confirmed that it had begun.
#[derive(Clone, Copy, Debug)]
pub struct RunTiming {
    /// When the scheduler decided the start order, microseconds.
    ordered_at: u64,
    /// When the confirmation arrived, microseconds, and the clock of the upstream then,
    /// milliseconds.
    confirmed: Option<(u64, u64)>,
}

impl RunTiming {
    /// Creates the times of a run whose start order is decided now.
    pub fn new(now: u64) -> Self {
        Self { ordered_at: now, confirmed: None }
    }

    /// Records the first confirmation that the run is in progress, at `clock` of the upstream,
    /// milliseconds; later calls have no effect.
    pub fn confirm(&mut self, clock: u64, now: u64) {
        self.confirmed.get_or_insert((now, clock));
    }

    /// How long the run has been in progress at `clock` of the upstream, milliseconds, since the
    /// confirmation that it had begun.
    pub fn elapsed(&self, clock: u64) -> Option<u64> {
        self.confirmed.map(|(_, began)| clock.saturating_sub(began))
    }

    /// Splits the time of the run when the news of its end arrives, at `clock` of the upstream,
    /// milliseconds.
    ///
    /// If the scheduler never learned that the run was in progress, the order or its answer was
    /// lost: all of that time counts for the order.
    pub fn end(&self, clock: u64, now: u64) -> Breakdown {
        let whole = now.saturating_sub(self.ordered_at);
        let (confirmed, began) = self.confirmed.unwrap_or((now, clock));
        let work = (clock.saturating_sub(began) * time::MS).min(whole);
        let order = confirmed.saturating_sub(self.ordered_at).min(whole - work);
        let told = whole - work - order;
        Breakdown { order, work, told, ..Breakdown::default() }
    }
}

/// The parts of a task's time, from its client's request on, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breakdown {
    /// Until its scheduler received it.
    pub handed: u64,
    /// Until its start order was decided: the wait for room, or for an earlier step or run of it.
    pub waited: u64,
    /// Until its scheduler had the confirmation that the run had begun.
    pub order: u64,
    /// The run itself.
    pub work: u64,
    /// From the end of the run until its scheduler learned of it.
    pub told: u64,
}

impl Breakdown {
    /// Completes the parts for a request that reached its scheduler after `handed`, and whose task
    /// was done `whole` after the request had been accepted, microseconds each.
    #[must_use]
    pub fn after(self, handed: u64, whole: u64) -> Self {
        let run = self.order + self.work + self.told;
        let waited = whole.saturating_sub(handed + run);
        Self { handed, waited, ..self }
    }

    /// Parses the output of [`fmt::Display`] in a log line, in milliseconds.
    pub fn parse(line: &str) -> Option<Self> {
        let (_, list) = line.split_once(PREFIX)?;
        let part = |name: &str| {
            let (_, rest) = list.split_once(name)?;
            let number = rest.split_whitespace().next()?;
            Some(number.parse::<u64>().ok()? * time::MS)
        };
        Some(Self {
            handed: part("handed")?,
            waited: part("waited")?,
            order: part("order")?,
            work: part("work")?,
            told: part("told")?,
        })
    }

    /// The time from the client's request until its scheduler knew that the task was done.
    pub fn whole(&self) -> u64 {
        self.handed + self.waited + self.order + self.work + self.told
    }
}

impl fmt::Display for Breakdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { handed, waited, order, work, told } = self;
        let [handed, waited, order, work, told] =
            [handed, waited, order, work, told].map(|part| part / time::MS);
        write!(
            f,
            "{PREFIX}handed {handed} ms, waited {waited} ms, order {order} ms, work {work} ms, \
             told {told} ms"
        )
    }
}
