//! Arrival history of a model, and predictions from it.

use super::Hazard;
use crate::load::seconds;
use crate::prelude::*;

/// Requests within this time of the start of a burst count towards its size.
const BURST_WINDOW_MS: u64 = 3_000;
/// Minimum gap in milliseconds between two bursts. Shorter gaps are within one burst and aren't
/// recorded.
const MIN_GAP_MS: u64 = 1_000;
/// Weight of the newest burst in the moving average of burst sizes.
const BURST_SIZE_WEIGHT: f64 = 0.3;
/// Horizon of [`History::gain`] in seconds.
const HORIZON_S: f64 = 7_200.0;

/// Costs and assumptions that [`History::gain`] uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Cost of one cold start: weighted seconds, summed over all waiting requests.
    pub cold_cost: f64,
    /// Cost of an idle second of the replica.
    pub idle_rate: f64,
    /// Gap between bursts in seconds that is assumed until gaps have been observed.
    pub prior_gap_s: f64,
}

/// Arrivals of one model, reduced to gaps and burst sizes.
///
/// Invariant: `last_active` never decreases.
#[derive(Clone, Debug, Default)]
pub struct History {
    hazard: Hazard,
    /// When a request last arrived, waited or ran; the first [`History::observe_idle`] otherwise.
    last_active: Option<Millis>,
    /// Start of the latest burst.
    burst_start: Option<Millis>,
    /// Arrivals of the latest burst within [`BURST_WINDOW_MS`].
    burst_arrivals: u32,
    /// Moving average over all bursts but the latest.
    mean_burst_size: Option<f64>,
}

impl History {
    /// Records that `arrivals` requests arrived.
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

    /// Records that requests wait or run.
    pub fn observe_busy(&mut self, now: Millis) {
        self.last_active = self.last_active.max(Some(now));
    }

    /// Records that the model is idle. Without earlier activity its idle age counts from the first
    /// call.
    pub fn observe_idle(&mut self, now: Millis) {
        self.last_active.get_or_insert(now);
    }

    /// Milliseconds since a request last arrived, waited or ran, or since the first
    /// [`History::observe_idle`]; `None` if nothing was recorded.
    pub fn idle_ms(&self, now: Millis) -> Option<u64> {
        self.last_active
            .map(|last_active| now.saturating_sub(last_active))
    }

    /// Usual number of requests in the first 3 s of a burst; at least 1.
    pub fn burst_size(&self) -> f64 {
        self.mean_burst_size
            .unwrap_or_else(|| f64::from(self.burst_arrivals))
            .max(1.0)
    }

    /// The best expected gain of a replica that is loaded from `lead_ms` after `now` on: the cost
    /// of a cold start that it saves minus its idle cost, at the best time within the next 2 hours
    /// to stop keeping it. 0 if it is better not loaded.
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

    /// Probability that a request arrives within `horizon_s` seconds. `prior_gap_s` is the gap that
    /// the prior assumes, in seconds.
    pub fn arrival_probability(&self, now: Millis, horizon_s: f64, prior_gap_s: f64) -> f64 {
        let span = Span {
            lead_s: 0.0,
            length_s: horizon_s,
        };
        let mut probability = 0.0;
        self.step_through_ages(now, span, prior_gap_s, |arrival, _| probability = arrival);
        probability
    }

    /// Steps through the buckets of idle age in `span`. At the end of each it calls `visit` with
    /// the probability of an arrival and the expected idle seconds up to there.
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

/// The time span that a prediction covers.
#[derive(Clone, Copy)]
struct Span {
    /// Seconds from now to its start.
    lead_s: f64,
    length_s: f64,
}
