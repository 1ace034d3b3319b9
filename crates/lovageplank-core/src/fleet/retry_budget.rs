//! Limits the retries that routers send to a service.
//!
//! The limit holds for the sum over all routers: in any window, retries are at most a ratio of the
//! requests plus a fixed number. A router may use the ratio of the requests that it has sent itself.
//! For each retry of the fixed number it needs a [permit](super::permit) of the leader.

use super::permit::{Answer, Grant, Issuer, PERMIT_TTL_MS, Request, Stock, new_leader_ms};
use crate::prelude::*;
use std::collections::VecDeque;

/// Fraction of the limit that is used. A retry is checked against the window that ends at the time
/// of the retry. A later window may contain the retry, but no longer the requests that allowed it.
/// The rest of the limit is a margin, so that such retries don't add up to more than the limit.
const USABLE_FRACTION: f64 = 0.8;

/// Permits that a router asks for at once.
const PERMITS_WANTED: u32 = 2;

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

impl RetryLimit {
    /// Permits that the leader issues for a window.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
    fn permits(&self) -> u32 {
        (USABLE_FRACTION * self.extra) as u32
    }
}

record! { copy =>
    /// What one router has sent to one service in the window, and may still send.
    pub struct Usage {
        /// Requests whose first attempt was sent.
        pub requests: usize,
        /// Retries that the ratio allowed.
        pub retries: usize,
        /// Permits for further retries.
        pub permits: u32,
    }
}

/// Requests and retries that one router has sent to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_limit: RetryLimit,
    requests: VecDeque<Millis>,
    /// Retries without a permit.
    retries: VecDeque<Millis>,
    permits: Stock,
}

impl RetryBudget {
    /// Returns a budget without any request or retry.
    pub fn new(retry_limit: RetryLimit) -> RetryBudget {
        RetryBudget {
            retry_limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            permits: Stock::new(PERMITS_WANTED, PERMIT_TTL_MS),
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
            permits: self.permits.held(now),
        }
    }

    /// Returns whether this router may send a retry now, and records it if so. Asks for permits when
    /// the last retry that the ratio allows has been used.
    pub fn try_retry(&mut self, now: Millis) -> Answer {
        self.drop_expired(now);
        if self.unused_by_ratio() < 1.0 {
            return self.permits.take(now);
        }
        self.retries.push_back(now);
        if self.unused_by_ratio() < 1.0 && self.permits.held(now) == 0 {
            self.permits.ask(now);
        }
        Answer::Allowed
    }

    /// Whether [`take_permit_request`](RetryBudget::take_permit_request) has a request.
    pub fn asks_for_permits(&self) -> bool {
        self.permits.has_request()
    }

    /// Returns a request for permits that is to be sent to the leader, if there is one.
    pub fn take_permit_request(&mut self) -> Option<Request> {
        self.permits.take_request()
    }

    /// Records a response of the leader.
    pub fn permits_granted(&mut self, now: Millis, grant: &Grant) {
        self.permits.granted(now, grant);
    }

    /// Retries that the ratio allows beyond those already sent.
    #[allow(clippy::cast_precision_loss)] // Counts of a few thousand.
    fn unused_by_ratio(&self) -> f64 {
        let allowed = USABLE_FRACTION * self.retry_limit.ratio * self.requests.len() as f64;
        allowed - self.retries.len() as f64
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

/// Permits for retries to all services, as a leader issues them.
#[derive(Clone, Debug)]
pub struct RetryPermits {
    retry_limit: RetryLimit,
    /// Time before which none is issued.
    from: Millis,
    issuers: BTreeMap<Name, Issuer>,
}

impl RetryPermits {
    /// Returns the permits of a leader that takes office now; `is_first` if there was none before.
    pub fn new(now: Millis, retry_limit: RetryLimit, is_first: bool) -> RetryPermits {
        let wait_ms = if is_first {
            0
        } else {
            new_leader_ms(retry_limit.window_ms)
        };
        RetryPermits {
            retry_limit,
            from: now + wait_ms,
            issuers: BTreeMap::new(),
        }
    }

    /// Issues permits for retries to a service.
    pub fn issue(&mut self, now: Millis, service: &Name, request: &Request) -> Grant {
        let (window_ms, limit) = (self.retry_limit.window_ms, self.retry_limit.permits());
        let issuer = self.issuers.entry(service.clone());
        issuer
            .or_insert_with(|| Issuer::new(window_ms, self.from))
            .issue(now, limit, request)
    }
}
