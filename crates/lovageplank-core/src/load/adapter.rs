//! Bounds the adapter loads in flight.

use crate::prelude::*;
use crate::view::ReplicaId;

/// An adapter load whose outcome is unknown frees its slot after this long.
const SLOT_TTL_MS: u64 = 2_000;

/// Adapter loads in flight over all engines.
///
/// Invariant: [`Slots::take`] never lets more loads into flight than its limit.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    taken: BTreeMap<(ReplicaId, Name), Millis>,
}

impl Slots {
    /// Takes a slot for a load; false when it is in flight already or none of `limit` is free.
    pub fn take(&mut self, now: Millis, limit: u32, replica: &ReplicaId, adapter: &Name) -> bool {
        let key = (replica.clone(), adapter.clone());
        if self.taken.len() >= limit as usize || self.taken.contains_key(&key) {
            return false;
        }
        self.taken.insert(key, now);
        true
    }

    /// Frees the slot of a load that ended, whatever its outcome.
    pub fn free(&mut self, replica: &ReplicaId, adapter: &Name) {
        self.taken.remove(&(replica.clone(), adapter.clone()));
    }

    /// Frees the slots of loads that `ended` names, or that are too old to be in flight.
    pub fn expire(&mut self, now: Millis, ended: impl Fn(&ReplicaId, &Name) -> bool) {
        self.taken.retain(|(replica, adapter), started| {
            now.saturating_sub(*started) < SLOT_TTL_MS && !ended(replica, adapter)
        });
    }

    /// Loads in flight.
    pub fn in_flight(&self) -> usize {
        self.taken.len()
    }
}
