//! What the load of a model costs at each engine.

use super::Planner;
use super::census::Census;
use super::demand::Want;
use super::engine::Engine;
use super::eviction::Victims;
use super::queue::{EVICTION_MS, Queues, REPORT_MS};
use crate::fleet::deployment;
use crate::prelude::*;

/// Megabytes of the memory of an engine that are never filled.
pub(super) const RESERVED_MB: f64 = 1.0;
/// Cost of evicting a model that is requested once per second, in milliseconds.
const EVICTION_COST_MS: f64 = 4_000.0;
/// Cost of an engine whose slots are all taken, in milliseconds; in proportion if fewer are.
const BUSY_SLOTS_COST_MS: f64 = 1_500.0;
/// Cost of a further copy of a model at an engine that takes twice the usual time for its work, in milliseconds; in
/// proportion at others. Faster engines than usual cost less than nothing.
const SLOW_ENGINE_COST_MS: f64 = 1_500.0;
/// Cost of loading a model on an engine, in milliseconds, for each adapter that the engine has
/// loaded: during the load of the model it can load no adapter.
const ADAPTER_COST_MS: f64 = 40.0;
/// Cost of loading a model on an engine from the store, in milliseconds, for each model that the
/// engine has cached on disk. It spreads the cached models over the engines: if the only cached
/// weights of several models are at one engine, these models have to wait for each other.
const DISK_CACHED_MODEL_COST_MS: f64 = 60.0;
/// Requests per second that are added to the arrival rate of a model that only one engine has
/// cached, so that models without requests so far count as well.
const SOLE_COPY_RATE_PER_S: f64 = 0.02;

/// Milliseconds until an engine is expected to have room for a model that no engine has, if its models are all in use.
const ROOM_WAIT_MS: Millis = 1_000;
/// Milliseconds until the requests of a model in use have ended that gets no more.
const DRAIN_MS: Millis = 2_000;
/// Milliseconds for which a model that is to be unloaded may still have requests if it has few.
const DRAIN_TIMEOUT_MS: Millis = 1_000;
/// The same for a model in use.
const IN_USE_DRAIN_TIMEOUT_MS: Millis = 6_000;

/// A possible load of a model on one engine, with the models to unload first.
#[derive(Debug)]
pub(super) struct LoadPlan {
    /// Its cost in milliseconds; lower is better.
    pub(super) cost: f64,
    /// Milliseconds until the model is loaded.
    pub(super) ready_ms: Millis,
    /// Milliseconds until the engine can begin; 0 if it can now.
    pub(super) wait_ms: Millis,
    pub(super) engine: Name,
    pub(super) evictions: Vec<Name>,
    /// Milliseconds that the unloads are expected to take.
    pub(super) eviction_ms: Millis,
    /// Milliseconds for which the models to unload may still have requests.
    pub(super) drain_timeout_ms: Millis,
    pub(super) from_store: bool,
}

/// The models to unload for a load.
#[derive(Debug, Default)]
struct Room {
    /// Each with the value of keeping it.
    evictions: Vec<(f64, Name)>,
    /// Whether models in use are among them.
    is_in_use: bool,
    /// Milliseconds until there are expected to be enough of them.
    wait_ms: Millis,
}

/// Why the load of a wanted model doesn't begin now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// Its engine carries out other loads first.
    EngineBusy {
        /// Name of the engine.
        engine: Name,
        /// Milliseconds until the engine can begin this load.
        wait_ms: u64,
        /// Milliseconds until the model is expected to be loaded.
        ready_ms: u64,
    },
    /// No engine has the weights cached, and as many loads from the store are in progress as it
    /// sustains.
    StoreFull {
        /// Milliseconds until the model is expected to be loaded.
        ready_ms: u64,
    },
    /// No engine has enough memory that is free or taken by idle models.
    NoRoom,
}

impl Deferral {
    /// Milliseconds until the model is expected to be loaded, if that is known.
    pub fn ready_ms(&self) -> Option<u64> {
        match self {
            Deferral::EngineBusy { ready_ms, .. } | Deferral::StoreFull { ready_ms } => {
                Some(*ready_ms)
            }
            Deferral::NoRoom => None,
        }
    }
}

impl Planner {
    /// The plan with the lowest cost, which may have to wait for its engine, or why there is none.
    pub(super) fn best_plan(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        want: &Want,
        queues: &Queues,
    ) -> Result<LoadPlan, Deferral> {
        let model_spec = spec.models.get(&want.model).ok_or(Deferral::NoRoom)?;
        let census = queues.census();
        let holders = census.cached_at(&want.model).iter();
        let holders = holders.filter_map(|id| self.engines.get_key_value(id));
        let cached = self.cheapest(now, service, spec, want, holders, queues);
        // A load from the store costs its duration at least.
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a load.
        let store_cost = model_spec.store_ms as f64;
        let active = census.store_loads();
        // Models that no engine has can't be served at all, so they go before further replicas of others.
        let is_in_turn = queues.missing_demand() == 0 || !census.is_held(&want.model);
        let store_load_allowed =
            is_in_turn && self.store_limiter.can_load(now, active, spec.loads_per_s);
        let is_cached_better = |plan: &LoadPlan| {
            let is_sooner = want.is_unserved && plan.ready_ms <= model_spec.store_ms;
            is_sooner || plan.cost <= store_cost
        };
        if cached.as_ref().is_some_and(is_cached_better) || !store_load_allowed {
            let store_full = is_in_turn && census.is_missing_somewhere(&want.model);
            return cached.ok_or_else(|| {
                if store_full {
                    let ready_ms = self.store_ready_ms(now, model_spec, queues);
                    Deferral::StoreFull { ready_ms }
                } else {
                    Deferral::NoRoom
                }
            });
        }
        let others = self.engines.iter();
        let others = others.filter(|(_, engine)| !is_cached(engine, &want.model));
        let from_store = self.cheapest(now, service, spec, want, others, queues);
        let best = cached.into_iter().chain(from_store);
        let best = best.min_by(|a, b| a.cost.total_cmp(&b.cost));
        best.ok_or(Deferral::NoRoom)
    }

    /// The plan with the lowest cost at one of these engines.
    fn cheapest<'a>(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        want: &Want,
        engines: impl Iterator<Item = (&'a Name, &'a Engine)>,
        queues: &Queues,
    ) -> Option<LoadPlan> {
        let available = engines.filter(|(_, engine)| {
            queues.census().look(1);
            engine.service == *service
                && engine.runs(want.software.as_ref())
                && engine.is_alive(now)
                && !engine.loaded.contains_key(&want.model)
        });
        let plans = available
            .filter_map(|(id, engine)| self.plan_on_engine(now, spec, want, id, engine, queues));
        // What no engine has waits for the store. Once it is free, an engine that can begin goes before a cheaper one:
        // else the store would go to a model behind it.
        let is_missing = !queues.census().is_held(&want.model);
        let begins_later = |plan: &LoadPlan| is_missing && plan.wait_ms > 0;
        plans.min_by(|a, b| {
            let by_cost = || a.cost.total_cmp(&b.cost);
            begins_later(a).cmp(&begins_later(b)).then_with(by_cost)
        })
    }

    /// Milliseconds until a model is expected to be loaded from the store, behind the loads in
    /// progress and those that wait for the store already.
    fn store_ready_ms(
        &self,
        now: Millis,
        model_spec: &deployment::ModelSpec,
        queues: &Queues,
    ) -> Millis {
        let end_ms = self.first_store_end_ms(now).unwrap_or_default() + REPORT_MS;
        let rounds = queues.store_waits() / self.store_limiter.concurrent_loads() + 1;
        let rounds = u64::try_from(rounds).unwrap_or(u64::MAX);
        end_ms + rounds.saturating_mul(model_spec.store_ms)
    }

    fn plan_on_engine(
        &self,
        now: Millis,
        spec: &deployment::EngineSpec,
        want: &Want,
        id: &Name,
        engine: &Engine,
        queues: &Queues,
    ) -> Option<LoadPlan> {
        let model_spec = spec.models.get(&want.model)?;
        let from_store = !is_cached(engine, &want.model);
        let wait_ms = queues.wait_ms(id);
        let needed_mb = model_spec.weights_mb;
        // An engine that is busy now may have idle models once it can begin.
        let later = || (wait_ms > 0).then(Room::default);
        let room = self.room(now, spec, engine, needed_mb, want, queues.census());
        let room = room.or_else(later)?;
        let wait_ms = wait_ms.max(room.wait_ms);
        let evictions = room.evictions;
        let load_ms = load_ms(engine, &want.model, model_spec);
        let (drain_ms, drain_timeout_ms) = if room.is_in_use {
            (DRAIN_MS, IN_USE_DRAIN_TIMEOUT_MS)
        } else {
            (0, DRAIN_TIMEOUT_MS)
        };
        let has_room = engine.has_room(spec, &self.sizes, needed_mb);
        let eviction_ms = if has_room { 0 } else { drain_ms + EVICTION_MS };
        let ready_ms = wait_ms + eviction_ms + load_ms;
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a few loads.
        let mut cost = ready_ms as f64;
        cost += EVICTION_COST_MS * evictions.iter().map(|(rate, _)| rate).sum::<f64>();
        cost +=
            ADAPTER_COST_MS * f64::from(u32::try_from(engine.adapter_count()).unwrap_or(u32::MAX));
        cost +=
            BUSY_SLOTS_COST_MS * f64::from(engine.running_total()) / f64::from(spec.slots.max(1));
        if queues.census().replicas(&want.model) > 0 {
            cost += SLOW_ENGINE_COST_MS * (engine.slowness - 1.0);
        }
        if from_store {
            cost += DISK_CACHED_MODEL_COST_MS
                * f64::from(u32::try_from(engine.cached_weights.disk.len()).unwrap_or(u32::MAX));
            let evicted = evictions.iter().map(|(_, model)| model);
            cost += self.blocking_cost_ms(now, spec, engine, evicted, load_ms, queues.census());
        }
        Some(LoadPlan {
            cost,
            ready_ms,
            wait_ms,
            engine: id.clone(),
            evictions: evictions.into_iter().map(|(_, model)| model).collect(),
            eviction_ms,
            drain_timeout_ms,
            from_store,
        })
    }

    /// The milliseconds that requests are expected to wait in sum because an engine is busy with a
    /// load from the store: the requests for models whose weights only this engine has, and that aren't
    /// loaded anywhere, or are unloaded here for the load.
    fn blocking_cost_ms<'a>(
        &self,
        now: Millis,
        spec: &deployment::EngineSpec,
        engine: &'a Engine,
        evicted: impl Iterator<Item = &'a Name>,
        load_ms: Millis,
        census: &Census,
    ) -> f64 {
        let cached = engine.cached_weights.disk.iter();
        let sole = cached.filter(|model| census.needs_sole_holder(model));
        let sole = sole.chain(evicted.filter(|model| census.has_sole_holder(model)));
        let sole = sole.filter(|model| spec.models.contains_key(*model));
        let rates = sole.map(|m| self.rate(now, &engine.service, m) + SOLE_COPY_RATE_PER_S);
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a load.
        let load_ms = load_ms as f64;
        // On average, a request that arrives during the load waits for half of it.
        rates.sum::<f64>() * load_ms / 1_000.0 * load_ms / 2.0
    }

    /// The models to unload for a wanted one: idle ones, or else models in use if the wanted one displaces them; `None`
    /// if there aren't enough, unless no engine has it: then it gets room soon.
    fn room(
        &self,
        now: Millis,
        spec: &deployment::EngineSpec,
        engine: &Engine,
        needed_mb: f64,
        want: &Want,
        census: &Census,
    ) -> Option<Room> {
        let evictions = |victims| self.evictions(now, spec, engine, needed_mb, census, victims);
        if let Some(evictions) = evictions(Victims::Idle) {
            return Some(Room {
                evictions,
                ..Room::default()
            });
        }
        if !want.is_unserved || spec.weights_mb - RESERVED_MB < needed_mb {
            return None;
        }
        let in_use = evictions(Victims::InUse).filter(|_| want.displaces_models_in_use());
        let room = in_use.map(|evictions| Room {
            evictions,
            is_in_use: true,
            wait_ms: 0,
        });
        Some(room.unwrap_or_else(|| Room {
            wait_ms: ROOM_WAIT_MS,
            ..Room::default()
        }))
    }

    /// The models to unload so that `needed_mb` megabytes are certainly free, each with the value of
    /// keeping it; `None` if there aren't enough.
    fn evictions(
        &self,
        now: Millis,
        spec: &deployment::EngineSpec,
        engine: &Engine,
        needed_mb: f64,
        census: &Census,
        victims: Victims,
    ) -> Option<Vec<(f64, Name)>> {
        let sizes = &self.sizes;
        let mut missing_mb = needed_mb - engine.left_mb(spec, sizes);
        let mut of_unknown_size = engine.models_of_unknown_size(spec, sizes).count();
        let mut evictions = Vec::new();
        if missing_mb <= 0.0 && of_unknown_size == 0 {
            return Some(evictions);
        }
        for (keep_rate, victim) in self.eviction_candidates(now, spec, engine, census, victims) {
            match engine.taken_mb(spec, sizes, &victim) {
                Some(freed_mb) => missing_mb -= freed_mb,
                None => of_unknown_size -= 1,
            }
            evictions.push((keep_rate, victim));
            if missing_mb <= 0.0 && of_unknown_size == 0 {
                return Some(evictions);
            }
        }
        None
    }
}

/// Whether the engine can load a model without the store.
pub(super) fn is_cached(engine: &Engine, model: &Name) -> bool {
    engine.cached_weights.memory.contains(model) || engine.cached_weights.disk.contains(model)
}

/// Milliseconds that a load of the model takes on the engine, at full speed.
pub(super) fn load_ms(engine: &Engine, model: &Name, model_spec: &deployment::ModelSpec) -> Millis {
    if engine.cached_weights.memory.contains(model) {
        model_spec.memory_ms
    } else if engine.cached_weights.disk.contains(model) {
        model_spec.disk_ms
    } else {
        model_spec.store_ms
    }
}
