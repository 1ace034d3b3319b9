//! A rate that follows recent events.

use crate::prelude::*;

/// Amount a second, over recent events: the weight of an event decays exponentially.
#[derive(Clone, Debug)]
pub(super) struct Rate {
    /// Milliseconds after which the weight of an event is 1/e.
    decay_ms: f64,
    per_s: f64,
    at: Millis,
}

impl Rate {
    pub(super) fn new(decay_ms: f64) -> Rate {
        Rate {
            decay_ms,
            per_s: 0.0,
            at: 0,
        }
    }

    #[allow(clippy::cast_precision_loss)] // Amounts of a few seconds.
    pub(super) fn add(&mut self, now: Millis, amount: u64) {
        self.per_s = self.per_s(now) + amount as f64 * 1_000.0 / self.decay_ms;
        self.at = now;
    }

    #[allow(clippy::cast_precision_loss)] // Milliseconds.
    pub(super) fn per_s(&self, now: Millis) -> f64 {
        let age_ms = now.saturating_sub(self.at) as f64;
        self.per_s * (-age_ms / self.decay_ms).exp()
    }

    /// Returns the expected amount in some milliseconds.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )] // Saturates.
    pub(super) fn expected(&self, now: Millis, ms: Millis) -> u64 {
        (self.per_s(now) * ms as f64 / 1_000.0) as u64
    }
}
