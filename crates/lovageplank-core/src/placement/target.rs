//! The replicas that each model should have, and why some are missing.

use super::fleet::Fleet;
use super::planner::Context;
use super::tracker::Tracker;
use crate::demand::Total;
use crate::load::{Source, seconds};
use crate::prelude::*;
use crate::settings::Effective;

/// Minimum gain of a load ahead of demand, as a fraction of the cost of a cold start.
const PREWARM_MARGIN: f64 = 0.1;

/// Horizon of the arrival probability that staging (a load only to cache weights) is based on, in
/// seconds.
const STAGING_HORIZON_S: f64 = 14_400.0;

/// Why replicas are missing, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// Replicas are missing and requests wait.
    Demand,
    /// Replicas are missing and no request waits, for example below `min_replicas`.
    MinReplicas,
    /// A load ahead of demand is expected to save more than it costs.
    Prewarm,
}

/// A model of the settings tree with the replicas that it has and should have.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) model: Name,
    pub(super) version: Name,
    pub(super) service: Name,
    pub(super) memory_mb: u64,
    pub(super) settings: Effective,
    pub(super) total: Total,
    /// Ready replicas of the version in the settings tree.
    pub(super) ready: u32,
    /// Loads of that version, in progress or decided.
    pub(super) loading: u32,
    /// Engines with a replica of any version in any phase, or a pending load of the model.
    pub(super) placed: u32,
    /// Replicas that demand or settings require.
    pub(super) desired: u32,
    /// Why replicas are missing; `None` if none are.
    pub(super) reason: Option<Reason>,
}

impl Target {
    /// Replicas to load, at most as many as `max_replicas` allows.
    pub(super) fn missing(&self) -> u32 {
        let lacking = match self.reason {
            None => 0,
            Some(Reason::Prewarm) => 1,
            Some(Reason::Demand | Reason::MinReplicas) => {
                self.desired.saturating_sub(self.ready + self.loading)
            }
        };
        lacking.min(self.settings.max_replicas.saturating_sub(self.placed))
    }

    /// Whether any request waits or runs.
    pub(super) fn active(&self) -> bool {
        self.total.waiting + self.total.running > 0
    }
}

/// The target of every model in the settings tree, by model name.
pub(super) fn targets(
    context: &Context,
    fleet: &Fleet,
    tracker: &Tracker,
) -> BTreeMap<Name, Target> {
    let mut targets = BTreeMap::new();
    for (service, models) in context.tree.services.iter().map(|(n, s)| (n, &s.models)) {
        for (name, model) in models {
            let settings = context.tree.effective(service, Some(name), None);
            let mut target = Target {
                model: name.clone(),
                version: model.version.clone(),
                service: service.clone(),
                memory_mb: model.memory_mb,
                settings,
                total: context.totals.get(name).cloned().unwrap_or_default(),
                ready: 0,
                loading: 0,
                placed: count(fleet.engines_with(name).count()),
                desired: 0,
                reason: None,
            };
            target.ready = count(
                fleet
                    .ready(name)
                    .filter(|(_, r)| r.version == target.version)
                    .count(),
            );
            target.loading = loading(fleet, tracker, &target);
            target.desired = desired(&target);
            target.reason = reason(context, &target);
            targets.insert(name.clone(), target);
        }
    }
    targets
}

/// Loads of the version in the settings tree on live engines, in progress or decided.
fn loading(fleet: &Fleet, tracker: &Tracker, target: &Target) -> u32 {
    let live = |engine: &Name| fleet.engines.iter().any(|v| v.engine.id == *engine);
    let loads = tracker.loads.keys();
    count(
        loads
            .filter(|id| {
                id.model == target.model && id.version == target.version && live(&id.engine)
            })
            .count(),
    )
}

/// One replica per full or partial batch of waiting and running requests, between `min_replicas`
/// and `max_replicas`.
fn desired(target: &Target) -> u32 {
    let requests = target.total.waiting + target.total.running;
    requests
        .div_ceil(target.settings.batch_size.max(1))
        .max(target.settings.min_replicas)
        .min(target.settings.max_replicas)
}

fn reason(context: &Context, target: &Target) -> Option<Reason> {
    let existing = target.ready + target.loading;
    if existing < target.desired {
        return Some(if target.total.waiting > 0 {
            Reason::Demand
        } else {
            Reason::MinReplicas
        });
    }
    if !context.look_ahead
        || !target.settings.load_ahead
        || existing > 0
        || target.placed > 0
        || target.settings.max_replicas == 0
    {
        return None;
    }
    let lead_ms = context.fastest_load_ms(target);
    let cold_cost = context.cold_cost(target);
    let gain = context.gain(target, lead_ms, 1.0);
    if gain > PREWARM_MARGIN * cold_cost {
        return Some(Reason::Prewarm);
    }
    let staging = staging_gain(context, target);
    (staging > 0.0).then_some(Reason::Prewarm)
}

/// Expected gain of a load whose purpose is to cache weights from the store on an engine's
/// instance: the wait that a later load from disk saves, minus the idle cost of the replica for
/// `keep_alive_min_ms`. 0 if the weights are cached or were loaded from the store recently.
fn staging_gain(context: &Context, target: &Target) -> f64 {
    if context.is_cached(target)
        || context
            .tracker
            .recently_loaded_from_store(&target.model, context.now)
    {
        return 0.0;
    }
    let saved_ms = context.load_ms(target, Source::Store) - context.load_ms(target, Source::Disk);
    let waited_s = seconds(saved_ms) * context.burst_size(target);
    let probability = context.arrival_probability(target, STAGING_HORIZON_S);
    let idle_s = seconds(target.settings.keep_alive_min_ms);
    target.settings.cold_start_weight * waited_s * probability
        - target.settings.idle_weight * idle_s
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
