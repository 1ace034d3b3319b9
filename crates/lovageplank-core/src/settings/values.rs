//! Declares each setting: its name, type, default and range.

use crate::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Generates [`Values`], [`Effective`] and [`RANGES`] from one declaration per setting.
macro_rules! settings {
    ($($(#[doc = $doc:literal])+ $name:ident: $type:ty = $default:expr, $range:expr;)+) => {
        record! { data =>
            /// The settings that one level of the tree sets; `None` is inherited from the level
            /// above.
            #[serde(default, deny_unknown_fields)]
            #[derive(Default)]
            pub struct Values {
                $($(#[doc = $doc])+ #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)+
            }
        }

        record! { data =>
            /// The effective settings at one level of the tree, after inheritance.
            pub struct Effective {
                $($(#[doc = $doc])+ pub $name: $type,)+
            }
        }

        impl Default for Effective {
            fn default() -> Effective {
                Effective { $($name: $default,)+ }
            }
        }

        impl Effective {
            /// Overrides the settings that `values` sets.
            pub fn overlay(&mut self, values: &Values) {
                $(if let Some(value) = &values.$name { self.$name = value.clone(); })+
            }
        }

        impl Effective {
            /// The value of a setting by its name; `None` for an unknown name.
            pub fn get(&self, name: &str) -> Option<Value> {
                match name {
                    $(stringify!($name) => Some(json(&self.$name)),)+
                    _ => None,
                }
            }
        }

        impl Values {
            /// The value of a setting by its name; `None` if it is inherited or the name is
            /// unknown.
            pub fn get(&self, name: &str) -> Option<Value> {
                match name {
                    $(stringify!($name) => self.$name.as_ref().map(json),)+
                    _ => None,
                }
            }

            /// Sets a setting by its name; `None` or null for `value` makes it inherited.
            ///
            /// On failure, returns what is expected and changes nothing.
            pub fn set(&mut self, name: &str, value: Option<&Value>) -> Result<(), String> {
                match name {
                    $(stringify!($name) => {
                        self.$name = parse(value, stringify!($type), $range)?;
                        Ok(())
                    })+
                    _ => Err(unknown_name(name, RANGES.iter().map(|range| range.0))),
                }
            }
        }

        /// Name, lowest and highest value of each setting; the range applies to numbers only.
        pub const RANGES: &[(&str, f64, f64)] = &[$((stringify!($name), $range.0, $range.1),)+];
    };
}

const DAY_MS: f64 = 86_400_000.0;

settings! {
    /// Milliseconds within which a request is answered or refused, unless the caller sets less.
    deadline_ms: u64 = 60_000, (1.0, DAY_MS);
    /// Maximum requests queued for one model at one router.
    queue_limit: u32 = 1_000, (0.0, 1e6);
    /// Maximum bytes of request bodies queued for one model at one router.
    queue_bytes: u64 = 16_000_000, (0.0, 1e10);
    /// Maximum requests in progress for a service at one router.
    concurrency_limit: u32 = 2_000, (1.0, 1e6);
    /// Maximum requests per second from one caller to one router.
    caller_rate: f64 = 1_000.0, (0.001, 1e6);
    /// Maximum bytes of a request body.
    body_limit: u64 = 4_000_000, (1.0, 1e9);
    /// Requests that a replica processes in one batch.
    batch_size: u32 = 16, (1.0, 10_000.0);
    /// Minimum replicas that stay loaded, even when idle.
    min_replicas: u32 = 0, (0.0, 1_000.0);
    /// Maximum replicas that are loaded at the same time.
    max_replicas: u32 = 1, (0.0, 1_000.0);
    /// Minimum milliseconds that an idle replica stays loaded.
    keep_alive_min_ms: u64 = 2_000, (0.0, DAY_MS);
    /// Maximum milliseconds that an idle replica stays loaded.
    keep_alive_max_ms: u64 = 1_800_000, (0.0, DAY_MS);
    /// Whether a model may be loaded ahead of a request that is likely to arrive soon.
    load_ahead: bool = true, (0.0, 1.0);
    /// Interval in milliseconds between requests that is assumed until one was observed.
    expected_gap_ms: u64 = 600_000, (1.0, DAY_MS);
    /// Cost of a caller's wait of one second for a load; the cost grows with the square of the
    /// wait.
    cold_start_weight: f64 = 1.0, (0.0, 1e6);
    /// Cost of one idle accelerator second.
    idle_weight: f64 = 1.0, (0.0, 1e6);
    /// Milliseconds that a load from the weight store is assumed to take until one was observed.
    load_ms: u64 = 4_000, (1.0, DAY_MS);
    /// Maximum loads from the weight store that start per second.
    store_loads_per_second: f64 = 4.0, (0.001, 10_000.0);
    /// Loads from the weight store that can run concurrently at full speed.
    store_concurrency: u32 = 4, (1.0, 10_000.0);
    /// Maximum adapter loads from the weight store in flight, over all engines.
    adapter_concurrency: u32 = 32, (1.0, 10_000.0);
    /// Retries that each first attempt adds to a router's retry budget.
    retry_ratio: f64 = 0.2, (0.0, 10.0);
    /// Maximum attempts per request.
    max_attempts: u32 = 3, (1.0, 10.0);
    /// Whether a request may be executed twice.
    idempotent: bool = true, (0.0, 1.0);
    /// Priority from 0 (shed first) to 9.
    priority: u8 = 5, (0.0, 9.0);
    /// Milliseconds for which the outcome of a request with an idempotency key is kept.
    idempotency_ttl_ms: u64 = 86_400_000, (1_000.0, 7.0 * DAY_MS);
    /// Callers that may use the service, model or adapter; `*` for all.
    callers: BTreeSet<Name> = BTreeSet::from(["*".into()]), (0.0, 1.0);
    /// Minimum share of requests that are answered before their deadline.
    objective_answered: f64 = 0.99, (0.0, 1.0);
    /// Maximum share of requests that are refused.
    objective_refused: f64 = 0.01, (0.0, 1.0);
    /// Milliseconds to the first token that 95 in 100 requests must not exceed.
    objective_first_token_ms: u64 = 1_300, (1.0, DAY_MS);
    /// Milliseconds of waiting for a load that 99 in 100 cold starts must not exceed.
    objective_cold_start_ms: u64 = 15_000, (1.0, DAY_MS);
}

/// Converts a value to JSON; this can't fail for numbers, booleans and lists of names.
fn json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

fn parse<T: DeserializeOwned>(
    value: Option<&Value>,
    type_name: &str,
    (low, high): (f64, f64),
) -> Result<Option<T>, String> {
    let Some(value) = value.filter(|v| !v.is_null()) else {
        return Ok(None);
    };
    let parsed = T::deserialize(value).map_err(|_| expected(type_name, low, high))?;
    match value.as_f64() {
        Some(number) if !(low..=high).contains(&number) => Err(expected(type_name, low, high)),
        _ => Ok(Some(parsed)),
    }
}

fn expected(type_name: &str, low: f64, high: f64) -> String {
    match type_name {
        "bool" => "expects true or false".into(),
        "f64" => format!("expects a number from {low} to {high}"),
        "u8" | "u32" | "u64" => format!("expects a whole number from {low} to {high}"),
        _ => "expects a list of names".into(),
    }
}

/// Formats an error for an unknown name, with the nearest known name if it is similar enough.
pub(super) fn unknown_name<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let nearest = known
        .map(|k| (distance(name, k), k))
        .min()
        .filter(|(d, k)| *d <= (k.len() / 3).max(1));
    match nearest {
        Some((_, k)) => format!("unknown name {name:?}; did you mean {k:?}?"),
        None => format!("unknown name {name:?}; remove it or correct it"),
    }
}

/// Levenshtein distance in bytes.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let substituted = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
