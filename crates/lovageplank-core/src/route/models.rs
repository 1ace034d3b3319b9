//! Replicas by model, with an index of the adapters that they hold.

use super::Slot;
use crate::prelude::*;
use crate::view::{Phase, Replica, ReplicaId};
use std::collections::HashMap;

/// Milliseconds for which a replica counts as new.
const NEW_REPLICA_MS: u64 = 300;
/// Weight of a new sample in a model's average service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.1;

/// One replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaEntry {
    pub(super) slot: Slot,
    pub(super) version: Name,
    pub(super) ready: bool,
    /// Since when the replica is ready.
    ready_since: Millis,
    /// When a load is expected to end; `None` if the replica isn't loading.
    loading_until: Option<Millis>,
    /// Until then the replica is passed over, because its server denied having it.
    pub(super) denied_until: Millis,
    /// Numbers of the adapters that it holds, sorted.
    adapters: Box<[u32]>,
    engine: Name,
}

impl ReplicaEntry {
    /// Whether the replica is so new that other routers' requests don't show in its load yet.
    pub(super) fn is_new(&self, now: Millis, reported_at: Millis) -> bool {
        now < self.ready_since + NEW_REPLICA_MS && reported_at <= self.ready_since
    }
}

/// The replicas of one model.
///
/// Invariant: `replicas_by_adapter` lists place `p` under adapter `a` exactly if `entries[p]` holds `a`.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    entries: Vec<ReplicaEntry>,
    adapter_numbers: HashMap<Name, u32>,
    replicas_by_adapter: Vec<Vec<u32>>,
    /// Average milliseconds to an answer over all servers.
    service_ms: f64,
}

impl Model {
    pub(super) fn entries(&self) -> &[ReplicaEntry] {
        &self.entries
    }

    pub(super) fn entry(&self, place: u32) -> &ReplicaEntry {
        &self.entries[place as usize]
    }

    /// Places of the replicas that hold an adapter.
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

    /// Numbers for adapters; small and dense, so that replicas hold four bytes for each.
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

    /// Adds or changes a replica.
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

    /// Removes a replica; a model without any keeps its name and average.
    pub(super) fn remove(&mut self, id: &ReplicaId) {
        if let Some(model) = self.0.get_mut(&id.model) {
            model.remove(id);
        }
    }

    /// When the first replica that loads is expected to be ready.
    pub(super) fn expected_ready_at(&self, name: &str) -> Option<Millis> {
        self.entries(name).filter_map(|e| e.loading_until).min()
    }

    /// Passes over a model's replicas on a server until a time.
    pub(super) fn deny(&mut self, name: &str, slot: Slot, until: Millis) {
        if let Some(model) = self.0.get_mut(name) {
            let entries = model.entries.iter_mut().filter(|e| e.slot == slot);
            entries.for_each(|e| e.denied_until = until);
        }
    }

    /// Notes a service time; returns its ratio to the model's average before it.
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
