//! Counts over all engines of a service, taken once for each decision.
//!
//! A decision weighs many models, and asks for each how many engines have it. The census answers that
//! without another look at all engines, so that a decision grows with the engines and the models, and
//! not with their product. Loads that the decision starts are added to it.

use super::Planner;
use super::load_cost::{LoadPlan, is_cached};
use crate::prelude::*;
use std::cell::Cell;

/// Requests, replicas and copies of each model.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// Running requests.
    running: BTreeMap<Name, u32>,
    /// Engines that have the model loaded and will keep it, or will load it.
    replicas: BTreeMap<Name, usize>,
    /// Names of the engines that have the model cached.
    cached_at: BTreeMap<Name, Vec<Name>>,
    /// Engines that have the model cached or loaded.
    holders: BTreeMap<Name, usize>,
    /// Models that some engine has loaded.
    loaded: BTreeSet<Name>,
    /// Engines that accept requests.
    alive: usize,
    /// Loads from the store, of all services, that are in progress or about to begin.
    store_loads: usize,
    /// Looks at one engine since the decision began.
    looks: Cell<usize>,
}

impl Census {
    pub(super) fn new(planner: &Planner, now: Millis, service: &Name) -> Census {
        let mut census = Census {
            store_loads: planner.store_loads_active(now),
            ..Census::default()
        };
        census.look(planner.engines.len());
        let engines = planner.engines.iter();
        for (id, engine) in engines.filter(|(_, engine)| engine.service == *service) {
            for ((model, _), requests) in &engine.running {
                *census.running.entry(model.clone()).or_default() += requests;
            }
            if !engine.is_alive(now) {
                continue;
            }
            census.alive += 1;
            let only_memory = engine.cached_weights.memory.iter();
            let only_memory = only_memory.filter(|m| !engine.cached_weights.disk.contains(*m));
            for model in engine.cached_weights.disk.iter().chain(only_memory) {
                *census.holders.entry(model.clone()).or_default() += 1;
                let cached_at = census.cached_at.entry(model.clone()).or_default();
                cached_at.push(id.clone());
            }
            for model in engine.loaded.keys().filter(|m| !is_cached(engine, m)) {
                *census.holders.entry(model.clone()).or_default() += 1;
            }
            let inherited = planner.inherited_at(id, engine).map(|load| &load.model);
            for model in engine.kept_models().chain(inherited) {
                *census.replicas.entry(model.clone()).or_default() += 1;
            }
            census.loaded.extend(engine.loaded.keys().cloned());
        }
        census
    }

    /// Running requests of a model.
    pub(super) fn running(&self, model: &Name) -> u32 {
        self.running.get(model).copied().unwrap_or_default()
    }

    /// Models that have running requests.
    pub(super) fn requested(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.running
            .iter()
            .map(|(model, requests)| (model, *requests))
    }

    /// Number of engines that have the model loaded and will keep it, or will load it.
    pub(super) fn replicas(&self, model: &Name) -> usize {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Names of the engines that have the model cached.
    pub(super) fn cached_at(&self, model: &Name) -> &[Name] {
        self.cached_at.get(model).map_or(&[], Vec::as_slice)
    }

    /// Whether an engine that accepts requests doesn't have the model cached.
    pub(super) fn is_missing_somewhere(&self, model: &Name) -> bool {
        self.cached_at(model).len() < self.alive
    }

    /// Whether an engine has the model loaded or cached, or will load it.
    pub(super) fn is_held(&self, model: &Name) -> bool {
        self.holders.contains_key(model) || self.replicas(model) > 0
    }

    /// Whether a model isn't loaded anywhere, and at most one engine has it cached.
    pub(super) fn needs_sole_holder(&self, model: &Name) -> bool {
        !self.loaded.contains(model) && self.has_sole_holder(model)
    }

    /// Whether at most one engine has a model loaded or cached.
    pub(super) fn has_sole_holder(&self, model: &Name) -> bool {
        self.holders.get(model).copied().unwrap_or_default() <= 1
    }

    /// Loads from the store that are in progress or about to begin.
    pub(super) fn store_loads(&self) -> usize {
        self.store_loads
    }

    /// Adds a load that begins, with the unloads that precede it.
    pub(super) fn add_load(&mut self, model: &Name, plan: &LoadPlan) {
        *self.replicas.entry(model.clone()).or_default() += 1;
        for victim in &plan.evictions {
            if let Some(replicas) = self.replicas.get_mut(victim) {
                *replicas = replicas.saturating_sub(1);
            }
        }
        self.store_loads += usize::from(plan.from_store);
    }

    /// Counts looks at engines.
    pub(super) fn look(&self, engines: usize) {
        self.looks.set(self.looks.get() + engines);
    }

    /// Looks at one engine since the decision began: the work of the decision.
    pub(super) fn looks(&self) -> usize {
        self.looks.get()
    }
}
