//! Merged counts of all routers, which the leader keeps.

use super::{Ack, Batch, BatchRange, COARSE_SLOT_MS, Cell, Delta, FINE_SLOT_MS, Key};
use crate::prelude::*;

/// Milliseconds for which counts are kept; equal to the longest window.
pub const HISTORY_MS: u64 = 6 * 3_600_000;

/// Milliseconds for which counts are also kept in slots of [`FINE_SLOT_MS`].
const FINE_HISTORY_MS: u64 = 6 * 60_000;

/// Longest window in milliseconds that is summed from slots of [`FINE_SLOT_MS`].
const MAX_FINE_WINDOW_MS: u64 = 5 * 60_000;

/// Maximum cells of a store, in fine and coarse slots together. Beyond it the oldest coarse slots
/// are dropped, and [`Store::dropped`] counts their requests.
pub const MAX_CELLS: usize = 32_768;

/// Counts of all routers by time slot, service and model.
///
/// The result doesn't depend on the order in which the deltas of different routers are merged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    /// Slots of [`FINE_SLOT_MS`], for the last [`FINE_HISTORY_MS`].
    fine: SlotMap,
    /// Slots of [`COARSE_SLOT_MS`], for the last [`HISTORY_MS`].
    coarse: SlotMap,
    routers: BTreeMap<Name, Progress>,
    /// Requests in coarse slots that were dropped because [`MAX_CELLS`] was exceeded.
    evicted: u64,
}

/// Cells by slot number. Invariant: no slot is empty, and `cells` is the number of all cells.
#[derive(Clone, Debug, Default, PartialEq)]
struct SlotMap {
    slots: BTreeMap<u64, BTreeMap<Key, Cell>>,
    cells: usize,
}

/// Merged batches of a router's newest incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Progress {
    incarnation: u64,
    merged: Option<BatchRange>,
    dropped: u64,
}

impl Store {
    /// The batches merged from a router; none for an incarnation that is new to this store.
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

    /// Merges a delta whose base equals the range of batches merged from the router so far.
    ///
    /// Any other delta is discarded; the returned acknowledgement contains the range on which the
    /// router must base its next delta. Deltas of an older incarnation are discarded as well.
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

    /// Sums over the last `window_ms` by service and model.
    ///
    /// The window is accurate to ten seconds if it is at most five minutes long, and to one minute
    /// otherwise.
    pub fn sums(&self, now: Millis, window_ms: u64) -> BTreeMap<Key, Cell> {
        let (slot_map, slot_ms) = self.slot_map(window_ms);
        let first = slot_number(now, window_ms, slot_ms) + 1;
        let mut sums: BTreeMap<Key, Cell> = BTreeMap::new();
        for (key, cell) in slot_map.slots.range(first..).flat_map(|(_, cells)| cells) {
            sums.entry(key.clone()).or_default().merge(cell);
        }
        sums
    }

    /// The sum over the last `window_ms` and all models of a service.
    pub fn service_sum(&self, now: Millis, window_ms: u64, service: &str) -> Cell {
        let (slot_map, slot_ms) = self.slot_map(window_ms);
        let first = slot_number(now, window_ms, slot_ms) + 1;
        slot_map.sum(first, u64::MAX, service)
    }

    /// The sum over all models of a service between two ages in milliseconds, accurate to one
    /// minute.
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

    /// Age in milliseconds of the oldest slot, in whole minutes; 0 without counts.
    pub fn history_age_ms(&self, now: Millis) -> u64 {
        let oldest = self.coarse.slots.keys().next();
        oldest.map_or(0, |oldest| {
            (slot_number(now, 0, COARSE_SLOT_MS) + 1 - oldest) * COARSE_SLOT_MS
        })
    }

    /// Requests whose counts were dropped, by the routers' newest incarnations before they were
    /// merged or by this store.
    pub fn dropped(&self) -> u64 {
        self.evicted + self.routers.values().map(|r| r.dropped).sum::<u64>()
    }

    /// Number of cells in fine and coarse slots.
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

    /// Drops the oldest slot and returns the number of requests in it.
    fn drop_oldest(&mut self) -> u64 {
        let Some((_, cells)) = self.slots.pop_first() else {
            return 0;
        };
        self.cells -= cells.len();
        cells.values().map(Cell::requests).sum()
    }
}

/// Number of the slot that contains the time `age_ms` before `now`. That time may be before the
/// start of the clock, so numbers have an offset of twice [`HISTORY_MS`].
fn slot_number(now: Millis, age_ms: u64, slot_ms: u64) -> u64 {
    (now + 2 * HISTORY_MS - age_ms.min(2 * HISTORY_MS)) / slot_ms
}
