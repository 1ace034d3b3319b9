//! Brings demand, histories and estimates together in one decision.

use super::adapters::adapters;
use super::drains::drains;
use super::fleet::Fleet;
use super::loads::{Schedule, loads, ready_in_ms};
use super::target::{Target, targets};
use super::tracker::Tracker;
use super::{Action, Config, Engine, Meter, Usage};
use crate::demand::{DemandReport, Table, Total};
use crate::keep_alive::{CostModel, History};
use crate::load::{Estimate, RateLimiter, Slots, Source, seconds};
use crate::prelude::*;
use crate::settings::Tree;
use crate::view::{Expected, ReplicaId};

/// Expected ready times are rounded up to this, so that they don't change with each call.
const EXPECTED_STEP_MS: u64 = 100;
/// Loads ahead of demand are weighed this often.
const LOOK_AHEAD_INTERVAL_MS: u64 = 1_000;
/// An overdue load is assumed to take this share of its elapsed time more.
const OVERDUE_DIVISOR: u64 = 4;

/// Decides loads, drains and adapters from demand.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    demand: Table,
    histories: BTreeMap<Name, History>,
    estimate: Estimate,
    rate_limiter: RateLimiter,
    slots: Slots,
    tracker: Tracker,
    meter: Meter,
    next_look_ahead: Millis,
}

impl Planner {
    /// A planner that knows of no demand yet.
    pub fn new(config: Config) -> Planner {
        Planner {
            demand: Table::new(config.report_timeout_ms),
            config,
            histories: BTreeMap::new(),
            estimate: Estimate::default(),
            rate_limiter: RateLimiter::default(),
            slots: Slots::default(),
            tracker: Tracker::default(),
            meter: Meter::default(),
            next_look_ahead: 0,
        }
    }

    /// Takes in a router's demand in place of what it reported before.
    pub fn observe_demand(&mut self, now: Millis, router: &str, demand: &DemandReport) {
        self.demand.observe(now, router, demand);
        for model_demand in &demand.models {
            let history = self
                .histories
                .entry(model_demand.model.clone())
                .or_default();
            history.observe_arrivals(now, model_demand.arrivals);
            if model_demand.waiting + model_demand.running > 0 {
                history.observe_busy(now);
            }
        }
    }

    /// Takes in the end of a load.
    pub fn observe_load(
        &mut self,
        now: Millis,
        model: &Name,
        engine: &Name,
        source: Source,
        took_ms: u64,
        ok: bool,
    ) {
        if ok {
            self.estimate.observe(now, model, source, took_ms);
        }
        self.tracker.record_load_end(now, model, engine, ok);
    }

    /// Takes in the end of an adapter load, whatever its outcome; frees its slot.
    pub fn observe_adapter(&mut self, replica: &ReplicaId, adapter: &Name) {
        self.slots.free(replica, adapter);
    }

    /// What should be done now. Each action is remembered until the engines show it, so that it is
    /// not decided twice.
    pub fn decide(&mut self, now: Millis, tree: &Tree, engines: &[Engine]) -> Vec<Action> {
        let look_ahead = now >= self.next_look_ahead;
        if look_ahead {
            self.next_look_ahead = now + LOOK_AHEAD_INTERVAL_MS;
            self.record_models(now, tree);
        }
        self.sync(now, engines);
        let totals = self.demand.totals();
        let mut rate_limiter = self.rate_limiter.clone();
        let mut slots = self.slots.clone();
        let mut fleet = Fleet::new(engines, &self.tracker);
        let mut context = self.context(now, tree, engines, &totals);
        context.look_ahead = look_ahead && self.config.load_ahead;
        let targets = targets(&context, &fleet, &self.tracker);
        let mut actions = drains(&context, &fleet, &targets);
        for action in &actions {
            if let Action::Drain { replica } = action {
                fleet.drain(replica);
            }
        }
        actions.extend(loads(&context, &mut fleet, &targets, &mut rate_limiter));
        actions.extend(adapters(&context, &fleet, &targets, &mut slots));
        self.rate_limiter = rate_limiter;
        self.slots = slots;
        self.tracker.record_decisions(now, &actions, engines);
        actions
    }

    /// When each model that nobody serves could be ready.
    pub fn expected(&self, now: Millis, tree: &Tree, engines: &[Engine]) -> Vec<Expected> {
        let totals = self.demand.totals();
        let fleet = Fleet::new(engines, &self.tracker);
        let context = self.context(now, tree, engines, &totals);
        let targets = targets(&context, &fleet, &self.tracker);
        let schedule = Schedule::new(&context, &fleet, &targets, &self.rate_limiter);
        let cold = targets.values().filter(|t| t.ready == 0);
        cold.map(|target| Expected {
            model: target.model.clone(),
            ready_in_ms: ready_in_ms(&context, &fleet, &targets, &schedule, target)
                .map(|ms| ms.next_multiple_of(EXPECTED_STEP_MS)),
            waits: target.loading > 0 || target.total.waiting > 0,
        })
        .collect()
    }

    /// Accelerator time by use, up to the last decision.
    pub fn usage(&self) -> Usage {
        self.meter.total()
    }

    /// Accelerator seconds with weights resident and nothing running, up to the last decision.
    pub fn idle_seconds(&self) -> f64 {
        self.meter.total().idle_s
    }

    /// How many times longer than usual the weight store takes; 1 when it is healthy.
    pub fn store_slowdown(&self, now: Millis) -> f64 {
        self.estimate.slowdown(now)
    }

    fn sync(&mut self, now: Millis, engines: &[Engine]) {
        self.demand.expire(now);
        self.meter.observe(now, engines);
        self.tracker
            .sync(now, engines, self.config.pending_timeout_ms);
        for replica in engines.iter().flat_map(|e| &e.replicas) {
            let history = self.histories.entry(replica.model.clone()).or_default();
            if replica.running > 0 {
                history.observe_busy(now);
            } else {
                history.observe_idle(now);
            }
        }
        self.slots.expire(now, |replica, adapter| {
            let engine = engines.iter().find(|e| e.id == replica.engine);
            let mut hosted = engine.iter().flat_map(|e| &e.replicas);
            let current = hosted.find(|r| r.model == replica.model);
            current.is_none_or(|r| r.adapters.contains(adapter))
        });
        for (id, load) in &self.tracker.loads {
            if load.source == Source::Store {
                let elapsed_ms = now.saturating_sub(load.started);
                self.estimate.observe_overdue(now, &id.model, elapsed_ms);
            }
        }
    }

    /// Takes in the tree's models: from when on each was idle, and how long its load may take.
    fn record_models(&mut self, now: Millis, tree: &Tree) {
        for (service, models) in tree.services.iter().map(|(n, s)| (n, &s.models)) {
            for model in models.keys() {
                let load_ms = tree.effective(service, Some(model), None).load_ms;
                self.estimate.assume(model, load_ms);
                let history = self.histories.entry(model.clone()).or_default();
                history.observe_idle(now);
            }
        }
    }

    fn context<'a>(
        &'a self,
        now: Millis,
        tree: &'a Tree,
        engines: &'a [Engine],
        totals: &'a BTreeMap<Name, Total>,
    ) -> Context<'a> {
        Context {
            now,
            look_ahead: false,
            config: &self.config,
            tree,
            totals,
            tracker: &self.tracker,
            fastest_sources: fastest_sources(engines),
            estimate: &self.estimate,
            histories: &self.histories,
        }
    }
}

/// What every part of one decision reads.
pub(super) struct Context<'a> {
    pub(super) now: Millis,
    /// Whether loads ahead of demand are weighed in this decision.
    pub(super) look_ahead: bool,
    pub(super) config: &'a Config,
    pub(super) tree: &'a Tree,
    pub(super) totals: &'a BTreeMap<Name, Total>,
    pub(super) tracker: &'a Tracker,
    fastest_sources: BTreeMap<&'a Name, Source>,
    estimate: &'a Estimate,
    histories: &'a BTreeMap<Name, History>,
}

impl Context<'_> {
    /// Milliseconds that a load takes at present.
    pub(super) fn load_ms(&self, target: &Target, source: Source) -> u64 {
        self.estimate.load_ms(self.now, &target.model, source)
    }

    /// Milliseconds that a load from the nearest cache takes at present.
    pub(super) fn fastest_load_ms(&self, target: &Target) -> u64 {
        let source = self.fastest_sources.get(&target.model).copied();
        self.load_ms(target, source.unwrap_or(Source::Store))
    }

    /// Whether any engine's instance has the model's weights.
    pub(super) fn is_cached(&self, target: &Target) -> bool {
        self.fastest_sources.contains_key(&target.model)
    }

    /// Milliseconds until a load in flight is expected to end.
    pub(super) fn load_left_ms(&self, target: &Target, id: &ReplicaId) -> u64 {
        let Some(load) = self.tracker.loads.get(id) else {
            return 0;
        };
        let elapsed_ms = self.now.saturating_sub(load.started);
        let left_ms = self.load_ms(target, load.source).saturating_sub(elapsed_ms);
        left_ms.max(elapsed_ms / OVERDUE_DIVISOR)
    }

    /// What a cold start of the model costs: weighted seconds over all who wait.
    pub(super) fn cold_cost(&self, target: &Target) -> f64 {
        let wait_s = seconds(self.fastest_load_ms(target));
        target.settings.cold_start_weight * tail_cost(wait_s) * self.burst_size(target)
    }

    /// Requests that usually come in a burst for the model.
    pub(super) fn burst_size(&self, target: &Target) -> f64 {
        self.histories
            .get(&target.model)
            .map_or(1.0, History::burst_size)
    }

    /// What a replica gains that is there from `lead_ms` on; `share` is the part of the
    /// accelerator's idle time that it answers for.
    pub(super) fn gain(&self, target: &Target, lead_ms: u64, share: f64) -> f64 {
        let costs = CostModel {
            cold_cost: self.cold_cost(target),
            idle_rate: target.settings.idle_weight * share,
            prior_gap_s: prior_gap_s(target),
        };
        self.histories
            .get(&target.model)
            .map_or(0.0, |h| h.gain(self.now, lead_ms, &costs))
    }

    /// Probability that the model is wanted within `horizon_s`.
    pub(super) fn arrival_probability(&self, target: &Target, horizon_s: f64) -> f64 {
        let history = self.histories.get(&target.model);
        history.map_or(0.0, |h| {
            h.arrival_probability(self.now, horizon_s, prior_gap_s(target))
        })
    }

    /// A small cost that orders equally good engines by seed.
    pub(super) fn tie_break(&self, engine: &str, model: &str) -> f64 {
        let mut hash = self.config.seed ^ 0xcbf2_9ce4_8422_2325;
        for byte in engine.bytes().chain([0]).chain(model.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        let [first, second, ..] = hash.to_le_bytes();
        f64::from(u16::from_le_bytes([first, second])) * 1e-9
    }
}

/// The fastest source of each model that any live engine has near.
fn fastest_sources(engines: &[Engine]) -> BTreeMap<&Name, Source> {
    let mut fastest_sources = BTreeMap::new();
    for engine in engines.iter().filter(|e| e.live) {
        for model in &engine.cached.disk {
            fastest_sources.entry(model).or_insert(Source::Disk);
        }
        for model in &engine.cached.memory {
            fastest_sources.insert(model, Source::Memory);
        }
    }
    fastest_sources
}

/// What a wait costs in seconds: long waits count more than in proportion, as the tail is what
/// callers feel.
pub(super) fn tail_cost(wait_s: f64) -> f64 {
    wait_s * wait_s
}

fn prior_gap_s(target: &Target) -> f64 {
    seconds(target.settings.expected_gap_ms)
}
