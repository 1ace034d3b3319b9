//! When a model without a ready replica is expected to have one.

use lovageplank_core::prelude::*;
use lovageplank_core::view::ExpectedReady;

/// What the leader last said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expectation {
    /// No load is possible.
    Never,
    /// At this time: a load is under way or waited for.
    At(Millis),
    /// This many milliseconds after a request asks for it.
    After(u64),
}

impl Expectation {
    /// What an update that came at `now` says.
    pub fn new(now: Millis, expected: &ExpectedReady) -> Expectation {
        match expected.ready_in_ms {
            None => Expectation::Never,
            Some(ms) if expected.waits => Expectation::At(now + ms),
            Some(ms) => Expectation::After(ms),
        }
    }
}
