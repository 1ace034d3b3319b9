//! Places adapters that requests wait for.
//!
//! There are many adapters of a few base models, each requested now and then. An adapter loads in
//! milliseconds, so it is loaded on demand on an engine that has its base model loaded. Each engine
//! has a limited number of *adapter slots*; an adapter stays loaded until its slot is needed for
//! another one.

use super::command::Op;
use super::demand::WaitingRequests;
use super::engine::Engine;
use super::{Planner, RequestedModel};
use crate::fleet::deployment;
use crate::prelude::*;

impl Planner {
    pub(super) fn plan_adapters(
        &mut self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        waiting: &WaitingRequests,
    ) {
        for requested in waiting.keys() {
            if let Some(adapter) = &requested.adapter {
                self.place_adapter(now, service, spec, requested, adapter);
            }
        }
    }

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
                && engine.ready
                && engine.loaded.contains_key(model)
        });
        let mut best: Option<(f64, Name)> = None;
        for (id, engine) in with_model {
            let model_state = &engine.loaded[model];
            // Whether the adapter is not being unloaded; it may also not be loaded.
            let kept = !model_state.unloading.contains(adapter);
            if kept && model_state.adapters.contains_key(adapter)
                || engine.adapter_commands.contains(&load)
            {
                return;
            }
            if will_unload(engine, model) || !engine.is_alive(now) {
                continue;
            }
            let cost = adapter_cost(engine, spec);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, id.clone()));
            }
        }
        let Some((_, id)) = best else {
            return;
        };
        let engine = self.engines.get_mut(&id).expect("found above");
        let adapter_slots = usize::try_from(spec.adapters).unwrap_or(usize::MAX);
        let planned_loads = engine
            .adapter_commands
            .iter()
            .filter(|op| op.loads())
            .count();
        let planned_unloads = engine
            .adapter_commands
            .iter()
            .filter(|op| !op.loads())
            .count();
        if engine.adapter_count() + planned_loads >= adapter_slots + planned_unloads {
            let Some(unload) = unload_idle_adapter(engine) else {
                return;
            };
            engine.adapter_commands.push(unload);
        }
        engine.adapter_commands.push(load);
    }
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
/// - a fixed cost while a command is outstanding.
fn adapter_cost(engine: &Engine, spec: &deployment::EngineSpec) -> f64 {
    let count = engine.adapter_count() + engine.adapter_commands.len();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let used = f64::from(count) / f64::from(spec.adapters.max(1));
    let command_cost = if engine.outstanding_command.is_some() {
        2.0
    } else {
        0.0
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
