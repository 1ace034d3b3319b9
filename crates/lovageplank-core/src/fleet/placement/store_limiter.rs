//! Loads from the weight store: how many run at once, and how many begin within a window.
//!
//! Pattern: a store that serves a few loads at full speed and more of them slower in proportion;
//! how many isn't told. How long a load takes is decided when it begins: one that is on time allows
//! twice as many at once as ran then, and a late one shows how many the store bears.

use super::Limits;
use crate::prelude::*;

/// Loads that run at once until one has ended.
const INITIAL_CONCURRENT_LOADS: usize = 2;
/// Loads that are left for models which requests wait for, where there are enough.
const RESERVED_LOADS: usize = 1;
/// Times its shortest duration that a load may take and be on time.
const LATE_RATIO: f64 = 1.3;
/// Milliseconds that it may take longer: reports lag.
const LATE_SLACK_MS: f64 = 500.0;

/// What is known of the store.
///
/// Invariant: `at_once` is between 1 and the limit.
#[derive(Clone, Debug)]
pub(super) struct StoreLimiter {
    limits: Limits,
    /// When loads of the last window began, newest last.
    recent_starts: Vec<Millis>,
    concurrent_loads: usize,
}

impl StoreLimiter {
    pub(super) fn new(limits: Limits) -> StoreLimiter {
        let concurrent_loads = INITIAL_CONCURRENT_LOADS
            .min(limits.max_concurrent_loads)
            .max(1);
        StoreLimiter {
            limits,
            recent_starts: Vec::new(),
            concurrent_loads,
        }
    }

    /// Whether another load may begin while `active` run.
    pub(super) fn can_load(&self, now: Millis, active: usize, loads_per_s: f64) -> bool {
        let window_ms = self.limits.window_ms;
        let recent = self
            .recent_starts
            .iter()
            .filter(|at| now < **at + window_ms);
        #[allow(clippy::cast_precision_loss)] // Milliseconds and counts of a few.
        let (recent, most) = (
            recent.count() as f64,
            loads_per_s * window_ms as f64 / 1_000.0,
        );
        recent + 1.0 <= most && !self.is_full(active)
    }

    /// Whether as many loads run as the store bears.
    pub(super) fn is_full(&self, active: usize) -> bool {
        active >= self.concurrent_loads
    }

    /// Whether a model may be brought in that nobody waits for.
    pub(super) fn can_seed(&self, active: usize) -> bool {
        let seeds = self
            .concurrent_loads
            .saturating_sub(RESERVED_LOADS)
            .max(INITIAL_CONCURRENT_LOADS);
        active < seeds && !self.is_full(active)
    }

    /// A load begins.
    pub(super) fn load_began(&mut self, now: Millis) {
        let window_ms = self.limits.window_ms;
        self.recent_starts.retain(|at| now < *at + window_ms);
        self.recent_starts.push(now);
    }

    /// A load ended that takes `alone_ms` at the least and began as one of `together`.
    pub(super) fn load_ended(&mut self, took_ms: Millis, min_ms: Millis, concurrent: usize) {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a load.
        let (took, min) = (took_ms as f64, min_ms as f64);
        if took <= LATE_RATIO * min + LATE_SLACK_MS {
            let more = (2 * concurrent).min(self.limits.max_concurrent_loads);
            self.concurrent_loads = self.concurrent_loads.max(more);
            return;
        }
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )] // A few loads.
        let sustained = (concurrent as f64 * min / took).round() as usize;
        self.concurrent_loads = self.concurrent_loads.min(sustained.max(1));
    }
}
