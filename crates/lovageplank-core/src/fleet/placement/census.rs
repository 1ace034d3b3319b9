//! Counts over all engines of a service, taken once for each decision.

use super::Planner;
use super::load_cost::is_cached;
use crate::prelude::*;

/// Requests and copies of each model.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// Running requests.
    running: BTreeMap<Name, u32>,
    /// Engines that have the model cached or loaded.
    holders: BTreeMap<Name, usize>,
    /// Models that some engine has loaded.
    loaded: BTreeSet<Name>,
}

impl Census {
    pub(super) fn new(planner: &Planner, now: Millis, service: &Name) -> Census {
        let mut census = Census::default();
        for engine in planner.engines_of(service) {
            for ((model, _), requests) in &engine.running {
                *census.running.entry(model.clone()).or_default() += requests;
            }
            if !engine.is_alive(now) {
                continue;
            }
            let only_memory = engine.cached_weights.memory.iter();
            let only_memory = only_memory.filter(|m| !engine.cached_weights.disk.contains(*m));
            let only_loaded = engine.loaded.keys().filter(|m| !is_cached(engine, m));
            let held = engine.cached_weights.disk.iter().chain(only_memory);
            for model in held.chain(only_loaded) {
                *census.holders.entry(model.clone()).or_default() += 1;
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

    /// Whether a model isn't loaded anywhere, and at most one engine has it cached.
    pub(super) fn needs_sole_holder(&self, model: &Name) -> bool {
        !self.loaded.contains(model) && self.holders.get(model).copied().unwrap_or_default() <= 1
    }
}
