//! Retry budgets, backoff and the decision to retry an attempt.
//!
//! ```
//! use lovageplank_core::retry::{Config, Decision, Outcome, Retrier, RetryContext};
//! let mut retrier = Retrier::new(Config::default());
//! retrier.record_first_attempt("drafting", 0.2);
//! let context = RetryContext { attempt: 1, max_attempts: 3, idempotent: false, deadline: 5_000 };
//! let mut rng = rand::rngs::mock::StepRng::new(0, 1);
//! let decision = retrier.decide(0, "drafting", context, Outcome::Unknown, &mut rng);
//! assert_eq!(decision, Decision::Stop);
//! ```
//!
//! An attempt is retried only if it provably did not run, or if the request is idempotent. Each
//! retry takes a token from the service's bucket, its retry budget, which the service's first
//! attempts fill. A failing service therefore never gets more than a bounded multiple of its callers'
//! own load. A retry that would start too close to the deadline to finish is not started.

use crate::prelude::*;
use rand::Rng;
use std::collections::HashMap;

record! { copy =>
    /// How an attempt ended.
    pub enum Outcome {
        /// A complete answer to the attempt arrived.
        Answered,
        /// The attempt provably did not run: no byte was sent, or the server reported that it did
        /// not run.
        NotRun,
        /// It is unknown whether the attempt ran.
        Unknown,
    }
}

record! { copy =>
    /// What to do after an attempt.
    pub enum Decision {
        /// Start the next attempt at this time.
        Retry(Millis),
        /// Return the outcome to the caller.
        Stop,
    }
}

record! { copy =>
    /// What a retry decision depends on, besides the outcome.
    pub struct RetryContext {
        /// Number of the attempt that ended, starting at 1.
        pub attempt: u32,
        /// Upper bound of the request's attempts, including the first.
        pub max_attempts: u32,
        /// Whether the request may safely run twice.
        pub idempotent: bool,
        /// Time by which the caller must have an answer.
        pub deadline: Millis,
    }
}

record! { data =>
    /// Backoff and retry budget of a [`Retrier`].
    pub struct Config {
        /// Upper bound of the backoff before the second attempt, in milliseconds; doubles with each
        /// further attempt.
        pub base_ms: u64,
        /// Upper bound of the backoff before any attempt, in milliseconds.
        pub cap_ms: u64,
        /// Milliseconds before a request's deadline in which no retry is started.
        pub reserve_ms: u64,
        /// Tokens in a service's full bucket; a bucket starts full.
        pub bucket: f64,
    }
}

impl Default for Config {
    fn default() -> Config {
        Config {
            base_ms: 20,
            cap_ms: 1_000,
            reserve_ms: 50,
            bucket: 20.0,
        }
    }
}

impl Config {
    /// Sets the upper bound of the backoff before the second attempt, in milliseconds.
    #[must_use]
    pub fn base_ms(mut self, ms: u64) -> Config {
        self.base_ms = ms;
        self
    }

    /// Sets the upper bound of the backoff before any attempt, in milliseconds.
    #[must_use]
    pub fn cap_ms(mut self, ms: u64) -> Config {
        self.cap_ms = ms;
        self
    }

    /// Sets the milliseconds before a deadline in which no retry is started.
    #[must_use]
    pub fn reserve_ms(mut self, ms: u64) -> Config {
        self.reserve_ms = ms;
        self
    }

    /// Sets the tokens in a service's full bucket.
    #[must_use]
    pub fn bucket(mut self, tokens: f64) -> Config {
        self.bucket = tokens;
        self
    }
}

/// Decides on retries and keeps each service's retry budget.
#[derive(Clone, Debug)]
pub struct Retrier {
    config: Config,
    /// Tokens left in each service's bucket.
    ///
    /// Invariant: each value is between 0 and `config.bucket`.
    tokens: HashMap<Name, f64>,
}

impl Retrier {
    /// Creates a retrier whose buckets are full.
    pub fn new(config: Config) -> Retrier {
        Retrier {
            config,
            tokens: HashMap::new(),
        }
    }

    /// Records a request's first attempt, which adds `ratio` tokens to the service's bucket.
    pub fn record_first_attempt(&mut self, service: &str, ratio: f64) {
        let bucket = self.config.bucket;
        let tokens = self.bucket_tokens(service);
        *tokens = (*tokens + ratio).min(bucket);
    }

    /// Decides whether and when a request is retried; a retry takes one token.
    pub fn decide(
        &mut self,
        now: Millis,
        service: &str,
        context: RetryContext,
        outcome: Outcome,
        rng: &mut impl Rng,
    ) -> Decision {
        let allowed = match outcome {
            Outcome::Answered => false,
            Outcome::NotRun => true,
            Outcome::Unknown => context.idempotent,
        };
        if !allowed || context.attempt >= context.max_attempts {
            return Decision::Stop;
        }
        let at = now + self.backoff_ms(context.attempt, rng);
        if at + self.config.reserve_ms >= context.deadline {
            return Decision::Stop;
        }
        let tokens = self.bucket_tokens(service);
        if *tokens < 1.0 {
            return Decision::Stop;
        }
        *tokens -= 1.0;
        Decision::Retry(at)
    }

    /// Random backoff, in milliseconds, up to a bound that doubles with each attempt.
    fn backoff_ms(&self, attempt: u32, rng: &mut impl Rng) -> u64 {
        let bound_ms = self.config.base_ms << (attempt - 1).min(16);
        rng.random_range(0..=bound_ms.min(self.config.cap_ms))
    }

    fn bucket_tokens(&mut self, service: &str) -> &mut f64 {
        if !self.tokens.contains_key(service) {
            self.tokens.insert(service.into(), self.config.bucket);
        }
        self.tokens
            .get_mut(service)
            .expect("the bucket was inserted above")
    }
}
