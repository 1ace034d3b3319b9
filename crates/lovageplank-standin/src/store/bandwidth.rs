//! The bandwidth that concurrent loads share, and the rate limit of their starts.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

/// Interval in milliseconds at which a load recalculates its speed; a change in the number of
/// concurrent loads takes effect within it.
const POLL_INTERVAL_MS: u64 = 2;

/// Lowest rate limit above 0, in starts per second; lower ones are raised to it.
pub const MIN_STARTS_PER_S: f64 = 0.001;

/// Bandwidth that is shared equally by the loads in flight.
pub struct SharedBandwidth {
    full_speed: u32,
    in_flight: AtomicU32,
}

/// A load in flight, until it is dropped.
pub struct Transfer<'a>(&'a SharedBandwidth);

impl SharedBandwidth {
    /// Creates a bandwidth that suffices for `full_speed` concurrent loads at full speed.
    pub fn new(full_speed: u32) -> SharedBandwidth {
        SharedBandwidth {
            full_speed,
            in_flight: AtomicU32::new(0),
        }
    }

    /// Starts a load.
    pub fn start(&self) -> Transfer<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Transfer(self)
    }

    /// Returns the number of loads in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the current speed of each load, as a fraction of full speed.
    fn share(&self) -> f64 {
        let limit = f64::from(self.full_speed);
        limit / f64::from(self.in_flight()).max(limit)
    }
}

impl Transfer<'_> {
    /// Waits until a load that takes `full_speed_ms` milliseconds at full speed is complete, at its
    /// share of the bandwidth divided by the current `slowdown`.
    pub async fn run(self, full_speed_ms: u64, slowdown: impl Fn() -> u32) {
        let mut remaining = Duration::from_millis(full_speed_ms);
        let mut last_update = Instant::now();
        while !remaining.is_zero() {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS).min(remaining)).await;
            let now = Instant::now();
            let speed = self.0.share() / f64::from(slowdown());
            remaining = remaining.saturating_sub((now - last_update).mul_f64(speed));
            last_update = now;
        }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A token bucket that limits the rate at which loads start.
pub struct RateLimiter {
    /// Time between starts; `None` means no limit.
    interval: Option<Duration>,
    /// How far ahead of their time at the configured rate loads may start.
    burst: Duration,
    /// When the next start would be due without a burst.
    next_due: Mutex<Instant>,
}

impl RateLimiter {
    /// Creates a limit of `per_s` starts per second (0: no limit), of which `burst` may come at
    /// once after a pause.
    pub fn new(per_s: f64, burst: u32) -> RateLimiter {
        let interval =
            (per_s > 0.0).then(|| Duration::from_secs_f64(1.0 / per_s.max(MIN_STARTS_PER_S)));
        RateLimiter {
            interval,
            burst: interval.unwrap_or_default() * burst.saturating_sub(1),
            next_due: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the rate limit allows the next start.
    pub async fn acquire(&self) {
        let Some(interval) = self.interval else {
            return;
        };
        let due = {
            let mut next_due = self.next_due.lock().await;
            let due = (*next_due).max(Instant::now());
            *next_due = due + interval;
            due
        };
        let allowed = due.checked_sub(self.burst).unwrap_or(due);
        tokio::time::sleep_until(allowed.into()).await;
    }
}
