//! Places models that requests wait for or that need more engines.
//!
//! Engines have accelerator memory for few of the many models. Most models are requested rarely,
//! and which ones are in demand changes. A model is preferably loaded on an engine whose host has
//! its weights cached; the models that are requested least are evicted.

use super::Planner;
use super::command::{Command, Op};
use super::demand::{WaitingRequests, Want};
use super::engine::{Engine, PendingLoad};
use super::load_cost::{Deferral, LoadPlan, load_ms};
use super::queue::Queues;
use crate::fleet::deployment::{self, Deployment};
use crate::fleet::sizes::{Size, Sizes};
use crate::prelude::*;

/// Shortest duration of an unload in milliseconds.
const MIN_UNLOAD_MS: Millis = 40;

impl Planner {
    pub(super) fn plan_models(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        service: &Name,
        spec: &deployment::EngineSpec,
        waiting: &WaitingRequests,
    ) {
        for engine in self.engines.values_mut() {
            engine.expire_pending_load(now);
        }
        let mut queues = Queues::new(self, now, service, spec);
        queues.set_missing_demand(self.missing_demand(now, service, spec, queues.census()));
        let mut late = Vec::new();
        for want in self.wanted_models(now, service, spec, waiting, queues.census()) {
            let plan = self.best_plan(now, service, spec, &want, &queues);
            let objective_at = want.objective_at.unwrap_or(Millis::MAX);
            match plan {
                Ok(plan) if now + plan.ready_ms > objective_at => late.push(want),
                plan => self.start_or_defer(now, service, want, plan, &mut queues),
            }
        }
        for want in late {
            let plan = self.best_plan(now, service, spec, &want, &queues);
            self.start_or_defer(now, service, want, plan, &mut queues);
        }
        self.load_missing(now, service, spec, &mut queues);
        self.expect_missing(now, deployment, service, spec, &queues);
        self.looks += queues.census().looks();
    }

    /// Starts a plan whose engine can begin now. For any other, the engine is kept free once it can
    /// begin: plans for less urgent models count this load as one that precedes them.
    pub(super) fn start_or_defer(
        &mut self,
        now: Millis,
        service: &Name,
        want: Want,
        plan: Result<LoadPlan, Deferral>,
        queues: &mut Queues,
    ) {
        let deferral = match plan {
            Ok(plan) => {
                queues.add_load(&plan.engine, plan.ready_ms - plan.wait_ms);
                let wait_ms = match plan.wait_ms {
                    0 => self.pace.take(now, self.load_reports.len()).err(),
                    wait_ms => Some(wait_ms),
                };
                let Some(wait_ms) = wait_ms else {
                    queues.census_mut().add_load(&want.model, &plan);
                    self.start_plan(now, service, &want, plan, queues.missing_demand());
                    return;
                };
                Deferral::EngineBusy {
                    engine: plan.engine,
                    wait_ms,
                    ready_ms: plan.ready_ms.max(wait_ms),
                }
            }
            Err(deferral) => {
                if matches!(deferral, Deferral::StoreFull { .. }) {
                    queues.add_store_wait();
                }
                deferral
            }
        };
        if want.waiting > 0 {
            self.deferrals.insert(want.model, deferral);
        }
    }

    /// Whether an engine whose software has this version has the model loaded and will keep it, or
    /// will load it.
    pub(super) fn has_replica_at(
        &self,
        now: Millis,
        service: &Name,
        model: &Name,
        software: &Name,
    ) -> bool {
        let engines = self.engines.values().filter(|e| e.service == *service);
        let mut engines = engines.filter(|e| e.runs(Some(software)) && e.is_alive(now));
        engines.any(|engine| engine.kept_models().any(|kept| kept == model))
    }

    /// Makes the planned load the pending load of its engine. If the weights are loaded from the
    /// store, the load counts from now on towards the rate limit of the store.
    fn start_plan(
        &mut self,
        now: Millis,
        service: &Name,
        want: &Want,
        plan: LoadPlan,
        missing_demand: usize,
    ) {
        let concurrent_store_loads = self.store_loads_active(now) + 1;
        if plan.from_store {
            self.store_load_begun(
                now,
                service,
                &plan.engine,
                want,
                concurrent_store_loads,
                missing_demand,
            );
            let pending = self
                .engines
                .values_mut()
                .filter_map(|e| e.pending_load.as_mut());
            for other in pending.filter(|load| load.concurrent_store_loads.is_some()) {
                other.another_store_load(now, concurrent_store_loads);
            }
        }
        if let Some(engine) = self.engines.get_mut(&plan.engine) {
            engine.pending_load = Some(PendingLoad {
                model: want.model.clone(),
                evictions: plan.evictions,
                since: now,
                eviction_ms: plan.eviction_ms,
                drain_timeout_ms: plan.drain_timeout_ms,
                concurrent_store_loads: plan.from_store.then_some(concurrent_store_loads),
            });
        }
    }

    /// Gives up loads without an answer that the document in force leaves no room for, so that they aren't
    /// sent again; and records the sizes that it lists for models that are being loaded.
    pub(super) fn check_outstanding_loads(
        &mut self,
        service: &Name,
        spec: &deployment::EngineSpec,
    ) {
        for engine in self.engines.values_mut().filter(|e| e.service == *service) {
            let Some(outstanding) = engine.outstanding_command.as_ref() else {
                continue;
            };
            let op = outstanding.command.op.clone();
            let listed = spec.models.get(op.model());
            if let Some(listed) = listed {
                engine.size_listed(op.model(), Size::of(listed));
            }
            if !engine.awaits_resend() || !op.loads() {
                continue;
            }
            let needed_mb = listed.map(|model| match op {
                Op::Load(_) => model.weights_mb,
                _ => model.adapter_mb,
            });
            if needed_mb.is_none_or(|mb| !engine.has_room(spec, &self.sizes, mb)) {
                engine.give_up_command();
            }
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
            let next = next_op(now, oldest_load_report_at, engine, spec, &self.sizes);
            if let Some((op, duration_ms)) = next {
                let size = spec.models.get(op.model()).map(Size::of);
                commands.push(engine.start_command(now, id, op, duration_ms, size));
            }
        }
        commands
    }
}

/// The next operation of an engine, and its shortest duration in milliseconds.
fn next_op(
    now: Millis,
    oldest_load_report_at: Millis,
    engine: &mut Engine,
    spec: &deployment::EngineSpec,
    sizes: &Sizes,
) -> Option<(Op, Millis)> {
    while !engine.adapter_commands.is_empty() {
        let op = engine.adapter_commands.remove(0);
        if adapter_fits(engine, spec, sizes, &op) {
            return Some((op, 0));
        }
    }
    let pending_load = engine.pending_load.clone()?;
    let Some(model) = spec.models.get(&pending_load.model) else {
        engine.pending_load = None;
        return None;
    };
    if engine.has_room(spec, sizes, model.weights_mb) {
        let duration_ms = load_ms(engine, &pending_load.model, model);
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
        Some(_) if now < pending_load.since + pending_load.drain_timeout_ms => None,
        _ => {
            engine.pending_load = None;
            None
        }
    }
}

/// Whether an adapter operation can still be carried out, given the models and adapters that the
/// engine has loaded now.
fn adapter_fits(engine: &Engine, spec: &deployment::EngineSpec, sizes: &Sizes, op: &Op) -> bool {
    let (Some(model_state), Some(adapter)) = (engine.loaded.get(op.model()), op.adapter()) else {
        return false;
    };
    let is_loaded =
        model_state.adapters.contains_key(adapter) && !model_state.unloading.contains(adapter);
    if !op.loads() {
        return is_loaded;
    }
    let adapter_slots = usize::try_from(spec.adapters).unwrap_or(usize::MAX);
    let Some(model) = spec.models.get(op.model()) else {
        return false;
    };
    let fits = engine.has_room(spec, sizes, model.adapter_mb);
    !is_loaded && fits && engine.adapter_count() < adapter_slots
}
