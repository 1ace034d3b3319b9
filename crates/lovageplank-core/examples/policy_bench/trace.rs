//! Seeded traces of requests, slow periods of the weight store and engine losses.

use crate::assumptions::{
    BURST, BURST_MS, FOLLOW_UP_GAP_MS, FOLLOW_UPS, GAP_TAIL, HOUR_MS, PEAK_MODELS, PEAK_MS,
    REGULAR_SHARE, RUN_MS, SESSION_GAP_MS, SHORT_DEADLINE, SLOW_PERIOD_MS, TRACE_MS,
};
use crate::deployment::{Deployment, model_name};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Integration step for activity, in milliseconds.
const STEP_MS: f64 = 60_000.0;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival.
    pub at: Millis,
    /// The requested model.
    pub model: Name,
    /// Index of the router that receives it.
    pub router: usize,
    /// Time by which a replica must accept it.
    pub deadline: Millis,
    /// Milliseconds that it runs.
    pub run_ms: u64,
}

/// The external events of a simulation.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
    /// Start of the weight store's slow period.
    pub slow_from: Millis,
    /// End of the weight store's slow period.
    pub slow_until: Millis,
    /// Time of each engine loss, and the engine's index.
    pub engine_losses: Vec<(Millis, usize)>,
}

impl Trace {
    /// Generates the trace for a deployment and seed.
    pub fn new(deployment: &Deployment, seed: u64) -> Trace {
        let mut builder = TraceBuilder {
            deployment,
            rng: SmallRng::seed_from_u64(seed),
            requests: Vec::new(),
        };
        for model in 0..deployment.models {
            builder.model(model);
        }
        for peak in deployment.peaks {
            builder.peak(hours(*peak));
        }
        let rng = &mut builder.rng;
        let slow_from = hours(deployment.peaks[1]).saturating_sub(SLOW_PERIOD_MS / 2);
        let busy = hours(deployment.peaks[0])..hours(deployment.peaks[2]);
        let engine_losses = (0..3)
            .map(|_| {
                let at = rng.random_range(busy.clone());
                (at, rng.random_range(0..deployment.engines))
            })
            .collect();
        let mut requests = builder.requests;
        requests.retain(|r| r.at < TRACE_MS);
        requests.sort_by(|a, b| (a.at, &a.model, a.router).cmp(&(b.at, &b.model, b.router)));
        Trace {
            requests,
            slow_from,
            slow_until: slow_from + SLOW_PERIOD_MS,
            engine_losses,
        }
    }
}

struct TraceBuilder<'a> {
    deployment: &'a Deployment,
    rng: SmallRng,
    requests: Vec<Request>,
}

impl TraceBuilder<'_> {
    /// Adds all sessions of one model, except those of peaks.
    fn model(&mut self, model: usize) {
        let (low, high) = SESSION_GAP_MS;
        let mean_ms = low * (high / low).powf(self.rng.random::<f64>());
        let regular = self.rng.random_bool(REGULAR_SHARE);
        let mut at = self.rng.random::<f64>() * mean_ms;
        loop {
            let gap_ms = if regular {
                mean_ms * self.rng.random_range(0.9..1.1)
            } else {
                self.heavy_tail(mean_ms)
            };
            at = self.after_activity(at, gap_ms);
            let start = millis(at);
            if start >= TRACE_MS {
                return;
            }
            self.session(model, start);
        }
    }

    /// The time at which `gap_ms` of full activity have passed since `at`.
    fn after_activity(&self, at: f64, gap_ms: f64) -> f64 {
        let mut at = at;
        let mut remaining = gap_ms;
        loop {
            let hour = usize::try_from(millis(at) / HOUR_MS % 24).unwrap_or(0);
            let activity = self.deployment.activity[hour];
            if remaining <= activity * STEP_MS {
                return at + remaining / activity;
            }
            remaining -= activity * STEP_MS;
            at += STEP_MS;
        }
    }

    /// Adds the sessions of a peak, which start within [`PEAK_MS`].
    fn peak(&mut self, at: Millis) {
        let count = self.rng.random_range(PEAK_MODELS.0..=PEAK_MODELS.1);
        for _ in 0..count {
            let model = self.rng.random_range(0..self.deployment.models);
            let start = at + self.rng.random_range(0..PEAK_MS);
            self.session(model, start);
        }
    }

    /// Adds one session: a burst over many routers, then single requests.
    fn session(&mut self, model: usize, start: Millis) {
        let burst = self.heavy_tail(BURST.0).clamp(1.0, BURST.1);
        for _ in 0..millis(burst) {
            let at = start + self.rng.random_range(0..BURST_MS);
            self.request(model, at);
        }
        let mut at = start;
        while self.rng.random_bool(FOLLOW_UPS / (FOLLOW_UPS + 1.0)) {
            at += millis(self.exponential(FOLLOW_UP_GAP_MS));
            self.request(model, at);
        }
    }

    fn request(&mut self, model: usize, at: Millis) {
        let short = self.rng.random_bool(SHORT_DEADLINE.0);
        let deadline_ms = if short {
            SHORT_DEADLINE.1
        } else {
            self.deployment.deadline_ms
        };
        let request = Request {
            at,
            model: model_name(model),
            router: self.rng.random_range(0..self.deployment.routers),
            deadline: at + deadline_ms,
            run_ms: self.rng.random_range(RUN_MS.0..=RUN_MS.1),
        };
        self.requests.push(request);
    }

    /// A Pareto-distributed value with the given mean.
    fn heavy_tail(&mut self, mean: f64) -> f64 {
        let least = mean * (GAP_TAIL - 1.0) / GAP_TAIL;
        least / (1.0 - self.rng.random::<f64>()).powf(1.0 / GAP_TAIL)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive spans"
)]
fn millis(value: f64) -> u64 {
    value as u64
}

fn hours(value: f64) -> Millis {
    millis(value * 3_600_000.0)
}
