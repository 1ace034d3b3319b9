//! Estimates how long loads take.

use super::Source;
use crate::prelude::*;
use crate::settings::Effective;

/// Assumed duration of a load from disk, as a fraction of the assumed one from the weight store,
/// until a load from disk has been observed.
const DISK_SHARE: f64 = 0.25;
/// Assumed duration of a load from main memory, as a fraction of the assumed one from the weight
/// store, until a load from main memory has been observed.
const MEMORY_SHARE: f64 = 0.08;
/// Weight of the newest sample in the moving average of a model's load time.
const LOAD_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of the newest sample in the moving average of the store's slowdown.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.5;
/// Time in which a slowdown decays to half.
const SLOWDOWN_HALF_LIFE_MS: f64 = 60_000.0;
/// Minimum and maximum of the slowdown; values outside are clamped.
const SLOWDOWN_RANGE: (f64, f64) = (1.0, 50.0);

/// Usual load times by model and source, and the weight store's current slowdown.
///
/// A store load's duration is divided by the slowdown before it enters the usual time, so that an
/// hour of slow loads doesn't raise the model's estimate permanently.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Assumed duration of a load from the store, by model.
    assumed_ms: BTreeMap<Name, u64>,
    /// Observed durations by model and source, without the store's slowdown.
    usual_ms: BTreeMap<Name, [Option<f64>; Source::COUNT]>,
    slowdown: f64,
    slowdown_set_at: Millis,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate {
            assumed_ms: BTreeMap::new(),
            usual_ms: BTreeMap::new(),
            slowdown: 1.0,
            slowdown_set_at: 0,
        }
    }
}

impl Estimate {
    /// Sets the assumed duration of a model's load from the store, used until one has been
    /// observed.
    pub fn assume(&mut self, model: &Name, load_ms: u64) {
        self.assumed_ms.insert(model.clone(), load_ms);
    }

    /// Records the duration of a successful load.
    pub fn observe(&mut self, now: Millis, model: &Name, source: Source, took_ms: u64) {
        let mut sample_ms = as_f64(took_ms);
        if source == Source::Store {
            let usual = self.usual_ms(model, source);
            self.observe_ratio(now, sample_ms / usual);
            sample_ms /= self.slowdown(now);
        }
        let usual = self.usual_ms(model, source);
        let updated = usual + LOAD_SAMPLE_WEIGHT * (sample_ms - usual);
        let usual_ms = self.usual_ms.entry(model.clone()).or_default();
        usual_ms[source as usize] = Some(updated);
    }

    /// Records that a store load has lasted `elapsed_ms` and hasn't ended. Raises the slowdown if
    /// that is longer than expected.
    pub fn observe_overdue(&mut self, now: Millis, model: &Name, elapsed_ms: u64) {
        let ratio = as_f64(elapsed_ms) / self.usual_ms(model, Source::Store);
        if ratio > self.slowdown(now) {
            self.set_slowdown(now, ratio);
        }
    }

    /// Expected duration in milliseconds of a load that starts at `now`.
    pub fn load_ms(&self, now: Millis, model: &Name, source: Source) -> u64 {
        let usual = self.usual_ms(model, source);
        let slowdown = match source {
            Source::Store => self.slowdown(now),
            Source::Disk | Source::Memory => 1.0,
        };
        as_millis(usual * slowdown)
    }

    /// Factor by which store loads currently take longer than usual; 1 if the store is healthy.
    pub fn slowdown(&self, now: Millis) -> f64 {
        let age = as_f64(now.saturating_sub(self.slowdown_set_at));
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(age / SLOWDOWN_HALF_LIFE_MS)
    }

    fn observe_ratio(&mut self, now: Millis, ratio: f64) {
        let current = self.slowdown(now);
        self.set_slowdown(now, current + SLOWDOWN_SAMPLE_WEIGHT * (ratio - current));
    }

    fn set_slowdown(&mut self, now: Millis, slowdown: f64) {
        self.slowdown = slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown_set_at = now;
    }

    fn usual_ms(&self, model: &Name, source: Source) -> f64 {
        let assumed_ms = self.assumed_ms.get(model).copied();
        let assumed_ms = assumed_ms.unwrap_or_else(|| Effective::default().load_ms);
        let share = match source {
            Source::Memory => MEMORY_SHARE,
            Source::Disk => DISK_SHARE,
            Source::Store => 1.0,
        };
        let learned = self.usual_ms.get(model).and_then(|ms| ms[source as usize]);
        learned.unwrap_or(as_f64(assumed_ms) * share).max(1.0)
    }
}

/// Converts milliseconds to a float; exact below 2⁵³.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^53 ms")]
fn as_f64(ms: u64) -> f64 {
    ms as f64
}

/// Rounds a positive float up to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers pass positive spans"
)]
fn as_millis(ms: f64) -> u64 {
    ms.ceil() as u64
}
