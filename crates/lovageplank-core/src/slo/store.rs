//! The leader's counts of all routers.

use super::{Ack, Batch, BatchRange, COARSE_SLOT_MS, Cell, Delta, FINE_SLOT_MS, Key};
use crate::prelude::*;

/// Milliseconds for which counts are kept: the longest window.
pub const HISTORY_MS: u64 = 6 * 3_600_000;

/// Milliseconds for which counts are kept in slots of [`FINE_SLOT_MS`].
const FINE_HISTORY_MS: u64 = 6 * 60_000;

/// Longest window that is summed from slots of [`FINE_SLOT_MS`].
const MAX_FINE_WINDOW_MS: u64 = 5 * 60_000;

/// Cells that a store holds at the most, fine and coarse ones together.
pub const MAX_CELLS: usize = 32_768;

/// Counts of all routers by slot of time, service and model.
///
/// The order in which deltas of different routers come makes no difference.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    /// Slots of [`FINE_SLOT_MS`], only recent ones.
    fine: SlotMap,
    /// Slots of [`COARSE_SLOT_MS`], of the whole history.
    coarse: SlotMap,
    routers: BTreeMap<Name, Progress>,
    /// Requests in slots that were dropped because [`MAX_CELLS`] was reached.
    evicted: u64,
}

/// Cells by number of the slot. Invariant: no slot is empty, and `cells` is their sum.
#[derive(Clone, Debug, Default, PartialEq)]
struct SlotMap {
    slots: BTreeMap<u64, BTreeMap<Key, Cell>>,
    cells: usize,
}

/// What is merged of a router's newest incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Progress {
    incarnation: u64,
    merged: Option<BatchRange>,
    dropped: u64,
}

impl Store {
    /// How far a router's counts are merged; of a new incarnation nothing is.
    pub fn progress(&mut self, router: &Name, incarnation: u64) -> Ack {
        let progress = self.routers.entry(router.clone()).or_default();
        if progress.incarnation < incarnation {
            *progress = Progress {
                incarnation,
                ..Progress::default()
            };
        }
        Ack {
            merged: progress.merged,
        }
    }

    /// Merges a delta that builds on what is merged already.
    ///
    /// Any other delta changes nothing; the acknowledgement tells the router where to go on. One of
    /// an older incarnation is ignored.
    pub fn merge(&mut self, now: Millis, router: &Name, incarnation: u64, delta: &Delta) -> Ack {
        let previous = self.progress(router, incarnation);
        if self.routers[router].incarnation != incarnation {
            return Ack { merged: None };
        }
        let extends_merged = match previous.merged {
            None => delta.base.is_empty(),
            Some(merged) => delta.base == merged,
        };
        if !extends_merged {
            return previous;
        }
        for batch in &delta.batches {
            self.add(now, delta, batch);
        }
        self.expire(now);
        let merged = Some(delta.range);
        let progress = Progress {
            incarnation,
            merged,
            dropped: delta.dropped,
        };
        self.routers.insert(router.clone(), progress);
        Ack { merged }
    }

    /// Sums of the last `window_ms` by service and model.
    ///
    /// Windows of up to five minutes are exact to ten seconds, longer ones to a minute.
    pub fn sums(&self, now: Millis, window_ms: u64) -> BTreeMap<Key, Cell> {
        let (slot_map, slot_ms) = self.slot_map(window_ms);
        let first = slot_number(now, window_ms, slot_ms) + 1;
        let mut sums: BTreeMap<Key, Cell> = BTreeMap::new();
        for (key, cell) in slot_map.slots.range(first..).flat_map(|(_, cells)| cells) {
            sums.entry(key.clone()).or_default().merge(cell);
        }
        sums
    }

    /// The sum of the last `window_ms` over a service's models.
    pub fn service_sum(&self, now: Millis, window_ms: u64, service: &str) -> Cell {
        let (slot_map, slot_ms) = self.slot_map(window_ms);
        let first = slot_number(now, window_ms, slot_ms) + 1;
        slot_map.sum(first, u64::MAX, service)
    }

    /// The sum of a service between two ages in milliseconds, exact to a minute.
    pub fn service_sum_between(
        &self,
        now: Millis,
        oldest_ms: u64,
        newest_ms: u64,
        service: &str,
    ) -> Cell {
        let first = slot_number(now, oldest_ms, COARSE_SLOT_MS) + 1;
        let last = slot_number(now, newest_ms, COARSE_SLOT_MS);
        self.coarse.sum(first, last, service)
    }

    /// Milliseconds that the oldest count goes back, to the minute.
    pub fn history_age_ms(&self, now: Millis) -> u64 {
        let oldest = self.coarse.slots.keys().next();
        oldest.map_or(0, |oldest| {
            (slot_number(now, 0, COARSE_SLOT_MS) + 1 - oldest) * COARSE_SLOT_MS
        })
    }

    /// Requests that routers gave up before they were merged, and those given up here.
    pub fn dropped(&self) -> u64 {
        self.evicted + self.routers.values().map(|r| r.dropped).sum::<u64>()
    }

    /// Cells held.
    pub fn cells(&self) -> usize {
        self.fine.cells + self.coarse.cells
    }

    fn slot_map(&self, window_ms: u64) -> (&SlotMap, u64) {
        if window_ms <= MAX_FINE_WINDOW_MS {
            (&self.fine, FINE_SLOT_MS)
        } else {
            (&self.coarse, COARSE_SLOT_MS)
        }
    }

    fn add(&mut self, now: Millis, delta: &Delta, batch: &Batch) {
        for row in &batch.rows {
            let Some(key) = delta.key(row) else { continue };
            if batch.age_ms < FINE_HISTORY_MS {
                let at = slot_number(now, batch.age_ms, FINE_SLOT_MS);
                self.fine.add(at, key.clone(), &row.2);
            }
            let at = slot_number(now, batch.age_ms, COARSE_SLOT_MS);
            self.coarse.add(at, key, &row.2);
        }
    }

    fn expire(&mut self, now: Millis) {
        self.fine
            .drop_before(slot_number(now, FINE_HISTORY_MS, FINE_SLOT_MS));
        self.coarse
            .drop_before(slot_number(now, HISTORY_MS, COARSE_SLOT_MS));
        while self.cells() > MAX_CELLS {
            self.evicted += self.coarse.drop_oldest();
        }
    }
}

impl SlotMap {
    fn add(&mut self, slot: u64, key: Key, cell: &Cell) {
        let cells = self.slots.entry(slot).or_default();
        let before = cells.len();
        cells.entry(key).or_default().merge(cell);
        self.cells += cells.len() - before;
    }

    fn sum(&self, first: u64, last: u64, service: &str) -> Cell {
        let mut sum = Cell::default();
        let slots = self.slots.iter().skip_while(|(at, _)| **at < first);
        for (_, cells) in slots.take_while(|(at, _)| **at <= last) {
            let own = cells.iter().filter(|(key, _)| &*key.service == service);
            own.for_each(|(_, cell)| sum.merge(cell));
        }
        sum
    }

    fn drop_before(&mut self, first: u64) {
        self.slots = self.slots.split_off(&first);
        self.cells = self.slots.values().map(BTreeMap::len).sum();
    }

    /// Drops the oldest slot; gives the requests that it counted.
    fn drop_oldest(&mut self) -> u64 {
        let Some((_, cells)) = self.slots.pop_first() else {
            return 0;
        };
        self.cells -= cells.len();
        cells.values().map(Cell::requests).sum()
    }
}

/// The slot of something of this age; ages may reach back beyond the start of the clock.
fn slot_number(now: Millis, age_ms: u64, slot_ms: u64) -> u64 {
    (now + 2 * HISTORY_MS - age_ms.min(2 * HISTORY_MS)) / slot_ms
}
