//! Which backend server gets a request.
//!
//! Among the servers that can run it the less loaded of two random ones is taken: with views that
//! are some hundred milliseconds old, taking the least loaded would send all entry instances to
//! the same one.

use super::registry::LoadedModel;
use crate::prelude::*;

/// Milliseconds for which a server is avoided after a failure; doubles with each further one.
const AVOIDANCE_BASE_MS: Millis = 400;
/// Longest time for which a server is avoided.
const AVOIDANCE_MAX_MS: Millis = 5_000;
/// Load, in parts of its slots, that a server in the caller's failure domain may have more.
const SAME_DOMAIN_BONUS: f64 = 0.08;
/// Load, in parts of its slots, that a server which has read the request's prefix may have more.
const PREFIX_BONUS: f64 = 0.25;

/// A server that could run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub id: &'a Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of all instances that it has, as far as known.
    pub load: u32,
    /// Whether it stands in the failure domain of the entry instance.
    pub same_domain: bool,
    /// Whether it has likely read the beginning of the prompt.
    pub has_prefix: bool,
    /// Whether it has failed lately.
    pub avoided: bool,
}

impl Candidate<'_> {
    /// Lower is better.
    fn cost(&self) -> f64 {
        let load = f64::from(self.load) / f64::from(self.slots.max(1));
        let domain_bonus = if self.same_domain {
            SAME_DOMAIN_BONUS
        } else {
            0.0
        };
        let prefix_bonus = if self.has_prefix { PREFIX_BONUS } else { 0.0 };
        let avoided = if self.avoided { 100.0 } else { 0.0 };
        load - domain_bonus - prefix_bonus + avoided
    }
}

/// Takes one of the candidates; `draw` gives random numbers.
pub fn select<'a>(
    candidates: &'a [Candidate<'a>],
    mut draw: impl FnMut() -> u64,
) -> Option<&'a Candidate<'a>> {
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| !c.avoided).collect();
    let pool: Vec<&Candidate> = if usable.is_empty() {
        candidates.iter().collect()
    } else {
        usable
    };
    if let Some(warm) = pool
        .iter()
        .filter(|c| c.has_prefix)
        .min_by(|a, b| by_cost(a, b))
    {
        let least = pool.iter().min_by(|a, b| by_cost(a, b))?;
        if warm.cost() <= least.cost() {
            return Some(warm);
        }
    }
    let mut pick = || {
        let at = draw() % u64::try_from(pool.len()).ok()?.max(1);
        pool.get(usize::try_from(at).ok()?).copied()
    };
    let (first, second) = (pick()?, pick()?);
    let better = if by_cost(first, second).is_le() {
        first
    } else {
        second
    };
    Some(better)
}

fn by_cost(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    a.cost().total_cmp(&b.cost())
}

/// Whether an engine holds what a request asks for.
pub fn is_loaded(loaded: &[LoadedModel], model: &str, adapter: Option<&str>) -> bool {
    loaded
        .iter()
        .filter(|h| &*h.model == model)
        .any(|h| adapter.is_none_or(|a| h.adapters.contains(a)))
}

/// What one instance has seen of a server's failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    avoided_until: Millis,
}

impl Health {
    /// A request was answered.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// A request failed in a way that speaks against the server.
    pub fn failed(&mut self, now: Millis) {
        let doubled = AVOIDANCE_BASE_MS << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.avoided_until = now + doubled.min(AVOIDANCE_MAX_MS);
    }

    /// Whether the server should be avoided.
    pub fn avoided(&self, now: Millis) -> bool {
        now < self.avoided_until
    }
}
