//! Bounds the adapter loads in flight.

use crate::prelude::*;
use crate::view::ReplicaId;

/// Time after which [`Slots::expire`] frees the slot of an adapter load whose outcome is unknown,
/// so that lost outcomes don't use up the slots. A load that takes
/// longer is no longer counted.
const SLOT_TTL_MS: u64 = 2_000;

/// Adapter loads in flight over all engines.
///
/// Invariant: [`Slots::take`] never exceeds the limit that it is given.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    taken: BTreeMap<(ReplicaId, Name), Millis>,
}

impl Slots {
    /// Takes a slot for an adapter load; `false` if that load is already in flight or `limit` slots
    /// are taken.
    pub fn take(&mut self, now: Millis, limit: u32, replica: &ReplicaId, adapter: &Name) -> bool {
        let key = (replica.clone(), adapter.clone());
        if self.taken.len() >= limit as usize || self.taken.contains_key(&key) {
            return false;
        }
        self.taken.insert(key, now);
        true
    }

    /// Frees the slot of an adapter load that ended, whatever its outcome.
    pub fn free(&mut self, replica: &ReplicaId, adapter: &Name) {
        self.taken.remove(&(replica.clone(), adapter.clone()));
    }

    /// Frees the slots of adapter loads for which `ended` returns true or whose outcome has been
    /// unknown for 2 s.
    pub fn expire(&mut self, now: Millis, ended: impl Fn(&ReplicaId, &Name) -> bool) {
        self.taken.retain(|(replica, adapter), started| {
            now.saturating_sub(*started) < SLOT_TTL_MS && !ended(replica, adapter)
        });
    }

    /// Number of adapter loads in flight.
    pub fn in_flight(&self) -> usize {
        self.taken.len()
    }
}
