//! What a router has seen lately of the requests for one service.

use super::decay::{Sum, kept};
use super::level::Level;
use super::mix::Mix;
use super::number::{millis, real};
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

/// Milliseconds from sending a request to the beginning of its answer at a server with room.
const BEGIN_PRIOR_MS: f64 = 150.0;
/// Weight of a request in the mean time until its answer begins.
const BEGIN_WEIGHT: f64 = 0.15;
/// Part of the time to the objective up to which answers begin soon enough at servers, for all that varies.
const PROMPT_PART: f64 = 0.3;
/// Part from which on servers get no more requests than keeps their slots busy.
const SLOW_PART: f64 = 0.7;
/// Time constant in milliseconds with which that mean falls back to the time at a server with room if nothing is
/// observed; otherwise a rank that is no longer sent because answers take too long would never be sent again.
const BEGIN_TTL_MS: f64 = 5_000.0;

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
    /// Mean time until answers to requests of a rank begin, in milliseconds, and when it was last observed.
    begin_ms: BTreeMap<Rank, (f64, Millis)>,
    /// Mean time from the arrival of requests of a rank to their objective, in milliseconds.
    objective_ms: BTreeMap<Rank, f64>,
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
            begin_ms: BTreeMap::new(),
            objective_ms: BTreeMap::new(),
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
        let until_ms = real(request.objective_at.saturating_sub(now));
        let objective_ms = self.objective_ms.entry(request.rank).or_insert(until_ms);
        *objective_ms += BEGIN_WEIGHT * (until_ms - *objective_ms);
    }

    /// The part from 0 to 1 of the room for requests beyond the slots that isn't used, because requests of the rank wait
    /// at servers for so long that they miss their objectives. They wait here instead, where the ones that can
    /// meet theirs go first.
    pub(super) fn held_back(&self, now: Millis, rank: Rank) -> f64 {
        let Some(objective_ms) = self.objective_ms.get(&rank) else {
            return 0.0;
        };
        let part = self.begin_real_ms(now, rank) / objective_ms.max(1.0);
        ((part - PROMPT_PART) / (SLOW_PART - PROMPT_PART)).clamp(0.0, 1.0)
    }

    pub(super) fn began(&mut self, now: Millis, rank: Rank) {
        if self.mix.running() == 0 {
            self.last_end_at = now;
        }
        self.mix.began(now, rank);
    }

    /// Records that the answer to a request began some time after it was sent, or hadn't begun until then.
    pub(super) fn answer_began(&mut self, now: Millis, rank: Rank, after_ms: u64) {
        let mean = self.begin_real_ms(now, rank);
        let mean = mean + BEGIN_WEIGHT * (real(after_ms) - mean);
        self.begin_ms.insert(rank, (mean, now));
    }

    /// Milliseconds from sending a request of a rank to the beginning of its answer.
    pub(super) fn begin_ms(&self, now: Millis, rank: Rank) -> u64 {
        millis(self.begin_real_ms(now, rank))
    }

    fn begin_real_ms(&self, now: Millis, rank: Rank) -> f64 {
        self.begin_ms
            .get(&rank)
            .map_or(BEGIN_PRIOR_MS, |(mean, at)| {
                BEGIN_PRIOR_MS + (mean - BEGIN_PRIOR_MS) * kept(now, *at, BEGIN_TTL_MS)
            })
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

    /// Whether nothing is known of the service any more.
    pub(super) fn is_empty(&self) -> bool {
        self.mix.running() == 0 && self.demand.is_empty() && self.tenants.is_empty()
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.tenants.expire(now);
        self.served.expire(now);
        self.demand
            .retain(|_, sum| sum.value(now, DEMAND_MS) >= 0.01);
        self.short_at.retain(|_, at| now < *at + SHORT_MS);
        self.begin_ms
            .retain(|_, (_, at)| kept(now, *at, BEGIN_TTL_MS) > 0.01);
    }
}
