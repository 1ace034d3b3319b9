//! Simulates engines, weight store and routers in virtual time.

use crate::assumptions::{
    ACTIVE_TICK_MS, BATCH_SIZE, DISK_CACHE_MODELS, DISK_MB_PER_MS, DRAIN_MS, ENGINE_LOSS_MS,
    IDLE_TICK_MS, MEMORY_CACHE_MODELS, MEMORY_MB_PER_MS, SLOWDOWN, STORE_MB_PER_MS, TRACE_MS,
    UNLOAD_MS,
};
use crate::deployment::Deployment;
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::trace::{Request, Trace};
use lovageplank_core::demand::{DemandReport, ModelDemand};
use lovageplank_core::load::Source;
use lovageplank_core::placement::{Action, Engine, Meter, Replica};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::{Phase, ReplicaId};
use std::collections::VecDeque;

/// Runs a policy over a trace.
pub fn run(deployment: &Deployment, trace: &Trace, seed: u64, mut policy: Policy) -> Outcome {
    let tree = deployment.tree(seed, policy.weights(deployment));
    let mut simulation = Simulation::new(deployment, &tree, trace, seed);
    while simulation.now < TRACE_MS {
        simulation.step(&mut policy);
    }
    simulation.finish()
}

/// A load in progress.
struct Load {
    replica: ReplicaId,
    source: Source,
    started: Millis,
    remaining_ms: f64,
}

/// A running request.
struct Running {
    end: Millis,
    replica: ReplicaId,
    router: usize,
}

/// The simulated components and their clock.
struct Simulation<'a> {
    deployment: &'a Deployment,
    tree: &'a Tree,
    trace: &'a Trace,
    now: Millis,
    next_request: usize,
    engines: Vec<Engine>,
    recency: BTreeMap<(Name, Name), Millis>,
    lost: BTreeMap<usize, Millis>,
    next_loss: usize,
    loads: Vec<Load>,
    unloads: BTreeMap<ReplicaId, Millis>,
    waiting: BTreeMap<Name, VecDeque<Request>>,
    running: Vec<Running>,
    arrivals: Vec<BTreeMap<Name, u32>>,
    meter: Meter,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(
        deployment: &'a Deployment,
        tree: &'a Tree,
        trace: &'a Trace,
        seed: u64,
    ) -> Simulation<'a> {
        Simulation {
            deployment,
            tree,
            trace,
            now: 0,
            next_request: 0,
            engines: deployment.fleet(seed),
            recency: BTreeMap::new(),
            lost: BTreeMap::new(),
            next_loss: 0,
            loads: Vec::new(),
            unloads: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: vec![BTreeMap::new(); deployment.routers],
            meter: Meter::default(),
            outcome: Outcome::default(),
        }
    }

    /// Advances to the next tick or event, applies what happened since, then executes a decision.
    fn step(&mut self, policy: &mut Policy) {
        let elapsed_ms = self.advance();
        self.lose_engines();
        self.end_requests();
        self.progress_loads(elapsed_ms, policy);
        self.end_unloads();
        self.arrive();
        self.refuse();
        self.dispatch();
        self.meter.observe(self.now, &self.engines);
        self.report(policy);
        let waiting = self.waiting.iter().map(|(m, w)| (m.clone(), w.len()));
        let waiting = waiting
            .map(|(m, n)| (m, u32::try_from(n).unwrap_or(u32::MAX)))
            .collect();
        for action in policy.decide(self.now, self.tree, &self.engines, &waiting) {
            self.apply(&action);
        }
        self.meter.observe(self.now, &self.engines);
    }

    fn finish(mut self) -> Outcome {
        self.outcome.usage = self.meter.total_at(self.now);
        self.outcome.unfinished = self.waiting.values().map(VecDeque::len).sum();
        self.outcome
    }

    /// Advances the clock to the next tick, arrival or end of a request; returns the elapsed
    /// milliseconds.
    fn advance(&mut self) -> u64 {
        let active = !self.waiting.is_empty() || !self.loads.is_empty() || !self.unloads.is_empty();
        let tick_ms = if active { ACTIVE_TICK_MS } else { IDLE_TICK_MS };
        let request = self.trace.requests.get(self.next_request);
        let ended = self.running.iter().map(|r| r.end).min();
        let candidates = [request.map(|r| r.at), ended];
        let next = candidates
            .into_iter()
            .flatten()
            .fold(self.now + tick_ms, Millis::min)
            .max(self.now);
        let elapsed_ms = next - self.now;
        self.now = next;
        elapsed_ms
    }

    /// Stops the engine of the next due loss, and restarts lost engines whose outage has ended.
    fn lose_engines(&mut self) {
        if let Some((at, index)) = self.trace.engine_losses.get(self.next_loss).copied()
            && at <= self.now
        {
            self.next_loss += 1;
            self.lost.insert(index, self.now + ENGINE_LOSS_MS);
            let engine = &mut self.engines[index];
            engine.live = false;
            engine.replicas.clear();
            engine.free_mb = engine.memory_mb;
            engine.cached.memory.clear();
            let id = engine.id.clone();
            self.loads.retain(|l| l.replica.engine != id);
            self.unloads.retain(|r, _| r.engine != id);
            self.running.retain(|r| r.replica.engine != id);
        }
        let now = self.now;
        let recovered: Vec<usize> = self
            .lost
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(index, _)| *index)
            .collect();
        for index in recovered {
            self.lost.remove(&index);
            self.engines[index].live = true;
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended: Vec<Running> = self.running.extract_if(.., |r| r.end <= now).collect();
        for running in ended {
            if let Some(replica) = self.replica_mut(&running.replica) {
                replica.running -= 1;
            }
        }
    }

    /// Progresses loads. More than four store loads share the speed of four; other loads run at
    /// full speed.
    fn progress_loads(&mut self, elapsed_ms: u64, policy: &mut Policy) {
        let slow = (self.trace.slow_from..self.trace.slow_until).contains(&self.now);
        let from_store = self.loads.iter().filter(|l| l.source == Source::Store);
        let concurrent = from_store.count();
        let speed =
            (4.0 / float(concurrent.max(1) as u64)).min(1.0) / if slow { SLOWDOWN } else { 1.0 };
        for load in &mut self.loads {
            let speed = if load.source == Source::Store {
                speed
            } else {
                1.0
            };
            load.remaining_ms -= float(elapsed_ms) * speed;
        }
        let ended: Vec<Load> = self
            .loads
            .extract_if(.., |l| l.remaining_ms <= 0.0)
            .collect();
        for load in ended {
            self.end_load(&load, policy);
        }
    }

    fn end_load(&mut self, load: &Load, policy: &mut Policy) {
        if let Some(replica) = self.replica_mut(&load.replica) {
            replica.phase = Phase::Ready;
        }
        if self.deployment.caches_fill {
            self.cache(&load.replica);
        }
        policy.observe_load(
            self.now,
            &load.replica,
            load.source,
            self.now - load.started,
        );
    }

    /// Adds the weights to the main-memory and disk caches; evicts the least recently loaded model.
    fn cache(&mut self, replica: &ReplicaId) {
        let key = (replica.engine.clone(), replica.model.clone());
        self.recency.insert(key, self.now);
        let recency = &self.recency;
        let engine = self.engines.iter_mut().find(|e| e.id == replica.engine);
        let Some(engine) = engine else { return };
        let limits = [
            (&mut engine.cached.memory, MEMORY_CACHE_MODELS),
            (&mut engine.cached.disk, DISK_CACHE_MODELS),
        ];
        for (models, limit) in limits {
            models.insert(replica.model.clone());
            while models.len() > limit {
                let used = |m: &&Name| recency.get(&(replica.engine.clone(), (*m).clone()));
                let oldest = models.iter().min_by_key(used).cloned();
                models.remove(&oldest.expect("models is not empty"));
            }
        }
    }

    fn end_unloads(&mut self) {
        let now = self.now;
        let due: Vec<ReplicaId> = self
            .unloads
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let running = self.replica_mut(&id).map_or(0, |r| r.running);
            if running > 0 {
                self.unloads.insert(id, now + UNLOAD_MS);
                continue;
            }
            self.unloads.remove(&id);
            if let Some(engine) = self.engines.iter_mut().find(|e| e.id == id.engine) {
                let unloaded = engine.replicas.extract_if(.., |r| r.model == id.model);
                engine.free_mb += unloaded.map(|r| r.memory_mb).sum::<u64>();
            }
        }
    }

    fn arrive(&mut self) {
        while let Some(request) = self.trace.requests.get(self.next_request)
            && request.at <= self.now
        {
            self.next_request += 1;
            *self.arrivals[request.router]
                .entry(request.model.clone())
                .or_default() += 1;
            let queue = self.waiting.entry(request.model.clone()).or_default();
            queue.push_back(request.clone());
        }
    }

    fn dispatch(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            for index in 0..engine.replicas.len() {
                let id = engine.replica_id(&engine.replicas[index]);
                let replica = &mut engine.replicas[index];
                let Some(queue) = self.waiting.get_mut(&replica.model) else {
                    continue;
                };
                while replica.phase == Phase::Ready
                    && replica.running < BATCH_SIZE
                    && let Some(request) = queue.pop_front()
                {
                    replica.running += 1;
                    self.outcome.served(&request, now);
                    self.running.push(Running {
                        end: now + request.run_ms,
                        replica: id.clone(),
                        router: request.router,
                    });
                }
            }
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
    }

    /// Refuses waiting requests at their deadline, by the same rule for every policy.
    fn refuse(&mut self) {
        let now = self.now;
        for queue in self.waiting.values_mut() {
            queue.retain(|request| {
                let waits = now < request.deadline;
                if !waits {
                    self.outcome.refused(request);
                }
                waits
            });
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
    }

    /// Sends each router's demand report to the policy.
    fn report(&mut self, policy: &mut Policy) {
        let now = self.now;
        for router in 0..self.arrivals.len() {
            let mut entries = BTreeMap::<Name, ModelDemand>::new();
            for (model, count) in std::mem::take(&mut self.arrivals[router]) {
                entries
                    .entry(model.clone())
                    .or_insert_with(|| ModelDemand::new(model))
                    .arrivals = count;
            }
            for running in self.running.iter().filter(|r| r.router == router) {
                let model = &running.replica.model;
                let entry = entries.entry(model.clone());
                entry
                    .or_insert_with(|| ModelDemand::new(model.clone()))
                    .running += 1;
            }
            let waiting = self.waiting.values().flatten();
            for request in waiting.filter(|r| r.router == router) {
                let entry = entries.entry(request.model.clone());
                let entry = entry.or_insert_with(|| ModelDemand::new(request.model.clone()));
                let remaining_ms = request.deadline.saturating_sub(now);
                entry.waiting += 1;
                entry.deadline_in_ms = Some(
                    entry
                        .deadline_in_ms
                        .unwrap_or(remaining_ms)
                        .min(remaining_ms),
                );
                entry.last_deadline_in_ms = entry.last_deadline_in_ms.max(Some(remaining_ms));
            }
            let models = entries.into_values().collect();
            policy.observe_demand(now, router, &DemandReport { models });
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Load {
                model,
                version,
                engine,
                memory_mb,
                limit,
            } => {
                let replica = ReplicaId {
                    model: model.clone(),
                    version: version.clone(),
                    engine: engine.clone(),
                };
                self.start_load(replica, *memory_mb, *limit);
            }
            Action::Drain { replica } => {
                let until = self.now + DRAIN_MS + UNLOAD_MS;
                let drained = self
                    .replica_mut(replica)
                    .expect("a drain must name a replica on an engine");
                assert_eq!(drained.running, 0, "a drained replica must run no requests");
                drained.phase = Phase::Draining;
                self.unloads.insert(replica.clone(), until);
            }
            Action::LoadAdapter { .. } | Action::UnloadAdapter { .. } => {}
        }
    }

    fn start_load(&mut self, replica: ReplicaId, memory_mb: u64, limit: u32) {
        let replicas = self.engines.iter().flat_map(|e| &e.replicas);
        let placed = replicas.filter(|r| r.model == replica.model).count();
        assert!(
            placed < limit as usize,
            "a load must not exceed the replica limit"
        );
        let engine = self.engines.iter_mut().find(|e| e.id == replica.engine);
        let engine = engine.expect("a load must name a known engine");
        assert!(
            engine.live && engine.free_mb >= memory_mb,
            "the engine of a load must be live and have the memory free"
        );
        engine.free_mb -= memory_mb;
        engine.replicas.push(Replica {
            model: replica.model.clone(),
            version: replica.version.clone(),
            phase: Phase::Loading,
            memory_mb,
            running: 0,
            adapters: BTreeSet::new(),
            unresolved: false,
        });
        let source = Source::of(&engine.cached, &replica.model);
        let speed = match source {
            Source::Memory => MEMORY_MB_PER_MS,
            Source::Disk => DISK_MB_PER_MS,
            Source::Store => STORE_MB_PER_MS,
        };
        self.outcome.loaded(source);
        self.loads.push(Load {
            replica,
            source,
            started: self.now,
            remaining_ms: float(memory_mb / speed),
        });
    }

    fn replica_mut(&mut self, id: &ReplicaId) -> Option<&mut Replica> {
        let engine = self.engines.iter_mut().find(|e| e.id == id.engine)?;
        engine.replicas.iter_mut().find(|r| r.model == id.model)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^53 ms")]
fn float(value: u64) -> f64 {
    value as f64
}
