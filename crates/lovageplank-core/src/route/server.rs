//! A backend server as a router sees it: state, load, health.

use crate::backend::{Report, State};
use crate::prelude::*;
use crate::view::{Backend, Load};

/// Milliseconds in which a load loses half its meaning that the server itself reports regularly.
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// The same for a load in an update, which is sent again only once it has changed much.
const UPDATE_HALF_LIFE_MS: f64 = 30_000.0;
/// Milliseconds of the first suspicion; doubles with each failure in a row.
const SUSPECT_MS: u64 = 250;
/// Milliseconds of a suspicion at the most.
const SUSPECT_MAX_MS: u64 = 4_000;
/// Milliseconds over which a server that was suspected returns to its full share.
const RAMP_MS: f64 = 5_000.0;
/// Smallest share of a server that is slow or returns.
const SHARE_MIN: f64 = 0.1;
/// Weight of a new sample in a server's slowness.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Largest single sample of slowness, so that one straggler isn't everything.
const SAMPLE_MAX: f64 = 10.0;
/// Slowness that is still taken as ordinary.
const SLOW_FROM: f64 = 1.5;
/// Milliseconds in which slowness loses half its meaning.
const SLOW_HALF_LIFE_MS: f64 = 10_000.0;

record! { copy =>
    /// How a dispatched request ended, as far as it tells of the server.
    pub enum Ending {
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
    left: bool,
    /// Requests of this router that run there.
    running: u32,
    /// Own dispatches less own endings since the last report.
    since: i64,
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
            left: false,
            running: 0,
            since: 0,
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
    pub fn known(&self) -> bool {
        !self.address.is_empty()
    }

    /// Forgets what updates told.
    pub(super) fn remove(&mut self) {
        self.address = "".into();
        self.state = State::Leaving;
    }

    /// Takes over what an update tells; returns whether it is a new incarnation.
    pub(super) fn set(&mut self, now: Millis, backend: &Backend) -> bool {
        let restarted = backend.incarnation != self.incarnation;
        if restarted {
            let running = self.running;
            *self = Server::unknown(self.id.clone());
            self.running = running;
            self.reported_at = now;
        }
        self.incarnation = backend.incarnation;
        self.address = backend.address.clone();
        self.domain = backend.failure_domain.clone();
        self.left |= backend.state == State::Leaving;
        self.state = if self.left {
            State::Leaving
        } else {
            State::Ready
        };
        restarted
    }

    /// Notes that an incarnation leaves.
    pub(super) fn leave(&mut self, incarnation: u64) {
        if self.incarnation == incarnation {
            self.left = true;
            self.state = State::Leaving;
        }
    }

    /// Takes over a load report; returns false for one of another incarnation or an old one.
    pub(super) fn report(&mut self, now: Millis, report: &Report) -> bool {
        if report.incarnation != self.incarnation || report.sequence <= self.report_sequence {
            return false;
        }
        self.report_sequence = report.sequence;
        self.reported = f64::from(report.running) + f64::from(report.queued);
        self.reported_at = now.saturating_sub(report.age_ms);
        self.half_life_ms = REPORT_HALF_LIFE_MS;
        self.since = 0;
        true
    }

    /// Takes over a load that an update tells.
    pub(super) fn set_load(&mut self, now: Millis, load: Load) {
        self.reported = f64::from(load.running) + f64::from(load.queued);
        self.reported_at = now;
        self.half_life_ms = UPDATE_HALF_LIFE_MS;
        self.since = 0;
    }

    /// Notes a cache event; returns false for one that is older than the last.
    pub(super) fn cache_event(&mut self, sequence: u64) -> bool {
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

    pub(super) fn started(&mut self) {
        self.running += 1;
        self.since += 1;
    }

    pub(super) fn ended(&mut self, now: Millis, ending: Ending) {
        self.running = self.running.saturating_sub(1);
        self.since -= 1;
        match ending {
            Ending::Answered { .. } => self.failures = 0,
            Ending::Failed => self.suspect(now),
            Ending::Denied | Ending::AdapterDenied | Ending::Abandoned => {}
        }
    }

    fn suspect(&mut self, now: Millis) {
        let ms = SUSPECT_MS << self.failures.min(8);
        self.failures += 1;
        self.suspected_until = now + ms.min(SUSPECT_MAX_MS);
    }

    /// Notes a service time as a multiple of the average.
    pub(super) fn observe(&mut self, now: Millis, ratio: f64) {
        let current = self.slowness(now);
        self.slowness = current + SAMPLE_WEIGHT * (ratio.min(SAMPLE_MAX) - current);
        self.slowness_at = now;
    }

    fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * decay(now, self.slowness_at, SLOW_HALF_LIFE_MS)
    }

    /// Whether the server failed so lately that it gets no work.
    pub fn suspected(&self, now: Millis) -> bool {
        now < self.suspected_until
    }

    /// Time of the figures in the last report.
    pub(super) fn reported_at(&self) -> Millis {
        self.reported_at
    }

    /// Requests of this router that run there.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Estimate of the requests that run or wait there.
    pub fn load(&self, now: Millis) -> f64 {
        let aged = self.reported * decay(now, self.reported_at, self.half_life_ms);
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let estimate = aged + self.since as f64;
        estimate.max(f64::from(self.running))
    }

    /// Share of the ordinary work that the server should get, up to 1.
    pub fn weight(&self, now: Millis) -> f64 {
        let slowness = self.slowness(now);
        let slow = if slowness > SLOW_FROM {
            SLOW_FROM / slowness
        } else {
            1.0
        };
        (slow * self.ramp(now)).max(SHARE_MIN)
    }

    /// Grows from the smallest share to 1 after a suspicion.
    #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
    fn ramp(&self, now: Millis) -> f64 {
        if self.suspected_until == 0 {
            return 1.0;
        }
        let elapsed = now.saturating_sub(self.suspected_until) as f64;
        (SHARE_MIN + (1.0 - SHARE_MIN) * elapsed / RAMP_MS).min(1.0)
    }

    /// Whether the server has room for one more of this router's requests.
    ///
    /// `limit` bounds the load, and is scaled by the server's share while it returns from a
    /// suspicion. `own` is what this router may always have there: loads are known late, and
    /// routers that all wait for an overload of the past to show its end would leave it idle.
    pub(super) fn has_room(&self, now: Millis, limit: u32, own: u32) -> bool {
        if limit == u32::MAX {
            return true;
        }
        let ramp = self.ramp(now);
        let scaled = |limit: u32| (f64::from(limit) * ramp).max(1.0);
        self.load(now) < scaled(limit) || f64::from(self.running) < scaled(own)
    }

    /// Whether this router has less there than it may always have.
    pub(super) fn has_own_room(&self, own: u32) -> bool {
        self.running < own
    }
}

/// What is left of a figure of `then`.
#[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
fn decay(now: Millis, then: Millis, half_life_ms: f64) -> f64 {
    (-(now.saturating_sub(then) as f64) / half_life_ms).exp2()
}
