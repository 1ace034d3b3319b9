//! Times of the membership table.

use crate::prelude::*;

/// Times of the membership table, all in milliseconds.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::struct_field_names, reason = "the unit belongs to the name")]
pub struct Config {
    pub(super) lease_ms: Millis,
    pub(super) suspicion_ms: Millis,
    pub(super) hold_down_ms: Millis,
    pub(super) max_hold_down_ms: Millis,
    pub(super) flap_window_ms: Millis,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            lease_ms: 3_000,
            suspicion_ms: 5_000,
            hold_down_ms: 2_000,
            max_hold_down_ms: 60_000,
            flap_window_ms: 300_000,
        }
    }
}

impl Config {
    /// Sets the time without an announcement or heartbeat after which a member is removed.
    #[must_use]
    pub fn lease_ms(mut self, lease_ms: Millis) -> Config {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets the time after which an observer's suspicion expires.
    #[must_use]
    pub fn suspicion_ms(mut self, suspicion_ms: Millis) -> Config {
        self.suspicion_ms = suspicion_ms;
        self
    }

    /// Sets how long a member is held down after its second loss; doubles with each further loss.
    #[must_use]
    pub fn hold_down_ms(mut self, hold_down_ms: Millis) -> Config {
        self.hold_down_ms = hold_down_ms;
        self
    }

    /// Sets the longest time that a member is held down.
    #[must_use]
    pub fn max_hold_down_ms(mut self, max_hold_down_ms: Millis) -> Config {
        self.max_hold_down_ms = max_hold_down_ms;
        self
    }

    /// Sets the time without a removal after which a member's earlier losses no longer count.
    #[must_use]
    pub fn flap_window_ms(mut self, flap_window_ms: Millis) -> Config {
        self.flap_window_ms = flap_window_ms;
        self
    }
}
