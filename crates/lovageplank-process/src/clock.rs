//! The clock by which processes measure time.

use lovageplank_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the instance started, the time in which it was suspended included.
///
/// `std::time::Instant` leaves that time out, so that a leader which wakes would believe that its
/// lease still holds.
pub fn boottime_ms() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}
