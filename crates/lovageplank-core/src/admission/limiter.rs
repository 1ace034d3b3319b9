//! Limits on the rate and concurrency of requests.

use super::to_f64;
use crate::prelude::*;
use std::collections::HashMap;

/// A token bucket that refills with time.
///
/// Invariant: `tokens` is between 0 and the capacity at the last rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket for a rate in tokens per second.
    pub fn new(now: Millis, rate: f64) -> TokenBucket {
        TokenBucket {
            tokens: capacity(rate),
            refilled_at: now,
        }
    }

    /// Takes a token, or returns the milliseconds until one is available. `rate` is in tokens per
    /// second.
    pub fn take(&mut self, now: Millis, rate: f64) -> Result<(), u64> {
        let elapsed_ms = to_f64(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + elapsed_ms * rate / 1_000.0).min(capacity(rate));
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.tokens) * 1_000.0 / rate;
        Err(super::to_millis(missing_ms).max(1))
    }
}

/// Tokens in a full bucket: those of one second, at least one.
fn capacity(rate: f64) -> f64 {
    rate.max(1.0)
}

/// Upper bound of the callers with a bucket, which bounds memory when callers invent names. At the
/// bound, buckets that count as refilled are removed; if none does, all are.
const MAX_CALLERS: usize = 10_000;
/// Milliseconds since a caller's last request after which its bucket counts as refilled.
const REFILL_MS: u64 = 10_000;

/// Limits the request rate of each caller.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<Name, TokenBucket>,
}

impl RateLimiter {
    /// Takes a token from a caller's bucket, or returns the milliseconds until one is available.
    /// `rate` is in tokens per second.
    pub fn take(&mut self, now: Millis, caller: &Name, rate: f64) -> Result<(), u64> {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            return bucket.take(now, rate);
        }
        self.evict_refilled(now);
        let mut bucket = TokenBucket::new(now, rate);
        let result = bucket.take(now, rate);
        self.buckets.insert(caller.clone(), bucket);
        result
    }

    /// Removes buckets at the bound of [`MAX_CALLERS`].
    fn evict_refilled(&mut self, now: Millis) {
        if self.buckets.len() < MAX_CALLERS {
            return;
        }
        self.buckets
            .retain(|_, bucket| now.saturating_sub(bucket.refilled_at) < REFILL_MS);
        if self.buckets.len() >= MAX_CALLERS {
            self.buckets.clear();
        }
    }
}

/// Limits the requests in progress of each service.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimiter {
    running: HashMap<Name, u32>,
}

impl ConcurrencyLimiter {
    /// Admits a request and returns true if fewer than `limit` requests of the service are in
    /// progress.
    pub fn try_acquire(&mut self, service: &Name, limit: u32) -> bool {
        let running = self.running.entry(service.clone()).or_default();
        if *running >= limit {
            return false;
        }
        *running += 1;
        true
    }

    /// Records that an admitted request has ended.
    pub fn release(&mut self, service: &str) {
        if let Some(running) = self.running.get_mut(service) {
            *running = running.saturating_sub(1);
        }
    }

    /// Number of requests in progress of a service.
    pub fn running(&self, service: &str) -> u32 {
        self.running.get(service).copied().unwrap_or(0)
    }
}
