//! Deltas that routers send to the leader, and its acknowledgement.

use super::{Cell, Key};
use crate::prelude::*;

record! { data =>
    /// Counts that the leader has not acknowledged.
    ///
    /// Each incarnation of a router numbers its batches. A leader merges a delta only if the
    /// batches that it has merged are exactly `base`, so that a delta that is sent twice is counted
    /// once. New batches are sent first, followed by older ones in reverse order, so that the short
    /// windows of a new leader are complete first.
    pub struct Delta {
        /// Batches that the leader must have merged before.
        pub base: BatchRange,
        /// Batches that the leader has merged afterwards; contains `base`.
        pub range: BatchRange,
        /// Requests that the router did not count, or whose counts it dropped before the leader
        /// merged them.
        pub dropped: u64,
        /// Names of services and models, to which rows refer by index.
        pub names: Vec<Name>,
        /// New batches, oldest first; then older ones, newest first.
        pub batches: Vec<Batch>,
    }
}

record! { data =>
    /// Counts of one time slot.
    pub struct Batch {
        /// Milliseconds from the start of the slot to the creation of the delta.
        #[serde(rename = "a")]
        pub age_ms: u64,
        /// The counts.
        #[serde(rename = "r")]
        pub rows: Vec<Row>,
    }
}

record! { data =>
    /// Counts of one key: indices of service and model in [`Delta::names`], and the cell.
    pub struct Row(pub u16, pub u16, pub Cell);
}

record! { copy =>
    /// The batch numbers above `low` and up to `high`. Invariant: `low <= high`.
    #[derive(Default)]
    pub struct BatchRange {
        /// One less than the first number.
        pub low: u64,
        /// The last number.
        pub high: u64,
    }
}

record! { copy =>
    /// Acknowledges the batches that the leader has merged from an incarnation of a router.
    pub struct Ack {
        /// The merged batches, as far as the router still buffered them; `None` if the leader has
        /// merged none of this incarnation or knows a newer one.
        pub merged: Option<BatchRange>,
    }
}

impl BatchRange {
    /// The empty range that ends at `at`.
    pub(super) fn empty(at: u64) -> BatchRange {
        BatchRange { low: at, high: at }
    }

    pub(super) fn is_empty(self) -> bool {
        self.low == self.high
    }
}

impl Delta {
    /// The key of a row; `None` if an index of the row is out of bounds.
    pub fn key(&self, row: &Row) -> Option<Key> {
        let name = |index: u16| self.names.get(usize::from(index)).cloned();
        Some(Key {
            service: name(row.0)?,
            model: name(row.1)?,
        })
    }
}

/// Collects the distinct names of a delta.
#[derive(Default)]
pub(super) struct NameTable {
    list: Vec<Name>,
    indices: BTreeMap<Name, u16>,
}

impl NameTable {
    /// The index of a name, which is added if it is new; `None` if the table is full.
    fn index(&mut self, name: &Name) -> Option<u16> {
        if let Some(index) = self.indices.get(name) {
            return Some(*index);
        }
        let index = u16::try_from(self.list.len()).ok()?;
        self.list.push(name.clone());
        self.indices.insert(name.clone(), index);
        Some(index)
    }

    /// The row for the cell of a key; `None` if the table is too full for its names.
    pub(super) fn row(&mut self, key: &Key, cell: &Cell) -> Option<Row> {
        Some(Row(
            self.index(&key.service)?,
            self.index(&key.model)?,
            cell.clone(),
        ))
    }

    pub(super) fn into_list(self) -> Vec<Name> {
        self.list
    }
}
