//! The slowness of one server.

use super::{Figures, Lasting, percent, ratio};
use crate::prelude::*;

/// Milliseconds after which a statement has half of its weight. Speeds change within some hundred
/// milliseconds: the older a statement is, the nearer the expected slowness is to the long-term one.
pub const HALF_LIFE_MS: Millis = 300;
/// Milliseconds after which a statement has no weight.
pub const MAX_AGE_MS: Millis = 4 * HALF_LIFE_MS;
/// Milliseconds for which the stated requests count. The totals of the leader are newer afterwards.
const REQUESTS_TTL_MS: Millis = 200;
/// Least slowness that is assumed. It bounds how many requests a server can draw by what it states.
const SLOWNESS_MIN: f64 = 0.2;
/// Greatest slowness that is assumed.
const SLOWNESS_MAX: f64 = 5.0;
/// Samples of the usual speed that an average begins with, so that the first measurement isn't taken for the
/// long-term speed.
const PRIOR_SAMPLES: u32 = 4;
/// Samples after which an average forgets the oldest ones: some seconds of a busy engine's streams, or some minutes of
/// what a server states.
const SAMPLES_MAX: u32 = 512;
/// Measured times between events that count as much as all that a server states. The events of one stream are
/// alike, so a few measurements say little.
const PACE_SAMPLES: u32 = 16;

/// A moving average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    /// An average of so many equal samples.
    pub fn new(value: f64, samples: u32) -> Average {
        Average { value, samples }
    }

    /// The usual speed, for a server of which nothing is known.
    fn usual() -> Average {
        Average::new(1.0, PRIOR_SAMPLES)
    }

    /// Adds the mean of some samples.
    pub fn add(&mut self, value: f64, samples: u32) {
        let total = self.samples.saturating_add(samples).clamp(1, SAMPLES_MAX);
        let weight = f64::from(samples.min(total)) / f64::from(total);
        self.value += (value - self.value) * weight;
        self.samples = total;
    }

    /// Its value.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Samples that it is made of, up to a maximum.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Samples besides those that it began with.
    fn measured(&self) -> u32 {
        self.samples.saturating_sub(PRIOR_SAMPLES)
    }
}

/// A slowness at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Current {
    slowness: f64,
    at: Millis,
}

/// The slowness of one incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The incarnation; what others state doesn't count.
    pub incarnation: u64,
    current: Option<Current>,
    /// Requests that it stated, running and waiting, and when.
    requests: Option<(u32, Millis)>,
    /// Mean of what it states.
    stated: Average,
    /// Mean time between two events, relative to other servers with the same model.
    pace: Average,
}

impl Estimate {
    /// An incarnation of which nothing is known: its slowness is 1.
    pub fn new(incarnation: u64) -> Estimate {
        Estimate {
            incarnation,
            current: None,
            requests: None,
            stated: Average::usual(),
            pace: Average::usual(),
        }
    }

    /// Records what it states in a response; `None` if it states nothing that can be used.
    pub fn stated(&mut self, now: Millis, figures: Option<Figures>) {
        let figures = figures.filter(Figures::is_plausible);
        self.requests = figures.map(|figures| (figures.requests(), now));
        match figures.and_then(|figures| figures.percent) {
            Some(percent) => self.add_statement(percent, now),
            None => self.current = None,
        }
    }

    /// Records a statement to another process, and adds it to the average. One that is older than the known
    /// one only counts for the average.
    pub fn add_statement(&mut self, percent: u32, at: Millis) {
        let slowness = bounded(ratio(percent));
        self.stated.add(slowness, 1);
        self.set_current(slowness, at);
    }

    /// Records a statement that the leader relays. It doesn't count for the average: only statements that
    /// differ from what is assumed are relayed.
    pub fn relayed(&mut self, percent: u32, at: Millis) {
        self.set_current(bounded(ratio(percent)), at);
    }

    fn set_current(&mut self, slowness: f64, at: Millis) {
        if self.current.is_none_or(|known| known.at <= at) {
            self.current = Some(Current { slowness, at });
        }
    }

    /// Records the mean of some times between events, relative to other servers with the same model.
    pub fn paced(&mut self, ratio: f64, samples: u32) {
        self.pace.add(bounded(ratio), samples);
    }

    /// Replaces the long-term speed by what the leader has from all routers.
    pub fn set_lasting(&mut self, lasting: &Lasting) {
        let mean = |percent, samples: u32| {
            let samples = samples.clamp(PRIOR_SAMPLES, SAMPLES_MAX);
            Average::new(bounded(ratio(percent)), samples)
        };
        self.stated = mean(lasting.stated_percent, lasting.statements);
        self.pace = mean(lasting.pace_percent, lasting.samples);
    }

    /// The long-term speed, for routers.
    pub fn to_lasting(&self, server: &Name) -> Lasting {
        Lasting {
            server: server.clone(),
            incarnation: self.incarnation,
            stated_percent: percent(self.stated.value),
            statements: self.stated.samples,
            pace_percent: percent(self.pace.value),
            samples: self.pace.samples,
        }
    }

    /// Statements and measurements that the long-term speed is made of.
    pub fn measured(&self) -> u32 {
        self.stated.measured() + self.pace.measured()
    }

    /// Slowness over the last minutes. What is measured replaces what is stated, the more measurements there
    /// are: the server may state its speed relative to its own usual one.
    pub fn lasting(&self) -> f64 {
        let measured = f64::from(self.pace.measured());
        let stated = f64::from(PACE_SAMPLES);
        (self.stated.value * stated + self.pace.value * measured) / (stated + measured)
    }

    /// Slowness that is to be expected now.
    pub fn slowness(&self, now: Millis) -> f64 {
        self.slowness_given(now, self.current)
    }

    /// Slowness that is to be expected now by a process that knows the long-term speed and this statement.
    pub(super) fn slowness_by(&self, now: Millis, statement: Option<(u32, Millis)>) -> f64 {
        let current = statement.map(|(percent, at)| Current {
            slowness: bounded(ratio(percent)),
            at,
        });
        self.slowness_given(now, current)
    }

    fn slowness_given(&self, now: Millis, current: Option<Current>) -> f64 {
        let lasting = self.lasting();
        let Some(current) = current else {
            return bounded(lasting);
        };
        let deviation = current.slowness / self.stated.value - 1.0;
        let weight = weight(now.saturating_sub(current.at));
        bounded(lasting * (1.0 + deviation * weight))
    }

    /// The newest statement, and when it was made.
    pub(super) fn current(&self) -> Option<(u32, Millis)> {
        self.current
            .map(|current| (percent(current.slowness), current.at))
    }

    /// Requests that the server has stated so lately that other counts may be older.
    pub fn requests(&self, now: Millis) -> Option<u32> {
        let (requests, at) = self.requests?;
        (now < at + REQUESTS_TTL_MS).then_some(requests)
    }
}

/// Weight of a statement of this age.
#[allow(clippy::cast_precision_loss)] // Below `MAX_AGE_MS`.
fn weight(age_ms: Millis) -> f64 {
    if age_ms >= MAX_AGE_MS {
        return 0.0;
    }
    (-(age_ms as f64) / HALF_LIFE_MS as f64).exp2()
}

fn bounded(slowness: f64) -> f64 {
    slowness.clamp(SLOWNESS_MIN, SLOWNESS_MAX)
}
