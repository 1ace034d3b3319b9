//! Places models that requests wait for or that need more engines.
//!
//! Engines have accelerator memory for few of the many models. Most models are requested rarely,
//! and which ones are in demand changes. A model is preferably loaded on an engine whose host has
//! its weights cached; the models that are requested least are evicted.

use super::command::{Command, Op};
use super::engine::{Engine, PendingLoad};
use super::{Planner, RequestedModel};
use crate::fleet::deployment;
use crate::prelude::*;

/// Fraction of the slots of an engine that the requests of a model may take before the model gets
/// another engine. Well below 1: an engine that processes the prompts of many requests is slow long
/// before its slots are full.
const REPLICA_LOAD_RATIO: f64 = 0.2;
/// Fraction of the slots of a model's engines. Running requests of the model beyond this fraction
/// count as demand, like waiting requests: they fill the queues of the engines, and further
/// requests for the model are refused.
const EXCESS_LOAD_RATIO: f64 = 0.5;
/// Cost of evicting a model that is requested once per second, in milliseconds.
const EVICTION_COST_MS: f64 = 4_000.0;
/// Milliseconds for which a model stays loaded after it was loaded or last had requests.
const MIN_LOADED_MS: Millis = 700;
/// Milliseconds for which a model that is to be unloaded may still have requests. Beyond that the
/// pending load is given up.
const DRAIN_TIMEOUT_MS: Millis = 1_000;
/// Shortest duration of an unload in milliseconds.
const MIN_UNLOAD_MS: Millis = 40;
/// Cost of loading a model on an engine from the store, in milliseconds, for each model that the
/// engine has cached on disk. It spreads the cached models over the engines: if the only cached
/// weights of several models are at one engine, these models have to wait for each other.
const DISK_CACHED_MODEL_COST_MS: f64 = 60.0;
/// Megabytes of the memory of an engine that are never filled.
const RESERVED_MB: f64 = 1.0;
/// Cost of an engine whose slots are all taken, in milliseconds; in proportion if fewer are.
const BUSY_SLOTS_COST_MS: f64 = 1_500.0;
/// Requests per second that are added to the arrival rate of a model when its only replica is
/// considered for eviction.
const LAST_REPLICA_RATE_PER_S: f64 = 0.02;
/// Cost of loading a model on an engine, in milliseconds, for each adapter that the engine has
/// loaded: during the load of the model it can load no adapter.
const ADAPTER_COST_MS: f64 = 40.0;
/// Cost of waiting for an engine with a command in progress, in milliseconds.
const OUTSTANDING_COMMAND_COST_MS: f64 = 600.0;

/// A possible load of a model on one engine, with the models to unload first and its cost in
/// milliseconds. The one with the lowest cost becomes the pending load of its engine.
struct LoadPlan {
    cost: f64,
    engine: Name,
    evictions: Vec<Name>,
    from_store: bool,
}

impl Planner {
    pub(super) fn plan_models(
        &mut self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        waiting: &BTreeMap<RequestedModel, u32>,
    ) {
        for engine in self.engines.values_mut() {
            engine.expire_pending_load(now);
        }
        for (model, count) in self.desired_replicas(now, service, spec, waiting) {
            if self.replicas(now, service, &model) >= count {
                continue;
            }
            if let Some(plan) = self.best_plan(now, service, spec, &model) {
                self.start_plan(now, &model, plan);
            }
        }
        self.preload(now, service, spec);
    }

    /// Loads models that no engine has loaded or cached, before requests wait for them. Later loads
    /// then use the weights that the host of the engine has cached, and not the store.
    fn preload(&mut self, now: Millis, service: &Name, spec: &deployment::EngineSpec) {
        let models: Vec<Name> = spec.models.keys().cloned().collect();
        for model in models {
            if !self.store_limiter.can_preload(self.store_loads_active(now)) {
                return;
            }
            if self.is_cached_or_loaded(now, service, &model) {
                continue;
            }
            if let Some(plan) = self.best_plan(now, service, spec, &model) {
                self.start_plan(now, &model, plan);
            }
        }
    }

    fn is_cached_or_loaded(&self, now: Millis, service: &Name, model: &Name) -> bool {
        self.engines_of(service)
            .filter(|e| e.is_alive(now))
            .any(|engine| {
                let loading = engine
                    .pending_load
                    .as_ref()
                    .is_some_and(|load| load.model == *model);
                loading || engine.loaded.contains_key(model) || is_cached(engine, model)
            })
    }

    /// Loads from the store that are in progress or about to begin.
    pub(super) fn store_loads_active(&self, now: Millis) -> usize {
        let loading = self.engines.values().filter(|e| e.loads_from_store(now));
        loading.count()
    }

    /// The desired number of replicas of each model that may need another one, the model with the
    /// most demand first. Here, demand is the number of waiting requests plus the number of running
    /// ones beyond [`EXCESS_LOAD_RATIO`].
    fn desired_replicas(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        waiting: &BTreeMap<RequestedModel, u32>,
    ) -> Vec<(Name, usize)> {
        let mut requests: BTreeMap<&Name, (u32, u32)> = BTreeMap::new();
        for (requested, count) in waiting {
            requests.entry(&requested.model).or_default().0 += count;
        }
        for engine in self.engines_of(service) {
            for ((model, _), count) in &engine.running {
                requests.entry(model).or_default().1 += count;
            }
        }
        let mut desired_replicas: Vec<(f64, Name, usize)> = Vec::new();
        for (model, (waiting, running)) in requests {
            if !spec.models.contains_key(model) {
                continue;
            }
            let slots = f64::from(spec.slots.max(1));
            let load = f64::from(waiting + running) / (REPLICA_LOAD_RATIO * slots);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Few engines.
            let count = load.ceil().max(1.0) as usize;
            let replicas = self.replicas(now, service, model);
            if waiting > 0 && replicas == 0 || count > 1 {
                #[allow(clippy::cast_precision_loss)] // Few engines.
                let threshold = EXCESS_LOAD_RATIO * slots * replicas as f64;
                let excess = (f64::from(running) - threshold).max(0.0);
                desired_replicas.push((f64::from(waiting) + excess, model.clone(), count));
            }
        }
        desired_replicas.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        desired_replicas
            .into_iter()
            .map(|(_, model, n)| (model, n))
            .collect()
    }

    /// Number of engines that have the model loaded and will keep it, or will load it.
    fn replicas(&self, now: Millis, service: &Name, model: &Name) -> usize {
        let engines = self.engines_of(service).filter(|engine| {
            let pending_load = engine.pending_load.as_ref();
            let loading = pending_load.is_some_and(|load| load.model == *model);
            let unloading = pending_load.is_some_and(|load| load.evictions.contains(model));
            engine.is_alive(now) && (loading || engine.loaded.contains_key(model) && !unloading)
        });
        engines.count()
    }

    fn best_plan(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        model: &Name,
    ) -> Option<LoadPlan> {
        let active = self.store_loads_active(now);
        let store_load_allowed = self.store_limiter.can_load(now, active, spec.loads_per_s);
        let plans = self.engines.iter().filter_map(|(id, engine)| {
            let available = engine.service == *service
                && engine.pending_load.is_none()
                && engine.has_known_state();
            if !available || !engine.is_alive(now) || engine.loaded.contains_key(model) {
                return None;
            }
            let from_store = !is_cached(engine, model);
            if from_store && !store_load_allowed {
                return None;
            }
            self.plan_on_engine(now, spec, model, id, engine, from_store)
        });
        plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn plan_on_engine(
        &self,
        now: Millis,
        spec: &deployment::EngineSpec,
        model: &Name,
        id: &Name,
        engine: &Engine,
        from_store: bool,
    ) -> Option<LoadPlan> {
        let model_spec = spec.models.get(model)?;
        let mut free_mb = spec.weights_mb - RESERVED_MB - engine.used_mb(spec);
        let mut evictions = Vec::new();
        let mut cost = load_ms(engine, model, model_spec);
        if from_store {
            cost += DISK_CACHED_MODEL_COST_MS
                * f64::from(u32::try_from(engine.cached_weights.disk.len()).unwrap_or(u32::MAX));
        }
        if engine.outstanding_command.is_some() {
            cost += OUTSTANDING_COMMAND_COST_MS;
        }
        cost +=
            ADAPTER_COST_MS * f64::from(u32::try_from(engine.adapter_count()).unwrap_or(u32::MAX));
        cost +=
            BUSY_SLOTS_COST_MS * f64::from(engine.running_total()) / f64::from(spec.slots.max(1));
        for (keep_rate, victim) in self.eviction_candidates(now, engine) {
            if free_mb >= model_spec.weights_mb {
                break;
            }
            cost += keep_rate * EVICTION_COST_MS;
            free_mb += freed_mb(spec, engine, &victim);
            evictions.push(victim);
        }
        if free_mb < model_spec.weights_mb {
            return None;
        }
        Some(LoadPlan {
            cost,
            engine: id.clone(),
            evictions,
            from_store,
        })
    }

    /// Idle models of an engine, each with the value of keeping the model loaded, lowest value
    /// first. The value is in requests per second: the arrival rate of the model per replica, plus
    /// [`LAST_REPLICA_RATE_PER_S`] if this is its last replica.
    fn eviction_candidates(&self, now: Millis, engine: &Engine) -> Vec<(f64, Name)> {
        let idle = engine.loaded.iter().filter(|(model, model_state)| {
            engine.running(model) == 0 && now >= model_state.used_at + MIN_LOADED_MS
        });
        let mut victims: Vec<(f64, Name)> = idle
            .map(|(model, _)| {
                let replicas = self.replicas(now, &engine.service, model).max(1);
                let rate = self.rate(now, &engine.service, model);
                #[allow(clippy::cast_precision_loss)] // Few engines.
                let share = rate / replicas as f64;
                let last_replica_bonus = if replicas == 1 {
                    LAST_REPLICA_RATE_PER_S
                } else {
                    0.0
                };
                (share + last_replica_bonus, model.clone())
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        victims
    }

    /// Makes the planned load the pending load of its engine. If the weights are loaded from the
    /// store, the load counts from now on towards the rate limit of the store.
    fn start_plan(&mut self, now: Millis, model: &Name, plan: LoadPlan) {
        if plan.from_store {
            self.store_limiter.load_started(now);
        }
        let concurrent_store_loads = self.store_loads_active(now) + 1;
        if let Some(engine) = self.engines.get_mut(&plan.engine) {
            engine.pending_load = Some(PendingLoad {
                model: model.clone(),
                evictions: plan.evictions,
                since: now,
                concurrent_store_loads: plan.from_store.then_some(concurrent_store_loads),
            });
        }
    }

    /// The next commands of the engines that have something to do.
    pub(super) fn next_commands(
        &mut self,
        now: Millis,
        oldest_load_report_at: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.service != *service || !engine.accepts_commands(now) {
                continue;
            }
            if let Some((op, duration_ms)) = next_op(now, oldest_load_report_at, engine, spec) {
                commands.push(engine.start_command(now, id, op, duration_ms));
            }
        }
        commands
    }

    fn engines_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Engine> {
        self.engines.values().filter(move |e| e.service == *service)
    }
}

/// The next operation of an engine, and its shortest duration in milliseconds.
fn next_op(
    now: Millis,
    oldest_load_report_at: Millis,
    engine: &mut Engine,
    spec: &deployment::EngineSpec,
) -> Option<(Op, Millis)> {
    while !engine.adapter_commands.is_empty() {
        let op = engine.adapter_commands.remove(0);
        if adapter_fits(engine, spec, &op) {
            return Some((op, 0));
        }
    }
    let pending_load = engine.pending_load.clone()?;
    let Some(model) = spec.models.get(&pending_load.model) else {
        engine.pending_load = None;
        return None;
    };
    let free_mb = spec.weights_mb - RESERVED_MB - engine.used_mb(spec);
    if free_mb >= model.weights_mb {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Positive seconds.
        let duration_ms = load_ms(engine, &pending_load.model, model) as Millis;
        return Some((Op::Load(pending_load.model), duration_ms));
    }
    if !engine.withdrawal_confirmed(now, oldest_load_report_at) {
        return None;
    }
    let victim = pending_load
        .evictions
        .iter()
        .find(|v| engine.loaded.contains_key(*v));
    // An engine delays an unload until no request uses the model, and loads nothing else meanwhile.
    // So the command is sent only when the requests that began before the withdrawal have ended.
    match victim {
        Some(victim) if engine.running(victim) == 0 => {
            Some((Op::Unload(victim.clone()), MIN_UNLOAD_MS))
        }
        Some(_) if now < pending_load.since + DRAIN_TIMEOUT_MS => None,
        _ => {
            engine.pending_load = None;
            None
        }
    }
}

/// Whether an adapter operation can still be carried out, given the models and adapters that the
/// engine has loaded now.
fn adapter_fits(engine: &Engine, spec: &deployment::EngineSpec, op: &Op) -> bool {
    let (Some(model_state), Some(adapter)) = (engine.loaded.get(op.model()), op.adapter()) else {
        return false;
    };
    let is_loaded =
        model_state.adapters.contains_key(adapter) && !model_state.unloading.contains(adapter);
    if !op.loads() {
        return is_loaded;
    }
    let adapter_slots = usize::try_from(spec.adapters).unwrap_or(usize::MAX);
    let adapter_mb = spec.models.get(op.model()).map_or(0.0, |m| m.adapter_mb);
    let fits = engine.used_mb(spec) + adapter_mb + RESERVED_MB <= spec.weights_mb;
    !is_loaded && fits && engine.adapter_count() < adapter_slots
}

/// Whether the engine can load a model without the store.
fn is_cached(engine: &Engine, model: &Name) -> bool {
    engine.cached_weights.memory.contains(model) || engine.cached_weights.disk.contains(model)
}

#[allow(clippy::cast_precision_loss)] // Milliseconds of a load.
fn load_ms(engine: &Engine, model: &Name, model_spec: &deployment::ModelSpec) -> f64 {
    if engine.cached_weights.memory.contains(model) {
        model_spec.memory_ms as f64
    } else if engine.cached_weights.disk.contains(model) {
        model_spec.disk_ms as f64
    } else {
        model_spec.store_ms as f64
    }
}

fn freed_mb(spec: &deployment::EngineSpec, engine: &Engine, model: &Name) -> f64 {
    let Some(model_spec) = spec.models.get(model) else {
        return 0.0;
    };
    let adapters = engine
        .loaded
        .get(model)
        .map_or(0, |model| model.adapters.len());
    #[allow(clippy::cast_precision_loss)] // A few adapters.
    let adapters = adapters as f64;
    model_spec.weights_mb + adapters * model_spec.adapter_mb
}
