//! A router's own counts, and which of them the leader still needs.

use super::delta::Names;
use super::{Ack, Batch, COARSE_MS, Cell, Delta, HISTORY_MS, Key, Range, Row, SLOT_MS, Sample};
use crate::prelude::*;
use crate::settings::Effective;
use std::collections::VecDeque;

/// Milliseconds between two deltas at the least.
pub const DELTA_MS: u64 = 10_000;

/// Rows of a delta at the most, which keeps it within a few kilobytes.
pub const DELTA_ROWS: usize = 64;

/// Rows that a router holds at the most.
pub const HELD_ROWS: usize = 16_384;

/// Milliseconds after which batches of one minute are joined.
const JOIN_MS: u64 = 10 * 60_000;

/// Counts of one router, slot by slot.
///
/// Batches are held for [`HISTORY_MS`], acknowledged or not, so that a new leader can be given
/// all of them.
#[derive(Debug, Default)]
pub struct Recorder {
    /// When the current slot began; `None` while it is empty.
    began: Option<Millis>,
    current: BTreeMap<Key, Cell>,
    /// Invariant: numbers grow from front to back, and so do times.
    held: VecDeque<Held>,
    /// Rows in `held`; at most [`HELD_ROWS`].
    rows: usize,
    /// Number of the last batch.
    last: u64,
    /// Batches that the present leader has. Invariant: no batch lies on one of its bounds.
    merged: Range,
    dropped: u64,
    sent_at: Option<Millis>,
    tidied_at: Millis,
}

/// A batch that doesn't change any more, except by joining.
#[derive(Debug)]
struct Held {
    /// Number of the first of the batches that were joined in it.
    first: u64,
    /// Number of the last one.
    last: u64,
    began: Millis,
    /// Never more than [`DELTA_ROWS`], so that each batch fits into a delta.
    cells: BTreeMap<Key, Cell>,
}

impl Recorder {
    /// Counts a finished request against the settings in force for it.
    pub fn record(&mut self, now: Millis, key: &Key, sample: &Sample, settings: &Effective) {
        self.roll(now);
        self.began.get_or_insert(now);
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
        self.roll(now);
        self.tidy(now);
        let due = self.sent_at.is_none_or(|at| now >= at + DELTA_MS);
        if !due || self.held.iter().all(|batch| batch.is_in(self.merged)) {
            return None;
        }
        self.sent_at = Some(now);
        Some(self.unmerged(now))
    }

    /// Notes what the leader has; a new leader has nothing and is given everything again.
    pub fn acknowledge(&mut self, ack: Ack) {
        // Numbers from the future belong to no batch of this process.
        let known = ack.merged.filter(|range| range.high <= self.last);
        self.merged = known.unwrap_or(Range::empty(self.last));
    }

    /// Notes requests that ended and could not be counted.
    pub fn drop_uncounted(&mut self, requests: u64) {
        self.dropped += requests;
    }

    /// Rows that are held.
    pub fn rows(&self) -> usize {
        self.rows + self.current.len()
    }

    /// Requests that were given up before the leader had them.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn unmerged(&self, now: Millis) -> Delta {
        let mut names = Names::default();
        let mut range = self.merged;
        let mut batches = Vec::new();
        let mut room = DELTA_ROWS;
        let newer = self.held.iter().filter(|b| b.last > self.merged.high);
        let older = self.held.iter().filter(|b| b.last <= self.merged.low);
        for batch in newer.chain(older.rev()) {
            if batch.cells.len() > room {
                break;
            }
            room -= batch.cells.len();
            range.high = range.high.max(batch.last);
            range.low = range.low.min(batch.first - 1);
            let row = |(key, cell): (&Key, &Cell)| names.row(key, cell);
            let rows: Vec<Row> = batch.cells.iter().filter_map(row).collect();
            batches.push(Batch {
                age_ms: now.saturating_sub(batch.began),
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
    fn roll(&mut self, now: Millis) {
        let Some(began) = self.began.filter(|at| now >= at + SLOT_MS) else {
            return;
        };
        self.began = None;
        let mut cells = std::mem::take(&mut self.current).into_iter();
        loop {
            let part: BTreeMap<Key, Cell> = cells.by_ref().take(DELTA_ROWS).collect();
            if part.is_empty() {
                break;
            }
            self.hold(began, part);
        }
        while self.rows > HELD_ROWS {
            self.drop_first(true);
        }
    }

    fn hold(&mut self, began: Millis, cells: BTreeMap<Key, Cell>) {
        self.last += 1;
        self.rows += cells.len();
        self.held.push_back(Held {
            first: self.last,
            last: self.last,
            began,
            cells,
        });
    }

    fn tidy(&mut self, now: Millis) {
        if now >= self.tidied_at + COARSE_MS {
            self.tidied_at = now;
            self.expire(now);
            self.join(now);
        }
    }

    /// Lets go of what is older than any window.
    fn expire(&mut self, now: Millis) {
        while self
            .held
            .front()
            .is_some_and(|b| b.began + HISTORY_MS <= now)
        {
            self.drop_first(false);
        }
    }

    fn drop_first(&mut self, counts: bool) {
        let Some(batch) = self.held.pop_front() else {
            return;
        };
        self.rows -= batch.cells.len();
        if counts && !batch.is_in(self.merged) {
            self.dropped += batch.cells.values().map(Cell::requests).sum::<u64>();
        }
    }

    /// Joins batches of one minute that the present leader has: it could not take half of one.
    fn join(&mut self, now: Millis) {
        let mut joined: VecDeque<Held> = VecDeque::with_capacity(self.held.len());
        let merged = self.merged;
        for batch in self.held.drain(..) {
            let old = batch.began + JOIN_MS <= now && batch.is_in(merged);
            let fits = |last: &&mut Held| old && last.is_in(merged) && last.fits(&batch);
            match joined.back_mut().filter(fits) {
                Some(last) => last.join(batch),
                None => joined.push_back(batch),
            }
        }
        self.rows = joined.iter().map(|b| b.cells.len()).sum();
        self.held = joined;
    }
}

impl Held {
    fn is_in(&self, range: Range) -> bool {
        range.low < self.first && self.last <= range.high
    }

    fn fits(&self, next: &Held) -> bool {
        let same = self.began / COARSE_MS == next.began / COARSE_MS;
        let new = next.cells.keys().filter(|k| !self.cells.contains_key(k));
        same && self.cells.len() + new.count() <= DELTA_ROWS
    }

    fn join(&mut self, next: Held) {
        self.last = next.last;
        for (key, cell) in next.cells {
            self.cells.entry(key).or_default().merge(&cell);
        }
    }
}
