//! A rate at which something may begin, with a short burst.

use crate::prelude::*;

/// What may be taken now.
#[derive(Clone, Debug)]
pub struct Pace {
    per_ms: f64,
    /// Most that may be taken at once.
    burst: f64,
    /// Below 0 after more than a burst was taken at once.
    left: f64,
    /// When `left` was computed.
    at: Millis,
}

impl Pace {
    /// A rate a second, of which the amount of so many milliseconds may be taken at once.
    pub fn new(rate_per_s: f64, burst_ms: f64) -> Pace {
        let per_ms = rate_per_s / 1_000.0;
        let burst = per_ms * burst_ms;
        Pace {
            per_ms,
            burst,
            left: burst,
            at: 0,
        }
    }

    /// Takes an amount, which may be larger than a burst. If nothing is left, takes none and returns the milliseconds
    /// until something is.
    pub fn take(&mut self, now: Millis, amount: usize) -> Result<(), Millis> {
        match self.wait_ms(now) {
            0 => {
                #[allow(clippy::cast_precision_loss)] // Far below 2^52.
                let amount = amount as f64;
                self.left -= amount;
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Milliseconds until something may be taken; 0 if it may now.
    pub fn wait_ms(&mut self, now: Millis) -> Millis {
        #[allow(clippy::cast_precision_loss)] // Some seconds.
        let passed_ms = now.saturating_sub(self.at) as f64;
        self.left = (self.left + self.per_ms * passed_ms).min(self.burst);
        self.at = self.at.max(now);
        if self.left <= 0.0 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Above 0.
            let wait_ms = (-self.left / self.per_ms).ceil() as Millis;
            return wait_ms.max(1);
        }
        0
    }
}
