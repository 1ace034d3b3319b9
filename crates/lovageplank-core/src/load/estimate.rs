//! Learns how long loads take.

use super::Source;
use crate::prelude::*;
use crate::settings::Effective;

/// A load from disk, as a share of one from the weight store, before any was seen.
const DISK_SHARE: f64 = 0.25;
/// A load from main memory, as a share of one from the weight store, before any was seen.
const MEMORY_SHARE: f64 = 0.08;
/// Weight of the newest sample in a model's usual load time.
const LOAD_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of the newest sample in the store's slowdown.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.5;
/// Time in which half of a slowdown is forgotten.
const SLOWDOWN_HALF_LIFE_MS: f64 = 60_000.0;
/// Bounds of the slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (1.0, 50.0);

/// Usual load times by model and source, and the store's present slowdown.
///
/// The usual time of a store load is kept free of the slowdown, so that a slow hour doesn't make a
/// model look slow for ever.
#[derive(Clone, Debug)]
pub struct Estimate {
    assumed_ms: BTreeMap<Name, u64>,
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
    /// Sets how long a model's load from the store is assumed to take before any was seen.
    pub fn assume(&mut self, model: &Name, load_ms: u64) {
        self.assumed_ms.insert(model.clone(), load_ms);
    }

    /// Takes in a load that ended well.
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

    /// Takes in that a store load has lasted `elapsed_ms` and hasn't ended.
    pub fn observe_overdue(&mut self, now: Millis, model: &Name, elapsed_ms: u64) {
        let ratio = as_f64(elapsed_ms) / self.usual_ms(model, Source::Store);
        if ratio > self.slowdown(now) {
            self.set_slowdown(now, ratio);
        }
    }

    /// Milliseconds that a load is expected to take at present.
    pub fn load_ms(&self, now: Millis, model: &Name, source: Source) -> u64 {
        let usual = self.usual_ms(model, source);
        let slowdown = match source {
            Source::Store => self.slowdown(now),
            Source::Disk | Source::Memory => 1.0,
        };
        as_millis(usual * slowdown)
    }

    /// How many times longer than usual the store takes at present; 1 when it is healthy.
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

/// Milliseconds as a float; exact below 2⁵³.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^53 ms")]
fn as_f64(ms: u64) -> f64 {
    ms as f64
}

/// A positive float as whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers pass positive spans"
)]
fn as_millis(ms: f64) -> u64 {
    ms.ceil() as u64
}
