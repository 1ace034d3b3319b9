//! A planner, a router's dispatcher, engines, a store and callers, in virtual time.

use super::engine::{COPIES, FakeEngine, Loading};
use crate::samples::{self, engine, engine_spec, route, services};
use lovageplank_core::fleet::deployment::{Deployment, EngineSpec, ModelSpec, Route};
use lovageplank_core::fleet::dispatch::{Decision, Dispatcher, RequestSpec};
use lovageplank_core::fleet::placement::{Answer, Command, Limits, Op, Planner};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

const ENGINES: usize = 40;
const MODELS: usize = 140;
/// The first models of the catalogue are asked for often.
const BUSY_MODELS: usize = 14;
/// Engines that have a busy model loaded at the start.
const BUSY_REPLICAS: usize = 2;
/// Models that an engine has memory for.
const RESIDENTS: usize = 2;
/// Adapters of the first model, and the part of its requests that need one.
const ADAPTERS: usize = 12;
const ADAPTER_SHARE: f64 = 0.3;
const ADAPTER_SLOTS: u32 = 8;
const SLOTS: u32 = 24;

/// Requests a second for each busy model, and for each other one.
const BUSY_MODEL_PER_S: f64 = 8.5;
const RARE_PER_S: f64 = 0.25;
/// Milliseconds that a request runs, at least and at most.
const RUN_MS: std::ops::Range<Millis> = 200..1_500;
/// Milliseconds after which callers of busy models and of the others give up.
const BUSY_DEADLINE_MS: Millis = 5_000;
const RARE_DEADLINE_MS: Millis = 15_000;
/// Milliseconds in which an answer should begin.
const BUSY_OBJECTIVE_MS: Millis = 400;
const RARE_OBJECTIVE_MS: Millis = 2_500;

const STORE_MS: u64 = 13_200;
const DISK_MS: u64 = 840;
/// Megabytes of a model's weights.
const WEIGHTS_MB: f64 = 72_700.0;

const STEP_MS: Millis = 50;
const REPORT_MS: Millis = 100;
const ANNOUNCE_MS: Millis = 1_000;
const EXPECTED_MS: Millis = 400;
/// Milliseconds for which a new leader sends no command.
const START_DELAY_MS: Millis = 3_500;
/// Milliseconds by which reports of engines lag.
const REPORT_LAG_MS: Millis = 200;
/// Requests for a model, and milliseconds since the last one, from which the leader must have heard of it.
const ASKED_OFTEN: usize = 2;
const RECENT_MS: Millis = 5_000;
/// Milliseconds from the decision about a load to its command: models are withdrawn and unloaded in between.
const DECISION_MS: Millis = 500;

/// What callers asked for of a model, or of an adapter of it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub model: Name,
    pub adapter: Option<Name>,
    pub requests: usize,
    pub served: usize,
    pub first_at: Millis,
    pub last_at: Millis,
    /// Whether an engine that wasn't taken by a load from the store had a copy at every moment since the first request.
    pub is_servable_all_day: bool,
    /// Since when callers ask for it and no engine has a copy or is loading it.
    pub missing_since: Option<Millis>,
}

/// A request that the router refused because its model couldn't be loaded in time.
#[derive(Clone, Debug)]
pub struct Refusal {
    pub at: Millis,
    pub model: Name,
    pub adapter: Option<Name>,
    pub retry_after_ms: u64,
}

/// A load that the store began.
#[derive(Clone, Debug)]
pub struct StoreLoad {
    pub at: Millis,
    pub model: Name,
    /// Loads in progress, this one included; it takes as many times as long as one alone.
    pub concurrent: usize,
    /// Whether some engine had a copy, or was loading it already.
    pub is_held: bool,
    /// Whether callers had asked in the last seconds for another model that no engine had or was loading when the load was
    /// decided.
    pub others_missing: bool,
}

#[derive(Clone, Debug)]
struct Running {
    server: Name,
    request: RequestSpec,
    ends_at: Millis,
}

pub struct World {
    now: Millis,
    term: u64,
    random: SmallRng,
    deployment: Deployment,
    planner: Planner,
    dispatcher: Dispatcher,
    engines: BTreeMap<Name, FakeEngine>,
    engines_begun: usize,
    engines_lost: usize,
    waiting: Vec<RequestSpec>,
    running: Vec<Running>,
    asked: BTreeMap<(Name, Option<Name>), Asked>,
    refusals: Vec<Refusal>,
    /// When requests were sent to engines, by model.
    sent_at: BTreeMap<Name, BTreeSet<Millis>>,
    store_loads: Vec<StoreLoad>,
}

fn model(index: usize) -> Name {
    format!("m{index:03}").into()
}

fn spec() -> EngineSpec {
    let names: Vec<Name> = (0..MODELS).map(model).collect();
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    let mut spec = EngineSpec {
        slots: SLOTS,
        adapters: ADAPTER_SLOTS,
        ..engine_spec(&names)
    };
    for model in spec.models.values_mut() {
        *model = ModelSpec {
            weights_mb: WEIGHTS_MB,
            store_ms: STORE_MS,
            disk_ms: DISK_MS,
            ..model.clone()
        };
    }
    spec
}

fn deployment() -> Deployment {
    let mut services = services(&[]);
    for service in services.values_mut().filter(|s| s.engine.is_some()) {
        service.engine = Some(spec());
    }
    let routes = vec![Route {
        timeout_ms: RARE_DEADLINE_MS,
        patience_ms: 4 * RARE_OBJECTIVE_MS,
        ..route("notes", "a.example", "/notes/")
    }];
    Deployment::new(1, routes, services, samples::LIMITS).expect("valid")
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: 0,
            term: 1,
            random: SmallRng::seed_from_u64(seed),
            deployment: deployment(),
            planner: Planner::new(Limits::default(), 0),
            dispatcher: samples::dispatcher(),
            engines: BTreeMap::new(),
            engines_begun: 0,
            engines_lost: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            asked: BTreeMap::new(),
            refusals: Vec::new(),
            sent_at: BTreeMap::new(),
            store_loads: Vec::new(),
        };
        world.add_first_engines();
        world.announce();
        world
    }

    pub fn now(&self) -> Millis {
        self.now
    }

    pub fn asked(&self) -> impl Iterator<Item = &Asked> {
        self.asked.values()
    }

    pub fn refusals(&self) -> impl Iterator<Item = &Refusal> {
        self.refusals.iter()
    }

    /// Whether a request for the model was sent to an engine in the milliseconds after `at`.
    pub fn is_served_soon(&self, model: &Name, at: Millis, within_ms: Millis) -> bool {
        let sent_at = self.sent_at.get(model);
        sent_at.is_some_and(|sent_at| sent_at.range(at..=at + within_ms).next().is_some())
    }

    pub fn store_loads(&self) -> &[StoreLoad] {
        &self.store_loads
    }

    /// Each busy model is loaded on some engines and each engine has copies of models at random, the first of them loaded.
    fn add_first_engines(&mut self) {
        for index in 0..ENGINES {
            let mut rare: Vec<usize> = (BUSY_MODELS..MODELS).collect();
            rare.shuffle(&mut self.random);
            let busy = (index < BUSY_MODELS * BUSY_REPLICAS).then_some(index % BUSY_MODELS);
            let copies = busy.into_iter().chain(rare).map(model).take(COPIES);
            let mut engine = FakeEngine {
                copies: copies.collect(),
                ..FakeEngine::default()
            };
            let loaded = engine.copies.iter().take(RESIDENTS);
            engine.loaded = loaded
                .map(|model| (model.clone(), BTreeSet::new()))
                .collect();
            self.add_engine(engine);
        }
    }

    fn add_engine(&mut self, engine: FakeEngine) {
        let id = format!("{}", 1_000 + self.engines_begun);
        self.engines_begun += 1;
        self.engines.insert(id.into(), engine);
    }

    /// Takes so many in 100 of the engines away; requests there fail.
    pub fn lose_engines(&mut self, in_100: usize) {
        let ids: Vec<Name> = self.engines.keys().cloned().collect();
        let lost: Vec<Name> = ids
            .choose_multiple(&mut self.random, ids.len() * in_100 / 100)
            .cloned()
            .collect();
        for id in &lost {
            self.engines.remove(id);
            self.planner.remove(id);
            self.dispatcher.mark_gone(self.now, id, None, None);
        }
        self.engines_lost += lost.len();
        let tracker = self.dispatcher.load_tracker();
        self.running.retain(|running| {
            let is_lost = lost.contains(&running.server);
            if is_lost {
                tracker.ended(&running.server, &running.request);
            }
            !is_lost
        });
    }

    /// Starts as many empty engines as were lost since the last call.
    pub fn replace_lost_engines(&mut self) {
        for _ in 0..std::mem::take(&mut self.engines_lost) {
            self.add_engine(FakeEngine::default());
        }
        self.announce();
    }

    /// Another process leads, and knows what servers have announced.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.planner = Planner::new(Limits::default(), self.now + START_DELAY_MS);
        self.announce();
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.end_loads();
        self.end_requests();
        if self.now.is_multiple_of(ANNOUNCE_MS) {
            self.announce();
        }
        self.ask();
        self.decide_waiting();
        self.report_load();
        self.plan();
        self.tell_router();
        self.watch_copies();
    }

    fn end_loads(&mut self) {
        let now = self.now;
        for engine in self.engines.values_mut() {
            if let Some(loading) = engine.loading.take_if(|loading| loading.ends_at <= now) {
                engine.loaded.insert(loading.model.clone(), BTreeSet::new());
                engine.use_copy(&loading.model);
            }
            let report = engine.report();
            engine.past.push((now, report));
            engine.past.retain(|(at, _)| now <= at + 2 * REPORT_LAG_MS);
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended = self
            .running
            .extract_if(.., |running| running.ends_at <= now);
        for Running {
            server, request, ..
        } in ended
        {
            self.dispatcher.load_tracker().ended(&server, &request);
            let model = request.model.expect("all need one");
            for adapter in BTreeSet::from([None, request.adapter]) {
                if let Some(asked) = self.asked.get_mut(&(model.clone(), adapter)) {
                    asked.served += 1;
                }
            }
        }
    }

    fn announce(&mut self) {
        for (id, fake) in &self.engines {
            let announcement = Announcement {
                number: self.now + 1,
                slots: SLOTS,
                cached_weights: fake.cached_weights(),
                loaded: fake.report().loaded,
                ..engine(id, &[])
            };
            self.planner.observe(self.now, &announcement);
            self.dispatcher.observe(self.now, announcement);
        }
    }

    fn ask(&mut self) {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a step.
        let step_s = STEP_MS as f64 / 1_000.0;
        for index in 0..MODELS {
            let per_s = if index < BUSY_MODELS {
                BUSY_MODEL_PER_S
            } else {
                RARE_PER_S
            };
            if self.random.random_bool(per_s * step_s) {
                self.arrive(index);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let (objective_ms, deadline_ms) = if index < BUSY_MODELS {
            (BUSY_OBJECTIVE_MS, BUSY_DEADLINE_MS)
        } else {
            (RARE_OBJECTIVE_MS, RARE_DEADLINE_MS)
        };
        let adapter = (index == 0 && self.random.random_bool(ADAPTER_SHARE))
            .then(|| format!("a{}", self.random.random_range(0..ADAPTERS)).into());
        let request = RequestSpec {
            adapter,
            objective_at: self.now + objective_ms,
            ..samples::request(&model(index), self.now + deadline_ms)
        };
        for adapter in BTreeSet::from([None, request.adapter.clone()]) {
            let key = (model(index), adapter.clone());
            let asked = self.asked.entry(key).or_insert(Asked {
                model: model(index),
                adapter,
                requests: 0,
                served: 0,
                first_at: self.now,
                last_at: self.now,
                is_servable_all_day: true,
                missing_since: None,
            });
            asked.requests += 1;
            asked.last_at = self.now;
        }
        self.dispatcher.load_tracker().arrived(&request);
        if !self.decide(&request) {
            self.dispatcher.load_tracker().began_waiting(&request);
            self.waiting.push(request);
        }
    }

    fn decide_waiting(&mut self) {
        for request in std::mem::take(&mut self.waiting) {
            if self.decide(&request) {
                self.dispatcher.load_tracker().stopped_waiting(&request);
            } else {
                self.waiting.push(request);
            }
        }
    }

    /// Sends or refuses a request; returns false if it waits.
    fn decide(&mut self, request: &RequestSpec) -> bool {
        let decision = self
            .dispatcher
            .decide(self.now, &self.deployment, request, &[]);
        match decision {
            Decision::Send(target) => self.send(&target.id, request),
            Decision::Wait => request.start_by <= self.now,
            Decision::Refuse { retry_after_ms, .. } => {
                let model = request.model.clone().expect("all need one");
                self.refusals.push(Refusal {
                    at: self.now,
                    model,
                    adapter: request.adapter.clone(),
                    retry_after_ms,
                });
                true
            }
            Decision::Reserve { .. } => unreachable!("no engine is brittle"),
        }
    }

    /// Returns false if the engine rejects the request, which then waits.
    fn send(&mut self, server: &Name, request: &RequestSpec) -> bool {
        let model = request.model.as_ref().expect("all need one");
        let adapters = self.engines[server].loaded.get(model);
        let is_loaded = adapters.is_some_and(|loaded| {
            let adapter = request.adapter.as_ref();
            adapter.is_none_or(|adapter| loaded.contains(adapter))
        });
        if !is_loaded {
            self.dispatcher.model_refused(self.now, server, request);
            return false;
        }
        self.dispatcher.load_tracker().began(server, request);
        let sent_at = self.sent_at.entry(model.clone()).or_default();
        sent_at.insert(self.now);
        self.running.push(Running {
            server: server.clone(),
            request: request.clone(),
            ends_at: self.now + self.random.random_range(RUN_MS),
        });
        true
    }

    fn report_load(&mut self) {
        if !self.now.is_multiple_of(REPORT_MS) {
            return;
        }
        let tracker = self.dispatcher.load_tracker();
        let (running, demand) = tracker.take_load_report(self.now);
        let router = "router".into();
        self.planner.update_load(self.now, &router, running, demand);
    }

    fn plan(&mut self) {
        for command in self.planner.decide(self.now, &self.deployment) {
            let answer = self.carry_out(&command);
            self.planner.command_answered(self.now, &command, answer);
        }
        for (id, _) in self.planner.due_polls(self.now, &self.deployment) {
            if let Some(engine) = self.engines.get(&id) {
                let until = self.now.saturating_sub(REPORT_LAG_MS);
                let past = engine.past.iter().rev();
                let report = past
                    .clone()
                    .find(|(at, _)| *at <= until)
                    .or(engine.past.first());
                let report = report.map_or_else(|| engine.report(), |(_, report)| report.clone());
                self.planner.apply_report(self.now, &id, &report);
            }
            self.planner.poll_ended(&id);
        }
    }

    fn carry_out(&mut self, command: &Command) -> Answer {
        let now = self.now;
        let concurrent = 1 + self
            .engines
            .values()
            .filter(|e| e.loads_from_store())
            .count();
        let op = command.op.clone();
        let from_store = match &op {
            Op::Load(model) => !self.engines[&command.server].copies.contains(model),
            _ => false,
        };
        let load = from_store.then(|| self.store_load(op.model(), concurrent));
        let engine = self.engines.get_mut(&command.server).expect("known");
        if command.expected != engine.commands || engine.loading.is_some() {
            return Answer::Conflict;
        }
        match op {
            Op::Load(model) => {
                assert!(engine.loaded.len() < RESIDENTS, "no memory for {command:?}");
                let times = u64::try_from(concurrent).expect("few");
                let load_ms = if from_store {
                    times * STORE_MS
                } else {
                    DISK_MS
                };
                engine.loading = Some(Loading {
                    model,
                    from_store,
                    ends_at: now + load_ms,
                });
                self.store_loads.extend(load);
            }
            Op::Unload(model) => drop(engine.loaded.remove(&model)),
            Op::LoadAdapter(model, adapter) => {
                let Some(adapters) = engine.loaded.get_mut(&model) else {
                    return Answer::Refused;
                };
                adapters.insert(adapter);
            }
            Op::UnloadAdapter(model, adapter) => {
                let Some(adapters) = engine.loaded.get_mut(&model) else {
                    return Answer::Refused;
                };
                adapters.remove(&adapter);
                engine.commands += 1;
                return Answer::Holds;
            }
        }
        engine.commands += 1;
        Answer::Accepted
    }

    /// A load of the model from the store that begins now.
    fn store_load(&self, model: &Name, concurrent: usize) -> StoreLoad {
        let others = self.asked.values().filter(|asked| {
            asked.adapter.is_none() && asked.model != *model && asked.requests >= ASKED_OFTEN
        });
        let recent = others.filter(|asked| self.now <= asked.last_at + RECENT_MS);
        let mut missing_since = recent.filter_map(|asked| asked.missing_since);
        let others_missing = missing_since.any(|since| since + DECISION_MS <= self.now);
        StoreLoad {
            at: self.now,
            model: model.clone(),
            concurrent,
            is_held: self.is_held(model),
            others_missing,
        }
    }

    fn tell_router(&mut self) {
        let loaded = self.planner.loaded_models(self.now);
        self.dispatcher.update_loaded_models(self.term, loaded);
        let totals = self.planner.totals(self.now);
        let store_wait_ms = self.planner.store_wait_ms(self.now);
        self.dispatcher.update_totals(totals, store_wait_ms);
        if self.now.is_multiple_of(EXPECTED_MS) {
            let waits = self.planner.expected_waits();
            self.dispatcher.update_expected_waits(self.now, waits);
        }
    }

    fn has_copy(&self, model: &Name) -> bool {
        self.engines
            .values()
            .any(|engine| engine.copies.contains(model))
    }

    fn is_held(&self, model: &Name) -> bool {
        self.has_copy(model) || self.engines.values().any(|engine| engine.loads(model))
    }

    fn watch_copies(&mut self) {
        let engines = self.engines.values();
        let copied: BTreeSet<&Name> = engines.flat_map(|engine| &engine.copies).collect();
        let free = self.engines.values().filter(|e| !e.loads_from_store());
        let servable: BTreeSet<&Name> = free.flat_map(|engine| &engine.copies).collect();
        let loading = self.engines.values().filter_map(|e| e.loading.as_ref());
        let loading: BTreeSet<&Name> = loading.map(|loading| &loading.model).collect();
        for asked in self.asked.values_mut() {
            let has_copy = copied.contains(&asked.model);
            asked.is_servable_all_day &= servable.contains(&asked.model);
            asked.missing_since = if has_copy || loading.contains(&asked.model) {
                None
            } else {
                asked.missing_since.or(Some(self.now))
            };
        }
    }
}
