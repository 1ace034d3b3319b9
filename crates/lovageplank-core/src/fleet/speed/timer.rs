//! Measures the time between the events of a stream.

use crate::prelude::*;

/// Events after which a time between them is measured.
const EVENTS: u32 = 16;
/// Milliseconds that a measurement spans at least, since the clock counts milliseconds.
const SPAN_MS_MIN: Millis = 200;
/// Longest time between two events on average, in milliseconds, that a stream of an engine may have. A longer one says
/// something of its content, not of its server.
const INTERVAL_MS_MAX: f64 = 2_000.0;

/// Measures how fast one server's part of a stream arrives.
#[derive(Clone, Debug, Default)]
pub struct Timer {
    /// When the event arrived from which the measurement begins.
    since: Option<Millis>,
    events: u32,
}

impl Timer {
    /// Records that some events arrived together. Returns the milliseconds between two events once enough
    /// have arrived, and begins anew.
    pub fn arrived(&mut self, now: Millis, events: u32) -> Option<f64> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events = self.events.saturating_add(events);
        let span_ms = now.saturating_sub(since);
        if self.events < EVENTS || span_ms < SPAN_MS_MIN {
            return None;
        }
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a stream.
        let interval_ms = span_ms as f64 / f64::from(self.events);
        self.since = Some(now);
        self.events = 0;
        (interval_ms <= INTERVAL_MS_MAX).then_some(interval_ms)
    }

    /// Discards the measurement in progress: the stream wasn't read for a while because its caller reads slowly.
    pub fn interrupted(&mut self) {
        *self = Timer::default();
    }
}
