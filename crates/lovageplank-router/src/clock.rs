//! The process's clock, in milliseconds since its creation.

use lovageplank_core::prelude::Millis;
use std::time::{Duration, Instant};

/// A monotonic clock; copies share their origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Milliseconds since the start.
    pub fn now(self) -> Millis {
        Millis::try_from(self.0.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Converts a time of this clock to an instant.
    pub fn at(self, time: Millis) -> tokio::time::Instant {
        (self.0 + Duration::from_millis(time)).into()
    }
}
