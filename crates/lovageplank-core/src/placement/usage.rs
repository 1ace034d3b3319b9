//! Measures idle, busy and loading time of accelerators.
//!
//! An accelerator is *busy* while a request runs on it, *idle* while it has a ready or draining
//! replica and runs no request, and *loading* while it is neither and a load is in progress. An
//! accelerator without replicas is none of these. The accelerators of one engine count as one.
//! `replica_idle_s` measures idle time per replica: seconds in which a ready or draining replica
//! runs no request, weighted by its share of the engine's memory.

use super::Engine;
use crate::load::seconds;
use crate::prelude::*;
use crate::view::Phase;

/// Accelerator seconds by state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Seconds with a ready or draining replica and no running request.
    pub idle_s: f64,
    /// Seconds with running requests.
    pub busy_s: f64,
    /// Seconds with only loads in progress.
    pub loading_s: f64,
    /// Idle seconds of single replicas, weighted by their share of the engine's memory.
    pub replica_idle_s: f64,
}

/// Accumulates usage between observations.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    last: Option<Millis>,
    /// Usage per second since the last observation.
    rates: Usage,
    total: Usage,
}

impl Meter {
    /// Records the state of the engines from `now` on.
    pub fn observe(&mut self, now: Millis, engines: &[Engine]) {
        self.advance(now);
        self.rates = Usage::default();
        for engine in engines.iter().filter(|e| e.live) {
            self.rates.add(engine);
        }
    }

    /// Usage up to `now`.
    pub fn total_at(&self, now: Millis) -> Usage {
        let mut meter = self.clone();
        meter.advance(now);
        meter.total
    }

    /// Usage up to the last observation.
    pub fn total(&self) -> Usage {
        self.total
    }

    fn advance(&mut self, now: Millis) {
        let elapsed_s = seconds(now.saturating_sub(self.last.unwrap_or(now)));
        self.total.idle_s += self.rates.idle_s * elapsed_s;
        self.total.busy_s += self.rates.busy_s * elapsed_s;
        self.total.loading_s += self.rates.loading_s * elapsed_s;
        self.total.replica_idle_s += self.rates.replica_idle_s * elapsed_s;
        self.last = Some(now);
    }
}

impl Usage {
    fn add(&mut self, engine: &Engine) {
        let has_phase = |phase| engine.replicas.iter().any(|r| r.phase == phase);
        if engine.replicas.iter().any(|r| r.running > 0) {
            self.busy_s += 1.0;
        } else if has_phase(Phase::Ready) || has_phase(Phase::Draining) {
            self.idle_s += 1.0;
        } else if has_phase(Phase::Loading) {
            self.loading_s += 1.0;
        }
        self.replica_idle_s += idle_share(engine);
    }
}

/// Fraction of an engine's memory that ready and draining replicas without running requests occupy.
#[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 MB")]
fn idle_share(engine: &Engine) -> f64 {
    let idle_mb: u64 = engine
        .replicas
        .iter()
        .filter(|r| r.phase != Phase::Loading && r.running == 0)
        .map(|r| r.memory_mb)
        .sum();
    idle_mb as f64 / engine.memory_mb.max(1) as f64
}
