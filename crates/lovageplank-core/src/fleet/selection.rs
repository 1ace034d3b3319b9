//! Selects the backend server for a request.
//!
//! Of the servers that can run it, the less loaded of two random ones is selected. The load figures
//! are some hundred milliseconds old: if each router selected the least loaded server, all of them
//! would select the same one. All routers that know the same servers prefer the same server for
//! requests with the same prompt prefix, so that server has likely processed the prefix before.
//! The preferred server is selected without drawing two random ones if no server has a lower cost.
//! The cost is the load per slot less the bonuses below. Where the speed of servers is known, it is
//! the time that the request is expected to take, and three servers are drawn instead of two.

use super::registry::LoadedModel;
use crate::prelude::*;

/// Servers that are drawn for a request.
const DRAWS: usize = 2;
/// Servers that are drawn for a request where their speed is known. With one more, slow servers are chosen less often,
/// while a figure that is old still doesn't draw the requests of all routers to one server.
const SPEED_DRAWS: usize = 3;
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
/// Expected time by which a server with an idle connection may be slower than another and still be preferred. It is
/// less than one request at an engine with 16 slots.
const CONNECTION_BONUS: f64 = 0.04;

/// How fast a server is expected to answer, besides its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// How long work takes there, relative to the usual time.
    pub slowness: f64,
    /// Whether the router has an idle connection to it.
    pub has_connection: bool,
}

/// A server that can run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub id: &'a Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that all routers together have in progress at it, as far as known.
    pub load: u32,
    /// How fast it works; `None` if the speed of the service's servers isn't known.
    pub speed: Option<Speed>,
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
        let load = match self.speed {
            Some(speed) => expected_time(self.load, self.slots, speed),
            None => f64::from(self.load) / f64::from(self.slots.max(1)),
        };
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

/// Time that one more request is expected to take: all requests per slot, and those again that wait for a slot before
/// it, times the slowness; less the bonus for a connection.
fn expected_time(load: u32, slots: u32, speed: Speed) -> f64 {
    let slots = slots.max(1);
    let requests = load.saturating_add(1);
    let ahead = requests.saturating_sub(slots);
    let per_slot = f64::from(requests.saturating_add(ahead)) / f64::from(slots);
    let connection_bonus = if speed.has_connection {
        CONNECTION_BONUS
    } else {
        0.0
    };
    per_slot * speed.slowness - connection_bonus
}

/// Selects one of the candidates; those to be avoided only if there are no others. `draw` returns
/// random numbers.
pub fn select<'a>(
    candidates: &'a [Candidate<'a>],
    mut draw: impl FnMut() -> u64,
) -> Option<&'a Candidate<'a>> {
    let usable: Vec<&'a Candidate<'a>> = candidates.iter().filter(|c| !c.avoided).collect();
    let pool: Vec<&'a Candidate<'a>> = if usable.is_empty() {
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
    let is_speed_known = pool.iter().any(|c| c.speed.is_some());
    let choices = if is_speed_known { SPEED_DRAWS } else { DRAWS };
    let drawn = (0..choices).filter_map(|_| {
        let at = draw() % u64::try_from(pool.len()).ok()?.max(1);
        pool.get(usize::try_from(at).ok()?).copied()
    });
    // Of equal ones the first.
    drawn.min_by(|a, b| by_cost(a, b))
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
