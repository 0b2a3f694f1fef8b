//! Where the time of a task went: delay of the system apart from the work itself.
//!
//! Upstreams tell their own clock with each answer and nothing of when a run began or ended. An
//! order to start is answered when the run has begun, and the next question when one has ended, so the
//! time between the two by the upstream's clock is the work, to a millisecond or two.

use std::fmt;

use crate::time;

/// What stands before the parts of a task in a line of a log.
const LABEL: &str = "last task: ";

/// When a run was ordered and was heard to have begun.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    /// When its order was decided, microseconds.
    ordered: u64,
    /// When it was heard to have begun, microseconds, and the upstream's clock then, milliseconds.
    heard: Option<(u64, u64)>,
}

impl Begun {
    /// A run whose order is decided now.
    pub fn new(now: u64) -> Self {
        Self { ordered: now, heard: None }
    }

    /// Notes that the run goes on by `clock` of the upstream, milliseconds; the first time counts.
    pub fn hear(&mut self, clock: u64, now: u64) {
        self.heard.get_or_insert((now, clock));
    }

    /// How long it has gone on by `clock` of the upstream, milliseconds, since it was heard to have begun.
    pub fn elapsed(&self, clock: u64) -> Option<u64> {
        self.heard.map(|(_, began)| clock.saturating_sub(began))
    }

    /// How its time is split, now that it is heard to have ended by `clock` of the upstream, milliseconds.
    ///
    /// A run that was never heard to go on had its order, or the answer to it, lost: all of that time counts
    /// for the order.
    pub fn end(&self, clock: u64, now: u64) -> Breakdown {
        let whole = now.saturating_sub(self.ordered);
        let (heard, began) = self.heard.unwrap_or((now, clock));
        let work = (clock.saturating_sub(began) * time::MS).min(whole);
        let order = heard.saturating_sub(self.ordered).min(whole - work);
        let told = whole - work - order;
        Breakdown { order, work, told, ..Breakdown::default() }
    }
}

/// The time of a task from its client's request on, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breakdown {
    /// Until its scheduler had it.
    pub handed: u64,
    /// Until its order was decided: for room, or for an earlier step or run of it.
    pub waited: u64,
    /// Until the run was heard to have begun.
    pub order: u64,
    /// The run itself.
    pub work: u64,
    /// From its end until its scheduler heard of it.
    pub told: u64,
}

impl Breakdown {
    /// These parts after a request that reached its scheduler after `handed`, and ended `whole` after it
    /// was taken, microseconds each.
    #[must_use]
    pub fn after(self, handed: u64, whole: u64) -> Self {
        let run = self.order + self.work + self.told;
        let waited = whole.saturating_sub(handed + run);
        Self { handed, waited, ..self }
    }

    /// Reads what [`fmt::Display`] writes, from a line of a log: milliseconds.
    pub fn read(line: &str) -> Option<Self> {
        let (_, list) = line.split_once(LABEL)?;
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

    /// From the client's request until its scheduler knew that the task was done.
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
            "{LABEL}handed {handed} ms, waited {waited} ms, order {order} ms, work {work} ms, \
             told {told} ms"
        )
    }
}
