//! Clock for leases, deadlines and timeouts.

use lovageplank_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine booted, including the time for which it was suspended.
///
/// `std::time::Instant` leaves that time out, so a leader that resumes after a suspension would
/// treat an expired lease as valid.
pub fn boottime_ms() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}
