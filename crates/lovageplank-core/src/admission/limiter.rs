//! Limits on rate and concurrency.

use super::to_f64;
use crate::prelude::*;
use std::collections::HashMap;

/// A token bucket that refills with time.
///
/// Invariant: `tokens` is between 0 and the burst.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    filled: Millis,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Millis, rate: f64) -> Bucket {
        Bucket {
            tokens: burst(rate),
            filled: now,
        }
    }

    /// Takes a token, or says in how many milliseconds one will be there; `rate` is per second.
    pub fn take(&mut self, now: Millis, rate: f64) -> Result<(), u64> {
        let elapsed_ms = to_f64(now.saturating_sub(self.filled));
        self.tokens = (self.tokens + elapsed_ms * rate / 1_000.0).min(burst(rate));
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.tokens) * 1_000.0 / rate;
        Err(super::to_millis(missing_ms).max(1))
    }
}

/// One second's tokens, at least one.
fn burst(rate: f64) -> f64 {
    rate.max(1.0)
}

/// Callers whose buckets are kept; beyond it the buckets that have refilled are forgotten.
const CALLERS_MAX: usize = 10_000;
/// Milliseconds without a request after which a bucket counts as refilled.
const REFILLED_MS: u64 = 10_000;

/// Rate limits by caller.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    buckets: HashMap<Name, Bucket>,
}

impl Rates {
    /// Takes a token of a caller's bucket, or says in how many milliseconds one will be there.
    pub fn take(&mut self, now: Millis, caller: &Name, rate: f64) -> Result<(), u64> {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            return bucket.take(now, rate);
        }
        self.make_room(now);
        let mut bucket = Bucket::new(now, rate);
        let taken = bucket.take(now, rate);
        self.buckets.insert(caller.clone(), bucket);
        taken
    }

    /// Keeps memory bounded when callers invent names.
    fn make_room(&mut self, now: Millis) {
        if self.buckets.len() < CALLERS_MAX {
            return;
        }
        self.buckets
            .retain(|_, bucket| now.saturating_sub(bucket.filled) < REFILLED_MS);
        if self.buckets.len() >= CALLERS_MAX {
            self.buckets.clear();
        }
    }
}

/// Counts the requests in progress of each service.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    running: HashMap<Name, u32>,
}

impl Gate {
    /// Lets a request in if fewer than `limit` are in progress.
    pub fn enter(&mut self, service: &Name, limit: u32) -> bool {
        let running = self.running.entry(service.clone()).or_default();
        if *running >= limit {
            return false;
        }
        *running += 1;
        true
    }

    /// Notes that a request that was let in has ended.
    pub fn leave(&mut self, service: &str) {
        if let Some(running) = self.running.get_mut(service) {
            *running = running.saturating_sub(1);
        }
    }

    /// Requests in progress of a service.
    pub fn running(&self, service: &str) -> u32 {
        self.running.get(service).copied().unwrap_or(0)
    }
}
