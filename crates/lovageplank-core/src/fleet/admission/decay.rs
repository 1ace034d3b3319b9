//! Sums and ratios of what happened recently.

use super::number::real;
use crate::prelude::*;

/// A sum whose parts lose weight with their age: a part that is as old as the time constant weighs 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sum {
    value: f64,
    at: Millis,
}

impl Sum {
    pub(super) fn value(&self, now: Millis, time_constant_ms: f64) -> f64 {
        self.value * kept(now, self.at, time_constant_ms)
    }

    pub(super) fn add(&mut self, now: Millis, time_constant_ms: f64, amount: f64) {
        *self = Sum {
            value: self.value(now, time_constant_ms) + amount,
            at: now.max(self.at),
        };
    }
}

/// The weight at `now` of what had the weight 1 at an earlier time.
pub(super) fn kept(now: Millis, at: Millis, time_constant_ms: f64) -> f64 {
    (-real(now.saturating_sub(at)) / time_constant_ms).exp()
}
