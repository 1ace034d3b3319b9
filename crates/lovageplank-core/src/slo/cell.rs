//! Counts of one model of a service in one time slot.

use super::{Cause, Class, Histogram};
use crate::prelude::*;
use crate::settings::Effective;

/// Cause and durations of one finished request.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    cause: Cause,
    cold_ms: Option<u64>,
    first_token_ms: Option<u64>,
}

impl Sample {
    /// A request that ended with this cause and has no durations.
    pub fn new(cause: Cause) -> Sample {
        Sample {
            cause,
            cold_ms: None,
            first_token_ms: None,
        }
    }

    /// Sets the milliseconds that the request waited for a load; `None` if it didn't.
    #[must_use]
    pub fn cold_ms(mut self, ms: Option<u64>) -> Sample {
        self.cold_ms = ms;
        self
    }

    /// Sets the milliseconds from the arrival of the request to its first token.
    #[must_use]
    pub fn first_token_ms(mut self, ms: Option<u64>) -> Sample {
        self.first_token_ms = ms;
        self
    }
}

record! { data =>
    /// Counts by cause, and durations of cold starts and first tokens.
    ///
    /// Cells are merged by addition, so that the order of merging doesn't matter.
    #[serde(from = "EncodedCell", into = "EncodedCell")]
    #[derive(Eq, Default)]
    pub struct Cell {
        counts: [u32; Cause::ALL.len()],
        /// Durations of waits for a load.
        pub cold: Histogram,
        /// Waits for a load that exceeded the objective; at most `cold.total()`.
        pub cold_slow: u32,
        /// Durations to the first token.
        pub first_token: Histogram,
        /// First tokens that exceeded the objective; at most `first_token.total()`.
        pub first_token_slow: u32,
    }
}

impl Cell {
    /// Counts a request. `settings` are the effective settings of the request.
    pub fn record(&mut self, sample: &Sample, settings: &Effective) {
        let count = &mut self.counts[sample.cause.index()];
        *count = count.saturating_add(1);
        if let Some(ms) = sample.cold_ms {
            self.cold.record(ms);
            self.cold_slow += u32::from(ms > settings.objective_cold_start_ms);
        }
        if let Some(ms) = sample.first_token_ms {
            self.first_token.record(ms);
            self.first_token_slow += u32::from(ms > settings.objective_first_token_ms);
        }
    }

    /// Adds another cell's counts.
    pub fn merge(&mut self, other: &Cell) {
        for (own_count, other_count) in self.counts.iter_mut().zip(other.counts) {
            *own_count = own_count.saturating_add(other_count);
        }
        self.cold.merge(&other.cold);
        self.cold_slow = self.cold_slow.saturating_add(other.cold_slow);
        self.first_token.merge(&other.first_token);
        self.first_token_slow = self.first_token_slow.saturating_add(other.first_token_slow);
    }

    /// Requests that ended with this cause.
    pub fn count(&self, cause: Cause) -> u64 {
        u64::from(self.counts[cause.index()])
    }

    /// Requests whose cause has a class that `pick` accepts.
    pub fn sum(&self, pick: impl Fn(Class) -> bool) -> u64 {
        let picked = Cause::ALL.iter().filter(|cause| pick(cause.class()));
        picked.map(|cause| self.count(*cause)).sum()
    }

    /// Requests of all causes.
    pub fn requests(&self) -> u64 {
        self.sum(|_| true)
    }
}

record! { data =>
    /// The serialized form of a cell: omits zero counts and has short field names.
    struct EncodedCell {
        /// Counts by [`Cause::index`].
        #[serde(rename = "o", default)]
        counts: Vec<(u8, u32)>,
        #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
        cold: Option<(Histogram, u32)>,
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        first_token: Option<(Histogram, u32)>,
    }
}

impl From<Cell> for EncodedCell {
    fn from(cell: Cell) -> EncodedCell {
        let counts = (0..).zip(cell.counts).filter(|(_, n)| *n > 0);
        let non_empty =
            |histogram: Histogram, slow| (histogram.total() > 0).then_some((histogram, slow));
        EncodedCell {
            counts: counts.collect(),
            cold: non_empty(cell.cold, cell.cold_slow),
            first_token: non_empty(cell.first_token, cell.first_token_slow),
        }
    }
}

impl From<EncodedCell> for Cell {
    fn from(encoded: EncodedCell) -> Cell {
        let mut cell = Cell::default();
        for (cause, count) in encoded.counts {
            // Counts of causes that this build doesn't know are left out.
            if let Some(counter) = cell.counts.get_mut(usize::from(cause)) {
                *counter = counter.saturating_add(count);
            }
        }
        (cell.cold, cell.cold_slow) = encoded.cold.unwrap_or_default();
        (cell.first_token, cell.first_token_slow) = encoded.first_token.unwrap_or_default();
        cell
    }
}
