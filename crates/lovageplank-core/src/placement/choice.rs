//! Chooses an engine for a load and the replicas to drain for it.

use super::fleet::{EngineView, Fleet};
use super::planner::{Context, tail_cost};
use super::target::{Reason, Target};
use super::{Engine, Replica};
use crate::load::{Source, seconds};
use crate::prelude::*;
use crate::view::ReplicaId;
use std::collections::BTreeMap as Map;

/// Horizon of the arrival probability that an eviction's cost is based on, in seconds.
const EVICTION_HORIZON_S: f64 = 600.0;
/// A load ahead of demand may evict replicas only if the cold-start cost that it is expected to
/// save exceeds the cost of the evictions by this factor. Otherwise two models could evict each
/// other in turns.
const EVICTION_MARGIN: f64 = 2.0;
/// Idle accelerator seconds charged for a load on an engine without replicas.
const EMPTY_ENGINE_IDLE_S: f64 = 3.0;
/// Seconds added to the wait for a store load, per model in the engine's disk cache: engines with
/// fewer cached models are preferred.
const CACHED_MODEL_PENALTY_S: f64 = 0.2;
/// Seconds added to the wait if the engine's failure domain already has a replica of the model.
const SAME_DOMAIN_PENALTY_S: f64 = 3.0;

/// The engine chosen for a load.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    /// Index of the engine in [`Fleet::engines`].
    pub(super) index: usize,
    /// Where the weights come from.
    pub(super) source: Source,
    /// Expected duration of the load in milliseconds, without waits.
    pub(super) load_ms: u64,
    /// Replicas to drain first.
    pub(super) victims: Vec<ReplicaId>,
    /// Whether enough memory is free without waiting for drains.
    pub(super) fits: bool,
}

/// The engine with the lowest cost for a load; `None` if no engine has or can free the memory.
///
/// `store_wait_ms` is how long a load from the weight store would be queued.
pub(super) fn choose(
    context: &Context,
    fleet: &Fleet,
    targets: &Map<Name, Target>,
    target: &Target,
    store_wait_ms: u64,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for index in 0..fleet.engines.len() {
        let Some((cost, choice)) = evaluate(context, fleet, targets, target, store_wait_ms, index)
        else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Whether an engine could load a model if it had no other replicas.
pub(super) fn can_host(engine: &Engine, target: &Target) -> bool {
    engine.live && engine.services.contains(&target.service) && engine.memory_mb >= target.memory_mb
}

/// The cost of a load on one engine; `None` if the engine can't be used.
fn evaluate(
    context: &Context,
    fleet: &Fleet,
    targets: &Map<Name, Target>,
    target: &Target,
    store_wait_ms: u64,
    index: usize,
) -> Option<(f64, Choice)> {
    let view = &fleet.engines[index];
    if !is_usable(context, view, target) {
        return None;
    }
    let source = Source::of(&view.engine.cached, &target.model);
    let load_ms = context.load_ms(target, source);
    let plan = plan_memory(context, fleet, targets, target, view)?;
    let mut wait_ms = load_ms;
    if source == Source::Store {
        wait_ms += store_wait_ms;
    }
    if !plan.fits {
        wait_ms += context.config.drain_ms;
    }
    let mut penalty_s = 0.0;
    if source == Source::Store {
        penalty_s += CACHED_MODEL_PENALTY_S * count(view.engine.cached.disk.len());
    }
    let callers = context
        .burst_size(target)
        .max(f64::from(target.total.waiting));
    if same_domain(fleet, view, target) {
        penalty_s += SAME_DOMAIN_PENALTY_S;
    }
    let mut cost =
        target.settings.cold_start_weight * callers * tail_cost(seconds(wait_ms) + penalty_s)
            + plan.cost;
    if view.is_empty() {
        cost += target.settings.idle_weight * EMPTY_ENGINE_IDLE_S;
    }
    cost += context.tie_break(&view.engine.id, &target.model);
    let choice = Choice {
        index,
        source,
        load_ms,
        victims: plan.victims,
        fits: plan.fits,
    };
    Some((cost, choice))
}

fn is_usable(context: &Context, view: &EngineView, target: &Target) -> bool {
    can_host(view.engine, target)
        && !view.models.contains(&target.model)
        && !context
            .tracker
            .is_backing_off(context.now, &target.model, &view.engine.id)
}

fn same_domain(fleet: &Fleet, view: &EngineView, target: &Target) -> bool {
    fleet
        .engines_with(&target.model)
        .any(|v| v.engine.failure_domain == view.engine.failure_domain)
}

fn count(n: usize) -> f64 {
    u32::try_from(n).map_or(f64::MAX, f64::from)
}

/// How an engine gets the memory for a load.
struct MemoryPlan {
    /// Replicas to drain.
    victims: Vec<ReplicaId>,
    /// Whether enough memory is free without waiting for drains.
    fits: bool,
    /// Expected cost of draining the victims.
    cost: f64,
}

/// Finds memory for a load: memory that is free, that drains in progress will free, or that
/// draining idle replicas can free. `None` if that isn't enough, or if the evictions cost more than
/// a load ahead of demand may save.
fn plan_memory(
    context: &Context,
    fleet: &Fleet,
    targets: &Map<Name, Target>,
    target: &Target,
    view: &EngineView,
) -> Option<MemoryPlan> {
    let mut available_mb = view.free_mb + view.draining_mb;
    let mut plan = MemoryPlan {
        victims: Vec::new(),
        fits: view.free_mb >= target.memory_mb,
        cost: 0.0,
    };
    if available_mb >= target.memory_mb {
        return Some(plan);
    }
    let mut candidates: Vec<(f64, &Replica)> = view
        .ready
        .iter()
        .filter(|r| evictable(context, fleet, targets, view, r))
        .map(|r| (eviction_cost(context, targets, r), *r))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.model.cmp(&b.1.model)));
    for (cost, replica) in candidates {
        if available_mb >= target.memory_mb {
            break;
        }
        available_mb += replica.memory_mb;
        plan.cost += cost;
        plan.victims.push(view.engine.replica_id(replica));
    }
    let worth = match target.reason {
        Some(Reason::Prewarm) => expected_cold_cost(context, target) > EVICTION_MARGIN * plan.cost,
        Some(Reason::Demand | Reason::MinReplicas) | None => true,
    };
    (available_mb >= target.memory_mb && worth).then_some(plan)
}

/// Whether a replica may be drained to free memory: it is idle for at least `keep_alive_min_ms`, no
/// request waits for its model, and `min_replicas` others remain. A model that was removed from the
/// settings tree needs only to be idle.
fn evictable(
    context: &Context,
    fleet: &Fleet,
    targets: &Map<Name, Target>,
    view: &EngineView,
    replica: &Replica,
) -> bool {
    if replica.running > 0 {
        return false;
    }
    let Some(target) = targets.get(&replica.model) else {
        return true;
    };
    let id = view.engine.replica_id(replica);
    let idle_ms = context.tracker.idle_ms(context.now, &id);
    let serving = fleet.ready(&replica.model).count();
    target.total.waiting == 0
        && idle_ms >= target.settings.keep_alive_min_ms
        && serving > target.settings.min_replicas as usize
}

/// Expected cost to callers of draining a replica; 0 if its model isn't in the settings tree.
fn eviction_cost(context: &Context, targets: &Map<Name, Target>, replica: &Replica) -> f64 {
    let Some(target) = targets.get(&replica.model) else {
        return 0.0;
    };
    expected_cold_cost(context, target)
}

/// Cost of a cold start of the model times the probability of an arrival within
/// [`EVICTION_HORIZON_S`].
fn expected_cold_cost(context: &Context, target: &Target) -> f64 {
    context.cold_cost(target) * context.arrival_probability(target, EVICTION_HORIZON_S)
}
