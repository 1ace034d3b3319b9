//! A router's record of one backend server: lifecycle state, load estimate and health.

use crate::backend::{ServerReport, State};
use crate::prelude::*;
use crate::view::{Backend, ServerLoad};

/// Half-life, in milliseconds, of a load from the server's own regular reports: an outdated report
/// counts for half as much after each such period.
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Half-life, in milliseconds, of a load from an update. It is longer than that of a report because
/// an update repeats a load only after a large change, so an old one may still hold.
const UPDATE_HALF_LIFE_MS: f64 = 30_000.0;
/// Milliseconds for which a server gets no requests after a failed attempt; doubles with each
/// consecutive failure.
const MIN_SUSPICION_MS: u64 = 250;
/// Upper bound, in milliseconds, of the time without requests after a failed attempt.
const MAX_SUSPICION_MS: u64 = 4_000;
/// Milliseconds after a suspicion over which a server's share of requests grows back to normal.
const RECOVERY_MS: f64 = 5_000.0;
/// Lower bound of the weight of a server that is slow or recovers from a suspicion.
const MIN_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the moving average of a server's slowness.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.2;
/// Upper bound of one slowness sample, so that a single straggler doesn't dominate the average.
const MAX_SLOWNESS_SAMPLE: f64 = 10.0;
/// Slowness up to which a server keeps its full weight.
const SLOWNESS_THRESHOLD: f64 = 1.5;
/// Half-life, in milliseconds, of a server's slowness above or below the average, so that a slow
/// server regains its weight even without new samples.
const SLOWNESS_HALF_LIFE_MS: f64 = 10_000.0;

record! { copy =>
    /// How an attempt ended, as evidence of the server's health.
    pub enum ServerOutcome {
        /// The server answered.
        Answered {
            /// Milliseconds to the first byte of the answer.
            ms: u64,
        },
        /// The connection was refused or broke, or the server sent nothing until a timeout.
        Failed,
        /// The server refused the request because it can't serve the model now.
        Denied,
        /// The server refused the request because the adapter isn't loaded.
        AdapterDenied,
        /// The caller disconnected, or the attempt was abandoned for a reason outside the server.
        Abandoned,
    }
}

/// A backend server with the router's estimate of its load and health.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub id: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// `ip:port`; empty while the server is unknown.
    pub address: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Whether it takes new work.
    pub state: State,
    /// Whether this incarnation is leaving; only a new incarnation takes work again.
    leaving: bool,
    /// Attempts of this router that have not ended.
    in_flight: u32,
    /// Own attempts started minus own attempts ended since the last reported load.
    net_dispatches: i64,
    /// Requests running or queued at `reported_at`.
    reported: f64,
    reported_at: Millis,
    /// Half-life of `reported`.
    half_life_ms: f64,
    report_sequence: u64,
    /// Failed attempts since the last answer.
    failures: u32,
    suspected_until: Millis,
    /// Moving average, at `slowness_at`, of the service time as a multiple of the model's average.
    slowness: f64,
    slowness_at: Millis,
    /// Sequence of the last cache event; 0 before the first.
    cache_sequence: u64,
    gaps: u32,
}

impl Server {
    /// Creates the record of a server that no update has described yet.
    pub(super) fn unknown(id: Name) -> Server {
        Server {
            id,
            incarnation: 0,
            address: "".into(),
            domain: "".into(),
            state: State::Leaving,
            leaving: false,
            in_flight: 0,
            net_dispatches: 0,
            reported: 0.0,
            reported_at: 0,
            half_life_ms: REPORT_HALF_LIFE_MS,
            report_sequence: 0,
            failures: 0,
            suspected_until: 0,
            slowness: 1.0,
            slowness_at: 0,
            cache_sequence: 0,
            gaps: 0,
        }
    }

    /// Whether updates have described the server and not removed it since.
    pub fn is_known(&self) -> bool {
        !self.address.is_empty()
    }

    /// Records that an update removed the server; observations are kept.
    pub(super) fn remove(&mut self) {
        self.address = "".into();
        self.state = State::Leaving;
    }

    /// Applies the server's description in an update; returns whether it is another incarnation, for
    /// which all observations but the attempts in flight are reset.
    pub(super) fn apply_backend(&mut self, now: Millis, backend: &Backend) -> bool {
        let restarted = backend.incarnation != self.incarnation;
        if restarted {
            let in_flight = self.in_flight;
            *self = Server::unknown(self.id.clone());
            self.in_flight = in_flight;
            self.reported_at = now;
        }
        self.incarnation = backend.incarnation;
        self.address = backend.address.clone();
        self.domain = backend.failure_domain.clone();
        self.leaving |= backend.state == State::Leaving;
        self.state = if self.leaving {
            State::Leaving
        } else {
            State::Ready
        };
        restarted
    }

    /// Records that an incarnation is leaving; ignored for another incarnation.
    pub(super) fn mark_leaving(&mut self, incarnation: u64) {
        if self.incarnation == incarnation {
            self.leaving = true;
            self.state = State::Leaving;
        }
    }

    /// Applies a load report; returns false and changes nothing for one of another incarnation or one
    /// that is not newer than the last.
    pub(super) fn apply_report(&mut self, now: Millis, report: &ServerReport) -> bool {
        if report.incarnation != self.incarnation || report.sequence <= self.report_sequence {
            return false;
        }
        self.report_sequence = report.sequence;
        self.reported = f64::from(report.running) + f64::from(report.queued);
        self.reported_at = now.saturating_sub(report.age_ms);
        self.half_life_ms = REPORT_HALF_LIFE_MS;
        self.net_dispatches = 0;
        true
    }

    /// Applies a load from an update.
    pub(super) fn set_load(&mut self, now: Millis, load: ServerLoad) {
        self.reported = f64::from(load.running) + f64::from(load.queued);
        self.reported_at = now;
        self.half_life_ms = UPDATE_HALF_LIFE_MS;
        self.net_dispatches = 0;
    }

    /// Records the sequence of a cache event and counts a gap before it; returns false for an event
    /// that is not newer than the last.
    pub(super) fn record_cache_event(&mut self, sequence: u64) -> bool {
        if sequence <= self.cache_sequence {
            return false;
        }
        if self.cache_sequence != 0 && sequence != self.cache_sequence + 1 {
            self.gaps += 1;
        }
        self.cache_sequence = sequence;
        true
    }

    /// Gaps in the sequence of this incarnation's cache events.
    pub(super) fn gaps(&self) -> u32 {
        self.gaps
    }

    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1;
        self.net_dispatches += 1;
    }

    pub(super) fn attempt_ended(&mut self, now: Millis, outcome: ServerOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.net_dispatches -= 1;
        match outcome {
            ServerOutcome::Answered { .. } => self.failures = 0,
            ServerOutcome::Failed => self.suspect(now),
            ServerOutcome::Denied | ServerOutcome::AdapterDenied | ServerOutcome::Abandoned => {}
        }
    }

    fn suspect(&mut self, now: Millis) {
        let ms = MIN_SUSPICION_MS << self.failures.min(8);
        self.failures += 1;
        self.suspected_until = now + ms.min(MAX_SUSPICION_MS);
    }

    /// Adds a service time to the slowness average; `ratio` is its multiple of the model's average.
    pub(super) fn record_slowness(&mut self, now: Millis, ratio: f64) {
        let current = self.slowness(now);
        self.slowness =
            current + SLOWNESS_SAMPLE_WEIGHT * (ratio.min(MAX_SLOWNESS_SAMPLE) - current);
        self.slowness_at = now;
    }

    /// Slowness at `now`: decays towards 1, the average, without new samples.
    fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0)
            * remaining_fraction(now, self.slowness_at, SLOWNESS_HALF_LIFE_MS)
    }

    /// Whether the server gets no requests because an attempt failed recently.
    pub fn is_suspected(&self, now: Millis) -> bool {
        now < self.suspected_until
    }

    /// Time at which the last reported load was measured.
    pub(super) fn reported_at(&self) -> Millis {
        self.reported_at
    }

    /// Attempts of this router that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Estimated number of requests running or queued at the server.
    pub fn load(&self, now: Millis) -> f64 {
        let aged = self.reported * remaining_fraction(now, self.reported_at, self.half_life_ms);
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let estimate = aged + self.net_dispatches as f64;
        estimate.max(f64::from(self.in_flight))
    }

    /// Share of a normal server's requests that the server should get, from `MIN_WEIGHT` to 1.
    pub fn weight(&self, now: Millis) -> f64 {
        let slowness = self.slowness(now);
        let slow = if slowness > SLOWNESS_THRESHOLD {
            SLOWNESS_THRESHOLD / slowness
        } else {
            1.0
        };
        (slow * self.recovery_share(now)).max(MIN_WEIGHT)
    }

    /// Share of the normal requests after a suspicion; grows linearly from `MIN_WEIGHT` to 1.
    #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
    fn recovery_share(&self, now: Millis) -> f64 {
        if self.suspected_until == 0 {
            return 1.0;
        }
        let elapsed = now.saturating_sub(self.suspected_until) as f64;
        (MIN_WEIGHT + (1.0 - MIN_WEIGHT) * elapsed / RECOVERY_MS).min(1.0)
    }

    /// Whether the server can take one more request of this router.
    ///
    /// It can while its estimated load is below `load_limit`, or this router has fewer than
    /// `router_share` requests in flight there. Both limits are reduced, to no less than 1, while the
    /// server recovers from a suspicion. The router's share applies at any load because load reports
    /// are late: if every router waited for a report that an overload is over, the server would be
    /// idle until then.
    pub(super) fn has_capacity(&self, now: Millis, load_limit: u32, router_share: u32) -> bool {
        if load_limit == u32::MAX {
            return true;
        }
        let share = self.recovery_share(now);
        let scaled = |limit: u32| (f64::from(limit) * share).max(1.0);
        self.load(now) < scaled(load_limit) || f64::from(self.in_flight) < scaled(router_share)
    }

    /// Whether this router has fewer than `router_share` requests in flight at the server.
    pub(super) fn is_below_share(&self, router_share: u32) -> bool {
        self.in_flight < router_share
    }
}

/// Fraction that is left at `now`, after exponential decay, of a value measured at `measured_at`.
#[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
fn remaining_fraction(now: Millis, measured_at: Millis, half_life_ms: f64) -> f64 {
    (-(now.saturating_sub(measured_at) as f64) / half_life_ms).exp2()
}
