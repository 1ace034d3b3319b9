//! Combines demand, arrival histories and load-time estimates into decisions.

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
use crate::view::{ExpectedReady, ReplicaId};

/// Expected ready times are rounded up to a multiple of this, so that they don't change with each
/// call.
const EXPECTED_STEP_MS: u64 = 100;
/// Minimum time between two decisions that consider loads ahead of demand.
const LOOK_AHEAD_INTERVAL_MS: u64 = 1_000;
/// The expected remaining time of a load is at least its elapsed time divided by this, so that an
/// overdue load isn't expected to end at once.
const OVERDUE_DIVISOR: u64 = 4;

/// Decides loads, drains and adapter loads from demand.
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
    /// A planner that has received no demand yet.
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

    /// Records a router's demand report, which replaces its previous one.
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

    /// Records the end of a load.
    ///
    /// `took_ms` updates the estimate of load times if `ok`. A failure starts a backoff for this
    /// model and engine.
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

    /// Frees the slot of an adapter load that ended, whatever its outcome.
    pub fn observe_adapter(&mut self, replica: &ReplicaId, adapter: &Name) {
        self.slots.free(replica, adapter);
    }

    /// Decides what to do now.
    ///
    /// Each load and drain is recorded until an engine reports it or
    /// [`Config::pending_timeout_ms`] has passed, so that it isn't decided twice.
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

    /// When each model without a ready replica is expected to be ready.
    pub fn expected(&self, now: Millis, tree: &Tree, engines: &[Engine]) -> Vec<ExpectedReady> {
        let totals = self.demand.totals();
        let fleet = Fleet::new(engines, &self.tracker);
        let context = self.context(now, tree, engines, &totals);
        let targets = targets(&context, &fleet, &self.tracker);
        let schedule = Schedule::new(&context, &fleet, &targets, &self.rate_limiter);
        let cold = targets.values().filter(|t| t.ready == 0);
        cold.map(|target| ExpectedReady {
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

    /// Accelerator seconds with loaded replicas and no running request, up to the last decision.
    pub fn idle_seconds(&self) -> f64 {
        self.meter.total().idle_s
    }

    /// Factor by which loads from the weight store currently take longer than usual; 1 if the store
    /// is healthy.
    pub fn store_slowdown(&self, now: Millis) -> f64 {
        self.estimate.slowdown(now)
    }

    /// Updates demand, usage, pending actions, histories and estimates from the engines' state.
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

    /// Records the models of the settings tree: their assumed load time, and for new ones the start
    /// of their idle time.
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

/// Input that all parts of one decision read.
pub(super) struct Context<'a> {
    pub(super) now: Millis,
    /// Whether this decision considers loads ahead of demand.
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
    /// Expected duration of a load in milliseconds.
    pub(super) fn load_ms(&self, target: &Target, source: Source) -> u64 {
        self.estimate.load_ms(self.now, &target.model, source)
    }

    /// Expected duration in milliseconds of a load from the fastest source that any live engine
    /// has.
    pub(super) fn fastest_load_ms(&self, target: &Target) -> u64 {
        let source = self.fastest_sources.get(&target.model).copied();
        self.load_ms(target, source.unwrap_or(Source::Store))
    }

    /// Whether the instance of any live engine has cached the model's weights.
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

    /// Cost of a cold start of the model: `cold_start_weight` times the [`tail_cost`] of the load
    /// times the usual burst size.
    pub(super) fn cold_cost(&self, target: &Target) -> f64 {
        let wait_s = seconds(self.fastest_load_ms(target));
        target.settings.cold_start_weight * tail_cost(wait_s) * self.burst_size(target)
    }

    /// Usual number of requests in a burst for the model.
    pub(super) fn burst_size(&self, target: &Target) -> f64 {
        self.histories
            .get(&target.model)
            .map_or(1.0, History::burst_size)
    }

    /// Expected gain of a replica that is loaded from `lead_ms` from now on. `share` is the
    /// fraction of the accelerator's idle time that is charged to it.
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

    /// Probability that a request for the model arrives within `horizon_s` seconds.
    pub(super) fn arrival_probability(&self, target: &Target, horizon_s: f64) -> f64 {
        let history = self.histories.get(&target.model);
        history.map_or(0.0, |h| {
            h.arrival_probability(self.now, horizon_s, prior_gap_s(target))
        })
    }

    /// A small cost, derived from the seed, that breaks ties between engines of equal cost.
    pub(super) fn tie_break(&self, engine: &str, model: &str) -> f64 {
        let mut hash = self.config.seed ^ 0xcbf2_9ce4_8422_2325;
        for byte in engine.bytes().chain([0]).chain(model.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        let [first, second, ..] = hash.to_le_bytes();
        f64::from(u16::from_le_bytes([first, second])) * 1e-9
    }
}

/// The fastest source of each model that is cached on the instance of any live engine.
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

/// The cost of a wait in seconds. It grows with the square of the wait, because callers notice the
/// longest waits.
pub(super) fn tail_cost(wait_s: f64) -> f64 {
    wait_s * wait_s
}

fn prior_gap_s(target: &Target) -> f64 {
    seconds(target.settings.expected_gap_ms)
}
