//! How many repeats an instance may send to a service.
//!
//! The bound holds for the sum over all instances: in any window, repeats are at most a ratio of
//! the requests plus a fixed amount. Instances don't ask each other; each takes its part of the
//! fixed amount and the ratio of what it has sent itself.

use crate::prelude::*;
use std::collections::VecDeque;

/// Part of the allowance that is used, so that windows which slide don't add up to more.
const USABLE_FRACTION: f64 = 0.8;

record! { data =>
    /// The bound over all instances.
    pub struct Bound {
        /// Repeats for each request.
        pub ratio: f64,
        /// Repeats besides, in a window.
        pub extra: f64,
        /// Length of the window in milliseconds.
        pub window_ms: u64,
    }
}

/// Requests and repeats of one service at one instance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: Bound,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// An unused allowance.
    pub fn new(bound: Bound) -> RetryBudget {
        RetryBudget {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a first send.
    pub fn record_request(&mut self, now: Millis) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Whether a repeat may be sent now, as one of `instances`; it counts as sent if so.
    pub fn try_retry(&mut self, now: Millis, instances: usize) -> bool {
        self.drop_expired(now);
        #[allow(clippy::cast_precision_loss)] // Counts of a few thousand.
        let (requests, retries, instances) = (
            self.requests.len() as f64,
            self.retries.len() as f64,
            instances.max(1) as f64,
        );
        let allowed =
            USABLE_FRACTION * (self.bound.ratio * requests + self.bound.extra / instances);
        if retries + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Millis) {
        let from = now.saturating_sub(self.bound.window_ms);
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|at| *at < from) {
                list.pop_front();
            }
        }
    }
}
