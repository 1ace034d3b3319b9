//! A router's own counts, and which of them the leader still needs.

use super::delta::NameTable;
use super::{
    Ack, Batch, BatchRange, COARSE_SLOT_MS, Cell, Delta, FINE_SLOT_MS, HISTORY_MS, Key, Row, Sample,
};
use crate::prelude::*;
use crate::settings::Effective;
use std::collections::VecDeque;

/// Milliseconds between two deltas at the least.
pub const MIN_DELTA_INTERVAL_MS: u64 = 10_000;

/// Rows of a delta at the most, which keeps it within a few kilobytes.
pub const MAX_DELTA_ROWS: usize = 64;

/// Rows that a router holds at the most.
pub const MAX_BUFFERED_ROWS: usize = 16_384;

/// Milliseconds after which batches of one minute are coalesced.
const COALESCE_AFTER_MS: u64 = 10 * 60_000;

/// Counts of one router, slot by slot.
///
/// Batches are held for [`HISTORY_MS`], acknowledged or not, so that a new leader can be given
/// all of them.
#[derive(Debug, Default)]
pub struct Recorder {
    /// When the current slot began; `None` while it is empty.
    started_at: Option<Millis>,
    current: BTreeMap<Key, Cell>,
    /// Invariant: numbers grow from front to back, and so do times.
    buffered: VecDeque<BufferedBatch>,
    /// Rows in `buffered`; at most [`MAX_BUFFERED_ROWS`].
    rows: usize,
    /// Number of the last batch.
    last: u64,
    /// Batches that the present leader has. Invariant: no batch lies on one of its bounds.
    merged: BatchRange,
    dropped: u64,
    sent_at: Option<Millis>,
    maintained_at: Millis,
}

/// A batch that doesn't change any more, except by joining.
#[derive(Debug)]
struct BufferedBatch {
    /// Number of the first of the batches that were coalesced in it.
    first: u64,
    /// Number of the last one.
    last: u64,
    started_at: Millis,
    /// Never more than [`MAX_DELTA_ROWS`], so that each batch fits into a delta.
    cells: BTreeMap<Key, Cell>,
}

impl Recorder {
    /// Counts a finished request against the settings in force for it.
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

    /// What the leader may not have, if there is something and the last delta is long enough ago.
    ///
    /// Until it is acknowledged, the same is given again.
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

    /// Notes what the leader has; a new leader has nothing and is given everything again.
    pub fn acknowledge(&mut self, ack: Ack) {
        // Numbers from the future belong to no batch of this process.
        let known = ack.merged.filter(|range| range.high <= self.last);
        self.merged = known.unwrap_or(BatchRange::empty(self.last));
    }

    /// Notes requests that ended and could not be counted.
    pub fn add_dropped(&mut self, requests: u64) {
        self.dropped += requests;
    }

    /// Rows that are buffered.
    pub fn rows(&self) -> usize {
        self.rows + self.current.len()
    }

    /// Requests that were given up before the leader had them.
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

    /// Closes the current slot once it is over.
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

    /// Lets go of what is older than any window.
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

    /// Joins batches of one minute that the present leader has: it could not take half of one.
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
