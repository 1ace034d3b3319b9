//! How loads share the store's speed, and how fast they may start.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

/// Milliseconds between looks at how many loads share the speed.
const TICK_MS: u64 = 2;

/// Slowest rate that isn't 0, in starts a second.
pub const MIN_PER_S: f64 = 0.001;

/// Loads that share a speed.
pub struct Lane {
    full_speed: u32,
    in_flight: AtomicU32,
}

/// A place among the loads in flight, until it is dropped.
pub struct Pass<'a>(&'a Lane);

impl Lane {
    /// A lane in which so many loads run at full speed.
    pub fn new(full_speed: u32) -> Lane {
        Lane {
            full_speed,
            in_flight: AtomicU32::new(0),
        }
    }

    /// Adds a load.
    pub fn enter(&self) -> Pass<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Pass(self)
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

impl Pass<'_> {
    /// Works until what takes so long at full speed is done.
    pub async fn work(self, full_speed_ms: u64, slowdown: impl Fn() -> u32) {
        let mut left = Duration::from_millis(full_speed_ms);
        let mut last = Instant::now();
        while !left.is_zero() {
            tokio::time::sleep(Duration::from_millis(TICK_MS).min(left)).await;
            let now = Instant::now();
            let speed = self.0.share() / f64::from(slowdown());
            left = left.saturating_sub((now - last).mul_f64(speed));
            last = now;
        }
    }
}

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A token bucket for the starts of loads.
pub struct Rate {
    /// Time between starts, none if any number may start.
    interval: Option<Duration>,
    /// How far ahead of the rate starts may run.
    burst: Duration,
    /// When the next start would be due if all came at the rate.
    next: Mutex<Instant>,
}

impl Rate {
    /// So many starts a second (0: any number), with so many at once after a pause.
    pub fn new(per_s: f64, burst: u32) -> Rate {
        let interval = (per_s > 0.0).then(|| Duration::from_secs_f64(1.0 / per_s.max(MIN_PER_S)));
        Rate {
            interval,
            burst: interval.unwrap_or_default() * burst.saturating_sub(1),
            next: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the next start is allowed.
    pub async fn start(&self) {
        let Some(interval) = self.interval else {
            return;
        };
        let due = {
            let mut next = self.next.lock().await;
            let due = (*next).max(Instant::now());
            *next = due + interval;
            due
        };
        let allowed = due.checked_sub(self.burst).unwrap_or(due);
        tokio::time::sleep_until(allowed.into()).await;
    }
}
