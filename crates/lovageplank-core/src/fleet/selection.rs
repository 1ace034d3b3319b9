//! Selects the backend server for a request.
//!
//! Of the servers that can run it, the less loaded of two random ones is selected. The load figures
//! are some hundred milliseconds old: if each router selected the least loaded server, all of them
//! would select the same one. All routers that know the same servers prefer the same server for
//! requests with the same prompt prefix, so that server has likely processed the prefix before.
//! The preferred server is selected without drawing two random ones if no server has a lower cost.
//! The cost is the load per slot less the bonuses below.

use super::registry::LoadedModel;
use crate::prelude::*;

/// Milliseconds for which a server is avoided after a failure; doubles with each further one in a
/// row.
const AVOIDANCE_BASE_MS: Millis = 400;
/// Longest time for which a server is avoided after a failure, in milliseconds.
const AVOIDANCE_MAX_MS: Millis = 5_000;
/// Fraction of its slots by which a server in the router's failure domain may be more loaded than
/// another and still be preferred.
const SAME_DOMAIN_BONUS: f64 = 0.08;
/// Fraction of its slots by which the server that is preferred for the prompt prefix of the request
/// may be more loaded than another and still be selected.
const PREFIX_BONUS: f64 = 0.25;

/// A server that can run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub id: &'a Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that all routers together have in progress at it, as far as known.
    pub load: u32,
    /// Whether it is in the failure domain of the router.
    pub same_domain: bool,
    /// Whether it is the server that routers prefer for the prompt prefix of the request. It has
    /// then likely processed that prefix before.
    pub preferred_for_prefix: bool,
    /// Whether it failed recently or its announcements are overdue.
    pub avoided: bool,
}

impl Candidate<'_> {
    /// Cost of sending the request there; lower is better.
    fn cost(&self) -> f64 {
        let load = f64::from(self.load) / f64::from(self.slots.max(1));
        let domain_bonus = if self.same_domain {
            SAME_DOMAIN_BONUS
        } else {
            0.0
        };
        let prefix_bonus = if self.preferred_for_prefix {
            PREFIX_BONUS
        } else {
            0.0
        };
        // The penalty of a server that is to be avoided.
        let avoided = if self.avoided { 100.0 } else { 0.0 };
        load - domain_bonus - prefix_bonus + avoided
    }
}

/// Selects one of the candidates; those to be avoided only if there are no others. `draw` returns
/// random numbers.
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
    if let Some(preferred) = pool
        .iter()
        .filter(|c| c.preferred_for_prefix)
        .min_by(|a, b| by_cost(a, b))
    {
        let least = pool.iter().min_by(|a, b| by_cost(a, b))?;
        if preferred.cost() <= least.cost() {
            return Some(preferred);
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

/// Whether an engine has loaded the model and, if one is given, the adapter.
pub fn is_loaded(loaded: &[LoadedModel], model: &str, adapter: Option<&str>) -> bool {
    loaded
        .iter()
        .filter(|loaded| &*loaded.model == model)
        .any(|loaded| adapter.is_none_or(|a| loaded.adapters.contains(a)))
}

/// Recent failures of a server, as observed by one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    avoided_until: Millis,
}

impl Health {
    /// Records that a request was answered, which ends the avoidance.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Records that the server failed, after which it is avoided for some time.
    pub fn failed(&mut self, now: Millis) {
        // Doubles with each of the first four further failures in a row.
        let doubled = AVOIDANCE_BASE_MS << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.avoided_until = now + doubled.min(AVOIDANCE_MAX_MS);
    }

    /// Whether the server failed so recently that it is avoided at `now`.
    pub fn avoided(&self, now: Millis) -> bool {
        now < self.avoided_until
    }
}
