//! Retry budgets, back-off and the classification of attempts.
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
//! An attempt is repeated only when it provably did not run, or when the request is idempotent.
//! Repeats of a service draw on a token bucket that its first attempts fill, so that a failing
//! service is never sent more than a bounded multiple of its callers' own load. A repeat that
//! could not finish before the deadline is not started.

use crate::prelude::*;
use rand::Rng;
use std::collections::HashMap;

record! { copy =>
    /// How an attempt ended.
    pub enum Outcome {
        /// A whole answer arrived that belongs to the attempt.
        Answered,
        /// The attempt did not run, and there is proof: no byte left, or the server said so.
        NotRun,
        /// Whether the attempt ran is unknown.
        Unknown,
    }
}

record! { copy =>
    /// What is to be done after an attempt.
    pub enum Decision {
        /// Start the next attempt at this time.
        Retry(Millis),
        /// Give the outcome to the caller.
        Stop,
    }
}

record! { copy =>
    /// Where a request stands after an attempt.
    pub struct RetryContext {
        /// Number of the attempt that ended, from 1.
        pub attempt: u32,
        /// Attempts at the most.
        pub max_attempts: u32,
        /// Whether the request may run twice.
        pub idempotent: bool,
        /// When the caller must have its answer.
        pub deadline: Millis,
    }
}

record! { data =>
    /// Back-off and budget of a [`Retrier`].
    pub struct Config {
        /// Longest wait before the second attempt, in milliseconds; doubles with each attempt.
        pub base_ms: u64,
        /// Longest wait before any attempt, in milliseconds.
        pub cap_ms: u64,
        /// Milliseconds before a deadline in which no attempt is started.
        pub reserve_ms: u64,
        /// Tokens that a service's bucket holds at most, and at the start.
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
    /// Sets the longest wait before the second attempt.
    #[must_use]
    pub fn base_ms(mut self, ms: u64) -> Config {
        self.base_ms = ms;
        self
    }

    /// Sets the longest wait before any attempt.
    #[must_use]
    pub fn cap_ms(mut self, ms: u64) -> Config {
        self.cap_ms = ms;
        self
    }

    /// Sets the time before a deadline in which no attempt is started.
    #[must_use]
    pub fn reserve_ms(mut self, ms: u64) -> Config {
        self.reserve_ms = ms;
        self
    }

    /// Sets the tokens that a service's bucket holds at most.
    #[must_use]
    pub fn bucket(mut self, tokens: f64) -> Config {
        self.bucket = tokens;
        self
    }
}

/// Decides on repeats and keeps each service's budget.
#[derive(Clone, Debug)]
pub struct Retrier {
    config: Config,
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

    /// Notes a first attempt, which adds `ratio` tokens to the service's bucket.
    pub fn record_first_attempt(&mut self, service: &str, ratio: f64) {
        let bucket = self.config.bucket;
        let tokens = self.bucket_tokens(service);
        *tokens = (*tokens + ratio).min(bucket);
    }

    /// Decides whether and when a request is attempted again; a repeat takes one token.
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

    /// A random wait up to a bound that doubles with each attempt.
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
