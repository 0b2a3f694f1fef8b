//! Which instance of a zone claims which of its vacant parts, and when.
//!
//! One instance claims all parts where it bears the whole zone. Otherwise the first ones by rank
//! claim a share each, as many as are needed.

use crate::messages::{member, parts::Parts, time};

/// An instance waits this long for each candidate that comes before it, microseconds: two
/// heartbeats.
pub const RANK_DELAY: u64 = 300 * time::MS;
/// CPU time that a scheduler takes for each upstream, thousandths of a core: keepers that schedule
/// 108 busy ones (870 starts a second) take 97 to 125 in all.
pub const CPU_PER_UPSTREAM: u64 = 1;
/// Share of its CPU time that an entry has for scheduling, percent: it also serves its own clients.
pub const ENTRY_CPU_PERCENT: u64 = 50;
/// Share of its CPU time that an entry takes where it shares a zone with others, percent: it takes
/// over while jobs have been waiting, and the clients of its zone reconnect.
const SHARING_CPU_PERCENT: u64 = 25;

/// A live instance that may claim parts of its zone.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The instance.
    pub card: &'a member::Card,
    /// Whether it receives the news of the zone's upstreams; the others get no share at first.
    pub informed: bool,
    /// Whether it schedules parts of the zone already.
    pub holds: bool,
}

/// Parts of a zone that no instance schedules.
#[derive(Clone, Copy, Debug)]
pub struct Vacancy {
    /// These parts.
    pub parts: Parts,
    /// Number of upstreams of the whole zone.
    pub upstreams: u64,
    /// How long they have been without a scheduler, microseconds.
    pub age: u64,
}

impl Vacancy {
    /// Number of upstreams in the vacant parts.
    fn load(&self) -> u64 {
        (self.upstreams * u64::from(self.parts.len())).div_ceil(u64::from(Parts::ALL.len()))
    }

    /// The vacant parts that it is the turn of `me` to claim; `others` are the other live instances
    /// of the zone.
    ///
    /// Each part goes to one of the first candidates, in turn, and then to the other ones by rank.
    /// Those that schedule parts already come last. When one of the first candidates has claimed
    /// its share, the remaining parts fall to the same candidates as before.
    pub fn due<'a>(&self, me: Candidate<'a>, others: impl Iterator<Item = Candidate<'a>>) -> Parts {
        let mut order: Vec<_> = others.chain([me]).collect();
        order
            .sort_by_key(|candidate| (!candidate.informed, candidate.holds, candidate.card.rank()));
        let is_me = |candidate: &Candidate<'_>| candidate.card.name == me.card.name;
        let own = order.iter().position(is_me).unwrap_or(order.len());
        let alone = self.parts.is_all() && bears(order[0].card, self.upstreams);
        let count = if alone { 1 } else { holder_count(&order, self.load()) };
        let is_due = |at: usize| {
            let first = at % count;
            let before = if own < first { own + 1 } else { own };
            own == first || self.age >= before as u64 * RANK_DELAY
        };
        self.parts.iter().enumerate().filter(|(at, _)| is_due(*at)).map(|(_, part)| part).collect()
    }
}

/// The smallest number of the first candidates that bear `upstreams` in equal shares; all informed
/// ones if these are too few.
fn holder_count(order: &[Candidate<'_>], upstreams: u64) -> usize {
    let share_fits = |count: &usize| {
        let share = upstreams.div_ceil(*count as u64);
        order[..*count].iter().all(|candidate| bears_share(candidate.card, share))
    };
    let most = order.iter().filter(|candidate| candidate.informed).count().max(1);
    (1..most).find(share_fits).unwrap_or(most)
}

/// Whether an instance has the CPU time to schedule the `upstreams` of a zone alone. An unknown
/// capacity counts as enough, and a keeper, which has no clients, bears more than any share of its
/// zone that is left to entries.
pub fn bears(card: &member::Card, upstreams: u64) -> bool {
    fits(card, upstreams, ENTRY_CPU_PERCENT)
}

/// Whether an instance has the CPU time to schedule `upstreams` of a zone that it shares.
fn bears_share(card: &member::Card, upstreams: u64) -> bool {
    fits(card, upstreams, SHARING_CPU_PERCENT)
}

fn fits(card: &member::Card, upstreams: u64, entry_percent: u64) -> bool {
    let cpu = u64::from(card.capacity.cpu);
    card.role == member::Role::Keeper
        || cpu == 0
        || upstreams * CPU_PER_UPSTREAM <= cpu * entry_percent / 100
}
