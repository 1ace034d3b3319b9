//! What routers send the leader, and its acknowledgement.

use super::{Cell, Key};
use crate::prelude::*;

record! { data =>
    /// Counts that the leader may not have yet.
    ///
    /// Batches are numbered by their router's incarnation. A delta is merged only by a leader whose
    /// progress is its `base`, so that one that is sent twice counts once. New batches are sent
    /// first and what a new leader lacks is filled in backwards, so that short windows are right
    /// first.
    pub struct Delta {
        /// What the leader must have merged before.
        pub base: BatchRange,
        /// What it has merged afterwards; contains `base`.
        pub range: BatchRange,
        /// Requests that the router has given up before the leader had them.
        pub dropped: u64,
        /// Names of services and models that rows refer to.
        pub names: Vec<Name>,
        /// New batches, oldest first; then older ones, newest first.
        pub batches: Vec<Batch>,
    }
}

record! { data =>
    /// Counts of one slot of time.
    pub struct Batch {
        /// Milliseconds since the slot began when the delta was made.
        #[serde(rename = "a")]
        pub age_ms: u64,
        /// The counts.
        #[serde(rename = "r")]
        pub rows: Vec<Row>,
    }
}

record! { data =>
    /// Counts of one key: places of service and model in the delta's names, and the cell.
    pub struct Row(pub u16, pub u16, pub Cell);
}

record! { copy =>
    /// Numbers of batches above `low` and up to `high`. Invariant: `low <= high`.
    #[derive(Default)]
    pub struct BatchRange {
        /// The number before the first.
        pub low: u64,
        /// The last number.
        pub high: u64,
    }
}

record! { copy =>
    /// How far the leader has merged the batches of a router's incarnation.
    pub struct Ack {
        /// What it has of those that the router still held; `None` if it knows nothing of it.
        pub merged: Option<BatchRange>,
    }
}

impl BatchRange {
    /// The range without any number that ends at `at`.
    pub(super) fn empty(at: u64) -> BatchRange {
        BatchRange { low: at, high: at }
    }

    pub(super) fn is_empty(self) -> bool {
        self.low == self.high
    }
}

impl Delta {
    /// The key of a row; `None` if it refers to a name that isn't there.
    pub fn key(&self, row: &Row) -> Option<Key> {
        let name = |index: u16| self.names.get(usize::from(index)).cloned();
        Some(Key {
            service: name(row.0)?,
            model: name(row.1)?,
        })
    }
}

/// Collects names for a delta.
#[derive(Default)]
pub(super) struct NameTable {
    list: Vec<Name>,
    indices: BTreeMap<Name, u16>,
}

impl NameTable {
    /// The place of a name, which is added if it is new; `None` when there is no room.
    fn index(&mut self, name: &Name) -> Option<u16> {
        if let Some(index) = self.indices.get(name) {
            return Some(*index);
        }
        let index = u16::try_from(self.list.len()).ok()?;
        self.list.push(name.clone());
        self.indices.insert(name.clone(), index);
        Some(index)
    }

    /// The row of a key's cell; `None` when there is no room for its names.
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
