//! The plan of a run: each call and its planned start, determined by the configuration and its
//! seed.

use lovageplank_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Config;
use crate::engine::text;

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

record! { data =>
    /// Distribution of the planned starts.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum Arrivals {
        /// A Poisson process: calls start independently of each other.
        Poisson {
            /// Mean number of calls per second.
            per_s: f64
        },
        /// Bursts of calls that start at the same time.
        Bursts {
            /// Calls per burst.
            size: u32,
            /// Milliseconds between bursts; the first starts with the run.
            every_ms: u64
        },
    }
}

impl Arrivals {
    /// Checks that the rate is finite and positive, or size and interval of bursts are not 0.
    pub(super) fn check(&self) -> Result<(), String> {
        match self {
            Arrivals::Poisson { per_s } if !per_s.is_finite() || *per_s <= 0.0 => Err(format!(
                "per_s: {per_s} isn't a rate; expected a finite number above 0"
            )),
            Arrivals::Bursts { every_ms: 0, .. } => {
                Err("every_ms: the interval between bursts must be above 0".to_owned())
            }
            Arrivals::Bursts { size: 0, .. } => {
                Err("size: a burst must have at least one call".to_owned())
            }
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
            /// The service that is called.
            service: String,
            /// The model.
            model: String,
            /// Adapters, of which each call uses a random one; if empty, calls use no adapter.
            #[serde(default)]
            adapters: Vec<String>,
            /// Percentage of calls that request a streamed answer.
            #[serde(default)]
            streamed_percent: u32,
            /// Number of tokens in an answer.
            #[serde(default = "default_tokens")]
            tokens: u32,
            /// Relative frequency of this kind of call.
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
            /// Relative frequency of this kind of call.
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
    /// Creates completions of a model: not streamed, with 16 tokens and without adapters.
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

    /// Creates calls of a plain service.
    pub fn plain(service: impl Into<String>, path: impl Into<String>) -> Share {
        Share::Plain {
            service: service.into(),
            path: path.into(),
            weight: default_weight(),
        }
    }

    /// Sets the percentage of calls that request a streamed answer, at most 100. Has no effect on
    /// plain calls.
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

    /// Sets the number of tokens in an answer. Has no effect on plain calls.
    #[must_use]
    pub fn tokens(mut self, count: u32) -> Share {
        if let Share::Model { tokens, .. } = &mut self {
            *tokens = count;
        }
        self
    }

    /// Adds an adapter. Has no effect on plain calls.
    #[must_use]
    pub fn adapter(mut self, name: impl Into<String>) -> Share {
        if let Share::Model { adapters, .. } = &mut self {
            adapters.push(name.into());
        }
        self
    }

    /// Sets the relative frequency of this kind of call.
    #[must_use]
    pub fn with_weight(mut self, relative: u32) -> Share {
        match &mut self {
            Share::Model { weight, .. } | Share::Plain { weight, .. } => *weight = relative,
        }
        self
    }

    /// Returns the relative frequency of this kind of call.
    pub fn weight(&self) -> u32 {
        match self {
            Share::Model { weight, .. } | Share::Plain { weight, .. } => *weight,
        }
    }
}

/// One call of the plan.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Planned start, in microseconds after the start of the run.
    pub at_us: u64,
    /// Position in the plan, from 0.
    pub number: usize,
    /// The client that makes the call.
    pub client: u32,
    /// The request to send.
    pub request: Request,
}

/// The request of a call.
#[derive(Clone, Debug)]
pub enum Request {
    /// A completion.
    Model {
        /// The service.
        service: String,
        /// The model, without its adapter.
        model: String,
        /// Value of the field `model` in the request: `model[:adapter]`.
        target: String,
        /// The prompt, which differs from that of any other call.
        prompt: String,
        /// Hash from which the expected answer's text is generated.
        hash: u64,
        /// Number of tokens requested.
        tokens: u32,
        /// Whether a streamed answer is requested.
        stream: bool,
    },
    /// A call of a plain service.
    Plain {
        /// The service.
        service: String,
        /// The path below the service.
        path: String,
        /// The idempotency key, also part of the body.
        key: String,
    },
}

/// Plans all calls of a run, in the order of their planned starts.
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
    // Not reached: the random number is below the sum of the weights.
    &shares[0]
}

fn pick_adapter<'a>(adapters: &'a [String], random: &mut StdRng) -> Option<&'a str> {
    if adapters.is_empty() {
        return None;
    }
    Some(&adapters[random.random_range(0..adapters.len())])
}
