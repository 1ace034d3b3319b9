//! What the leader tells routers of the requests at each server: all of it once, then what has changed.
//!
//! With hundreds of routers and servers, all totals to all routers several times a second fill the link of the
//! leader, though few totals change by more than one request. Aggregation by threshold keeps the error at each
//! server small instead of the interval long.

use crate::prelude::*;

/// Protocol version since which routers know [`Message::TotalsChanged`](super::message::Message::TotalsChanged).
pub const PROTOCOL: u32 = 3;
/// Smallest change of the requests at a server that is sent, unless there were or are none.
const CHANGE_MIN: u32 = 2;

/// What routers were told last.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    totals: BTreeMap<Name, u32>,
}

impl Sent {
    /// Returns the totals that routers should be told of now, as a difference to what they know. Without requests,
    /// a server's total is 0.
    pub fn changes(&mut self, current: &[(Name, u32)]) -> Vec<(Name, u32)> {
        let current: BTreeMap<&Name, u32> =
            current.iter().map(|(id, total)| (id, *total)).collect();
        let ended = self.totals.keys().filter(|id| !current.contains_key(*id));
        let ended: Vec<(Name, u32)> = ended.map(|id| (id.clone(), 0)).collect();
        let current = current.into_iter().filter(|(id, total)| {
            let known = self.totals.get(*id).copied().unwrap_or_default();
            let is_first_or_last = (known == 0) != (*total == 0);
            is_first_or_last || known.abs_diff(*total) >= CHANGE_MIN
        });
        let changes: Vec<(Name, u32)> = current
            .map(|(id, total)| (id.clone(), total))
            .chain(ended)
            .collect();
        apply(&mut self.totals, &changes);
        changes
    }

    /// Returns what routers know, for one that knows nothing.
    pub fn all(&self) -> Vec<(Name, u32)> {
        let totals = self.totals.iter();
        totals.map(|(id, total)| (id.clone(), *total)).collect()
    }
}

/// Applies changes to known totals.
pub fn apply(totals: &mut BTreeMap<Name, u32>, changes: &[(Name, u32)]) {
    for (id, total) in changes {
        if *total == 0 {
            totals.remove(id);
        } else {
            totals.insert(id.clone(), *total);
        }
    }
}
