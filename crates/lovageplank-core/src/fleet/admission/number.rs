//! Conversions between integers and the real numbers that estimates are made with.

use crate::prelude::*;
use std::time::Duration;

/// A number of milliseconds as a real number; very large ones are cut off.
pub(super) fn real(ms: u64) -> f64 {
    f64::from(u32::try_from(ms).unwrap_or(u32::MAX))
}

/// A real number of milliseconds as an integer; a negative or invalid one is 0.
pub(super) fn millis(ms: f64) -> Millis {
    let time = Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A number from 0 to below 1 for a random integer.
pub(super) fn unit(random: u64) -> f64 {
    let high = u32::try_from(random >> 32).unwrap_or_default();
    f64::from(high) / (f64::from(u32::MAX) + 1.0)
}
