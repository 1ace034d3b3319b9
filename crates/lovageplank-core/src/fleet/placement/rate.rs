//! Arrivals per second, weighted towards the recent ones.

use crate::prelude::*;

/// Milliseconds in which the weight of an arrival decays to 1/e, less than half.
const DECAY_MS: f64 = 30_000.0;
/// The same for the rate of the last seconds.
const RECENT_DECAY_MS: f64 = 4_000.0;

/// Exponentially decaying counts of arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    count: f64,
    recent_count: f64,
    updated_at: Millis,
}

impl ArrivalRate {
    pub(super) fn add_arrivals(&mut self, now: Millis, arrived: u32) {
        self.count = self.decayed(now, self.count, DECAY_MS) + f64::from(arrived);
        self.recent_count =
            self.decayed(now, self.recent_count, RECENT_DECAY_MS) + f64::from(arrived);
        self.updated_at = now;
    }

    /// Arrivals per second in the last half minute or so.
    pub(super) fn per_s(&self, now: Millis) -> f64 {
        self.decayed(now, self.count, DECAY_MS) / (DECAY_MS / 1_000.0)
    }

    /// Arrivals per second in the last seconds.
    pub(super) fn recent_per_s(&self, now: Millis) -> f64 {
        self.decayed(now, self.recent_count, RECENT_DECAY_MS) / (RECENT_DECAY_MS / 1_000.0)
    }

    /// Whether there was an arrival in the last half minute, or several before.
    pub(super) fn has_recent_arrival(&self, now: Millis) -> bool {
        self.decayed(now, self.count, DECAY_MS) >= (-1.0_f64).exp()
    }

    fn decayed(&self, now: Millis, count: f64, decay_ms: f64) -> f64 {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a few days at most.
        let age = now.saturating_sub(self.updated_at) as f64;
        count * (-age / decay_ms).exp()
    }
}
