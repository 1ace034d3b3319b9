//! The policies to compare with: loads in order of arrival, eviction of the least recently used
//! replica, a fixed keep-alive.

use lovageplank_core::load::{Pace, Source};
use lovageplank_core::placement::{Action, Engine, Resident};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::Phase;

/// First come, first served, with a fixed keep-alive.
#[derive(Clone, Debug)]
pub struct Baseline {
    keep_alive_ms: u64,
    near_cache: bool,
    pace: Pace,
    first_wanted: BTreeMap<Name, Millis>,
    used: BTreeMap<(Name, Name), Millis>,
}

impl Baseline {
    /// A policy that unloads after `keep_alive_ms`; `near_cache` lets it prefer engines that have
    /// the weights near.
    pub fn new(keep_alive_ms: u64, near_cache: bool) -> Baseline {
        Baseline {
            keep_alive_ms,
            near_cache,
            pace: Pace::default(),
            first_wanted: BTreeMap::new(),
            used: BTreeMap::new(),
        }
    }

    /// Loads and drains for the models that requests wait for.
    pub fn decide(
        &mut self,
        now: Millis,
        tree: &Tree,
        engines: &[Engine],
        waiting: &BTreeMap<Name, u32>,
    ) -> Vec<Action> {
        self.note_use(now, engines, waiting);
        let mut engines = engines.to_vec();
        let mut actions = self.expire(now, &mut engines);
        let mut order: Vec<(Millis, Name)> = self
            .first_wanted
            .iter()
            .map(|(model, since)| (*since, model.clone()))
            .collect();
        order.sort();
        for (_, model) in order {
            actions.extend(self.serve(now, tree, &mut engines, &model));
        }
        actions
    }

    fn note_use(&mut self, now: Millis, engines: &[Engine], waiting: &BTreeMap<Name, u32>) {
        self.first_wanted.retain(|m, _| waiting.contains_key(m));
        for model in waiting.keys() {
            self.first_wanted.entry(model.clone()).or_insert(now);
        }
        for engine in engines {
            for resident in &engine.residents {
                let key = (engine.id.clone(), resident.model.clone());
                let used = self.used.entry(key).or_insert(now);
                if resident.running > 0 || resident.phase == Phase::Loading {
                    *used = now;
                }
            }
        }
        let held: BTreeSet<(Name, Name)> = engines
            .iter()
            .flat_map(|e| e.residents.iter().map(|r| (e.id.clone(), r.model.clone())))
            .collect();
        self.used.retain(|key, _| held.contains(key));
    }

    /// Drains what was idle for the keep-alive.
    fn expire(&self, now: Millis, engines: &mut [Engine]) -> Vec<Action> {
        let mut actions = Vec::new();
        for engine in engines {
            for index in 0..engine.residents.len() {
                let resident = &engine.residents[index];
                let idle_ms = now.saturating_sub(self.last_use(engine, resident));
                let wanted = self.first_wanted.contains_key(&resident.model);
                if idle(resident) && !wanted && idle_ms >= self.keep_alive_ms {
                    actions.push(drain(engine, index));
                }
            }
        }
        actions
    }

    fn last_use(&self, engine: &Engine, resident: &Resident) -> Millis {
        let key = (engine.id.clone(), resident.model.clone());
        self.used.get(&key).copied().unwrap_or(0)
    }

    /// Loads a model that nobody holds, or drains for it.
    fn serve(
        &mut self,
        now: Millis,
        tree: &Tree,
        engines: &mut [Engine],
        name: &Name,
    ) -> Vec<Action> {
        let held = engines
            .iter()
            .filter(|e| e.live)
            .any(|e| e.residents.iter().any(|r| r.model == *name));
        let Some((service, model)) = tree.model(name) else {
            return Vec::new();
        };
        if held {
            return Vec::new();
        }
        let settings = tree.effective(service, Some(name), None);
        let Some(index) = self.engine(engines, name, model.memory_mb) else {
            return self.evict(engines, model.memory_mb);
        };
        let source = Source::of(&engines[index].cached, name);
        if source == Source::Store {
            if store_loads(engines) >= settings.store_concurrency as usize || self.pace.next() > now
            {
                return Vec::new();
            }
            self.pace.start(now, settings.store_loads_per_second);
        }
        let engine = &mut engines[index];
        engine.free_mb -= model.memory_mb;
        engine.residents.push(Resident {
            model: name.clone(),
            version: model.version.clone(),
            phase: Phase::Loading,
            memory_mb: model.memory_mb,
            running: 0,
            adapters: BTreeSet::new(),
            unresolved: false,
        });
        vec![Action::Load {
            model: name.clone(),
            version: model.version.clone(),
            engine: engine.id.clone(),
            memory_mb: model.memory_mb,
            limit: settings.max_replicas,
        }]
    }

    /// The engine with the most free memory, or among those that fit the one with the nearest cache.
    fn engine(&self, engines: &[Engine], model: &Name, memory_mb: u64) -> Option<usize> {
        let fits = |index: &usize| engines[*index].live && engines[*index].free_mb >= memory_mb;
        let rank = |index: &usize| {
            let engine = &engines[*index];
            let source = Source::of(&engine.cached, model);
            let source = if self.near_cache {
                source
            } else {
                Source::Store
            };
            (source, std::cmp::Reverse(engine.free_mb))
        };
        (0..engines.len()).filter(fits).min_by_key(rank)
    }

    /// Drains the least recently used idle replicas of one engine until the model would fit.
    fn evict(&self, engines: &mut [Engine], memory_mb: u64) -> Vec<Action> {
        let coming_mb = |e: &Engine| {
            let leaving = e.residents.iter().filter(|r| r.phase == Phase::Draining);
            e.free_mb + leaving.map(|r| r.memory_mb).sum::<u64>()
        };
        if engines.iter().any(|e| e.live && coming_mb(e) >= memory_mb) {
            return Vec::new();
        }
        let oldest = engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.live)
            .flat_map(|(i, e)| {
                e.residents
                    .iter()
                    .enumerate()
                    .map(move |(j, r)| (i, e, j, r))
            })
            .filter(|(.., r)| idle(r) && !self.first_wanted.contains_key(&r.model))
            .min_by_key(|(_, e, _, r)| self.last_use(e, r))
            .map(|(i, _, j, _)| (i, j));
        match oldest {
            Some((index, resident)) => vec![drain(&mut engines[index], resident)],
            None => Vec::new(),
        }
    }
}

/// Loads in flight from the weight store.
fn store_loads(engines: &[Engine]) -> usize {
    let from_store = |engine: &Engine| {
        let loading = engine
            .residents
            .iter()
            .filter(|r| r.phase == Phase::Loading);
        loading
            .filter(|r| Source::of(&engine.cached, &r.model) == Source::Store)
            .count()
    };
    engines.iter().map(from_store).sum()
}

fn idle(resident: &Resident) -> bool {
    resident.phase == Phase::Ready && resident.running == 0
}

fn drain(engine: &mut Engine, index: usize) -> Action {
    let replica = engine.replica_id(&engine.residents[index]);
    engine.residents[index].phase = Phase::Draining;
    Action::Drain { replica }
}
