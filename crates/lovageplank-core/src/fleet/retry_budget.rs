//! Limits the retries that routers send to a service.
//!
//! The limit holds for the sum over all routers: in any window, retries are at most a ratio of the
//! requests plus a fixed number. Routers don't coordinate: each may use its part of the fixed
//! number, and the ratio of the requests that it has sent itself.

use crate::prelude::*;
use std::collections::VecDeque;

/// Fraction of the limit that is used. A retry is checked against the window that ends at the time
/// of the retry. A later window may contain the retry, but no longer the requests that allowed it.
/// The rest of the limit is a margin, so that such retries don't add up to more than the limit.
const USABLE_FRACTION: f64 = 0.8;

record! { data =>
    /// Limit on the retries to one service, over all routers.
    pub struct RetryLimit {
        /// Retries per request.
        pub ratio: f64,
        /// Retries in a window in addition to the ratio.
        pub extra: f64,
        /// Length of the sliding window in milliseconds.
        pub window_ms: u64,
    }
}

record! { copy =>
    /// What one router has sent to one service in the window.
    pub struct Usage {
        /// Requests whose first attempt was sent.
        pub requests: usize,
        /// Retries.
        pub retries: usize,
    }
}

/// Requests and retries that one router has sent to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_limit: RetryLimit,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Returns a budget without any request or retry.
    pub fn new(retry_limit: RetryLimit) -> RetryBudget {
        RetryBudget {
            retry_limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Returns what this router has sent in the window that ends now.
    pub fn usage(&mut self, now: Millis) -> Usage {
        self.drop_expired(now);
        Usage {
            requests: self.requests.len(),
            retries: self.retries.len(),
        }
    }

    /// Returns whether this router, one of `router_count`, may send a retry now, and records it if
    /// so.
    pub fn try_retry(&mut self, now: Millis, router_count: usize) -> bool {
        self.drop_expired(now);
        #[allow(clippy::cast_precision_loss)] // Counts of a few thousand.
        let (requests, retries, router_count) = (
            self.requests.len() as f64,
            self.retries.len() as f64,
            router_count.max(1) as f64,
        );
        let allowed = USABLE_FRACTION
            * (self.retry_limit.ratio * requests + self.retry_limit.extra / router_count);
        if retries + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Millis) {
        let from = now.saturating_sub(self.retry_limit.window_ms);
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|at| *at < from) {
                list.pop_front();
            }
        }
    }
}
