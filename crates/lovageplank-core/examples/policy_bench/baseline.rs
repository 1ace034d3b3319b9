//! Baseline policies: loads in order of arrival, eviction of the least recently used replica and a
//! fixed keep-alive.

use lovageplank_core::load::{RateLimiter, Source};
use lovageplank_core::placement::{Action, Engine, Replica};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::Phase;

/// Loads models first come, first served and drains idle replicas after a fixed keep-alive.
#[derive(Clone, Debug)]
pub struct Baseline {
    keep_alive_ms: u64,
    prefer_cached: bool,
    rate_limiter: RateLimiter,
    waiting_since: BTreeMap<Name, Millis>,
    last_used: BTreeMap<(Name, Name), Millis>,
}

impl Baseline {
    /// A policy that drains replicas after `keep_alive_ms` idle milliseconds. With `prefer_cached`
    /// it prefers engines whose instance has cached the weights.
    pub fn new(keep_alive_ms: u64, prefer_cached: bool) -> Baseline {
        Baseline {
            keep_alive_ms,
            prefer_cached,
            rate_limiter: RateLimiter::default(),
            waiting_since: BTreeMap::new(),
            last_used: BTreeMap::new(),
        }
    }

    /// Decides loads for the models that requests wait for, and drains.
    pub fn decide(
        &mut self,
        now: Millis,
        tree: &Tree,
        engines: &[Engine],
        waiting: &BTreeMap<Name, u32>,
    ) -> Vec<Action> {
        self.record_use(now, engines, waiting);
        let mut engines = engines.to_vec();
        let mut actions = self.expire(now, &mut engines);
        let mut order: Vec<(Millis, Name)> = self
            .waiting_since
            .iter()
            .map(|(model, since)| (*since, model.clone()))
            .collect();
        order.sort();
        for (_, model) in order {
            actions.extend(self.load_or_evict(now, tree, &mut engines, &model));
        }
        actions
    }

    /// Updates since when each model has waiting requests and when each replica was last used.
    fn record_use(&mut self, now: Millis, engines: &[Engine], waiting: &BTreeMap<Name, u32>) {
        self.waiting_since.retain(|m, _| waiting.contains_key(m));
        for model in waiting.keys() {
            self.waiting_since.entry(model.clone()).or_insert(now);
        }
        for engine in engines {
            for replica in &engine.replicas {
                let key = (engine.id.clone(), replica.model.clone());
                let last_used = self.last_used.entry(key).or_insert(now);
                if replica.running > 0 || replica.phase == Phase::Loading {
                    *last_used = now;
                }
            }
        }
        let placed: BTreeSet<(Name, Name)> = engines
            .iter()
            .flat_map(|e| e.replicas.iter().map(|r| (e.id.clone(), r.model.clone())))
            .collect();
        self.last_used.retain(|key, _| placed.contains(key));
    }

    /// Drains replicas that have been idle for the keep-alive.
    fn expire(&self, now: Millis, engines: &mut [Engine]) -> Vec<Action> {
        let mut actions = Vec::new();
        for engine in engines {
            for index in 0..engine.replicas.len() {
                let replica = &engine.replicas[index];
                let idle_ms = now.saturating_sub(self.last_use(engine, replica));
                let waiting = self.waiting_since.contains_key(&replica.model);
                if idle(replica) && !waiting && idle_ms >= self.keep_alive_ms {
                    actions.push(drain(engine, index));
                }
            }
        }
        actions
    }

    fn last_use(&self, engine: &Engine, replica: &Replica) -> Millis {
        let key = (engine.id.clone(), replica.model.clone());
        self.last_used.get(&key).copied().unwrap_or(0)
    }

    /// Loads a model that no live engine has, or drains a replica to free memory for it.
    fn load_or_evict(
        &mut self,
        now: Millis,
        tree: &Tree,
        engines: &mut [Engine],
        name: &Name,
    ) -> Vec<Action> {
        let placed = engines
            .iter()
            .filter(|e| e.live)
            .any(|e| e.replicas.iter().any(|r| r.model == *name));
        let Some((service, model)) = tree.model(name) else {
            return Vec::new();
        };
        if placed {
            return Vec::new();
        }
        let settings = tree.effective(service, Some(name), None);
        let Some(index) = self.engine(engines, name, model.memory_mb) else {
            return self.evict(engines, model.memory_mb);
        };
        let source = Source::of(&engines[index].cached, name);
        if source == Source::Store {
            if store_loads(engines) >= settings.store_concurrency as usize
                || self.rate_limiter.next_start() > now
            {
                return Vec::new();
            }
            self.rate_limiter
                .record_start(now, settings.store_loads_per_second);
        }
        let engine = &mut engines[index];
        engine.free_mb -= model.memory_mb;
        engine.replicas.push(Replica {
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

    /// The live engine with the most free memory among those with enough of it. With
    /// `prefer_cached`, the fastest source of the weights comes first.
    fn engine(&self, engines: &[Engine], model: &Name, memory_mb: u64) -> Option<usize> {
        let fits = |index: &usize| engines[*index].live && engines[*index].free_mb >= memory_mb;
        let rank = |index: &usize| {
            let engine = &engines[*index];
            let source = Source::of(&engine.cached, model);
            let source = if self.prefer_cached {
                source
            } else {
                Source::Store
            };
            (source, std::cmp::Reverse(engine.free_mb))
        };
        (0..engines.len()).filter(fits).min_by_key(rank)
    }

    /// Drains the least recently used idle replica, unless drains in progress already free enough
    /// memory on some engine.
    fn evict(&self, engines: &mut [Engine], memory_mb: u64) -> Vec<Action> {
        let available_mb = |e: &Engine| {
            let draining = e.replicas.iter().filter(|r| r.phase == Phase::Draining);
            e.free_mb + draining.map(|r| r.memory_mb).sum::<u64>()
        };
        if engines
            .iter()
            .any(|e| e.live && available_mb(e) >= memory_mb)
        {
            return Vec::new();
        }
        let oldest = engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.live)
            .flat_map(|(i, e)| {
                e.replicas
                    .iter()
                    .enumerate()
                    .map(move |(j, r)| (i, e, j, r))
            })
            .filter(|(.., r)| idle(r) && !self.waiting_since.contains_key(&r.model))
            .min_by_key(|(_, e, _, r)| self.last_use(e, r))
            .map(|(i, _, j, _)| (i, j));
        match oldest {
            Some((index, replica)) => vec![drain(&mut engines[index], replica)],
            None => Vec::new(),
        }
    }
}

/// Loads in flight from the weight store.
fn store_loads(engines: &[Engine]) -> usize {
    let from_store = |engine: &Engine| {
        let loading = engine.replicas.iter().filter(|r| r.phase == Phase::Loading);
        loading
            .filter(|r| Source::of(&engine.cached, &r.model) == Source::Store)
            .count()
    };
    engines.iter().map(from_store).sum()
}

fn idle(replica: &Replica) -> bool {
    replica.phase == Phase::Ready && replica.running == 0
}

fn drain(engine: &mut Engine, index: usize) -> Action {
    let replica = engine.replica_id(&engine.replicas[index]);
    engine.replicas[index].phase = Phase::Draining;
    Action::Drain { replica }
}
