//! Hazard rate of a burst by idle age.

/// Number of idle-age buckets. Each ends at twice the age of the one before; the last has no end.
const BUCKETS: usize = 20;
/// Upper end of the first bucket in seconds.
const FIRST_BUCKET_S: f64 = 1.0;
/// Weight of the prior, as the number of gaps that span a whole bucket.
const PRIOR_GAPS: f64 = 3.0;
/// Time in seconds in which the weight of old gaps decays to half.
const HALF_LIFE_S: f64 = 3.0 * 86_400.0;

/// Bursts and idle time by idle-age bucket, both with exponential decay.
///
/// Invariant: every value is finite and not negative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hazard {
    /// Gaps that ended in each bucket.
    bursts: [f64; BUCKETS],
    /// Idle seconds that gaps spent in each bucket.
    idle_s: [f64; BUCKETS],
}

impl Hazard {
    /// Records a gap of `gap_s` seconds that ended with a burst.
    pub fn observe(&mut self, gap_s: f64) {
        self.decay(gap_s);
        let last = bucket(gap_s);
        for index in 0..=last {
            self.idle_s[index] += (gap_s.min(bucket_end(index)) - bucket_start(index)).max(0.0);
        }
        self.bursts[last] += 1.0;
    }

    /// Bursts per second at idle age `age_s`.
    ///
    /// `open_s` is the length of the current gap in seconds: idle time without a burst so far.
    /// `prior_gap_s` is the gap that the prior assumes, in seconds.
    pub fn rate(&self, age_s: f64, open_s: f64, prior_gap_s: f64) -> f64 {
        let index = bucket(age_s);
        let open = (open_s.min(bucket_end(index)) - bucket_start(index)).max(0.0);
        let length = bucket_start(index).max(FIRST_BUCKET_S);
        let prior_rate = 1.0 / (prior_gap_s + bucket_start(index) + length / 2.0);
        let prior_s = PRIOR_GAPS * length;
        let bursts = self.bursts[index] + prior_s * prior_rate;
        bursts / (self.idle_s[index] + open + prior_s)
    }

    /// Upper end in seconds of the bucket that contains `age_s`; infinite for the last.
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

/// Index of the bucket that contains an idle age.
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
