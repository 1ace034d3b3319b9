//! Pending queues and admission limits.
//!
//! ```
//! use lovageplank_core::admission::{Limit, Queue, QueuedRequest};
//! let mut queue = Queue::default();
//! let limit = Limit { count: 10, bytes: 1_000 };
//! let request = QueuedRequest { id: 1, priority: 5, deadline: 2_000, bytes: 10, arrived: 0 };
//! assert_eq!(queue.admit(0, request, limit, Some(3_000)), Err(lovageplank_core::admission::Refusal::Late));
//! assert_eq!(queue.admit(0, request, limit, Some(1_000)), Ok(None));
//! assert_eq!(queue.pop(1_000), Some(request));
//! ```
//!
//! A request that can't be dispatched at once waits in the queue of its model or service, ordered
//! by priority, highest first, then by arrival. It leaves the queue when it is dispatched, when its
//! caller disconnects, or when it is dropped: because its deadline has passed, because it is not
//! expected to be answered before its deadline, or because a request of higher priority displaces
//! it. Dropping such requests early sustains goodput beyond capacity: the capacity goes to requests
//! that can still be answered in time.

mod limiter;

pub use limiter::{ConcurrencyLimiter, RateLimiter, TokenBucket};

use crate::prelude::*;
use std::cmp::Reverse;
use std::ops::Bound;

record! { copy =>
    /// A request in a pending queue.
    pub struct QueuedRequest {
        /// Unique at the router.
        pub id: u64,
        /// From 0 (shed first) to 9.
        pub priority: u8,
        /// Time by which the caller must have an answer.
        pub deadline: Millis,
        /// Bytes of memory that it uses while it waits.
        pub bytes: u64,
        /// Time of arrival.
        pub arrived: Millis,
    }
}

record! { copy =>
    /// Bounds of a pending queue; beyond either, a request is refused or displaces another.
    pub struct Limit {
        /// Number of waiting requests.
        pub count: u32,
        /// Total bytes of the waiting requests.
        pub bytes: u64,
    }
}

record! { copy =>
    /// Why a request was not admitted to a queue.
    pub enum Refusal {
        /// It is not expected to be answered before its deadline.
        Late,
        /// The queue has no space, and removing one request of lower priority would not make enough.
        Full,
    }
}

/// Weight of a new sample in the moving averages of the service time and its deviation.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the moving average of the interval between starts. It is lower than that
/// of service times because starts come in bursts: while the average dips, too many requests would
/// be admitted.
const START_INTERVAL_SAMPLE_WEIGHT: f64 = 0.02;
/// Mean deviations above the average service time within which most requests are answered.
const LIKELY_DEVIATIONS: f64 = 3.0;
/// Divisor of the expected wait that gives the margin added to it, because the estimate may be too
/// low.
const WAIT_MARGIN_DIVISOR: u64 = 4;
/// Lower bound, in milliseconds, of the cap on a sample of the interval between starts; the cap itself
/// while no service time is known. Longer intervals count as this long.
const MIN_INTERVAL_CAP_MS: u64 = 100;
/// Milliseconds without a start after which an empty queue discards its average interval between
/// starts.
const IDLE_RESET_MS: u64 = 10_000;
/// Fraction of the average service time within which hardly any request is answered.
const MIN_SERVICE_FRACTION: f64 = 0.25;

/// Pending queue of one model or service.
///
/// Invariant: `bytes` is the sum over `waiting`; `order` and `deadlines` hold the same ids.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<u64, QueuedRequest>,
    order: BTreeSet<(Reverse<u8>, Millis, u64)>,
    deadlines: BTreeSet<(Millis, u64)>,
    bytes: u64,
    /// Moving average of the milliseconds between starts while requests were waiting; `None` before
    /// the first sample.
    interval_ms: Option<f64>,
    /// Moving average of the milliseconds from start to answer; 0 before the first sample.
    service_ms: f64,
    /// Moving average of the absolute deviation from `service_ms`.
    deviation_ms: f64,
    last_start: Millis,
    /// Whether the queue has been non-empty ever since the last start.
    waiting_since_last_start: bool,
}

impl Queue {
    /// Admits a request to the queue, or returns why it is refused.
    ///
    /// `ready` is the time at which the first request of the queue can start, if known. If the queue
    /// is full, a request of lower priority may be displaced; it is returned, and the caller of this
    /// function must refuse it.
    pub fn admit(
        &mut self,
        now: Millis,
        request: QueuedRequest,
        limit: Limit,
        ready: Option<Millis>,
    ) -> Result<Option<QueuedRequest>, Refusal> {
        self.reset_idle_interval(now);
        let wait_ms = self.wait_ms(&request);
        let service_ms = if wait_ms > 0 {
            self.likely_service_ms()
        } else {
            self.min_service_ms()
        };
        let start = ready.unwrap_or(now).max(now) + wait_ms + wait_ms / WAIT_MARGIN_DIVISOR;
        if start + service_ms >= request.deadline {
            return Err(Refusal::Late);
        }
        let displaced = self.displace_lower_priority(&request, limit)?;
        self.insert(request);
        Ok(displaced)
    }

    /// Removes and returns the next request to start; call [`Queue::expire`] before.
    pub fn pop(&mut self, now: Millis) -> Option<QueuedRequest> {
        let id = self.order.first()?.2;
        self.start(now, id)
    }

    /// Removes and returns a given request, out of order, to start it.
    pub fn start(&mut self, now: Millis, id: u64) -> Option<QueuedRequest> {
        self.observe_start(now);
        self.remove(id)
    }

    /// Returns a request to the queue that was started but did not run. The limits are not checked,
    /// because it was admitted before.
    pub fn requeue(&mut self, request: QueuedRequest) {
        self.insert(request);
    }

    /// Removes and returns a request, for example because its caller disconnected; `None` if it isn't
    /// in the queue.
    pub fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&id)?;
        self.order.remove(&Self::order_key(&request));
        self.deadlines.remove(&(request.deadline, id));
        self.bytes -= request.bytes;
        if self.waiting.is_empty() {
            self.waiting_since_last_start = false;
        }
        Some(request)
    }

    /// Removes and returns the requests that can no longer be answered in time.
    ///
    /// `ready` is the time at which the first request of the queue can start, if known. While the
    /// expected wait of the last request exceeds the time that most requests take, requests that
    /// would likely be late are removed too: each that starts and is late takes the capacity of one
    /// that would be in time.
    pub fn expire(&mut self, now: Millis, ready: Option<Millis>) -> Vec<QueuedRequest> {
        let service_ms = if self.wait_exceeds_service() {
            self.likely_service_ms()
        } else {
            self.min_service_ms()
        };
        let start = ready.unwrap_or(now).max(now) + service_ms;
        let late: Vec<u64> = self
            .deadlines
            .range(..=(start, u64::MAX))
            .map(|key| key.1)
            .collect();
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes and returns all requests, when waiting has become pointless.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let ids: Vec<u64> = self.order.iter().map(|key| key.2).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Records that a request took `ms` from its start to its answer, or ended without an answer after
    /// `ms`.
    pub fn observe_service(&mut self, ms: u64) {
        let sample = to_f64(ms);
        if self.service_ms == 0.0 {
            self.service_ms = sample;
        }
        let error = sample - self.service_ms;
        self.service_ms += SERVICE_TIME_SAMPLE_WEIGHT * error;
        self.deviation_ms += SERVICE_TIME_SAMPLE_WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// Earliest deadline of the waiting requests.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|key| key.0)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Total bytes of the waiting requests.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Request that starts after `request`, or the first one if `request` is `None`.
    pub fn next_after(&self, request: Option<&QueuedRequest>) -> Option<QueuedRequest> {
        let after = request.map_or(Bound::Unbounded, |t| Bound::Excluded(Self::order_key(t)));
        let key = self.order.range((after, Bound::Unbounded)).next()?;
        self.waiting.get(&key.2).copied()
    }

    /// Waiting requests in the order in which they start.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.order.iter().filter_map(|key| self.waiting.get(&key.2))
    }

    /// Expected milliseconds that a request arriving now waits for the requests ahead of it; 0 while
    /// no interval between starts is known.
    pub fn wait_ms(&self, request: &QueuedRequest) -> u64 {
        let Some(interval) = self.interval_ms else {
            return 0;
        };
        let lower = (Reverse(request.priority), Millis::MAX, u64::MAX);
        let ahead = if self
            .order
            .last()
            .is_none_or(|last| last.0 <= Reverse(request.priority))
        {
            self.order.len()
        } else {
            self.order.range(..=lower).count()
        };
        to_millis(interval * to_f64(ahead as u64))
    }

    /// Milliseconds within which most requests are answered.
    fn likely_service_ms(&self) -> u64 {
        to_millis(self.service_ms + LIKELY_DEVIATIONS * self.deviation_ms)
    }

    /// Milliseconds within which hardly any request is answered.
    fn min_service_ms(&self) -> u64 {
        to_millis(self.service_ms * MIN_SERVICE_FRACTION)
    }

    /// Whether the expected wait of the last request exceeds the time within which most requests are
    /// answered.
    fn wait_exceeds_service(&self) -> bool {
        let interval = self.interval_ms.unwrap_or(0.0);
        interval * to_f64(self.waiting.len() as u64) > to_f64(self.likely_service_ms())
    }

    fn observe_start(&mut self, now: Millis) {
        if self.waiting_since_last_start {
            // With a capacity of one request the interval is the service time; a longer interval
            // comes from an outage and is capped.
            let max_sample_ms = self.likely_service_ms().max(MIN_INTERVAL_CAP_MS);
            let sample = to_f64(now.saturating_sub(self.last_start).min(max_sample_ms));
            let average = self.interval_ms.unwrap_or(sample);
            self.interval_ms = Some(average + START_INTERVAL_SAMPLE_WEIGHT * (sample - average));
        }
        self.waiting_since_last_start = true;
        self.last_start = now;
    }

    /// Discards the average interval between starts if the queue is empty and the last start was more
    /// than [`IDLE_RESET_MS`] ago.
    fn reset_idle_interval(&mut self, now: Millis) {
        if self.waiting.is_empty() && now.saturating_sub(self.last_start) > IDLE_RESET_MS {
            self.interval_ms = None;
        }
    }

    /// Makes space for a request by removing at most one of lower priority, which is returned.
    fn displace_lower_priority(
        &mut self,
        request: &QueuedRequest,
        limit: Limit,
    ) -> Result<Option<QueuedRequest>, Refusal> {
        let fits = |count: usize, bytes: u64| {
            count < limit.count as usize && bytes + request.bytes <= limit.bytes
        };
        if fits(self.waiting.len(), self.bytes) {
            return Ok(None);
        }
        let last = self.order.last().and_then(|key| self.waiting.get(&key.2));
        let Some(last) = last.copied() else {
            return Err(Refusal::Full);
        };
        if last.priority >= request.priority
            || !fits(self.waiting.len() - 1, self.bytes - last.bytes)
        {
            return Err(Refusal::Full);
        }
        Ok(self.remove(last.id))
    }

    fn insert(&mut self, request: QueuedRequest) {
        self.bytes += request.bytes;
        self.order.insert(Self::order_key(&request));
        self.deadlines.insert((request.deadline, request.id));
        self.waiting.insert(request.id, request);
    }

    fn order_key(request: &QueuedRequest) -> (Reverse<u8>, Millis, u64) {
        (Reverse(request.priority), request.arrived, request.id)
    }
}

#[allow(clippy::cast_precision_loss)] // Times and counts stay far below 2^52.
fn to_f64(value: u64) -> f64 {
    value as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Averages of times are positive.
fn to_millis(value: f64) -> u64 {
    value.round() as u64
}
