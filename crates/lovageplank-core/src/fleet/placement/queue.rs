//! When each engine can begin another load.
//!
//! An engine carries out one command at a time. A model whose weights are cached at a busy engine
//! is mostly ready sooner if it waits for that engine than if another engine loads it from the
//! store, which takes many times as long and makes the other engine busy as well.

use super::census::Census;
use super::engine::Engine;
use super::{Planner, load_cost};
use crate::fleet::deployment;
use crate::prelude::*;

/// Milliseconds for withdrawing and unloading models before a load.
pub(super) const EVICTION_MS: Millis = 130;
/// Milliseconds until it is known what an engine has loaded, if a report has been requested.
const UNKNOWN_STATE_MS: Millis = 600;
/// Milliseconds by which the report of the end of a load from the store lags.
pub(super) const REPORT_MS: Millis = 300;

/// What one decision knows of the engines: when each can begin another load, and what waits for
/// that.
#[derive(Debug, Default)]
pub(super) struct Queues {
    busy_ms: BTreeMap<Name, Millis>,
    store_waits: usize,
    /// Models that callers ask for and no engine has.
    missing_demand: usize,
    census: Census,
}

impl Queues {
    pub(super) fn new(
        planner: &Planner,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
    ) -> Queues {
        let engines = planner.engines.iter();
        let busy_ms = engines
            .filter(|(_, engine)| engine.service == *service)
            .map(|(id, engine)| {
                let inherited = planner.inherited_at(id, engine);
                let inherited_ms = inherited.map(|load| load.ends_at.saturating_sub(now));
                let busy_ms = inherited_ms.unwrap_or_else(|| busy_ms(now, engine, spec));
                (id.clone(), busy_ms)
            });
        Queues {
            busy_ms: busy_ms.collect(),
            store_waits: 0,
            missing_demand: 0,
            census: Census::new(planner, now, service),
        }
    }

    /// Milliseconds until the engine can begin another load; 0 if it can now.
    pub(super) fn wait_ms(&self, engine: &Name) -> Millis {
        self.busy_ms.get(engine).copied().unwrap_or_default()
    }

    /// Adds a load that waits for the engine or begins there now.
    pub(super) fn add_load(&mut self, engine: &Name, load_ms: Millis) {
        *self.busy_ms.entry(engine.clone()).or_default() += load_ms.max(1);
    }

    /// Requests and copies of each model when the decision began.
    pub(super) fn census(&self) -> &Census {
        &self.census
    }

    /// The same, to which loads that begin are added.
    pub(super) fn census_mut(&mut self) -> &mut Census {
        &mut self.census
    }

    /// Models that callers asked for and no engine had when the decision began.
    pub(super) fn missing_demand(&self) -> usize {
        self.missing_demand
    }

    pub(super) fn set_missing_demand(&mut self, missing_demand: usize) {
        self.missing_demand = missing_demand;
    }

    /// Loads that wait for the store.
    pub(super) fn store_waits(&self) -> usize {
        self.store_waits
    }

    /// Adds a load that waits for the store.
    pub(super) fn add_store_wait(&mut self) {
        self.store_waits += 1;
    }
}

/// Milliseconds of the longest load from the store at full speed.
pub(super) fn longest_store_ms(spec: &deployment::EngineSpec) -> Millis {
    let models = spec.models.values().map(|model| model.store_ms);
    models.max().unwrap_or_default()
}

/// Milliseconds until an engine can begin another load; 0 if it can now.
pub(super) fn busy_ms(now: Millis, engine: &Engine, spec: &deployment::EngineSpec) -> Millis {
    if !engine.has_known_state() {
        let other_load_ms = engine.other_store_load_ms(now, longest_store_ms(spec));
        return other_load_ms.unwrap_or_default().max(UNKNOWN_STATE_MS);
    }
    let Some(pending_load) = &engine.pending_load else {
        return 0;
    };
    let report_ms = match pending_load.concurrent_store_loads {
        Some(_) => REPORT_MS,
        None => 0,
    };
    // Until the load is commanded, the outstanding command is one that precedes it.
    if engine.loads(&pending_load.model) {
        return (engine.remaining_ms(now) + report_ms).max(1);
    }
    let model = spec.models.get(&pending_load.model);
    let load_ms = model.map_or(0, |m| load_cost::load_ms(engine, &pending_load.model, m));
    let evicted = now.saturating_sub(pending_load.since);
    (pending_load.eviction_ms.saturating_sub(evicted) + load_ms + report_ms).max(1)
}
