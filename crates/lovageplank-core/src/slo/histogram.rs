//! Mergeable histograms of durations with fixed buckets.

use crate::prelude::*;

/// Number of buckets of a histogram.
const BUCKET_COUNT: usize = 32;

/// Upper bound of the first bucket in milliseconds; the bound doubles with every second bucket.
const FIRST_BOUND_MS: u64 = 8;

record! { data =>
    /// Counts of durations in buckets whose bounds grow by the square root of two, from 8 ms to
    /// 6 minutes.
    ///
    /// The last bucket also counts longer durations. All histograms have the same buckets, so that
    /// they are merged by addition. The serialized form omits empty buckets.
    #[serde(from = "Vec<(u8, u32)>", into = "Vec<(u8, u32)>")]
    #[derive(Eq, Default)]
    pub struct Histogram {
        counts: [u32; BUCKET_COUNT],
    }
}

impl Histogram {
    /// Counts a duration in milliseconds.
    pub fn record(&mut self, ms: u64) {
        let bucket = (0..BUCKET_COUNT - 1)
            .find(|i| ms <= bound(*i))
            .unwrap_or(BUCKET_COUNT - 1);
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Adds another histogram's counts.
    pub fn merge(&mut self, other: &Histogram) {
        for (own_count, other_count) in self.counts.iter_mut().zip(other.counts) {
            *own_count = own_count.saturating_add(other_count);
        }
    }

    /// Number of counted durations.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|n| u64::from(*n)).sum()
    }

    /// Milliseconds that `percent` in 100 durations don't exceed, as the upper bound of the bucket
    /// in which that share is reached; `None` if the histogram is empty.
    pub fn percentile(&self, percent: u64) -> Option<u64> {
        let rank = (self.total() * percent.min(100)).div_ceil(100).max(1);
        let mut counted = 0;
        let reaches = |n: &u32| {
            counted += u64::from(*n);
            counted >= rank
        };
        self.counts.iter().position(reaches).map(bound)
    }
}

/// Upper bound of a bucket in milliseconds.
fn bound(bucket: usize) -> u64 {
    let doubled = FIRST_BOUND_MS << (bucket / 2);
    if bucket.is_multiple_of(2) {
        doubled
    } else {
        doubled * 1_414 / 1_000
    }
}

impl From<Vec<(u8, u32)>> for Histogram {
    fn from(sparse: Vec<(u8, u32)>) -> Histogram {
        let mut histogram = Histogram::default();
        for (bucket, count) in sparse {
            // Counts of buckets that this build doesn't have are added to the last one.
            let bucket = usize::from(bucket).min(BUCKET_COUNT - 1);
            histogram.counts[bucket] = histogram.counts[bucket].saturating_add(count);
        }
        histogram
    }
}

impl From<Histogram> for Vec<(u8, u32)> {
    fn from(histogram: Histogram) -> Vec<(u8, u32)> {
        (0..)
            .zip(histogram.counts)
            .filter(|(_, n)| *n > 0)
            .collect()
    }
}
