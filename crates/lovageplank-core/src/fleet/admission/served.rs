//! How often requests of each rank and tenant were answered lately, and which ranks and tenants are served
//! so seldom that they must come first.

use super::decay::Sum;
use crate::fleet::request::{Rank, RequestSpec};
use crate::prelude::*;
use std::ops::Bound;

/// Time constant in milliseconds.
const TIME_CONSTANT_MS: f64 = 20_000.0;
/// Decided requests below which nothing is concluded.
const DECIDED_MIN: f64 = 3.0;
/// A rank is starved if it is served less than this part as often as all. Each must be served a quarter as often;
/// a router sees a part of the requests only, and what it sends may still be late.
const RANK_MIN: f64 = 0.4;
/// The same for a tenant; lower, because a tenant that sends too much is meant to be served less often.
const TENANT_MIN: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    decided: Sum,
    answered: Sum,
}

impl Ratio {
    fn add(&mut self, now: Millis, is_answered: bool) {
        self.decided.add(now, TIME_CONSTANT_MS, 1.0);
        let answered = f64::from(u8::from(is_answered));
        self.answered.add(now, TIME_CONSTANT_MS, answered);
    }

    /// `None` after too few decisions.
    fn value(&self, now: Millis) -> Option<f64> {
        let decided = self.decided.value(now, TIME_CONSTANT_MS);
        (decided >= DECIDED_MIN).then(|| self.answered.value(now, TIME_CONSTANT_MS) / decided)
    }

    fn is_below(&self, now: Millis, all: &Ratio, part: f64) -> bool {
        let pair = self.value(now).zip(all.value(now));
        pair.is_some_and(|(own, all)| own < part * all)
    }

    fn is_negligible(&self, now: Millis) -> bool {
        self.decided.value(now, TIME_CONSTANT_MS) < 0.01
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Served {
    all: Ratio,
    by_rank: BTreeMap<Rank, Ratio>,
    by_tenant: BTreeMap<Name, Ratio>,
}

impl Served {
    /// Records whether the answer to a request has begun, or it was refused or left by its caller.
    pub(super) fn decided(&mut self, now: Millis, request: &RequestSpec, is_answered: bool) {
        self.all.add(now, is_answered);
        let of_rank = self.by_rank.entry(request.rank).or_default();
        of_rank.add(now, is_answered);
        if let Some(tenant) = &request.tenant {
            let of_tenant = self.by_tenant.entry(tenant.name.clone()).or_default();
            of_tenant.add(now, is_answered);
        }
    }

    pub(super) fn is_rank_starved(&self, now: Millis, rank: Rank) -> bool {
        let ratio = self.by_rank.get(&rank);
        ratio.is_some_and(|ratio| ratio.is_below(now, &self.all, RANK_MIN))
    }

    /// Whether a less urgent rank is starved.
    pub(super) fn has_starved_below(&self, now: Millis, rank: Rank) -> bool {
        let below = (Bound::Excluded(rank), Bound::Unbounded);
        let mut below = self.by_rank.range(below);
        below.any(|(_, ratio)| ratio.is_below(now, &self.all, RANK_MIN))
    }

    pub(super) fn is_tenant_starved(&self, now: Millis, tenant: &str) -> bool {
        let ratio = self.by_tenant.get(tenant);
        ratio.is_some_and(|ratio| ratio.is_below(now, &self.all, TENANT_MIN))
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.by_rank.retain(|_, ratio| !ratio.is_negligible(now));
        self.by_tenant.retain(|_, ratio| !ratio.is_negligible(now));
    }
}
