//! Loads from the weight store: how many run at once, and how many begin within a window.
//!
//! Pattern: a store that serves a few loads at full speed and more of them slower in proportion;
//! how many isn't told. How long a load takes is decided when it begins: one that is on time allows
//! twice as many at once as ran then, and a late one shows how many the store bears.

use super::Limits;
use crate::prelude::*;

/// Loads that run at once until one has ended.
const FIRST_AT_ONCE: usize = 2;
/// Loads that are left for models which requests wait for, where there are enough.
const RESERVED: usize = 1;
/// Times its shortest duration that a load may take and be on time.
const LATE: f64 = 1.3;
/// Milliseconds that it may take longer: reports lag.
const LATE_MS: f64 = 500.0;

/// What is known of the store.
///
/// Invariant: `at_once` is between 1 and the limit.
#[derive(Clone, Debug)]
pub(super) struct Store {
    limits: Limits,
    /// When loads of the last window began, newest last.
    began: Vec<Millis>,
    at_once: usize,
}

impl Store {
    pub(super) fn new(limits: Limits) -> Store {
        let at_once = FIRST_AT_ONCE.min(limits.at_once).max(1);
        Store {
            limits,
            began: Vec::new(),
            at_once,
        }
    }

    /// Whether another load may begin while `active` run.
    pub(super) fn has_room(&self, now: Millis, active: usize, loads_per_s: f64) -> bool {
        let window_ms = self.limits.window_ms;
        let recent = self.began.iter().filter(|at| now < **at + window_ms);
        #[allow(clippy::cast_precision_loss)] // Milliseconds and counts of a few.
        let (recent, most) = (
            recent.count() as f64,
            loads_per_s * window_ms as f64 / 1_000.0,
        );
        recent + 1.0 <= most && !self.is_full(active)
    }

    /// Whether as many loads run as the store bears.
    pub(super) fn is_full(&self, active: usize) -> bool {
        active >= self.at_once
    }

    /// Whether a model may be brought in that nobody waits for.
    pub(super) fn has_room_for_seeds(&self, active: usize) -> bool {
        let seeds = self.at_once.saturating_sub(RESERVED).max(FIRST_AT_ONCE);
        active < seeds && !self.is_full(active)
    }

    /// A load begins.
    pub(super) fn begin(&mut self, now: Millis) {
        let window_ms = self.limits.window_ms;
        self.began.retain(|at| now < *at + window_ms);
        self.began.push(now);
    }

    /// A load ended that takes `alone_ms` at the least and began as one of `together`.
    pub(super) fn ended(&mut self, took_ms: Millis, alone_ms: Millis, together: usize) {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a load.
        let (took, alone) = (took_ms as f64, alone_ms as f64);
        if took <= LATE * alone + LATE_MS {
            let more = (2 * together).min(self.limits.at_once);
            self.at_once = self.at_once.max(more);
            return;
        }
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )] // A few loads.
        let bears = (together as f64 * alone / took).round() as usize;
        self.at_once = self.at_once.min(bears.max(1));
    }
}
