//! When a model was wanted, and what that says about the future.

use super::Hazard;
use crate::load::seconds;
use crate::prelude::*;

/// Requests within this long of a wake count to its burst.
const BURST_WINDOW_MS: u64 = 3_000;
/// Shorter gaps belong to one burst and are not recorded.
const MIN_GAP_MS: u64 = 1_000;
/// Weight of the newest burst in the usual burst size.
const BURST_SIZE_WEIGHT: f64 = 0.3;
/// How far ahead a wake is weighed, in seconds.
const HORIZON_S: f64 = 7_200.0;

/// What a decision weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Cost of one cold start: weighted seconds over all who wait.
    pub cold_cost: f64,
    /// Cost of one idle second of the replica.
    pub idle_rate: f64,
    /// Gap between bursts that is assumed before any was seen, in seconds.
    pub prior_gap_s: f64,
}

/// Arrivals of one model, reduced to gaps and burst sizes.
///
/// Invariant: `last` never decreases.
#[derive(Clone, Debug, Default)]
pub struct History {
    hazard: Hazard,
    last_active: Option<Millis>,
    burst_start: Option<Millis>,
    burst_arrivals: u32,
    mean_burst_size: Option<f64>,
}

impl History {
    /// Takes in that `arrivals` requests came.
    pub fn observe_arrivals(&mut self, now: Millis, arrivals: u32) {
        if arrivals == 0 {
            return;
        }
        let gap_ms = self
            .last_active
            .map(|last_active| now.saturating_sub(last_active));
        if gap_ms.is_none_or(|gap| gap >= MIN_GAP_MS) {
            self.record_burst_start(now, gap_ms);
        }
        if self
            .burst_start
            .is_some_and(|start| now < start + BURST_WINDOW_MS)
        {
            self.burst_arrivals += arrivals;
        }
        self.observe_busy(now);
    }

    /// Takes in that requests wait or run.
    pub fn observe_busy(&mut self, now: Millis) {
        self.last_active = self.last_active.max(Some(now));
    }

    /// Takes in that the model is known and idle, so that its idle age counts from the first time on.
    pub fn observe_idle(&mut self, now: Millis) {
        self.last_active.get_or_insert(now);
    }

    /// Milliseconds since a request last came, waited or ran.
    pub fn idle_ms(&self, now: Millis) -> Option<u64> {
        self.last_active
            .map(|last_active| now.saturating_sub(last_active))
    }

    /// Requests that usually come in the first seconds of a burst; at least one.
    pub fn burst_size(&self) -> f64 {
        self.mean_burst_size
            .unwrap_or_else(|| f64::from(self.burst_arrivals))
            .max(1.0)
    }

    /// The most that a replica which is loaded from `lead_ms` after `now` on can save over the
    /// next hours, idle time paid; not positive when it is better not loaded.
    pub fn gain(&self, now: Millis, lead_ms: u64, costs: &CostModel) -> f64 {
        let mut best = 0.0_f64;
        let span = Span {
            lead_s: seconds(lead_ms),
            length_s: HORIZON_S,
        };
        self.step_through_ages(now, span, costs.prior_gap_s, |arrival, idle_s| {
            best = best.max(costs.cold_cost * arrival - costs.idle_rate * idle_s);
        });
        best
    }

    /// Probability that a request comes within `horizon_s`.
    pub fn arrival_probability(&self, now: Millis, horizon_s: f64, prior_gap_s: f64) -> f64 {
        let span = Span {
            lead_s: 0.0,
            length_s: horizon_s,
        };
        let mut probability = 0.0;
        self.step_through_ages(now, span, prior_gap_s, |arrival, _| probability = arrival);
        probability
    }

    /// Steps through idle ages; hands the probability of a wake up to then and the idle seconds
    /// expected up to then to `visit`.
    fn step_through_ages(
        &self,
        now: Millis,
        span: Span,
        prior_gap_s: f64,
        mut visit: impl FnMut(f64, f64),
    ) {
        let open_s = self.idle_ms(now).map_or(0.0, seconds);
        let mut age_s = open_s + span.lead_s;
        let end_s = age_s + span.length_s;
        let mut no_arrival = 1.0;
        let mut idle_s = 0.0;
        while age_s < end_s {
            let next_s = Hazard::bucket_end_s(age_s).min(end_s);
            let rate = self.hazard.rate(age_s, open_s, prior_gap_s);
            let remaining = (-rate * (next_s - age_s)).exp();
            idle_s += no_arrival * (1.0 - remaining) / rate;
            no_arrival *= remaining;
            age_s = next_s;
            visit(1.0 - no_arrival, idle_s);
        }
    }

    fn record_burst_start(&mut self, now: Millis, gap_ms: Option<u64>) {
        if let Some(gap_ms) = gap_ms {
            self.hazard.observe(seconds(gap_ms));
        }
        if self.burst_start.is_some() {
            let newest = f64::from(self.burst_arrivals);
            let usual = self.mean_burst_size.unwrap_or(newest);
            self.mean_burst_size = Some(usual + BURST_SIZE_WEIGHT * (newest - usual));
        }
        self.burst_start = Some(now);
        self.burst_arrivals = 0;
    }
}

/// The part of the future that is weighed, in seconds from now.
#[derive(Clone, Copy)]
struct Span {
    lead_s: f64,
    length_s: f64,
}
