//! When a model without a ready replica is expected to have one.

use lovageplank_core::prelude::*;
use lovageplank_core::view::ExpectedReady;

/// The leader's last estimate for a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expectation {
    /// No load is possible.
    Never,
    /// At this time: a load is in progress or requests wait for one.
    At(Millis),
    /// This many milliseconds after a request for the model arrives.
    After(u64),
}

impl Expectation {
    /// The estimate of an update that arrived at `now`.
    pub fn new(now: Millis, expected: &ExpectedReady) -> Expectation {
        match expected.ready_in_ms {
            None => Expectation::Never,
            Some(ms) if expected.waits => Expectation::At(now + ms),
            Some(ms) => Expectation::After(ms),
        }
    }
}
