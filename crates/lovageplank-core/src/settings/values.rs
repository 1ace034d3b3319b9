//! The settings themselves: name, type, default and range of each, declared once.

use crate::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Declares every setting once: its place in [`Values`], its effective value and its default.
macro_rules! settings {
    ($($(#[doc = $doc:literal])+ $name:ident: $type:ty = $default:expr, $range:expr;)+) => {
        record! { data =>
            /// Settings as one level names them; what is absent is inherited.
            #[serde(default, deny_unknown_fields)]
            #[derive(Default)]
            pub struct Values {
                $($(#[doc = $doc])+ #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)+
            }
        }

        record! { data =>
            /// Settings in force at one place of the tree.
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
            /// Overrides what `values` names.
            pub fn overlay(&mut self, values: &Values) {
                $(if let Some(value) = &values.$name { self.$name = value.clone(); })+
            }
        }

        impl Effective {
            /// The value of a setting by its name.
            pub fn get(&self, name: &str) -> Option<Value> {
                match name {
                    $(stringify!($name) => Some(json(&self.$name)),)+
                    _ => None,
                }
            }
        }

        impl Values {
            /// The value of a setting by its name; `None` where it is inherited.
            pub fn get(&self, name: &str) -> Option<Value> {
                match name {
                    $(stringify!($name) => self.$name.as_ref().map(json),)+
                    _ => None,
                }
            }

            /// Sets a setting by its name, or inherits it again where `value` is `None`.
            ///
            /// The error says what would be right; nothing is changed then.
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

        /// Name, lowest and highest value of each setting.
        pub const RANGES: &[(&str, f64, f64)] = &[$((stringify!($name), $range.0, $range.1),)+];
    };
}

const DAY_MS: f64 = 86_400_000.0;

settings! {
    /// Milliseconds within which a request is answered or refused, unless the caller asks for less.
    deadline_ms: u64 = 60_000, (1.0, DAY_MS);
    /// Requests that may wait for one model at one router.
    queue_limit: u32 = 1_000, (0.0, 1e6);
    /// Bytes of bodies that may wait for one model at one router.
    queue_bytes: u64 = 16_000_000, (0.0, 1e10);
    /// Requests in progress for a service at one router.
    concurrency_limit: u32 = 2_000, (1.0, 1e6);
    /// Requests per second that one caller may send to one router.
    caller_rate: f64 = 1_000.0, (0.001, 1e6);
    /// Bytes of a request's body.
    body_limit: u64 = 4_000_000, (1.0, 1e9);
    /// Requests that a replica batches at once.
    batch_size: u32 = 16, (1.0, 10_000.0);
    /// Replicas kept loaded even when idle.
    min_replicas: u32 = 0, (0.0, 1_000.0);
    /// Replicas that may be loaded at once.
    max_replicas: u32 = 1, (0.0, 1_000.0);
    /// Milliseconds that an idle replica stays loaded at least.
    keep_alive_min_ms: u64 = 2_000, (0.0, DAY_MS);
    /// Milliseconds that an idle replica stays loaded at most.
    keep_alive_max_ms: u64 = 1_800_000, (0.0, DAY_MS);
    /// Whether a model may be loaded before anybody asks, ahead of a likely wake.
    load_ahead: bool = true, (0.0, 1.0);
    /// Gap in milliseconds between requests that is assumed before any was seen.
    expected_gap_ms: u64 = 600_000, (1.0, DAY_MS);
    /// What a caller's wait of one second for a load costs; it grows with the square of the wait.
    cold_start_weight: f64 = 1.0, (0.0, 1e6);
    /// What one idle accelerator second costs.
    idle_weight: f64 = 1.0, (0.0, 1e6);
    /// Milliseconds that a load from the weight store is assumed to take before any was seen.
    load_ms: u64 = 4_000, (1.0, DAY_MS);
    /// Loads that the weight store starts per second.
    store_loads_per_second: f64 = 4.0, (0.001, 10_000.0);
    /// Loads from the weight store at once at full speed.
    store_concurrency: u32 = 4, (1.0, 10_000.0);
    /// Adapter loads in flight from the weight store over all engines.
    adapter_concurrency: u32 = 32, (1.0, 10_000.0);
    /// Retries per first attempt that a router may spend.
    retry_ratio: f64 = 0.2, (0.0, 10.0);
    /// Attempts per request at the most.
    max_attempts: u32 = 3, (1.0, 10.0);
    /// Whether requests may be run twice.
    idempotent: bool = true, (0.0, 1.0);
    /// Priority from 0 (shed first) to 9.
    priority: u8 = 5, (0.0, 9.0);
    /// Milliseconds that the outcome of a keyed request is kept.
    idempotency_ttl_ms: u64 = 86_400_000, (1_000.0, 7.0 * DAY_MS);
    /// Callers that may use it; `*` for all.
    callers: BTreeSet<Name> = BTreeSet::from(["*".into()]), (0.0, 1.0);
    /// Share of requests that must be answered in time.
    objective_answered: f64 = 0.99, (0.0, 1.0);
    /// Share of requests that may be refused.
    objective_refused: f64 = 0.01, (0.0, 1.0);
    /// Milliseconds to the first token that 95 in 100 must meet.
    objective_first_token_ms: u64 = 1_300, (1.0, DAY_MS);
    /// Milliseconds of cold start that 99 in 100 must meet.
    objective_cold_start_ms: u64 = 15_000, (1.0, DAY_MS);
}

/// A value as JSON; settings are numbers, booleans and lists of names, which all have a form.
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

/// Says that a name is unknown, and which known name is nearest if one is near.
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
