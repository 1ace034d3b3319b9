//! Limits the loads from the weight store: how many run concurrently, and how many begin within a
//! window.
//!
//! The limiter assumes that the store runs a few concurrent loads at full speed, and that more of
//! them slow each other down in proportion. How many run at full speed is not known beforehand. It
//! is estimated when a load ends, from the number of loads that ran when that load began: if it was
//! on time, twice as many are allowed; if it was late, its duration shows how many the store
//! sustains.
//!
//! Of loads that begin together, the store may run one at full speed and the next behind it. So one of
//! them that is on time shows nothing until the others have ended too, and one that is overdue counts as
//! late before it ends.
//!
//! Where a load takes longer than any request waits, a load that is slowed down by another gains nobody
//! anything: the store is given one load at a time until some have been on time, one after the other. A load
//! beside those that have been on time together is a *trial*, beside which no other begins. After one that
//! was late there is no other for some minutes.

use super::Limits;
use crate::prelude::*;

/// Concurrent loads that are allowed until a load has ended.
const INITIAL_CONCURRENT_LOADS: usize = 2;
/// Number of the allowed concurrent loads that preloading doesn't use before there are requests, so that
/// a model that the first requests need can be loaded at once. A single load is never reserved.
const RESERVED_LOADS: usize = 1;
/// Part of the concurrent loads that have been on time together that preloading may use while there are
/// requests, one in so many, rounded down. A load takes longer than most requests wait, so that whatever holds the store
/// when a request comes decides whether it is served.
const PRELOAD_DIVISOR: usize = 2;
/// Ratio of the duration of a load to its shortest possible duration, up to which the load is on
/// time.
const LATE_RATIO: f64 = 1.3;
/// Milliseconds that a load may take beyond [`LATE_RATIO`] and still be on time, because reports
/// lag. A load that takes longer lowers the number of concurrent loads.
const LATE_SLACK_MS: f64 = 500.0;
/// Loads, or groups of loads, that have to be on time one after the other before a trial, if a load takes longer than
/// any request waits: a failed trial takes the store from those who have just begun to ask.
const ON_TIME_BEFORE_TRIAL: usize = 2;
/// Milliseconds after a late load in which there is no trial, if a load takes longer than any request waits.
const TRIAL_PAUSE_MS: Millis = 600_000;

/// Limits on loads from the weight store.
///
/// Invariants: `concurrent_load_limit` is between 1 and the configured limit, and `shown_loads` is not
/// above it.
#[derive(Clone, Debug)]
pub(super) struct StoreLimiter {
    limits: Limits,
    /// When the loads of the last window began, newest last.
    recent_starts: Vec<Millis>,
    /// Estimated number of concurrent loads that the store sustains.
    concurrent_load_limit: usize,
    /// Largest number of concurrent loads that have been on time together.
    shown_loads: usize,
    /// Whether a load has ended or was overdue.
    has_evidence: bool,
    /// Whether a load takes longer than any request waits.
    outlasts_requests: bool,
    /// Whether a load is in progress that began beside more than have been on time together.
    has_trial: bool,
    /// Loads, or groups of loads, that have been on time since the limit last changed.
    on_time: usize,
    /// Until when there is no other trial.
    no_trial_before: Millis,
}

impl StoreLimiter {
    pub(super) fn new(limits: Limits) -> StoreLimiter {
        let concurrent_load_limit = INITIAL_CONCURRENT_LOADS
            .min(limits.max_concurrent_loads)
            .max(1);
        StoreLimiter {
            limits,
            recent_starts: Vec::new(),
            concurrent_load_limit,
            shown_loads: 0,
            has_evidence: false,
            outlasts_requests: false,
            has_trial: false,
            on_time: 0,
            no_trial_before: 0,
        }
    }

    /// Records whether a load takes longer than any request waits.
    pub(super) fn set_outlasts_requests(&mut self, outlasts_requests: bool) {
        self.outlasts_requests = outlasts_requests;
        if outlasts_requests && !self.has_evidence {
            self.concurrent_load_limit = 1;
        }
    }

    /// Records the loads in progress, each given as the number of loads when it began, itself included.
    pub(super) fn set_in_progress(&mut self, mut loads: impl Iterator<Item = usize>) {
        let shown_loads = self.shown_loads.max(1);
        self.has_trial = loads.any(|concurrent| concurrent > shown_loads);
    }

    /// Whether another load may begin while `active` are running.
    pub(super) fn can_load(&self, now: Millis, active: usize, loads_per_s: f64) -> bool {
        let window_ms = self.limits.window_ms;
        let recent = self
            .recent_starts
            .iter()
            .filter(|at| now < **at + window_ms);
        // `most` is the number of loads that may begin in a window.
        #[allow(clippy::cast_precision_loss)] // Milliseconds and counts of a few.
        let (recent, most) = (
            recent.count() as f64,
            loads_per_s * window_ms as f64 / 1_000.0,
        );
        recent + 1.0 <= most && !self.is_full(active)
    }

    /// Estimated number of concurrent loads that the store sustains; at least 1.
    pub(super) fn concurrent_loads(&self) -> usize {
        self.concurrent_load_limit
    }

    /// Largest number of concurrent loads that have been on time together; 0 if none has ended.
    pub(super) fn shown_loads(&self) -> usize {
        self.shown_loads
    }

    /// Whether as many loads are running as the store sustains, or a trial of more.
    pub(super) fn is_full(&self, active: usize) -> bool {
        let is_tried = self.outlasts_requests && self.has_trial;
        active >= self.concurrent_load_limit || is_tried
    }

    /// Whether a model that nobody has asked for may be loaded; `has_requests` says whether anybody
    /// asks for any model.
    pub(super) fn can_preload(&self, active: usize, has_requests: bool) -> bool {
        let max_preloads = if has_requests {
            self.shown_loads / PRELOAD_DIVISOR
        } else {
            let unreserved = self.concurrent_load_limit.saturating_sub(RESERVED_LOADS);
            unreserved.max(1)
        };
        active < max_preloads
    }

    /// Records that a load begins, which counts towards the limit of the window.
    pub(super) fn load_started(&mut self, now: Millis) {
        let window_ms = self.limits.window_ms;
        self.recent_starts.retain(|at| now < *at + window_ms);
        self.recent_starts.push(now);
    }

    /// Records that a load ended after `took_ms`. Its shortest possible duration is `min_ms`, and
    /// `concurrent` loads from the store, itself included, ran when it began. `is_last` says that no
    /// other load is in progress that began before it or with it.
    pub(super) fn load_ended(
        &mut self,
        now: Millis,
        took_ms: Millis,
        min_ms: Millis,
        concurrent: usize,
        is_last: bool,
    ) {
        self.has_evidence = true;
        if took_ms > latest_ms(min_ms) {
            self.load_is_late(now, took_ms, min_ms, concurrent);
        } else if is_last {
            self.on_time += 1;
            if self.may_rise(now) {
                let more = (2 * concurrent).min(self.limits.max_concurrent_loads);
                self.concurrent_load_limit = self.concurrent_load_limit.max(more);
                self.on_time = 0;
            }
            let shown_loads = self.shown_loads.max(concurrent);
            self.shown_loads = shown_loads.min(self.concurrent_load_limit);
        }
    }

    /// Whether more loads than before may run together after one that was on time.
    fn may_rise(&self, now: Millis) -> bool {
        let may_try = self.on_time >= ON_TIME_BEFORE_TRIAL && now >= self.no_trial_before;
        !self.outlasts_requests || may_try
    }

    /// Records that a load has been in progress for `took_ms`; see [`StoreLimiter::load_ended`].
    pub(super) fn load_runs(
        &mut self,
        now: Millis,
        took_ms: Millis,
        min_ms: Millis,
        concurrent: usize,
    ) {
        if took_ms > latest_ms(min_ms) {
            self.load_is_late(now, took_ms, min_ms, concurrent);
        }
    }

    fn load_is_late(&mut self, now: Millis, took_ms: Millis, min_ms: Millis, concurrent: usize) {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )] // A few loads, milliseconds of a load.
        let sustained = (concurrent as f64 * min_ms as f64 / took_ms as f64).round() as usize;
        self.has_evidence = true;
        self.no_trial_before = now + TRIAL_PAUSE_MS;
        self.on_time = 0;
        self.concurrent_load_limit = self.concurrent_load_limit.min(sustained.max(1));
        self.shown_loads = self.shown_loads.min(self.concurrent_load_limit);
    }
}

/// Milliseconds that a load may take and still be on time.
fn latest_ms(min_ms: Millis) -> Millis {
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )] // Milliseconds of a load.
    let latest = (LATE_RATIO * min_ms as f64 + LATE_SLACK_MS) as Millis;
    latest
}
