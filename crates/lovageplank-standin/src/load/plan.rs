//! Which calls start when: a function of the configuration and its seed alone.

use lovageplank_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Config;
use crate::engine::text;

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

record! { data =>
    /// When calls start.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum Arrivals {
        /// Independently of each other.
        Poisson {
            /// Mean number a second.
            per_s: f64
        },
        /// Many at once.
        Bursts {
            /// Calls of a burst.
            size: u32,
            /// Milliseconds between bursts; the first comes at once.
            every_ms: u64
        },
    }
}

impl Arrivals {
    /// Checks the figures.
    pub(super) fn check(&self) -> Result<(), String> {
        match self {
            Arrivals::Poisson { per_s } if !per_s.is_finite() || *per_s <= 0.0 => {
                Err(format!("{per_s} calls a second isn't a rate"))
            }
            Arrivals::Bursts { every_ms: 0, .. } => Err("bursts need an interval".to_owned()),
            Arrivals::Bursts { size: 0, .. } => Err("bursts need a size".to_owned()),
            Arrivals::Poisson { .. } | Arrivals::Bursts { .. } => Ok(()),
        }
    }
}

record! { data =>
    /// One kind of call in the mix.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum Share {
        /// Completions of a model.
        Model {
            /// The service that is asked for.
            service: String,
            /// The model.
            model: String,
            /// Adapters, of which each call takes one; none means calls without.
            #[serde(default)]
            adapters: Vec<String>,
            /// Share of streamed answers in percent.
            #[serde(default)]
            streamed_percent: u32,
            /// Tokens of an answer.
            #[serde(default = "default_tokens")]
            tokens: u32,
            /// How often this kind comes, relative to the others.
            #[serde(default = "default_weight")]
            weight: u32
        },
        /// Calls of a plain service, each with an idempotency key.
        Plain {
            /// The service.
            service: String,
            /// The path below the service, without a leading slash.
            #[serde(default)]
            path: String,
            /// How often this kind comes, relative to the others.
            #[serde(default = "default_weight")]
            weight: u32
        },
    }
}

fn default_tokens() -> u32 {
    16
}

fn default_weight() -> u32 {
    1
}

impl Share {
    /// Completions of a model, whole, of 16 tokens.
    pub fn model(service: impl Into<String>, model: impl Into<String>) -> Share {
        Share::Model {
            service: service.into(),
            model: model.into(),
            adapters: Vec::new(),
            streamed_percent: 0,
            tokens: default_tokens(),
            weight: default_weight(),
        }
    }

    /// Calls of a plain service.
    pub fn plain(service: impl Into<String>, path: impl Into<String>) -> Share {
        Share::Plain {
            service: service.into(),
            path: path.into(),
            weight: default_weight(),
        }
    }

    /// Sets how many answers are streamed, in percent; plain calls never are.
    #[must_use]
    pub fn streamed_percent(mut self, percent: u32) -> Share {
        if let Share::Model {
            streamed_percent, ..
        } = &mut self
        {
            *streamed_percent = percent.min(100);
        }
        self
    }

    /// Sets the tokens of an answer.
    #[must_use]
    pub fn tokens(mut self, count: u32) -> Share {
        if let Share::Model { tokens, .. } = &mut self {
            *tokens = count;
        }
        self
    }

    /// Adds an adapter.
    #[must_use]
    pub fn adapter(mut self, name: impl Into<String>) -> Share {
        if let Share::Model { adapters, .. } = &mut self {
            adapters.push(name.into());
        }
        self
    }

    /// Sets how often this kind comes, relative to the others.
    #[must_use]
    pub fn with_weight(mut self, relative: u32) -> Share {
        match &mut self {
            Share::Model { weight, .. } | Share::Plain { weight, .. } => *weight = relative,
        }
        self
    }

    /// Returns how often this kind comes, relative to the others.
    pub fn weight(&self) -> u32 {
        match self {
            Share::Model { weight, .. } | Share::Plain { weight, .. } => *weight,
        }
    }
}

/// One call to be made.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Microseconds after the start of the run.
    pub at_us: u64,
    /// Counts from 0.
    pub number: usize,
    /// The client that makes it.
    pub client: u32,
    /// What is asked.
    pub request: Request,
}

/// What a call asks.
#[derive(Clone, Debug)]
pub enum Request {
    /// A completion.
    Model {
        /// The service.
        service: String,
        /// The model, without its adapter.
        model: String,
        /// `base[:adapter]`.
        target: String,
        /// The prompt, unlike that of any other call.
        prompt: String,
        /// Hash that the answer's text must carry.
        hash: u64,
        /// Tokens wanted.
        tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service.
    Plain {
        /// The service.
        service: String,
        /// The path below it.
        path: String,
        /// The idempotency key, also part of the body.
        key: String,
    },
}

/// Plans all calls of a run, in the order in which they start.
pub fn generate(config: &Config) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(config.seed);
    let starts = starts(config, &mut random);
    let plan = starts
        .into_iter()
        .enumerate()
        .map(|(number, at_us)| PlannedCall {
            at_us,
            number,
            client: random.random_range(0..config.clients),
            request: request(config, number, &mut random),
        });
    plan.collect()
}

fn starts(config: &Config, random: &mut StdRng) -> Vec<u64> {
    let end_us = config.duration_ms * US_PER_MS;
    let mut starts = Vec::new();
    let mut at_us = 0;
    while at_us < end_us && starts.len() < config.max_calls {
        match config.arrivals {
            Arrivals::Poisson { per_s } => {
                starts.push(at_us);
                at_us += gap_us(per_s, random);
            }
            Arrivals::Bursts { size, every_ms } => {
                let left = config.max_calls - starts.len();
                let size = left.min(size as usize);
                starts.extend(std::iter::repeat_n(at_us, size));
                at_us += every_ms * US_PER_MS;
            }
        }
    }
    starts
}

/// Draws the exponentially distributed time between two arrivals.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, and the gap is never negative"
)]
fn gap_us(per_s: f64, random: &mut StdRng) -> u64 {
    let uniform: f64 = random.random();
    (-(1.0 - uniform).ln() / per_s * US_PER_S) as u64
}

fn request(config: &Config, number: usize, random: &mut StdRng) -> Request {
    match pick(&config.shares, random) {
        Share::Model {
            service,
            model,
            adapters,
            streamed_percent,
            tokens,
            ..
        } => {
            let stream = random.random_range(0..100) < *streamed_percent;
            let adapter = pick_adapter(adapters, random);
            let prompt = format!("run {} seed {} call {number}", config.run, config.seed);
            let hash = text::hash(model, adapter, &prompt);
            Request::Model {
                service: service.clone(),
                model: model.clone(),
                target: adapter.map_or(model.clone(), |name| format!("{model}:{name}")),
                prompt,
                hash,
                tokens: *tokens,
                stream,
            }
        }
        Share::Plain { service, path, .. } => Request::Plain {
            service: service.clone(),
            path: path.clone(),
            key: format!("{}-{}-{number}", config.run, config.seed),
        },
    }
}

fn pick<'a>(shares: &'a [Share], random: &mut StdRng) -> &'a Share {
    let total: u32 = shares.iter().map(Share::weight).sum();
    let mut left = random.random_range(0..total);
    for share in shares {
        if left < share.weight() {
            return share;
        }
        left -= share.weight();
    }
    // The weights add up to the total, so that the loop has returned.
    &shares[0]
}

fn pick_adapter<'a>(adapters: &'a [String], random: &mut StdRng) -> Option<&'a str> {
    if adapters.is_empty() {
        return None;
    }
    Some(&adapters[random.random_range(0..adapters.len())])
}
