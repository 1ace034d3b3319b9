//! Which tenants use more than their fair share of what a router sees.

use super::decay::Sum;
use super::number::real;
use crate::fleet::request::RequestSpec;
use crate::prelude::*;

/// Time constant in milliseconds of the recent use. A router sees a tenant's request every few seconds only.
const RECENT_MS: f64 = 15_000.0;
/// Time constant in milliseconds of the usual use; several times the length of a burst.
const USUAL_MS: f64 = 300_000.0;
/// Milliseconds of observation before a tenant's usual use counts.
const USUAL_AFTER_MS: u64 = 60_000;
/// A tenant may use this many times its usual or an equal share, because random arrivals at one router reach that.
const OVER_FACTOR: f64 = 2.0;
/// Least number of recent requests of a tenant that is found to use too much.
const REQUESTS_MIN: f64 = 4.0;
/// Weight in the usual use of requests beyond the fair share, so that a long burst doesn't become usual.
const OVER_WEIGHT: f64 = 0.25;
/// Work of a request that states none, in prompt tokens.
const PLAIN_COST: f64 = 1_000.0;
/// Recent requests below which a tenant doesn't count as active.
const ACTIVE_MIN: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    requests: Sum,
    recent: Sum,
    usual: Sum,
}

/// The work that tenants send to a service by way of this router.
#[derive(Clone, Debug, Default)]
pub(super) struct Tenants {
    by_name: BTreeMap<Name, Use>,
    first_at: Option<Millis>,
}

impl Tenants {
    pub(super) fn arrived(&mut self, now: Millis, request: &RequestSpec) {
        let Some(tenant) = &request.tenant else {
            return;
        };
        self.first_at.get_or_insert(now);
        let weight = if self.is_over(now, &tenant.name) {
            OVER_WEIGHT
        } else {
            1.0
        };
        let cost = request.work.map_or(PLAIN_COST, |w| real(w.cost().max(1)));
        let known = self.by_name.entry(tenant.name.clone()).or_default();
        known.requests.add(now, RECENT_MS, 1.0);
        known.recent.add(now, RECENT_MS, cost);
        known.usual.add(now, USUAL_MS, cost * weight);
    }

    /// Whether the tenant uses more than its fair share: more than it usually does, and more than an equal share of
    /// what all tenants use.
    pub(super) fn is_over(&self, now: Millis, tenant: &str) -> bool {
        let Some(known) = self.by_name.get(tenant) else {
            return false;
        };
        if known.requests.value(now, RECENT_MS) < REQUESTS_MIN {
            return false;
        }
        let active = self.by_name.values();
        let active = active.filter(|u| u.requests.value(now, RECENT_MS) >= ACTIVE_MIN);
        let (mut count, mut all) = (0.0, 0.0);
        for other in active {
            count += 1.0;
            all += other.recent.value(now, RECENT_MS);
        }
        // One tenant alone takes nothing from others.
        let fair = (all / f64::max(count, 1.0)).max(self.usual(now, known));
        count > 1.0 && known.recent.value(now, RECENT_MS) > OVER_FACTOR * fair
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Forgets tenants that haven't sent anything for long.
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_name
            .retain(|_, known| known.usual.value(now, USUAL_MS) >= 1.0);
    }

    /// The recent use to be expected of a tenant that sends as it usually does.
    fn usual(&self, now: Millis, known: &Use) -> f64 {
        let observed_ms = self.first_at.map_or(0, |at| now.saturating_sub(at));
        if observed_ms < USUAL_AFTER_MS {
            return 0.0;
        }
        // A sum that hasn't run for several time constants is too low by this part.
        let complete = 1.0 - (-real(observed_ms) / USUAL_MS).exp();
        known.usual.value(now, USUAL_MS) / complete * RECENT_MS / USUAL_MS
    }
}
