//! What routers send the leader, and its acknowledgement.

use super::{Cell, Key};
use crate::prelude::*;

record! { data =>
    /// Counts that the leader may not have yet.
    ///
    /// Batches are numbered by their router's incarnation; a batch never changes once it is
    /// numbered, so that one that is sent twice is merged once.
    #[derive(Default)]
    pub struct Delta {
        /// The router has sent, or can't send any more, all batches up to this number.
        pub after: u64,
        /// Batches up to this number are held no more; the leader must not wait for them.
        pub floor: u64,
        /// Requests that the router has given up before the leader had them.
        pub dropped: u64,
        /// Names of services and models that rows refer to.
        pub names: Vec<Name>,
        /// Batches by number.
        pub batches: Vec<Batch>,
    }
}

record! { data =>
    /// Counts of one slot of time.
    pub struct Batch {
        /// Number; the last one of those that were joined in it.
        #[serde(rename = "s")]
        pub sequence: u64,
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
    /// The leader has all batches of the router's incarnation up to this number.
    pub struct Ack {
        /// The last number merged; 0 before the first.
        pub sequence: u64,
    }
}

impl Delta {
    /// The key of a row; `None` if it refers to a name that isn't there.
    pub fn key(&self, row: &Row) -> Option<Key> {
        let name = |place: u16| self.names.get(usize::from(place)).cloned();
        Some(Key {
            service: name(row.0)?,
            model: name(row.1)?,
        })
    }
}

/// Collects names for a delta.
#[derive(Default)]
pub(super) struct Names {
    list: Vec<Name>,
    places: BTreeMap<Name, u16>,
}

impl Names {
    /// The place of a name, which is added if it is new; `None` when there is no room.
    fn place(&mut self, name: &Name) -> Option<u16> {
        if let Some(place) = self.places.get(name) {
            return Some(*place);
        }
        let place = u16::try_from(self.list.len()).ok()?;
        self.list.push(name.clone());
        self.places.insert(name.clone(), place);
        Some(place)
    }

    /// The row of a key's cell; `None` when there is no room for its names.
    pub(super) fn row(&mut self, key: &Key, cell: &Cell) -> Option<Row> {
        Some(Row(
            self.place(&key.service)?,
            self.place(&key.model)?,
            cell.clone(),
        ))
    }

    pub(super) fn into_list(self) -> Vec<Name> {
        self.list
    }
}
