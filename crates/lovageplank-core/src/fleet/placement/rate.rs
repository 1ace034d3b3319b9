//! Arrivals per second, weighted towards the recent ones.

use crate::prelude::*;

/// Milliseconds in which the weight of an arrival decays to 1/e, less than half.
const DECAY_MS: f64 = 30_000.0;

/// An exponentially decaying count of arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    count: f64,
    updated_at: Millis,
}

impl ArrivalRate {
    pub(super) fn add_arrivals(&mut self, now: Millis, arrived: u32) {
        self.count = self.decayed(now) + f64::from(arrived);
        self.updated_at = now;
    }

    pub(super) fn per_s(&self, now: Millis) -> f64 {
        self.decayed(now) / (DECAY_MS / 1_000.0)
    }

    fn decayed(&self, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a few days at most.
        let age = now.saturating_sub(self.updated_at) as f64;
        self.count * (-age / DECAY_MS).exp()
    }
}
