//! Counts of one router, and the deltas that it sends to the leader.

use super::delta::NameTable;
use super::{
    Ack, Batch, BatchRange, COARSE_SLOT_MS, Cell, Delta, FINE_SLOT_MS, HISTORY_MS, Key, Row, Sample,
};
use crate::prelude::*;
use crate::settings::Effective;
use std::collections::VecDeque;

/// Minimum milliseconds between two deltas.
pub const MIN_DELTA_INTERVAL_MS: u64 = 10_000;

/// Maximum rows of a delta, which limits it to a few kilobytes. The other rows are sent in later
/// deltas.
pub const MAX_DELTA_ROWS: usize = 64;

/// Maximum rows of completed batches that a router buffers. Beyond it the oldest batches are
/// dropped; [`Recorder::dropped`] counts their requests that the leader has not merged.
pub const MAX_BUFFERED_ROWS: usize = 16_384;

/// Age in milliseconds from which batches of the same minute are coalesced.
const COALESCE_AFTER_MS: u64 = 10 * 60_000;

/// Counts of one router by time slot.
///
/// Batches stay buffered for [`HISTORY_MS`] even after their acknowledgement, so that the router
/// can send all of them to a new leader.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Start of the current slot; `None` while it is empty.
    started_at: Option<Millis>,
    current: BTreeMap<Key, Cell>,
    /// Invariant: from front to back, batch numbers increase and start times don't decrease.
    buffered: VecDeque<BufferedBatch>,
    /// Rows in `buffered`; at most [`MAX_BUFFERED_ROWS`].
    rows: usize,
    /// Number of the last batch.
    last: u64,
    /// Batches that the current leader has merged. Invariant: no batch crosses a bound of the
    /// range.
    merged: BatchRange,
    dropped: u64,
    sent_at: Option<Millis>,
    maintained_at: Millis,
}

/// A completed batch, which changes only when the next batch is coalesced into it.
#[derive(Debug)]
struct BufferedBatch {
    /// Number of the first batch that was coalesced into this one.
    first: u64,
    /// Number of the last batch that was coalesced into this one.
    last: u64,
    started_at: Millis,
    /// At most [`MAX_DELTA_ROWS`] cells, so that each batch fits into a delta.
    cells: BTreeMap<Key, Cell>,
}

impl Recorder {
    /// Counts a finished request. `settings` are the effective settings of the request.
    pub fn record(&mut self, now: Millis, key: &Key, sample: &Sample, settings: &Effective) {
        self.close_finished_slot(now);
        self.started_at.get_or_insert(now);
        if !self.current.contains_key(key) {
            self.current.insert(key.clone(), Cell::default());
        }
        if let Some(cell) = self.current.get_mut(key) {
            cell.record(sample, settings);
        }
    }

    /// The counts of completed slots that the leader has not acknowledged; `None` if there are none
    /// or if the previous delta is less than [`MIN_DELTA_INTERVAL_MS`] old.
    ///
    /// Counts are included again until they are acknowledged.
    pub fn delta(&mut self, now: Millis) -> Option<Delta> {
        self.close_finished_slot(now);
        self.maintain(now);
        let due = self
            .sent_at
            .is_none_or(|at| now >= at + MIN_DELTA_INTERVAL_MS);
        if !due
            || self
                .buffered
                .iter()
                .all(|batch| batch.is_within(self.merged))
        {
            return None;
        }
        self.sent_at = Some(now);
        Some(self.build_delta(now))
    }

    /// Records which batches the leader has merged. A new leader has merged none, so that all are
    /// sent again.
    pub fn acknowledge(&mut self, ack: Ack) {
        // A range beyond the last batch doesn't refer to batches of this process.
        let known = ack.merged.filter(|range| range.high <= self.last);
        self.merged = known.unwrap_or(BatchRange::empty(self.last));
    }

    /// Adds finished requests that could not be counted to [`Recorder::dropped`].
    pub fn add_dropped(&mut self, requests: u64) {
        self.dropped += requests;
    }

    /// Rows of the buffered batches and the current slot.
    pub fn rows(&self) -> usize {
        self.rows + self.current.len()
    }

    /// Requests that were not counted, or whose counts were dropped before the leader merged them.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn build_delta(&self, now: Millis) -> Delta {
        let mut names = NameTable::default();
        let mut range = self.merged;
        let mut batches = Vec::new();
        let mut free_rows = MAX_DELTA_ROWS;
        let newer = self.buffered.iter().filter(|b| b.last > self.merged.high);
        let older = self.buffered.iter().filter(|b| b.last <= self.merged.low);
        for batch in newer.chain(older.rev()) {
            if batch.cells.len() > free_rows {
                break;
            }
            free_rows -= batch.cells.len();
            range.high = range.high.max(batch.last);
            range.low = range.low.min(batch.first - 1);
            let row = |(key, cell): (&Key, &Cell)| names.row(key, cell);
            let rows: Vec<Row> = batch.cells.iter().filter_map(row).collect();
            batches.push(Batch {
                age_ms: now.saturating_sub(batch.started_at),
                rows,
            });
        }
        Delta {
            base: self.merged,
            range,
            dropped: self.dropped,
            names: names.into_list(),
            batches,
        }
    }

    /// Moves the counts of the current slot into batches once the slot has ended.
    fn close_finished_slot(&mut self, now: Millis) {
        let Some(started_at) = self.started_at.filter(|at| now >= at + FINE_SLOT_MS) else {
            return;
        };
        self.started_at = None;
        let mut cells = std::mem::take(&mut self.current).into_iter();
        loop {
            let chunk: BTreeMap<Key, Cell> = cells.by_ref().take(MAX_DELTA_ROWS).collect();
            if chunk.is_empty() {
                break;
            }
            self.push_batch(started_at, chunk);
        }
        while self.rows > MAX_BUFFERED_ROWS {
            self.drop_oldest(true);
        }
    }

    fn push_batch(&mut self, started_at: Millis, cells: BTreeMap<Key, Cell>) {
        self.last += 1;
        self.rows += cells.len();
        self.buffered.push_back(BufferedBatch {
            first: self.last,
            last: self.last,
            started_at,
            cells,
        });
    }

    fn maintain(&mut self, now: Millis) {
        if now >= self.maintained_at + COARSE_SLOT_MS {
            self.maintained_at = now;
            self.expire(now);
            self.coalesce(now);
        }
    }

    /// Drops batches that are older than every window.
    fn expire(&mut self, now: Millis) {
        while self
            .buffered
            .front()
            .is_some_and(|b| b.started_at + HISTORY_MS <= now)
        {
            self.drop_oldest(false);
        }
    }

    fn drop_oldest(&mut self, count_dropped: bool) {
        let Some(batch) = self.buffered.pop_front() else {
            return;
        };
        self.rows -= batch.cells.len();
        if count_dropped && !batch.is_within(self.merged) {
            self.dropped += batch.cells.values().map(Cell::requests).sum::<u64>();
        }
    }

    /// Coalesces old batches of the same minute that the current leader has merged. Batches that it
    /// has not merged stay separate, because a leader can't merge part of a batch.
    fn coalesce(&mut self, now: Millis) {
        let mut coalesced: VecDeque<BufferedBatch> = VecDeque::with_capacity(self.buffered.len());
        let merged = self.merged;
        for batch in self.buffered.drain(..) {
            let old = batch.started_at + COALESCE_AFTER_MS <= now && batch.is_within(merged);
            let can_coalesce = |last: &&mut BufferedBatch| {
                old && last.is_within(merged) && last.can_coalesce(&batch)
            };
            match coalesced.back_mut().filter(can_coalesce) {
                Some(last) => last.coalesce(batch),
                None => coalesced.push_back(batch),
            }
        }
        self.rows = coalesced.iter().map(|b| b.cells.len()).sum();
        self.buffered = coalesced;
    }
}

impl BufferedBatch {
    fn is_within(&self, range: BatchRange) -> bool {
        range.low < self.first && self.last <= range.high
    }

    fn can_coalesce(&self, next: &BufferedBatch) -> bool {
        let same_minute = self.started_at / COARSE_SLOT_MS == next.started_at / COARSE_SLOT_MS;
        let new = next.cells.keys().filter(|k| !self.cells.contains_key(k));
        same_minute && self.cells.len() + new.count() <= MAX_DELTA_ROWS
    }

    fn coalesce(&mut self, next: BufferedBatch) {
        self.last = next.last;
        for (key, cell) in next.cells {
            self.cells.entry(key).or_default().merge(&cell);
        }
    }
}
