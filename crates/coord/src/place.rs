//! Placement: chooses the upstream that gets the next task, among those with a free slot.

use rand::RngExt as _;
use state::boot;

/// An upstream that could take the task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Tasks that this instance has running there.
    pub outstanding: u32,
    /// Slots that this instance may use there.
    pub slots: u32,
    /// Mean service time observed there, microseconds; 0 before the first observation.
    pub mean: f64,
}

impl Candidate {
    /// Expected work per slot of the upstream, in service time, with one more task on it.
    fn work(&self, typical: f64) -> f64 {
        let mean = if self.mean > 0.0 { self.mean } else { typical };
        let load = f64::from(self.outstanding + 1) / f64::from(self.slots.max(1));
        mean * (1.0 + load)
    }
}

/// A strategy for choosing among upstreams.
pub trait Placer: std::fmt::Debug + Send {
    /// Returns the index of the upstream to use; `candidates` must not be empty.
    fn pick(&mut self, candidates: &[Candidate], rng: &mut rand::rngs::SmallRng) -> usize;
}

/// Creates the placer for the choice in the bootstrap configuration.
pub fn new_placer(choice: boot::Placement) -> Box<dyn Placer> {
    match choice {
        boot::Placement::LeastWork => Box::new(LeastWork),
        boot::Placement::TwoChoices => Box::new(TwoChoices),
        boot::Placement::RoundRobin => Box::new(RoundRobin::default()),
    }
}

/// Picks the upstream with the least expected work. A random start breaks ties, so that instances
/// do not all pick the same upstream at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastWork;

impl Placer for LeastWork {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut rand::rngs::SmallRng) -> usize {
        let known: Vec<f64> = candidates.iter().map(|c| c.mean).filter(|m| *m > 0.0).collect();
        let typical = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let typical = if typical > 0.0 { typical } else { 1.0 };
        let offset = rng.random_range(0..candidates.len());
        let at = |step: usize| (offset + step) % candidates.len();
        let work = |step: &usize| candidates[at(*step)].work(typical);
        let best = (0..candidates.len()).min_by(|a, b| work(a).total_cmp(&work(b)));
        at(best.unwrap_or(0))
    }
}

/// Picks the less loaded of two random upstreams: the power of two choices (Mitzenmacher 2001).
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Placer for TwoChoices {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut rand::rngs::SmallRng) -> usize {
        let a = rng.random_range(0..candidates.len());
        let b = rng.random_range(0..candidates.len());
        if candidates[b].outstanding < candidates[a].outstanding { b } else { a }
    }
}

/// Picks the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Placer for RoundRobin {
    fn pick(&mut self, candidates: &[Candidate], _: &mut rand::rngs::SmallRng) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % candidates.len()
    }
}
