//! Models that requests wait for, or that need more engines.
//!
//! Pattern: few places and many models, most of them asked for rarely, while demand moves. A
//! model is brought in where its weights are at hand; what goes is what is asked for least.

use super::command::{Command, Op};
use super::engine::{Engine, Goal};
use super::{Planner, Wanted};
use crate::fleet::deployment;
use crate::prelude::*;

/// Part of an engine's slots that a model's requests may take before it gets another engine. Well
/// below 1: an engine that reads prompts for many requests is slow long before its slots are full.
const FULL: f64 = 0.2;
/// Part of its engines' slots beyond which a model's requests count as waiting: they fill the
/// engines' queues, and those that come are refused.
const CROWDED: f64 = 0.5;
/// Milliseconds that evicting something asked for once a second is worth.
const EVICTION_MS: f64 = 4_000.0;
/// Milliseconds for which a model stays after it was brought in.
const STAYS_MS: Millis = 700;
/// Milliseconds for which a model that is to go may still have requests.
const RUNS_OUT_MS: Millis = 1_000;
/// Milliseconds that an unload takes at the least.
const UNLOAD_MS: Millis = 40;
/// Milliseconds that each copy which an engine keeps counts against it as a place for another
/// model: models whose only copies are at one engine wait for each other.
const COPY_MS: f64 = 60.0;
/// Megabytes of an engine's memory that are never filled.
const SPARE_MB: f64 = 1.0;
/// Milliseconds that an engine whose slots are all taken costs.
const BUSY_SLOTS_MS: f64 = 1_500.0;
/// Requests a second that the only replica of a model counts as.
const LAST_PER_S: f64 = 0.02;
/// Milliseconds that each adapter of an engine costs.
const ADAPTER_MS: f64 = 40.0;
/// Milliseconds that waiting for an engine with a command in progress costs.
const BUSY_MS: f64 = 600.0;

/// A way to bring a model in.
struct Way {
    cost: f64,
    engine: Name,
    victims: Vec<Name>,
    from_store: bool,
}

impl Planner {
    pub(super) fn plan_models(
        &mut self,
        now: Millis,
        service: &Name,
        spec: &deployment::Engine,
        waiting: &BTreeMap<Wanted, u32>,
    ) {
        for engine in self.engines.values_mut() {
            engine.expire_goal(now);
        }
        for (model, count) in self.needed(now, service, spec, waiting) {
            if self.supply(now, service, &model) >= count {
                continue;
            }
            if let Some(way) = self.best_way(now, service, spec, &model) {
                self.pursue(now, &model, way);
            }
        }
        self.seed(now, service, spec);
    }

    /// Brings in models of which no engine has a copy, before somebody asks for them: afterwards
    /// they come back from that engine's host, and not from the store.
    fn seed(&mut self, now: Millis, service: &Name, spec: &deployment::Engine) {
        let missing: Vec<Name> = spec.models.keys().cloned().collect();
        for model in missing {
            if !self.store.has_room_for_seeds(self.store_loads_active(now)) {
                return;
            }
            if self.has_copy(now, service, &model) {
                continue;
            }
            if let Some(way) = self.best_way(now, service, spec, &model) {
                self.pursue(now, &model, way);
            }
        }
    }

    fn has_copy(&self, now: Millis, service: &Name, model: &Name) -> bool {
        self.of(service).filter(|e| e.is_alive(now)).any(|engine| {
            let comes = engine.goal.as_ref().is_some_and(|g| g.model == *model);
            comes || engine.held.contains_key(model) || at_hand(engine, model)
        })
    }

    /// Loads from the store that are on their way.
    pub(super) fn store_loads_active(&self, now: Millis) -> usize {
        let loading = self.engines.values().filter(|e| e.loads_from_store(now));
        loading.count()
    }

    /// Engines that each model should be on, the most awaited model first. Both what waits for a
    /// model and what crowds its engines count.
    fn needed(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::Engine,
        waiting: &BTreeMap<Wanted, u32>,
    ) -> Vec<(Name, usize)> {
        let mut requests: BTreeMap<&Name, (u32, u32)> = BTreeMap::new();
        for (wanted, count) in waiting {
            requests.entry(&wanted.model).or_default().0 += count;
        }
        for engine in self.of(service) {
            for ((model, _), count) in &engine.running {
                requests.entry(model).or_default().1 += count;
            }
        }
        let mut needed: Vec<(f64, Name, usize)> = Vec::new();
        for (model, (waits, runs)) in requests {
            if !spec.models.contains_key(model) {
                continue;
            }
            let slots = f64::from(spec.slots.max(1));
            let load = f64::from(waits + runs) / (FULL * slots);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Few engines.
            let count = load.ceil().max(1.0) as usize;
            let supply = self.supply(now, service, model);
            if waits > 0 && supply == 0 || count > 1 {
                #[allow(clippy::cast_precision_loss)] // Few engines.
                let roomy = CROWDED * slots * supply as f64;
                let crowd = (f64::from(runs) - roomy).max(0.0);
                needed.push((f64::from(waits) + crowd, model.clone(), count));
            }
        }
        needed.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        needed.into_iter().map(|(_, model, n)| (model, n)).collect()
    }

    /// Engines that hold the model to stay, or will.
    fn supply(&self, now: Millis, service: &Name, model: &Name) -> usize {
        let engines = self.of(service).filter(|engine| {
            let goal = engine.goal.as_ref();
            let comes = goal.is_some_and(|g| g.model == *model);
            let goes = goal.is_some_and(|g| g.victims.contains(model));
            engine.is_alive(now) && (comes || engine.held.contains_key(model) && !goes)
        });
        engines.count()
    }

    fn best_way(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::Engine,
        model: &Name,
    ) -> Option<Way> {
        let active = self.store_loads_active(now);
        let store_open = self.store.has_room(now, active, spec.loads_per_s);
        let ways = self.engines.iter().filter_map(|(id, engine)| {
            let free = engine.service == *service && engine.goal.is_none() && engine.is_known();
            if !free || !engine.is_alive(now) || engine.held.contains_key(model) {
                return None;
            }
            let from_store = !at_hand(engine, model);
            if from_store && !store_open {
                return None;
            }
            self.way(now, spec, model, id, engine, from_store)
        });
        ways.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn way(
        &self,
        now: Millis,
        spec: &deployment::Engine,
        model: &Name,
        id: &Name,
        engine: &Engine,
        from_store: bool,
    ) -> Option<Way> {
        let size = spec.models.get(model)?;
        let mut free = spec.weights_mb - SPARE_MB - engine.used_mb(spec);
        let mut victims = Vec::new();
        let mut cost = load_ms(engine, model, size);
        if from_store {
            cost +=
                COPY_MS * f64::from(u32::try_from(engine.copies.disk.len()).unwrap_or(u32::MAX));
        }
        if engine.open.is_some() {
            cost += BUSY_MS;
        }
        // Adapters can't be loaded there meanwhile.
        cost += ADAPTER_MS * f64::from(u32::try_from(engine.adapters()).unwrap_or(u32::MAX));
        cost += BUSY_SLOTS_MS * f64::from(engine.running_total()) / f64::from(spec.slots.max(1));
        for (worth, victim) in self.victims(now, engine) {
            if free >= size.weights_mb {
                break;
            }
            cost += worth * EVICTION_MS;
            free += freed_mb(spec, engine, &victim);
            victims.push(victim);
        }
        if free < size.weights_mb {
            return None;
        }
        Some(Way {
            cost,
            engine: id.clone(),
            victims,
            from_store,
        })
    }

    /// Idle models of an engine with what each is worth, the least first.
    fn victims(&self, now: Millis, engine: &Engine) -> Vec<(f64, Name)> {
        let idle = engine
            .held
            .iter()
            .filter(|(model, holds)| engine.running(model) == 0 && now >= holds.used_at + STAYS_MS);
        let mut victims: Vec<(f64, Name)> = idle
            .map(|(model, _)| {
                let others = self.supply(now, &engine.service, model).max(1);
                let rate = self.rate(now, &engine.service, model);
                #[allow(clippy::cast_precision_loss)] // Few engines.
                let share = rate / others as f64;
                let last = if others == 1 { LAST_PER_S } else { 0.0 };
                (share + last, model.clone())
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        victims
    }

    fn pursue(&mut self, now: Millis, model: &Name, way: Way) {
        if way.from_store {
            self.store.begin(now);
        }
        let together = self.store_loads_active(now) + 1;
        if let Some(engine) = self.engines.get_mut(&way.engine) {
            engine.goal = Some(Goal {
                model: model.clone(),
                victims: way.victims,
                since: now,
                store_loads: way.from_store.then_some(together),
            });
        }
    }

    /// The next command of each engine that has something to do.
    pub(super) fn next_commands(
        &mut self,
        now: Millis,
        told_from: Millis,
        service: &Name,
        spec: &deployment::Engine,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.service != *service || !engine.takes_orders(now) {
                continue;
            }
            if let Some((op, lasts_ms)) = next_op(now, told_from, engine, spec) {
                commands.push(engine.command(now, id, op, lasts_ms));
            }
        }
        commands
    }

    fn of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Engine> {
        self.engines.values().filter(move |e| e.service == *service)
    }
}

/// What an engine is to do next, and how long it takes at the least.
fn next_op(
    now: Millis,
    told_from: Millis,
    engine: &mut Engine,
    spec: &deployment::Engine,
) -> Option<(Op, Millis)> {
    while !engine.adapter_commands.is_empty() {
        let op = engine.adapter_commands.remove(0);
        if adapter_fits(engine, spec, &op) {
            return Some((op, 0));
        }
    }
    let goal = engine.goal.clone()?;
    let Some(model) = spec.models.get(&goal.model) else {
        engine.goal = None;
        return None;
    };
    let free = spec.weights_mb - SPARE_MB - engine.used_mb(spec);
    if free >= model.weights_mb {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Positive seconds.
        let lasts = load_ms(engine, &goal.model, model) as Millis;
        return Some((Op::Load(goal.model), lasts));
    }
    if !engine.withdrawn(now, told_from) {
        return None;
    }
    let victim = goal.victims.iter().find(|v| engine.held.contains_key(*v));
    // An unload waits for the requests that run, and nothing else is loaded meanwhile: one that
    // began before the model was withdrawn is waited for here.
    match victim {
        Some(victim) if engine.running(victim) == 0 => {
            Some((Op::Unload(victim.clone()), UNLOAD_MS))
        }
        Some(_) if now < goal.since + RUNS_OUT_MS => None,
        _ => {
            engine.goal = None;
            None
        }
    }
}

/// Whether an adapter command can be carried out on what the engine holds now.
fn adapter_fits(engine: &Engine, spec: &deployment::Engine, op: &Op) -> bool {
    let (Some(holds), Some(adapter)) = (engine.held.get(op.model()), op.adapter()) else {
        return false;
    };
    let there = holds.adapters.contains_key(adapter) && !holds.leaving.contains(adapter);
    if !op.loads() {
        return there;
    }
    let places = usize::try_from(spec.adapters).unwrap_or(usize::MAX);
    let size = spec.models.get(op.model()).map_or(0.0, |m| m.adapter_mb);
    let fits = engine.used_mb(spec) + size + SPARE_MB <= spec.weights_mb;
    !there && fits && engine.adapters() < places
}

/// Whether the engine can load a model without the store.
fn at_hand(engine: &Engine, model: &Name) -> bool {
    engine.copies.memory.contains(model) || engine.copies.disk.contains(model)
}

#[allow(clippy::cast_precision_loss)] // Milliseconds of a load.
fn load_ms(engine: &Engine, model: &Name, size: &deployment::Model) -> f64 {
    if engine.copies.memory.contains(model) {
        size.memory_ms as f64
    } else if engine.copies.disk.contains(model) {
        size.disk_ms as f64
    } else {
        size.store_ms as f64
    }
}

fn freed_mb(spec: &deployment::Engine, engine: &Engine, model: &Name) -> f64 {
    let Some(size) = spec.models.get(model) else {
        return 0.0;
    };
    let adapters = engine.held.get(model).map_or(0, |h| h.adapters.len());
    #[allow(clippy::cast_precision_loss)] // A few adapters.
    let adapters = adapters as f64;
    size.weights_mb + adapters * size.adapter_mb
}
