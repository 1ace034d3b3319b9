//! What a router has seen lately of the requests for one service.

use super::decay::Sum;
use super::level::Level;
use super::mix::Mix;
use super::number::real;
use super::served::Served;
use super::tenants::Tenants;
use crate::fleet::request::{Rank, RequestSpec};
use crate::prelude::*;

/// Time constant in milliseconds of the demand by level.
const DEMAND_MS: f64 = 10_000.0;
/// Requests of more urgent levels below which there is no demand that room is kept for.
const DEMAND_MIN: f64 = 0.5;
/// Part of the places that is kept for more urgent requests for each part that they are of the demand. Above 1,
/// since they come unevenly.
const RESERVE_FACTOR: f64 = 2.0;
/// Milliseconds for which room is kept in full after a more urgent request has found none.
const SHORT_MS: Millis = 2_000;
/// Milliseconds that requests are assumed to run until some have ended.
const HOLD_PRIOR_MS: f64 = 1_500.0;
/// Weight of a request that ends in the mean time that requests run.
const HOLD_WEIGHT: f64 = 0.1;
/// Nothing is expected to end soon after this many times the mean without an end.
const STALL_FACTOR: f64 = 2.0;

/// Recent requests for one service at one router.
#[derive(Clone, Debug)]
pub(super) struct Book {
    pub(super) mix: Mix,
    pub(super) served: Served,
    tenants: Tenants,
    demand: BTreeMap<Level, Sum>,
    /// When a request of a level last found no room.
    short_at: BTreeMap<Level, Millis>,
    /// Mean time that requests run, in milliseconds.
    hold_ms: f64,
    /// When a request last ended, or the first of those that run began.
    last_end_at: Millis,
}

impl Default for Book {
    fn default() -> Book {
        Book {
            mix: Mix::default(),
            served: Served::default(),
            tenants: Tenants::default(),
            demand: BTreeMap::new(),
            short_at: BTreeMap::new(),
            hold_ms: HOLD_PRIOR_MS,
            last_end_at: 0,
        }
    }
}

impl Book {
    pub(super) fn arrived(&mut self, now: Millis, request: &RequestSpec) {
        self.tenants.arrived(now, request);
        let level = self.level(now, request);
        let demand = self.demand.entry(level).or_default();
        demand.add(now, DEMAND_MS, 1.0);
    }

    pub(super) fn began(&mut self, now: Millis, rank: Rank) {
        if self.mix.running() == 0 {
            self.last_end_at = now;
        }
        self.mix.began(now, rank);
    }

    pub(super) fn ended(&mut self, now: Millis, rank: Rank, ran_ms: u64) {
        self.mix.ended(now, rank);
        self.hold_ms += HOLD_WEIGHT * (real(ran_ms) - self.hold_ms);
        self.last_end_at = now;
    }

    /// How urgent the request is here.
    pub(super) fn level(&self, now: Millis, request: &RequestSpec) -> Level {
        let is_over = request.tenant.as_ref().is_some_and(|tenant| {
            let name = &tenant.name;
            self.tenants.is_over(now, name) && !self.served.is_tenant_starved(now, name)
        });
        Level {
            rank: request.rank,
            is_over,
        }
    }

    /// Records that a request found no room.
    pub(super) fn found_none(&mut self, now: Millis, level: Level) {
        self.short_at.insert(level, now);
    }

    /// The part from 0 to 1 of the room that can be kept for more urgent requests which is kept from this level.
    pub(super) fn reserve(&self, now: Millis, level: Level) -> f64 {
        let mut short = self.short_at.range(..level);
        if short.any(|(_, at)| now < at + SHORT_MS) {
            return 1.0;
        }
        let sum = |levels: &mut dyn Iterator<Item = (&Level, &Sum)>| -> f64 {
            levels.map(|(_, sum)| sum.value(now, DEMAND_MS)).sum()
        };
        let above = sum(&mut self.demand.range(..level));
        if above < DEMAND_MIN {
            return 0.0;
        }
        let all = sum(&mut self.demand.iter());
        (RESERVE_FACTOR * above / all).min(1.0)
    }

    /// Mean time that requests run, in milliseconds.
    pub(super) fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// Milliseconds until the next of so many requests of this router is expected to end.
    pub(super) fn next_end_ms(&self, now: Millis, running: u32) -> f64 {
        let quiet_ms = real(now.saturating_sub(self.last_end_at));
        let gap_ms = self.hold_ms / (f64::from(running) + 1.0);
        if self.mix.running() > 0 && quiet_ms > STALL_FACTOR * self.hold_ms {
            gap_ms.max(quiet_ms)
        } else {
            gap_ms
        }
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.tenants.expire(now);
        self.served.expire(now);
        self.demand
            .retain(|_, sum| sum.value(now, DEMAND_MS) >= 0.01);
        self.short_at.retain(|_, at| now < *at + SHORT_MS);
    }
}
