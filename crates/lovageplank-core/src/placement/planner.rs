//! Brings demand, histories and estimates together in one decision.

use super::adapters::adapters;
use super::drains::drains;
use super::fleet::Fleet;
use super::loads::{Schedule, loads, ready_in_ms};
use super::track::Track;
use super::want::{Want, wants};
use super::{Action, Config, Engine, Meter, Usage};
use crate::demand::{Batch, Table, Total};
use crate::keep_alive::{History, Terms};
use crate::load::{Estimate, Pace, Slots, Source, seconds};
use crate::prelude::*;
use crate::settings::Tree;
use crate::view::{ExpectedReady, ReplicaId};

/// Expected ready times are rounded up to this, so that they don't change with each call.
const EXPECTED_STEP_MS: u64 = 100;
/// Loads ahead of demand are weighed this often.
const LOOK_AHEAD_MS: u64 = 1_000;
/// An overdue load is assumed to take this share of its elapsed time more.
const OVERDUE_SHARE: u64 = 4;

/// Decides loads, drains and adapters from demand.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    demand: Table,
    histories: BTreeMap<Name, History>,
    estimate: Estimate,
    pace: Pace,
    slots: Slots,
    track: Track,
    meter: Meter,
    next_look_ahead: Millis,
}

impl Planner {
    /// A planner that knows of no demand yet.
    pub fn new(config: Config) -> Planner {
        Planner {
            demand: Table::new(config.silent_ms),
            config,
            histories: BTreeMap::new(),
            estimate: Estimate::default(),
            pace: Pace::default(),
            slots: Slots::default(),
            track: Track::default(),
            meter: Meter::default(),
            next_look_ahead: 0,
        }
    }

    /// Takes in a router's demand in place of what it reported before.
    pub fn observe_demand(&mut self, now: Millis, router: &str, demand: &Batch) {
        self.demand.observe(now, router, demand);
        for entry in &demand.models {
            let history = self.histories.entry(entry.model.clone()).or_default();
            history.observe_arrivals(now, entry.arrivals);
            if entry.waiting + entry.running > 0 {
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
        self.track.ended(now, model, engine, ok);
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
            self.next_look_ahead = now + LOOK_AHEAD_MS;
            self.note_models(now, tree);
        }
        self.sync(now, engines);
        let totals = self.demand.totals();
        let mut pace = self.pace.clone();
        let mut slots = self.slots.clone();
        let mut fleet = Fleet::new(engines, &self.track);
        let mut context = self.context(now, tree, engines, &totals);
        context.look_ahead = look_ahead && self.config.ahead;
        let wants = wants(&context, &fleet, &self.track);
        let mut actions = drains(&context, &fleet, &wants);
        for action in &actions {
            if let Action::Drain { replica } = action {
                fleet.drain(replica);
            }
        }
        actions.extend(loads(&context, &mut fleet, &wants, &mut pace));
        actions.extend(adapters(&context, &fleet, &wants, &mut slots));
        self.pace = pace;
        self.slots = slots;
        self.track.decided(now, &actions, engines);
        actions
    }

    /// When each model that nobody serves could be ready.
    pub fn expected(&self, now: Millis, tree: &Tree, engines: &[Engine]) -> Vec<ExpectedReady> {
        let totals = self.demand.totals();
        let fleet = Fleet::new(engines, &self.track);
        let context = self.context(now, tree, engines, &totals);
        let wants = wants(&context, &fleet, &self.track);
        let schedule = Schedule::new(&context, &fleet, &wants, &self.pace);
        let cold = wants.values().filter(|w| w.ready == 0);
        cold.map(|want| ExpectedReady {
            model: want.model.clone(),
            ready_in_ms: ready_in_ms(&context, &fleet, &wants, &schedule, want)
                .map(|ms| ms.next_multiple_of(EXPECTED_STEP_MS)),
            waits: want.loading > 0 || want.total.waiting > 0,
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
        self.track.sync(now, engines, self.config.pending_ms);
        for resident in engines.iter().flat_map(|e| &e.residents) {
            let history = self.histories.entry(resident.model.clone()).or_default();
            if resident.running > 0 {
                history.observe_busy(now);
            } else {
                history.observe_idle(now);
            }
        }
        self.slots.expire(now, |replica, adapter| {
            let engine = engines.iter().find(|e| e.id == replica.engine);
            let mut residents = engine.iter().flat_map(|e| &e.residents);
            let resident = residents.find(|r| r.model == replica.model);
            resident.is_none_or(|r| r.adapters.contains(adapter))
        });
        for (id, load) in &self.track.loads {
            if load.source == Source::Store {
                let elapsed_ms = now.saturating_sub(load.started);
                self.estimate.observe_overdue(now, &id.model, elapsed_ms);
            }
        }
    }

    /// Takes in the tree's models: from when on each was idle, and how long its load may take.
    fn note_models(&mut self, now: Millis, tree: &Tree) {
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
            track: &self.track,
            nearest: nearest(engines),
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
    pub(super) track: &'a Track,
    nearest: BTreeMap<&'a Name, Source>,
    estimate: &'a Estimate,
    histories: &'a BTreeMap<Name, History>,
}

impl Context<'_> {
    /// Milliseconds that a load takes at present.
    pub(super) fn took_ms(&self, want: &Want, source: Source) -> u64 {
        self.estimate.took_ms(self.now, &want.model, source)
    }

    /// Milliseconds that a load from the nearest cache takes at present.
    pub(super) fn best_took_ms(&self, want: &Want) -> u64 {
        let source = self.nearest.get(&want.model).copied();
        self.took_ms(want, source.unwrap_or(Source::Store))
    }

    /// Whether any engine's instance has the model's weights.
    pub(super) fn is_near(&self, want: &Want) -> bool {
        self.nearest.contains_key(&want.model)
    }

    /// Milliseconds until a load in flight is expected to end.
    pub(super) fn load_left_ms(&self, want: &Want, id: &ReplicaId) -> u64 {
        let Some(load) = self.track.loads.get(id) else {
            return 0;
        };
        let elapsed_ms = self.now.saturating_sub(load.started);
        let left_ms = self.took_ms(want, load.source).saturating_sub(elapsed_ms);
        left_ms.max(elapsed_ms / OVERDUE_SHARE)
    }

    /// What a cold start of the model costs: weighted seconds over all who wait.
    pub(super) fn cold_cost(&self, want: &Want) -> f64 {
        let wait_s = seconds(self.best_took_ms(want));
        want.settings.cold_start_weight * tail_cost(wait_s) * self.burst(want)
    }

    /// Requests that usually come in a burst for the model.
    pub(super) fn burst(&self, want: &Want) -> f64 {
        self.histories.get(&want.model).map_or(1.0, History::burst)
    }

    /// What a replica gains that is there from `lead_ms` on; `share` is the part of the
    /// accelerator's idle time that it answers for.
    pub(super) fn gain(&self, want: &Want, lead_ms: u64, share: f64) -> f64 {
        let terms = Terms {
            cold_cost: self.cold_cost(want),
            idle_rate: want.settings.idle_weight * share,
            prior_gap_s: prior_gap_s(want),
        };
        self.histories
            .get(&want.model)
            .map_or(0.0, |h| h.gain(self.now, lead_ms, &terms))
    }

    /// Probability that the model is wanted within `horizon_s`.
    pub(super) fn wake_probability(&self, want: &Want, horizon_s: f64) -> f64 {
        let history = self.histories.get(&want.model);
        history.map_or(0.0, |h| {
            h.wake_probability(self.now, horizon_s, prior_gap_s(want))
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
fn nearest(engines: &[Engine]) -> BTreeMap<&Name, Source> {
    let mut nearest = BTreeMap::new();
    for engine in engines.iter().filter(|e| e.live) {
        for model in &engine.cached.disk {
            nearest.entry(model).or_insert(Source::Disk);
        }
        for model in &engine.cached.memory {
            nearest.insert(model, Source::Memory);
        }
    }
    nearest
}

/// What a wait costs in seconds: long waits count more than in proportion, as the tail is what
/// callers feel.
pub(super) fn tail_cost(wait_s: f64) -> f64 {
    wait_s * wait_s
}

fn prior_gap_s(want: &Want) -> f64 {
    seconds(want.settings.expected_gap_ms)
}
