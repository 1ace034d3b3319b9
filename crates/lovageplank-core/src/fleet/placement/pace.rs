//! How many loads may begin at a time.
//!
//! The leader tells each router of each load that begins. A new leader finds the demand of seconds: if it
//! began a load at each of hundreds of engines at once, what it has to tell hundreds of routers would fill
//! its link, and keep back the messages by which it stays the leader.

use crate::prelude::*;

/// Messages per second to routers about loads that begin: loads times routers.
const MESSAGES_PER_S: f64 = 36_000.0;
/// Milliseconds of that rate that may be used at once.
const BURST_MS: f64 = 200.0;

/// The messages that may be sent now.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    /// Below 0 if a single load takes more than a burst.
    messages: f64,
    at: Millis,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            messages: MESSAGES_PER_S * BURST_MS / 1_000.0,
            at: 0,
        }
    }
}

impl Pace {
    /// Takes the messages to this many routers about one load. If there are none left, returns the
    /// milliseconds until the load may begin.
    pub(super) fn take(&mut self, now: Millis, routers: usize) -> Result<(), Millis> {
        match self.wait_ms(now) {
            0 => {
                #[allow(clippy::cast_precision_loss)] // Some hundred routers.
                let needed = routers as f64;
                self.messages -= needed;
                Ok(())
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Milliseconds until the next load may begin; 0 if it may now.
    pub(super) fn wait_ms(&mut self, now: Millis) -> Millis {
        #[allow(clippy::cast_precision_loss)] // Some seconds.
        let passed_ms = now.saturating_sub(self.at) as f64;
        let most = MESSAGES_PER_S * BURST_MS / 1_000.0;
        self.messages = (self.messages + MESSAGES_PER_S * passed_ms / 1_000.0).min(most);
        self.at = now;
        if self.messages <= 0.0 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Above 0.
            let wait_ms = (-self.messages * 1_000.0 / MESSAGES_PER_S).ceil() as Millis;
            return wait_ms.max(1);
        }
        0
    }
}
