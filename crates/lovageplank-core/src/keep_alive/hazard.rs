//! Hazard rate of a wake by idle age.

/// Classes of idle age; each is twice as long as the one before.
const BUCKETS: usize = 20;
/// Upper end of the first class in seconds.
const FIRST_BUCKET_S: f64 = 1.0;
/// Weight of the prior, in gaps that lasted through a class.
const PRIOR_GAPS: f64 = 3.0;
/// Time in which half of the history is forgotten, in seconds.
const HALF_LIFE_S: f64 = 3.0 * 86_400.0;

/// Wakes and idle time by class of idle age, both fading with age.
///
/// Invariant: every figure is finite and not negative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hazard {
    bursts: [f64; BUCKETS],
    idle_s: [f64; BUCKETS],
}

impl Hazard {
    /// Takes in a gap of `gap_s` seconds that ended in a wake.
    pub fn observe(&mut self, gap_s: f64) {
        self.decay(gap_s);
        let last = bucket(gap_s);
        for index in 0..=last {
            self.idle_s[index] += (gap_s.min(bucket_end(index)) - bucket_start(index)).max(0.0);
        }
        self.bursts[last] += 1.0;
    }

    /// Wakes per second at idle age `age_s`.
    ///
    /// `open_s` is how long the gap that is open now has lasted: idle time without a wake.
    pub fn rate(&self, age_s: f64, open_s: f64, prior_gap_s: f64) -> f64 {
        let index = bucket(age_s);
        let open = (open_s.min(bucket_end(index)) - bucket_start(index)).max(0.0);
        let length = bucket_start(index).max(FIRST_BUCKET_S);
        let prior_rate = 1.0 / (prior_gap_s + bucket_start(index) + length / 2.0);
        let prior_s = PRIOR_GAPS * length;
        let bursts = self.bursts[index] + prior_s * prior_rate;
        bursts / (self.idle_s[index] + open + prior_s)
    }

    /// Where the class that holds `age_s` ends; infinite for the last.
    pub fn bucket_end_s(age_s: f64) -> f64 {
        bucket_end(bucket(age_s))
    }

    fn decay(&mut self, elapsed_s: f64) {
        let remaining = 0.5_f64.powf(elapsed_s / HALF_LIFE_S);
        for value in self.bursts.iter_mut().chain(&mut self.idle_s) {
            *value *= remaining;
        }
    }
}

/// The class of an idle age.
fn bucket(age_s: f64) -> usize {
    (0..BUCKETS - 1)
        .find(|&index| age_s < bucket_end(index))
        .unwrap_or(BUCKETS - 1)
}

fn bucket_start(index: usize) -> f64 {
    if index == 0 {
        0.0
    } else {
        bucket_end(index - 1)
    }
}

fn bucket_end(index: usize) -> f64 {
    if index == BUCKETS - 1 {
        return f64::INFINITY;
    }
    FIRST_BUCKET_S * 2_f64.powi(i32::try_from(index).unwrap_or(i32::MAX))
}
