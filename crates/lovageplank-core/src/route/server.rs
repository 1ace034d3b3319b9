//! A backend server as a router sees it: state, load, health.

use crate::backend::{ServerReport, State};
use crate::prelude::*;
use crate::view::{Backend, ServerLoad};

/// Milliseconds in which a load loses half its meaning that the server itself reports regularly.
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// The same for a load in an update, which is sent again only once it has changed much.
const UPDATE_HALF_LIFE_MS: f64 = 30_000.0;
/// Milliseconds of the first suspicion; doubles with each failure in a row.
const MIN_SUSPICION_MS: u64 = 250;
/// Milliseconds of a suspicion at the most.
const MAX_SUSPICION_MS: u64 = 4_000;
/// Milliseconds over which a server that was suspected returns to its full share.
const RECOVERY_MS: f64 = 5_000.0;
/// Smallest share of a server that is slow or returns.
const MIN_WEIGHT: f64 = 0.1;
/// Weight of a new sample in a server's slowness.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.2;
/// Largest single sample of slowness, so that one straggler isn't everything.
const MAX_SLOWNESS_SAMPLE: f64 = 10.0;
/// Slowness that is still taken as ordinary.
const SLOWNESS_THRESHOLD: f64 = 1.5;
/// Milliseconds in which slowness loses half its meaning.
const SLOWNESS_HALF_LIFE_MS: f64 = 10_000.0;

record! { copy =>
    /// How a dispatched request ended, as far as it tells of the server.
    pub enum ServerOutcome {
        /// An answer came; `ms` is the time to its first byte.
        Answered {
            /// Milliseconds to the first byte of the answer.
            ms: u64,
        },
        /// The connection was refused or broke, or the server was silent for too long.
        Failed,
        /// The server said that it can't serve the model now.
        Denied,
        /// The server said that it doesn't hold the adapter.
        AdapterDenied,
        /// The caller went or the attempt was abandoned for a reason outside the server.
        Abandoned,
    }
}

/// A backend server.
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
    /// Whether this incarnation said that it leaves; it never returns from that.
    leaving: bool,
    /// Requests of this router that run there.
    in_flight: u32,
    /// Own dispatches less own endings since the last report.
    net_dispatches: i64,
    reported: f64,
    reported_at: Millis,
    half_life_ms: f64,
    report_sequence: u64,
    failures: u32,
    suspected_until: Millis,
    /// Service time as a multiple of the average, when last observed.
    slowness: f64,
    slowness_at: Millis,
    cache_sequence: u64,
    gaps: u32,
}

impl Server {
    /// A server of which no update has told yet.
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

    /// Whether updates have told of the server.
    pub fn is_known(&self) -> bool {
        !self.address.is_empty()
    }

    /// Forgets what updates told.
    pub(super) fn remove(&mut self) {
        self.address = "".into();
        self.state = State::Leaving;
    }

    /// Takes over what an update tells; returns whether it is a new incarnation.
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

    /// Notes that an incarnation leaves.
    pub(super) fn mark_leaving(&mut self, incarnation: u64) {
        if self.incarnation == incarnation {
            self.leaving = true;
            self.state = State::Leaving;
        }
    }

    /// Takes over a load report; returns false for one of another incarnation or an old one.
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

    /// Takes over a load that an update tells.
    pub(super) fn set_load(&mut self, now: Millis, load: ServerLoad) {
        self.reported = f64::from(load.running) + f64::from(load.queued);
        self.reported_at = now;
        self.half_life_ms = UPDATE_HALF_LIFE_MS;
        self.net_dispatches = 0;
    }

    /// Notes a cache event; returns false for one that is older than the last.
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

    /// Gaps seen in the cache events.
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

    /// Notes a service time as a multiple of the average.
    pub(super) fn record_slowness(&mut self, now: Millis, ratio: f64) {
        let current = self.slowness(now);
        self.slowness =
            current + SLOWNESS_SAMPLE_WEIGHT * (ratio.min(MAX_SLOWNESS_SAMPLE) - current);
        self.slowness_at = now;
    }

    fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0)
            * remaining_fraction(now, self.slowness_at, SLOWNESS_HALF_LIFE_MS)
    }

    /// Whether the server failed so lately that it gets no work.
    pub fn is_suspected(&self, now: Millis) -> bool {
        now < self.suspected_until
    }

    /// Time of the figures in the last report.
    pub(super) fn reported_at(&self) -> Millis {
        self.reported_at
    }

    /// Requests of this router that run there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Estimate of the requests that run or wait there.
    pub fn load(&self, now: Millis) -> f64 {
        let aged = self.reported * remaining_fraction(now, self.reported_at, self.half_life_ms);
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let estimate = aged + self.net_dispatches as f64;
        estimate.max(f64::from(self.in_flight))
    }

    /// Share of the ordinary work that the server should get, up to 1.
    pub fn weight(&self, now: Millis) -> f64 {
        let slowness = self.slowness(now);
        let slow = if slowness > SLOWNESS_THRESHOLD {
            SLOWNESS_THRESHOLD / slowness
        } else {
            1.0
        };
        (slow * self.recovery_share(now)).max(MIN_WEIGHT)
    }

    /// Grows from the smallest share to 1 after a suspicion.
    #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
    fn recovery_share(&self, now: Millis) -> f64 {
        if self.suspected_until == 0 {
            return 1.0;
        }
        let elapsed = now.saturating_sub(self.suspected_until) as f64;
        (MIN_WEIGHT + (1.0 - MIN_WEIGHT) * elapsed / RECOVERY_MS).min(1.0)
    }

    /// Whether the server has room for one more of this router's requests.
    ///
    /// `limit` bounds the load, and is scaled by the server's share while it returns from a
    /// suspicion. `own` is what this router may always have there: loads are known late, and
    /// routers that all wait for an overload of the past to show its end would leave it idle.
    pub(super) fn has_capacity(&self, now: Millis, load_limit: u32, router_share: u32) -> bool {
        if load_limit == u32::MAX {
            return true;
        }
        let share = self.recovery_share(now);
        let scaled = |limit: u32| (f64::from(limit) * share).max(1.0);
        self.load(now) < scaled(load_limit) || f64::from(self.in_flight) < scaled(router_share)
    }

    /// Whether this router has less there than it may always have.
    pub(super) fn is_below_share(&self, router_share: u32) -> bool {
        self.in_flight < router_share
    }
}

/// What is left of a figure of `then`.
#[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
fn remaining_fraction(now: Millis, measured_at: Millis, half_life_ms: f64) -> f64 {
    (-(now.saturating_sub(measured_at) as f64) / half_life_ms).exp2()
}
