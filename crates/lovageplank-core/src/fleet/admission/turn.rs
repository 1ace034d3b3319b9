//! The turn of one request, and when its caller may return if it is refused.

use super::HOPELESS_FACTOR;
use super::level::Level;
use super::number::{millis, unit};

/// Least milliseconds after which a caller is asked to return.
const RETURN_MIN_MS: f64 = 40.0;
/// Part of the time that is left after which callers return at the latest. They don't honour a later time than a third,
/// less what the answer takes on its way.
const RETURN_PART: f64 = 0.3;
/// Part of a time to return by which it is spread at random, so that refused callers don't return together.
const RETURN_SPREAD: f64 = 0.5;

/// A request's turn: its place in the queue if it waits.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    /// Bytes of its body.
    pub(super) bytes: usize,
    pub(super) ticket: Option<u64>,
    /// What was found at the last decision.
    pub(super) outlook: Option<Outlook>,
}

/// What a request that found no room was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// How urgent it is here.
    pub level: Level,
    /// Whether requests of its rank come first because they are served too seldom.
    pub is_starved: bool,
    /// Requests ahead of it.
    pub ahead: usize,
    /// Milliseconds until room is expected for it.
    pub expected_ms: u64,
}

impl Turn {
    /// Returns the turn of a request that doesn't wait, with the bytes of its body.
    pub fn new(bytes: usize) -> Turn {
        Turn {
            bytes,
            ..Turn::default()
        }
    }

    /// Returns the number of the request in the queue, while it waits there.
    pub fn ticket(&self) -> Option<u64> {
        self.ticket
    }

    /// Returns what was found when the request last had no room.
    pub fn outlook(&self) -> Option<Outlook> {
        self.outlook
    }
}

/// Milliseconds after which a refused caller may return: when room is expected, but early enough for another attempt,
/// unless there is no hope of that.
pub(super) fn return_ms(expected_ms: f64, left_ms: f64, random: u64) -> u64 {
    let spread = 1.0 - RETURN_SPREAD * unit(random);
    let latest_ms = left_ms * RETURN_PART;
    let at_ms = if expected_ms > HOPELESS_FACTOR * left_ms {
        expected_ms
    } else {
        (expected_ms / (1.0 - RETURN_SPREAD / 2.0)).min(latest_ms)
    };
    millis((at_ms * spread).max(RETURN_MIN_MS))
}
