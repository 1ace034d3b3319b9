//! Replicas by model, with an index by loaded adapter.

use super::Slot;
use crate::prelude::*;
use crate::view::{Phase, Replica, ReplicaId};
use std::collections::HashMap;

/// Milliseconds after which a replica no longer counts as new, even without a load report. Guards
/// a new replica against all routers filling it at once before its load is known.
const NEW_REPLICA_MS: u64 = 300;
/// Weight of a new sample in the moving average of a model's service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.1;

/// One replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaEntry {
    pub(super) slot: Slot,
    pub(super) version: Name,
    pub(super) ready: bool,
    /// When the replica became ready; meaningful only while `ready` is true.
    ready_since: Millis,
    /// When the load is expected to end; `None` if the replica isn't loading.
    loading_until: Option<Millis>,
    /// Time until which the replica gets no requests because its server denied having the model.
    pub(super) denied_until: Millis,
    /// Numbers of the loaded adapters, sorted.
    adapters: Box<[u32]>,
    engine: Name,
}

impl ReplicaEntry {
    /// Whether the replica became ready so recently that its reported load can't yet include other
    /// routers' requests; `reported_at` is the time of the last load report.
    pub(super) fn is_new(&self, now: Millis, reported_at: Millis) -> bool {
        now < self.ready_since + NEW_REPLICA_MS && reported_at <= self.ready_since
    }
}

/// The replicas of one model.
///
/// Invariant: `replicas_by_adapter[a]` contains `p` exactly if `entries[p]` has adapter number `a`
/// loaded.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    entries: Vec<ReplicaEntry>,
    adapter_numbers: HashMap<Name, u32>,
    replicas_by_adapter: Vec<Vec<u32>>,
    /// Moving average of the milliseconds to an answer's first byte, over all servers; 0 before the
    /// first answer.
    service_ms: f64,
}

impl Model {
    pub(super) fn entries(&self) -> &[ReplicaEntry] {
        &self.entries
    }

    pub(super) fn entry(&self, place: u32) -> &ReplicaEntry {
        &self.entries[place as usize]
    }

    /// Indexes into `entries` of the replicas that have an adapter loaded.
    pub(super) fn replicas_with_adapter(&self, adapter: &str) -> &[u32] {
        match self.adapter_numbers.get(adapter) {
            Some(number) => &self.replicas_by_adapter[*number as usize],
            None => &[],
        }
    }

    fn place(&self, id: &ReplicaId) -> Option<u32> {
        let place = self
            .entries
            .iter()
            .position(|e| e.engine == id.engine && e.version == id.version)?;
        Some(to_u32(place))
    }

    fn set(&mut self, mut entry: ReplicaEntry, id: &ReplicaId) {
        let place = if let Some(place) = self.place(id) {
            self.unindex_adapters(place);
            let previous = &self.entries[place as usize];
            if previous.ready {
                entry.ready_since = previous.ready_since;
            }
            self.entries[place as usize] = entry;
            place
        } else {
            self.entries.push(entry);
            to_u32(self.entries.len() - 1)
        };
        self.index_adapters(place);
    }

    fn remove(&mut self, id: &ReplicaId) {
        let Some(place) = self.place(id) else {
            return;
        };
        let last = to_u32(self.entries.len() - 1);
        self.unindex_adapters(place);
        if place != last {
            self.unindex_adapters(last);
        }
        self.entries.swap_remove(place as usize);
        if place != last {
            self.index_adapters(place);
        }
    }

    fn index_adapters(&mut self, place: u32) {
        for adapter in &self.entries[place as usize].adapters {
            self.replicas_by_adapter[*adapter as usize].push(place);
        }
    }

    fn unindex_adapters(&mut self, place: u32) {
        for adapter in &self.entries[place as usize].adapters {
            self.replicas_by_adapter[*adapter as usize].retain(|p| *p != place);
        }
    }

    /// Returns the adapters' numbers, assigning new ones in sequence. A replica then stores four
    /// bytes per adapter instead of its name.
    fn number_adapters(&mut self, adapters: &BTreeSet<Name>) -> Box<[u32]> {
        let mut numbers: Vec<u32> = Vec::with_capacity(adapters.len());
        for adapter in adapters {
            let next = to_u32(self.replicas_by_adapter.len());
            let number = *self.adapter_numbers.entry(adapter.clone()).or_insert(next);
            if number == next {
                self.replicas_by_adapter.push(Vec::new());
            }
            numbers.push(number);
        }
        numbers.sort_unstable();
        numbers.into_boxed_slice()
    }
}

/// Models by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Models(HashMap<Name, Model>);

impl Models {
    pub(super) fn get(&self, name: &str) -> Option<&Model> {
        self.0.get(name)
    }

    pub(super) fn entries(&self, name: &str) -> impl Iterator<Item = &ReplicaEntry> {
        self.0.get(name).into_iter().flat_map(|m| &m.entries)
    }

    /// Adds a replica or replaces its entry.
    pub(super) fn set(&mut self, now: Millis, slot: Slot, replica: &Replica) {
        let id = &replica.id;
        let model = self.0.entry(id.model.clone()).or_default();
        let loading = replica.phase == Phase::Loading;
        let entry = ReplicaEntry {
            slot,
            version: id.version.clone(),
            ready: replica.phase == Phase::Ready,
            ready_since: now,
            loading_until: loading.then_some(now + replica.ready_in_ms),
            denied_until: 0,
            adapters: model.number_adapters(&replica.adapters),
            engine: id.engine.clone(),
        };
        model.set(entry, id);
    }

    /// Removes a replica. A model without replicas keeps its adapter numbers and average service
    /// time.
    pub(super) fn remove(&mut self, id: &ReplicaId) {
        if let Some(model) = self.0.get_mut(&id.model) {
            model.remove(id);
        }
    }

    /// Earliest time at which a loading replica is expected to be ready.
    pub(super) fn expected_ready_at(&self, name: &str) -> Option<Millis> {
        self.entries(name).filter_map(|e| e.loading_until).min()
    }

    /// Excludes a model's replicas on a server from selection until a time.
    pub(super) fn deny(&mut self, name: &str, slot: Slot, until: Millis) {
        if let Some(model) = self.0.get_mut(name) {
            let entries = model.entries.iter_mut().filter(|e| e.slot == slot);
            entries.for_each(|e| e.denied_until = until);
        }
    }

    /// Adds a service time to the model's average. Returns its ratio to the average before it; 1.0
    /// for an unknown model.
    #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
    pub(super) fn record_service_time(&mut self, name: &str, ms: u64) -> f64 {
        let sample = ms.max(1) as f64;
        let Some(model) = self.0.get_mut(name) else {
            return 1.0;
        };
        if model.service_ms == 0.0 {
            model.service_ms = sample;
        }
        let ratio = sample / model.service_ms;
        model.service_ms += SERVICE_TIME_SAMPLE_WEIGHT * (sample - model.service_ms);
        ratio
    }
}

fn to_u32(value: usize) -> u32 {
    u32::try_from(value).expect("fewer than 2^32 replicas and adapters")
}
