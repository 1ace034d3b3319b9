//! Units that were charged within the sliding window.

use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds that are counted together.
const BUCKET_MS: Millis = 250;

/// Number of a bucket: the time divided by [`BUCKET_MS`].
pub(super) type Bucket = u64;

/// Units by the time at which they were reported.
#[derive(Clone, Debug)]
pub(super) struct Window {
    length_ms: Millis,
    buckets: VecDeque<(Bucket, u64)>,
    sum: u64,
}

impl Window {
    pub(super) fn new(length_ms: Millis) -> Window {
        Window {
            length_ms,
            buckets: VecDeque::new(),
            sum: 0,
        }
    }

    pub(super) fn sum(&self) -> u64 {
        self.sum
    }

    /// Counts some units now. Returns the bucket.
    pub(super) fn add(&mut self, now: Millis, amount: u64) -> Bucket {
        let bucket = now / BUCKET_MS;
        self.sum += amount;
        match self.buckets.back_mut() {
            Some((last, units)) if *last == bucket => *units += amount,
            _ => self.buckets.push_back((bucket, amount)),
        }
        bucket
    }

    /// Takes out units that were counted in a bucket, unless it has left the window.
    pub(super) fn remove(&mut self, bucket: Bucket, amount: u64) {
        if let Some((_, units)) = self.buckets.iter_mut().find(|(b, _)| *b == bucket) {
            *units -= amount;
            self.sum -= amount;
        }
    }

    pub(super) fn expire(&mut self, now: Millis) {
        while let Some((bucket, units)) = self.buckets.front().copied()
            && self.leaves_at(bucket) <= now
        {
            self.sum -= units;
            self.buckets.pop_front();
        }
    }

    /// When units leave the window, and how many.
    pub(super) fn leaving(&self) -> impl Iterator<Item = (Millis, u64)> {
        self.buckets
            .iter()
            .map(|(bucket, units)| (self.leaves_at(*bucket), *units))
    }

    /// The last unit that a bucket may have was counted just before the bucket's end.
    fn leaves_at(&self, bucket: Bucket) -> Millis {
        (bucket + 1) * BUCKET_MS + self.length_ms
    }
}
