//! How loads share the store's speed, and how fast they may start.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

/// Milliseconds between looks at how many loads share the speed.
const POLL_INTERVAL_MS: u64 = 2;

/// Slowest rate that isn't 0, in starts a second.
pub const MIN_STARTS_PER_S: f64 = 0.001;

/// Loads that share a speed.
pub struct SharedBandwidth {
    full_speed: u32,
    in_flight: AtomicU32,
}

/// A place among the loads in flight, until it is dropped.
pub struct Transfer<'a>(&'a SharedBandwidth);

impl SharedBandwidth {
    /// A lane in which so many loads run at full speed.
    pub fn new(full_speed: u32) -> SharedBandwidth {
        SharedBandwidth {
            full_speed,
            in_flight: AtomicU32::new(0),
        }
    }

    /// Adds a load.
    pub fn start(&self) -> Transfer<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Transfer(self)
    }

    /// Returns how many loads are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns each load's share of full speed, from 0 to 1.
    fn share(&self) -> f64 {
        let limit = f64::from(self.full_speed);
        limit / f64::from(self.in_flight()).max(limit)
    }
}

impl Transfer<'_> {
    /// Works until what takes so long at full speed is done.
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

/// A token bucket for the starts of loads.
pub struct RateLimiter {
    /// Time between starts, none if any number may start.
    interval: Option<Duration>,
    /// How far ahead of the rate starts may run.
    burst: Duration,
    /// When the next start would be due if all came at the rate.
    next_due: Mutex<Instant>,
}

impl RateLimiter {
    /// So many starts a second (0: any number), with so many at once after a pause.
    pub fn new(per_s: f64, burst: u32) -> RateLimiter {
        let interval =
            (per_s > 0.0).then(|| Duration::from_secs_f64(1.0 / per_s.max(MIN_STARTS_PER_S)));
        RateLimiter {
            interval,
            burst: interval.unwrap_or_default() * burst.saturating_sub(1),
            next_due: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the next start is allowed.
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
