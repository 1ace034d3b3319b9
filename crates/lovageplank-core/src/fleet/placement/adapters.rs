//! Places adapters that requests wait for.
//!
//! There are many adapters of a few base models, each requested now and then. An adapter loads in
//! milliseconds, so it is loaded on demand on an engine that has its base model loaded. Each engine
//! has a limited number of *adapter slots*; an adapter stays loaded until its slot is needed for
//! another one.

use super::command::Op;
use super::demand::{Waiting, WaitingRequests};
use super::engine::Engine;
use super::{Planner, RequestedModel};
use crate::fleet::deployment;
use crate::prelude::*;

impl Planner {
    /// Places the adapters that requests wait for, those first whose requests have waited longest.
    pub(super) fn plan_adapters(
        &mut self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        waiting: &WaitingRequests,
    ) {
        let mut requested: Vec<(&RequestedModel, &Waiting)> = waiting.iter().collect();
        requested.sort_by_key(|(_, waiting)| waiting.earliest_objective_at());
        for (requested, _) in requested {
            if let Some(adapter) = &requested.adapter {
                self.place_adapter(now, service, spec, requested, adapter);
            }
        }
    }

    /// Orders the load of an adapter at the first engine that has a place for it, the cheapest one first.
    fn place_adapter(
        &mut self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        requested: &RequestedModel,
        adapter: &Name,
    ) {
        let model = &requested.model;
        let load = Op::LoadAdapter(model.clone(), adapter.clone());
        let with_model = self.engines.iter().filter(|(_, engine)| {
            engine.service == *service
                && engine.runs(requested.software.as_ref())
                && engine.is_alive(now)
                && engine.loaded.contains_key(model)
        });
        let mut candidates: Vec<(f64, Name)> = Vec::new();
        for (id, engine) in with_model {
            if has_adapter(engine, model, adapter) || engine.carries_out(&load) {
                return;
            }
            if !will_unload(engine, model) {
                candidates.push((adapter_cost(now, engine, spec), id.clone()));
            }
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        for (_, id) in candidates {
            let engine = self.engines.get_mut(&id).expect("found above");
            if engine.adapter_commands.contains(&load) {
                return;
            }
            if add_load(engine, spec, &load) {
                self.withdraw_elsewhere(&id, &load);
                return;
            }
        }
    }

    /// Takes a command for an adapter back at the other engines, which haven't been sent it yet.
    fn withdraw_elsewhere(&mut self, id: &Name, load: &Op) {
        let others = self.engines.iter_mut().filter(|(other, _)| *other != id);
        for (_, engine) in others {
            engine.adapter_commands.retain(|op| op != load);
        }
    }
}

/// Adds the load of an adapter to an engine's commands, after the unload of an idle one if all places are taken.
/// Returns false if there is none.
fn add_load(engine: &mut Engine, spec: &deployment::EngineSpec, load: &Op) -> bool {
    let adapter_slots = usize::try_from(spec.adapters).unwrap_or(usize::MAX);
    let commands = engine.adapter_commands.len();
    let planned_loads = engine.adapter_commands.iter().filter(|op| op.loads());
    let planned_loads = planned_loads.count();
    let planned_unloads = commands - planned_loads;
    if engine.adapter_count() + planned_loads >= adapter_slots + planned_unloads {
        let Some(unload) = unload_idle_adapter(engine) else {
            return false;
        };
        engine.adapter_commands.push(unload);
    }
    engine.adapter_commands.push(load.clone());
    true
}

/// Whether an engine has the adapter and isn't unloading it.
fn has_adapter(engine: &Engine, model: &Name, adapter: &Name) -> bool {
    let model_state = &engine.loaded[model];
    model_state.adapters.contains_key(adapter) && !model_state.unloading.contains(adapter)
}

/// Whether the model is about to be unloaded.
fn will_unload(engine: &Engine, model: &Name) -> bool {
    let pending_load = engine.pending_load.as_ref();
    pending_load.is_some_and(|load| load.evictions.contains(model))
}

/// Cost of loading an adapter on an engine; lower is better. It is the sum of three parts:
///
/// - the number of its adapters and of the adapter commands still to send, divided by the number of
///   adapters that it can have;
/// - the number of its running requests, divided by its request slots;
/// - a fixed cost while a command is outstanding, or none may be sent.
fn adapter_cost(now: Millis, engine: &Engine, spec: &deployment::EngineSpec) -> f64 {
    let count = engine.adapter_count() + engine.adapter_commands.len();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let used = f64::from(count) / f64::from(spec.adapters.max(1));
    let command_cost = if engine.accepts_commands(now) {
        0.0
    } else {
        2.0
    };
    used + command_cost + f64::from(engine.running_total()) / f64::from(spec.slots.max(1))
}

/// The operation that unloads the adapter that was loaded first, of those without running requests.
fn unload_idle_adapter(engine: &Engine) -> Option<Op> {
    let adapters = engine.loaded.iter().flat_map(|(model, model_state)| {
        let with_times = model_state.adapters.iter();
        with_times.map(move |(adapter, since)| (*since, model, adapter))
    });
    let idle = adapters.filter(|(_, model, adapter)| {
        let op = Op::UnloadAdapter((*model).clone(), (*adapter).clone());
        let unloading = engine.loaded[*model].unloading.contains(*adapter);
        !unloading
            && engine.running_adapter(model, adapter) == 0
            && !engine.adapter_commands.contains(&op)
    });
    let (_, model, adapter) = idle.min()?;
    Some(Op::UnloadAdapter(model.clone(), adapter.clone()))
}
